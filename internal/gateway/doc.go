// Package gateway runs an instance of a fleet that keeps its shared state in the
// platform's store: the configuration, and the registrations of targets and
// instances.
//
// It provides package entry, which handles requests, with decisions that need
// neither a disk nor exclusive rights:
//
//   - One instance of each zone, the reader, reads the store, and the others copy its
//     mirror of it (pkg/mirror, pkg/roster).
//   - One instance keeps an organisation's rate for the whole fleet, and one in each
//     zone keeps a service's retry budget (pkg/meter). Others ask these keepers by
//     datagram.
//   - The first failure of a target is reported to all instances, and the load at
//     targets to the instances of the zone (pkg/outlier).
//
// Package daemon runs a fleet that has an instance list and shares exclusive rights
// among its instances.
//
// What differs between deployments is passed in as Adapters.
//
// # Usage
//
//	g, err := gateway.Start(settings, adapters, gateway.WithLogger(logger))
//	...
//	err = g.Stop(ctx)
package gateway
