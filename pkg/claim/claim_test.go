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

const heartbeatInterval = 100 * time.Millisecond

// keyCount is the number of different keys in the tests.
const keyCount = 50

// shardLease says which node is a shard's authority, and until when at most.
type shardLease struct {
	holder *node
	until  time.Duration
}

// fleet runs instances in virtual time, with a single share: the node that has
// borrowed a shard of it is the authority of the shard's keys.
type fleet struct {
	random      *rand.Rand
	now         time.Duration
	queue       eventQueue
	sequence    int
	nodes       []*node
	options     []claim.Option
	loss        float64
	duplication float64
	delay       time.Duration
	leases      map[share.Shard]*shardLease
	lastRequest uint64
	// runs counts the executions of each key. The other maps hold how each
	// request ended.
	runs       map[claim.Key]int
	refused    map[uint64]bool
	outcomes   map[uint64]claim.Outcome
	ran        map[uint64]bool
	violations []string
}

type node struct {
	info          instance.Info
	claims        *claim.Claims
	alive         bool
	pausedUntil   time.Duration
	nextTick      time.Duration
	lastHeartbeat map[instance.Address]time.Duration
	lastInfo      map[instance.Address]instance.Info
	isolated      bool
	left          bool
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

func newFleet(seed uint64, size int, options ...claim.Option) *fleet {
	f := &fleet{
		random:   rand.New(rand.NewPCG(seed, seed)),
		options:  append([]claim.Option{claim.TotalShares(1), claim.MinMemberAge(time.Second), claim.Retention(time.Minute)}, options...),
		delay:    time.Millisecond,
		runs:     map[claim.Key]int{},
		refused:  map[uint64]bool{},
		outcomes: map[uint64]claim.Outcome{},
		ran:      map[uint64]bool{},
		leases:   map[share.Shard]*shardLease{},
	}
	for key := range uint64(keyCount) {
		f.leases[keyOf(key<<32).Shard()] = &shardLease{}
	}
	for range size {
		f.handle(f.add(), claim.FirstRun{})
	}
	f.schedule(heartbeatInterval, f.lend)
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
	n.alive, n.left, n.nextTick = true, false, 0
	n.claims = claim.New(n.info, f.options...)
	n.lastHeartbeat = map[instance.Address]time.Duration{}
	n.lastInfo = map[instance.Address]instance.Info{}
	f.onNode(n, f.now, func() { f.heartbeat(n) })
}

// heartbeat announces a node to the others and gives it the list of live
// members.
func (f *fleet) heartbeat(n *node) {
	for _, to := range f.nodes {
		info := n.info
		f.send(n, to, func() { to.lastHeartbeat[info.Address], to.lastInfo[info.Address] = f.now, info })
	}
	var view []instance.Info
	for _, m := range f.nodes {
		if m == n || n.lastHeartbeat[m.info.Address] > f.now-5*heartbeatInterval/2 && n.lastHeartbeat[m.info.Address] > 0 {
			view = append(view, n.infoOf(m))
		}
	}
	f.handle(n, claim.MembersChanged{Members: view})
	f.onNode(n, f.now+heartbeatInterval, func() { f.heartbeat(n) })
}

func (n *node) infoOf(m *node) instance.Info {
	if m == n {
		return n.info
	}
	return n.lastInfo[m.info.Address]
}

// lend renews the leases of shards. It lends a shard to another node, mostly
// the first in rank, once its lease has ended.
func (f *fleet) lend() {
	const term = 4 * heartbeatInterval
	usable := func(n *node) bool { return n.alive && !n.isolated && !n.info.Leaving && f.now >= n.pausedUntil }
	var able []instance.Info
	for _, n := range f.nodes {
		if usable(n) {
			able = append(able, n.info)
		}
	}
	lent := map[*node][]share.Shard{}
	for key := range uint64(keyCount) {
		s := keyOf(key << 32).Shard()
		l := f.leases[s]
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
		*l = shardLease{holder: first, until: f.now + term}
		lent[first] = append(lent[first], s)
	}
	for _, n := range f.nodes {
		shards := lent[n]
		until := f.now + term
		f.onNode(n, f.now, func() {
			f.handle(n, claim.BorrowedChanged{Borrowed: share.BorrowedShare{Until: until, Shards: share.SetOf(shards...)}})
		})
	}
	f.schedule(f.now+heartbeatInterval, f.lend)
}

func (f *fleet) node(a instance.Address) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.info.Address == a })
	return f.nodes[i]
}

func (f *fleet) schedule(t time.Duration, run func()) {
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

// onNode runs an event on this run of a node, after a pause if the node is
// paused.
func (f *fleet) onNode(n *node, at time.Duration, run func()) {
	incarnation := n.info.Incarnation
	f.schedule(at, func() {
		switch {
		case !n.alive || n.info.Incarnation != incarnation:
		case f.now < n.pausedUntil:
			f.onNode(n, n.pausedUntil, run)
		default:
			run()
		}
	})
}

func (f *fleet) send(from, to *node, deliver func()) {
	if from != to && (from.isolated || to.isolated || f.random.Float64() < f.loss) {
		return
	}
	times := 1
	if f.random.Float64() < f.duplication {
		times = 2
	}
	for range times {
		f.onNode(to, f.now+time.Duration(f.random.ExpFloat64()*float64(f.delay)), deliver)
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
			f.outcomes[e.Request] = e.Outcome
			f.checkNotRun(e.Request, "answered as a duplicate")
		case claim.Refused:
			f.refused[e.Request] = true
			f.checkNotRun(e.Request, "refused")
		case claim.Left:
			n.left = true
			f.schedule(f.now+heartbeatInterval, func() { n.alive = false })
		}
	}
	next := n.claims.Next()
	if n.nextTick > f.now && n.nextTick <= next {
		return
	}
	next = max(next, f.now+time.Microsecond)
	n.nextTick = next
	f.onNode(n, next, func() {
		if n.nextTick == next {
			n.nextTick = 0
			f.handle(n, claim.Tick{})
		}
	})
}

// checkNotRun records a violation if a request ran that must not.
func (f *fleet) checkNotRun(request uint64, how string) {
	if f.ran[request] {
		f.violations = append(f.violations, fmt.Sprintf("request %d was %s, but ran", request, how))
	}
}

// keyOf returns the key of a request, whose number holds it in the upper 32
// bits.
var keyOf = func(request uint64) claim.Key {
	return claim.KeyOf("press", fmt.Sprint(request>>32))
}

// execute sends the first byte of a request, a random delay after Run.
func (f *fleet) execute(n *node, request uint64) {
	f.onNode(n, f.now+time.Duration(f.random.ExpFloat64()*float64(f.delay)), func() {
		key := keyOf(request)
		f.ran[request] = true
		f.runs[key]++
		if f.runs[key] > 1 {
			f.violations = append(f.violations, fmt.Sprintf("key %d ran again at %v on %s", request>>32, f.now, n.info.Address))
		}
		if f.refused[request] {
			f.violations = append(f.violations, fmt.Sprintf("request %d ran after its refusal", request))
		}
		f.onNode(n, f.now+f.delay, func() {
			f.handle(n, claim.Done{Request: request, Outcome: claim.Outcome{State: claim.Ended, Status: 201}})
		})
	})
}

// request sends a request with a key to a node and returns its number.
func (f *fleet) request(n *node, key uint64) uint64 {
	f.lastRequest++
	request := key<<32 | f.lastRequest
	f.onNode(n, f.now, func() { f.handle(n, claim.Acquire{Request: request, Key: keyOf(request)}) })
	return request
}

// Guards against a resend that runs again, or that doesn't get the outcome of
// the first request, when it arrives at another instance.
func TestResendsGetTheFirstOutcome(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 5)
	f.run(3 * time.Second)
	var resends []uint64
	for key := range uint64(keyCount) {
		f.request(f.nodes[key%5], key)
		f.run(f.now + 20*time.Millisecond)
		resends = append(resends, f.request(f.nodes[(key+1)%5], key))
		f.run(f.now + 20*time.Millisecond)
	}
	is.Equal(len(f.violations), 0)
	is.Equal(len(f.runs), keyCount) // each key ran once
	for _, r := range resends {
		is.Equal(f.outcomes[r], claim.Outcome{State: claim.Ended, Status: 201})
	}
}

// Guards against an authority that never decides again after the authority
// before it was lost, and against lost claims.
func TestTakeoverKeepsClaims(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 5)
	f.run(3 * time.Second)
	for key := range uint64(20) {
		f.request(f.nodes[key%5], key)
	}
	f.run(f.now + 100*time.Millisecond)
	f.leases[keyOf(0).Shard()].holder.alive = false
	f.run(f.now + 3*time.Second)
	var resends []uint64
	for key := range uint64(20) {
		for _, n := range f.nodes {
			if n.alive {
				resends = append(resends, f.request(n, key))
				break
			}
		}
	}
	f.run(f.now + 2*time.Second)
	is.Equal(len(f.violations), 0)
	is.Equal(len(f.runs), 20)
	for _, r := range resends {
		_, answered := f.outcomes[r]
		is.True(answered) // the new authority decides again
	}
}

// Guards against a second run of a key after all instances were lost and
// restarted without their records: keys must be refused until the retention has
// passed.
func TestFleetLossRefusesKeysForRetention(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3)
	f.run(3 * time.Second)
	f.request(f.nodes[0], 7)
	f.run(4 * time.Second)
	is.Equal(len(f.runs), 1)
	for _, n := range f.nodes {
		f.start(n)
	}
	f.run(10 * time.Second)
	early := f.request(f.nodes[1], 7)
	f.run(12 * time.Second)
	is.True(f.refused[early])
	f.run(80 * time.Second)
	f.request(f.nodes[1], 8)
	f.run(82 * time.Second)
	is.Equal(len(f.runs), 2) // claims work again
	is.Equal(len(f.violations), 0)
}

// Guards against claims that are lost, or keys that are refused, when all
// instances are replaced one after the other.
func TestGracefulStopsKeepClaims(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 6)
	f.run(3 * time.Second)
	for key := range uint64(20) {
		f.request(f.nodes[key%6], key)
	}
	f.run(4 * time.Second)
	// Replace the instances one after the other: nothing is lost with them.
	for _, n := range slices.Clone(f.nodes) {
		f.add()
		f.run(f.now + 2*time.Second)
		n.info.Leaving = true
		f.run(f.now + 2*heartbeatInterval)
		f.onNode(n, f.now, func() { f.handle(n, claim.Leave{}) })
		f.run(f.now + 2*time.Second)
		is.True(n.left)
	}
	f.run(f.now + time.Second)
	resend := f.request(f.nodes[len(f.nodes)-1], 3)
	f.run(f.now + 2*time.Second)
	is.Equal(f.outcomes[resend].State, claim.Ended)
	is.Equal(len(f.violations), 0)
}

// Guards against a second run of a key, or a run after a refusal, under random
// crashes, restarts, pauses, partitions, stops and joins.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(t, "instances")
		options := []claim.Option{claim.Copies(rapid.IntRange(2, 3).Draw(t, "copies")), claim.Zones(rapid.IntRange(1, 2).Draw(t, "zones"))}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), size, options...)
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		f.duplication = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double")
		f.delay = rapid.SampledFrom([]time.Duration{time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "delay")
		const until = 15 * time.Second
		for i := 2 * time.Second; i < until; i += 50 * time.Millisecond {
			f.schedule(i, func() {
				f.request(f.nodes[f.random.IntN(len(f.nodes))], uint64(f.random.IntN(12)))
			})
		}
		for range rapid.IntRange(1, 14).Draw(t, "faults") {
			at := time.Duration(rapid.Int64Range(int64(2*time.Second), int64(until)).Draw(t, "at"))
			length := time.Duration(rapid.Int64Range(int64(10*time.Millisecond), int64(2*time.Second)).Draw(t, "length"))
			kind := rapid.SampledFrom([]string{"crash", "restart", "pause", "cut", "leave", "join"}).Draw(t, "kind")
			chosen := rapid.IntRange(-2, size-1).Draw(t, "node")
			f.schedule(at, func() { f.injectFault(kind, chosen, length) })
		}
		f.run(until)
		if len(f.violations) > 0 {
			t.Fatal(f.violations[0])
		}
	})
}

// injectFault applies a fault to the chosen node, or to the authority of key 0
// if chosen is below zero.
func (f *fleet) injectFault(kind string, chosen int, length time.Duration) {
	n := f.leases[keyOf(0).Shard()].holder
	if chosen >= 0 || n == nil {
		n = f.nodes[max(chosen, 0)]
	}
	switch kind {
	case "crash":
		n.alive = false
	case "restart":
		n.alive = false
		f.schedule(f.now+length, func() {
			if !n.alive {
				f.start(n)
			}
		})
	case "pause":
		n.pausedUntil = f.now + length
	case "cut":
		n.isolated = true
		f.schedule(f.now+length, func() { n.isolated = false })
	case "leave":
		n.info.Leaving = true
		f.onNode(n, f.now, func() { f.handle(n, claim.Leave{}) })
	case "join":
		f.add()
	}
}
