package claim

import (
	"time"

	"dandelionmux/internal/rights"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

const (
	// candidates is how many instances in rank are tried for a key.
	candidates = 3
	// retryInterval is the time between attempts to find an authority.
	retryInterval = 25 * time.Millisecond
	// upkeepInterval is how often expired records are dropped, and collections
	// looked at again.
	upkeepInterval = time.Second
	// collectInterval is how often a Collect is repeated.
	collectInterval = 200 * time.Millisecond
)

// Claims is one instance's part in the claiming of keys: it asks for its own
// requests, decides for the shards that it is the authority of, and keeps
// records for others. It is used by one goroutine.
type Claims struct {
	options
	self    instance.Info
	tracker *rights.Tracker
	records records
	members membership
	number  uint64

	// wants are this instance's requests that wait for a verdict.
	wants map[uint64]*want
	// running are those that were let run.
	running map[uint64]Key

	domains     map[share.Shard]*domain
	changed     []share.Shard
	collections []*collection
	copying     map[uint64]*copying
	leaving     *departure

	upkeep  time.Duration
	started time.Duration
	handled time.Duration
	effects []Effect
}

// New makes the claims of one run of an instance.
func New(self instance.Info, opts ...Option) *Claims {
	o := newOptions(opts)
	return &Claims{
		options: o,
		self:    self,
		tracker: rights.New(o.total),
		records: newRecords(),
		members: newMembership(),
		wants:   map[uint64]*want{},
		running: map[uint64]Key{},
		domains: map[share.Shard]*domain{},
		copying: map[uint64]*copying{},
	}
}

// Handle takes an event in and returns what is to be done.
func (c *Claims) Handle(now time.Duration, e Event) []Effect {
	if c.upkeep == 0 {
		c.handled = now
		c.started = now
		c.members.knownSince = now
		c.upkeep = now + upkeepInterval
	}
	c.noticePause(now)
	c.tracker.Advance(now, c.partsChange)
	switch e := e.(type) {
	case Acquire:
		c.want(now, e)
	case Done:
		c.done(e)
	case Cancel:
		c.cancel(e.Request)
	case BorrowedChanged:
		c.tracker.Update(now, e.Borrowed, c.partsChange)
	case MembersChanged:
		c.members.change(now, e.Members, c.retention)
	case FirstRun:
		c.members.knownSince = now - c.retention
	case Leave:
		c.leave(now)
	case Received:
		c.received(now, e.From, e.Message)
	}
	c.followRights(now)
	c.tick(now)
	effects := c.effects
	c.effects = nil
	return effects
}

// Next is when Handle wants a Tick.
func (c *Claims) Next() time.Duration {
	next := c.upkeep
	for _, w := range c.wants {
		next = min(next, w.due)
	}
	for _, l := range c.collections {
		next = min(next, l.again)
	}
	return next
}

// Records is the number of claims kept.
func (c *Claims) Records() int {
	return c.records.count
}

// Decides tells whether this instance decides about a shard's keys now.
func (c *Claims) Decides(now time.Duration, s share.Shard) bool {
	c.tracker.Advance(now, c.partsChange)
	c.followRights(now)
	d := c.domains[s]
	return d != nil && d.vouched
}

// noticePause gives up what was known of losses if this process slept: others
// may have come and gone unseen.
func (c *Claims) noticePause(now time.Duration) {
	if now > c.handled+c.settled {
		c.members.knownSince = now
	}
	c.handled = now
}

func (c *Claims) received(now time.Duration, from instance.ID, m Message) {
	switch m := m.(type) {
	case Claim:
		c.claimed(now, from, m)
	case Decision:
		c.judged(now, from, m)
	case Finish:
		c.finished(from, m)
	case Release:
		c.released(from, m)
	case Copy:
		c.copy(now, from, m)
	case Copied:
		c.copied(now, from, m)
	case Collect:
		c.collect(now, from, m)
	case Collected:
		c.collected(now, from, m)
	case Departed:
		c.departed(now, from)
	}
}

func (c *Claims) tick(now time.Duration) {
	c.tickWants(now)
	c.tickCollections(now)
	if now >= c.upkeep {
		c.upkeep = now + upkeepInterval
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

func (c *Claims) next() uint64 {
	c.number++
	return c.number
}
