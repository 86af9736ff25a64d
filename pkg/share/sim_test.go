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

// node is one run of an instance under simulation.
type node struct {
	info     instance.Info
	state    *share.State
	offset   time.Duration
	drift    int64 // parts per million
	up       bool
	paused   bool
	backlog  []share.Event
	wake     int
	rights   []share.Borrowed
	messages int
	calls    int
	events   int
}

func (n *node) clock(real time.Duration) time.Duration {
	return n.offset + real + time.Duration(float64(real)*float64(n.drift)/1e6)
}

func (n *node) real(local time.Duration) time.Duration {
	return time.Duration(float64(local-n.offset)/(1+float64(n.drift)/1e6)) + time.Microsecond
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type leaseState struct {
	until time.Duration
	term  time.Duration
}

// fatal is what testing.T and rapid.T have in common.
type fatal interface {
	Helper()
	Fatalf(string, ...any)
	Logf(string, ...any)
}

// world is a network, a store and the instances, on one virtual time.
type world struct {
	t         fatal
	random    *rand.Rand
	now       time.Duration
	queue     queue
	order     int
	nodes     []*node
	opts      []share.Option
	total     int
	cut       map[[2]instance.Address]bool
	loss      float64
	delay     time.Duration
	storeDown bool
	storeLoss float64
	storeLate time.Duration
	entries   map[string]store.Entry
	leases    map[store.LeaseID]leaseState
	counter   int64
	zones     int
	lag       time.Duration
	size      func(share.Message) int
	bytes     int
	decisions map[share.Action]int
	trace     bool
	// unchecked leaves out the checks of the rights, in measurements.
	unchecked bool
	onMessage func(*node, share.Send)
}

func newWorld(t fatal, seed uint64, n int, opts ...share.Option) *world {
	w := &world{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 1)),
		cut:       map[[2]instance.Address]bool{},
		delay:     2 * time.Millisecond,
		entries:   map[string]store.Entry{},
		leases:    map[store.LeaseID]leaseState{},
		zones:     3,
		total:     share.DefaultTotal,
		lag:       5 * time.Second,
		opts:      append([]share.Option{share.ListLag(5 * time.Second)}, opts...),
		decisions: map[share.Action]int{},
	}
	for i := range n {
		w.start(i, 1)
	}
	w.members()
	w.repeat(time.Second, w.listed)
	return w
}

// start starts a run at the place of instance i, or a new one.
func (w *world) start(i int, incarnation uint64) *node {
	n := &node{
		info: instance.Info{
			ID: instance.ID{
				Address:     instance.Address(fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1)),
				Incarnation: incarnation,
			},
			Zone: fmt.Sprintf("z%d", i%w.zones),
		},
		offset: time.Duration(w.random.Int64N(int64(time.Hour))),
		drift:  w.random.Int64N(9000) - 4500,
		up:     true,
	}
	n.state = share.New(n.info, rand.New(rand.NewPCG(w.random.Uint64(), 2)), w.opts...)
	if i < len(w.nodes) {
		w.nodes[i].up = false
		w.nodes[i] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	n.rights = make([]share.Borrowed, share.DefaultTotal)
	w.at(w.now, func() { w.handle(n, share.Tick{}) })
	return n
}

func (w *world) at(at time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: max(at, w.now), order: w.order, run: run})
}

func (w *world) repeat(gap time.Duration, run func()) {
	w.at(w.now+gap, func() {
		run()
		w.repeat(gap, run)
	})
}

// run lets the time pass.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
	w.checkHolders()
}

// until lets the time pass until the condition holds, and returns how long it
// took.
func (w *world) until(limit time.Duration, holds func() bool) time.Duration {
	w.t.Helper()
	start := w.now
	for w.now < start+limit {
		if holds() {
			return w.now - start
		}
		w.run(50 * time.Millisecond)
	}
	w.t.Fatalf("not within %v: %s", limit, w.describe())
	return limit
}

func (w *world) live() []instance.Info {
	var list []instance.Info
	for _, n := range w.nodes {
		if n.up {
			list = append(list, n.info)
		}
	}
	return list
}

func (w *world) members() {
	for _, n := range w.nodes {
		w.handle(n, share.MembersChanged{Members: w.live()})
	}
}

func (w *world) listed() {
	list := w.live()
	for _, n := range w.nodes {
		w.handle(n, share.InstancesListed{Instances: list})
	}
}

func (w *world) handle(n *node, e share.Event) {
	if !n.up {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, e)
		return
	}
	n.events++
	for _, effect := range n.state.Handle(n.clock(w.now), e) {
		w.carryOut(n, effect)
	}
	n.wake++
	wake := n.wake
	w.at(n.real(n.state.Next()), func() {
		if wake == n.wake {
			w.handle(n, share.Tick{})
		}
	})
}

func (w *world) carryOut(n *node, effect share.Effect) {
	switch e := effect.(type) {
	case share.Send:
		n.messages++
		if w.size != nil {
			w.bytes += w.size(e.Message)
		}
		if w.onMessage != nil {
			w.onMessage(n, e)
		}
		w.deliver(n, e)
	case share.StoreCall:
		if w.trace {
			w.t.Logf("%v %s %#v", w.now, n.info.Address, e.Call)
		}
		n.calls++
		w.callStore(n, e)
	case share.BorrowedChanged:
		n.rights[e.Borrowed.Share] = e.Borrowed
		w.checkRight(n, e.Borrowed)
	case share.Decision:
		w.decisions[e.Action]++
		if w.trace && e.Action != share.LentShards {
			w.t.Logf("%8v %s#%d %s %d seq %d %s", w.now, n.info.Address, n.info.Incarnation, e.Action, e.Share, e.Sequence, e.Peer)
		}
	}
}

func (w *world) deliver(from *node, m share.Send) {
	copies := 1
	if w.loss > 0 && w.random.Float64() < w.loss {
		copies = w.random.IntN(2) * 2 // lost or doubled
	}
	for range copies {
		delay := time.Duration(w.random.Int64N(int64(w.delay))) + 100*time.Microsecond
		if w.loss > 0 && w.random.Float64() < w.loss {
			delay += time.Duration(w.random.Int64N(int64(4 * time.Second)))
		}
		w.at(w.now+delay, func() {
			if w.cut[[2]instance.Address{from.info.Address, m.To}] {
				return
			}
			for _, n := range w.nodes {
				if n.info.Address == m.To {
					w.handle(n, share.Received{From: from.info.ID, Message: m.Message})
				}
			}
		})
	}
}

func (w *world) callStore(n *node, c share.StoreCall) {
	reply := func(a store.Answer, err error) {
		delay := time.Duration(w.random.Int64N(int64(4 * time.Millisecond)))
		if w.storeLate > 0 && w.random.IntN(4) == 0 {
			delay += time.Duration(w.random.Int64N(int64(w.storeLate)))
		}
		w.at(w.now+delay, func() {
			w.handle(n, share.StoreAnswer{Number: c.Number, Answer: a, Err: err})
		})
	}
	if w.storeDown || w.cut[[2]instance.Address{n.info.Address, "store"}] {
		reply(nil, store.ErrUnavailable)
		return
	}
	lost := w.random.Float64() < w.storeLoss
	before := time.Duration(w.random.Int64N(int64(2 * time.Millisecond)))
	if w.storeLate > 0 && w.random.IntN(4) == 0 {
		before += time.Duration(w.random.Int64N(int64(w.storeLate)))
	}
	if lost {
		reply(nil, store.ErrOutcomeUnknown)
	}
	w.at(w.now+before, func() {
		a := w.apply(c.Call)
		if w.trace {
			w.t.Logf("   %s %T %v -> %.300s", n.info.Address, c.Call, lost, fmt.Sprintf("%+v", a))
		}
		if !lost {
			reply(a, nil)
		}
	})
}

func (w *world) apply(call store.Call) store.Answer {
	for id, l := range w.leases {
		if w.now >= l.until {
			w.revoke(id)
		}
	}
	switch c := call.(type) {
	case store.List:
		a := store.Entries{Counter: w.counter}
		for k, e := range w.entries {
			if strings.HasPrefix(k, c.Prefix) {
				a.Entries = append(a.Entries, e)
			}
		}
		slices.SortFunc(a.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
		return a
	case store.Swap:
		_, alive := w.leases[c.Lease]
		if w.entries[c.Key].Version != c.Expected || c.Lease != 0 && !alive {
			return store.Swapped{Current: w.entries[c.Key]}
		}
		w.counter++
		w.entries[c.Key] = store.Entry{Key: c.Key, Value: c.Value, Version: w.counter, Lease: c.Lease}
		return store.Swapped{Done: true, Current: w.entries[c.Key]}
	case store.GrantLease:
		w.counter++
		id := store.LeaseID(w.counter)
		w.leases[id] = leaseState{until: w.now + c.Term, term: c.Term}
		return store.Leased{Lease: id, Term: c.Term}
	case store.RenewLease:
		l, alive := w.leases[c.Lease]
		if !alive {
			return store.Leased{Lease: c.Lease}
		}
		l.until = w.now + l.term
		w.leases[c.Lease] = l
		return store.Leased{Lease: c.Lease, Term: l.term}
	case store.RevokeLease:
		w.revoke(c.Lease)
		return store.Leased{Lease: c.Lease}
	}
	w.t.Fatalf("unexpected call %T", call)
	return nil
}

func (w *world) revoke(id store.LeaseID) {
	delete(w.leases, id)
	for k, e := range w.entries {
		if e.Lease == id {
			delete(w.entries, k)
		}
	}
}

// checkRight checks that nobody else may use what a coordinator just got.
func (w *world) checkRight(n *node, b share.Borrowed) {
	if n.clock(w.now) >= b.Until {
		return
	}
	if w.unchecked {
		return
	}
	mine := b.Shards.Words()
	for _, o := range w.nodes {
		x := o.rights[b.Share]
		if o == n || !o.up || o.clock(w.now) >= x.Until || x.Shards.Len() == 0 {
			continue
		}
		for i, word := range x.Shards.Words() {
			if word&mine[i] != 0 {
				w.t.Fatalf("%v: share %d shards of word %d lent to both %s and %s", w.now, b.Share, i, n.info.Address, o.info.Address)
			}
		}
	}
}

// checkHolders checks that no share has two holders, and no shard two
// authorities.
func (w *world) checkHolders() {
	if w.unchecked {
		return
	}
	holders := map[share.Number]instance.Address{}
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		for _, r := range n.state.UsableRights(n.clock(w.now)) {
			if other, held := holders[r.Share]; held {
				w.t.Fatalf("%v: share %d held by both %s and %s", w.now, r.Share, other, n.info.Address)
			}
			holders[r.Share] = n.info.Address
		}
	}
	for shard := share.Shard(0); shard < share.Shards; shard += 512 {
		authorities := 0
		for _, n := range w.nodes {
			if n.up && n.state.HasAuthority(n.clock(w.now), shard) {
				authorities++
			}
		}
		if authorities > 1 {
			w.t.Fatalf("%v: shard %d has %d authorities", w.now, shard, authorities)
		}
	}
}

// inUse counts the shares that every shard is lent from, summed over the
// coordinators, as a fraction of all. Shares in lost are passed over.
func (w *world) inUse(lost ...share.Right) float64 {
	n := 0
	for _, x := range w.nodes {
		if !x.up || x.paused {
			continue
		}
		for _, b := range x.rights {
			gone := slices.ContainsFunc(lost, func(r share.Right) bool { return r.Share == b.Share })
			if x.clock(w.now) < b.Until && !gone {
				n += b.Shards.Len()
			}
		}
	}
	return float64(n) / float64((w.total-len(lost))*share.Shards)
}

func (w *world) whole() bool { return w.inUse() == 1 }

// kill ends a run; the others' heartbeats notice a second later.
func (w *world) kill(i int) {
	w.nodes[i].up = false
	w.at(w.now+time.Second, w.members)
}

func (w *world) pause(n *node) { n.paused = true }

func (w *world) resume(n *node) {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	w.handle(n, share.Tick{})
	for _, e := range backlog {
		w.handle(n, e)
	}
}

func (w *world) describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v in use %.4f\n", w.now, w.inUse())
	for _, n := range w.nodes {
		if n.up && len(w.nodes) < 20 {
			fmt.Fprintf(&b, "  %s holds %d contact %v\n", n.info.Address, len(n.state.UsableRights(n.clock(w.now))), n.state.InContact(n.clock(w.now)))
		}
	}
	fmt.Fprintf(&b, "  %v", w.decisions)
	return b.String()
}
