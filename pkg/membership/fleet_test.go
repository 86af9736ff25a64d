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

// frameOverhead is the number of bytes that TCP, IP and yamux add to a message
// sent in a packet of its own.
const frameOverhead = 64

// fleet runs many states on virtual time, over a network that loses, delays,
// duplicates and cuts off messages.
type fleet struct {
	now    time.Duration
	random *rand.Rand
	queue  schedule
	order  uint64
	nodes  map[instance.Address]*node
	// addresses contains the addresses of all nodes ever started, sorted.
	addresses []instance.Address
	list      []instance.Address
	// cut reports whether messages from one address to another are lost.
	cut       func(from, to instance.Address) bool
	loss      float64
	duplicate float64
	// slow is an additional delay of the messages that an address receives.
	slow map[instance.Address]time.Duration
	// countBytes enables counting of bytes, which takes time.
	countBytes      bool
	messages, bytes int
	decisions       map[membership.DecisionKind]int
}

// node is one run of an instance.
type node struct {
	id    instance.ID
	state *membership.State
	view  []instance.Info
	// pausedUntil is the time until which the node handles no events.
	pausedUntil time.Duration
	dead        bool
	// superseded is set when the node emits Superseded.
	superseded bool
	notices    []membership.NoticeReceived
	// decisions counts this node's decisions by kind.
	decisions map[membership.DecisionKind]int
	// departed contains the runs that the node reported as departed.
	departed map[instance.ID]bool
}

// scheduledCall is a function to be called at a time. Calls of the same time
// run in the order of their scheduling.
type scheduledCall struct {
	at    time.Duration
	order uint64
	run   func()
}

// schedule is a heap of calls.
type schedule []scheduledCall

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduledCall)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		now:       time.Second,
		random:    rand.New(rand.NewPCG(seed, 1)),
		nodes:     map[instance.Address]*node{},
		cut:       func(_, _ instance.Address) bool { return false },
		slow:      map[instance.Address]time.Duration{},
		decisions: map[membership.DecisionKind]int{},
	}
}

func addressOf(i int) instance.Address {
	return instance.Address(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1))
}

// start runs instance i in one of six zones in two regions.
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
		id:        info.ID,
		departed:  map[instance.ID]bool{},
		decisions: map[membership.DecisionKind]int{},
		state:     membership.New(info, rand.New(rand.NewPCG(uint64(i), incarnation))),
	}
	f.nodes[info.Address] = n
	if !slices.Contains(f.addresses, info.Address) {
		f.addresses = append(f.addresses, info.Address)
		slices.Sort(f.addresses)
	}
	f.handle(n, membership.ListRead{
		Instances: f.list,
	})
}

// startAll runs count instances that find each other on the instance list.
func (f *fleet) startAll(count int) {
	for i := range count {
		f.list = append(f.list, addressOf(i))
	}
	for i := range count {
		f.start(i, 1)
	}
}

func (f *fleet) node(i int) *node { return f.nodes[addressOf(i)] }

// after schedules a call after a delay.
func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, scheduledCall{
		at:    f.now + d,
		order: f.order,
		run:   run,
	})
}

// run advances the time by d.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		s := heap.Pop(&f.queue).(scheduledCall)
		f.now = s.at
		s.run()
	}
	f.now = end
}

// until runs for at most d until the condition holds. It returns the time that
// this took, and whether the condition holds.
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

// handle lets a node handle an event, after the node's pause if it is paused.
func (f *fleet) handle(n *node, e membership.Event) {
	if n.dead || f.nodes[n.id.Address] != n {
		return
	}
	if n.pausedUntil > f.now {
		f.after(n.pausedUntil-f.now, func() { f.handle(n, e) })
		return
	}
	for _, effect := range n.state.Handle(f.now, e) {
		f.perform(n, effect)
	}
	if next := n.state.Next(); next != 0 {
		f.after(max(next-f.now, 0), func() {
			if n.state.Next() == next {
				f.handle(n, membership.Tick{})
			}
		})
	}
}

// perform executes an effect of a node.
func (f *fleet) perform(n *node, effect membership.Effect) {
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
		f.decisions[e.Kind]++
		n.decisions[e.Kind]++
		if e.Kind == membership.Departed {
			n.departed[e.Subject] = true
		}
	}
}

// deliver sends a message over the simulated network.
func (f *fleet) deliver(n *node, e membership.Send) {
	f.messages++
	if f.countBytes {
		f.bytes += proto.Size(wire.EncodeMembership(e.Message)) + frameOverhead
	}
	copies := 1
	if f.random.Float64() < f.duplicate {
		copies = 2
	}
	for range copies {
		if f.cut(n.id.Address, e.To) || f.random.Float64() < f.loss {
			continue
		}
		delay := time.Millisecond + time.Duration(f.random.Int64N(int64(3*time.Millisecond)))
		f.after(delay+f.slow[e.To], func() {
			if to := f.nodes[e.To]; to != nil {
				f.handle(to, membership.Received{
					From:    n.id,
					Message: e.Message,
				})
			}
		})
	}
}

// running returns the nodes that aren't dead, sorted by address.
func (f *fleet) running() []*node {
	var list []*node
	for _, a := range f.addresses {
		if n := f.nodes[a]; !n.dead {
			list = append(list, n)
		}
	}
	return list
}

// converged reports whether the view of each running node contains exactly the
// running nodes.
func (f *fleet) converged() bool {
	running := f.running()
	for _, n := range running {
		if !seesExactly(n, running) {
			return false
		}
	}
	return true
}

// seesExactly reports whether a node's view contains exactly the given nodes.
func seesExactly(n *node, running []*node) bool {
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

// sees reports whether a node's view contains the run.
func (n *node) sees(id instance.ID) bool {
	return slices.ContainsFunc(n.view, func(i instance.Info) bool { return i.ID == id })
}
