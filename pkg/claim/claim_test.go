package claim_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

const beat = 100 * time.Millisecond

// keys is how many different keys the tests use.
const keys = 50

// loan says who is a shard's authority, and for how long at most.
type loan struct {
	holder *node
	until  time.Duration
}

// fleet runs instances on virtual time, with one share: whoever has a shard of
// it is the authority of its keys.
type fleet struct {
	random  *rand.Rand
	now     time.Duration
	queue   eventQueue
	order   int
	nodes   []*node
	options []claim.Option
	loss    float64
	double  float64
	delay   time.Duration
	loans   map[share.Shard]*loan
	next    uint64
	// runs counts the executions of each key, verdict the end of each request.
	runs    map[claim.Key]int
	refused map[uint64]bool
	told    map[uint64]claim.Outcome
	ran     map[uint64]bool
	faults  []string
}

type node struct {
	info        instance.Info
	claims      *claim.Claims
	alive       bool
	pausedUntil time.Duration
	wake        time.Duration
	heard       map[instance.Address]time.Duration
	seen        map[instance.Address]instance.Info
	cut         bool
	left        bool
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

func newFleet(seed uint64, size int, options ...claim.Option) *fleet {
	f := &fleet{
		random:  rand.New(rand.NewPCG(seed, seed)),
		options: append([]claim.Option{claim.TotalShares(1), claim.MinMemberAge(time.Second), claim.Retention(time.Minute)}, options...),
		delay:   time.Millisecond,
		runs:    map[claim.Key]int{},
		refused: map[uint64]bool{},
		told:    map[uint64]claim.Outcome{},
		ran:     map[uint64]bool{},
		loans:   map[share.Shard]*loan{},
	}
	for key := range uint64(keys) {
		f.loans[keyOf(key<<32).Shard()] = &loan{}
	}
	for range size {
		f.handle(f.add(), claim.FirstRun{})
	}
	f.at(beat, f.lend)
	return f
}

func (f *fleet) add() *node {
	n := &node{}
	f.nodes = append(f.nodes, n)
	n.info.Address = instance.Address(fmt.Sprintf("10.0.0.%d:7000", len(f.nodes)))
	n.info.Zone = fmt.Sprint("z", len(f.nodes)%3)
	f.start(n)
	return n
}

func (f *fleet) start(n *node) {
	n.info.Incarnation++
	n.info.Leaving = false
	n.alive, n.left, n.wake = true, false, 0
	n.claims = claim.New(n.info, f.options...)
	n.heard = map[instance.Address]time.Duration{}
	n.seen = map[instance.Address]instance.Info{}
	f.on(n, f.now, func() { f.heartbeat(n) })
}

// heartbeat shows a node to the others, and gives it its view of them.
func (f *fleet) heartbeat(n *node) {
	for _, to := range f.nodes {
		info := n.info
		f.send(n, to, func() { to.heard[info.Address], to.seen[info.Address] = f.now, info })
	}
	var view []instance.Info
	for _, m := range f.nodes {
		if m == n || n.heard[m.info.Address] > f.now-5*beat/2 && n.heard[m.info.Address] > 0 {
			view = append(view, n.see(m))
		}
	}
	f.handle(n, claim.MembersChanged{Members: view})
	f.on(n, f.now+beat, func() { f.heartbeat(n) })
}

func (n *node) see(m *node) instance.Info {
	if m == n {
		return n.info
	}
	return n.seen[m.info.Address]
}

// lend renews what is lent, or lends it to another once that has ended: mostly
// to the first in rank.
func (f *fleet) lend() {
	const term = 4 * beat
	usable := func(n *node) bool { return n.alive && !n.cut && !n.info.Leaving && f.now >= n.pausedUntil }
	var able []instance.Info
	for _, n := range f.nodes {
		if usable(n) {
			able = append(able, n.info)
		}
	}
	lent := map[*node][]share.Shard{}
	for key := range uint64(keys) {
		s := keyOf(key << 32).Shard()
		l := f.loans[s]
		ranked := instance.Rank(instance.Hash("shard", uint64(s)), able)
		if len(ranked) == 0 {
			continue
		}
		first := f.node(ranked[0].Address)
		if len(ranked) > 1 && f.random.Float64() < f.loss/4 {
			first = f.node(ranked[1].Address)
		}
		if l.holder != first && f.now < l.until {
			continue
		}
		*l = loan{holder: first, until: f.now + term}
		lent[first] = append(lent[first], s)
	}
	for _, n := range f.nodes {
		shards := lent[n]
		until := f.now + term
		f.on(n, f.now, func() {
			f.handle(n, claim.BorrowedChanged{Borrowed: share.Borrowed{Until: until, Shards: share.SetOf(shards...)}})
		})
	}
	f.at(f.now+beat, f.lend)
}

func (f *fleet) node(a instance.Address) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.info.Address == a })
	return f.nodes[i]
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

func (f *fleet) on(n *node, at time.Duration, run func()) {
	incarnation := n.info.Incarnation
	f.at(at, func() {
		switch {
		case !n.alive || n.info.Incarnation != incarnation:
		case f.now < n.pausedUntil:
			f.on(n, n.pausedUntil, run)
		default:
			run()
		}
	})
}

func (f *fleet) send(from, to *node, deliver func()) {
	if from != to && (from.cut || to.cut || f.random.Float64() < f.loss) {
		return
	}
	times := 1
	if f.random.Float64() < f.double {
		times = 2
	}
	for range times {
		f.on(to, f.now+time.Duration(f.random.ExpFloat64()*float64(f.delay)), deliver)
	}
}

func (f *fleet) handle(n *node, e claim.Event) {
	for _, e := range n.claims.Handle(f.now, e) {
		switch e := e.(type) {
		case claim.Send:
			from := n.info.ID
			for _, to := range f.nodes {
				if to.info.Address == e.To {
					f.send(n, to, func() { f.handle(to, claim.Received{From: from, Message: e.Message}) })
				}
			}
		case claim.Run:
			f.execute(n, e.Request)
		case claim.Duplicate:
			f.told[e.Request] = e.Outcome
			f.end(e.Request, "told")
		case claim.Refused:
			f.refused[e.Request] = true
			f.end(e.Request, "refused")
		case claim.Left:
			n.left = true
			f.at(f.now+beat, func() { n.alive = false })
		}
	}
	next := n.claims.Next()
	if n.wake > f.now && n.wake <= next {
		return
	}
	next = max(next, f.now+time.Microsecond)
	n.wake = next
	f.on(n, next, func() {
		if n.wake == next {
			n.wake = 0
			f.handle(n, claim.Tick{})
		}
	})
}

func (f *fleet) end(request uint64, how string) {
	if f.ran[request] {
		f.faults = append(f.faults, fmt.Sprintf("request %d was %s, but ran", request, how))
	}
}

// requests maps requests to keys.
var keyOf = func(request uint64) claim.Key {
	return claim.KeyOf("press", fmt.Sprint(request>>32))
}

// execute sends the first byte, some time after the word to run.
func (f *fleet) execute(n *node, request uint64) {
	f.on(n, f.now+time.Duration(f.random.ExpFloat64()*float64(f.delay)), func() {
		key := keyOf(request)
		f.ran[request] = true
		f.runs[key]++
		if f.runs[key] > 1 {
			f.faults = append(f.faults, fmt.Sprintf("key %d ran again at %v on %s", request>>32, f.now, n.info.Address))
		}
		if f.refused[request] {
			f.faults = append(f.faults, fmt.Sprintf("request %d ran after its refusal", request))
		}
		f.on(n, f.now+f.delay, func() {
			f.handle(n, claim.Done{Request: request, Outcome: claim.Outcome{State: claim.Ended, Status: 201}})
		})
	})
}

// want sends a request with a key to a node.
func (f *fleet) want(n *node, key uint64) uint64 {
	f.next++
	request := key<<32 | f.next
	f.on(n, f.now, func() { f.handle(n, claim.Acquire{Request: request, Key: keyOf(request)}) })
	return request
}

func TestResendsAreTold(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 5)
	f.run(3 * time.Second)
	var resends []uint64
	for key := range uint64(keys) {
		f.want(f.nodes[key%5], key)
		f.run(f.now + 20*time.Millisecond)
		resends = append(resends, f.want(f.nodes[(key+1)%5], key))
		f.run(f.now + 20*time.Millisecond)
	}
	is.Equal(len(f.faults), 0)
	is.Equal(len(f.runs), keys) // each key ran once
	for _, r := range resends {
		is.Equal(f.told[r], claim.Outcome{State: claim.Ended, Status: 201})
	}
}

func TestTakeoverKnowsOldClaims(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 5)
	f.run(3 * time.Second)
	for key := range uint64(20) {
		f.want(f.nodes[key%5], key)
	}
	f.run(f.now + 100*time.Millisecond)
	f.loans[keyOf(0).Shard()].holder.alive = false
	f.run(f.now + 3*time.Second)
	var resends []uint64
	for key := range uint64(20) {
		for _, n := range f.nodes {
			if n.alive {
				resends = append(resends, f.want(n, key))
				break
			}
		}
	}
	f.run(f.now + 2*time.Second)
	is.Equal(len(f.faults), 0)
	is.Equal(len(f.runs), 20)
	for _, r := range resends {
		_, told := f.told[r]
		is.True(told) // the new authority vouches again
	}
}

func TestLostFleetRefusesForTheRetention(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3)
	f.run(3 * time.Second)
	f.want(f.nodes[0], 7)
	f.run(4 * time.Second)
	is.Equal(len(f.runs), 1)
	for _, n := range f.nodes {
		f.start(n)
	}
	f.run(10 * time.Second)
	early := f.want(f.nodes[1], 7)
	f.run(12 * time.Second)
	is.True(f.refused[early])
	f.run(80 * time.Second)
	f.want(f.nodes[1], 8)
	f.run(82 * time.Second)
	is.Equal(len(f.runs), 2) // claims work again
	is.Equal(len(f.faults), 0)
}

func TestLeaversCountAsKept(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 6)
	f.run(3 * time.Second)
	for key := range uint64(20) {
		f.want(f.nodes[key%6], key)
	}
	f.run(4 * time.Second)
	// Each is replaced, one after the other: nothing is lost with them.
	for _, n := range slices.Clone(f.nodes) {
		f.add()
		f.run(f.now + 2*time.Second)
		n.info.Leaving = true
		f.run(f.now + 2*beat)
		f.on(n, f.now, func() { f.handle(n, claim.Leave{}) })
		f.run(f.now + 2*time.Second)
		is.True(n.left)
	}
	f.run(f.now + time.Second)
	resend := f.want(f.nodes[len(f.nodes)-1], 3)
	f.run(f.now + 2*time.Second)
	is.Equal(f.told[resend].State, claim.Ended)
	is.Equal(len(f.faults), 0)
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(t, "instances")
		options := []claim.Option{claim.Copies(rapid.IntRange(2, 3).Draw(t, "copies")), claim.Zones(rapid.IntRange(1, 2).Draw(t, "zones"))}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), size, options...)
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		f.double = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double")
		f.delay = rapid.SampledFrom([]time.Duration{time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "delay")
		const until = 15 * time.Second
		for i := 2 * time.Second; i < until; i += 50 * time.Millisecond {
			f.at(i, func() {
				f.want(f.nodes[f.random.IntN(len(f.nodes))], uint64(f.random.IntN(12)))
			})
		}
		for range rapid.IntRange(1, 14).Draw(t, "faults") {
			at := time.Duration(rapid.Int64Range(int64(2*time.Second), int64(until)).Draw(t, "at"))
			length := time.Duration(rapid.Int64Range(int64(10*time.Millisecond), int64(2*time.Second)).Draw(t, "length"))
			kind := rapid.SampledFrom([]string{"crash", "restart", "pause", "cut", "leave", "join"}).Draw(t, "kind")
			chosen := rapid.IntRange(-2, size-1).Draw(t, "node")
			f.at(at, func() { f.fault(kind, chosen, length) })
		}
		f.run(until)
		if len(f.faults) > 0 {
			t.Fatal(f.faults[0])
		}
	})
}

// fault strikes a node; one below zero is the authority.
func (f *fleet) fault(kind string, chosen int, length time.Duration) {
	n := f.loans[keyOf(0).Shard()].holder
	if chosen >= 0 || n == nil {
		n = f.nodes[max(chosen, 0)]
	}
	switch kind {
	case "crash":
		n.alive = false
	case "restart":
		n.alive = false
		f.at(f.now+length, func() {
			if !n.alive {
				f.start(n)
			}
		})
	case "pause":
		n.pausedUntil = f.now + length
	case "cut":
		n.cut = true
		f.at(f.now+length, func() { n.cut = false })
	case "leave":
		n.info.Leaving = true
		f.on(n, f.now, func() { f.handle(n, claim.Leave{}) })
	case "join":
		f.add()
	}
}
