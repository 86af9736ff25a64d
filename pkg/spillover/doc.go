// Package spillover decides when a request leaves its zone.
//
// The allocator of a service asks for each request that finds no free slot in its zone:
//
//	d := spillover.Decide(home, request, zones, spillover.WithDraw(random.Float64()))
//	switch d := d.(type) {
//	case spillover.Leave:
//		// Forward the slot request to the allocator in d.Zone.
//	case spillover.Stay:
//		// Queue the request, or refuse it.
//	}
//
// What leaves pays two round trips, one for the slot and one for the request itself. It leaves if
// it would be unserved at home, or late at home and not there, or if it gains at least the
// minimum, which stands for the price of traffic between zones.
//
// Decide is a pure function. Nothing in it remembers earlier decisions, so that requests stop
// leaving with the first free slot at home.
package spillover
