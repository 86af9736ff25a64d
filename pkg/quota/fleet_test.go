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

// fleet runs many instances in virtual time. It simulates the network and, in
// lender_test.go, the lending of package share.
type fleet struct {
	random   *rand.Rand
	now      time.Duration
	queue    eventQueue
	sequence int
	nodes    []*node
	// cut holds the directed links that lose all messages.
	cut  map[[2]int]bool
	loss float64
	// drift bounds how far the rates of the clocks differ from true time.
	drift  float64
	limits quota.LimitMap
	meters map[string]*usageMeter
	// term is how long a share is lent, heartbeatInterval the time between
	// asks.
	term, heartbeatInterval time.Duration
	shardList               []share.Shard
	shareOwner              [64]int
	messages                int
	// outage says that the store is down, so shares of lost nodes aren't
	// reclaimed.
	outage     bool
	violations []string
}

type node struct {
	id            int
	info          instance.Info
	clockRate     float64
	clockOffset   time.Duration
	alive         bool
	pausedUntil   time.Duration
	coordinator   *quota.Coordinator
	holder        *quota.Holder
	allowance     *quota.Allowance
	lastHeartbeat []time.Duration
	shardsByFirst map[instance.Address][]share.Shard
	lastView      []instance.Info
	lastRanked    time.Duration
	nextTick      time.Duration
	waiting       map[uint64]*request
	loans         map[loanKey]loan
	lastLoan      [64]time.Duration
	left          bool
}

type request struct {
	id           uint64
	organisation string
	units        int
	arrived      time.Duration
	idealAdmits  bool
	tries        int
}

// usageMeter checks the exact bound of an organisation and simulates its ideal
// bucket. Requests that the ideal bucket admits and the fleet refuses count as
// wrongly refused.
type usageMeter struct {
	limit quota.Limit
	// excess is the largest usage of any window that ends now, less rate·t.
	excess    float64
	lastSpend time.Duration
	// idealLevel is the level of one bucket for the whole fleet that admits at
	// arrival.
	idealLevel, idealAt                        float64
	offered, admitted, refused, wronglyRefused int
	totalWait, longestWait                     time.Duration
}

func (m *usageMeter) spend(t time.Duration, units int) bool {
	m.excess = max(0, m.excess-m.limit.PerSecond*(t-m.lastSpend).Seconds()) + float64(units)
	m.lastSpend = t
	return m.excess <= float64(m.limit.Burst)+1e-6
}

func (m *usageMeter) idealTake(t time.Duration, units int) bool {
	m.idealLevel = min(float64(m.limit.Burst), m.idealLevel+m.limit.PerSecond*(t.Seconds()-m.idealAt))
	m.idealAt = t.Seconds()
	if m.idealLevel < float64(units) {
		return false
	}
	m.idealLevel -= float64(units)
	return true
}

type queued struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []queued

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
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
		random:            rand.New(rand.NewPCG(seed, 1)),
		cut:               map[[2]int]bool{},
		drift:             0.0001,
		limits:            limits,
		meters:            map[string]*usageMeter{},
		term:              800 * time.Millisecond,
		heartbeatInterval: 320 * time.Millisecond,
	}
	for name, l := range limits {
		f.meters[name] = &usageMeter{limit: l, idealLevel: float64(l.Burst)}
		f.shardList = append(f.shardList, quota.ShardOf(name))
	}
	slices.Sort(f.shardList)
	f.shardList = slices.Compact(f.shardList)
	for range size {
		f.add()
	}
	for s := range f.shareOwner {
		f.shareOwner[s] = s % size
	}
	return f
}

func (f *fleet) runAt(t time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, queued{at: max(t, f.now), sequence: f.sequence, run: run})
}

func (f *fleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(queued)
		f.now = e.at
		e.run()
	}
	f.now = until
}

// add starts a new instance.
func (f *fleet) add() {
	n := &node{id: len(f.nodes)}
	f.nodes = append(f.nodes, n)
	n.info.Address = instance.Address(fmt.Sprintf("10.0.0.%d:7000", n.id+1))
	n.info.Zone = fmt.Sprint("z", n.id%3)
	f.start(n)
}

// start starts an instance, or restarts it at the same address.
func (f *fleet) start(n *node) {
	n.info.Incarnation++
	n.alive, n.left = true, false
	n.clockRate = 1 + (2*f.random.Float64()-1)*f.drift
	n.clockOffset = time.Duration(f.random.Int64N(int64(time.Hour)))
	n.allowance = quota.NewAllowance()
	n.coordinator = quota.NewCoordinator(n.info.ID)
	n.holder = quota.NewHolder(n.info.ID, n.allowance)
	n.waiting = map[uint64]*request{}
	n.loans = map[loanKey]loan{}
	n.lastLoan = [64]time.Duration{}
	n.shardsByFirst = nil
	n.lastHeartbeat = make([]time.Duration, 1000)
	for i := range n.lastHeartbeat {
		n.lastHeartbeat[i] = -time.Hour
	}
	f.handleCoordinator(n, quota.LimitsChanged{Limits: f.limits})
	incarnation := n.info.Incarnation
	f.runAt(f.now+time.Duration(f.random.Int64N(int64(f.heartbeatInterval))), func() { f.heartbeat(n, incarnation) })
}

func (f *fleet) crash(n *node) {
	n.alive = false
	n.info.Incarnation++
	// Other nodes reclaim the shares once the node's lease in the store has
	// expired.
	incarnation := n.info.Incarnation
	f.runAt(f.now+12*time.Second, func() {
		if n.info.Incarnation == incarnation && !f.outage {
			f.reclaim(n)
		}
	})
}

// pause stops a process for some time. Its events wait until the end of the
// pause.
func (f *fleet) pause(n *node, d time.Duration) {
	n.pausedUntil = f.now + d
}

// onNode runs an event on the given run of a node, after a pause if the node is
// paused.
func (f *fleet) onNode(n *node, incarnation uint64, at time.Duration, run func()) {
	f.runAt(at, func() {
		if !n.alive || n.info.Incarnation != incarnation {
			return
		}
		if f.now < n.pausedUntil {
			f.onNode(n, incarnation, n.pausedUntil, run)
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
	f.onNode(to, to.info.Incarnation, f.now+latency, func() { deliver(sender) })
}

// localTime returns the time on a node's clock.
func (f *fleet) localTime(n *node) time.Duration {
	return n.clockOffset + time.Duration(float64(f.now)*n.clockRate)
}

func (f *fleet) handleCoordinator(n *node, e quota.Event) {
	f.perform(n, n.coordinator.Handle(f.localTime(n), e))
	f.scheduleTick(n)
}

func (f *fleet) handleHolder(n *node, e quota.Event) {
	f.perform(n, n.holder.Handle(f.localTime(n), e))
	f.scheduleTick(n)
}

func (f *fleet) scheduleTick(n *node) {
	next := n.coordinator.Next()
	if h := n.holder.Next(); next == 0 || h != 0 && h < next {
		next = h
	}
	if next == 0 {
		return
	}
	at := max(time.Duration(float64(next-n.clockOffset)/n.clockRate)+1, f.now+1)
	if n.nextTick > f.now && n.nextTick <= at {
		return
	}
	n.nextTick = at
	f.onNode(n, n.info.Incarnation, at, func() {
		if n.nextTick != at {
			return
		}
		f.perform(n, n.coordinator.Handle(f.localTime(n), quota.Tick{}))
		f.perform(n, n.holder.Handle(f.localTime(n), quota.Tick{}))
		n.nextTick = 0
		f.scheduleTick(n)
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

func (f *fleet) perform(n *node, list []quota.Effect) {
	for _, e := range list {
		switch e := e.(type) {
		case quota.Send:
			to := f.node(e.To)
			f.send(n, to, func(from instance.ID) {
				m := quota.Received{From: from, Message: e.Message}
				if quota.ForHolder(e.Message, to.info.ID) {
					f.handleHolder(to, m)
				} else {
					f.handleCoordinator(to, m)
				}
			})
		case quota.Admitted:
			f.use(n, n.waiting[e.Request], e.Token)
		case quota.Refused:
			r := n.waiting[e.Request]
			delete(n.waiting, e.Request)
			f.countRefusal(r)
		case quota.Left:
			n.left = true
		}
	}
}

func (f *fleet) countRefusal(r *request) {
	m := f.meters[r.organisation]
	m.refused++
	if r.idealAdmits {
		m.wronglyRefused++
	}
}

// arrive offers a request to a node.
func (f *fleet) arrive(n *node, organisation string, units int) {
	if !n.alive || n.left {
		return
	}
	m := f.meters[organisation]
	m.offered++
	f.sequence++
	f.try(n, &request{
		id:           uint64(f.sequence),
		organisation: organisation,
		units:        units,
		arrived:      f.now,
		idealAdmits:  m.idealTake(f.now, units),
	})
}

func (f *fleet) try(n *node, r *request) {
	r.tries++
	n.waiting[r.id] = r
	f.onNode(n, n.info.Incarnation, f.now, func() {
		token, result := n.allowance.Take(f.localTime(n), r.organisation, r.units)
		switch result {
		case quota.Empty:
			f.handleHolder(n, quota.Acquire{Request: r.id, Organisation: r.organisation, Units: r.units})
		case quota.TakenLow:
			f.handleHolder(n, quota.Low{Organisation: r.organisation})
			f.use(n, r, token)
		case quota.Taken:
			f.use(n, r, token)
		}
	})
}

// use spends a token after a random delay, in which a target would be chosen.
func (f *fleet) use(n *node, r *request, token quota.Token) {
	delay := time.Duration(f.random.ExpFloat64() * float64(50*time.Microsecond))
	f.onNode(n, n.info.Incarnation, f.now+delay, func() {
		spent := token.Spend(f.localTime(n))
		if token.PromptReport() {
			f.handleHolder(n, quota.Settled{Token: token})
		}
		if !spent && r.tries < 4 {
			f.try(n, r)
			return
		}
		delete(n.waiting, r.id)
		if !spent {
			f.countRefusal(r)
			return
		}
		m := f.meters[r.organisation]
		m.admitted++
		m.longestWait = max(m.longestWait, f.now-r.arrived)
		m.totalWait += f.now - r.arrived
		if !m.spend(f.now, r.units) {
			f.violations = append(f.violations, fmt.Sprintf("%s: used %.3f above rate·t in one window, more than its burst of %d, at %v", r.organisation, m.excess, m.limit.Burst, f.now))
		}
	})
}

// offerLoad offers requests of an organisation to the nodes that pick returns.
func (f *fleet) offerLoad(organisation string, perSecond float64, from, until time.Duration, pick func() *node) {
	gap := func() time.Duration { return time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)) }
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		if n := pick(); n != nil {
			f.arrive(n, organisation, 1)
		}
		f.runAt(f.now+gap(), next)
	}
	f.runAt(from+gap(), next)
}

// unevenPick returns a function that picks a live node, half the time the
// favourite.
func (f *fleet) unevenPick(favourite int) func() *node {
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
