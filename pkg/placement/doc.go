// Package placement chooses the target that runs a request.
//
// A Table is a snapshot of one service as one instance may use it: the targets
// that the instance connects to, their zones and weights. The control code builds
// and publishes a new Table whenever the document, the ejections of targets or the
// number of instances changes; requests read it without locks. Only a target's
// counters (requests in flight, limit, latency) change, by atomic operations, and
// the next table takes them over.
//
// Pick tries the instance's own zone first and spills over to the other zones
// before a request has to queue. In a zone it draws two targets at random and
// takes the one with the lower product of requests in flight and latency. It draws
// with replacement, so that a target with a bad average still gets a few requests
// and the average can recover. A failed attempt counts as a slow one, so that a
// target which fails fast doesn't attract requests.
//
// Each target has a limit of requests in flight from this instance. The limit
// grows by 1/limit with each success that ends while the limit is reached, and
// shrinks by a factor when the target sheds requests or slows down. A target
// that hangs holds as many requests as its limit and gets no more, so it doesn't
// block the others.
//
// A target accepts a bounded number of connections from the whole fleet, which
// Plan divides among the instances. In a small fleet each instance connects to all
// targets. In a large fleet each connects to a subset, chosen by rendezvous
// hashing, with fewer connections to each target.
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
