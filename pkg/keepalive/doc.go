// Package keepalive decides which requests may be sent on a kept connection to a target,
// and what the death of such a connection says.
//
// A target may drop an idle connection at any time, without a notice that arrives before
// the next request does. That request is then reset at once, as it is by a target that
// fails. Nobody can tell which of the two happened, and whether the request ran.
// Therefore requests that may not be repeated, and retries, always get a new connection,
// on which a reset is the target's own. The early death of a kept connection is no
// evidence against the target. Targets that drop idle connections usually drop many, so
// the instance stops using kept connections for a while after the first.
//
// # Usage
//
//	var policy keepalive.Policy
//	reuse := policy.MayReuse(now, keepalive.Request{Repeatable: true})
//	// Send the request. If its connection, used before, died without an answer:
//	if policy.RecordDeath(now, elapsed) {
//		// Don't blame the target.
//	}
package keepalive
