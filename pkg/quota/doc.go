// Package quota keeps every organisation within its rate and burst over the
// whole fleet, through partitions, pauses, crashes and store outages, without a
// shared counter.
//
// The limit of an organisation is divided into equal shares, which package
// share lends so that each is in one place at a time. An instance that has
// borrowed shares of an organisation's shard runs a Coordinator: a token bucket
// scaled by the shares that it holds at that moment. An instance that serves
// requests runs a Holder, which asks the Coordinator for units and gets grants
// with a short term.
//
// Over any window of t seconds the fleet admits at most burst + rate·t, because
// at any moment the levels of all buckets and all outstanding units add up to
// at most the burst, and the buckets together fill no faster than the rate. For
// that
//   - the size of a bucket shrinks at once when the loan of a share ends, and a
//     new share adds to the size but brings no units with it;
//   - outstanding units count against the burst until their use is reported,
//     they are returned, or the grant has expired on every clock;
//   - a grant expires before the shares that it depends on, so the expiry is
//     checked last, just before the first byte of the request goes out
//     (Token.Spend);
//   - the portion of a burst is rounded up for the holder of more than half the
//     shares and down for all others.
//
// A request of an organisation that is busy on this instance takes prefetched
// units from an Allowance, without any message. All other requests cost one
// round trip. When a coordinator is lost, requests wait for its successor for a
// bounded time. Requests beyond the limit are refused at once.
//
// A stopping instance hands its buckets over, see Leave. The borrowed shares
// must not be returned before Left, since grants depend on them.
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
//			// Deliver it. At the receiver, ForHolder tells whom it is for.
//		case quota.Admitted:
//			// Wake the request, with e.Token.
//		case quota.Refused:
//			// Answer 429 or 503 with e.RetryAfter: the request has not run.
//		}
//	}
//
//	// In a traffic goroutine:
//	token, result := allowance.Take(now, organisation, cost)
//	if result == quota.Empty {
//		// Send a quota.Acquire to the control goroutine and wait.
//	}
//	// Choose a target, then:
//	if !token.Spend(now) {
//		// The grant has expired: take again.
//	}
package quota
