package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/placement"
	"dandelionmux/pkg/queue"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

// Policy is the set of rules by which an instance handles requests.
type Policy string

// Values of Policy.
const (
	// Fleet is the policy of the proxy fleet.
	Fleet Policy = "fleet"
	// Plain is the baseline: round robin, no ejection, no shared evidence, no
	// limits, one first-in-first-out queue at the targets, and up to two retries
	// of every failure.
	Plain Policy = "plain"
)

const (
	// slots is the number of requests that a target runs at the same time, and
	// backlog the number of further ones that wait there before it sheds.
	slots   = 6
	backlog = 6
	// shedLatency is how long a target takes to shed or fail a request.
	shedLatency = time.Millisecond
	// callerDeadline is how long a caller waits for an answer.
	callerDeadline = 2 * time.Second
	// plainRetries is the number of times that the baseline retries a request.
	plainRetries = 2
	// redispatchDelay is how long after a shed an instance dispatches its
	// queue, if nothing else does so earlier.
	redispatchDelay = 5 * time.Millisecond
	// settleTime is the length of the first part of a run, in which requests
	// aren't counted.
	settleTime = 20 * time.Second
)

// Load describes a run of one service under load.
type Load struct {
	Policy    Policy
	Targets   int
	Instances int
	// Rates holds the requests a second of each organisation.
	Rates []float64
	// Slowness holds a factor on the service times of each organisation. Empty
	// means one for all.
	Slowness []float64
	// Down makes every attempt fail from settleTime on.
	Down bool
	// Length is the time during which requests are counted, after settleTime.
	Length time.Duration
}

// OrganisationResult is the result of one organisation in a run.
type OrganisationResult struct {
	Requests  int
	Succeeded int
	// Latencies holds the latencies of the successes, in ascending order.
	Latencies []time.Duration
}

// SuccessRate returns the fraction of the requests that succeeded, zero if there
// were none.
func (r OrganisationResult) SuccessRate() float64 {
	return float64(r.Succeeded) / float64(max(r.Requests, 1))
}

// LoadResult is the result of a run.
type LoadResult struct {
	Organisations []OrganisationResult
	// Requests and Attempts count the requests that arrived after settleTime, from
	// all organisations, and their attempts.
	Requests int
	Attempts int
	// LongestQueue is the greatest length that the queue of any instance had.
	LongestQueue int
}

// targetModel models a target.
type targetModel struct {
	running int
	waiting []*request
}

// request is the state of one request, from its arrival to its end.
type request struct {
	organisation int
	number       uint64
	arrived      time.Duration
	attempts     int
	// pick, targetIndex and started belong to the latest attempt. The baseline has no
	// pick.
	pick        placement.Pick
	targetIndex int
	started     time.Duration
	// counted is set if the request arrived after settleTime.
	counted bool
}

// instanceModel models one instance.
type instanceModel struct {
	table  *placement.Table
	queue  *queue.Queue
	budget *retry.Budget
	random *rand.Rand
	// requests holds the requests in the queue, and those that wait at a target.
	requests map[uint64]*request
	// nextTarget is the index of the target after which round robin goes on.
	nextTarget int
	// dispatchScheduled is set while scheduleDispatch has a step pending.
	dispatchScheduled bool
}

// loadRun is the state of one run of a Load.
type loadRun struct {
	Load
	clock
	random            *rand.Rand
	targets           []targetModel
	instances         []*instanceModel
	organisationNames []string
	// targetIndex maps the names of targets to their indices.
	targetIndex map[string]int
	result      LoadResult
	// lastNumber is the number of the last request.
	lastNumber uint64
}

// Run simulates the load with the given seed.
func (l Load) Run(seed uint64) LoadResult {
	n := &loadRun{
		Load:        l,
		random:      rand.New(rand.NewPCG(seed, 11)),
		targets:     make([]targetModel, l.Targets),
		targetIndex: map[string]int{},
	}
	n.result.Organisations = make([]OrganisationResult, len(l.Rates))
	var targets []target.WeightedTarget
	for i := range l.Targets {
		name := fmt.Sprintf("t%d", i)
		n.targetIndex[name] = i
		targets = append(targets, target.WeightedTarget{
			Target: document.Target{
				Name:        name,
				Address:     fmt.Sprintf("10.1.0.%d:80", i+1),
				Zone:        string(rune('a' + i%zones)),
				Slots:       slots,
				Connections: 330,
			},
			Weight: 1,
		})
	}
	for i := range l.Instances {
		n.instances = append(n.instances, n.newInstance(i, seed, targets))
	}
	for o := range l.Rates {
		n.organisationNames = append(n.organisationNames, fmt.Sprintf("o%d", o))
		n.scheduleArrival(o)
	}
	n.runUntil(settleTime + l.Length + callerDeadline)
	for i := range n.result.Organisations {
		slices.Sort(n.result.Organisations[i].Latencies)
	}
	return n.result
}

// newInstance returns the i-th instance.
func (n *loadRun) newInstance(i int, seed uint64, targets []target.WeightedTarget) *instanceModel {
	return &instanceModel{
		table: placement.NewTable(nil, placement.Settings{
			Service:   "service",
			Targets:   targets,
			Instance:  instance.Address(fmt.Sprintf("10.0.0.%d:7000", i+1)),
			Zone:      string(rune('a' + i%zones)),
			Instances: n.Instances,
		}),
		queue: queue.New(
			queue.WithMaxLength(100),
			queue.WithRandom(rand.New(rand.NewPCG(seed, uint64(i)))),
		),
		budget:     retry.New(10),
		random:     rand.New(rand.NewPCG(seed, uint64(1000+i))),
		requests:   map[uint64]*request{},
		nextTarget: i,
	}
}

// scheduleArrival schedules the next request of an organisation. Each arrival
// schedules the one after it.
func (n *loadRun) scheduleArrival(o int) {
	wait := time.Duration(n.random.ExpFloat64() / n.Rates[o] * float64(time.Second))
	n.after(wait, func() {
		if n.now > settleTime+n.Length {
			return
		}
		n.lastNumber++
		q := &request{
			organisation: o,
			number:       n.lastNumber,
			arrived:      n.now,
			counted:      n.now >= settleTime,
		}
		if q.counted {
			n.result.Requests++
			n.result.Organisations[o].Requests++
		}
		m := n.instances[n.random.IntN(len(n.instances))]
		if n.Policy == Plain {
			n.sendPlain(m, q)
		} else {
			n.admit(m, q)
		}
		n.scheduleArrival(o)
	})
}

// admit places a request under the fleet's policy, or queues it.
func (n *loadRun) admit(m *instanceModel, q *request) {
	name := n.organisationNames[q.organisation]
	if m.queue.TryStart(n.now, name, m.table.FreeSlots(n.now)) {
		if n.place(m, q) {
			return
		}
		m.queue.FinishUnexecuted(n.now, name, false)
	}
	n.enqueue(m, q)
	n.dispatch(m)
}

// enqueue puts a request into the fair queue.
func (n *loadRun) enqueue(m *instanceModel, q *request) {
	m.requests[q.number] = q
	refused := m.queue.Push(n.now, queue.Request{
		Number:       q.number,
		Organisation: n.organisationNames[q.organisation],
		Cost:         1,
		Deadline:     q.arrived + callerDeadline,
	})
	n.forget(m, refused)
	n.result.LongestQueue = max(n.result.LongestQueue, m.queue.Len())
}

// forget removes the requests that the queue refused.
func (n *loadRun) forget(m *instanceModel, refused []queue.Refusal) {
	for _, r := range refused {
		delete(m.requests, r.Request.Number)
	}
}

// dispatch places queued requests while targets have room.
func (n *loadRun) dispatch(m *instanceModel) {
	for {
		r, expired, ok := m.queue.Pop(n.now, m.table.FreeSlots(n.now))
		n.forget(m, expired)
		if !ok {
			return
		}
		q := m.requests[r.Number]
		delete(m.requests, r.Number)
		if !n.place(m, q) {
			m.queue.FinishUnexecuted(n.now, r.Organisation, false)
			n.enqueue(m, q)
			return
		}
	}
}

// place sends a request to a target that has room, and reports whether there was
// one.
func (n *loadRun) place(m *instanceModel, q *request) bool {
	pick, ok := m.table.Pick(m.random, placement.Request{
		Repeatable: true,
	})
	if !ok {
		return false
	}
	q.pick = pick
	n.send(m, q, n.targetIndex[pick.Target().Name])
	return true
}

// sendPlain sends a request to the next target in turn, as the baseline does.
func (n *loadRun) sendPlain(m *instanceModel, q *request) {
	m.nextTarget++
	n.send(m, q, m.nextTarget%n.Targets)
}

// send starts an attempt at the i-th target.
func (n *loadRun) send(m *instanceModel, q *request, i int) {
	q.attempts++
	q.targetIndex = i
	q.started = n.now
	if q.counted {
		n.result.Attempts++
	}
	t := &n.targets[i]
	switch {
	case n.Down && n.now >= settleTime:
		n.after(shedLatency, func() { n.finish(m, q, target.Failed) })
	case t.running < slots:
		n.serve(m, q)
	case len(t.waiting) < backlog:
		t.waiting = append(t.waiting, q)
		n.trackWaiting(m, q)
	default:
		n.after(shedLatency, func() { n.finish(m, q, target.Shed) })
	}
}

// trackWaiting records the instance of a request that waits at a target.
func (n *loadRun) trackWaiting(m *instanceModel, q *request) {
	m.requests[q.number] = q
}

// serve runs an attempt in a slot of its target.
func (n *loadRun) serve(m *instanceModel, q *request) {
	t := &n.targets[q.targetIndex]
	t.running++
	slowness := 1.0
	if len(n.Slowness) > 0 {
		slowness = n.Slowness[q.organisation]
	}
	serviceTime := time.Duration(slowness * float64(lognormal(n.random, medianLatency)))
	n.after(serviceTime, func() {
		t.running--
		n.finish(m, q, target.Succeeded)
		n.serveNext(t)
	})
}

// serveNext runs the first attempt that waits at a target, if a slot is free.
func (n *loadRun) serveNext(t *targetModel) {
	if len(t.waiting) == 0 || t.running >= slots {
		return
	}
	q := t.waiting[0]
	t.waiting = t.waiting[1:]
	for _, m := range n.instances {
		if m.requests[q.number] == q {
			delete(m.requests, q.number)
			n.serve(m, q)
			return
		}
	}
}

// finish handles the outcome of an attempt.
func (n *loadRun) finish(m *instanceModel, q *request, outcome target.Outcome) {
	if outcome == target.Succeeded {
		n.recordSuccess(q)
	}
	if n.Policy == Plain {
		if outcome != target.Succeeded && q.attempts <= plainRetries {
			n.sendPlain(m, q)
		}
		return
	}
	name := n.organisationNames[q.organisation]
	q.pick.Done(outcome, n.now-q.started)
	m.budget.Record(n.now, outcome)
	if outcome == target.Shed {
		m.queue.FinishUnexecuted(n.now, name, true)
		n.enqueue(m, q)
		n.scheduleDispatch(m)
		return
	}
	m.queue.Finish(n.now, name, 1, n.now-q.started)
	if outcome == target.Failed {
		n.retryFailed(m, q, outcome)
	}
	n.dispatch(m)
}

// retryFailed retries a failed request if the retry budget allows it.
func (n *loadRun) retryFailed(m *instanceModel, q *request, outcome target.Outcome) {
	decision := m.budget.Decide(n.now, retry.Attempt{
		Number:     q.attempts,
		Outcome:    outcome,
		Repeatable: true,
		Deadline:   q.arrived + callerDeadline,
	})
	if decision == retry.Granted {
		n.admit(m, q)
	}
}

// scheduleDispatch dispatches the queue after redispatchDelay.
func (n *loadRun) scheduleDispatch(m *instanceModel) {
	if m.dispatchScheduled {
		return
	}
	m.dispatchScheduled = true
	n.after(redispatchDelay, func() {
		m.dispatchScheduled = false
		n.dispatch(m)
	})
}

// recordSuccess counts a success, unless it came after the caller's deadline.
func (n *loadRun) recordSuccess(q *request) {
	latency := n.now - q.arrived
	if !q.counted || latency > callerDeadline {
		return
	}
	r := &n.result.Organisations[q.organisation]
	r.Succeeded++
	r.Latencies = append(r.Latencies, latency)
}

// Fairness compares two runs: a calm one, in which all organisations send alike,
// and a loaded one, in which one organisation sends too many requests or slow
// ones. Its fields are about the others.
type Fairness struct {
	Name   string
	Policy Policy
	// MinSuccessRatio is the smallest ratio of an organisation's success rate in
	// the loaded run to that in the calm one, one at most.
	MinSuccessRatio float64
	// MaxLatencyRatio is the largest ratio of an organisation's p99 latency in
	// the loaded run to that in the calm one.
	MaxLatencyRatio float64
	// CalmP99 and LoadedP99 are the latencies of the organisation with that
	// ratio.
	CalmP99   time.Duration
	LoadedP99 time.Duration
	// LongestQueue is the greatest length that the queue of any instance had
	// under load.
	LongestQueue int
}

// calmLoad returns the load of a service with six targets, to which eight
// organisations send equally many requests, together the given fraction of its
// capacity.
func calmLoad(p Policy, utilisation float64) Load {
	const organisations = 8
	meanServiceSeconds := float64(medianLatency) * math.Exp(latencyDeviation*latencyDeviation/2) / float64(time.Second)
	rate := utilisation * 6 * slots / meanServiceSeconds / organisations
	l := Load{
		Policy:    p,
		Targets:   6,
		Instances: 40,
		Length:    20 * time.Second,
	}
	for range organisations {
		l.Rates = append(l.Rates, rate)
	}
	return l
}

// calmUtilisation is the fraction of the capacity that the calm run uses.
const calmUtilisation = 0.8

// MeasureFairness measures how the other organisations fare when the first one
// sends at ten times its rate, or, if slow is set, requests that take twenty times
// as long.
func MeasureFairness(p Policy, slow bool, seed uint64) Fairness {
	calm := calmLoad(p, calmUtilisation).Run(seed)
	l := calmLoad(p, calmUtilisation)
	f := Fairness{
		Name:            "one organisation at ten times its rate",
		Policy:          p,
		MinSuccessRatio: 1,
	}
	if slow {
		f.Name = "one organisation with requests twenty times slower"
		l.Slowness = []float64{20, 1, 1, 1, 1, 1, 1, 1}
	} else {
		l.Rates[0] *= 10
	}
	loaded := l.Run(seed)
	f.LongestQueue = loaded.LongestQueue
	for i := 1; i < len(l.Rates); i++ {
		f.MinSuccessRatio = min(f.MinSuccessRatio, loaded.Organisations[i].SuccessRate()/calm.Organisations[i].SuccessRate())
		calmP99 := Quantile(calm.Organisations[i].Latencies, 0.99)
		loadedP99 := Quantile(loaded.Organisations[i].Latencies, 0.99)
		if ratio := float64(loadedP99) / float64(calmP99); ratio > f.MaxLatencyRatio {
			f.MaxLatencyRatio = ratio
			f.CalmP99, f.LoadedP99 = calmP99, loadedP99
		}
	}
	return f
}

// AttemptsInOutage returns the mean number of attempts for each request while
// every attempt fails.
func AttemptsInOutage(p Policy, seed uint64) float64 {
	l := calmLoad(p, 0.3)
	l.Down = true
	r := l.Run(seed)
	return float64(r.Attempts) / float64(r.Requests)
}
