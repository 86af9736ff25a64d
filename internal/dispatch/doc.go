// Package dispatch gives each attempt a slot at a target, or lets its request
// wait for one in a fair queue.
//
// A Dispatcher connects packages placement, queue and retry to the traffic: for
// each service it holds a table of targets, a fair queue and a retry budget
// under one lock, and the goroutines that wait. When control publishes new
// tables, the waiting requests are tried again.
//
// # Usage
//
//	d := dispatch.New(clock)
//	d.Publish(services)
//	slot, err := d.Acquire(ctx, request)
//	// Send the request to slot.Target(); at the attempt's end:
//	slot.Release(result)
package dispatch
