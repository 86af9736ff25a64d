package share_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
	"dandelionmux/pkg/store"
)

// node is one simulated run of an instance.
type node struct {
	info  instance.Info
	state *share.State
	// offset and drift make the node's clock differ from the simulated time.
	offset  time.Duration
	drift   int64 // parts per million
	up      bool
	paused  bool
	backlog []share.Event
	// tickGeneration tells the newest scheduled Tick from earlier ones.
	tickGeneration int
	// borrowed is what the coordinator has borrowed, by share.
	borrowed []share.BorrowedShare
	messages int
	calls    int
	events   int
}

// clock returns the node's clock at a simulated time.
func (n *node) clock(simulated time.Duration) time.Duration {
	return n.offset + simulated + time.Duration(float64(simulated)*float64(n.drift)/1e6)
}

// realTime returns the first simulated time at which the node's clock shows at
// least the given time.
func (n *node) realTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-n.offset)/(1+float64(n.drift)/1e6)) + time.Microsecond
}

// scheduledEvent is a function to be called at a simulated time. Events at
// equal times run in the order in which they were scheduled.
type scheduledEvent struct {
	at    time.Duration
	order int
	run   func()
}

// eventQueue is a heap.Interface; the earliest event comes first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// leaseState is a platform lease of the simulated store.
type leaseState struct {
	until time.Duration
	term  time.Duration
}

// testingT has the methods that testing.T and rapid.T share.
type testingT interface {
	Helper()
	Fatalf(string, ...any)
	Logf(string, ...any)
}

// simulation simulates a network, a store and a fleet in virtual time.
type simulation struct {
	t      testingT
	random *rand.Rand
	now    time.Duration
	queue  eventQueue
	order  int
	nodes  []*node
	opts   []share.Option
	total  int
	// cut are the links, from one address to another, on which all messages are
	// lost. The store's address is "store".
	cut           map[[2]instance.Address]bool
	lossRate      float64
	maxDelay      time.Duration
	storeDown     bool
	storeLossRate float64
	storeMaxDelay time.Duration
	entries       map[string]store.Entry
	leases        map[store.LeaseID]leaseState
	counter       int64
	zones         int
	lag           time.Duration
	messageSize   func(share.Message) int
	sentBytes     int
	decisions     map[share.Action]int
	logEvents     bool
	// unchecked disables the checks of the rights, for measurements of large
	// fleets.
	unchecked bool
	onMessage func(*node, share.Send)
}

// newSimulation returns a simulation of n instances that start now.
func newSimulation(t testingT, seed uint64, n int, opts ...share.Option) *simulation {
	s := &simulation{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 1)),
		cut:       map[[2]instance.Address]bool{},
		maxDelay:  2 * time.Millisecond,
		entries:   map[string]store.Entry{},
		leases:    map[store.LeaseID]leaseState{},
		zones:     3,
		total:     share.DefaultTotal,
		lag:       5 * time.Second,
		opts:      append([]share.Option{share.ListLag(5 * time.Second)}, opts...),
		decisions: map[share.Action]int{},
	}
	for i := range n {
		s.start(i, 1)
	}
	s.announceMembers()
	s.repeat(time.Second, s.announceList)
	return s
}

// start starts a run in the place of instance i, or a new instance if there is
// none.
func (s *simulation) start(i int, incarnation uint64) *node {
	n := &node{
		info: instance.Info{
			ID: instance.ID{
				Address:     instance.Address(fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1)),
				Incarnation: incarnation,
			},
			Zone: fmt.Sprintf("z%d", i%s.zones),
		},
		offset: time.Duration(s.random.Int64N(int64(time.Hour))),
		drift:  s.random.Int64N(9000) - 4500,
		up:     true,
	}
	n.state = share.New(n.info, rand.New(rand.NewPCG(s.random.Uint64(), 2)), s.opts...)
	if i < len(s.nodes) {
		s.nodes[i].up = false
		s.nodes[i] = n
	} else {
		s.nodes = append(s.nodes, n)
	}
	n.borrowed = make([]share.BorrowedShare, share.DefaultTotal)
	s.schedule(s.now, func() { s.handle(n, share.Tick{}) })
	return n
}

// schedule calls a function at a simulated time.
func (s *simulation) schedule(at time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, scheduledEvent{at: max(at, s.now), order: s.order, run: run})
}

// repeat calls a function at a fixed interval, first after one interval.
func (s *simulation) repeat(gap time.Duration, run func()) {
	s.schedule(s.now+gap, func() {
		run()
		s.repeat(gap, run)
	})
}

// run advances the time and runs the events that are due.
func (s *simulation) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(scheduledEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
	s.checkHolders()
}

// waitUntil advances the time until the condition holds, and returns how long
// that took. The test fails if it takes longer than the limit.
func (s *simulation) waitUntil(limit time.Duration, holds func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for s.now < start+limit {
		if holds() {
			return s.now - start
		}
		s.run(50 * time.Millisecond)
	}
	s.t.Fatalf("condition not met within %v: %s", limit, s.describe())
	return limit
}

// running returns the instances that are up.
func (s *simulation) running() []instance.Info {
	var list []instance.Info
	for _, n := range s.nodes {
		if n.up {
			list = append(list, n.info)
		}
	}
	return list
}

// announceMembers tells all instances which instances are alive.
func (s *simulation) announceMembers() {
	for _, n := range s.nodes {
		s.handle(n, share.MembersChanged{Members: s.running()})
	}
}

// announceList gives all instances a reading of the platform's instance list.
func (s *simulation) announceList() {
	list := s.running()
	for _, n := range s.nodes {
		s.handle(n, share.ListRead{Instances: list})
	}
}

// handle passes an event to a node, carries out the effects, and schedules the
// next Tick. A paused node gets the event when it resumes.
func (s *simulation) handle(n *node, e share.Event) {
	if !n.up {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, e)
		return
	}
	n.events++
	for _, effect := range n.state.Handle(n.clock(s.now), e) {
		s.carryOut(n, effect)
	}
	n.tickGeneration++
	generation := n.tickGeneration
	s.schedule(n.realTime(n.state.Next()), func() {
		if generation == n.tickGeneration {
			s.handle(n, share.Tick{})
		}
	})
}

// carryOut carries out an effect of a node's state.
func (s *simulation) carryOut(n *node, effect share.Effect) {
	switch e := effect.(type) {
	case share.Send:
		n.messages++
		if s.messageSize != nil {
			s.sentBytes += s.messageSize(e.Message)
		}
		if s.onMessage != nil {
			s.onMessage(n, e)
		}
		s.deliver(n, e)
	case share.StoreCall:
		if s.logEvents {
			s.t.Logf("%v %s %#v", s.now, n.info.Address, e.Call)
		}
		n.calls++
		s.callStore(n, e)
	case share.BorrowedChanged:
		n.borrowed[e.Borrowed.Share] = e.Borrowed
		s.checkBorrowed(n, e.Borrowed)
	case share.Decision:
		s.decisions[e.Action]++
		if s.logEvents && e.Action != share.LentShards {
			s.t.Logf("%8v %s#%d %s %d seq %d %s", s.now, n.info.Address, n.info.Incarnation, e.Action, e.Share, e.Sequence, e.Peer)
		}
	}
}

// deliver sends a message over the network, which may lose, duplicate or delay
// it.
func (s *simulation) deliver(from *node, m share.Send) {
	copies := 1
	if s.lossRate > 0 && s.random.Float64() < s.lossRate {
		copies = s.random.IntN(2) * 2 // lost or duplicated
	}
	for range copies {
		delay := time.Duration(s.random.Int64N(int64(s.maxDelay))) + 100*time.Microsecond
		if s.lossRate > 0 && s.random.Float64() < s.lossRate {
			delay += time.Duration(s.random.Int64N(int64(4 * time.Second)))
		}
		s.schedule(s.now+delay, func() {
			if s.cut[[2]instance.Address{from.info.Address, m.To}] {
				return
			}
			for _, n := range s.nodes {
				if n.info.Address == m.To {
					s.handle(n, share.Received{From: from.info.ID, Message: m.Message})
				}
			}
		})
	}
}

// callStore makes a store call with the current faults of the store.
func (s *simulation) callStore(n *node, c share.StoreCall) {
	reply := func(a store.Answer, err error) {
		delay := time.Duration(s.random.Int64N(int64(4 * time.Millisecond)))
		if s.storeMaxDelay > 0 && s.random.IntN(4) == 0 {
			delay += time.Duration(s.random.Int64N(int64(s.storeMaxDelay)))
		}
		s.schedule(s.now+delay, func() {
			s.handle(n, share.StoreAnswer{Number: c.Number, Answer: a, Err: err})
		})
	}
	if s.storeDown || s.cut[[2]instance.Address{n.info.Address, "store"}] {
		reply(nil, store.ErrUnavailable)
		return
	}
	lost := s.random.Float64() < s.storeLossRate
	before := time.Duration(s.random.Int64N(int64(2 * time.Millisecond)))
	if s.storeMaxDelay > 0 && s.random.IntN(4) == 0 {
		before += time.Duration(s.random.Int64N(int64(s.storeMaxDelay)))
	}
	if lost {
		reply(nil, store.ErrOutcomeUnknown)
	}
	s.schedule(s.now+before, func() {
		a := s.apply(c.Call)
		if s.logEvents {
			s.t.Logf("   %s %T %v -> %.300s", n.info.Address, c.Call, lost, fmt.Sprintf("%+v", a))
		}
		if !lost {
			reply(a, nil)
		}
	})
}

// apply applies a call to the simulated store and returns the answer.
func (s *simulation) apply(call store.Call) store.Answer {
	for id, l := range s.leases {
		if s.now >= l.until {
			s.revoke(id)
		}
	}
	switch c := call.(type) {
	case store.List:
		a := store.Entries{Counter: s.counter}
		for k, e := range s.entries {
			if strings.HasPrefix(k, c.Prefix) {
				a.Entries = append(a.Entries, e)
			}
		}
		slices.SortFunc(a.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
		return a
	case store.Swap:
		_, alive := s.leases[c.Lease]
		if s.entries[c.Key].Version != c.Expected || c.Lease != 0 && !alive {
			return store.Swapped{Current: s.entries[c.Key]}
		}
		s.counter++
		s.entries[c.Key] = store.Entry{Key: c.Key, Value: c.Value, Version: s.counter, Lease: c.Lease}
		return store.Swapped{Done: true, Current: s.entries[c.Key]}
	case store.GrantLease:
		s.counter++
		id := store.LeaseID(s.counter)
		s.leases[id] = leaseState{until: s.now + c.Term, term: c.Term}
		return store.Leased{Lease: id, Term: c.Term}
	case store.RenewLease:
		l, alive := s.leases[c.Lease]
		if !alive {
			return store.Leased{Lease: c.Lease}
		}
		l.until = s.now + l.term
		s.leases[c.Lease] = l
		return store.Leased{Lease: c.Lease, Term: l.term}
	case store.RevokeLease:
		s.revoke(c.Lease)
		return store.Leased{Lease: c.Lease}
	}
	s.t.Fatalf("unexpected call %T", call)
	return nil
}

// revoke ends a platform lease and deletes its keys.
func (s *simulation) revoke(id store.LeaseID) {
	delete(s.leases, id)
	for k, e := range s.entries {
		if e.Lease == id {
			delete(s.entries, k)
		}
	}
}

// checkBorrowed fails the test if another instance may use what a coordinator
// has just borrowed.
func (s *simulation) checkBorrowed(n *node, b share.BorrowedShare) {
	if n.clock(s.now) >= b.Until {
		return
	}
	if s.unchecked {
		return
	}
	mine := b.Shards.Words()
	for _, o := range s.nodes {
		x := o.borrowed[b.Share]
		if o == n || !o.up || o.clock(s.now) >= x.Until || x.Shards.Len() == 0 {
			continue
		}
		for i, word := range x.Shards.Words() {
			if word&mine[i] != 0 {
				s.t.Fatalf("%v: share %d: shards of word %d lent to both %s and %s", s.now, b.Share, i, n.info.Address, o.info.Address)
			}
		}
	}
}

// checkHolders fails the test if a share has two holders, or a shard two
// authorities.
func (s *simulation) checkHolders() {
	if s.unchecked {
		return
	}
	holders := map[share.Number]instance.Address{}
	for _, n := range s.nodes {
		if !n.up {
			continue
		}
		for _, r := range n.state.UsableRights(n.clock(s.now)) {
			if other, held := holders[r.Share]; held {
				s.t.Fatalf("%v: share %d held by both %s and %s", s.now, r.Share, other, n.info.Address)
			}
			holders[r.Share] = n.info.Address
		}
	}
	for shard := share.Shard(0); shard < share.Shards; shard += 512 {
		authorities := 0
		for _, n := range s.nodes {
			if n.up && n.state.HasAuthority(n.clock(s.now), shard) {
				authorities++
			}
		}
		if authorities > 1 {
			s.t.Fatalf("%v: shard %d has %d authorities", s.now, shard, authorities)
		}
	}
}

// lentFraction returns the fraction of all rights that coordinators have
// borrowed, apart from those of the lost shares.
func (s *simulation) lentFraction(lost ...share.Right) float64 {
	n := 0
	for _, x := range s.nodes {
		if !x.up || x.paused {
			continue
		}
		for _, b := range x.borrowed {
			gone := slices.ContainsFunc(lost, func(r share.Right) bool { return r.Share == b.Share })
			if x.clock(s.now) < b.Until && !gone {
				n += b.Shards.Len()
			}
		}
	}
	return float64(n) / float64((s.total-len(lost))*share.Shards)
}

// allLent reports whether coordinators have borrowed all rights.
func (s *simulation) allLent() bool { return s.lentFraction() == 1 }

// kill ends a run. The other instances notice a second later.
func (s *simulation) kill(i int) {
	s.nodes[i].up = false
	s.schedule(s.now+time.Second, s.announceMembers)
}

// pause stops a node from handling events.
func (s *simulation) pause(n *node) { n.paused = true }

// resume lets a paused node handle the events that it missed.
func (s *simulation) resume(n *node) {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	s.handle(n, share.Tick{})
	for _, e := range backlog {
		s.handle(n, e)
	}
}

// describe returns the state of the simulation for an error message.
func (s *simulation) describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "at %v, fraction of rights in use %.4f\n", s.now, s.lentFraction())
	for _, n := range s.nodes {
		if n.up && len(s.nodes) < 20 {
			fmt.Fprintf(&b, "  %s holds %d shares, in contact %v\n", n.info.Address, len(n.state.UsableRights(n.clock(s.now))), n.state.InContact(n.clock(s.now)))
		}
	}
	fmt.Fprintf(&b, "  %v", s.decisions)
	return b.String()
}
