package claim

import (
	"time"

	"dandelionmux/internal/rights"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

const (
	// maxCandidates is the number of instances in rank that are asked about a
	// key.
	maxCandidates = 3
	// retryInterval is the time between attempts to find an authority.
	retryInterval = 25 * time.Millisecond
	// upkeepInterval is the time between removals of expired records.
	upkeepInterval = time.Second
	// collectInterval is the time after which a Collect is repeated.
	collectInterval = 200 * time.Millisecond
)

// Claims is the state machine with which one instance claims keys: it asks for
// the claims of its own requests, decides about the shards that it is the
// authority of, and stores records for others. It is not safe for concurrent
// use.
type Claims struct {
	options
	self       instance.Info
	tracker    *rights.Tracker
	records    records
	members    membership
	lastNumber uint64

	// pending holds this instance's requests that wait for a decision.
	pending map[uint64]*pendingRequest
	// running holds the keys of the requests that were allowed to run.
	running map[uint64]Key

	// owned holds the shards that this instance is the authority of.
	owned map[share.Shard]*ownedShard
	// changedShards holds the shards to check in updateOwned.
	changedShards []share.Shard
	collections   []*collection
	// pendingCopies holds the claims that are being replicated, by Copy.Number.
	pendingCopies map[uint64]*pendingCopy
	// leaving is nil unless the instance stops gracefully.
	leaving *departure

	// nextUpkeep is zero before the first event.
	nextUpkeep  time.Duration
	started     time.Duration
	lastHandled time.Duration
	effects     []Effect
}

// New returns the Claims of one run of an instance.
func New(self instance.Info, opts ...Option) *Claims {
	o := newOptions(opts)
	return &Claims{
		options:       o,
		self:          self,
		tracker:       rights.New(o.totalShares),
		records:       newRecords(),
		members:       newMembership(),
		pending:       map[uint64]*pendingRequest{},
		running:       map[uint64]Key{},
		owned:         map[share.Shard]*ownedShard{},
		pendingCopies: map[uint64]*pendingCopy{},
	}
}

// Handle processes an event at the time now and returns the effects to carry
// out.
func (c *Claims) Handle(now time.Duration, e Event) []Effect {
	if c.nextUpkeep == 0 {
		c.lastHandled = now
		c.started = now
		c.members.lossesKnownSince = now
		c.nextUpkeep = now + upkeepInterval
	}
	c.noticePause(now)
	c.tracker.Advance(now, c.noteChangedShard)
	switch e := e.(type) {
	case Acquire:
		c.acquire(now, e)
	case Done:
		c.handleDone(e)
	case Cancel:
		c.cancel(e.Request)
	case BorrowedChanged:
		c.tracker.Update(now, e.Borrowed, c.noteChangedShard)
	case MembersChanged:
		c.members.update(now, e.Members, c.retention)
	case FirstRun:
		c.members.lossesKnownSince = now - c.retention
	case Leave:
		c.leave(now)
	case Received:
		c.received(now, e.From, e.Message)
	}
	c.updateOwned(now)
	c.tick(now)
	effects := c.effects
	c.effects = nil
	return effects
}

// Next returns the time at which Handle must get a Tick.
func (c *Claims) Next() time.Duration {
	next := c.nextUpkeep
	for _, p := range c.pending {
		next = min(next, p.nextAttempt)
	}
	for _, l := range c.collections {
		next = min(next, l.nextAsk)
	}
	return next
}

// Records returns the number of claims that this instance stores.
func (c *Claims) Records() int {
	return c.records.count
}

// Decides reports whether this instance is the authority of a shard and knows
// all its claims, so that it decides about the shard's keys now.
func (c *Claims) Decides(now time.Duration, s share.Shard) bool {
	c.tracker.Advance(now, c.noteChangedShard)
	c.updateOwned(now)
	d := c.owned[s]
	return d != nil && d.ready
}

// noticePause discards what is known of past losses if this process was paused:
// instances may have joined and been lost unnoticed.
func (c *Claims) noticePause(now time.Duration) {
	if now > c.lastHandled+c.minMemberAge {
		c.members.lossesKnownSince = now
	}
	c.lastHandled = now
}

func (c *Claims) received(now time.Duration, from instance.ID, m Message) {
	switch m := m.(type) {
	case Claim:
		c.handleClaim(now, from, m)
	case Decision:
		c.handleDecision(now, from, m)
	case Finish:
		c.handleFinish(from, m)
	case Release:
		c.handleRelease(from, m)
	case Copy:
		c.handleCopy(now, from, m)
	case Copied:
		c.handleCopied(now, from, m)
	case Collect:
		c.handleCollect(now, from, m)
	case Collected:
		c.handleCollected(now, from, m)
	case Departed:
		c.handleDeparted(now, from)
	}
}

func (c *Claims) tick(now time.Duration) {
	c.retryDue(now)
	c.continueCollections(now)
	if now >= c.nextUpkeep {
		c.nextUpkeep = now + upkeepInterval
		c.records.expire(now)
		c.members.expire(now)
	}
}

func (c *Claims) send(to instance.Address, m Message) {
	c.effects = append(c.effects, Send{
		To:      to,
		Message: m,
	})
}

func (c *Claims) nextNumber() uint64 {
	c.lastNumber++
	return c.lastNumber
}
