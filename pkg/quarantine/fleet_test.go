package quarantine_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quarantine"
)

// start is late enough that the authority of a test's fleet may grant permits.
const start = 2 * time.Minute

// fleet runs the states of many instances on virtual time, over a network that
// delays, reorders, duplicates and loses messages. One instance is the authority of
// all fingerprints.
type fleet struct {
	now       time.Duration
	random    *rand.Rand
	loss      float64
	authority int
	since     time.Duration
	down      map[instance.Address]bool
	nodes     []*node
	pending   []pending
	serial    int
	handlers  map[uint64]func(quarantine.Effect)
	number    uint64
}

type node struct {
	fleet    *fleet
	id       instance.ID
	state    *quarantine.State
	snapshot *quarantine.Snapshot
	ready    bool
}

type pending struct {
	at     time.Duration
	serial int
	run    func()
}

func newFleet(size int, seed uint64, loss float64) *fleet {
	f := &fleet{
		now:      start,
		random:   rand.New(rand.NewPCG(seed, 1)),
		loss:     loss,
		down:     map[instance.Address]bool{},
		handlers: map[uint64]func(quarantine.Effect){},
	}
	for i := range size {
		f.nodes = append(f.nodes, f.node(i))
	}
	return f
}

func (f *fleet) node(i int) *node {
	n := &node{fleet: f}
	n.id.Address = instance.Address(fmt.Sprintf("10.0.0.%d:7000", i+1))
	n.id.Incarnation = uint64(f.now)
	n.state = quarantine.New(n.id, n, quarantine.WithStrikeTerm(10*time.Minute))
	return n
}

// Coordinator, AuthoritySince and Peers implement quarantine.Directory.
func (n *node) Coordinator(time.Duration, quarantine.Fingerprint) (instance.Address, bool) {
	return n.fleet.nodes[n.fleet.authority].id.Address, true
}

func (n *node) AuthoritySince(time.Duration, quarantine.Fingerprint) (time.Duration, bool) {
	return n.fleet.since, n.fleet.nodes[n.fleet.authority].id == n.id
}

func (n *node) Peers(time.Duration) []instance.Address {
	var list []instance.Address
	for _, other := range n.fleet.nodes {
		if other.id != n.id && !n.fleet.down[other.id.Address] {
			list = append(list, other.id.Address)
		}
	}
	return list
}

func (f *fleet) after(d time.Duration, run func()) {
	f.serial++
	f.pending = append(f.pending, pending{at: f.now + d, serial: f.serial, run: run})
}

// handle passes an event to a node's state and carries out the effects.
func (n *node) handle(e quarantine.Event) {
	f := n.fleet
	if f.down[n.id.Address] {
		return
	}
	for _, effect := range n.state.Handle(f.now, e) {
		switch effect := effect.(type) {
		case quarantine.Send:
			f.send(n, effect)
		case quarantine.StrikeSpread:
			f.answer(effect.Number, effect)
		case quarantine.PermitAnswered:
			f.answer(effect.Number, effect)
		case quarantine.Ready:
			n.ready = true
		case quarantine.SnapshotChanged:
			n.snapshot = effect.Snapshot
		}
	}
}

func (f *fleet) answer(number uint64, e quarantine.Effect) {
	if run := f.handlers[number]; run != nil {
		delete(f.handlers, number)
		run(e)
	}
}

func (f *fleet) send(from *node, s quarantine.Send) {
	for copies := 0; copies < 2; copies++ {
		if f.random.Float64() >= f.loss {
			delay := time.Duration(1+f.random.IntN(30)) * time.Millisecond
			f.after(delay, func() {
				for _, n := range f.nodes {
					if n.id.Address == s.To {
						n.handle(quarantine.Received{From: from.id, Message: s.Message})
					}
				}
			})
		}
		if f.random.Float64() >= f.loss {
			return
		}
	}
}

// run advances the fleet's time by d.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for {
		next := pending{at: end + 1}
		index := -1
		for i, p := range f.pending {
			if c := cmp.Or(cmp.Compare(p.at, next.at), cmp.Compare(p.serial, next.serial)); c < 0 {
				next, index = p, i
			}
		}
		var due *node
		for _, n := range f.nodes {
			if at := n.state.Next(); at != 0 && at < next.at && !f.down[n.id.Address] {
				next, due = pending{at: at}, n
			}
		}
		if next.at > end {
			f.now = end
			return
		}
		f.now = max(f.now, next.at)
		if due != nil {
			due.handle(quarantine.Tick{})
			continue
		}
		f.pending = slices.Delete(f.pending, index, index+1)
		next.run()
	}
}

// request sends a request through a node as an instance would: depending on the
// status it runs the request, asks for a permit first, or refuses it, and then
// answers. After a crash it answers only at StrikeSpread. The target decides whether it
// dies.
func (f *fleet) request(n *node, fp quarantine.Fingerprint, o quarantine.Outline, dies func() bool, answered func(ran bool)) {
	f.number++
	number := f.number
	const took = 20 * time.Millisecond
	switch got, _ := n.snapshot.Lookup(f.now, fp); got {
	case quarantine.Free:
		f.after(took, func() {
			if !dies() {
				answered(true)
				return
			}
			f.handlers[number] = func(quarantine.Effect) { answered(true) }
			n.handle(quarantine.Crashed{Number: number, Fingerprint: fp, Outline: o, Target: fmt.Sprint(number)})
		})
	case quarantine.Suspect:
		f.handlers[number] = func(e quarantine.Effect) {
			if a := e.(quarantine.PermitAnswered); a.Decision != quarantine.Permitted {
				answered(false)
				return
			}
			f.after(took, func() { f.end(n, number, dies, answered) })
		}
		n.handle(quarantine.PermitRequested{Number: number, Fingerprint: fp, Outline: o, Wait: time.Second, Term: 10 * time.Second})
	case quarantine.Quarantined:
		answered(false)
	}
}

// end ends a permitted run.
func (f *fleet) end(n *node, number uint64, dies func() bool, answered func(bool)) {
	if !dies() {
		n.handle(quarantine.RunEnded{Number: number, Result: quarantine.Succeeded})
		answered(true)
		return
	}
	f.handlers[number] = func(quarantine.Effect) { answered(true) }
	n.handle(quarantine.RunEnded{Number: number, Result: quarantine.TargetCrashed, Target: fmt.Sprint(number)})
}
