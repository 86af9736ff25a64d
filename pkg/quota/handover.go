package quota

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// handoverWait is how long a leaving coordinator waits for its successors.
const handoverWait = 300 * time.Millisecond

// leaving is the state of a graceful stop.
type leaving struct {
	active bool
	// all says that no shard is granted from any more.
	allFrozen bool
	done      bool
	// given holds the shards that were handed over.
	handedOver map[share.Shard]bool
	// open counts the shards of handovers that aren't acknowledged yet.
	unacknowledged map[grantKey]int
	pendingShards  int
	deadline       time.Duration
}

func (l *leaving) frozen(s share.Shard) bool {
	return l.allFrozen || l.handedOver[s]
}

// next is when a leaving coordinator must look again.
func (l *leaving) next(grantsEnd time.Duration) time.Duration {
	switch {
	case !l.active || l.done:
		return 0
	case !l.allFrozen:
		return l.deadline
	default:
		return grantsEnd
	}
}

// taken notes that a handover has arrived.
func (l *leaving) acknowledge(heir instance.ID, number uint64) {
	key := grantKey{
		holder: heir,
		number: number,
	}
	l.pendingShards -= l.unacknowledged[key]
	delete(l.unacknowledged, key)
}

// leave offers all shards to their successors.
func (c *Coordinator) leave(now time.Duration, e Leave) {
	if c.leaving.active {
		return
	}
	shards := c.tracker.Shards()
	slices.Sort(shards)
	c.leaving = leaving{
		active:         true,
		handedOver:     map[share.Shard]bool{},
		unacknowledged: map[grantKey]int{},
		pendingShards:  len(shards),
		deadline:       now + handoverWait,
	}
	offers := map[instance.Address][]share.Shard{}
	var successors []instance.Address
	for _, s := range shards {
		to := e.Successor(s)
		if to == "" || to == c.self.Address {
			continue
		}
		if offers[to] == nil {
			successors = append(successors, to)
		}
		offers[to] = append(offers[to], s)
	}
	for _, to := range successors {
		c.outbox.send(to, HandoverOffer{
			Shards: offers[to],
		})
	}
}

// leaveTick ends the stop once nothing depends on this instance's rights: each
// shard's heir knows what is out, or nothing is out any more.
func (c *Coordinator) leaveTick(now time.Duration) {
	l := &c.leaving
	if !l.active || l.done {
		return
	}
	if !l.allFrozen && (l.pendingShards <= 0 || now >= l.deadline) {
		for _, s := range c.tracker.Shards() {
			c.freeze(now, s)
		}
		l.allFrozen = true
	}
	if l.allFrozen && (l.pendingShards <= 0 || now >= c.grantsEnd) {
		l.done = true
		c.outbox.effects = append(c.outbox.effects, Left{})
	}
}

// freeze stops granting from a shard and sends those that wait elsewhere.
func (c *Coordinator) freeze(now time.Duration, s share.Shard) {
	c.updateShard(s, now)
	c.leaving.handedOver[s] = true
	for _, b := range c.byShard[s] {
		b.level = 0
		c.serveQueue(b, now)
	}
}

// handOver answers an heir. A shard goes to one heir only.
func (c *Coordinator) handleHandoverRequest(now time.Duration, from instance.ID, m HandoverRequest) {
	if !c.leaving.active || c.leaving.allFrozen {
		return
	}
	h := Handover{
		Number: m.Number,
	}
	for _, s := range m.Shards {
		parts := c.tracker.Holding(s)
		if parts == nil || c.leaving.frozen(s) {
			continue
		}
		h.Shards = append(h.Shards, HandedShard{
			Shard:   s,
			Shares:  parts.Count,
			HeldFor: now - parts.LastAdded,
		})
		c.updateShard(s, now)
		for _, b := range c.byShard[s] {
			h.Buckets = append(h.Buckets, b.toHandover(now))
		}
		c.freeze(now, s)
	}
	if len(h.Shards) == 0 {
		return
	}
	slices.SortFunc(h.Buckets, func(a, b HandedBucket) int {
		return cmp.Compare(a.Organisation, b.Organisation)
	})
	c.leaving.unacknowledged[grantKey{
		holder: from,
		number: m.Number,
	}] = len(h.Shards)
	c.outbox.send(from.Address, h)
}

func (b *bucket) toHandover(now time.Duration) HandedBucket {
	h := HandedBucket{
		Organisation: b.organisation,
		Level:        b.level,
	}
	for _, g := range b.grants {
		if g.units > 0 {
			h.Grants = append(h.Grants, HandedGrant{
				Holder: g.key.holder,
				Number: g.key.number,
				Used:   g.used,
				Units:  g.units,
				Term:   g.expires - now,
			})
		}
	}
	return h
}

// heirs is what this instance has inherited, or asked for.
type takeovers struct {
	number   uint64
	requests map[uint64]handoverRequest
	shards   map[share.Shard]takenOverShard
}

type handoverRequest struct {
	from   instance.Address
	sent   time.Duration
	shards []share.Shard
}

// idleShard stands for the buckets that weren't handed over, because nobody had
// used them for as long as the leaving coordinator held the shard.
type takenOverShard struct {
	handed HandedShard
	sent   time.Duration
}

func newTakeovers() takeovers {
	return takeovers{
		requests: map[uint64]handoverRequest{},
		shards:   map[share.Shard]takenOverShard{},
	}
}

// idle is the legacy of an organisation without a bucket.
func (h *takeovers) inheritedLevelOf(b *bucket, total int) inheritedLevel {
	i, ok := h.shards[b.shard]
	if !ok {
		return inheritedLevel{}
	}
	p := portion{
		shares: i.handed.Shares,
		total:  total,
	}
	return inheritedLevel{
		level: min(float64(p.burst(b.limit.Burst)), p.rate(b.limit.PerSecond)*i.handed.HeldFor.Seconds()),
		sent:  i.sent,
	}
}

// forget drops what is too old to matter.
func (h *takeovers) forget(now time.Duration) {
	for n, a := range h.requests {
		if now > a.sent+sweepInterval {
			delete(h.requests, n)
		}
	}
	for s, i := range h.shards {
		if now > i.sent+sweepInterval {
			delete(h.shards, s)
		}
	}
}

// offered asks a leaving coordinator for its buckets. Without limits they could
// not be taken in.
func (c *Coordinator) handleOffer(now time.Duration, from instance.ID, m HandoverOffer) {
	if c.leaving.active || c.limits == nil {
		return
	}
	c.takeovers.number++
	c.takeovers.requests[c.takeovers.number] = handoverRequest{
		from:   from.Address,
		sent:   now,
		shards: m.Shards,
	}
	c.scheduleSweep(now + sweepInterval)
	c.outbox.send(from.Address, HandoverRequest{
		Number: c.takeovers.number,
		Shards: m.Shards,
	})
}

// inherited takes a handover in, unless rights of a shard have come since it
// was asked for: then what is out was not counted in time.
func (c *Coordinator) handleHandover(now time.Duration, from instance.ID, m Handover) {
	asked, ok := c.takeovers.requests[m.Number]
	if !ok || asked.from != from.Address {
		return
	}
	delete(c.takeovers.requests, m.Number)
	shards := map[share.Shard]bool{}
	for _, s := range m.Shards {
		parts := c.tracker.Holding(s.Shard)
		late := parts != nil && parts.LastAdded >= asked.sent
		if late || !slices.Contains(asked.shards, s.Shard) {
			return
		}
		shards[s.Shard] = true
	}
	for _, h := range m.Buckets {
		if shards[ShardOf(h.Organisation)] {
			c.takeOverBucket(now, asked.sent, h)
		}
	}
	for _, s := range m.Shards {
		c.takeovers.shards[s.Shard] = takenOverShard{
			handed: s,
			sent:   asked.sent,
		}
	}
	c.outbox.send(from.Address, HandoverAck{
		Number: m.Number,
	})
}

func (c *Coordinator) takeOverBucket(now, sent time.Duration, h HandedBucket) {
	limit, ok := c.limits.Limit(h.Organisation)
	if !ok {
		return
	}
	b := c.bucket(now, h.Organisation, limit)
	b.inherited = inheritedLevel{
		level: h.Level,
		sent:  sent,
	}
	for _, g := range h.Grants {
		o := &outstandingGrant{
			key: grantKey{
				holder: g.Holder,
				number: g.Number,
			},
			bucket:  b,
			units:   g.Units,
			used:    g.Used,
			expires: now + g.Term,
		}
		b.outstanding += o.units
		b.insert(o)
		c.grants[o.key] = o
		c.grantsEnd = max(c.grantsEnd, o.expires)
	}
}
