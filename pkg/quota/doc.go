// Package quota keeps every organisation within its rate and burst over the
// whole fleet, through partitions, pauses, crashes and store outages, with no
// shared counter.
//
// An organisation's limit is cut into equal shares, which package share lends
// so that each is in one place at a time. The instance that has borrowed shares
// of an organisation's shard runs a Coordinator: a token bucket scaled by the
// shares that it holds at that moment. The instance that serves a request runs
// a Holder, which asks the Coordinator for units and gets grants of a short
// life.
//
// Over any window of t seconds the fleet admits at most burst + rate·t, because
// at any moment the levels of all buckets and all units that are out add up to
// no more than the burst, and the buckets together fill no faster than the
// rate. For that
//   - a bucket's size shrinks at once when a share's time ends, and a share that
//     comes brings no units with it, only room;
//   - units that are out count against the burst until their use is reported,
//     they are returned, or the grant has expired on every clock;
//   - a grant ends before the shares that carry it, so it is checked last, just
//     before the request's first byte goes out (Token.Spend);
//   - the part of a burst is rounded up for the holder of more than half the
//     shares and down for all others.
//
// A request of an organisation that is busy on this instance takes its units
// from an Allowance, filled in advance, without any message. All others cost
// one round trip. When a coordinator is lost, requests wait for its successor
// for a bounded time; what is refused is refused at once.
//
// A stopping instance hands its buckets over, see Leave. The rights must not be
// returned before Left is out, since grants count on them.
//
// # Usage
//
//	allowance := quota.NewAllowance()
//	holder := quota.NewHolder(self, allowance)
//	coordinator := quota.NewCoordinator(self)
//
//	// In the control goroutine, for events from peers, package share, the
//	// configuration and timers:
//	for _, e := range holder.Handle(now, event) {
//		switch e := e.(type) {
//		case quota.Send:
//			// Deliver it; to self means to this instance's Coordinator.
//		case quota.Admitted:
//			// Wake the request, with e.Token.
//		case quota.Refused:
//			// Answer 429 or 503, not run, with e.RetryAfter.
//		}
//	}
//
//	// In a traffic goroutine:
//	token, verdict := allowance.Take(now, organisation, cost)
//	if verdict == quota.Empty {
//		// Send a quota.Acquire to the control goroutine and wait.
//	}
//	// … choose a target …
//	if !token.Spend(now) {
//		// The grant has expired: take again.
//	}
package quota
