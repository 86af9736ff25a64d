package revision_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionmux/internal/wire"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/store"
)

const (
	// noticeInterval is the interval of the messages that carry notices.
	noticeInterval = 200 * time.Millisecond
	// contactInterval is how often an instance learns whether it is in contact.
	contactInterval = 500 * time.Millisecond
	// membershipDelay is the time from a fault to the change of the members that the
	// instances see.
	membershipDelay = time.Second
	// maxApplyTime is the longest time that an instance takes to put a revision in force.
	maxApplyTime = 60 * time.Millisecond
)

// simulation runs many states on virtual time, with one store and a network that
// loses, delays, duplicates and blocks messages.
type simulation struct {
	now    time.Duration
	random *rand.Rand
	queue  schedule
	order  uint64
	nodes  []*node
	// indexes holds the index in nodes of each address.
	indexes map[instance.Address]int
	// isCut reports whether the network blocks messages from one node to another.
	isCut         func(from, to int) bool
	lossRate      float64
	duplicateRate float64
	store         *fakeStore
	// accepted holds the notices of all heads that were written to the store.
	accepted map[uint64]revision.Notice
	// violation describes the last violation of an invariant; empty if there was none.
	violation      string
	decisionCounts map[revision.DecisionKind]int
	bytes          int
	messages       int
}

// node is one incarnation of an instance.
type node struct {
	index            int
	id               instance.ID
	state            *revision.State
	notice           revision.Notice
	inForce          uint64
	pausedUntil      time.Duration
	dead             bool
	storeUnreachable bool
	// refusedRevision is the number of a revision that the node refuses to apply.
	refusedRevision uint64
	lastApply       uint64
	// applying is set while the node is putting a revision in force.
	applying bool
	// corrupts is set if the node corrupts the heads and parts that it sends.
	corrupts bool
}

// step is a function to run at a time. Of steps at the same time, the one of the lower
// order runs first.
type step struct {
	at    time.Duration
	order uint64
	run   func()
}

// schedule is a heap of steps.
type schedule []step

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(step)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// newSimulation returns a simulation of size nodes that have just started.
func newSimulation(size int, seed uint64) *simulation {
	sim := &simulation{
		now:            time.Second,
		random:         rand.New(rand.NewPCG(seed, 2)),
		isCut:          func(_, _ int) bool { return false },
		indexes:        map[instance.Address]int{},
		accepted:       map[uint64]revision.Notice{},
		decisionCounts: map[revision.DecisionKind]int{},
	}
	sim.store = &fakeStore{
		simulation: sim,
		entries:    map[string]store.Entry{},
		calls:      map[string]int{},
	}
	sim.nodes = make([]*node, size)
	for i := range size {
		sim.start(i)
	}
	sim.updateMembers()
	return sim
}

// addressOf returns the address of the node at index i.
func addressOf(i int) instance.Address {
	return instance.Address(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1))
}

// indexOf returns the index of the node with the address, or -1.
func (sim *simulation) indexOf(a instance.Address) int {
	if i, ok := sim.indexes[a]; ok {
		return i
	}
	return -1
}

// start starts a new incarnation of the instance at index i.
func (sim *simulation) start(i int) {
	n := &node{
		index: i,
		id: instance.ID{
			Address:     addressOf(i),
			Incarnation: 1,
		},
	}
	if old := sim.nodes[i]; old != nil {
		old.dead = true
		n.id.Incarnation = old.id.Incarnation + 1
	}
	n.state = revision.New(n.id, rand.New(rand.NewPCG(uint64(i), n.id.Incarnation)))
	sim.nodes[i] = n
	sim.indexes[n.id.Address] = i
	sim.after(time.Duration(sim.random.Int64N(int64(noticeInterval))), func() { sim.exchangeNotices(n) })
	sim.after(0, func() { sim.updateContact(n) })
}

// updateMembers gives each node the members with which it can exchange messages in both
// directions.
func (sim *simulation) updateMembers() {
	for _, n := range sim.nodes {
		if n.dead {
			continue
		}
		var members []instance.Info
		for _, o := range sim.nodes {
			if o.dead || o != n && (sim.isCut(n.index, o.index) || sim.isCut(o.index, n.index)) {
				continue
			}
			members = append(members, instance.Info{
				ID:     o.id,
				Zone:   fmt.Sprintf("zone-%d", o.index%6),
				Region: fmt.Sprintf("region-%d", o.index%2),
			})
		}
		sim.handle(n, revision.MembersChanged{
			Members: members,
		})
	}
}

// after schedules a function to run after the duration d.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.queue, step{
		at:    sim.now + d,
		order: sim.order,
		run:   run,
	})
}

// run runs all steps of the next d.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		s := heap.Pop(&sim.queue).(step)
		sim.now = s.at
		s.run()
	}
	sim.now = end
}

// runUntil runs until the condition holds, for at most d. It returns how long that took
// and whether the condition holds.
func (sim *simulation) runUntil(d time.Duration, done func() bool) (time.Duration, bool) {
	begin := sim.now
	for sim.now < begin+d {
		if done() {
			return sim.now - begin, true
		}
		sim.run(10 * time.Millisecond)
	}
	return d, done()
}

// handle makes a node handle an event, or delays the event to the end of the node's
// pause.
func (sim *simulation) handle(n *node, e revision.Event) {
	if n.dead {
		return
	}
	if n.pausedUntil > sim.now {
		sim.after(n.pausedUntil-sim.now, func() { sim.handle(n, e) })
		return
	}
	for _, effect := range n.state.Handle(sim.now, e) {
		sim.perform(n, effect)
	}
	sim.checkInvariants(n)
	next := n.state.Next()
	sim.after(max(next-sim.now, 0), func() {
		if n.state.Next() == next {
			sim.handle(n, revision.Tick{})
		}
	})
}

// perform carries out an effect of a node.
func (sim *simulation) perform(n *node, effect revision.Effect) {
	switch e := effect.(type) {
	case revision.Send:
		sim.messages++
		sim.bytes += proto.Size(wire.EncodeRevision(e.Message))
		sim.deliver(n, sim.indexOf(e.To), revision.Received{
			From:    n.id,
			Message: n.maybeCorrupt(e.Message),
		})
	case revision.StoreCall:
		sim.store.call(n, e)
	case revision.Apply:
		sim.apply(n, e)
	case revision.NoticeChanged:
		n.notice = e.Notice
	case revision.Decided:
		sim.decisionCounts[e.Kind]++
	}
}

// maybeCorrupt returns the message with its content changed if the node corrupts
// content.
func (n *node) maybeCorrupt(m revision.Message) revision.Message {
	if !n.corrupts {
		return m
	}
	switch m := m.(type) {
	case revision.HeadReply:
		m.Content = slices.Concat(m.Content, []byte(" "))
		return m
	case revision.PartReply:
		m.Content = slices.Clone(m.Content)
		for i := range m.Content {
			m.Content[i]++
		}
		return m
	}
	return m
}

// apply checks an Apply effect and puts its revision in force after a while.
func (sim *simulation) apply(n *node, e revision.Apply) {
	if e.Head.Number <= n.lastApply {
		sim.violation = fmt.Sprintf("%v goes back from revision %d to %d", n.id, n.lastApply, e.Head.Number)
	}
	if n.applying {
		sim.violation = fmt.Sprintf("%v is given revision %d while it applies %d", n.id, e.Head.Number, n.lastApply)
	}
	n.applying = true
	n.lastApply = e.Head.Number
	for _, d := range e.Head.Digests() {
		if revision.DigestOf(e.Parts[d]) != d {
			sim.violation = fmt.Sprintf("%v was given revision %d whose part %v doesn't match its digest", n.id, e.Head.Number, d)
		}
	}
	sim.after(time.Duration(sim.random.Int64N(int64(maxApplyTime))), func() {
		n.applying = false
		if n.refusedRevision == e.Head.Number {
			sim.handle(n, revision.Rejected{
				Number: e.Head.Number,
			})
			return
		}
		sim.handle(n, revision.Applied{
			Number: e.Head.Number,
		})
	})
}

// checkInvariants checks that the revision in force didn't go back and was accepted.
func (sim *simulation) checkInvariants(n *node) {
	in := n.state.InForce()
	if in.Number < n.inForce {
		sim.violation = fmt.Sprintf("%v went back from revision %d to %d", n.id, n.inForce, in.Number)
	}
	n.inForce = in.Number
	if in.Number > 0 && sim.accepted[in.Number] != in {
		sim.violation = fmt.Sprintf("%v has revision %d in force, which was never accepted", n.id, in.Number)
	}
}

// deliver delivers an event to another node over the network.
func (sim *simulation) deliver(from *node, to int, e revision.Event) {
	copies := 1
	if sim.random.Float64() < sim.duplicateRate {
		copies = 2
	}
	for range copies {
		if to < 0 || sim.isCut(from.index, to) || sim.random.Float64() < sim.lossRate {
			continue
		}
		delay := time.Millisecond + time.Duration(sim.random.Int64N(int64(3*time.Millisecond)))
		sim.after(delay, func() { sim.handle(sim.nodes[to], e) })
	}
}

// exchangeNotices exchanges notices with a random node, as probes and their answers do.
func (sim *simulation) exchangeNotices(n *node) {
	if n.dead {
		return
	}
	sim.after(noticeInterval, func() { sim.exchangeNotices(n) })
	if n.pausedUntil > sim.now {
		return
	}
	to := sim.random.IntN(len(sim.nodes))
	sim.deliver(n, to, revision.NoticeReceived{
		From:   n.id.Address,
		Notice: n.notice,
	})
	if peer := sim.nodes[to]; !peer.dead && peer.pausedUntil <= sim.now && !sim.isCut(n.index, to) {
		sim.deliver(peer, n.index, revision.NoticeReceived{
			From:   peer.id.Address,
			Notice: peer.notice,
		})
	}
}

// updateContact tells a node that it is in contact, if it can exchange messages with
// more than half of all nodes.
func (sim *simulation) updateContact(n *node) {
	if n.dead {
		return
	}
	sim.after(contactInterval, func() { sim.updateContact(n) })
	reached := 0
	for _, o := range sim.nodes {
		if !o.dead && o.pausedUntil <= sim.now && (o == n || !sim.isCut(o.index, n.index) && !sim.isCut(n.index, o.index)) {
			reached++
		}
	}
	if 2*reached > len(sim.nodes) && n.pausedUntil <= sim.now {
		sim.handle(n, revision.Contact{})
	}
}

// edit writes a revision in which one part of a section is new, and returns its number.
func (sim *simulation) edit(size int) uint64 {
	head, _ := revision.DecodeHead(sim.store.entries[revision.HeadKey].Value)
	head.Number++
	head.Nonce = []byte{byte(sim.order), byte(sim.order >> 8)}
	part := make([]byte, size)
	for i := range part {
		part[i] = byte(sim.random.Uint32())
	}
	digest := revision.DigestOf(part)
	sim.store.put(revision.PartKey(digest), part)
	if len(head.Sections) == 0 {
		head.Sections = []revision.SectionHead{
			{
				Section: "Rates",
			},
		}
	}
	rates := &head.Sections[0]
	rates.Revision = head.Number
	rates.Parts = append(rates.Parts, digest)
	if len(rates.Parts) > 5 {
		rates.Parts = rates.Parts[1:]
	}
	content, err := revision.EncodeHead(head)
	if err != nil {
		panic(err)
	}
	sim.accepted[head.Number] = revision.NoticeOf(head.Number, content)
	sim.store.put(revision.HeadKey, content)
	return head.Number
}

// isInForce returns a condition that holds once all running nodes have the revision, or
// a newer one, in force.
func (sim *simulation) isInForce(number uint64) func() bool {
	return func() bool {
		for _, n := range sim.nodes {
			if !n.dead && n.state.InForce().Number < number {
				return false
			}
		}
		return true
	}
}

// fakeStore simulates the store.
type fakeStore struct {
	simulation *simulation
	entries    map[string]store.Entry
	counter    int64
	down       bool
	latency    time.Duration
	// lossRate is the fraction of answers that are lost.
	lossRate float64
	watches  []pendingWatch
	// calls counts the calls by type.
	calls map[string]int
}

// pendingWatch is a watch that waits for a change.
type pendingWatch struct {
	node   *node
	number uint64
	watch  store.Watch
}

// put stores a value and answers the pending watches.
func (f *fakeStore) put(key string, value []byte) {
	f.counter++
	f.entries[key] = store.Entry{
		Key:     key,
		Value:   value,
		Version: f.counter,
	}
	watches := f.watches
	f.watches = nil
	for _, v := range watches {
		f.serve(v)
	}
}

// call makes a call for a node. If the store isn't available, the call fails after the
// usual latency.
func (f *fakeStore) call(n *node, c revision.StoreCall) {
	f.calls[fmt.Sprintf("%T", c.Call)]++
	sim := f.simulation
	sim.after(time.Millisecond+f.latency, func() {
		if f.down || n.storeUnreachable {
			f.answer(n, c.Number, nil, store.ErrUnavailable)
			return
		}
		switch call := c.Call.(type) {
		case store.Get:
			entry := f.entries[call.Key]
			entry.Key = call.Key
			f.answer(n, c.Number, store.Value{
				Entry:   entry,
				Counter: f.counter,
			}, nil)
		case store.Watch:
			f.serve(pendingWatch{
				node:   n,
				number: c.Number,
				watch:  call,
			})
		}
	})
}

// serve answers a watch if there is a change, and keeps it otherwise. It drops the watch
// if there is a change but the store can't be reached.
func (f *fakeStore) serve(v pendingWatch) {
	head := f.entries[v.watch.Prefix]
	if head.Version <= v.watch.After {
		f.watches = append(f.watches, v)
		return
	}
	if f.down || v.node.storeUnreachable {
		return
	}
	f.simulation.after(time.Millisecond+f.latency, func() {
		f.answer(v.node, v.number, store.Changes{
			Entries: []store.Entry{head},
			Counter: f.counter,
		}, nil)
	})
}

// answer delivers an answer to a node, unless the answer is lost.
func (f *fakeStore) answer(n *node, number uint64, a store.Answer, err error) {
	if f.simulation.random.Float64() < f.lossRate {
		return
	}
	f.simulation.handle(n, revision.StoreAnswer{
		Number: number,
		Answer: a,
		Err:    err,
	})
}

// totalCalls returns the number of calls of all types.
func (f *fakeStore) totalCalls() int {
	sum := 0
	for _, n := range f.calls {
		sum += n
	}
	return sum
}
