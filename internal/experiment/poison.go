package experiment

import (
	"fmt"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quarantine"
)

const (
	// peerDelay is how long a message between instances takes.
	peerDelay = time.Millisecond
	// runTime is how long a target runs the poison request before it dies.
	runTime = 20 * time.Millisecond
	// resends is how often the caller sends it, through as many instances.
	resends = 10
)

// poisonRun is a fleet in which one request kills each target that runs it.
type poisonRun struct {
	clock
	nodes  []*poisonNode
	kills  int
	number uint64
	wait   map[uint64]func(quarantine.Effect)
}

type poisonNode struct {
	run      *poisonRun
	id       instance.ID
	state    *quarantine.State
	snapshot *quarantine.Snapshot
}

// Kills returns how many targets a poison request kills when its caller sends
// it ten times through ten instances, one after the other.
func Kills(p Policy) int {
	if p == Plain {
		kills := 0
		for range resends {
			for attempt := 0; attempt <= plainRetries; attempt++ {
				kills++ // each attempt goes to the next target, which dies
			}
		}
		return kills
	}
	n := &poisonRun{
		wait: map[uint64]func(quarantine.Effect){},
	}
	n.now = 2 * time.Minute
	for i := range resends {
		node := &poisonNode{
			run: n,
		}
		node.id.Address = instance.Address(fmt.Sprintf("10.0.0.%d:7000", i+1))
		node.id.Incarnation = 1
		node.state = quarantine.New(node.id, node)
		n.nodes = append(n.nodes, node)
	}
	outline := quarantine.OutlineOf("dealer", "reserve", "GET", "/sets/1")
	n.resend(0, outline, quarantine.FingerprintOf(outline, [32]byte{}))
	n.until(n.now + time.Minute)
	return n.kills
}

// Coordinator makes the first node the authority.
func (d *poisonNode) Coordinator(time.Duration, quarantine.Fingerprint) (instance.Address, bool) {
	return d.run.nodes[0].id.Address, true
}

// AuthoritySince tells that the first node has always been the authority.
func (d *poisonNode) AuthoritySince(time.Duration, quarantine.Fingerprint) (time.Duration, bool) {
	return 0, d == d.run.nodes[0]
}

// Peers lists the other nodes.
func (d *poisonNode) Peers(time.Duration) []instance.Address {
	var list []instance.Address
	for _, other := range d.run.nodes {
		if other != d {
			list = append(list, other.id.Address)
		}
	}
	return list
}

// resend sends the request through the i-th instance, and again once it is
// answered.
func (n *poisonRun) resend(i int, o quarantine.Outline, f quarantine.Fingerprint) {
	if i >= resends {
		return
	}
	d := n.nodes[i]
	n.number++
	number := n.number
	again := func(quarantine.Effect) { n.resend(i+1, o, f) }
	switch standing, _ := d.snapshot.Lookup(n.now, f); standing {
	case quarantine.Free:
		n.after(runTime, func() {
			n.kills++
			n.wait[number] = again
			d.handle(quarantine.Crashed{
				Number:      number,
				Fingerprint: f,
				Outline:     o,
				Target:      fmt.Sprint(number),
			})
		})
	case quarantine.Suspect:
		n.wait[number] = func(e quarantine.Effect) {
			if a, ok := e.(quarantine.PermitAnswered); !ok || a.Decision != quarantine.Permitted {
				again(e)
				return
			}
			n.after(runTime, func() {
				n.kills++
				n.wait[number] = again
				d.handle(quarantine.RunEnded{
					Number: number,
					Result: quarantine.TargetCrashed,
					Target: fmt.Sprint(number),
				})
			})
		}
		d.handle(quarantine.PermitRequested{
			Number:      number,
			Fingerprint: f,
			Outline:     o,
			Wait:        time.Second,
			Term:        time.Second,
		})
	default:
		n.after(time.Millisecond, func() { again(nil) })
	}
}

// handle gives a node an event and carries out what follows.
func (d *poisonNode) handle(e quarantine.Event) {
	n := d.run
	for _, effect := range d.state.Handle(n.now, e) {
		switch effect := effect.(type) {
		case quarantine.Send:
			n.after(peerDelay, func() { n.deliver(d.id, effect) })
		case quarantine.StrikeSpread:
			n.answer(effect.Number, effect)
		case quarantine.PermitAnswered:
			n.answer(effect.Number, effect)
		case quarantine.SnapshotChanged:
			d.snapshot = effect.Snapshot
		}
	}
}

func (n *poisonRun) deliver(from instance.ID, s quarantine.Send) {
	for _, d := range n.nodes {
		if d.id.Address == s.To {
			d.handle(quarantine.Received{
				From:    from,
				Message: s.Message,
			})
		}
	}
}

func (n *poisonRun) answer(number uint64, e quarantine.Effect) {
	if run := n.wait[number]; run != nil {
		delete(n.wait, number)
		run(e)
	}
}
