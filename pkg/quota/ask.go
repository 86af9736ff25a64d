package quota

import (
	"math"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

const (
	// prefetchDivisor is the part of a level that one item may get in advance.
	prefetchDivisor = 8
	// outstandingDivisor is the part of a burst that may be out when units are given
	// in advance.
	outstandingDivisor = 4
	// minPrefetchBurst is the smallest burst from which units are given in advance.
	minPrefetchBurst = 32
	// promptReportFactor is how often the units that expire unreported must fit into
	// the burst for reports to be left out.
	promptReportFactor = 8
)

// answerRoute is the way of an answer.
type answerRoute struct {
	to instance.Address
	// holder is set if the way leads through a relay.
	holder instance.ID
}

// asked answers what it can and passes the rest on if the message allows.
func (c *Coordinator) handleAsk(now time.Duration, from instance.ID, m Ask) {
	holder := from
	answer := answerRoute{
		to: from.Address,
	}
	if m.Origin != (instance.ID{}) {
		holder = m.Origin
		answer.holder = m.Origin
	}
	relays := m.Coordinator != "" && m.Coordinator != c.self.Address && m.Origin == (instance.ID{})
	for _, r := range m.Reports {
		known := c.handleReport(now, grantKey{
			holder: holder,
			number: r.Number,
		}, r)
		if !known && relays {
			ask := c.outbox.relay(m.Coordinator, from)
			ask.Reports = append(ask.Reports, r)
		}
	}
	for _, item := range m.Items {
		if relays && c.portion(ShardOf(item.Organisation)).shares == 0 {
			ask := c.outbox.relay(m.Coordinator, from)
			ask.Items = append(ask.Items, item)
			continue
		}
		c.handleItem(now, holder, answer, item)
	}
}

func (c *Coordinator) relayAnswer(m Answer) {
	if m.Origin == (instance.ID{}) || m.Origin == c.self {
		return
	}
	c.outbox.send(m.Origin.Address, m)
}

// reported takes a report in; false if the grant is unknown here.
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

// item grants an item, lets it wait or refuses it.
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
			b.idealLevel -= float64(b.outstanding - before)
			return
		}
	}
	c.enqueue(b, now, holder, answer, item)
}

// grant gives an item its units, and some in advance, if they are there. The
// term counts from when the item was received: it had been sent before, from
// when its holder counts.
func (c *Coordinator) grant(b *bucket, now, received time.Duration, holder instance.ID, answer answerRoute, item Item) bool {
	units := item.Need
	if b.level+tolerance < float64(units) {
		return false
	}
	p := c.portion(b.shard)
	burst := p.burst(b.limit.Burst)
	advance := b.prefetch(item, burst)
	units += advance
	if units == 0 {
		c.refuse(answer, item, Exhausted, 0)
		return true
	}
	most := c.onDemandTerm
	if advance > 0 {
		most = c.maxGrantTerm
	}
	waited := now - received
	term := c.grantTerm(b, now, units, most)
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
		PromptReport: advance == 0 && promptReportFactor*rate*most.Seconds() > float64(burst),
	})
	return true
}

// advance is how many units an item gets beyond its need.
func (b *bucket) prefetch(item Item, burst int) int {
	if item.Prefetch <= 0 || burst < minPrefetchBurst {
		return 0
	}
	spare := int(b.level-float64(item.Need)) / prefetchDivisor
	room := burst/outstandingDivisor - b.outstanding
	return max(0, min(item.Prefetch, spare, room))
}

// lasting is the term of a grant of some units: for as long as the parts that
// last carry all that is out with it. So whenever a part ends, what is out fits
// into the rest.
func (c *Coordinator) grantTerm(b *bucket, now time.Duration, units int, most time.Duration) time.Duration {
	fits := func(at time.Duration) bool {
		count, deciding := c.tracker.HeldUntil(b.shard, at)
		p := portion{
			shares:   count,
			total:    c.totalShares,
			deciding: deciding,
		}
		return p.burst(b.limit.Burst) >= b.outstanding+units
	}
	if fits(now + most) {
		return most
	}
	ends := c.tracker.AppendExpiries(nil, b.shard)
	slices.Sort(ends)
	for _, end := range slices.Backward(ends) {
		if end < now+most && fits(end) {
			return end - now
		}
	}
	return 0
}

// queue lets an item wait if an ideal bucket had its units, so that they are
// about to be there; in the time after a takeover also if it had not.
func (c *Coordinator) enqueue(b *bucket, now time.Duration, holder instance.ID, answer answerRoute, item Item) {
	patience := c.maxQueueWait
	rate := c.slowRate(c.portion(b.shard).rate(b.limit.PerSecond))
	due := b.idealLevel+tolerance >= float64(item.Need)
	if c.recovering(b, now) {
		due = true
		patience = c.maxTakeoverWait
		rate = c.slowRate(b.limit.PerSecond)
	}
	lack := float64(item.Need) - b.level
	for _, w := range b.queue {
		lack += float64(w.item.Need)
	}
	wait := durationOf(lack / rate)
	patience = min(patience, item.Wait)
	if !due || item.Need == 0 || wait > patience || c.queueLength >= c.maxQueueLength {
		c.refuse(answer, item, Exhausted, wait)
		return
	}
	b.queue = append(b.queue, queuedItem{
		item:     item,
		holder:   holder,
		answer:   answer,
		received: now,
		deadline: now + patience,
	})
	c.queueLength++
	b.idealLevel -= float64(item.Need)
	c.queued[grantKey{
		holder: holder,
		number: item.Number,
	}] = b
	if patience > c.maxQueueWait {
		a := c.outbox.answer(answer)
		a.Queued = append(a.Queued, item.Number)
	}
	c.scheduleQueue(b, now)
}

// unqueue drops an item that its holder has given up.
func (c *Coordinator) removeQueued(now time.Duration, key grantKey) bool {
	b := c.queued[key]
	if b == nil {
		return false
	}
	delete(c.queued, key)
	before := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(w queuedItem) bool {
		return w.holder == key.holder && w.item.Number == key.number
	})
	c.queueLength -= before - len(b.queue)
	// The ideal level is a guide only, so it may err until it is full again.
	c.update(b, now)
	c.serveQueue(b, now)
	return true
}

// recovering tells whether rights came so lately that the bucket may be low for
// that reason alone.
func (c *Coordinator) recovering(b *bucket, now time.Duration) bool {
	parts := c.tracker.Holding(b.shard)
	return parts != nil && b.idealFullAt < parts.LastAdded && now < parts.LastAdded+c.recoveryTime
}

// serve gives units to those that wait, in order, on a settled bucket.
func (c *Coordinator) serveQueue(b *bucket, now time.Duration) {
	n := 0
	for _, w := range b.queue {
		switch {
		case c.portion(b.shard).burst(b.limit.Burst) < w.item.Need:
			b.idealLevel += float64(w.item.Need)
			c.refuse(w.answer, w.item, NoRights, 0)
		case c.grant(b, now, w.received, w.holder, w.answer, w.item):
		case now >= w.deadline:
			b.idealLevel = min(b.idealLevel+float64(w.item.Need), b.level)
			c.refuse(w.answer, w.item, Exhausted, c.timeUntilUnits(b, w.item.Need))
		default:
			b.queue = slices.Delete(b.queue, 0, n)
			c.scheduleQueue(b, now)
			return
		}
		n++
		c.queueLength--
		delete(c.queued, grantKey{
			holder: w.holder,
			number: w.item.Number,
		})
	}
	b.queue = nil
}

// schedule sets the time at which the first that waits can be served.
func (c *Coordinator) scheduleQueue(b *bucket, now time.Duration) {
	w := b.queue[0]
	at := min(now+c.timeUntilUnits(b, w.item.Need), w.deadline)
	if float64(w.item.Need) > b.ceiling(c.portion(b.shard)) && len(b.grants) > 0 {
		at = min(w.deadline, b.grants[0].expires)
	}
	at = max(at, now+1)
	if b.wake == 0 || at < b.wake || b.wake <= now {
		b.wake = at
		c.wakes.add(at, b)
	}
}

// untilUnits is how long it takes until the level has the units.
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

// seconds turns seconds into a duration, rounded up and bounded.
func durationOf(s float64) time.Duration {
	const most = 24 * time.Hour
	if !(s < most.Seconds()) {
		return most
	}
	return time.Duration(math.Ceil(max(s, 0) * float64(time.Second)))
}
