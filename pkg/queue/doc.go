// Package queue holds the requests that wait for one service on one instance,
// and decides which one runs next.
//
// Each organisation has its own queue. The queues are served by deficit round
// robin: each turn adds a quantum to the organisation's deficit, and requests are
// popped while the deficit covers their expected slot time. The slot time of a
// request is the time for which it holds a slot of a target. The expected one is
// the route's cost times the organisation's average slot time per unit of cost. So
// an organisation with slow requests gets the same share of slot time as one with
// fast requests, not the same number of requests.
//
// Many instances share few slots, and none of them sees what the others send, so
// fairness on each instance isn't enough. An organisation that uses much more slot
// time than the median has a surplus, and the number of its surplus requests in
// flight is limited. When targets shed requests, the limit of the organisation
// with the highest usage shrinks, if need be below one request in flight; it grows
// again as the organisation's requests finish. Organisations without a surplus are
// limited only by the free slots. For each finished request, usage counts the
// organisation's baseline (its lowest recent slot time per unit of cost) times the
// cost, not the measured slot time, which includes waits at busy targets. A
// baseline above the average counts more than in proportion, because the waits that
// slow requests cause for others grow with the square of their slot time.
//
// The total length over all organisations is bounded. When it is exceeded, the
// newest request of the queue with the highest total expected slot time is
// refused, which may be the request that has just been pushed. A request that
// can't finish before its deadline is refused as soon as that is known, not when
// its turn comes. Every refusal carries a random RetryAfter, so that refused
// callers don't come back together.
//
// A Queue has no lock; the caller serialises access to it, for example with one
// mutex for each service.
//
// # Usage
//
//	refused := q.Push(now, queue.Request{
//		Number:       7,
//		Organisation: "dispatch",
//		Cost:         1,
//		Deadline:     now + time.Second,
//	})
//	request, late, ok := q.Pop(now, table.FreeSlots(now))
//	// Answer the refused and the late requests. Run the popped one, and when it ends:
//	q.Finish(now, "dispatch", 1, held)
package queue
