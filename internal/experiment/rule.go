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
	// medianLatency and latencyDeviation are of a healthy target's log-normal
	// service times.
	medianLatency    = 20 * time.Millisecond
	latencyDeviation = 0.6
	// usualErrors is the failure rate of a healthy target.
	usualErrors = 0.01
	// reportInterval is how often the rule's simulation hands over successes.
	reportInterval = time.Second
	// urgentLatency is what a Recorder reports at once here: three times the
	// mean.
	urgentLatency = 72 * time.Millisecond
	// warmUp is how long a simulated service runs before a fault begins.
	warmUp = 20 * time.Second
)

// Rule simulates the detection rule alone: requests arrive at each target at a
// fixed rate, and their outcomes go to an Authority as a fleet's reports would
// bring them. No placement reacts, but ejected targets get their samples only,
// and watched ones get more.
type Rule struct {
	// Targets is the number of targets of the service.
	Targets int
	// Rate is the requests a second to each target at work.
	Rate float64
	// Instances is the number of instances that report.
	Instances int
	// Organisations share the requests; a few are large.
	Organisations int
	// Routes share the requests evenly.
	Routes int
	// Behave decides what a request does; nil is healthy noise. What it
	// returns with TimedOut is when the failure is noticed.
	Behave Behaviour
	// Floor is the service's floor in percent.
	Floor int
}

// Behaviour draws what becomes of a request, and how long it takes.
type Behaviour func(r *rand.Rand, q RuleRequest) (target.Outcome, time.Duration)

// RuleRequest is one request of a Rule.
type RuleRequest struct {
	Now          time.Duration
	Target       int
	Instance     int
	Organisation int
	Route        int
}

// RuleEvent is one decision seen in a run, with its time.
type RuleEvent struct {
	At       time.Duration
	Target   int
	Decision target.Decided
}

// ruleRun is the state of one run.
type ruleRun struct {
	Rule
	random    *rand.Rand
	authority *target.Authority
	strata    []target.Stratum
	weights   []float64
	pending   []map[int]*target.TargetReport
	numbers   []uint64
	verdicts  map[string]target.Verdict
	names     []string
	index     map[string]int
	events    []RuleEvent
	// hung holds requests that will be noticed as hanging, in order of time.
	hung []hungRequest
}

// hungRequest is a request that hangs, and when that is noticed.
type hungRequest struct {
	request RuleRequest
	at      time.Duration
}

// Run simulates for a while and returns the decisions.
func (u Rule) Run(seed uint64, length time.Duration) []RuleEvent {
	run := u.start(seed)
	run.simulate(length)
	return run.events
}

func (u Rule) start(seed uint64) *ruleRun {
	run := &ruleRun{
		Rule:     u,
		random:   rand.New(rand.NewPCG(seed, 7)),
		pending:  make([]map[int]*target.TargetReport, u.Instances),
		numbers:  make([]uint64, u.Instances),
		verdicts: map[string]target.Verdict{},
		index:    map[string]int{},
	}
	for i := range run.pending {
		run.pending[i] = map[int]*target.TargetReport{}
	}
	service := document.Service{
		Name:  "service",
		Floor: u.Floor,
	}
	for i := range u.Targets {
		name := fmt.Sprintf("t%d", i)
		run.names = append(run.names, name)
		run.index[name] = i
		service.Targets = append(service.Targets, document.Target{
			Name:    name,
			Address: fmt.Sprintf("10.1.0.%d:80", i+1),
			Slots:   6,
		})
	}
	for o := range u.Organisations {
		run.weights = append(run.weights, 1/float64(o+1))
		for t := range u.Routes {
			run.strata = append(run.strata, target.StratumOf(fmt.Sprint("o", o), fmt.Sprint("r", t)))
		}
	}
	run.authority = target.NewAuthority(0, instance.ID{
		Address:     "10.0.0.1:7000",
		Incarnation: 1,
	}, service, 0, target.Verdicts{})
	return run
}

// simulate runs the requests of all targets in steps of ten milliseconds.
func (n *ruleRun) simulate(length time.Duration) {
	const step = 10 * time.Millisecond
	for now := step; now <= length; now += step {
		for i := range n.Targets {
			for range n.arrivals(i, step) {
				n.request(now, i)
			}
		}
		for len(n.hung) > 0 && n.hung[0].at <= now {
			q := n.hung[0].request
			n.hung = n.hung[1:]
			n.note(now, q, target.TimedOut, 0)
		}
		if now%reportInterval < step {
			n.flush(now)
		}
		if next := n.authority.Next(); next != 0 && next <= now {
			n.handle(now, target.Tick{})
		}
	}
}

// arrivals draws how many requests reach a target in a step.
func (n *ruleRun) arrivals(i int, step time.Duration) int {
	rate := n.Rate
	if v, ok := n.verdicts[n.names[i]]; ok {
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

// request runs one request.
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
			request: q,
			at:      now + latency,
		})
		return
	}
	n.note(now, q, outcome, latency)
}

// note enters a request's evidence; what is urgent is reported at once.
func (n *ruleRun) note(now time.Duration, q RuleRequest, outcome target.Outcome, latency time.Duration) {
	e := n.pending[q.Instance][q.Target]
	if e == nil {
		e = &target.TargetReport{
			Target: n.names[q.Target],
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

// flush reports all that is pending.
func (n *ruleRun) flush(now time.Duration) {
	for i := range n.Instances {
		n.report(now, i)
	}
}

func (n *ruleRun) report(now time.Duration, i int) {
	if len(n.pending[i]) == 0 {
		return
	}
	n.numbers[i]++
	report := target.Report{
		Service: "service",
		Number:  n.numbers[i],
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
				Target:   n.index[effect.Target],
				Decision: effect,
			})
		}
	}
}

// Healthy draws what a healthy target does with a request.
func Healthy(r *rand.Rand, _ RuleRequest) (target.Outcome, time.Duration) {
	if r.Float64() < usualErrors {
		return target.Failed, lognormal(r, medianLatency)
	}
	return target.Succeeded, lognormal(r, medianLatency)
}

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
