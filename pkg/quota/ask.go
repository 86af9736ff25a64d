package quota

import (
	"math"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

const (
	// advanceDivisor is the part of a level that one item may get in advance.
	advanceDivisor = 8
	// outDivisor is the part of a burst that may be out when units are given
	// in advance.
	outDivisor = 4
	// leastAdvance is the smallest burst from which units are given in advance.
	leastAdvance = 32
	// promptFactor is how often the units that expire unreported must fit into
	// the burst for reports to be left out.
	promptFactor = 8
)

// route is the way of an answer.
type route struct {
	to instance.Address
	// holder is set if the way leads through a relay.
	holder instance.ID
}

// asked answers what it can and passes the rest on if the message allows.
func (c *Coordinator) asked(now time.Duration, from instance.ID, m Ask) {
	holder := from
	answer := route{
		to: from.Address,
	}
	if m.Origin != (instance.ID{}) {
		holder = m.Origin
		answer.holder = m.Origin
	}
	relays := m.Coordinator != "" && m.Coordinator != c.self.Address && m.Origin == (instance.ID{})
	for _, r := range m.Reports {
		known := c.reported(now, grantKey{
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
		c.item(now, holder, answer, item)
	}
}

func (c *Coordinator) relayAnswer(m Answer) {
	if m.Origin == (instance.ID{}) || m.Origin == c.self {
		return
	}
	c.outbox.send(m.Origin.Address, m)
}

// reported takes a report in; false if the grant is unknown here.
func (c *Coordinator) reported(now time.Duration, key grantKey, r Report) bool {
	g := c.grants[key]
	if g == nil {
		return r.Closed && c.unqueue(now, key)
	}
	b := g.bucket
	c.settle(b, now)
	if b.report(g, r) {
		delete(c.grants, key)
	}
	c.settle(b, now)
	c.serve(b, now)
	return true
}

// item grants an item, lets it wait or refuses it.
func (c *Coordinator) item(now time.Duration, holder instance.ID, answer route, item Item) {
	if c.limits == nil {
		c.refuse(answer, item, NoRights, 0)
		return
	}
	limit, ok := c.limits.Limit(item.Organisation)
	p := c.portion(ShardOf(item.Organisation))
	switch {
	case !ok || !limit.usable():
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
	if len(b.waiting) == 0 {
		before := b.out
		if c.grant(b, now, now, holder, answer, item) {
			b.ideal -= float64(b.out - before)
			return
		}
	}
	c.queue(b, now, holder, answer, item)
}

// grant gives an item its units, and some in advance, if they are there. The
// term counts from when the item was received: it had been sent before, from
// when its holder counts.
func (c *Coordinator) grant(b *bucket, now, received time.Duration, holder instance.ID, answer route, item Item) bool {
	units := item.Need
	if b.level+tolerance < float64(units) {
		return false
	}
	p := c.portion(b.shard)
	burst := p.burst(b.limit.Burst)
	advance := b.advance(item, burst)
	units += advance
	if units == 0 {
		c.refuse(answer, item, Exhausted, 0)
		return true
	}
	most := c.shortTerm
	if advance > 0 {
		most = c.term
	}
	waited := now - received
	term := c.lasting(b, now, units, most)
	if term < leastTerm {
		c.refuse(answer, item, NoRights, 0)
		return true
	}
	g := &outstanding{
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
		PromptReport: advance == 0 && promptFactor*rate*most.Seconds() > float64(burst),
	})
	return true
}

// advance is how many units an item gets beyond its need.
func (b *bucket) advance(item Item, burst int) int {
	if item.Prefetch <= 0 || burst < leastAdvance {
		return 0
	}
	spare := int(b.level-float64(item.Need)) / advanceDivisor
	room := burst/outDivisor - b.out
	return max(0, min(item.Prefetch, spare, room))
}

// lasting is the term of a grant of some units: for as long as the parts that
// last carry all that is out with it. So whenever a part ends, what is out fits
// into the rest.
func (c *Coordinator) lasting(b *bucket, now time.Duration, units int, most time.Duration) time.Duration {
	fits := func(at time.Duration) bool {
		count, deciding := c.tracker.HeldUntil(b.shard, at)
		p := portion{
			shares:   count,
			total:    c.total,
			deciding: deciding,
		}
		return p.burst(b.limit.Burst) >= b.out+units
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
func (c *Coordinator) queue(b *bucket, now time.Duration, holder instance.ID, answer route, item Item) {
	patience := c.patience
	rate := c.slow(c.portion(b.shard).rate(b.limit.PerSecond))
	due := b.ideal+tolerance >= float64(item.Need)
	if c.recovering(b, now) {
		due = true
		patience = c.takeoverWait
		rate = c.slow(b.limit.PerSecond)
	}
	lack := float64(item.Need) - b.level
	for _, w := range b.waiting {
		lack += float64(w.item.Need)
	}
	wait := seconds(lack / rate)
	patience = min(patience, item.Wait)
	if !due || item.Need == 0 || wait > patience || c.waiting >= c.queueLength {
		c.refuse(answer, item, Exhausted, wait)
		return
	}
	b.waiting = append(b.waiting, waiter{
		item:     item,
		holder:   holder,
		answer:   answer,
		received: now,
		deadline: now + patience,
	})
	c.waiting++
	b.ideal -= float64(item.Need)
	c.queued[grantKey{
		holder: holder,
		number: item.Number,
	}] = b
	if patience > c.patience {
		a := c.outbox.answer(answer)
		a.Queued = append(a.Queued, item.Number)
	}
	c.schedule(b, now)
}

// unqueue drops an item that its holder has given up.
func (c *Coordinator) unqueue(now time.Duration, key grantKey) bool {
	b := c.queued[key]
	if b == nil {
		return false
	}
	delete(c.queued, key)
	before := len(b.waiting)
	b.waiting = slices.DeleteFunc(b.waiting, func(w waiter) bool {
		return w.holder == key.holder && w.item.Number == key.number
	})
	c.waiting -= before - len(b.waiting)
	// The ideal level is a guide only, so it may err until it is full again.
	c.settle(b, now)
	c.serve(b, now)
	return true
}

// recovering tells whether rights came so lately that the bucket may be low for
// that reason alone.
func (c *Coordinator) recovering(b *bucket, now time.Duration) bool {
	parts := c.tracker.Holding(b.shard)
	return parts != nil && b.fullAt < parts.LastAdded && now < parts.LastAdded+c.recovery
}

// serve gives units to those that wait, in order, on a settled bucket.
func (c *Coordinator) serve(b *bucket, now time.Duration) {
	n := 0
	for _, w := range b.waiting {
		switch {
		case c.portion(b.shard).burst(b.limit.Burst) < w.item.Need:
			b.ideal += float64(w.item.Need)
			c.refuse(w.answer, w.item, NoRights, 0)
		case c.grant(b, now, w.received, w.holder, w.answer, w.item):
		case now >= w.deadline:
			b.ideal = min(b.ideal+float64(w.item.Need), b.level)
			c.refuse(w.answer, w.item, Exhausted, c.untilUnits(b, w.item.Need))
		default:
			b.waiting = slices.Delete(b.waiting, 0, n)
			c.schedule(b, now)
			return
		}
		n++
		c.waiting--
		delete(c.queued, grantKey{
			holder: w.holder,
			number: w.item.Number,
		})
	}
	b.waiting = nil
}

// schedule sets the time at which the first that waits can be served.
func (c *Coordinator) schedule(b *bucket, now time.Duration) {
	w := b.waiting[0]
	at := min(now+c.untilUnits(b, w.item.Need), w.deadline)
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
func (c *Coordinator) untilUnits(b *bucket, units int) time.Duration {
	rate := c.slow(c.portion(b.shard).rate(b.limit.PerSecond))
	return seconds((float64(units) - b.level) / rate)
}

func (c *Coordinator) refuse(answer route, item Item, reason Reason, after time.Duration) {
	a := c.outbox.answer(answer)
	a.Refusals = append(a.Refusals, Refusal{
		Number:     item.Number,
		Reason:     reason,
		RetryAfter: after,
	})
}

// seconds turns seconds into a duration, rounded up and bounded.
func seconds(s float64) time.Duration {
	const most = 24 * time.Hour
	if !(s < most.Seconds()) {
		return most
	}
	return time.Duration(math.Ceil(max(s, 0) * float64(time.Second)))
}
