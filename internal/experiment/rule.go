package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/target"
)

const (
	// medianLatency is the median of a healthy target's log-normal service times,
	// and latencyDeviation the standard deviation of their logarithm.
	medianLatency    = 20 * time.Millisecond
	latencyDeviation = 0.6
	// healthyErrorRate is the fraction of requests that fail at a healthy target.
	healthyErrorRate = 0.01
	// reportInterval is how often an instance reports its successes.
	reportInterval = time.Second
	// urgentLatency is the latency above which an instance reports a request at
	// once, as a Recorder does: three times the mean.
	urgentLatency = 72 * time.Millisecond
	// warmUp is how long a service runs before a fault begins.
	warmUp = 20 * time.Second
)

// Rule simulates the detection rule alone: requests arrive at each target at a
// mean rate, and their outcomes go to an Authority in reports like those of a
// fleet. Requests aren't moved from one target to another, but an ejected target
// gets only its samples, and a watched one gets samples in addition.
type Rule struct {
	// Targets is the number of targets of the service.
	Targets int
	// Rate is the number of requests a second to each target that is not ejected.
	Rate float64
	// Instances is the number of instances that report.
	Instances int
	// Organisations is the number of organisations that send the requests. The
	// i-th, counted from 1, sends in proportion to 1/i.
	Organisations int
	// Routes is the number of routes. All get equally many requests.
	Routes int
	// Behave draws the outcome of each request. Nil means Healthy.
	Behave Behaviour
	// Floor is the service's floor in percent.
	Floor int
}

// Behaviour draws the outcome of a request and its latency. If the outcome is
// TimedOut, the latency is the time until the hang is detected.
type Behaviour func(r *rand.Rand, q RuleRequest) (target.Outcome, time.Duration)

// RuleRequest is one request of a Rule: the time, and the indices of its target,
// instance, organisation and route.
type RuleRequest struct {
	Now          time.Duration
	Target       int
	Instance     int
	Organisation int
	Route        int
}

// RuleEvent is a decision of the Authority, with its time and the index of its
// target.
type RuleEvent struct {
	At       time.Duration
	Target   int
	Decision target.Decided
}

// ruleRun is the state of one run of a Rule.
type ruleRun struct {
	Rule
	random    *rand.Rand
	authority *target.Authority
	// strata holds the stratum of each pair of organisation and route, ordered by
	// organisation.
	strata []target.Stratum
	// weights holds the share of each organisation in the requests, unscaled.
	weights []float64
	// pending holds each instance's unreported evidence, by target.
	pending []map[int]*target.TargetReport
	// reportNumbers holds the number of each instance's last report.
	reportNumbers []uint64
	verdicts      map[string]target.Verdict
	targetNames   []string
	// targetIndex maps the names of targets to their indices.
	targetIndex map[string]int
	events      []RuleEvent
	// hung holds the requests that hang undetected, in order of detectedAt.
	hung []hungRequest
}

// hungRequest is a request that hangs.
type hungRequest struct {
	request RuleRequest
	// detectedAt is when the hang is detected.
	detectedAt time.Duration
}

// Run simulates length of virtual time and returns the Authority's decisions.
func (r Rule) Run(seed uint64, length time.Duration) []RuleEvent {
	run := r.start(seed)
	run.simulate(length)
	return run.events
}

// start returns the initial state of a run.
func (r Rule) start(seed uint64) *ruleRun {
	run := &ruleRun{
		Rule:          r,
		random:        rand.New(rand.NewPCG(seed, 7)),
		pending:       make([]map[int]*target.TargetReport, r.Instances),
		reportNumbers: make([]uint64, r.Instances),
		verdicts:      map[string]target.Verdict{},
		targetIndex:   map[string]int{},
	}
	for i := range run.pending {
		run.pending[i] = map[int]*target.TargetReport{}
	}
	service := document.Service{
		Name:  "service",
		Floor: r.Floor,
	}
	for i := range r.Targets {
		name := fmt.Sprintf("t%d", i)
		run.targetNames = append(run.targetNames, name)
		run.targetIndex[name] = i
		service.Targets = append(service.Targets, document.Target{
			Name:    name,
			Address: fmt.Sprintf("10.1.0.%d:80", i+1),
			Slots:   6,
		})
	}
	for o := range r.Organisations {
		run.weights = append(run.weights, 1/float64(o+1))
		for route := range r.Routes {
			run.strata = append(run.strata, target.StratumOf(fmt.Sprint("o", o), fmt.Sprint("r", route)))
		}
	}
	run.authority = target.NewAuthority(0, instance.ID{
		Address:     "10.0.0.1:7000",
		Incarnation: 1,
	}, service, 0, target.Verdicts{})
	return run
}

// simulate runs the requests of all targets in steps of ten milliseconds, up to
// the time length.
func (n *ruleRun) simulate(length time.Duration) {
	const step = 10 * time.Millisecond
	for now := step; now <= length; now += step {
		for i := range n.Targets {
			for range n.arrivals(i, step) {
				n.request(now, i)
			}
		}
		for len(n.hung) > 0 && n.hung[0].detectedAt <= now {
			q := n.hung[0].request
			n.hung = n.hung[1:]
			n.record(now, q, target.TimedOut, 0)
		}
		if now%reportInterval < step {
			n.flush(now)
		}
		if next := n.authority.Next(); next != 0 && next <= now {
			n.handle(now, target.Tick{})
		}
	}
}

// arrivals draws the number of requests that reach the i-th target in a step.
func (n *ruleRun) arrivals(i int, step time.Duration) int {
	rate := n.Rate
	if v, ok := n.verdicts[n.targetNames[i]]; ok {
		extra := v.SampleFraction * n.Rate * float64(n.Targets)
		rate += extra
		if v.Action == target.Eject {
			rate = extra
		}
	}
	return poisson(n.random, rate*step.Seconds())
}

// poisson draws from a Poisson distribution with a small mean.
func poisson(r *rand.Rand, mean float64) int {
	if mean <= 0 {
		return 0
	}
	k, p, limit := 0, r.Float64(), math.Exp(-mean)
	for p > limit {
		k++
		p *= r.Float64()
	}
	return k
}

// request runs one request to the i-th target.
func (n *ruleRun) request(now time.Duration, i int) {
	q := RuleRequest{
		Now:          now,
		Target:       i,
		Instance:     n.random.IntN(n.Instances),
		Organisation: choose(n.random, n.weights),
		Route:        n.random.IntN(n.Routes),
	}
	behave := n.Behave
	if behave == nil {
		behave = Healthy
	}
	outcome, latency := behave(n.random, q)
	if outcome == target.TimedOut {
		n.hung = append(n.hung, hungRequest{
			request:    q,
			detectedAt: now + latency,
		})
		return
	}
	n.record(now, q, outcome, latency)
}

// record adds a request's outcome to the pending evidence of its instance. It
// reports the evidence at once after a failure or a latency above urgentLatency.
func (n *ruleRun) record(now time.Duration, q RuleRequest, outcome target.Outcome, latency time.Duration) {
	e := n.pending[q.Instance][q.Target]
	if e == nil {
		e = &target.TargetReport{
			Target: n.targetNames[q.Target],
		}
		n.pending[q.Instance][q.Target] = e
	}
	c := target.Cell{
		Stratum:  n.strata[q.Organisation*n.Routes+q.Route],
		Attempts: 1,
	}
	if outcome == target.Succeeded {
		e.Latency.Add(latency)
	}
	if outcome.Failure() {
		c.Failures = 1
	}
	if outcome == target.Crashed {
		c.Crashes = 1
	}
	e.Cells = append(e.Cells, c)
	if outcome.Failure() || latency > urgentLatency {
		n.report(now, q.Instance)
	}
}

// flush reports the pending evidence of all instances.
func (n *ruleRun) flush(now time.Duration) {
	for i := range n.Instances {
		n.report(now, i)
	}
}

// report sends the pending evidence of the i-th instance to the authority.
func (n *ruleRun) report(now time.Duration, i int) {
	if len(n.pending[i]) == 0 {
		return
	}
	n.reportNumbers[i]++
	report := target.Report{
		Service: "service",
		Number:  n.reportNumbers[i],
	}
	for t := range n.Targets {
		if e := n.pending[i][t]; e != nil {
			report.Targets = append(report.Targets, *e)
			delete(n.pending[i], t)
		}
	}
	from := instance.ID{
		Address:     instance.Address(fmt.Sprintf("10.0.0.%d:7000", i+1)),
		Incarnation: 1,
	}
	n.handle(now, target.Reported{
		From:   from,
		Report: report,
	})
}

// handle passes an event to the authority, and keeps its verdicts and decisions.
func (n *ruleRun) handle(now time.Duration, e target.AuthorityEvent) {
	for _, effect := range n.authority.Handle(now, e) {
		switch effect := effect.(type) {
		case target.Announce:
			clear(n.verdicts)
			for _, v := range effect.Verdicts.List {
				n.verdicts[v.Target] = v
			}
		case target.Decided:
			n.events = append(n.events, RuleEvent{
				At:       now,
				Target:   n.targetIndex[effect.Target],
				Decision: effect,
			})
		}
	}
}

// Healthy draws the outcome and the latency of a request to a healthy target.
func Healthy(r *rand.Rand, _ RuleRequest) (target.Outcome, time.Duration) {
	if r.Float64() < healthyErrorRate {
		return target.Failed, lognormal(r, medianLatency)
	}
	return target.Succeeded, lognormal(r, medianLatency)
}

// lognormal draws a service time with the given median and latencyDeviation.
func lognormal(r *rand.Rand, median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(latencyDeviation*r.NormFloat64()))
}

// choose draws an index in proportion to the weights.
func choose(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}
