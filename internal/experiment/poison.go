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
	// crashDelay is how long a target runs the poison request before it crashes.
	crashDelay = 20 * time.Millisecond
	// sends is the number of times that the caller sends the request, each
	// time through another instance.
	sends = 10
)

// poisonRun is a fleet with a poison request, which crashes each target that runs
// it.
type poisonRun struct {
	clock
	nodes []*poisonNode
	// crashes counts the targets that crashed.
	crashes int
	// lastNumber is the number of the last request.
	lastNumber uint64
	// waiting maps the number of a request to the function that takes its answer
	// from the quarantine.
	waiting map[uint64]func(quarantine.Effect)
}

// poisonNode is an instance with its state of the quarantine. It is also the view
// of the fleet that the state has.
type poisonNode struct {
	run      *poisonRun
	id       instance.ID
	state    *quarantine.State
	snapshot *quarantine.Snapshot
}

// PoisonCrashes returns the number of targets that a poison request crashes when its
// caller sends it ten times, through ten instances one after the other.
func PoisonCrashes(p Policy) int {
	if p == Plain {
		crashes := 0
		for range sends {
			for attempt := 0; attempt <= plainRetries; attempt++ {
				crashes++ // each attempt goes to the next target and crashes it
			}
		}
		return crashes
	}
	n := &poisonRun{
		waiting: map[uint64]func(quarantine.Effect){},
	}
	n.now = 2 * time.Minute
	for i := range sends {
		node := &poisonNode{
			run: n,
		}
		node.id.Address = instance.Address(fmt.Sprintf("10.0.0.%d:7000", i+1))
		node.id.Incarnation = 1
		node.state = quarantine.New(node.id, node)
		n.nodes = append(n.nodes, node)
	}
	outline := quarantine.OutlineOf("dealer", "reserve", "GET", "/sets/1")
	n.sendThrough(0, outline, quarantine.FingerprintOf(outline, [32]byte{}))
	n.runUntil(n.now + time.Minute)
	return n.crashes
}

// Coordinator returns the address of the first node, which coordinates every
// fingerprint.
func (d *poisonNode) Coordinator(time.Duration, quarantine.Fingerprint) (instance.Address, bool) {
	return d.run.nodes[0].id.Address, true
}

// AuthoritySince reports that the first node has been the authority since the
// start of time, and no other node is.
func (d *poisonNode) AuthoritySince(time.Duration, quarantine.Fingerprint) (time.Duration, bool) {
	return 0, d == d.run.nodes[0]
}

// Peers returns the addresses of the other nodes.
func (d *poisonNode) Peers(time.Duration) []instance.Address {
	var list []instance.Address
	for _, other := range d.run.nodes {
		if other != d {
			list = append(list, other.id.Address)
		}
	}
	return list
}

// sendThrough sends the request through the i-th instance, and through the next
// one once it is answered.
func (n *poisonRun) sendThrough(i int, o quarantine.Outline, f quarantine.Fingerprint) {
	if i >= sends {
		return
	}
	d := n.nodes[i]
	n.lastNumber++
	number := n.lastNumber
	sendNext := func(quarantine.Effect) { n.sendThrough(i+1, o, f) }
	switch standing, _ := d.snapshot.Lookup(n.now, f); standing {
	case quarantine.Free:
		n.after(crashDelay, func() {
			n.crashes++
			n.waiting[number] = sendNext
			d.handle(quarantine.Crashed{
				Number:      number,
				Fingerprint: f,
				Outline:     o,
				Target:      fmt.Sprint(number),
			})
		})
	case quarantine.Suspect:
		n.waiting[number] = func(e quarantine.Effect) {
			if a, ok := e.(quarantine.PermitAnswered); !ok || a.Decision != quarantine.Permitted {
				sendNext(e)
				return
			}
			n.after(crashDelay, func() {
				n.crashes++
				n.waiting[number] = sendNext
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
		n.after(time.Millisecond, func() { sendNext(nil) })
	}
}

// handle passes an event to the state and carries out its effects.
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

// deliver hands a message to the node that it is addressed to.
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

// answer calls the function that waits for the request's answer, if any.
func (n *poisonRun) answer(number uint64, e quarantine.Effect) {
	if resume := n.waiting[number]; resume != nil {
		delete(n.waiting, number)
		resume(e)
	}
}
