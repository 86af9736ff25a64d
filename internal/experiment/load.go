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

// Policy is a way to run an instance.
type Policy string

// Values of Policy.
const (
	// Fleet is the project's policy.
	Fleet Policy = "fleet"
	// Plain is the baseline: round robin, no ejection, no shared evidence, no
	// limits, one first-in-first-out queue at the targets, and up to two retries
	// of every failure.
	Plain Policy = "plain"
)

const (
	// slots and backlog are what a target runs at a time, and how many more it
	// lets wait before it sheds.
	slots   = 6
	backlog = 6
	// shedLatency is how long a target takes to shed.
	shedLatency = time.Millisecond
	// callerDeadline is how long a caller waits.
	callerDeadline = 2 * time.Second
	// plainRetries is how often the baseline tries again.
	plainRetries = 2
	// shedPause is how long an instance waits after a shed before it sends
	// what waits, if nothing else does that earlier.
	shedPause = 5 * time.Millisecond
	// settling is the start of a run that isn't counted.
	settling = 20 * time.Second
)

// Load is a run of one service under load.
type Load struct {
	Policy    Policy
	Targets   int
	Instances int
	// Rates are the requests a second of each organisation.
	Rates []float64
	// Slowness multiplies the service times of each organisation; empty means
	// one for all.
	Slowness []float64
	// Down makes every attempt fail from settling on.
	Down bool
	// Length is the time that is counted.
	Length time.Duration
}

// Share is what one organisation got.
type Share struct {
	Requests  int
	Succeeded int
	// Latencies of the successes, in order.
	Latencies []time.Duration
}

// Success is the part of the requests that succeeded.
func (s Share) Success() float64 {
	return float64(s.Succeeded) / float64(max(s.Requests, 1))
}

// LoadResult is what a run showed.
type LoadResult struct {
	Shares []Share
	// Requests and Attempts are those of the whole service.
	Requests int
	Attempts int
	// Longest is the longest queue of any instance.
	Longest int
}

// server is the model of a target.
type server struct {
	running int
	waiting []*call
}

// call is one request on its way.
type call struct {
	organisation int
	number       uint64
	arrived      time.Duration
	attempts     int
	pick         placement.Pick
	server       int
	started      time.Duration
	counted      bool
}

// entry is the model of one instance.
type entry struct {
	table  *placement.Table
	queue  *queue.Queue
	budget *retry.Budget
	random *rand.Rand
	calls  map[uint64]*call
	next   int
	paused bool
}

// loadRun is the state of one run.
type loadRun struct {
	Load
	clock
	random  *rand.Rand
	servers []server
	entries []*entry
	names   []string
	index   map[string]int
	result  LoadResult
	number  uint64
}

// Run simulates the load with a seed.
func (l Load) Run(seed uint64) LoadResult {
	n := &loadRun{
		Load:    l,
		random:  rand.New(rand.NewPCG(seed, 11)),
		servers: make([]server, l.Targets),
		index:   map[string]int{},
	}
	n.result.Shares = make([]Share, len(l.Rates))
	var serving []target.WeightedTarget
	for i := range l.Targets {
		name := fmt.Sprintf("t%d", i)
		n.index[name] = i
		serving = append(serving, target.WeightedTarget{
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
		n.entries = append(n.entries, n.entry(i, seed, serving))
	}
	for o := range l.Rates {
		n.names = append(n.names, fmt.Sprintf("o%d", o))
		n.arrive(o)
	}
	n.until(settling + l.Length + callerDeadline)
	for i := range n.result.Shares {
		slices.Sort(n.result.Shares[i].Latencies)
	}
	return n.result
}

func (n *loadRun) entry(i int, seed uint64, serving []target.WeightedTarget) *entry {
	return &entry{
		table: placement.NewTable(nil, placement.Settings{
			Service:   "service",
			Targets:   serving,
			Instance:  instance.Address(fmt.Sprintf("10.0.0.%d:7000", i+1)),
			Zone:      string(rune('a' + i%zones)),
			Instances: n.Instances,
		}),
		queue: queue.New(
			queue.WithMaxLength(100),
			queue.WithRandom(rand.New(rand.NewPCG(seed, uint64(i)))),
		),
		budget: retry.New(10),
		random: rand.New(rand.NewPCG(seed, uint64(1000+i))),
		calls:  map[uint64]*call{},
		next:   i,
	}
}

// arrive lets an organisation's requests come, one after the other.
func (n *loadRun) arrive(o int) {
	wait := time.Duration(n.random.ExpFloat64() / n.Rates[o] * float64(time.Second))
	n.after(wait, func() {
		if n.now > settling+n.Length {
			return
		}
		n.number++
		c := &call{
			organisation: o,
			number:       n.number,
			arrived:      n.now,
			counted:      n.now >= settling,
		}
		if c.counted {
			n.result.Requests++
			n.result.Shares[o].Requests++
		}
		e := n.entries[n.random.IntN(len(n.entries))]
		if n.Policy == Plain {
			n.plain(e, c)
		} else {
			n.admit(e, c)
		}
		n.arrive(o)
	})
}

// admit is how an instance of the fleet takes in a request.
func (n *loadRun) admit(e *entry, c *call) {
	name := n.names[c.organisation]
	if e.queue.TryStart(n.now, name, e.table.FreeSlots()) {
		if n.place(e, c) {
			return
		}
		e.queue.FinishUnexecuted(n.now, name, false)
	}
	n.wait(e, c)
	n.drain(e)
}

// wait puts a request into the fair queue.
func (n *loadRun) wait(e *entry, c *call) {
	e.calls[c.number] = c
	refused := e.queue.Push(n.now, queue.Request{
		Number:       c.number,
		Organisation: n.names[c.organisation],
		Cost:         1,
		Deadline:     c.arrived + callerDeadline,
	})
	n.refuse(e, refused)
	n.result.Longest = max(n.result.Longest, e.queue.Len())
}

func (n *loadRun) refuse(e *entry, refused []queue.Refusal) {
	for _, r := range refused {
		delete(e.calls, r.Request.Number)
	}
}

// drain runs what waits while there is room.
func (n *loadRun) drain(e *entry) {
	for {
		r, late, ok := e.queue.Pop(n.now, e.table.FreeSlots())
		n.refuse(e, late)
		if !ok {
			return
		}
		c := e.calls[r.Number]
		delete(e.calls, r.Number)
		if !n.place(e, c) {
			e.queue.FinishUnexecuted(n.now, r.Organisation, false)
			n.wait(e, c)
			return
		}
	}
}

// place sends a request to a target, if one has room.
func (n *loadRun) place(e *entry, c *call) bool {
	p, ok := e.table.Pick(e.random, placement.Request{
		Repeatable: true,
	})
	if !ok {
		return false
	}
	c.pick = p
	n.send(e, c, n.index[p.Target().Name])
	return true
}

// plain is how an instance of the baseline takes in a request.
func (n *loadRun) plain(e *entry, c *call) {
	e.next++
	n.send(e, c, e.next%n.Targets)
}

// send brings an attempt to a target.
func (n *loadRun) send(e *entry, c *call, i int) {
	c.attempts++
	c.server = i
	c.started = n.now
	if c.counted {
		n.result.Attempts++
	}
	s := &n.servers[i]
	switch {
	case n.Down && n.now >= settling:
		n.after(shedLatency, func() { n.end(e, c, target.Failed) })
	case s.running < slots:
		n.serve(e, c)
	case len(s.waiting) < backlog:
		s.waiting = append(s.waiting, c)
		n.hold(e, c)
	default:
		n.after(shedLatency, func() { n.end(e, c, target.Shed) })
	}
}

// hold remembers which instance a waiting call belongs to.
func (n *loadRun) hold(e *entry, c *call) {
	e.calls[c.number] = c
}

// serve runs an attempt in a slot.
func (n *loadRun) serve(e *entry, c *call) {
	s := &n.servers[c.server]
	s.running++
	slowness := 1.0
	if len(n.Slowness) > 0 {
		slowness = n.Slowness[c.organisation]
	}
	took := time.Duration(slowness * float64(lognormal(n.random, medianLatency)))
	n.after(took, func() {
		s.running--
		n.end(e, c, target.Succeeded)
		n.next(s)
	})
}

// next lets the first waiting attempt of a target run.
func (n *loadRun) next(s *server) {
	if len(s.waiting) == 0 || s.running >= slots {
		return
	}
	c := s.waiting[0]
	s.waiting = s.waiting[1:]
	for _, e := range n.entries {
		if e.calls[c.number] == c {
			delete(e.calls, c.number)
			n.serve(e, c)
			return
		}
	}
}

// end takes in what became of an attempt.
func (n *loadRun) end(e *entry, c *call, outcome target.Outcome) {
	if outcome == target.Succeeded {
		n.succeed(c)
	}
	if n.Policy == Plain {
		if outcome != target.Succeeded && c.attempts <= plainRetries {
			n.plain(e, c)
		}
		return
	}
	name := n.names[c.organisation]
	c.pick.Done(outcome, n.now-c.started)
	e.budget.Record(n.now, outcome)
	if outcome == target.Shed {
		e.queue.FinishUnexecuted(n.now, name, true)
		n.wait(e, c)
		n.pause(e)
		return
	}
	e.queue.Finish(n.now, name, 1, n.now-c.started)
	if outcome == target.Failed {
		n.again(e, c, outcome)
	}
	n.drain(e)
}

// again tries a failed request once more if the budget pays for it.
func (n *loadRun) again(e *entry, c *call, outcome target.Outcome) {
	d := e.budget.Decide(n.now, retry.Attempt{
		Number:     c.attempts,
		Outcome:    outcome,
		Repeatable: true,
		Deadline:   c.arrived + callerDeadline,
	})
	if d == retry.Granted {
		n.admit(e, c)
	}
}

// pause sends what waits a little later.
func (n *loadRun) pause(e *entry) {
	if e.paused {
		return
	}
	e.paused = true
	n.after(shedPause, func() {
		e.paused = false
		n.drain(e)
	})
}

// succeed counts a success within the caller's deadline.
func (n *loadRun) succeed(c *call) {
	latency := n.now - c.arrived
	if !c.counted || latency > callerDeadline {
		return
	}
	s := &n.result.Shares[c.organisation]
	s.Succeeded++
	s.Latencies = append(s.Latencies, latency)
}

// Fairness compares the organisations within their rate under a greedy or slow
// one with the same ones in calm.
type Fairness struct {
	Name   string
	Policy Policy
	// LeastSuccess is the worst organisation's success in proportion to its own
	// in calm.
	LeastSuccess float64
	// MostLatency is the worst organisation's p99 in proportion to its own in
	// calm.
	MostLatency float64
	// Calm and Loaded are the p99 of that organisation.
	Calm   time.Duration
	Loaded time.Duration
	// Longest is the longest queue of an instance.
	Longest int
}

// calmLoad is a service of six targets with eight organisations at the given
// part of its capacity.
func calmLoad(p Policy, part float64) Load {
	const organisations = 8
	mean := float64(medianLatency) * math.Exp(latencyDeviation*latencyDeviation/2) / float64(time.Second)
	rate := part * 6 * slots / mean / organisations
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

// calmPart is the part of the capacity that is used in calm.
const calmPart = 0.8

// MeasureFairness lets the first organisation send ten times its rate, or slow
// requests.
func MeasureFairness(p Policy, slow bool, seed uint64) Fairness {
	calm := calmLoad(p, calmPart).Run(seed)
	l := calmLoad(p, calmPart)
	f := Fairness{
		Name:         "one organisation at ten times its rate",
		Policy:       p,
		LeastSuccess: 1,
	}
	if slow {
		f.Name = "one organisation with requests twenty times slower"
		l.Slowness = []float64{20, 1, 1, 1, 1, 1, 1, 1}
	} else {
		l.Rates[0] *= 10
	}
	loaded := l.Run(seed)
	f.Longest = loaded.Longest
	for i := 1; i < len(l.Rates); i++ {
		f.LeastSuccess = min(f.LeastSuccess, loaded.Shares[i].Success()/calm.Shares[i].Success())
		before := Quantile(calm.Shares[i].Latencies, 0.99)
		after := Quantile(loaded.Shares[i].Latencies, 0.99)
		if ratio := float64(after) / float64(before); ratio > f.MostLatency {
			f.MostLatency = ratio
			f.Calm, f.Loaded = before, after
		}
	}
	return f
}

// Outage returns the attempts for each request while every attempt fails.
func Outage(p Policy, seed uint64) float64 {
	l := calmLoad(p, 0.3)
	l.Down = true
	r := l.Run(seed)
	return float64(r.Attempts) / float64(r.Requests)
}
