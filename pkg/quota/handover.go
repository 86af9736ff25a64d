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
	all  bool
	done bool
	// given holds the shards that were handed over.
	given map[share.Shard]bool
	// open counts the shards of handovers that aren't acknowledged yet.
	open     map[grantKey]int
	waiting  int
	deadline time.Duration
}

func (l *leaving) frozen(s share.Shard) bool {
	return l.all || l.given[s]
}

// next is when a leaving coordinator must look again.
func (l *leaving) next(grantsEnd time.Duration) time.Duration {
	switch {
	case !l.active || l.done:
		return 0
	case !l.all:
		return l.deadline
	default:
		return grantsEnd
	}
}

// taken notes that a handover has arrived.
func (l *leaving) taken(heir instance.ID, number uint64) {
	key := grantKey{
		holder: heir,
		number: number,
	}
	l.waiting -= l.open[key]
	delete(l.open, key)
}

// leave offers all shards to their successors.
func (c *Coordinator) leave(now time.Duration, e Leave) {
	if c.leaving.active {
		return
	}
	shards := c.tracker.Shards()
	slices.Sort(shards)
	c.leaving = leaving{
		active:   true,
		given:    map[share.Shard]bool{},
		open:     map[grantKey]int{},
		waiting:  len(shards),
		deadline: now + handoverWait,
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
	if !l.all && (l.waiting <= 0 || now >= l.deadline) {
		for _, s := range c.tracker.Shards() {
			c.freeze(now, s)
		}
		l.all = true
	}
	if l.all && (l.waiting <= 0 || now >= c.grantsEnd) {
		l.done = true
		c.outbox.effects = append(c.outbox.effects, Left{})
	}
}

// freeze stops granting from a shard and sends those that wait elsewhere.
func (c *Coordinator) freeze(now time.Duration, s share.Shard) {
	c.settleShard(s, now)
	c.leaving.given[s] = true
	for _, b := range c.byShard[s] {
		b.level = 0
		c.serve(b, now)
	}
}

// handOver answers an heir. A shard goes to one heir only.
func (c *Coordinator) handOver(now time.Duration, from instance.ID, m HandoverRequest) {
	if !c.leaving.active || c.leaving.all {
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
		c.settleShard(s, now)
		for _, b := range c.byShard[s] {
			h.Buckets = append(h.Buckets, b.handed(now))
		}
		c.freeze(now, s)
	}
	if len(h.Shards) == 0 {
		return
	}
	slices.SortFunc(h.Buckets, func(a, b HandedBucket) int {
		return cmp.Compare(a.Organisation, b.Organisation)
	})
	c.leaving.open[grantKey{
		holder: from,
		number: m.Number,
	}] = len(h.Shards)
	c.outbox.send(from.Address, h)
}

func (b *bucket) handed(now time.Duration) HandedBucket {
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
type heirs struct {
	number uint64
	asked  map[uint64]inheritance
	shards map[share.Shard]idleShard
}

type inheritance struct {
	from   instance.Address
	sent   time.Duration
	shards []share.Shard
}

// idleShard stands for the buckets that weren't handed over, because nobody had
// used them for as long as the leaving coordinator held the shard.
type idleShard struct {
	handed HandedShard
	sent   time.Duration
}

func newHeirs() heirs {
	return heirs{
		asked:  map[uint64]inheritance{},
		shards: map[share.Shard]idleShard{},
	}
}

// idle is the legacy of an organisation without a bucket.
func (h *heirs) idle(b *bucket, total int) legacy {
	i, ok := h.shards[b.shard]
	if !ok {
		return legacy{}
	}
	p := portion{
		shares: i.handed.Shares,
		total:  total,
	}
	return legacy{
		level: min(float64(p.burst(b.limit.Burst)), p.rate(b.limit.PerSecond)*i.handed.HeldFor.Seconds()),
		sent:  i.sent,
	}
}

// forget drops what is too old to matter.
func (h *heirs) forget(now time.Duration) {
	for n, a := range h.asked {
		if now > a.sent+sweepInterval {
			delete(h.asked, n)
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
func (c *Coordinator) offered(now time.Duration, from instance.ID, m HandoverOffer) {
	if c.leaving.active || c.limits == nil {
		return
	}
	c.heirs.number++
	c.heirs.asked[c.heirs.number] = inheritance{
		from:   from.Address,
		sent:   now,
		shards: m.Shards,
	}
	c.sweepBy(now + sweepInterval)
	c.outbox.send(from.Address, HandoverRequest{
		Number: c.heirs.number,
		Shards: m.Shards,
	})
}

// inherited takes a handover in, unless rights of a shard have come since it
// was asked for: then what is out was not counted in time.
func (c *Coordinator) inherited(now time.Duration, from instance.ID, m Handover) {
	asked, ok := c.heirs.asked[m.Number]
	if !ok || asked.from != from.Address {
		return
	}
	delete(c.heirs.asked, m.Number)
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
			c.inheritBucket(now, asked.sent, h)
		}
	}
	for _, s := range m.Shards {
		c.heirs.shards[s.Shard] = idleShard{
			handed: s,
			sent:   asked.sent,
		}
	}
	c.outbox.send(from.Address, HandoverAck{
		Number: m.Number,
	})
}

func (c *Coordinator) inheritBucket(now, sent time.Duration, h HandedBucket) {
	limit, ok := c.limits.Limit(h.Organisation)
	if !ok {
		return
	}
	b := c.bucket(now, h.Organisation, limit)
	b.legacy = legacy{
		level: h.Level,
		sent:  sent,
	}
	for _, g := range h.Grants {
		o := &outstanding{
			key: grantKey{
				holder: g.Holder,
				number: g.Number,
			},
			bucket:  b,
			units:   g.Units,
			used:    g.Used,
			expires: now + g.Term,
		}
		b.out += o.units
		b.insert(o)
		c.grants[o.key] = o
		c.grantsEnd = max(c.grantsEnd, o.expires)
	}
}
