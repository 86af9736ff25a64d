package claim

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// domain is a shard that this instance is the authority of.
type domain struct {
	// since is when it became that. Another time means that somebody else may
	// have been the authority in between.
	since   time.Duration
	vouched bool
}

// collection is one round of asking all members for the records of shards.
type collection struct {
	number   uint64
	shards   []share.Shard
	since    []time.Duration
	answered map[instance.ID]bool
	again    time.Duration
}

// copying is a claim that waits until enough instances keep it.
type copying struct {
	entry *entry
	since time.Duration
	open  map[instance.ID]bool
	// claim is the newest attempt to answer.
	claim Claim
	to    instance.Address
}

// partsChange notes shards whose parts change.
func (c *Claims) partsChange(s share.Shard, _ time.Duration, _ bool) {
	c.changed = append(c.changed, s)
}

// followRights begins and ends domains after rights have changed.
func (c *Claims) followRights(now time.Duration) {
	if len(c.changed) == 0 {
		return
	}
	slices.Sort(c.changed)
	var begun collection
	for _, s := range slices.Compact(c.changed) {
		since, ok := c.tracker.Majority(s)
		d := c.domains[s]
		switch {
		case !ok:
			delete(c.domains, s)
		case d == nil || d.since != since:
			c.domains[s] = &domain{
				since: since,
			}
			begun.shards = append(begun.shards, s)
			begun.since = append(begun.since, since)
		}
	}
	c.changed = c.changed[:0]
	if len(begun.shards) > 0 && c.leaving == nil {
		begun.again = now
		begun.restart(c.next())
		c.collections = append(c.collections, &begun)
		c.void(now, begun.shards)
	}
}

// restart forgets all answers.
func (l *collection) restart(number uint64) {
	l.number = number
	l.answered = map[instance.ID]bool{}
}

// departed notes that an instance has handed over all that it kept. Those who
// took it may have answered before, so everybody is asked again.
func (c *Claims) departed(now time.Duration, from instance.ID) {
	c.members.departed(from, now+2*c.retention)
	for _, l := range c.collections {
		l.restart(c.next())
		l.again = now
	}
}

// void gives up this instance's open claims in shards that have a new
// authority: a verdict of the one before counts no more.
func (c *Claims) void(now time.Duration, shards []share.Shard) {
	for _, w := range c.wants {
		if slices.Contains(shards, w.Key.Shard()) {
			w.number = 0
			w.due = now
		}
	}
}

// current drops the shards of a collection whose authority has ended since.
func (c *Claims) current(l *collection) bool {
	for i, s := range l.shards {
		if d := c.domains[s]; d != nil && d.since == l.since[i] && !d.vouched {
			return true
		}
	}
	return false
}

func (c *Claims) tickCollections(now time.Duration) {
	for _, l := range c.collections {
		if now < l.again {
			continue
		}
		l.again = now + collectInterval
		for _, m := range c.members.list {
			if m.ID != c.self.ID && !l.answered[m.ID] {
				c.send(m.Address, Collect{
					Number: l.number,
					Shards: l.shards,
				})
			}
		}
		c.vouch(now, l)
	}
	c.collections = slices.DeleteFunc(c.collections, func(l *collection) bool {
		return !c.current(l)
	})
}

// vouch lets the shards of a collection be decided about, once no claim can be
// known only to those who haven't answered.
func (c *Claims) vouch(now time.Duration, l *collection) {
	if !c.complete(now, l) {
		return
	}
	for i, s := range l.shards {
		if d := c.domains[s]; d != nil && d.since == l.since[i] {
			d.vouched = true
		}
	}
}

// complete tells whether those who have answered must know every claim. Each
// claim was kept by several instances, in several zones if so set, before its
// request could run.
func (c *Claims) complete(now time.Duration, l *collection) bool {
	if c.members.knownSince > now-c.retention {
		return false
	}
	zones := map[string]bool{}
	missing := 0
	for _, m := range c.members.list {
		if m.ID != c.self.ID && !l.answered[m.ID] {
			missing++
			zones[m.Zone] = true
		}
	}
	for _, loss := range c.members.losses {
		missing++
		zones[loss.zone] = true
	}
	return missing < c.copies || len(zones) < c.zones
}

// collect answers an authority. No verdict on this instance's open claims that
// was given before counts any more.
func (c *Claims) collect(now time.Duration, from instance.ID, m Collect) {
	if c.leaving != nil {
		return
	}
	c.void(now, m.Shards)
	c.send(from.Address, Collected{
		Number:         m.Number,
		Records:        c.records.list(now, m.Shards),
		Losses:         c.members.lossList(now, c.retention),
		LossesKnownFor: max(0, now-c.members.knownSince),
	})
}

func (c *Claims) collected(now time.Duration, from instance.ID, m Collected) {
	for _, l := range c.collections {
		if l.number != m.Number {
			continue
		}
		l.answered[from] = true
		for _, r := range m.Records {
			c.records.keep(now, r)
		}
		c.members.learn(now, m.Losses, m.LossesKnownFor)
		c.vouch(now, l)
	}
}

// claimed decides about a request.
func (c *Claims) claimed(now time.Duration, from instance.ID, m Claim) {
	d := c.domains[m.Key.Shard()]
	if d == nil || !d.vouched || c.leaving != nil {
		c.judge(from.Address, m, NotAuthority, Outcome{})
		return
	}
	own := c.records.find(m.Key, from, m.Request)
	entries := c.records.of(m.Key)
	switch {
	case own != nil && own.safe:
		c.judge(from.Address, m, Granted, Outcome{})
	case own != nil && len(entries) == 1:
		c.keepSafe(now, from, m, d, own)
	case len(entries) > 0:
		c.judge(from.Address, m, AlreadyClaimed, c.known(entries))
	case c.records.count >= c.limit:
		c.judge(from.Address, m, Full, Outcome{})
	default:
		c.claim(now, from, m, d)
	}
}

// claim makes a new claim.
func (c *Claims) claim(now time.Duration, from instance.ID, m Claim, d *domain) {
	e := &entry{
		key:      m.Key,
		claimant: from,
		request:  m.Request,
		until:    now + c.retention,
	}
	c.records.add(e)
	c.keepSafe(now, from, m, d, e)
}

// known is what can be said of a key's request. One whose instance is gone can
// tell no more how it ended.
func (c *Claims) known(entries []*entry) Outcome {
	outcome := Outcome{
		State: Unknown,
	}
	for _, e := range entries {
		switch {
		case e.outcome.State == Ended:
			return e.outcome
		case e.outcome.State == Running && c.members.has(e.claimant):
			outcome = e.outcome
		}
	}
	return outcome
}

func (c *Claims) judge(to instance.Address, m Claim, result Result, outcome Outcome) {
	c.send(to, Decision{
		Number:  m.Number,
		Request: m.Request,
		Key:     m.Key,
		Result:  result,
		Outcome: outcome,
	})
}

// keepSafe has a claim kept by enough instances, and then grants it.
func (c *Claims) keepSafe(now time.Duration, from instance.ID, m Claim, d *domain, e *entry) {
	keepers, ok := c.keepers(now, e)
	if !ok {
		c.records.remove(e)
		c.judge(from.Address, m, TooFewReplicas, Outcome{})
		return
	}
	p := &copying{
		entry: e,
		since: d.since,
		open:  map[instance.ID]bool{},
		claim: m,
		to:    from.Address,
	}
	for _, k := range keepers {
		p.open[k] = true
	}
	if len(keepers) == 0 {
		c.grant(p)
		return
	}
	number := c.next()
	c.copying[number] = p
	for _, k := range keepers {
		if !slices.Contains(e.copies, k.Address) {
			e.copies = append(e.copies, k.Address)
		}
		c.send(k.Address, Copy{
			Number:  number,
			Records: []Record{e.record(now)},
		})
	}
}

// keepers picks who else must keep a claim: the next in rank, so that the
// likely next authority has it already. False if there are too few.
func (c *Claims) keepers(now time.Duration, e *entry) ([]instance.ID, bool) {
	if now < c.started+c.settled {
		return nil, false
	}
	zones := map[string]bool{c.self.Zone: true}
	count := 1
	if m, ok := c.members.find(e.claimant); ok && m.ID != c.self.ID && c.members.settled(now, m.ID, c.settled) {
		zones[m.Zone] = true
		count++
	}
	var keepers []instance.ID
	for _, m := range instance.Rank(instance.Hash("shard", uint64(e.key.Shard())), c.members.list) {
		if count >= c.copies && len(zones) >= c.zones {
			break
		}
		usable := m.ID != c.self.ID && m.ID != e.claimant && !m.Leaving && c.members.settled(now, m.ID, c.settled)
		last := count >= c.copies-1
		if !usable || last && zones[m.Zone] && len(zones) < c.zones {
			continue
		}
		keepers = append(keepers, m.ID)
		zones[m.Zone] = true
		count++
	}
	return keepers, count >= c.copies && len(zones) >= c.zones
}

// copy keeps records for others.
func (c *Claims) copy(now time.Duration, from instance.ID, m Copy) {
	if c.leaving != nil {
		return
	}
	var held []Key
	for _, r := range m.Records {
		if c.records.keep(now, r) {
			held = append(held, r.Key)
		}
	}
	c.send(from.Address, Copied{
		Number:      m.Number,
		AlreadyHeld: held,
	})
}

func (c *Claims) copied(now time.Duration, from instance.ID, m Copied) {
	if c.leaving != nil {
		c.handedOver(now, from, m)
		return
	}
	p := c.copying[m.Number]
	if p == nil {
		return
	}
	delete(p.open, from)
	if len(p.open) == 0 {
		delete(c.copying, m.Number)
		c.grant(p)
	}
}

// grant lets a request run, if this is still the authority that began it: then
// whoever comes next asks those who keep the claim.
func (c *Claims) grant(p *copying) {
	d := c.domains[p.entry.key.Shard()]
	there := c.records.find(p.entry.key, p.entry.claimant, p.entry.request) == p.entry
	if d == nil || d.since != p.since || !there {
		return
	}
	p.entry.safe = true
	c.judge(p.to, p.claim, Granted, Outcome{})
}

// finished notes how a request ended.
func (c *Claims) finished(from instance.ID, m Finish) {
	claimant := cmp.Or(m.Claimant, from)
	e := c.records.find(m.Key, claimant, m.Request)
	if e == nil {
		return
	}
	e.outcome = m.Outcome
	m.Claimant = claimant
	c.passOn(e, m)
}

// released frees a key whose request never ran.
func (c *Claims) released(from instance.ID, m Release) {
	claimant := cmp.Or(m.Claimant, from)
	e := c.records.find(m.Key, claimant, m.Request)
	if e == nil {
		return
	}
	c.records.remove(e)
	m.Claimant = claimant
	c.passOn(e, m)
}

func (c *Claims) passOn(e *entry, m Message) {
	for _, a := range e.copies {
		c.send(a, m)
	}
	e.copies = nil
}
