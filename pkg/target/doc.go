// Package target detects failing and slow targets from the outcomes of real
// requests.
//
// A target may pass its health probes and still fail real requests. Detection
// therefore relies on real requests, observed by the whole fleet. It has three
// parts:
//
// A Recorder, on each instance, counts outcomes for each target by organisation
// and route, and records latencies in a coarse histogram. It returns a Report of
// what has changed: once a second, and within a tenth of a second after a failure.
// A request that hangs is counted as a failure before it ends.
//
// An Authority, on the one instance that holds the service's shard, compares each
// target with its peers, the service's other targets, over several windows of up
// to 32 seconds. For failures it computes the log-likelihood ratio between "fails
// as often as its peers, for the same organisations and routes" and "fails more
// often"; for latency, the ratio between the distribution of its peers and a slower
// one. A service that is slow or failing as a whole changes its peers too, and an
// organisation's bad requests fail everywhere, so neither counts against a target.
// Failures of a single organisation's requests need twice the score. Where requests
// are few, a watched target is sent more of the repeatable ones, which shortens
// the time to a decision.
//
// A View, on each instance, applies the authority's Verdicts within the capacity
// floor set by the operator. If ejections would leave less capacity than the floor
// requires, the targets with the lowest severity stay in use. Verdicts expire unless
// they are renewed. A target that refuses connections is avoided at once, within
// the same floor.
//
// An ejected target gets a few real repeatable requests as samples, at a rate that
// doesn't depend on the fleet's size, and returns after several successes in a row.
// A target that fails again soon after its return is ejected for longer each time.
//
// Apart from detection, a Registry holds the targets that register themselves in the
// store.
//
// # The bound on false alarms
//
// Let h be the threshold of the score. For one window and one alternative failure
// rate, a healthy target's score reaches h with a probability of at most exp(-h),
// if its peers' rate is known. The score is computed only after a failure. The
// threshold applies the union bound over windows, alternatives and the number of
// evaluations in 10,000 hours at the target's request rate. Overlapping windows make
// the true rate of false alarms lower, and the error of the peers' estimated rate
// makes it higher; the package's tests and the experiment command measure the whole
// rule by simulation.
//
// # Usage
//
// On every instance:
//
//	attempt := recorder.Begin(now, "c1", organisation, route)
//	// Run the request.
//	recorder.End(now, attempt, target.Succeeded)
//	report, ok := recorder.Flush(now) // to be sent to the authority
//	view.Handle(now, target.Announced{Verdicts: verdicts})
//	targets := view.Targets(now) // for package placement
//
// On the authority:
//
//	for _, e := range authority.Handle(now, target.Reported{Report: report}) {
//		switch e := e.(type) {
//		case target.Announce:
//			// Send e.Verdicts to all instances.
//		case target.Decided:
//			// Log the decision.
//		}
//	}
package target
