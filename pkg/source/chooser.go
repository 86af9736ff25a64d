package source

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionmux/pkg/instance"
)

const (
	// absentTerm is how long an instance that could not be reached, or that the store
	// rejects, isn't followed: that usually lasts for seconds.
	absentTerm = 4 * time.Second
	// busyTerm is how long an instance that sends its content to others already isn't asked
	// for it again, nor one that has nothing yet while the zone starts.
	busyTerm = 150 * time.Millisecond
	// askPause is the pause between two requests of an instance for all content. Each costs
	// the others, which start as well, processor time.
	askPause = 100 * time.Millisecond
	// outdatedTerm is how long an instance without recently confirmed content isn't
	// followed. It may be about to read the store.
	outdatedTerm = 600 * time.Millisecond
	// maxFailures is the number of instances that are of no use, one after the other, after
	// which an instance reads the store once, and maxUnanswered the number of those from
	// which nothing came: then the instance's own links are lost, and nobody else will help.
	maxFailures   = 3
	maxUnanswered = 2
	// substitutes is the number of instances, the first in order, that try to read the
	// store often while nobody seems to.
	substitutes = 3
	// positionDelay is how much longer each later instance in order waits before that.
	// Those that aren't substitutes wait for substituteTime first. maxDelay is the longest
	// wait.
	positionDelay  = 50 * time.Millisecond
	substituteTime = 3 * time.Second
	maxDelay       = 4500 * time.Millisecond
	// catchUpPeriod is the time between two such reads of a substitute, and
	// maxCatchUpPeriod of the others.
	catchUpPeriod    = 400 * time.Millisecond
	maxCatchUpPeriod = 3 * time.Second
	// followPause is the pause before an instance that has nobody left to follow looks
	// again.
	followPause = 100 * time.Millisecond
)

// Member is a member of the instance's zone.
type Member struct {
	instance.Info
	// Capacity is how much an instance can do, in parts of a processor core. It may be
	// zero if it isn't known.
	Capacity float64
}

// Order returns members in the order in which they read the store for their zone.
func Order(zone string, members []Member) []Member {
	key := instance.Hash("reader", xxhash.Sum64String(zone))
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b Member) int {
		if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
			return c
		}
		return cmp.Compare(instance.Score(key, b.Address), instance.Score(key, a.Address))
	})
	return ordered
}

// Action is what an instance does next: Read, Follow, CatchUp or Wait.
type Action interface{ action() }

// Read lets the instance read the store for its zone, until another action follows.
type Read struct{}

// Follow lets the instance copy what another one has.
type Follow struct {
	Instance instance.Address
}

// CatchUp lets the instance read the store once.
type CatchUp struct{}

// Wait lets the instance ask again after a time.
type Wait struct {
	For time.Duration
}

func (Read) action()    {}
func (Follow) action()  {}
func (CatchUp) action() {}
func (Wait) action()    {}

// Failure tells why an instance could not be copied.
type Failure int

const (
	// Unanswered is an instance from which nothing came in time. Its own link or that to it
	// may be lost.
	Unanswered Failure = iota
	// Gone is an instance whose host answered that there is no such process.
	Gone
	// Outdated is an instance whose content hasn't been confirmed lately.
	Outdated
	// Busy is an instance that sends all its content to as many others as it may.
	Busy
)

// Chooser chooses the source of one instance. It is not safe for concurrent use.
type Chooser struct {
	self  instance.Info
	order []instance.Address
	// skipUntil holds the instances that were of no use, with the time until which they
	// aren't followed. The instance itself is one of them while it can't read the store.
	skipUntil map[instance.Address]time.Duration
	// failures counts the instances that were of no use since the last copy, unanswered
	// those from which nothing came, and lostAt is when the first of these was found.
	failures   int
	unanswered int
	lostAt     time.Duration
	// nextCatchUp is when the store is read once; zero if that isn't decided.
	nextCatchUp time.Duration
	// spreading is set while the instance has no content and those that have some are busy,
	// because the whole zone starts. The next one isn't asked before nextAsk.
	spreading bool
	nextAsk   time.Duration
}

// New returns the chooser of an instance that knows no members.
func New(self instance.Info) *Chooser {
	return &Chooser{
		self:      self,
		skipUntil: map[instance.Address]time.Duration{},
	}
}

// SetMembers sets the members of the zone. The instance itself is one of them only once it
// is registered: before that the others don't know it.
func (c *Chooser) SetMembers(members []Member) {
	c.order = c.order[:0]
	for _, m := range Order(c.self.Zone, members) {
		c.order = append(c.order, m.Address)
	}
}

// Forgive lets an instance be followed again, because it has registered anew.
func (c *Chooser) Forgive(a instance.Address) { delete(c.skipUntil, a) }

// First returns the first instance in order that isn't skipped; empty if there is none.
func (c *Chooser) First(now time.Duration) instance.Address {
	for _, a := range c.order {
		if now >= c.skipUntil[a] {
			return a
		}
	}
	return ""
}

// Next returns what to do.
func (c *Chooser) Next(now time.Duration) Action {
	first := c.First(now)
	if first == c.self.Address {
		return Read{}
	}
	if c.alone() {
		if c.nextCatchUp == 0 {
			c.nextCatchUp = c.lostAt + c.delay()
		}
		if now >= c.nextCatchUp {
			return CatchUp{}
		}
	}
	if c.spreading {
		if now < c.nextAsk {
			return Wait{
				For: c.nextAsk - now,
			}
		}
		first = c.anyMember(now)
	}
	if first != "" {
		return Follow{
			Instance: first,
		}
	}
	return Wait{
		For: followPause,
	}
}

// anyMember returns an instance of the zone that isn't skipped. Each instance has an order of its own,
// so that those that start ask different ones.
func (c *Chooser) anyMember(now time.Duration) instance.Address {
	key := instance.Hash("copy", xxhash.Sum64String(string(c.self.Address)))
	var best instance.Address
	for _, a := range c.order {
		if a == c.self.Address || now < c.skipUntil[a] {
			continue
		}
		if best == "" || instance.Score(key, a) > instance.Score(key, best) {
			best = a
		}
	}
	return best
}

// alone reports whether so many instances were of no use that the store is to be read.
func (c *Chooser) alone() bool {
	return c.failures >= min(maxFailures, len(c.order)-1) || c.unanswered >= maxUnanswered
}

// delay returns how long the instance looks for somebody to follow before it reads the
// store.
func (c *Chooser) delay() time.Duration {
	if c.unanswered >= maxUnanswered {
		return 0
	}
	d := time.Duration(c.position()) * positionDelay
	if !c.IsSubstitute() {
		d += substituteTime
	}
	return min(d, maxDelay)
}

// IsSubstitute reports whether the instance is one of the first in order, which are to find
// out soon when the store answers again.
func (c *Chooser) IsSubstitute() bool { return c.position() < substitutes }

// position returns the number of instances before this one in order.
func (c *Chooser) position() int {
	if i := slices.Index(c.order, c.self.Address); i >= 0 {
		return i
	}
	return len(c.order)
}

// Copied records that the instance has copied confirmed content.
func (c *Chooser) Copied() {
	c.failures, c.unanswered, c.nextCatchUp = 0, 0, 0
	c.spreading = false
}

// Failed records that an instance was of no use.
func (c *Chooser) Failed(now time.Duration, a instance.Address, f Failure) {
	if f == Busy || f == Outdated && c.spreading {
		c.spreading = true
		c.skipUntil[a] = now + busyTerm
		c.nextAsk = now + askPause
		return
	}
	if c.failures == 0 {
		c.lostAt = now
	}
	c.failures++
	c.skipUntil[a] = now + absentTerm
	switch f {
	case Unanswered:
		c.unanswered++
	case Outdated:
		c.skipUntil[a] = now + outdatedTerm
	}
}

// CaughtUp records that the instance has read the store once. If that went well, those
// before it in order are of less use than itself, so that it reads the store from now on.
func (c *Chooser) CaughtUp(now time.Duration, ok bool) {
	if !ok {
		c.nextCatchUp = now + maxCatchUpPeriod
		if c.IsSubstitute() {
			c.nextCatchUp = now + catchUpPeriod
		}
		return
	}
	c.Copied()
	for _, a := range c.order[:c.position()] {
		c.skipUntil[a] = now + absentTerm
	}
	delete(c.skipUntil, c.self.Address)
}

// ReadFailed records that the instance can't read the store for its zone.
func (c *Chooser) ReadFailed(now time.Duration) {
	c.skipUntil[c.self.Address] = now + absentTerm
}

// Expire drops what is over.
func (c *Chooser) Expire(now time.Duration) {
	maps.DeleteFunc(c.skipUntil, func(_ instance.Address, until time.Duration) bool { return now >= until })
}
