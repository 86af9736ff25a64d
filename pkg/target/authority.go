package target

import (
	"math"
	"time"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
)

const (
	// verdictTerm is how long verdicts are valid, renewalInterval the time between
	// renewals, and repeatDelay the time after which changed verdicts are sent a second
	// time.
	verdictTerm     = 15 * time.Second
	renewalInterval = 5 * time.Second
	repeatDelay     = 500 * time.Millisecond
	// latencyCheckInterval is the time between comparisons of latencies.
	latencyCheckInterval = 250 * time.Millisecond
	// minFailureCheckInterval is the least time between comparisons of failures.
	minFailureCheckInterval = 100 * time.Millisecond
	// coldPeriod is how long a target's latencies are ignored after it has joined or
	// refused a connection, as a restarting target does.
	coldPeriod = 40 * time.Second
	// returnColdPeriod is how long a target's latencies are ignored after an ejection.
	returnColdPeriod = 2 * time.Second
	// watchFailureScore and watchLatencyScore are the scores from which a target with
	// few requests is watched. watchPeriod is how long it is watched.
	watchFailureScore = 4
	watchLatencyScore = 2.5
	watchPeriod       = 3 * time.Second
	// watchRate is the rate, in attempts a second, that a watched target is brought up
	// to with samples.
	watchRate = 20
	// probeRate and trialRate are the rates, in samples a second, at which an ejected
	// target is sent requests before and after its first trialSamples successes.
	probeRate = 1.5
	trialRate = 5
	// trialSamples is the number of successes in a row after which samples are sent at
	// trialRate, and returnSamples the number after which the target may return.
	trialSamples  = 2
	returnSamples = 10
	// maxSlowSamples is how many of these samples may reach the quantile slowQuantile of
	// the peers' latencies after toleratedBuckets are subtracted.
	maxSlowSamples = 1
	slowQuantile   = 0.9
	// maxSampleFraction is the greatest fraction of a service's repeatable requests
	// that are sent to one target as samples.
	maxSampleFraction = 0.5
	// minEjectionTime is the shortest ejection. If a target is ejected again within
	// flapWindow of its return, the ejection lasts at least flapEjectionTime, which
	// doubles with each further time up to maxEjectionTime.
	minEjectionTime  = 2 * time.Second
	flapEjectionTime = 5 * time.Second
	maxEjectionTime  = 5 * time.Minute
	flapWindow       = 10 * time.Minute
	// sparedRecoveryTime is how long a target that the floor keeps in use must show no
	// sign of failure until it is considered healthy again.
	sparedRecoveryTime = 10 * time.Second
	// sparedSeverityFactor scales the severity of a target that the floor keeps in use, so
	// that it isn't exchanged for one that fails about as often and would have to warm up.
	sparedSeverityFactor = 0.85
	// rateIntervals is the number of intervals over which request rates are measured.
	rateIntervals = 8
	// longRunDecay is the fraction by which long-run counts shrink each second.
	longRunDecay = 0.02
	// maxStrata bounds the number of strata with long-run counts.
	maxStrata = 4096
	// reporterTimeout is how long an instance is remembered after its last report.
	reporterTimeout = time.Minute
	// slowSeverityFactor scales the severity of slow targets so that it usually stays
	// below that of failing ones.
	slowSeverityFactor = 0.1
)

// Authority detects the failing and slow targets of one service. It is created when
// an instance becomes the service's only authority and discarded when that role
// ends. It is not safe for concurrent use.
type Authority struct {
	self    instance.ID
	view    *View
	epoch   uint64
	number  uint64
	targets map[string]*targetState
	order   []string
	// longRunCounts holds the decaying counts of attempts by stratum, and
	// longRunLatency the decaying histogram of latencies, over all targets.
	longRunCounts  map[Stratum]counts
	longRunLatency Histogram
	lastDecay      time.Duration
	reporters      map[instance.ID]reporter
	// published is the list of verdicts that was last sent.
	published []Verdict
	// nextRenewal and nextRepeat are the times at which the verdicts are sent again, or
	// zero if they aren't. nextLatencyCheck is when latencies are compared next.
	nextRenewal      time.Duration
	nextRepeat       time.Duration
	nextLatencyCheck time.Duration
	// lastFailureCheck is when failures were last compared.
	lastFailureCheck time.Duration
	// exponent is the exponent of the service's long-run latency distribution; see the
	// function of this name.
	exponent float64
	// sendEmptyUntil is when an empty list of verdicts need no longer be renewed,
	// because all earlier verdicts have expired.
	sendEmptyUntil time.Duration
}

// reporter holds the number and the time of an instance's last report.
type reporter struct {
	number     uint64
	lastReport time.Duration
}

// targetState holds what the authority knows about one target.
type targetState struct {
	series series
	// coldUntil is the time up to which the target's latencies are ignored.
	coldUntil time.Duration
	// unhealthy is set from the detection of a failure until the target has recovered.
	// ejected is set while the target is also out of use, which the floor may prevent.
	unhealthy bool
	ejected   bool
	reason    Reason
	severity  float64
	// unhealthySince is when the target became unhealthy, and earliestReturn when it
	// may return at the earliest.
	unhealthySince time.Duration
	earliestReturn time.Duration
	// lastEvidence is when the target's score last reached the threshold, or when the
	// floor began to keep the target in use.
	lastEvidence time.Duration
	// goodSamples counts the successful samples since the last failure, and slowSamples
	// those of them that were slow.
	goodSamples     int
	slowSamples     int
	sampleLatencies Histogram
	// flaps counts the ejections that each came within flapWindow of the previous
	// return.
	flaps int
	// returnedAt is when the target last returned from an ejection; zero if it hasn't.
	returnedAt time.Duration
	// watchedUntil is the time up to which the target is watched.
	watchedUntil time.Duration
	// failuresPending is set if the target has failed since its failures were last
	// compared.
	failuresPending bool
}

// AuthorityEvent is an input of Authority: Reported, Configured or Tick.
type AuthorityEvent interface{ authorityEvent() }

// Reported is the event that a report has arrived from an instance.
type Reported struct {
	From   instance.ID
	Report Report
}

func (Reported) authorityEvent()   {}
func (Configured) authorityEvent() {}
func (Tick) authorityEvent()       {}

// AuthorityEffect is an output of Authority: Announce or Decided.
type AuthorityEffect interface{ authorityEffect() }

// Announce requests that the verdicts be sent to all instances including this one.
type Announce struct {
	Verdicts Verdicts
}

// Decided reports a decision on a target, for the log.
type Decided struct {
	Service string
	Target  string
	// Kind is the kind of the decision.
	Kind   DecisionKind
	Reason Reason
	// Score is the target's score, and Threshold the score that was required.
	Score     float64
	Threshold float64
	// MinEjectionTime is how long the target stays ejected at least. It is set only if
	// Kind is Ejected.
	MinEjectionTime time.Duration
}

// DecisionKind is the kind of a decision on a target.
type DecisionKind string

// Values of DecisionKind. Ejected means that a target was found unhealthy; KeptByFloor
// follows if the capacity floor keeps it in use. Returned ends either state.
const (
	Ejected     DecisionKind = "ejected"
	Returned    DecisionKind = "returned"
	Watched     DecisionKind = "watched"
	KeptByFloor DecisionKind = "kept-by-floor"
)

func (Announce) authorityEffect() {}
func (Decided) authorityEffect()  {}

// NewAuthority returns the authority of a service. The floor is the policy's
// default, in percent. The inherited verdicts are those in force in this instance's
// View; their ejections continue until the targets recover.
func NewAuthority(now time.Duration, self instance.ID, s document.Service, floor int, inherited Verdicts) *Authority {
	a := &Authority{
		self:             self,
		view:             NewView(s, floor),
		epoch:            inherited.Epoch + 1,
		targets:          map[string]*targetState{},
		longRunCounts:    map[Stratum]counts{},
		reporters:        map[instance.ID]reporter{},
		lastDecay:        now,
		nextLatencyCheck: now + latencyCheckInterval,
		lastFailureCheck: now - minFailureCheckInterval,
		exponent:         minExponent,
	}
	a.updateTargets(now, s, 0)
	for _, v := range inherited.List {
		t := a.targets[v.Target]
		if t == nil || v.Action != Eject {
			continue
		}
		t.unhealthy = true
		t.reason = v.Reason
		t.severity = v.Severity
		t.unhealthySince = now
		t.lastEvidence = now
		t.earliestReturn = now + minEjectionTime
	}
	return a
}

// updateTargets keeps the state of the service's known targets and drops that of
// removed ones. The latencies of new targets are ignored for the given time.
func (a *Authority) updateTargets(now time.Duration, s document.Service, cold time.Duration) {
	old := a.targets
	a.targets = make(map[string]*targetState, len(s.Targets))
	a.order = a.order[:0]
	for _, t := range s.Targets {
		kept := old[t.Name]
		if kept == nil {
			kept = &targetState{
				coldUntil: now + cold,
			}
		}
		a.targets[t.Name] = kept
		a.order = append(a.order, t.Name)
	}
}

// Handle processes one event and returns the resulting effects.
func (a *Authority) Handle(now time.Duration, e AuthorityEvent) []AuthorityEffect {
	var effects []AuthorityEffect
	switch e := e.(type) {
	case Configured:
		a.view.Handle(now, e)
		a.updateTargets(now, e.Service, coldPeriod)
	case Reported:
		effects = a.recordReport(now, e)
	case Tick:
	}
	if now >= a.lastFailureCheck+minFailureCheckInterval {
		effects = append(effects, a.compareFailures(now)...)
	}
	if now >= a.nextLatencyCheck {
		a.exponent = exponent(&a.longRunLatency)
		a.nextLatencyCheck = now + latencyCheckInterval
		a.decayLongRun(now)
		effects = append(effects, a.compareLatencies(now)...)
	}
	return append(effects, a.publish(now)...)
}

// Next returns when the next Tick is due.
func (a *Authority) Next() time.Duration {
	next := a.nextLatencyCheck
	for _, t := range []time.Duration{a.nextRenewal, a.nextRepeat} {
		if t != 0 {
			next = min(next, t)
		}
	}
	for _, t := range a.targets {
		if t.failuresPending && !t.ejected {
			next = min(next, a.lastFailureCheck+minFailureCheckInterval)
		}
	}
	return next
}

// recordReport records an instance's report and marks the targets that have failed.
// It ignores a report that isn't newer than the instance's last one.
func (a *Authority) recordReport(now time.Duration, e Reported) []AuthorityEffect {
	if last, ok := a.reporters[e.From]; ok && e.Report.Number <= last.number {
		return nil
	}
	a.reporters[e.From] = reporter{
		number:     e.Report.Number,
		lastReport: now,
	}
	var effects []AuthorityEffect
	for _, r := range e.Report.Targets {
		t := a.targets[r.Target]
		if t == nil {
			continue
		}
		if r.Refused > 0 {
			t.coldUntil = now + coldPeriod
		}
		if t.ejected {
			effects = append(effects, a.recordSamples(now, r, t)...)
			continue
		}
		t.series.add(now, r)
		t.failuresPending = t.failuresPending || countFailures(r) > 0
		a.addLongRun(r)
	}
	return effects
}

// countFailures returns the number of failures in a report on a target.
func countFailures(r TargetReport) uint32 {
	var n uint32
	for _, c := range r.Cells {
		n += c.Failures
	}
	return n
}

// addLongRun adds a report to the long-run counts and latencies.
func (a *Authority) addLongRun(r TargetReport) {
	for _, c := range r.Cells {
		n, ok := a.longRunCounts[c.Stratum]
		if !ok && len(a.longRunCounts) >= maxStrata {
			continue
		}
		n.attempts += float64(c.Attempts)
		n.failures += float64(c.Failures)
		a.longRunCounts[c.Stratum] = n
	}
	a.longRunLatency.Merge(&r.Latency)
}

// decayLongRun shrinks the long-run counts and latencies, at most once a second,
// and removes instances that have stopped reporting.
func (a *Authority) decayLongRun(now time.Duration) {
	if now-a.lastDecay < time.Second {
		return
	}
	keep := math.Pow(1-longRunDecay, (now - a.lastDecay).Seconds())
	a.lastDecay = now
	for s, n := range a.longRunCounts {
		n.attempts *= keep
		n.failures *= keep
		a.longRunCounts[s] = n
		if n.attempts < 0.01 {
			delete(a.longRunCounts, s)
		}
	}
	a.longRunLatency.Total = 0
	for i, n := range a.longRunLatency.Counts {
		a.longRunLatency.Counts[i] = uint32(float64(n) * keep)
		a.longRunLatency.Total += a.longRunLatency.Counts[i]
	}
	for id, r := range a.reporters {
		if now-r.lastReport >= reporterTimeout {
			delete(a.reporters, id)
		}
	}
}
