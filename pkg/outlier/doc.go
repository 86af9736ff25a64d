// Package outlier selects a target for each request and avoids targets that have
// recently failed, no matter which instance of the fleet observed the failure.
//
// A target with a gray failure resets or fails most of its requests for some
// seconds while its health probes still pass. An instance that rarely uses that
// target would have to lose a request of its own to find out. Instances therefore
// broadcast failures. A dead connection ejects the target for a while in every Table. A
// timeout ejects it only where it was observed, and counts elsewhere as one server
// error. A refused connection isn't broadcast.
// After the ejection the target is on probation: it gets repeatable requests
// first, because a request that may not be repeated is lost if the target is
// still failing. A kept connection that dies at once may have been dropped by a healthy
// target, so it only begins a probation. If attempts that began after the one whose
// connection died succeed, the target loses single answers only, and the ejection ends.
//
// A server error or a truncated answer ejects a target only if the target returns more of
// them within two seconds than the others do, since some requests fail through no fault
// of the target. When too few targets are left, those that are only slow, full or
// returning server errors are used first, then those whose failures are the oldest.
//
// A target may limit the requests that it takes from all instances together. Package meter
// decides whether it may get one more. If not, its choice is taken back with Hold, and
// other targets are chosen until it may be asked for again.
//
// A target may also ask one instance for rest. Until that is over, the instance sends it
// nothing, whatever the other targets' state.
//
// The instances of a zone tell each other several times a second how many
// requests they have in flight at each target. Requests stay in the instance's
// own zone while a target there has a free slot, and go to the less loaded of two
// randomly chosen targets.
//
// # Usage
//
//	t := outlier.New("a", random)
//	t.Update(now, registrations)
//	chosen, ok := t.Choose(now, outlier.Request{Repeatable: true})
//	// If the target has named a limit and may get no more requests:
//	t.Hold(now+retryAfter, chosen.Name)
//	// If t.MaySend(now, chosen.Name) still holds, send the request, then:
//	if t.Done(now, chosen.Name, outcome) {
//		// Broadcast the outcome; the other instances call ReceiveOutcome.
//	}
//	// If the target has asked for rest:
//	t.Rest(now+rest, chosen.Name)
//	// Several times a second, send t.Loads() to the instances of the zone,
//	// which call ReceiveLoad.
package outlier
