package quota

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// tolerance covers rounding errors of levels, in units.
const tolerance = 1e-9

// bucket is a token bucket whose size and rate follow the portion of the limit
// that this coordinator holds. The level and the outstanding units together
// never exceed the portion's burst, so the burst and the refill bound what can
// be used over any window.
type bucket struct {
	organisation string
	shard        share.Shard
	limit        Limit
	level        float64
	// idealLevel is the level that the bucket would have if units were used and
	// returned without any delay. It decides which items may get units; level
	// decides when.
	idealLevel float64
	// idealFullAt is when the ideal level was last full.
	idealFullAt time.Duration
	// updatedAt is the time for which both levels are valid.
	updatedAt time.Duration
	// outstanding counts the units granted and neither reported used nor
	// returned nor expired.
	outstanding int
	// grants holds the grants with outstanding units, and possibly some
	// without, in the order of their expiry.
	grants []*outstandingGrant
	queue  []queuedItem
	// wakeAt is the time of the timer that serves the queue; zero if none is
	// set.
	wakeAt time.Duration
	// inherited is the level that a leaving coordinator handed over.
	inherited inheritedLevel
}

// grantKey identifies a grant in the whole fleet.
type grantKey struct {
	holder instance.ID
	number uint64
}

// outstandingGrant is a grant as its coordinator sees it. The field units
// counts its outstanding units, used those reported as used.
type outstandingGrant struct {
	key     grantKey
	bucket  *bucket
	units   int
	used    int
	expires time.Duration
}

// queuedItem is an item that waits for units.
type queuedItem struct {
	item     Item
	holder   instance.ID
	answer   answerRoute
	received time.Duration
	deadline time.Duration
}

// inheritedLevel is a level that a leaving coordinator handed over, in units.
// While the shares are on their way to this instance, another one may hold them
// and fill its bucket with them. So the level shrinks by the rate until the
// shares arrive.
type inheritedLevel struct {
	level float64
	// requestedAt is when this instance requested the handover.
	requestedAt time.Duration
	// added counts the units that the bucket has got of it.
	added float64
}

// remaining returns the units that may still be added if the last shares
// arrived at the given time.
func (l *inheritedLevel) remaining(arrived time.Duration, rate float64) float64 {
	return l.level - rate*(arrived-l.requestedAt).Seconds() - l.added
}

// ceiling returns the highest level that the bucket may reach now.
func (b *bucket) ceiling(p portion) float64 {
	return float64(max(0, p.burst(b.limit.Burst)-b.outstanding))
}

// update brings the bucket up to a time, with the portion held until then and
// the portion's rate in units a second. It returns the grants that have
// expired.
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

// fill refills both levels up to a time, within the portion's burst.
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

// addInherited adds what the bucket may get of the inherited level. The bucket
// must be up to date. The rate is that of the whole limit, and arrived is when
// the last shares arrived.
func (b *bucket) addInherited(p portion, arrived time.Duration, rate float64) {
	if b.inherited.level == 0 || arrived < b.inherited.requestedAt {
		return
	}
	left := b.inherited.remaining(arrived, rate)
	if left <= 0 {
		b.inherited = inheritedLevel{}
		return
	}
	extra := max(0, min(left, b.ceiling(p)-b.level))
	b.level += extra
	b.idealLevel += extra
	b.inherited.added += extra
}

// dropInherited drops what of the inherited level no longer fits into the burst beside
// the bucket's own units. Without that, it would be added once those are used.
func (b *bucket) dropInherited(arrived time.Duration, rate float64) {
	if b.inherited.level == 0 {
		return
	}
	left := b.inherited.remaining(max(arrived, b.inherited.requestedAt), rate)
	room := max(0, float64(b.limit.Burst-b.outstanding)-b.level)
	if left > room {
		b.inherited.added += left - room
	}
}

// take removes the units of a grant from the level.
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

// report applies a report on a grant and reports whether no unit of it is
// outstanding any more. The bucket must be up to date.
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

// discardable reports whether the bucket can be removed, because a new one
// would start with the same level.
func (b *bucket) discardable(p portion) bool {
	if b.outstanding > 0 || len(b.queue) > 0 {
		return false
	}
	return p.shares == 0 && b.inherited.level == 0 || p.shares > 0 && b.level >= b.ceiling(p)
}
