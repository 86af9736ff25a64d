package target

import (
	"math"
	"time"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
)

const (
	// verdictTerm is how long verdicts hold, renewal how often they are renewed
	// and repeat when a change is sent once more.
	verdictTerm = 15 * time.Second
	renewal     = 5 * time.Second
	repeat      = 500 * time.Millisecond
	// latencyCheck is how often latencies are compared.
	latencyCheck = 250 * time.Millisecond
	// failureCheck is the least time between comparisons of failures.
	failureCheck = 100 * time.Millisecond
	// coldTerm is how long a target's latencies don't count after it joined or
	// restarted.
	coldTerm = 40 * time.Second
	// returnCold is the same after an ejection.
	returnCold = 2 * time.Second
	// watchFailures and watchLatency are the scores at which a target of few
	// requests is watched, for watchTerm.
	watchFailures = 4
	watchLatency  = 2.5
	watchTerm     = 3 * time.Second
	// watchRate is the rate, in attempts a second, that a watched target is
	// brought up to.
	watchRate = 20
	// probeRate and trialRate are the samples a second sent to an ejected
	// target, before and after its first good answers.
	probeRate = 1.5
	trialRate = 5
	// trialGood is how many good answers in a row begin the trial, returnGood
	// how many end it.
	trialGood  = 2
	returnGood = 10
	// slowSamples is how many of them may be slower than slowRank of the
	// peers' answers.
	slowSamples = 1
	slowRank    = 0.9
	// mostSample bounds the fraction of the requests that are samples.
	mostSample = 0.5
	// leastOut is how long an ejection lasts at least; flapOut doubles for each
	// further one within flapTerm, up to mostOut.
	leastOut = 2 * time.Second
	flapOut  = 5 * time.Second
	mostOut  = 5 * time.Minute
	flapTerm = 10 * time.Minute
	// sparedTerm is how long a target that the floor keeps at work must behave
	// to be no longer held for sick.
	sparedTerm = 10 * time.Second
	// rateWindow is the number of buckets over which rates are taken.
	rateWindow = 8
	// longWeight is how fast the long run forgets, for each second.
	longWeight = 0.02
	// mostStrata bounds the long-run rates kept.
	mostStrata = 4096
	// reporterTerm is how long an instance is remembered after its last report.
	reporterTerm = time.Minute
	// slowSeverity puts slow targets below failing ones.
	slowSeverity = 0.1
)

// Authority judges the targets of one service. It is made when an instance
// becomes the service's exclusive authority, and dropped when that ends. It is
// not safe for concurrent use.
type Authority struct {
	self    instance.ID
	view    *View
	epoch   uint64
	number  uint64
	targets map[string]*subject
	order   []string
	strata  map[Stratum]counts
	long    Histogram
	decayed time.Duration
	heard   map[instance.ID]hearing
	list    []Verdict
	// renew and repeat are when the list is sent again, check when latencies
	// are compared.
	renew  time.Duration
	repeat time.Duration
	check  time.Duration
	// failed is when failures were last compared.
	failed time.Duration
	// exponent is of the service's distribution of latencies.
	exponent float64
	// silent is when an empty list need no longer be sent.
	silent time.Duration
}

// hearing is the last report of one instance.
type hearing struct {
	number uint64
	at     time.Duration
}

// subject is what the authority knows of one target.
type subject struct {
	series series
	// cold is until when its latencies don't count.
	cold time.Duration
	// sick is set from the decision to eject until the return.
	sick     bool
	out      bool
	reason   Reason
	severity float64
	since    time.Duration
	hold     time.Duration
	// accused is when evidence last spoke for ejection.
	accused time.Duration
	// good counts the samples since the last failure, slow those of them that
	// were slow.
	good    int
	slow    int
	samples Histogram
	flaps   int
	// returned is when it last came back.
	returned time.Duration
	// watched is until when it is watched.
	watched time.Duration
	// suspect is set while failures wait to be compared.
	suspect bool
}

// AuthorityEvent is an input of Authority: Reported, Configured or Tick.
type AuthorityEvent interface{ authorityEvent() }

// Reported brings an instance's evidence.
type Reported struct {
	From   instance.ID
	Report Report
}

func (Reported) authorityEvent()   {}
func (Configured) authorityEvent() {}
func (Tick) authorityEvent()       {}

// AuthorityEffect is an output of Authority: Announce or Decided.
type AuthorityEffect interface{ authorityEffect() }

// Announce asks for verdicts to be sent to all instances, this one included.
type Announce struct {
	Verdicts Verdicts
}

// Decided is a decision for the log.
type Decided struct {
	Service string
	Target  string
	// Kind is one of the values below.
	Kind   DecisionKind
	Reason Reason
	// Score is the evidence, Threshold what it needed.
	Score     float64
	Threshold float64
	// MinEjectionTime is how long the target must stay out at least.
	MinEjectionTime time.Duration
}

// DecisionKind is a kind of decision.
type DecisionKind string

// Values of Kind.
const (
	Ejected     DecisionKind = "ejected"
	Returned    DecisionKind = "returned"
	Watched     DecisionKind = "watched"
	KeptByFloor DecisionKind = "kept-by-floor"
)

func (Announce) authorityEffect() {}
func (Decided) authorityEffect()  {}

// NewAuthority returns the authority of a service. Verdicts are those that this
// instance's View has in force; they go on until their targets return.
func NewAuthority(now time.Duration, self instance.ID, s document.Service, floor int, inherited Verdicts) *Authority {
	a := &Authority{
		self:     self,
		view:     NewView(s, floor),
		epoch:    inherited.Epoch + 1,
		targets:  map[string]*subject{},
		strata:   map[Stratum]counts{},
		heard:    map[instance.ID]hearing{},
		decayed:  now,
		check:    now + latencyCheck,
		failed:   now - failureCheck,
		exponent: leastExponent,
	}
	a.arrange(now, s, 0)
	for _, v := range inherited.List {
		t := a.targets[v.Target]
		if t == nil || v.Action != Eject {
			continue
		}
		t.sick = true
		t.reason = v.Reason
		t.severity = v.Severity
		t.since = now
		t.accused = now
		t.hold = now + leastOut
	}
	return a
}

// arrange keeps the subjects of the service's targets; new ones are cold for
// the time given.
func (a *Authority) arrange(now time.Duration, s document.Service, cold time.Duration) {
	old := a.targets
	a.targets = make(map[string]*subject, len(s.Targets))
	a.order = a.order[:0]
	for _, t := range s.Targets {
		kept := old[t.Name]
		if kept == nil {
			kept = &subject{
				cold: now + cold,
			}
		}
		a.targets[t.Name] = kept
		a.order = append(a.order, t.Name)
	}
}

// Handle takes in one event and returns what is to be done.
func (a *Authority) Handle(now time.Duration, e AuthorityEvent) []AuthorityEffect {
	var effects []AuthorityEffect
	switch e := e.(type) {
	case Configured:
		a.view.Handle(now, e)
		a.arrange(now, e.Service, coldTerm)
	case Reported:
		effects = a.reported(now, e)
	case Tick:
	}
	if now >= a.failed+failureCheck {
		effects = append(effects, a.compareFailures(now)...)
	}
	if now >= a.check {
		a.exponent = exponent(&a.long)
		a.check = now + latencyCheck
		a.decay(now)
		effects = append(effects, a.compareLatencies(now)...)
	}
	return append(effects, a.publish(now)...)
}

// Next returns when a Tick is due.
func (a *Authority) Next() time.Duration {
	next := a.check
	for _, t := range []time.Duration{a.renew, a.repeat} {
		if t != 0 {
			next = min(next, t)
		}
	}
	for _, t := range a.targets {
		if t.suspect && !t.out {
			next = min(next, a.failed+failureCheck)
		}
	}
	return next
}

// reported takes in evidence and looks at the targets that failed.
func (a *Authority) reported(now time.Duration, e Reported) []AuthorityEffect {
	if h, ok := a.heard[e.From]; ok && e.Report.Number <= h.number {
		return nil
	}
	a.heard[e.From] = hearing{
		number: e.Report.Number,
		at:     now,
	}
	var effects []AuthorityEffect
	for _, v := range e.Report.Targets {
		t := a.targets[v.Target]
		if t == nil {
			continue
		}
		if v.Refused > 0 {
			t.cold = now + coldTerm
		}
		if t.out {
			effects = append(effects, a.sampled(now, v, t)...)
			continue
		}
		t.series.add(now, v)
		t.suspect = t.suspect || failures(v) > 0
		a.learn(v)
	}
	return effects
}

func failures(e TargetReport) uint32 {
	var n uint32
	for _, c := range e.Cells {
		n += c.Failures
	}
	return n
}

// learn takes evidence into the long run.
func (a *Authority) learn(e TargetReport) {
	for _, c := range e.Cells {
		n, ok := a.strata[c.Stratum]
		if !ok && len(a.strata) >= mostStrata {
			continue
		}
		n.attempts += float64(c.Attempts)
		n.failures += float64(c.Failures)
		a.strata[c.Stratum] = n
	}
	a.long.Merge(&e.Latency)
}

// decay lets the long run forget, and forgets instances that are gone.
func (a *Authority) decay(now time.Duration) {
	if now-a.decayed < time.Second {
		return
	}
	keep := math.Pow(1-longWeight, (now - a.decayed).Seconds())
	a.decayed = now
	for s, n := range a.strata {
		n.attempts *= keep
		n.failures *= keep
		a.strata[s] = n
		if n.attempts < 0.01 {
			delete(a.strata, s)
		}
	}
	a.long.Total = 0
	for i, n := range a.long.Counts {
		a.long.Counts[i] = uint32(float64(n) * keep)
		a.long.Total += a.long.Counts[i]
	}
	for id, h := range a.heard {
		if now-h.at >= reporterTerm {
			delete(a.heard, id)
		}
	}
}
