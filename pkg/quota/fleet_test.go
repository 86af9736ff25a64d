package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/share"
)

// fleet runs many instances on virtual time. It stands in for the network and,
// through lender, for package share.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	queue  eventQueue
	order  int
	nodes  []*node
	// cut tells which directed links lose everything.
	cut  map[[2]int]bool
	loss float64
	// drift bounds the clocks' deviation from true time.
	drift  float64
	limits quota.LimitMap
	meters map[string]*meter
	// term is that of the lenders' delegations, beat the time between asks.
	term, beat time.Duration
	shardList  []share.Shard
	owner      [64]int
	messages   int
	// outage keeps lost shares lost.
	outage   bool
	breaches []string
}

type node struct {
	id          int
	info        instance.Info
	rate        float64
	offset      time.Duration
	alive       bool
	pausedUntil time.Duration
	coordinator *quota.Coordinator
	holder      *quota.Holder
	allowance   *quota.Allowance
	heard       []time.Duration
	first       map[instance.Address][]share.Shard
	viewed      []instance.Info
	refreshed   time.Duration
	wake        time.Duration
	waiting     map[uint64]*request
	lent        map[loan]loanState
	got         [64]time.Duration
	left        bool
}

type request struct {
	id           uint64
	organisation string
	units        int
	arrived      time.Duration
	ideal        bool
	tries        int
}

// meter holds the exact bound and the ideal bucket of an organisation.
type meter struct {
	limit quota.Limit
	// excess is the largest use of any window that ends now, less rate·t.
	excess float64
	at     time.Duration
	// ideal is one bucket for the whole fleet, asked at arrival.
	ideal, idealAt                       float64
	offered, admitted, refused, wrongful int
	waited, longest                      time.Duration
}

func (m *meter) spend(t time.Duration, units int) bool {
	m.excess = max(0, m.excess-m.limit.PerSecond*(t-m.at).Seconds()) + float64(units)
	m.at = t
	return m.excess <= float64(m.limit.Burst)+1e-6
}

func (m *meter) offer(t time.Duration, units int) bool {
	m.ideal = min(float64(m.limit.Burst), m.ideal+m.limit.PerSecond*(t.Seconds()-m.idealAt))
	m.idealAt = t.Seconds()
	if m.ideal < float64(units) {
		return false
	}
	m.ideal -= float64(units)
	return true
}

type queued struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []queued

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(queued)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newFleet(seed uint64, size int, limits quota.LimitMap) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)),
		cut:    map[[2]int]bool{},
		drift:  0.0001,
		limits: limits,
		meters: map[string]*meter{},
		term:   800 * time.Millisecond,
		beat:   320 * time.Millisecond,
	}
	for name, l := range limits {
		f.meters[name] = &meter{limit: l, ideal: float64(l.Burst)}
		f.shardList = append(f.shardList, quota.ShardOf(name))
	}
	slices.Sort(f.shardList)
	f.shardList = slices.Compact(f.shardList)
	for range size {
		f.add()
	}
	for s := range f.owner {
		f.owner[s] = s % size
	}
	return f
}

func (f *fleet) at(t time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, queued{at: max(t, f.now), order: f.order, run: run})
}

func (f *fleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(queued)
		f.now = e.at
		e.run()
	}
	f.now = until
}

// add starts a new instance, or a new run at the same address with restart.
func (f *fleet) add() {
	n := &node{id: len(f.nodes)}
	f.nodes = append(f.nodes, n)
	n.info.Address = instance.Address(fmt.Sprintf("10.0.0.%d:7000", n.id+1))
	n.info.Zone = fmt.Sprint("z", n.id%3)
	f.start(n)
}

func (f *fleet) start(n *node) {
	n.info.Incarnation++
	n.alive, n.left = true, false
	n.rate = 1 + (2*f.random.Float64()-1)*f.drift
	n.offset = time.Duration(f.random.Int64N(int64(time.Hour)))
	n.allowance = quota.NewAllowance()
	n.coordinator = quota.NewCoordinator(n.info.ID)
	n.holder = quota.NewHolder(n.info.ID, n.allowance)
	n.waiting = map[uint64]*request{}
	n.lent = map[loan]loanState{}
	n.got = [64]time.Duration{}
	n.first = nil
	n.heard = make([]time.Duration, 1000)
	for i := range n.heard {
		n.heard[i] = -time.Hour
	}
	f.coordinate(n, quota.LimitsChanged{Limits: f.limits})
	incarnation := n.info.Incarnation
	f.at(f.now+time.Duration(f.random.Int64N(int64(f.beat))), func() { f.heartbeat(n, incarnation) })
}

func (f *fleet) crash(n *node) {
	n.alive = false
	n.info.Incarnation++
	// The store lets others reclaim the shares.
	incarnation := n.info.Incarnation
	f.at(f.now+12*time.Second, func() {
		if n.info.Incarnation == incarnation && !f.outage {
			f.reclaim(n)
		}
	})
}

// pause freezes a process; its events wait for the end of the pause.
func (f *fleet) pause(n *node, d time.Duration) {
	n.pausedUntil = f.now + d
}

// on runs an event on a node if that run of it is still alive, after a pause.
func (f *fleet) on(n *node, incarnation uint64, at time.Duration, run func()) {
	f.at(at, func() {
		if !n.alive || n.info.Incarnation != incarnation {
			return
		}
		if f.now < n.pausedUntil {
			f.on(n, incarnation, n.pausedUntil, run)
			return
		}
		run()
	})
}

func (f *fleet) send(from, to *node, deliver func(from instance.ID)) {
	f.messages++
	sender := from.info.ID
	if from != to && (f.cut[[2]int{from.id, to.id}] || f.random.Float64() < f.loss) {
		return
	}
	latency := 500*time.Microsecond + time.Duration(f.random.ExpFloat64()*float64(100*time.Microsecond))
	if from == to {
		latency = time.Microsecond
	}
	f.on(to, to.info.Incarnation, f.now+latency, func() { deliver(sender) })
}

func (f *fleet) local(n *node) time.Duration {
	return n.offset + time.Duration(float64(f.now)*n.rate)
}

func (f *fleet) coordinate(n *node, e quota.Event) {
	f.effects(n, n.coordinator.Handle(f.local(n), e))
	f.schedule(n)
}

func (f *fleet) hold(n *node, e quota.Event) {
	f.effects(n, n.holder.Handle(f.local(n), e))
	f.schedule(n)
}

func (f *fleet) schedule(n *node) {
	next := n.coordinator.Next()
	if h := n.holder.Next(); next == 0 || h != 0 && h < next {
		next = h
	}
	if next == 0 {
		return
	}
	at := max(time.Duration(float64(next-n.offset)/n.rate)+1, f.now+1)
	if n.wake > f.now && n.wake <= at {
		return
	}
	n.wake = at
	f.on(n, n.info.Incarnation, at, func() {
		if n.wake != at {
			return
		}
		f.effects(n, n.coordinator.Handle(f.local(n), quota.Tick{}))
		f.effects(n, n.holder.Handle(f.local(n), quota.Tick{}))
		n.wake = 0
		f.schedule(n)
	})
}

func (f *fleet) node(a instance.Address) *node {
	for _, n := range f.nodes {
		if n.info.Address == a {
			return n
		}
	}
	panic("no node " + a)
}

func (f *fleet) effects(n *node, list []quota.Effect) {
	for _, e := range list {
		switch e := e.(type) {
		case quota.Send:
			to := f.node(e.To)
			f.send(n, to, func(from instance.ID) {
				m := quota.Received{From: from, Message: e.Message}
				if quota.ForHolder(e.Message, to.info.ID) {
					f.hold(to, m)
				} else {
					f.coordinate(to, m)
				}
			})
		case quota.Admitted:
			f.use(n, n.waiting[e.Request], e.Token)
		case quota.Refused:
			r := n.waiting[e.Request]
			delete(n.waiting, e.Request)
			f.refuse(r)
		case quota.Left:
			n.left = true
		}
	}
}

func (f *fleet) refuse(r *request) {
	m := f.meters[r.organisation]
	m.refused++
	if r.ideal {
		m.wrongful++
	}
}

// arrive brings a request to a node.
func (f *fleet) arrive(n *node, organisation string, units int) {
	if !n.alive || n.left {
		return
	}
	m := f.meters[organisation]
	m.offered++
	f.order++
	f.try(n, &request{
		id:           uint64(f.order),
		organisation: organisation,
		units:        units,
		arrived:      f.now,
		ideal:        m.offer(f.now, units),
	})
}

func (f *fleet) try(n *node, r *request) {
	r.tries++
	n.waiting[r.id] = r
	f.on(n, n.info.Incarnation, f.now, func() {
		token, verdict := n.allowance.Take(f.local(n), r.organisation, r.units)
		switch verdict {
		case quota.Empty:
			f.hold(n, quota.Acquire{Request: r.id, Organisation: r.organisation, Units: r.units})
		case quota.TakenLow:
			f.hold(n, quota.Low{Organisation: r.organisation})
			f.use(n, r, token)
		case quota.Taken:
			f.use(n, r, token)
		}
	})
}

// use spends a token after the choice of a target, which may take a while.
func (f *fleet) use(n *node, r *request, token quota.Token) {
	delay := time.Duration(f.random.ExpFloat64() * float64(50*time.Microsecond))
	f.on(n, n.info.Incarnation, f.now+delay, func() {
		spent := token.Spend(f.local(n))
		if token.PromptReport() {
			f.hold(n, quota.Settled{Token: token})
		}
		if !spent && r.tries < 4 {
			f.try(n, r)
			return
		}
		delete(n.waiting, r.id)
		if !spent {
			f.refuse(r)
			return
		}
		m := f.meters[r.organisation]
		m.admitted++
		m.longest = max(m.longest, f.now-r.arrived)
		m.waited += f.now - r.arrived
		if !m.spend(f.now, r.units) {
			f.breaches = append(f.breaches, fmt.Sprintf("%s: %.3f over a burst of %d at %v", r.organisation, m.excess, m.limit.Burst, f.now))
		}
	})
}

// load offers requests of an organisation to nodes that pick chooses.
func (f *fleet) load(organisation string, perSecond float64, from, until time.Duration, pick func() *node) {
	gap := func() time.Duration { return time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)) }
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		if n := pick(); n != nil {
			f.arrive(n, organisation, 1)
		}
		f.at(f.now+gap(), next)
	}
	f.at(from+gap(), next)
}

// uneven picks a live node, half the time the same one of a few.
func (f *fleet) uneven(favourite int) func() *node {
	return func() *node {
		for range 20 {
			n := f.nodes[f.random.IntN(len(f.nodes))]
			if f.random.IntN(2) == 0 {
				n = f.nodes[favourite%len(f.nodes)]
			}
			if n.alive && !n.left {
				return n
			}
		}
		return nil
	}
}
