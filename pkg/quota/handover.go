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
	// allFrozen says that nothing is granted from any shard any more.
	allFrozen bool
	done      bool
	// frozenShards holds the shards from which nothing is granted any more.
	frozenShards map[share.Shard]bool
	// unacknowledged holds the number of shards in each handover that isn't
	// acknowledged. A handover is identified by its receiver, which is the
	// key's holder, and the number of the receiver's request.
	unacknowledged map[grantKey]int
	// pendingShards counts the shards that aren't handed over and acknowledged.
	pendingShards int
	deadline      time.Duration
}

// frozen reports whether nothing is granted from a shard any more.
func (l *leaving) frozen(s share.Shard) bool {
	return l.allFrozen || l.frozenShards[s]
}

// next returns when a leaving coordinator must check again; zero means never.
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

// acknowledge records that a handover has arrived.
func (l *leaving) acknowledge(receiver instance.ID, number uint64) {
	key := grantKey{
		holder: receiver,
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
		frozenShards:   map[share.Shard]bool{},
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

// leaveTick ends the stop once nothing depends on the shares of this instance:
// the receiver of each shard knows its outstanding units, or none are left.
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

// freeze stops granting from a shard, and refuses its queued items so that
// their holders ask elsewhere.
func (c *Coordinator) freeze(now time.Duration, s share.Shard) {
	c.updateShard(s, now)
	c.leaving.frozenShards[s] = true
	for _, b := range c.byShard[s] {
		b.level = 0
		c.serveQueue(b, now)
	}
}

// handleHandoverRequest hands buckets over. Each shard goes to one receiver
// only.
func (c *Coordinator) handleHandoverRequest(now time.Duration, from instance.ID, m HandoverRequest) {
	if !c.leaving.active || c.leaving.allFrozen {
		return
	}
	h := Handover{
		Number: m.Number,
	}
	for _, s := range m.Shards {
		holding := c.tracker.Holding(s)
		if holding == nil || c.leaving.frozen(s) {
			continue
		}
		h.Shards = append(h.Shards, HandedShard{
			Shard:   s,
			Shares:  holding.Count,
			HeldFor: now - holding.LastAdded,
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

// toHandover returns the bucket's state for its successor.
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

// takeovers holds the handovers that this instance has requested or received.
type takeovers struct {
	number uint64
	// requests holds the requests without an answer by their numbers.
	requests map[uint64]handoverRequest
	// shards holds the shards that were taken over recently.
	shards map[share.Shard]takenOverShard
}

// handoverRequest is a HandoverRequest that was sent.
type handoverRequest struct {
	from   instance.Address
	sent   time.Duration
	shards []share.Shard
}

// takenOverShard stands for the organisations whose buckets weren't handed
// over, because there were none: nothing had been granted from them as long as
// the leaving coordinator held the shard.
type takenOverShard struct {
	handed HandedShard
	// requestedAt is when this instance requested the handover.
	requestedAt time.Duration
}

func newTakeovers() takeovers {
	return takeovers{
		requests: map[uint64]handoverRequest{},
		shards:   map[share.Shard]takenOverShard{},
	}
}

// inheritedLevelOf returns the inherited level of an organisation for which no
// bucket was handed over.
func (t *takeovers) inheritedLevelOf(b *bucket, totalShares int) inheritedLevel {
	s, ok := t.shards[b.shard]
	if !ok {
		return inheritedLevel{}
	}
	p := portion{
		shares: s.handed.Shares,
		total:  totalShares,
	}
	return inheritedLevel{
		level:       min(float64(p.burst(b.limit.Burst)), p.rate(b.limit.PerSecond)*s.handed.HeldFor.Seconds()),
		requestedAt: s.requestedAt,
	}
}

// forget removes entries that are too old to matter.
func (t *takeovers) forget(now time.Duration) {
	for number, r := range t.requests {
		if now > r.sent+sweepInterval {
			delete(t.requests, number)
		}
	}
	for shard, s := range t.shards {
		if now > s.requestedAt+sweepInterval {
			delete(t.shards, shard)
		}
	}
}

// handleOffer asks a leaving coordinator for its buckets. Without limits they
// could not be taken over.
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

// handleHandover takes over buckets. It ignores the message if this instance has
// borrowed a share of one of the shards since its request, because its buckets
// then granted units without counting the outstanding grants. It also ignores
// a message with a shard that wasn't requested.
func (c *Coordinator) handleHandover(now time.Duration, from instance.ID, m Handover) {
	request, ok := c.takeovers.requests[m.Number]
	if !ok || request.from != from.Address {
		return
	}
	delete(c.takeovers.requests, m.Number)
	shards := map[share.Shard]bool{}
	for _, s := range m.Shards {
		holding := c.tracker.Holding(s.Shard)
		borrowedSince := holding != nil && holding.LastAdded >= request.sent
		if borrowedSince || !slices.Contains(request.shards, s.Shard) {
			return
		}
		shards[s.Shard] = true
	}
	for _, h := range m.Buckets {
		if shards[ShardOf(h.Organisation)] {
			c.takeOverBucket(now, request.sent, h)
		}
	}
	for _, s := range m.Shards {
		c.takeovers.shards[s.Shard] = takenOverShard{
			handed:      s,
			requestedAt: request.sent,
		}
	}
	c.outbox.send(from.Address, HandoverAck{
		Number: m.Number,
	})
}

// takeOverBucket adds the level and the outstanding grants of a handed-over
// bucket. It ignores organisations without a limit.
func (c *Coordinator) takeOverBucket(now, requestedAt time.Duration, h HandedBucket) {
	limit, ok := c.limits.Limit(h.Organisation)
	if !ok {
		return
	}
	b := c.bucket(now, h.Organisation, limit)
	b.inherited = inheritedLevel{
		level:       h.Level,
		requestedAt: requestedAt,
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
