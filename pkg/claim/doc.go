// Package claim lets a request with an Idempotency-Key run at most once,
// whichever instances its resends arrive at.
//
// A key belongs to a shard, and the instance that has borrowed more than half
// the shares of that shard is its only authority (see package share). Before
// the first byte of a request goes out, its instance asks the authority to
// claim the key. The authority has the claim kept by other instances too, looks
// once more whether it is still the authority, and only then lets the request
// run. A second request with the key is told what is known of the first:
// running, ended with a status, or unknown. It never runs.
//
// A new authority asks all instances for the claims that they keep before it
// decides anything; whoever answers also gives up its own open attempts, so a
// verdict of the authority before counts no more. The new one vouches once
// fewer instances are missing than keep each claim, or all missing ones are in
// one zone if claims spread over zones. Missing are members that don't answer
// and instances that were lost within the retention. Until then it refuses,
// truthfully: the request has not run.
//
// # Limits
//
// A claim is forgotten after the retention; a key sent again later runs again.
// If so many instances are lost within the retention that all who keep a claim
// may be among them, the keys of shards that then change hands are refused
// until the retention has passed; the same holds after the loss of the whole
// fleet. Nothing runs twice in either case. What rests on trust: that each
// instance is noticed by the others within the time set by MinMemberAge, and that a
// process doesn't sleep between its last look at Run and the first byte for
// longer than the retention.
//
// # Usage
//
//	claims := claim.New(self, claim.Copies(2), claim.Zones(2))
//	for _, e := range claims.Handle(now, claim.Acquire{Request: 7, Key: key}) {
//		switch e := e.(type) {
//		case claim.Send:
//			// Deliver it; to self too.
//		case claim.Run:
//			// Send the request to a target, then Handle a claim.Done.
//		case claim.Duplicate:
//			// Answer 409 with what is known.
//		case claim.Refused:
//			// Answer 503, not run, with e.RetryAfter.
//		}
//	}
package claim
