// Package claim makes a request with an Idempotency-Key run at most once,
// whichever instances it and its resends arrive at.
//
// A key belongs to a shard. The instance that has borrowed more than half the
// shares of a shard is the shard's only authority (see package share). Before
// an instance sends the first byte of a request to a target, it asks the
// authority to claim the key. The authority stores the claim on other instances
// too, checks that it is still the authority, and only then lets the request
// run. A second request with the same key never runs: it gets what is known of
// the first one, which is running, ended with a status, or unknown.
//
// A new authority asks all instances for the claims that they store before it
// decides anything. An instance that answers also invalidates its own pending
// attempts, so a decision of the previous authority has no effect any more. The
// new authority decides once fewer instances are missing than store each claim,
// or once all missing instances are in fewer zones than claims are spread over.
// Missing are the members that haven't answered and the instances that were
// lost within the retention. Until then, requests are refused, and they have
// not run.
//
// # Limits
//
// A claim is forgotten after the retention; a key that is sent again later runs
// again. If so many instances are lost within the retention that all instances
// which store a claim may be among them, the keys of shards that then get a new
// authority are refused until the retention has passed. The same holds after
// the loss of the whole fleet. Nothing runs twice in either case.
//
// Two assumptions aren't checked: that the other instances notice each new
// instance within the time set by MinMemberAge, and that a process isn't paused
// for longer than the retention between Run and the first byte to the target.
//
// # Usage
//
//	claims := claim.New(self, claim.Copies(2), claim.Zones(2))
//	for _, e := range claims.Handle(now, claim.Acquire{Request: 7, Key: key}) {
//		switch e := e.(type) {
//		case claim.Send:
//			// Deliver it, also if it is addressed to this instance.
//		case claim.Run:
//			// Send the request to a target, then Handle a claim.Done.
//		case claim.Duplicate:
//			// Answer 409 with e.Outcome.
//		case claim.Refused:
//			// Answer 503 with e.RetryAfter: the request has not run.
//		}
//	}
package claim
