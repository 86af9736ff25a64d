package quota

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// tolerance covers the rounding of levels, in units.
const tolerance = 1e-9

// bucket is a token bucket whose size and rate follow the part of the shard
// that is held. Level and outstanding units together never pass the part's
// burst, so that over any window burst and refill bound what can be used.
type bucket struct {
	organisation string
	shard        share.Shard
	limit        Limit
	level        float64
	// ideal is the level of one bucket for the whole part whose units come and
	// go without any delay. It decides who may have units; level decides when.
	idealLevel float64
	// fullAt is when the ideal level was last full.
	idealFullAt time.Duration
	// at is the time that both levels stand for.
	updatedAt time.Duration
	// outstanding counts units granted and neither reported used, returned nor expired.
	outstanding int
	// grants are those with units out, and maybe some without, by expiry.
	grants []*outstandingGrant
	queue  []queuedItem
	// wake is the time of the timer that serves waiting.
	wake      time.Duration
	inherited inheritedLevel
}

// grantKey names a grant fleet-wide.
type grantKey struct {
	holder instance.ID
	number uint64
}

// outstandingGrant is a grant as its coordinator sees it.
type outstandingGrant struct {
	key     grantKey
	bucket  *bucket
	units   int
	used    int
	expires time.Duration
}

// waiter is an item that waits for units.
type queuedItem struct {
	item     Item
	holder   instance.ID
	answer   answerRoute
	received time.Duration
	deadline time.Duration
}

// legacy is a level that a leaving coordinator handed over. While the rights
// are on their way somebody else may have them and fill them, so the level
// shrinks by the rate until they arrive.
type inheritedLevel struct {
	level float64
	sent  time.Duration
	taken float64
}

// left is what may still be taken when rights arrived at the given time.
func (l *inheritedLevel) available(arrived time.Duration, rate float64) float64 {
	return l.level - rate*(arrived-l.sent).Seconds() - l.taken
}

// ceiling is how far the level may rise.
func (b *bucket) ceiling(p portion) float64 {
	return float64(max(0, p.burst(b.limit.Burst)-b.outstanding))
}

// settle brings the bucket up to a time, with the part held until then. Rate is
// the part's, in units a second. It returns the grants that have expired.
func (b *bucket) update(to time.Duration, p portion, rate float64) []*outstandingGrant {
	n := 0
	for ; n < len(b.grants); n++ {
		g := b.grants[n]
		if g.units > 0 && g.expires > to {
			break
		}
		if g.units > 0 {
			b.fill(g.expires, p, rate)
			b.outstanding -= g.units
			g.units = 0
		}
	}
	expired := b.grants[:n]
	b.grants = b.grants[n:]
	b.fill(to, p, rate)
	return expired
}

func (b *bucket) fill(to time.Duration, p portion, rate float64) {
	ceiling := b.ceiling(p)
	burst := float64(p.burst(b.limit.Burst))
	b.level = min(b.level, ceiling)
	b.idealLevel = min(b.idealLevel, burst)
	if to <= b.updatedAt {
		return
	}
	b.idealLevel = min(burst, b.idealLevel+p.rate(b.limit.PerSecond)*(to-b.updatedAt).Seconds())
	b.level = min(ceiling, b.level+rate*(to-b.updatedAt).Seconds())
	if b.idealLevel+tolerance >= burst {
		b.idealFullAt = to
	}
	b.updatedAt = to
}

// inherit takes what it may of the legacy. It is called on a settled bucket,
// with the time when the last rights arrived and the whole rate.
func (b *bucket) addInherited(p portion, arrived time.Duration, rate float64) {
	if b.inherited.level == 0 || arrived < b.inherited.sent {
		return
	}
	left := b.inherited.available(arrived, rate)
	if left <= 0 {
		b.inherited = inheritedLevel{}
		return
	}
	extra := max(0, min(left, b.ceiling(p)-b.level))
	b.level += extra
	b.idealLevel += extra
	b.inherited.taken += extra
}

// take removes units for a grant.
func (b *bucket) take(g *outstandingGrant) {
	b.level = max(0, b.level-float64(g.units))
	b.outstanding += g.units
	b.insert(g)
}

func (b *bucket) insert(g *outstandingGrant) {
	i := len(b.grants)
	for i > 0 && b.grants[i-1].expires > g.expires {
		i--
	}
	b.grants = slices.Insert(b.grants, i, g)
}

// report notes what became of a grant, on a settled bucket. It tells whether
// nothing of the grant is out any more.
func (b *bucket) report(g *outstandingGrant, r Report) bool {
	used := min(max(r.Used-g.used, 0), g.units)
	g.used += used
	g.units -= used
	b.outstanding -= used
	if r.Closed {
		b.level += float64(g.units)
		b.idealLevel += float64(g.units)
		b.outstanding -= g.units
		g.units = 0
	}
	return g.units == 0
}

// idle tells whether a bucket made anew later would be as good.
func (b *bucket) discardable(p portion) bool {
	if b.outstanding > 0 || len(b.queue) > 0 {
		return false
	}
	return p.shares == 0 && b.inherited.level == 0 || p.shares > 0 && b.level >= b.ceiling(p)
}
