package quota

import (
	"time"

	"dandelionmux/internal/rights"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

const (
	// sweepInterval is how often buckets that are full and unused are dropped.
	sweepInterval = 10 * time.Second
	// minGrantTerm is the shortest term of a grant that is worth sending.
	minGrantTerm = 5 * time.Millisecond
)

// Coordinator keeps the buckets of the organisations whose shards the instance
// has borrowed. It is used by one goroutine.
type Coordinator struct {
	options
	self instance.ID
	// limits is nil until the first LimitsChanged.
	limits      Limits
	tracker     *rights.Tracker
	buckets     map[string]*bucket
	byShard     map[share.Shard][]*bucket
	grants      map[grantKey]*outstandingGrant
	wakes       timers[*bucket]
	queued      map[grantKey]*bucket
	queueLength int
	nextSweep   time.Duration
	// grantsEnd is when the last grant made so far expires.
	grantsEnd time.Duration
	takeovers takeovers
	leaving   leaving
	outbox    outbox
}

// NewCoordinator makes the coordinator of one run of an instance. It holds
// nothing, and has no limits before the first LimitsChanged: until then it
// refuses with NoRights, so that the asker turns to others or asks again.
func NewCoordinator(self instance.ID, opts ...Option) *Coordinator {
	o := newOptions(opts)
	return &Coordinator{
		options:   o,
		self:      self,
		tracker:   rights.New(o.totalShares),
		buckets:   map[string]*bucket{},
		byShard:   map[share.Shard][]*bucket{},
		grants:    map[grantKey]*outstandingGrant{},
		queued:    map[grantKey]*bucket{},
		takeovers: newTakeovers(),
	}
}

// Handle takes an event in and returns what is to be done. It ignores events
// that are a Holder's.
func (c *Coordinator) Handle(now time.Duration, e Event) []Effect {
	c.tracker.Advance(now, c.beforePartsChange)
	switch e := e.(type) {
	case BorrowedChanged:
		c.borrowedChanged(now, e.Borrowed)
	case LimitsChanged:
		c.limitsChanged(now, e.Limits)
	case Received:
		c.received(now, e)
	case Leave:
		c.leave(now, e)
	}
	c.tick(now)
	return c.outbox.flush()
}

// Next is when Handle wants a Tick; zero for never.
func (c *Coordinator) Next() time.Duration {
	return earliest(c.wakes.next(), c.nextSweep, c.leaving.next(c.grantsEnd))
}

// Organisations is the number of buckets held.
func (c *Coordinator) Organisations() int {
	return len(c.buckets)
}

func (c *Coordinator) received(now time.Duration, e Received) {
	switch m := e.Message.(type) {
	case Ask:
		c.handleAsk(now, e.From, m)
	case Answer:
		c.relayAnswer(m)
	case HandoverOffer:
		c.handleOffer(now, e.From, m)
	case HandoverRequest:
		c.handleHandoverRequest(now, e.From, m)
	case Handover:
		c.handleHandover(now, e.From, m)
	case HandoverAck:
		c.leaving.acknowledge(e.From, m.Number)
	}
}

func (c *Coordinator) tick(now time.Duration) {
	for {
		b, ok := c.wakes.popDue(now)
		if !ok {
			break
		}
		if b.wake != 0 && b.wake <= now {
			b.wake = 0
			c.update(b, now)
			c.serveQueue(b, now)
		}
	}
	if c.nextSweep != 0 && now >= c.nextSweep {
		c.dropIdle(now)
	}
	c.leaveTick(now)
}

func (c *Coordinator) borrowedChanged(now time.Duration, b share.Borrowed) {
	var changed []share.Shard
	c.tracker.Update(now, b, func(s share.Shard, at time.Duration, added bool) {
		c.beforePartsChange(s, at, added)
		changed = append(changed, s)
	})
	for _, s := range changed {
		for _, b := range c.byShard[s] {
			if len(b.queue) > 0 {
				c.update(b, now)
				c.serveQueue(b, now)
			}
		}
	}
}

// limitsChanged applies new limits from now on. Levels stay, but for what is
// above a lower burst.
func (c *Coordinator) limitsChanged(now time.Duration, limits Limits) {
	for _, b := range c.buckets {
		c.update(b, now)
		// An organisation without a limit keeps a bucket of size zero for what
		// is still out.
		b.limit, _ = limits.Limit(b.organisation)
	}
	c.limits = limits
}

// portion is the part held of a shard. Nothing is held of a shard that was
// handed over.
func (c *Coordinator) portion(s share.Shard) portion {
	p := c.tracker.Holding(s)
	if p == nil || c.leaving.frozen(s) {
		return portion{
			total: c.totalShares,
		}
	}
	return portion{
		shares:   p.Count,
		total:    c.totalShares,
		deciding: p.Has(c.tracker.TieBreaker(s)),
	}
}

// partsChange settles a shard's buckets before its parts change. With a part
// lost, somebody else may use what was inherited.
func (c *Coordinator) beforePartsChange(s share.Shard, at time.Duration, added bool) {
	c.updateShard(s, at)
	if added {
		return
	}
	delete(c.takeovers.shards, s)
	for _, b := range c.byShard[s] {
		b.inherited = inheritedLevel{}
	}
}

func (c *Coordinator) updateShard(s share.Shard, at time.Duration) {
	for _, b := range c.byShard[s] {
		c.update(b, at)
	}
}

func (c *Coordinator) update(b *bucket, to time.Duration) {
	p := c.portion(b.shard)
	if parts := c.tracker.Holding(b.shard); parts != nil && b.updatedAt <= to {
		b.addInherited(p, parts.LastAdded, b.limit.PerSecond)
	}
	for _, g := range b.update(to, p, c.slowRate(p.rate(b.limit.PerSecond))) {
		delete(c.grants, g.key)
	}
}

// bucket finds or makes an organisation's bucket, settled. A new one is as full
// as its parts' time in these hands allows: nothing was granted in that time,
// or there would be a bucket.
func (c *Coordinator) bucket(now time.Duration, organisation string, limit Limit) *bucket {
	b := c.buckets[organisation]
	if b == nil {
		b = c.addBucket(now, organisation, limit)
		c.fillByAge(b, now)
	}
	c.update(b, now)
	return b
}

func (c *Coordinator) addBucket(now time.Duration, organisation string, limit Limit) *bucket {
	b := &bucket{
		organisation: organisation,
		shard:        ShardOf(organisation),
		limit:        limit,
		updatedAt:    now,
	}
	c.buckets[organisation] = b
	c.byShard[b.shard] = append(c.byShard[b.shard], b)
	c.scheduleSweep(now + sweepInterval)
	return b
}

func (c *Coordinator) scheduleSweep(at time.Duration) {
	if c.nextSweep == 0 {
		c.nextSweep = at
	}
}

func (c *Coordinator) fillByAge(b *bucket, now time.Duration) {
	parts := c.tracker.Holding(b.shard)
	if parts == nil {
		return
	}
	p := c.portion(b.shard)
	most := float64(p.burst(b.limit.Burst)) / float64(max(p.shares, 1))
	rate := c.slowRate(b.limit.PerSecond) / float64(c.totalShares)
	parts.ForEachAge(now, func(age time.Duration) {
		b.level += min(most, rate*age.Seconds())
	})
	b.idealLevel = b.level
	if b.idealLevel+tolerance >= float64(p.burst(b.limit.Burst)) {
		b.idealFullAt = now
	}
	b.inherited = c.takeovers.inheritedLevelOf(b, c.totalShares)
}

// dropIdle forgets buckets that are full.
func (c *Coordinator) dropIdle(now time.Duration) {
	c.nextSweep = 0
	c.takeovers.forget(now)
	for name, b := range c.buckets {
		c.update(b, now)
		if b.inherited.level > 0 && now > b.inherited.sent+sweepInterval {
			b.inherited = inheritedLevel{}
		}
		// What was inherited with a shard must not be given out twice.
		_, heir := c.takeovers.shards[b.shard]
		if !heir && b.discardable(c.portion(b.shard)) {
			c.dropBucket(name, b)
		}
	}
	if len(c.buckets)+len(c.takeovers.requests)+len(c.takeovers.shards) > 0 {
		c.nextSweep = now + sweepInterval
	}
}

func (c *Coordinator) dropBucket(name string, b *bucket) {
	delete(c.buckets, name)
	list := c.byShard[b.shard]
	for i := range list {
		if list[i] == b {
			list[i] = list[len(list)-1]
			list = list[:len(list)-1]
			break
		}
	}
	if len(list) == 0 {
		delete(c.byShard, b.shard)
		return
	}
	c.byShard[b.shard] = list
}

// ShardOf is the shard that an organisation's bucket belongs to.
func ShardOf(organisation string) share.Shard {
	return share.ShardOf("organisation", organisation)
}

// earliest is the least of the times that aren't zero.
func earliest(times ...time.Duration) time.Duration {
	var first time.Duration
	for _, t := range times {
		if t != 0 && (first == 0 || t < first) {
			first = t
		}
	}
	return first
}
