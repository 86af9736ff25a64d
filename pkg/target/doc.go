// Package target tells sick targets from healthy ones by the work they do.
//
// A target may pass its probes and still fail real work. So the judgement rests
// on real requests, seen by the whole fleet. Three parts share the work:
//
// A Recorder, on each instance, counts outcomes for each target, by
// organisation and route, and latencies in a coarse histogram. It makes a Report
// of what changed: once a second, and within a tenth of a second after a
// failure. Requests that hang are counted as failures while they still hang.
//
// An Authority, on the one instance that holds the service's shard, compares
// each target with its peers over windows of the last seconds. For failures it
// takes the log-likelihood ratio between "fails as often as its peers do, for
// the same organisations and routes" and "fails more often"; for latency the
// same between its peers' distribution and a slower one. A service that is slow or
// failing as a whole moves the peers too, and an organisation's bad requests
// fail everywhere, so neither speaks against a target. A single organisation
// must bring twice the evidence. Where requests are few, a suspected target is
// sent more of the repeatable ones, which settles the matter sooner.
//
// A View, on each instance, applies the authority's Verdicts under the
// operators' floor. If ejections would leave less capacity than the floor asks
// for, the least sick targets serve on. Verdicts expire unless renewed. A
// target that refuses connections is avoided at once, under the same floor.
//
// An ejected target gets a few real repeatable requests, at a rate that doesn't
// depend on the fleet's size, and returns after several good answers in a row. One
// that comes back sick again stays out longer each time.
//
// # The bound on false alarms
//
// Let h be the threshold of the score. For one window and one alternative, a
// healthy target's score reaches h with a probability of at most exp(-h), if
// its peers' rate is known. A look happens only after a failure. Threshold
// takes the union over windows and alternatives and over the looks of 10,000
// hours at the target's rate. Overlap of the windows makes the true rate lower,
// the estimate of the peers' rate makes it higher; the package's tests and the
// experiment command measure the whole rule by simulation.
//
// # Usage
//
// On every instance:
//
//	attempt := recorder.Begin(now, "c1", organisation, route)
//	// Run the request.
//	recorder.End(now, attempt, target.Succeeded)
//	report, ok := recorder.Flush(now) // for the authority
//	view.Handle(now, target.Announced{Verdicts: verdicts})
//	serving := view.Targets(now) // for package placement
//
// On the authority:
//
//	for _, e := range authority.Handle(now, target.Reported{Report: report}) {
//		switch e := e.(type) {
//		case target.Announce:
//			// Send e.Verdicts to all instances.
//		case target.Decided:
//			// Log it.
//		}
//	}
package target
