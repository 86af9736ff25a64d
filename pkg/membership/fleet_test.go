package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionmux/internal/wire"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
)

// frameOverhead is what TCP, IP and yamux add to a message sent by itself, in
// bytes.
const frameOverhead = 64

// fleet runs many states on virtual time, over a network that loses, delays,
// doubles and cuts.
type fleet struct {
	now    time.Duration
	random *rand.Rand
	queue  schedule
	order  uint64
	nodes  map[instance.Address]*node
	// names are the addresses of all nodes ever, sorted.
	names []instance.Address
	list  []instance.Address
	// cut tells whether messages between two addresses are lost.
	cut    func(from, to instance.Address) bool
	loss   float64
	double float64
	// slow adds to the delay of what an address receives.
	slow map[instance.Address]time.Duration
	// weigh counts bytes, which costs time.
	weigh           bool
	messages, bytes int
	verdicts        map[membership.DecisionKind]int
}

// node is one run of an instance.
type node struct {
	id     instance.ID
	state  *membership.State
	view   []instance.Info
	paused time.Duration
	dead   bool
	// superseded is set by the effect of that name.
	superseded bool
	notices    []membership.NoticeReceived
	// verdicts counts the node's own.
	verdicts map[membership.DecisionKind]int
	// departed are the runs that it was told have left.
	departed map[instance.ID]bool
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

func newFleet(seed uint64) *fleet {
	return &fleet{
		now:      time.Second,
		random:   rand.New(rand.NewPCG(seed, 1)),
		nodes:    map[instance.Address]*node{},
		cut:      func(_, _ instance.Address) bool { return false },
		slow:     map[instance.Address]time.Duration{},
		verdicts: map[membership.DecisionKind]int{},
	}
}

func addressOf(i int) instance.Address {
	return instance.Address(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1))
}

// start runs an instance whose zone is one of six in two regions.
func (f *fleet) start(i int, incarnation uint64) {
	info := instance.Info{
		ID: instance.ID{
			Address:     addressOf(i),
			Incarnation: incarnation,
		},
		Zone:   fmt.Sprintf("zone-%d", i%6),
		Region: fmt.Sprintf("region-%d", i%2),
	}
	n := &node{
		id:       info.ID,
		departed: map[instance.ID]bool{},
		verdicts: map[membership.DecisionKind]int{},
		state:    membership.New(info, rand.New(rand.NewPCG(uint64(i), incarnation))),
	}
	f.nodes[info.Address] = n
	if !slices.Contains(f.names, info.Address) {
		f.names = append(f.names, info.Address)
		slices.Sort(f.names)
	}
	f.give(n, membership.ListRead{
		Instances: f.list,
	})
}

// startAll runs count instances that find each other on the list.
func (f *fleet) startAll(count int) {
	for i := range count {
		f.list = append(f.list, addressOf(i))
	}
	for i := range count {
		f.start(i, 1)
	}
}

func (f *fleet) node(i int) *node { return f.nodes[addressOf(i)] }

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, step{
		at:    f.now + d,
		order: f.order,
		run:   run,
	})
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		s := heap.Pop(&f.queue).(step)
		f.now = s.at
		s.run()
	}
	f.now = end
}

// until runs until the condition holds, for d at most, and says how long.
func (f *fleet) until(d time.Duration, done func() bool) (time.Duration, bool) {
	begin := f.now
	for f.now < begin+d {
		if done() {
			return f.now - begin, true
		}
		f.run(10 * time.Millisecond)
	}
	return d, done()
}

// give has a node handle an event, after its pause if it is in one.
func (f *fleet) give(n *node, e membership.Event) {
	if n.dead || f.nodes[n.id.Address] != n {
		return
	}
	if n.paused > f.now {
		f.after(n.paused-f.now, func() { f.give(n, e) })
		return
	}
	for _, effect := range n.state.Handle(f.now, e) {
		f.carry(n, effect)
	}
	if next := n.state.Next(); next != 0 {
		f.after(max(next-f.now, 0), func() {
			if n.state.Next() == next {
				f.give(n, membership.Tick{})
			}
		})
	}
}

func (f *fleet) carry(n *node, effect membership.Effect) {
	switch e := effect.(type) {
	case membership.Send:
		f.deliver(n, e)
	case membership.MembersChanged:
		n.view = e.Members
	case membership.NoticeReceived:
		n.notices = append(n.notices, e)
	case membership.Superseded:
		n.superseded = true
	case membership.Decided:
		f.verdicts[e.Kind]++
		n.verdicts[e.Kind]++
		if e.Kind == membership.Departed {
			n.departed[e.Subject] = true
		}
	}
}

func (f *fleet) deliver(n *node, e membership.Send) {
	f.messages++
	if f.weigh {
		f.bytes += proto.Size(wire.EncodeMembership(e.Message)) + frameOverhead
	}
	copies := 1
	if f.random.Float64() < f.double {
		copies = 2
	}
	for range copies {
		if f.cut(n.id.Address, e.To) || f.random.Float64() < f.loss {
			continue
		}
		delay := time.Millisecond + time.Duration(f.random.Int64N(int64(3*time.Millisecond)))
		f.after(delay+f.slow[e.To], func() {
			if to := f.nodes[e.To]; to != nil {
				f.give(to, membership.Received{
					From:    n.id,
					Message: e.Message,
				})
			}
		})
	}
}

// running gives the runs that aren't dead, sorted by address.
func (f *fleet) running() []*node {
	var list []*node
	for _, a := range f.names {
		if n := f.nodes[a]; !n.dead {
			list = append(list, n)
		}
	}
	return list
}

// agreed says whether all running nodes see just the running ones.
func (f *fleet) agreed() bool {
	running := f.running()
	for _, n := range running {
		if !sees(n, running) {
			return false
		}
	}
	return true
}

func sees(n *node, running []*node) bool {
	if len(n.view) != len(running) {
		return false
	}
	for i, r := range running {
		if n.view[i].ID != r.id {
			return false
		}
	}
	return true
}

// knows says whether a node sees the run.
func (n *node) knows(id instance.ID) bool {
	return slices.ContainsFunc(n.view, func(i instance.Info) bool { return i.ID == id })
}
