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
	// which nothing came: then they stand still, or the instance's own links are lost.
	maxFailures   = 3
	maxUnanswered = 2
	// silentAge is the age of the last confirmation at which an instance is given up from which
	// nothing has come. A confirmation is about as old as this at most while the store is slow.
	silentAge = 1200 * time.Millisecond
	// holdWait is the least time that an instance which answered before has to answer again: it
	// may hold the request. minWait is that of the next one, which may be about to read the
	// store, and quickWait that of each after two from which nothing came.
	holdWait  = maxHold + 200*time.Millisecond
	minWait   = TakeoverTime + 50*time.Millisecond
	quickWait = 50 * time.Millisecond
	// readAge is the age of the last confirmation at which an instance reads the store once,
	// whatever the reason, so that failures of others don't add up.
	readAge = 1500 * time.Millisecond
	// staggerStep is how much longer each later instance in order waits before that, up to
	// maxStagger, so that most of them get what an earlier one has read.
	staggerStep = 25 * time.Millisecond
	maxStagger  = 250 * time.Millisecond
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
	// Until is when to give it up if nothing has come from it; zero if the instance has no
	// confirmed content, so that nothing depends on it yet.
	Until time.Duration
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
	// those from which nothing came. lostAt is when the first of these was found, and
	// failedAt when the last was.
	failures   int
	unanswered int
	lostAt     time.Duration
	failedAt   time.Duration
	// nextCatchUp is when the store is read once for lack of others; zero if that isn't
	// decided. It isn't read before retryAt.
	nextCatchUp time.Duration
	retryAt     time.Duration
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

// Confirmation is when an instance's content was last confirmed, by itself or by an instance that
// it copied.
type Confirmation struct {
	At time.Duration
	// Known is set if there was one.
	Known bool
}

// Next returns what to do, given the instance's last confirmation. A change that was made since
// then is missing, so what is done next depends on its age, and not on how many others have
// failed.
func (c *Chooser) Next(now time.Duration, last Confirmation) Action {
	first := c.First(now)
	if first == c.self.Address {
		return Read{}
	}
	catchUpAt, due := c.catchUpAt(last)
	if due && now >= catchUpAt {
		return CatchUp{}
	}
	if c.spreading {
		if now < c.nextAsk {
			return Wait{
				For: c.nextAsk - now,
			}
		}
		first = c.anyMember(now)
	}
	if first == "" {
		return Wait{
			For: followPause,
		}
	}
	follow := Follow{
		Instance: first,
	}
	if last.Known {
		follow.Until = max(last.At+silentAge, now+c.patience())
		if due {
			follow.Until = min(follow.Until, catchUpAt)
		}
	}
	return follow
}

// patience returns the least time that the next instance has to answer.
func (c *Chooser) patience() time.Duration {
	switch {
	case c.failures == 0:
		return holdWait
	case c.unanswered < maxUnanswered:
		return minWait
	}
	return quickWait
}

// catchUpAt returns when the store is to be read once, and false if that isn't due: the others
// are of no use and the last confirmation isn't known.
func (c *Chooser) catchUpAt(last Confirmation) (time.Duration, bool) {
	at, due := last.At+readAge+c.stagger(), last.Known
	if c.alone() {
		if c.nextCatchUp == 0 {
			c.nextCatchUp = c.lonelyAt()
		}
		if !due || c.nextCatchUp < at {
			at, due = c.nextCatchUp, true
		}
	}
	return max(at, c.retryAt), due
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

// lonelyAt returns when an instance that is alone reads the store: those that come later in order
// look longer for somebody to follow.
func (c *Chooser) lonelyAt() time.Duration {
	if c.unanswered >= maxUnanswered {
		return c.failedAt + c.stagger()
	}
	d := time.Duration(c.position()) * positionDelay
	if !c.IsSubstitute() {
		d += substituteTime
	}
	return c.lostAt + min(d, maxDelay)
}

// stagger returns how much longer than the first in order the instance waits before it reads the
// store.
func (c *Chooser) stagger() time.Duration {
	return min(time.Duration(c.position())*staggerStep, maxStagger)
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
	c.failures, c.unanswered, c.nextCatchUp, c.retryAt = 0, 0, 0, 0
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
	c.failedAt = now
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
		c.ReadFailed(now)
		return
	}
	c.Copied()
	for _, a := range c.order[:c.position()] {
		c.skipUntil[a] = now + absentTerm
	}
	delete(c.skipUntil, c.self.Address)
}

// ReadFailed records that the instance can't read the store.
func (c *Chooser) ReadFailed(now time.Duration) {
	c.skipUntil[c.self.Address] = now + absentTerm
	c.retryAt = now + maxCatchUpPeriod
	if c.IsSubstitute() {
		c.retryAt = now + catchUpPeriod
	}
}

// Expire drops what is over.
func (c *Chooser) Expire(now time.Duration) {
	maps.DeleteFunc(c.skipUntil, func(_ instance.Address, until time.Duration) bool { return now >= until })
}
