// Package placement chooses the target that runs a request.
//
// A Table is a snapshot of one service as one instance may use it: which
// targets it keeps connections to, in which zone they are, how much of a share
// each one gets. Control builds a new Table whenever a document, a verdict or
// the number of instances changes, and publishes it; traffic reads it without
// locks. Only the counters of a target (requests in flight, limit, latency)
// change, each by atomic steps, and they pass from a table to the next.
//
// Pick tries the instance's own zone first and spills over to the other zones
// before a request has to queue. In a zone it draws two targets at random and
// takes the one with the lower product of requests in flight and latency. Draws
// are with replacement, so that a target with a bad average still gets a few
// requests and can mend it. A failed attempt weighs like a slow one, so that a
// target which fails fast doesn't attract work.
//
// Each target has a limit of requests in flight from this instance. It grows by
// one per round of successes at the limit and shrinks by a factor when the
// target sheds or slows down. A hung target holds its limit of requests and
// gets no more, so it blocks nothing else.
//
// A server takes a bounded number of connections from the whole fleet. Plan
// divides them: with few instances each one reaches all targets; with many,
// each keeps to a subset by rendezvous hashing and to fewer connections.
//
// # Usage
//
//	table := placement.NewTable(previous, placement.Settings{
//		Targets:   view.Targets(now),
//		Service:   "catalogue",
//		Instance:  "10.0.0.1:7000",
//		Zone:      "a",
//		Instances: 40,
//	})
//	pick, ok := table.Pick(random, placement.Request{Repeatable: true})
//	if ok {
//		// Send the request to pick.Target().
//		pick.Done(target.Succeeded, latency)
//	}
package placement
