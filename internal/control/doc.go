// Package control runs the control state of one instance.
//
// One goroutine owns the fleet.State. It handles events from a queue, wakes the
// state at the times that it asks for, and carries out its effects: messages go
// to the network, store calls run in goroutines of their own and return their
// answers as events, and the rest goes to the EffectHandler. Requests use the
// state through Admission, Claims and Quarantine, which implement the interfaces
// of package entry.
//
// # Usage
//
//	loop := control.New(self, control.Dependencies{
//		Network:      network,
//		Store:        store,
//		HandleEffect: handleEffect,
//	}, clock, nil, control.WithLogger(logger))
//	go loop.Run(ctx)
//	loop.Post(fleet.ListRead{
//		Instances: instances,
//	})
package control
