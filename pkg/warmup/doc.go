// Package warmup limits the requests to targets that are cold: for some seconds after its
// start a target tolerates only a certain number of requests a second.
//
// In any one second a cold target receives at most Policy.Bound requests from the whole fleet.
// A request to it needs a permit of the target's keeper, one instance for the whole fleet. Two
// instances that both consider themselves the keeper, and don't know of each other, stay
// within the bound together: each grants at most half of it within a second and the
// PermitTerm, during which a permit may be used.
//
// A target is cold by its registration, or because it could not be reached: it may have
// started again, which its registration tells only later. The latter lasts until another run
// registers, or until Policy.Duration after the target was reached again.
//
// Requests that were sent before an instance knew that the target is cold count as well. So a
// keeper grants nothing in the first second and PermitTerm after it has learnt that.
//
// A Limiter accesses neither the network nor the clock, and is not safe for concurrent use.
//
// # Usage
//
//	l := warmup.NewLimiter()
//	l.Registered(now, "desk-1", incarnation, remaining, policy)
//	if l.Unreached(now, "desk-1", policy) {
//		// Tell the other instances, which call Unreached, too.
//	}
//	if l.Cold(now, "desk-1", policy) {
//		// Ask the keeper of desk-1, which calls
//		decision := l.Take(now, "desk-1", policy)
//		// Send the request within PermitTerm of asking, or not at all.
//	}
//	if l.Reached(now, "desk-1", began) {
//		// Tell the other instances, which call Reached, too.
//	}
package warmup
