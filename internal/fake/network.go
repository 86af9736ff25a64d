package fake

import (
	"time"

	"dandelionmux/pkg/instance"
)

// Network delivers messages between addresses, after a delay.
type Network struct {
	// MaxDelay bounds the usual delay, one way.
	MaxDelay time.Duration
	// LossRate is the part of the messages, from 0 to 1, that is lost.
	LossRate float64
	// DuplicateRate is the part that arrives twice.
	DuplicateRate float64
	// LateRate is the part that is delayed by up to MaxLateDelay.
	LateRate     float64
	MaxLateDelay time.Duration

	line *Timeline
	cuts map[way]bool
}

// way is a direction between two addresses.
type way struct{ from, to instance.Address }

// NewNetwork returns a network without faults.
func NewNetwork(line *Timeline) *Network {
	return &Network{
		MaxDelay: time.Millisecond,
		line:     line,
		cuts:     map[way]bool{},
	}
}

// Cut loses all messages from one address to another, in this direction only.
func (n *Network) Cut(from, to instance.Address) {
	n.cuts[way{
		from: from,
		to:   to,
	}] = true
}

// Heal ends all cuts.
func (n *Network) Heal() { clear(n.cuts) }

// Send delivers a message, or doesn't.
func (n *Network) Send(from, to instance.Address, deliver func()) {
	copies := 1
	if n.chance(n.LossRate) {
		copies = 0
	} else if n.chance(n.DuplicateRate) {
		copies = 2
	}
	for range copies {
		delay := n.line.RandomDuration(n.MaxDelay/4, n.MaxDelay)
		if n.chance(n.LateRate) {
			delay += n.line.RandomDuration(0, n.MaxLateDelay)
		}
		n.line.After(delay, func() {
			if !n.cuts[way{
				from: from,
				to:   to,
			}] {
				deliver()
			}
		})
	}
}

func (n *Network) chance(part float64) bool {
	return part > 0 && n.line.Random.Float64() < part
}
