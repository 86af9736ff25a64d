// Package outlier chooses targets and keeps work away from those that have just
// failed, wherever in the fleet they failed.
//
// A target with a gray failure resets or fails most of its requests for some
// seconds while its probes pass. An instance that sends it one request in many
// seconds would learn of each failure by its own, so the first failure anywhere
// is told to all, and every Table keeps off the target for a while. A target
// that comes back is tried with repeatable requests first: one that may not be
// repeated is lost if the failure isn't over.
//
// A server error counts only when another one follows within seconds, since
// some requests fail by themselves. When all targets are out, those that were only
// slow or full get the work, then those that failed the longest ago.
//
// Instances of a zone tell each other what they have running, a few times a second.
// Work stays in the own zone while a target there has a free slot, and goes to the
// less busy of two.
//
// # Usage
//
//	t := outlier.New("a", random)
//	t.Update(now, registrations)
//	chosen, ok := t.Choose(now, outlier.Request{Repeatable: true})
//	// Send, then:
//	if t.Done(now, chosen.Name, outcome) {
//		// Tell the other instances, whose tables take it in by ReceiveOutcome.
//	}
//	// A few times a second tell those of the zone t.Loads(), for ReceiveLoad.
package outlier
