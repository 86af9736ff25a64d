// Package daemon runs one instance: it connects the deterministic control state
// to callers, targets, peers and the platform.
//
// One goroutine owns all control state (see package control). It handles events
// and publishes snapshots, which the goroutines of requests read.
//
// # Usage
//
//	d, err := daemon.Start(settings, daemon.WithLogger(logger))
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	return d.Stop(stopCtx)
package daemon
