package quota

import (
	"time"

	"dandelionmux/internal/rights"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

const (
	// sweepInterval is the time between removals of full, unused buckets.
	sweepInterval = 10 * time.Second
	// minGrantTerm is the shortest term of a grant that is worth sending.
	minGrantTerm = 5 * time.Millisecond
)

// Coordinator keeps the buckets of the organisations of whose shards the
// instance has borrowed shares. It is not safe for concurrent use.
type Coordinator struct {
	options
	self instance.ID
	// limits is nil until the first LimitsChanged.
	limits     Limits
	tracker    *rights.Tracker
	buckets    map[string]*bucket
	byShard    map[share.Shard][]*bucket
	grants     map[grantKey]*outstandingGrant
	wakeTimers timers[*bucket]
	// queued holds the bucket in whose queue an item waits.
	queued map[grantKey]*bucket
	// queueLength is the number of items in all queues.
	queueLength int
	nextSweep   time.Duration
	// grantsEnd is when the last of all grants made so far expires.
	grantsEnd time.Duration
	takeovers takeovers
	leaving   leaving
	outbox    outbox
}

// NewCoordinator returns the coordinator of one run of an instance, without
// shares or limits. It refuses with NoRights until the first LimitsChanged, so
// that holders ask other coordinators or ask again.
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

// Handle processes an event at the time now and returns the effects to carry
// out. It ignores events that are for a Holder.
func (c *Coordinator) Handle(now time.Duration, e Event) []Effect {
	c.tracker.Advance(now, c.beforeHoldingChange)
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

// Next returns the time at which Handle must get a Tick; zero means none.
func (c *Coordinator) Next() time.Duration {
	return earliest(c.wakeTimers.next(), c.nextSweep, c.leaving.next(c.grantsEnd))
}

// BucketCount returns the number of buckets.
func (c *Coordinator) BucketCount() int {
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
		b, ok := c.wakeTimers.popDue(now)
		if !ok {
			break
		}
		if b.wakeAt != 0 && b.wakeAt <= now {
			b.wakeAt = 0
			c.update(b, now)
			c.serveQueue(b, now)
		}
	}
	if c.nextSweep != 0 && now >= c.nextSweep {
		c.dropIdle(now)
	}
	c.leaveTick(now)
}

func (c *Coordinator) borrowedChanged(now time.Duration, b share.BorrowedShare) {
	var changed []share.Shard
	c.tracker.Update(now, b, func(s share.Shard, at time.Duration, added bool) {
		c.beforeHoldingChange(s, at, added)
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

// limitsChanged applies new limits from now on. Levels stay, except where they
// exceed a lower burst.
func (c *Coordinator) limitsChanged(now time.Duration, limits Limits) {
	for _, b := range c.buckets {
		c.update(b, now)
		// An organisation without a limit keeps a bucket of size zero while it
		// has outstanding units.
		b.limit, _ = limits.Limit(b.organisation)
	}
	c.limits = limits
}

// portion returns the portion of the limits that this instance holds for a
// shard. It is zero for a frozen shard.
func (c *Coordinator) portion(s share.Shard) portion {
	holding := c.tracker.Holding(s)
	if holding == nil || c.leaving.frozen(s) {
		return portion{
			total: c.totalShares,
		}
	}
	return portion{
		shares:     holding.Count,
		total:      c.totalShares,
		tieBreaker: holding.Has(c.tracker.TieBreaker(s)),
	}
}

// beforeHoldingChange updates the buckets of a shard before this instance gains
// or loses a share of it. After a loss, another instance may use what was
// inherited.
func (c *Coordinator) beforeHoldingChange(s share.Shard, at time.Duration, added bool) {
	c.updateShard(s, at)
	if added {
		return
	}
	delete(c.takeovers.shards, s)
	for _, b := range c.byShard[s] {
		b.inherited = inheritedLevel{}
	}
}

// updateShard brings the buckets of a shard up to a time.
func (c *Coordinator) updateShard(s share.Shard, at time.Duration) {
	for _, b := range c.byShard[s] {
		c.update(b, at)
	}
}

// update brings a bucket up to a time and removes its expired grants.
func (c *Coordinator) update(b *bucket, to time.Duration) {
	p := c.portion(b.shard)
	holding := c.tracker.Holding(b.shard)
	if holding != nil && b.updatedAt <= to {
		b.addInherited(p, holding.LastAdded, b.limit.PerSecond)
	}
	for _, g := range b.update(to, p, c.slowRate(p.rate(b.limit.PerSecond))) {
		delete(c.grants, g.key)
	}
	if holding != nil {
		b.dropInherited(holding.LastAdded, b.limit.PerSecond)
	}
}

// bucket returns the up-to-date bucket of an organisation, and adds it if there
// is none. A new bucket is as full as it would be if it had been filled since
// the shares were borrowed: there was no bucket, so nothing was granted in that
// time.
func (c *Coordinator) bucket(now time.Duration, organisation string, limit Limit) *bucket {
	b := c.buckets[organisation]
	if b == nil {
		b = c.addBucket(now, organisation, limit)
		c.fillByAge(b, now)
	}
	c.update(b, now)
	return b
}

// addBucket adds an empty bucket for an organisation.
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

// scheduleSweep sets the time of the next sweep unless one is scheduled.
func (c *Coordinator) scheduleSweep(at time.Duration) {
	if c.nextSweep == 0 {
		c.nextSweep = at
	}
}

// fillByAge sets the level of a new bucket as if it had been there since the first of
// the shares now held was borrowed. Before it had most of them, its part of a small burst
// was rounded down.
func (c *Coordinator) fillByAge(b *bucket, now time.Duration) {
	holding := c.tracker.Holding(b.shard)
	if holding == nil {
		return
	}
	p := portion{
		total: c.totalShares,
	}
	last := now
	fill := func(to time.Duration) {
		added := c.slowRate(p.rate(b.limit.PerSecond)) * max(to-last, 0).Seconds()
		b.level = min(b.level+added, float64(p.burst(b.limit.Burst)))
		last = to
	}
	for _, s := range holding.Shares() {
		fill(s.Since)
		p.shares++
		p.tieBreaker = p.tieBreaker || s.Number == c.tracker.TieBreaker(b.shard)
	}
	fill(now)
	b.idealLevel = b.level
	if b.idealLevel+tolerance >= float64(p.burst(b.limit.Burst)) {
		b.idealFullAt = now
	}
	b.inherited = c.takeovers.inheritedLevelOf(b, c.totalShares)
}

// dropIdle removes buckets that are full and unused.
func (c *Coordinator) dropIdle(now time.Duration) {
	c.nextSweep = 0
	c.takeovers.forget(now)
	for name, b := range c.buckets {
		c.update(b, now)
		if b.inherited.level > 0 && now > b.inherited.requestedAt+sweepInterval {
			b.inherited = inheritedLevel{}
		}
		// A new bucket would get the inherited units of its shard again.
		_, takenOver := c.takeovers.shards[b.shard]
		if !takenOver && b.discardable(c.portion(b.shard)) {
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

// ShardOf returns the shard that an organisation's bucket belongs to.
func ShardOf(organisation string) share.Shard {
	return share.ShardOf("organisation", organisation)
}

// earliest returns the earliest of the times that aren't zero, or zero.
func earliest(times ...time.Duration) time.Duration {
	var first time.Duration
	for _, t := range times {
		if t != 0 && (first == 0 || t < first) {
			first = t
		}
	}
	return first
}
