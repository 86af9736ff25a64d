package roster

import (
	"time"

	"dandelionmux/pkg/instance"
)

// reportTime is the time within which an instance gets a first report of every other
// instance of its zone, even if one of them is lost.
const reportTime = time.Second

// Ages knows how long the instances of a zone have been running. It is not safe for
// concurrent use.
type Ages struct {
	self      instance.Address
	startedAt map[instance.Address]time.Duration
}

// NewAges returns the ages as known by an instance that starts now.
func NewAges(self instance.Address, now time.Duration) *Ages {
	return &Ages{
		self: self,
		startedAt: map[instance.Address]time.Duration{
			self: now,
		},
	}
}

// Report records the age that another instance has reported.
func (g *Ages) Report(now time.Duration, a instance.Address, age time.Duration) {
	g.startedAt[a] = now - age
}

// Forget forgets an instance that is gone.
func (g *Ages) Forget(a instance.Address) { delete(g.startedAt, a) }

// Of returns how long an instance has been running. One that has reported nothing has
// just started, unless this instance has, too: instances that start at the same time agree
// on a keeper only if they take their ages for equal.
func (g *Ages) Of(now time.Duration, a instance.Address) time.Duration {
	if startedAt, known := g.startedAt[a]; known {
		return now - startedAt
	}
	if own := now - g.startedAt[g.self]; own < reportTime {
		return own
	}
	return 0
}
