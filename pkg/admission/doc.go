// Package admission orders the requests that wait for a slot of a service, refuses those
// that can't be served in their time, and schedules when refused callers come back.
//
// A Queue serves by rank first, the most urgent one before the others. Within a rank the
// organisations have turns, and within an organisation the entry with the earliest
// deadline is first, so callers with little time left go before those with much. Each
// grant adds to what each rank is owed: 0.3 of its share of the arrivals, over the last 5 s
// or the last second, whichever is larger. A rank that is owed a whole grant is served
// next if it has entries.
//
// The expected wait of an entry follows from what is served before it and from the rate at
// which slots become free. Entries that come later but go before it count by their recent
// rate: those of more urgent ranks, those of other organisations that use fewer turns, and
// those of its own organisation with less time left. The rate of slots is that of the
// Capacity, or the rate of recent grants if that is lower. It is measured only while
// requests wait, so the caller must report all grants: Next counts its own, and Served
// those without a wait.
//
// An entry is refused by Offer if 1.25 times the expected wait and its service time exceed
// its time left. Later, Expire returns the entries that can't be served in time even if
// nothing else arrives. Next never returns an entry whose service would end too late.
//
// Returns counts the promised returns of refused callers in slots of 50 ms, and promises
// no more of them for a slot than are served in it, unless a caller has too little time.
//
// Neither type has a lock; the caller serialises access, for example with one mutex for
// each service.
//
// # Usage
//
//	q := admission.New[request]()
//	q.Arrived(now, rank)
//	if free {
//		q.Served(now, rank)
//		// Send the request.
//	} else {
//		switch v := q.Offer(now, entry, capacity).(type) {
//		case admission.Waits:
//			// Tell the caller that it waits for about v.Expected.
//		case admission.Refused:
//			// Refuse it, with v.RetryAfter.
//		}
//	}
//	// When a slot becomes free:
//	if e, ok := q.Next(now); ok && !suits(e) {
//		q.PutBack(now, e)
//	}
//	// Some times a second, and when the capacity shrinks:
//	for _, e := range q.Expire(now, capacity) {
//		// Refuse it, with q.RetryAfter(now, e, capacity).
//	}
package admission
