// Package gateway runs an instance whose shared state lies in the platform's
// store: the configuration, the targets' registrations and the members.
//
// It joins the traffic path of package entry with decisions of pkg/ that need
// no disk and no rights of their own: one instance of each zone reads the store
// and the others copy its mirror (pkg/mirror, pkg/roster); one instance keeps an
// organisation's rate for the fleet, and one in each zone a service's retry budget
// (pkg/meter); the first failure of a target is told to all, and what runs at it to
// the zone (pkg/outlier). Package daemon runs the fleet where there is an
// instance list and the rights are shared among the instances.
//
// What differs between deployments comes in as Adapters.
//
// # Usage
//
//	g, err := gateway.Start(settings, adapters, gateway.WithLogger(logger))
//	...
//	err = g.Stop(ctx)
package gateway
