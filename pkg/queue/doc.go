// Package queue holds the requests that wait for one service on one instance
// and decides who is next.
//
// Each organisation has its own queue. The queues take turns by deficit round
// robin: a turn adds a quantum to the organisation's deficit, and requests leave
// while the deficit covers their cost. The cost is the route's cost times the
// slot time that the organisation's requests took lately, so an organisation
// with slow requests gets the same part of the slots as one with fast ones, not
// the same number of requests.
//
// Many instances share few slots, and none sees what the others send. So fairness
// on each instance isn't enough: an organisation that uses much more slot time
// than is usual has a surplus, and its surplus in flight is limited. When
// targets shed, the limit of the organisation that used the most shrinks, below
// one request in flight if need be; it grows again with time. Organisations
// without a surplus are held back by nothing but room. A request's slot time counts
// as what its organisation's requests take when the targets have room, and more if
// that is longer than others', because the waits that it causes grow with the
// square.
//
// The length over all organisations is bounded. When it is full, the newest
// request of the longest queue (in cost) gives way; that may be the one which
// has just come. A request that can't finish before its deadline any more
// is refused at once, not when its turn comes. Every refusal carries a RetryAfter
// drawn at random, so that the refused don't come back together.
//
// A Queue is plain state without a lock: the caller guards it, one lock for
// each service.
//
// # Usage
//
//	refused := q.Push(now, queue.Request{
//		Number:       7,
//		Organisation: "dispatch",
//		Cost:         1,
//		Deadline:     now + time.Second,
//	})
//	request, late, ok := q.Pop(now, table.FreeSlots())
//	// Answer the refused and the late; run the request, and at its end:
//	q.Finish(now, "dispatch", 1, held)
package queue
