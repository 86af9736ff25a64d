package quota

import (
	"slices"
	"sync"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

const (
	// stripeCount is the number of locks that the organisations share.
	stripeCount = 64
	// usageWindow is the time over which recent use is counted.
	usageWindow = 500 * time.Millisecond
)

// Allowance holds the grants of one instance for its traffic. Its methods may
// be called from many goroutines at once: an organisation's requests share a
// lock, but those of different organisations don't. Use NewAllowance.
type Allowance struct {
	stripes [stripeCount]stripe
}

type stripe struct {
	mutex    sync.RWMutex
	accounts map[string]*account
}

// account is one organisation's part of an Allowance.
type account struct {
	organisation string
	shard        share.Shard
	mutex        sync.Mutex
	grants       []*heldGrant
	usage        usageMeter
	// lowMark is the number of units below which Take reports Low.
	lowMark     int
	lowReported bool
	// prefetchAsk is the open item that asks in advance, or zero.
	prefetchAsk uint64
	// refusedUntil is until when the last refusal stands.
	refusedUntil time.Duration
}

// heldGrant is a grant as its holder sees it.
type heldGrant struct {
	number uint64
	// route is where reports go.
	route     askRoute
	available int
	reserved  int
	used      int
	expires   time.Duration
	// promptReport is as in Grant.
	promptReport bool
	reported     int
}

// askRoute is the coordinator asked, and the one meant if that is another.
type askRoute struct {
	to          instance.Address
	coordinator instance.Address
}

// TakeResult is what Take has found.
type TakeResult int

// Values of TakeResult.
const (
	// Empty means that there are no units: send the Holder an Acquire.
	Empty TakeResult = iota
	// Taken means that the token may be used.
	Taken
	// TakenLow means Taken, and that the Holder wants a Low.
	TakenLow
)

// Token is the right to run one request, once Spend has said so. The zero
// Token is never spent.
type Token struct {
	account *account
	grant   *heldGrant
	units   int
}

// NewAllowance makes an empty allowance.
func NewAllowance() *Allowance {
	a := new(Allowance)
	for i := range a.stripes {
		a.stripes[i].accounts = map[string]*account{}
	}
	return a
}

// Take takes units for one request from what is held.
func (a *Allowance) Take(now time.Duration, organisation string, units int) (Token, TakeResult) {
	c := a.find(organisation)
	if c == nil {
		return Token{}, Empty
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	t := c.take(now, units)
	if t.grant == nil {
		return t, Empty
	}
	c.usage.add(now, units)
	if !c.lowReported && c.available(now) < c.lowMark {
		c.lowReported = true
		return t, TakenLow
	}
	return t, Taken
}

// Spend says whether the request may run, and counts it if so. It is called
// just before the first byte goes to a target, and once at most: a process that
// was paused must not use a grant that has expired.
func (t Token) Spend(now time.Duration) bool {
	if t.grant == nil {
		return false
	}
	t.account.mutex.Lock()
	defer t.account.mutex.Unlock()
	t.grant.reserved -= t.units
	if now >= t.grant.expires {
		return false
	}
	t.grant.used += t.units
	return true
}

// Return gives the units of a token back that wasn't spent.
func (t Token) Return() {
	if t.grant == nil {
		return
	}
	t.account.mutex.Lock()
	defer t.account.mutex.Unlock()
	t.grant.reserved -= t.units
	t.grant.available += t.units
}

// PromptReport says that the Holder wants a Settled once the token is spent or
// returned.
func (t Token) PromptReport() bool {
	return t.grant != nil && t.grant.promptReport
}

func (a *Allowance) stripe(organisation string) (*stripe, share.Shard) {
	s := ShardOf(organisation)
	return &a.stripes[s%stripeCount], s
}

func (a *Allowance) find(organisation string) *account {
	s, _ := a.stripe(organisation)
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.accounts[organisation]
}

// findOrAdd finds or makes an account.
func (a *Allowance) findOrAdd(organisation string) *account {
	s, shard := a.stripe(organisation)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.accounts[organisation]
	if c == nil {
		c = &account{
			organisation: organisation,
			shard:        shard,
		}
		s.accounts[organisation] = c
	}
	return c
}

// dropIdle forgets organisations that hold nothing and weren't used of late.
func (a *Allowance) dropIdle(now time.Duration) {
	for i := range a.stripes {
		s := &a.stripes[i]
		s.mutex.Lock()
		for name, c := range s.accounts {
			if c.idle(now) {
				delete(s.accounts, name)
			}
		}
		s.mutex.Unlock()
	}
}

func (c *account) idle(now time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.prune(now)
	return len(c.grants) == 0 && c.usage.perSecond(now) == 0
}

// take takes units from the first grant that has them.
func (c *account) take(now time.Duration, units int) Token {
	for _, h := range c.grants {
		if h.available < units || now >= h.expires {
			continue
		}
		h.available -= units
		h.reserved += units
		return Token{
			account: c,
			grant:   h,
			units:   units,
		}
	}
	return Token{}
}

// available is the number of units that can be taken.
func (c *account) available(now time.Duration) int {
	n := 0
	for _, h := range c.grants {
		if now < h.expires {
			n += h.available
		}
	}
	return n
}

// prune drops grants that are over: expired, or with nothing left to report.
func (c *account) prune(now time.Duration) {
	c.grants = slices.DeleteFunc(c.grants, func(h *heldGrant) bool {
		return now >= h.expires || h.available == 0 && h.reserved == 0 && h.reported == h.used
	})
}

// usageMeter counts recent use in two windows.
type usageMeter struct {
	start    time.Duration
	current  int
	previous int
}

func (m *usageMeter) add(now time.Duration, units int) {
	m.roll(now)
	m.current += units
}

func (m *usageMeter) roll(now time.Duration) {
	switch age := now - m.start; {
	case age < usageWindow:
	case age < 2*usageWindow:
		m.start += usageWindow
		m.previous = m.current
		m.current = 0
	default:
		m.start = now
		m.previous = 0
		m.current = 0
	}
}

// perSecond is the recent use in units a second.
func (m *usageMeter) perSecond(now time.Duration) float64 {
	m.roll(now)
	rest := 1 - float64(now-m.start)/float64(usageWindow)
	return (float64(m.current) + float64(m.previous)*rest) / usageWindow.Seconds()
}
