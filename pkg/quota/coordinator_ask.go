package quota

import (
	"math"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

const (
	// prefetchDivisor limits the prefetched units of one item to this fraction
	// of the bucket's level.
	prefetchDivisor = 8
	// outstandingDivisor limits the outstanding units of a bucket to this
	// fraction of its burst when units are prefetched.
	outstandingDivisor = 4
	// minPrefetchBurst is the smallest burst, in units, from which units are
	// prefetched.
	minPrefetchBurst = 32
	// promptReportFactor decides when a grant without prefetched units needs a
	// prompt report: if the burst is less than this many times the units that
	// the rate yields in one grant's term.
	promptReportFactor = 8
)

// answerRoute is the route of an answer to a holder.
type answerRoute struct {
	to instance.Address
	// holder is set if the answer goes through a relay.
	holder instance.ID
}

// handleAsk answers what this coordinator can. It relays the rest to the
// coordinator that the message names, unless the message was relayed already.
func (c *Coordinator) handleAsk(now time.Duration, from instance.ID, m Ask) {
	holder := from
	answer := answerRoute{
		to: from.Address,
	}
	if m.Holder != (instance.ID{}) {
		holder = m.Holder
		answer.holder = m.Holder
	}
	mayRelay := m.Coordinator != "" && m.Coordinator != c.self.Address && m.Holder == (instance.ID{})
	for _, r := range m.Reports {
		known := c.handleReport(now, grantKey{
			holder: holder,
			number: r.Number,
		}, r)
		if !known && mayRelay {
			ask := c.outbox.relay(m.Coordinator, from)
			ask.Reports = append(ask.Reports, r)
		}
	}
	for _, item := range m.Items {
		if mayRelay && c.portion(ShardOf(item.Organisation)).shares == 0 {
			ask := c.outbox.relay(m.Coordinator, from)
			ask.Items = append(ask.Items, item)
			continue
		}
		c.handleItem(now, holder, answer, item)
	}
}

// relayAnswer passes an answer on to the holder that it is for.
func (c *Coordinator) relayAnswer(m Answer) {
	if m.Holder == (instance.ID{}) || m.Holder == c.self {
		return
	}
	c.outbox.send(m.Holder.Address, m)
}

// handleReport applies a report. It returns false if neither the grant nor a
// queued item of its number is known here.
func (c *Coordinator) handleReport(now time.Duration, key grantKey, r Report) bool {
	g := c.grants[key]
	if g == nil {
		return r.Closed && c.removeQueued(now, key)
	}
	b := g.bucket
	c.update(b, now)
	if b.report(g, r) {
		delete(c.grants, key)
	}
	c.update(b, now)
	c.serveQueue(b, now)
	return true
}

// handleItem grants, queues or refuses an item.
func (c *Coordinator) handleItem(now time.Duration, holder instance.ID, answer answerRoute, item Item) {
	if c.limits == nil {
		c.refuse(answer, item, NoRights, 0)
		return
	}
	limit, ok := c.limits.Limit(item.Organisation)
	p := c.portion(ShardOf(item.Organisation))
	switch {
	case !ok || !limit.valid():
		c.refuse(answer, item, NoLimit, 0)
		return
	case item.Need > limit.Burst:
		c.refuse(answer, item, TooCostly, 0)
		return
	case p.shares == 0 || p.burst(limit.Burst) < item.Need:
		c.refuse(answer, item, NoRights, 0)
		return
	}
	b := c.bucket(now, item.Organisation, limit)
	if len(b.queue) == 0 {
		before := b.outstanding
		if c.grant(b, now, now, holder, answer, item) {
			// enqueue charges the ideal level for queued items only.
			b.idealLevel -= float64(b.outstanding - before)
			return
		}
	}
	c.enqueue(b, now, holder, answer, item)
}

// grant gives an item its units, and prefetched ones if it asks for them, or
// refuses it. It returns false if the level is too low. The term counts from
// the receipt of the item; the holder counts it from the sending, which is
// earlier.
func (c *Coordinator) grant(b *bucket, now, received time.Duration, holder instance.ID, answer answerRoute, item Item) bool {
	units := item.Need
	if b.level+tolerance < float64(units) {
		return false
	}
	p := c.portion(b.shard)
	burst := p.burst(b.limit.Burst)
	prefetched := b.prefetch(item, burst)
	units += prefetched
	if units == 0 {
		c.refuse(answer, item, Exhausted, 0)
		return true
	}
	maxTerm := c.onDemandTerm
	if prefetched > 0 {
		maxTerm = c.maxGrantTerm
	}
	waited := now - received
	term := c.grantTerm(b, now, units, maxTerm)
	if term < minGrantTerm {
		c.refuse(answer, item, NoRights, 0)
		return true
	}
	g := &outstandingGrant{
		key: grantKey{
			holder: holder,
			number: item.Number,
		},
		bucket:  b,
		units:   units,
		expires: now + term,
	}
	if c.grants[g.key] != nil {
		// A duplicate of an item that was granted already. It gets no second
		// answer.
		return true
	}
	b.take(g)
	c.grants[g.key] = g
	c.grantsEnd = max(c.grantsEnd, g.expires)
	rate := p.rate(b.limit.PerSecond)
	a := c.outbox.answer(answer)
	a.Grants = append(a.Grants, Grant{
		Number:       item.Number,
		Units:        units,
		Term:         waited + term,
		PromptReport: prefetched == 0 && promptReportFactor*rate*maxTerm.Seconds() > float64(burst),
	})
	return true
}

// prefetch returns the number of units that an item gets beyond its need.
func (b *bucket) prefetch(item Item, burst int) int {
	if item.Prefetch <= 0 || burst < minPrefetchBurst {
		return 0
	}
	spare := int(b.level-float64(item.Need)) / prefetchDivisor
	headroom := burst/outstandingDivisor - b.outstanding
	return max(0, min(item.Prefetch, spare, headroom))
}

// grantTerm returns the longest term, up to maxTerm, at whose end the shares
// still held have a burst that covers the outstanding units and the given ones.
// So whenever shares expire, the outstanding units fit into the burst of the
// rest. It returns zero if there is no such term.
func (c *Coordinator) grantTerm(b *bucket, now time.Duration, units int, maxTerm time.Duration) time.Duration {
	fits := func(at time.Duration) bool {
		count, tieBreaker := c.tracker.HeldUntil(b.shard, at)
		p := portion{
			shares:     count,
			total:      c.totalShares,
			tieBreaker: tieBreaker,
		}
		return p.burst(b.limit.Burst) >= b.outstanding+units
	}
	if fits(now + maxTerm) {
		return maxTerm
	}
	ends := c.tracker.AppendExpiries(nil, b.shard)
	slices.Sort(ends)
	for _, end := range slices.Backward(ends) {
		if end < now+maxTerm && fits(end) {
			return end - now
		}
	}
	return 0
}

// enqueue queues an item if the ideal bucket has its units, they will be
// available within its maximum wait, and the queue isn't full. For some time
// after a takeover it queues the item even if the ideal bucket lacks them. Other
// items are refused.
func (c *Coordinator) enqueue(b *bucket, now time.Duration, holder instance.ID, answer answerRoute, item Item) {
	maxWait := c.maxQueueWait
	rate := c.slowRate(c.portion(b.shard).rate(b.limit.PerSecond))
	entitled := b.idealLevel+tolerance >= float64(item.Need)
	if c.recovering(b, now) {
		entitled = true
		maxWait = c.maxTakeoverWait
		rate = c.slowRate(b.limit.PerSecond)
	}
	missing := float64(item.Need) - b.level
	for _, q := range b.queue {
		missing += float64(q.item.Need)
	}
	wait := durationOf(missing / rate)
	maxWait = min(maxWait, item.Wait)
	if !entitled || item.Need == 0 || wait > maxWait || c.queueLength >= c.maxQueueLength {
		c.refuse(answer, item, Exhausted, wait)
		return
	}
	b.queue = append(b.queue, queuedItem{
		item:     item,
		holder:   holder,
		answer:   answer,
		received: now,
		deadline: now + maxWait,
	})
	c.queueLength++
	b.idealLevel -= float64(item.Need)
	c.queued[grantKey{
		holder: holder,
		number: item.Number,
	}] = b
	if maxWait > c.maxQueueWait {
		a := c.outbox.answer(answer)
		a.Queued = append(a.Queued, item.Number)
	}
	c.scheduleQueue(b, now)
}

// removeQueued removes an item that its holder has abandoned. It returns false
// if the item isn't queued.
func (c *Coordinator) removeQueued(now time.Duration, key grantKey) bool {
	b := c.queued[key]
	if b == nil {
		return false
	}
	delete(c.queued, key)
	before := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(q queuedItem) bool {
		return q.holder == key.holder && q.item.Number == key.number
	})
	c.queueLength -= before - len(b.queue)
	// The units aren't returned to the ideal level. It only guides decisions,
	// so it may be too low until it is full again.
	c.update(b, now)
	c.serveQueue(b, now)
	return true
}

// recovering reports whether shares were borrowed so recently that the bucket
// may be low for that reason alone.
func (c *Coordinator) recovering(b *bucket, now time.Duration) bool {
	holding := c.tracker.Holding(b.shard)
	return holding != nil && b.idealFullAt < holding.LastAdded && now < holding.LastAdded+c.recoveryTime
}

// serveQueue gives units to queued items in order. The bucket must be up to
// date.
func (c *Coordinator) serveQueue(b *bucket, now time.Duration) {
	n := 0
	for _, q := range b.queue {
		switch {
		case c.portion(b.shard).burst(b.limit.Burst) < q.item.Need:
			b.idealLevel += float64(q.item.Need)
			c.refuse(q.answer, q.item, NoRights, 0)
		case c.grant(b, now, q.received, q.holder, q.answer, q.item):
		case now >= q.deadline:
			b.idealLevel = min(b.idealLevel+float64(q.item.Need), b.level)
			c.refuse(q.answer, q.item, Exhausted, c.timeUntilUnits(b, q.item.Need))
		default:
			b.queue = slices.Delete(b.queue, 0, n)
			c.scheduleQueue(b, now)
			return
		}
		n++
		c.queueLength--
		delete(c.queued, grantKey{
			holder: q.holder,
			number: q.item.Number,
		})
	}
	b.queue = nil
}

// scheduleQueue sets the timer for the time at which the first queued item can
// be served or must be refused.
func (c *Coordinator) scheduleQueue(b *bucket, now time.Duration) {
	q := b.queue[0]
	at := min(now+c.timeUntilUnits(b, q.item.Need), q.deadline)
	if float64(q.item.Need) > b.ceiling(c.portion(b.shard)) && len(b.grants) > 0 {
		at = min(q.deadline, b.grants[0].expires)
	}
	at = max(at, now+1)
	if b.wakeAt == 0 || at < b.wakeAt || b.wakeAt <= now {
		b.wakeAt = at
		c.wakeTimers.add(at, b)
	}
}

// timeUntilUnits returns how long it takes until the level reaches the given
// units.
func (c *Coordinator) timeUntilUnits(b *bucket, units int) time.Duration {
	rate := c.slowRate(c.portion(b.shard).rate(b.limit.PerSecond))
	return durationOf((float64(units) - b.level) / rate)
}

func (c *Coordinator) refuse(answer answerRoute, item Item, reason Reason, after time.Duration) {
	a := c.outbox.answer(answer)
	a.Refusals = append(a.Refusals, Refusal{
		Number:     item.Number,
		Reason:     reason,
		RetryAfter: after,
	})
}

// durationOf converts seconds to a duration, rounded up and at most a day.
func durationOf(s float64) time.Duration {
	const maxDuration = 24 * time.Hour
	if !(s < maxDuration.Seconds()) {
		return maxDuration
	}
	return time.Duration(math.Ceil(max(s, 0) * float64(time.Second)))
}
