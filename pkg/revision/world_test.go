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
	// beat is the interval of the messages that carry notices.
	beat = 200 * time.Millisecond
	// contactEvery is how often an instance learns whether it is in contact.
	contactEvery = 500 * time.Millisecond
	// viewLag is how long a death takes to reach the views.
	viewLag = time.Second
	// applying is how long an instance takes at most to put a revision in force.
	applying = 60 * time.Millisecond
)

// world runs many states on virtual time, with one store and a network that
// loses, delays, doubles and cuts.
type world struct {
	now    time.Duration
	random *rand.Rand
	queue  schedule
	order  uint64
	nodes  []*node
	// places gives the index of an address.
	places map[instance.Address]int
	cut    func(from, to int) bool
	loss   float64
	double float64
	store  *fakeStore
	// accepted are the notices of all heads that the store took.
	accepted map[uint64]revision.Notice
	// wrong is the first breach of what must always hold.
	wrong    string
	verdicts map[revision.Verdict]int
	bytes    int
	messages int
}

// node is one run of an instance.
type node struct {
	index     int
	id        instance.ID
	state     *revision.State
	notice    revision.Notice
	inForce   uint64
	paused    time.Duration
	dead      bool
	cutStore  bool
	refuses   uint64
	lastApply uint64
	// busy says that the node is putting a revision in force.
	busy bool
	// spoils has the node spoil the content that it serves.
	spoils bool
}

type step struct {
	at    time.Duration
	order uint64
	run   func()
}

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

func newWorld(size int, seed uint64) *world {
	w := &world{
		now:      time.Second,
		random:   rand.New(rand.NewPCG(seed, 2)),
		cut:      func(_, _ int) bool { return false },
		places:   map[instance.Address]int{},
		accepted: map[uint64]revision.Notice{},
		verdicts: map[revision.Verdict]int{},
	}
	w.store = &fakeStore{
		world:   w,
		entries: map[string]store.Entry{},
		calls:   map[string]int{},
	}
	w.nodes = make([]*node, size)
	for i := range size {
		w.start(i)
	}
	w.views()
	return w
}

func addressOf(i int) instance.Address {
	return instance.Address(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1))
}

func (w *world) indexOf(a instance.Address) int {
	if i, ok := w.places[a]; ok {
		return i
	}
	return -1
}

// start begins a new run at a place.
func (w *world) start(i int) {
	n := &node{
		index: i,
		id: instance.ID{
			Address:     addressOf(i),
			Incarnation: 1,
		},
	}
	if old := w.nodes[i]; old != nil {
		old.dead = true
		n.id.Incarnation = old.id.Incarnation + 1
	}
	n.state = revision.New(n.id, rand.New(rand.NewPCG(uint64(i), n.id.Incarnation)))
	w.nodes[i] = n
	w.places[n.id.Address] = i
	w.after(time.Duration(w.random.Int64N(int64(beat))), func() { w.beat(n) })
	w.after(0, func() { w.contact(n) })
}

// views gives each instance the members that it can reach both ways.
func (w *world) views() {
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		var members []instance.Info
		for _, o := range w.nodes {
			if o.dead || o != n && (w.cut(n.index, o.index) || w.cut(o.index, n.index)) {
				continue
			}
			members = append(members, instance.Info{
				ID:     o.id,
				Zone:   fmt.Sprintf("zone-%d", o.index%6),
				Region: fmt.Sprintf("region-%d", o.index%2),
			})
		}
		w.give(n, revision.Members{
			Members: members,
		})
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, step{
		at:    w.now + d,
		order: w.order,
		run:   run,
	})
}

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		s := heap.Pop(&w.queue).(step)
		w.now = s.at
		s.run()
	}
	w.now = end
}

// until runs until the condition holds, for d at most, and says how long.
func (w *world) until(d time.Duration, done func() bool) (time.Duration, bool) {
	begin := w.now
	for w.now < begin+d {
		if done() {
			return w.now - begin, true
		}
		w.run(10 * time.Millisecond)
	}
	return d, done()
}

// give has a node handle an event, after its pause if it is in one.
func (w *world) give(n *node, e revision.Event) {
	if n.dead {
		return
	}
	if n.paused > w.now {
		w.after(n.paused-w.now, func() { w.give(n, e) })
		return
	}
	for _, effect := range n.state.Handle(w.now, e) {
		w.carry(n, effect)
	}
	w.check(n)
	next := n.state.Next()
	w.after(max(next-w.now, 0), func() {
		if n.state.Next() == next {
			w.give(n, revision.Tick{})
		}
	})
}

func (w *world) carry(n *node, effect revision.Effect) {
	switch e := effect.(type) {
	case revision.Send:
		w.messages++
		w.bytes += proto.Size(wire.EncodeRevision(e.Message))
		w.deliver(n, w.indexOf(e.To), revision.Received{
			From:    n.id,
			Message: n.spoil(e.Message),
		})
	case revision.StoreCall:
		w.store.do(n, e)
	case revision.Apply:
		w.apply(n, e)
	case revision.NoticeChanged:
		n.notice = e.Notice
	case revision.Decided:
		w.verdicts[e.Verdict]++
	}
}

// spoil changes the content of a message of a node that does so.
func (n *node) spoil(m revision.Message) revision.Message {
	if !n.spoils {
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

// apply checks what an instance is to put in force, and does it.
func (w *world) apply(n *node, e revision.Apply) {
	if e.Head.Number <= n.lastApply {
		w.wrong = fmt.Sprintf("%v goes from %d back to %d", n.id, n.lastApply, e.Head.Number)
	}
	if n.busy {
		w.wrong = fmt.Sprintf("%v is given %d while it applies %d", n.id, e.Head.Number, n.lastApply)
	}
	n.busy = true
	n.lastApply = e.Head.Number
	for _, d := range e.Head.Digests() {
		if revision.DigestOf(e.Parts[d]) != d {
			w.wrong = "a part that isn't what its digest says"
		}
	}
	w.after(time.Duration(w.random.Int64N(int64(applying))), func() {
		n.busy = false
		if n.refuses == e.Head.Number {
			w.give(n, revision.Refused{
				Number: e.Head.Number,
			})
			return
		}
		w.give(n, revision.Applied{
			Number: e.Head.Number,
		})
	})
}

// check holds what is true at every moment.
func (w *world) check(n *node) {
	in := n.state.InForce()
	if in.Number < n.inForce {
		w.wrong = fmt.Sprintf("%v reverted from %d to %d", n.id, n.inForce, in.Number)
	}
	n.inForce = in.Number
	if in.Number > 0 && w.accepted[in.Number] != in {
		w.wrong = fmt.Sprintf("%v has %d in force, which the store never took", n.id, in.Number)
	}
}

// deliver carries an event to another node over the network.
func (w *world) deliver(from *node, to int, e revision.Event) {
	copies := 1
	if w.random.Float64() < w.double {
		copies = 2
	}
	for range copies {
		if to < 0 || w.cut(from.index, to) || w.random.Float64() < w.loss {
			continue
		}
		delay := time.Millisecond + time.Duration(w.random.Int64N(int64(3*time.Millisecond)))
		w.after(delay, func() { w.give(w.nodes[to], e) })
	}
}

// beat exchanges notices with the neighbour, as probes and their answers do.
func (w *world) beat(n *node) {
	if n.dead {
		return
	}
	w.after(beat, func() { w.beat(n) })
	if n.paused > w.now {
		return
	}
	to := w.random.IntN(len(w.nodes))
	w.deliver(n, to, revision.Noticed{
		From:   n.id.Address,
		Notice: n.notice,
	})
	if peer := w.nodes[to]; !peer.dead && peer.paused <= w.now && !w.cut(n.index, to) {
		w.deliver(peer, n.index, revision.Noticed{
			From:   peer.id.Address,
			Notice: peer.notice,
		})
	}
}

// contact tells a node that it is in contact, if it is with more than half.
func (w *world) contact(n *node) {
	if n.dead {
		return
	}
	w.after(contactEvery, func() { w.contact(n) })
	reached := 0
	for _, o := range w.nodes {
		if !o.dead && o.paused <= w.now && (o == n || !w.cut(o.index, n.index) && !w.cut(n.index, o.index)) {
			reached++
		}
	}
	if 2*reached > len(w.nodes) && n.paused <= w.now {
		w.give(n, revision.Contact{})
	}
}

// edit has an operator change one part of a section and waits for nothing.
func (w *world) edit(size int) uint64 {
	head, _ := revision.DecodeHead(w.store.entries[revision.HeadKey].Value)
	head.Number++
	head.Nonce = []byte{byte(w.order), byte(w.order >> 8)}
	part := make([]byte, size)
	for i := range part {
		part[i] = byte(w.random.Uint32())
	}
	digest := revision.DigestOf(part)
	w.store.put(revision.PartKey(digest), part)
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
	w.accepted[head.Number] = revision.NoticeOf(head.Number, content)
	w.store.put(revision.HeadKey, content)
	return head.Number
}

// inForce says whether all running nodes have the revision in force.
func (w *world) inForce(number uint64) func() bool {
	return func() bool {
		for _, n := range w.nodes {
			if !n.dead && n.state.InForce().Number < number {
				return false
			}
		}
		return true
	}
}

// fakeStore stands in for the platform's store.
type fakeStore struct {
	world   *world
	entries map[string]store.Entry
	counter int64
	down    bool
	slow    time.Duration
	// lose is the fraction of answers that get lost.
	lose    float64
	waiting []waiter
	// calls counts calls by kind.
	calls map[string]int
}

type waiter struct {
	node   *node
	number uint64
	watch  store.Watch
}

func (f *fakeStore) put(key string, value []byte) {
	f.counter++
	f.entries[key] = store.Entry{
		Key:     key,
		Value:   value,
		Version: f.counter,
	}
	waiting := f.waiting
	f.waiting = nil
	for _, v := range waiting {
		f.serve(v)
	}
}

// do takes a call. Without the store it fails after a while.
func (f *fakeStore) do(n *node, c revision.StoreCall) {
	f.calls[fmt.Sprintf("%T", c.Call)]++
	w := f.world
	w.after(time.Millisecond+f.slow, func() {
		if f.down || n.cutStore {
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
			f.serve(waiter{
				node:   n,
				number: c.Number,
				watch:  call,
			})
		}
	})
}

// serve answers a watch that has something to tell, or keeps it.
func (f *fakeStore) serve(v waiter) {
	head := f.entries[v.watch.Prefix]
	if head.Version <= v.watch.After {
		f.waiting = append(f.waiting, v)
		return
	}
	if f.down || v.node.cutStore {
		return
	}
	f.world.after(time.Millisecond+f.slow, func() {
		f.answer(v.node, v.number, store.Changes{
			Entries: []store.Entry{head},
			Counter: f.counter,
		}, nil)
	})
}

func (f *fakeStore) answer(n *node, number uint64, a store.Answer, err error) {
	if f.world.random.Float64() < f.lose {
		return
	}
	f.world.give(n, revision.StoreAnswer{
		Number: number,
		Answer: a,
		Err:    err,
	})
}

func (f *fakeStore) total() int {
	sum := 0
	for _, n := range f.calls {
		sum += n
	}
	return sum
}
