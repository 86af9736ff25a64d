package claim

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// ownedShard is a shard that this instance is the authority of.
type ownedShard struct {
	// since is when this instance became the authority. If it changes, another
	// instance may have been the authority in between.
	since time.Duration
	// ready says that all earlier claims are known, so that requests can be
	// decided about.
	ready bool
}

// collection is one round of asking all members for the records of shards that
// this instance has become the authority of.
type collection struct {
	number uint64
	shards []share.Shard
	// ownedSince holds ownedShard.since of each shard when the round began.
	ownedSince []time.Duration
	// answered holds the members that have sent their records.
	answered map[instance.ID]bool
	// nextAsk is when those that haven't answered are asked again.
	nextAsk time.Duration
}

// pendingCopy is a claim that is granted once enough instances have stored it.
type pendingCopy struct {
	entry *entry
	// ownedSince is ownedShard.since when the claim was made.
	ownedSince time.Duration
	// unconfirmed holds the instances that haven't confirmed their copy.
	unconfirmed map[instance.ID]bool
	// claim is the latest attempt of the claimant, which the decision answers.
	claim   Claim
	replyTo instance.Address
}

// noteChangedShard records a shard of which this instance holds other shares
// than before. The tracker calls it.
func (c *Claims) noteChangedShard(s share.Shard, _ time.Duration, _ bool) {
	c.changedShards = append(c.changedShards, s)
}

// updateOwned adds the shards that this instance has become the authority of
// and removes those that it no longer is, after its borrowed shares have
// changed.
func (c *Claims) updateOwned(now time.Duration) {
	if len(c.changedShards) == 0 {
		return
	}
	slices.Sort(c.changedShards)
	var round collection
	for _, s := range slices.Compact(c.changedShards) {
		since, ok := c.tracker.Majority(s)
		owned := c.owned[s]
		switch {
		case !ok:
			delete(c.owned, s)
		case owned == nil || owned.since != since:
			c.owned[s] = &ownedShard{
				since: since,
			}
			round.shards = append(round.shards, s)
			round.ownedSince = append(round.ownedSince, since)
		}
	}
	c.changedShards = c.changedShards[:0]
	if len(round.shards) > 0 && c.leaving == nil {
		round.nextAsk = now
		round.restart(c.nextNumber())
		c.collections = append(c.collections, &round)
		c.invalidateAttempts(now, round.shards)
	}
}

// restart discards all answers and starts a new round with the number.
func (l *collection) restart(number uint64) {
	l.number = number
	l.answered = map[instance.ID]bool{}
}

// handleDeparted records that an instance has handed over all its records. The
// receivers may have answered a collection before they got them, so all members
// are asked again.
func (c *Claims) handleDeparted(now time.Duration, from instance.ID) {
	c.members.noteDeparted(from, now+2*c.retention)
	for _, l := range c.collections {
		l.restart(c.nextNumber())
		l.nextAsk = now
	}
}

// invalidateAttempts makes this instance ignore decisions on its pending
// requests in shards that have a new authority, and ask again: a decision of
// the previous authority is no longer valid.
func (c *Claims) invalidateAttempts(now time.Duration, shards []share.Shard) {
	for _, p := range c.pending {
		if slices.Contains(shards, p.Key.Shard()) {
			p.attemptNumber = 0
			p.nextAttempt = now
		}
	}
}

// needed reports whether a collection is still needed: for a shard that this
// instance has owned without interruption and that isn't ready yet.
func (c *Claims) needed(l *collection) bool {
	for i, s := range l.shards {
		if owned := c.owned[s]; owned != nil && owned.since == l.ownedSince[i] && !owned.ready {
			return true
		}
	}
	return false
}

// continueCollections asks the members that haven't answered again, and drops
// the collections that aren't needed any more.
func (c *Claims) continueCollections(now time.Duration) {
	for _, l := range c.collections {
		if now < l.nextAsk {
			continue
		}
		l.nextAsk = now + collectInterval
		for _, m := range c.members.list {
			if m.ID != c.self.ID && !l.answered[m.ID] {
				c.send(m.Address, Collect{
					Number: l.number,
					Shards: l.shards,
				})
			}
		}
		c.markReady(now, l)
	}
	c.collections = slices.DeleteFunc(c.collections, func(l *collection) bool {
		return !c.needed(l)
	})
}

// markReady marks the shards of a collection ready once no claim can be known
// only to instances that haven't answered.
func (c *Claims) markReady(now time.Duration, l *collection) {
	if !c.complete(now, l) {
		return
	}
	for i, s := range l.shards {
		if owned := c.owned[s]; owned != nil && owned.since == l.ownedSince[i] {
			owned.ready = true
		}
	}
}

// complete reports whether the instances that have answered must together know
// every claim. Each claim was stored by c.copies instances, in at least c.zones
// zones, before its request could run.
func (c *Claims) complete(now time.Duration, l *collection) bool {
	if c.members.lossesKnownSince > now-c.retention {
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

// handleCollect sends this instance's records to a new authority, and makes
// earlier decisions on its own pending requests invalid.
func (c *Claims) handleCollect(now time.Duration, from instance.ID, m Collect) {
	if c.leaving != nil {
		return
	}
	c.invalidateAttempts(now, m.Shards)
	c.send(from.Address, Collected{
		Number:         m.Number,
		Records:        c.records.list(now, m.Shards),
		Losses:         c.members.lossList(now, c.retention),
		LossesKnownFor: max(0, now-c.members.lossesKnownSince),
	})
}

// handleCollected merges the records and losses that a member has sent.
func (c *Claims) handleCollected(now time.Duration, from instance.ID, m Collected) {
	for _, l := range c.collections {
		if l.number != m.Number {
			continue
		}
		l.answered[from] = true
		for _, r := range m.Records {
			c.records.merge(now, r)
		}
		c.members.learn(now, m.Losses, m.LossesKnownFor)
		c.markReady(now, l)
	}
}

// handleClaim decides whether a request may run.
func (c *Claims) handleClaim(now time.Duration, from instance.ID, m Claim) {
	owned := c.owned[m.Key.Shard()]
	if owned == nil || !owned.ready || c.leaving != nil {
		c.sendDecision(from.Address, m, NotAuthority, Outcome{})
		return
	}
	existing := c.records.find(m.Key, from, m.Request)
	entries := c.records.forKey(m.Key)
	switch {
	case existing != nil && existing.replicated:
		c.sendDecision(from.Address, m, Granted, Outcome{})
	case existing != nil && len(entries) == 1:
		c.replicate(now, from, m, owned, existing)
	case len(entries) > 0:
		c.sendDecision(from.Address, m, AlreadyClaimed, c.outcomeOf(entries))
	case c.records.count >= c.maxRecords:
		c.sendDecision(from.Address, m, Full, Outcome{})
	default:
		c.addClaim(now, from, m, owned)
	}
}

// addClaim records a new claim and replicates it.
func (c *Claims) addClaim(now time.Duration, from instance.ID, m Claim, owned *ownedShard) {
	e := &entry{
		key:      m.Key,
		claimant: from,
		request:  m.Request,
		expires:  now + c.retention,
	}
	c.records.add(e)
	c.replicate(now, from, m, owned, e)
}

// outcomeOf returns what is known of the request that claimed a key. A request
// that was running on an instance that is gone has an unknown outcome.
func (c *Claims) outcomeOf(entries []*entry) Outcome {
	outcome := Outcome{
		State: Unknown,
	}
	for _, e := range entries {
		switch {
		case e.outcome.State == Ended:
			return e.outcome
		case e.outcome.State == Running && c.members.contains(e.claimant):
			outcome = e.outcome
		}
	}
	return outcome
}

func (c *Claims) sendDecision(to instance.Address, m Claim, result Result, outcome Outcome) {
	c.send(to, Decision{
		Number:  m.Number,
		Request: m.Request,
		Key:     m.Key,
		Result:  result,
		Outcome: outcome,
	})
}

// replicate stores a claim on enough other instances and then grants it. If
// there are too few instances, it removes the claim and the request doesn't
// run.
func (c *Claims) replicate(now time.Duration, from instance.ID, m Claim, owned *ownedShard, e *entry) {
	replicas, ok := c.pickReplicas(now, e)
	if !ok {
		c.records.remove(e)
		c.sendDecision(from.Address, m, TooFewReplicas, Outcome{})
		return
	}
	p := &pendingCopy{
		entry:       e,
		ownedSince:  owned.since,
		unconfirmed: map[instance.ID]bool{},
		claim:       m,
		replyTo:     from.Address,
	}
	for _, k := range replicas {
		p.unconfirmed[k] = true
	}
	if len(replicas) == 0 {
		c.grant(p)
		return
	}
	number := c.nextNumber()
	c.pendingCopies[number] = p
	for _, k := range replicas {
		if !slices.Contains(e.replicas, k.Address) {
			e.replicas = append(e.replicas, k.Address)
		}
		c.send(k.Address, Copy{
			Number:  number,
			Records: []Record{e.record(now)},
		})
	}
}

// pickReplicas picks the other instances that must store a claim: the next in
// rank, so that the likely next authority has it already. It returns false if
// there are too few, or if this instance itself started too recently.
func (c *Claims) pickReplicas(now time.Duration, e *entry) ([]instance.ID, bool) {
	if now < c.started+c.minMemberAge {
		return nil, false
	}
	zones := map[string]bool{c.self.Zone: true}
	count := 1
	if m, ok := c.members.find(e.claimant); ok && m.ID != c.self.ID && c.members.olderThan(now, m.ID, c.minMemberAge) {
		zones[m.Zone] = true
		count++
	}
	var replicas []instance.ID
	for _, m := range instance.Rank(instance.Hash("shard", uint64(e.key.Shard())), c.members.list) {
		if count >= c.copies && len(zones) >= c.zones {
			break
		}
		usable := m.ID != c.self.ID && m.ID != e.claimant && !m.Leaving && c.members.olderThan(now, m.ID, c.minMemberAge)
		last := count >= c.copies-1
		if !usable || last && zones[m.Zone] && len(zones) < c.zones {
			continue
		}
		replicas = append(replicas, m.ID)
		zones[m.Zone] = true
		count++
	}
	return replicas, count >= c.copies && len(zones) >= c.zones
}

// handleCopy stores records of another instance and confirms them.
func (c *Claims) handleCopy(now time.Duration, from instance.ID, m Copy) {
	if c.leaving != nil {
		return
	}
	var alreadyHeld []Key
	for _, r := range m.Records {
		if c.records.merge(now, r) {
			alreadyHeld = append(alreadyHeld, r.Key)
		}
	}
	c.send(from.Address, Copied{
		Number:      m.Number,
		AlreadyHeld: alreadyHeld,
	})
}

// handleCopied records that an instance has stored a copy, and grants the claim
// after the last one.
func (c *Claims) handleCopied(now time.Duration, from instance.ID, m Copied) {
	if c.leaving != nil {
		c.handleHandoverCopied(now, from, m)
		return
	}
	p := c.pendingCopies[m.Number]
	if p == nil {
		return
	}
	delete(p.unconfirmed, from)
	if len(p.unconfirmed) == 0 {
		delete(c.pendingCopies, m.Number)
		c.grant(p)
	}
}

// grant lets a request run, if this instance has been the authority without
// interruption since the claim was made. A later authority learns of the claim
// from the instances that store it.
func (c *Claims) grant(p *pendingCopy) {
	owned := c.owned[p.entry.key.Shard()]
	stored := c.records.find(p.entry.key, p.entry.claimant, p.entry.request) == p.entry
	if owned == nil || owned.since != p.ownedSince || !stored {
		return
	}
	p.entry.replicated = true
	c.sendDecision(p.replyTo, p.claim, Granted, Outcome{})
}

// handleFinish records how a request ended.
func (c *Claims) handleFinish(from instance.ID, m Finish) {
	claimant := cmp.Or(m.Claimant, from)
	e := c.records.find(m.Key, claimant, m.Request)
	if e == nil {
		return
	}
	e.outcome = m.Outcome
	m.Claimant = claimant
	c.forward(e, m)
}

// handleRelease removes the claim of a request that never ran.
func (c *Claims) handleRelease(from instance.ID, m Release) {
	claimant := cmp.Or(m.Claimant, from)
	e := c.records.find(m.Key, claimant, m.Request)
	if e == nil {
		return
	}
	c.records.remove(e)
	m.Claimant = claimant
	c.forward(e, m)
}

// forward sends a message about a claim to its replicas.
func (c *Claims) forward(e *entry, m Message) {
	for _, a := range e.replicas {
		c.send(a, m)
	}
	e.replicas = nil
}
