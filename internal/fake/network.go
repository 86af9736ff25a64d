package fake

import (
	"time"

	"dandelionmux/pkg/instance"
)

// Network delivers messages between addresses, after a delay.
type Network struct {
	// MaxDelay is the maximum one-way delay of a message that isn't late. The
	// minimum is a quarter of it.
	MaxDelay time.Duration
	// LossRate is the fraction of messages, from 0 to 1, that are lost.
	LossRate float64
	// DuplicateRate is the fraction of messages that arrive twice.
	DuplicateRate float64
	// LateRate is the fraction of messages that are delayed by up to
	// MaxLateDelay in addition.
	LateRate     float64
	MaxLateDelay time.Duration

	timeline *Timeline
	cuts     map[direction]bool
}

// direction is one direction between two addresses.
type direction struct{ from, to instance.Address }

// NewNetwork returns a network without faults.
func NewNetwork(timeline *Timeline) *Network {
	return &Network{
		MaxDelay: time.Millisecond,
		timeline: timeline,
		cuts:     map[direction]bool{},
	}
}

// Cut makes the network lose all messages from one address to another, in this
// direction only. It also affects messages in flight.
func (n *Network) Cut(from, to instance.Address) {
	n.cuts[direction{
		from: from,
		to:   to,
	}] = true
}

// Heal removes all cuts.
func (n *Network) Heal() { clear(n.cuts) }

// Send schedules the delivery of a message, zero, one or two times according to
// the rates.
func (n *Network) Send(from, to instance.Address, deliver func()) {
	copies := 1
	if n.happens(n.LossRate) {
		copies = 0
	} else if n.happens(n.DuplicateRate) {
		copies = 2
	}
	for range copies {
		delay := n.timeline.RandomDuration(n.MaxDelay/4, n.MaxDelay)
		if n.happens(n.LateRate) {
			delay += n.timeline.RandomDuration(0, n.MaxLateDelay)
		}
		n.timeline.After(delay, func() {
			if !n.cuts[direction{
				from: from,
				to:   to,
			}] {
				deliver()
			}
		})
	}
}

func (n *Network) happens(probability float64) bool {
	return probability > 0 && n.timeline.Random.Float64() < probability
}
