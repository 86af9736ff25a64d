package quota

import (
	"slices"
	"sync"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

const (
	// stripes is the number of locks that the organisations share.
	stripes = 64
	// meterWindow is the time over which recent use is counted.
	meterWindow = 500 * time.Millisecond
)

// Allowance holds the grants of one instance for its traffic. Its methods may
// be called from many goroutines at once: an organisation's requests share a
// lock, but those of different organisations don't. Use NewAllowance.
type Allowance struct {
	stripes [stripes]stripe
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
	grants       []*held
	use          meter
	// mark is the number of units below which Take reports Low.
	mark int
	low  bool
	// advanceAsk is the open item that asks in advance, or zero.
	advanceAsk uint64
	// refusedUntil is until when the last refusal stands.
	refusedUntil time.Duration
}

// held is a grant as its holder sees it.
type held struct {
	number uint64
	// way is where reports go.
	way   askWay
	left  int
	taken int
	used  int
	until time.Duration
	// prompt is as in Grant.
	prompt   bool
	reported int
}

// askWay is the coordinator asked, and the one meant if that is another.
type askWay struct {
	to    instance.Address
	first instance.Address
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
	held    *held
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
	if t.held == nil {
		return t, Empty
	}
	c.use.add(now, units)
	if !c.low && c.left(now) < c.mark {
		c.low = true
		return t, TakenLow
	}
	return t, Taken
}

// Spend says whether the request may run, and counts it if so. It is called
// just before the first byte goes to a target, and once at most: a process that
// was paused must not use a grant that has expired.
func (t Token) Spend(now time.Duration) bool {
	if t.held == nil {
		return false
	}
	t.account.mutex.Lock()
	defer t.account.mutex.Unlock()
	t.held.taken -= t.units
	if now >= t.held.until {
		return false
	}
	t.held.used += t.units
	return true
}

// Return gives the units of a token back that wasn't spent.
func (t Token) Return() {
	if t.held == nil {
		return
	}
	t.account.mutex.Lock()
	defer t.account.mutex.Unlock()
	t.held.taken -= t.units
	t.held.left += t.units
}

// PromptReport says that the Holder wants a Settled once the token is spent or
// returned.
func (t Token) PromptReport() bool {
	return t.held != nil && t.held.prompt
}

func (a *Allowance) stripe(organisation string) (*stripe, share.Shard) {
	s := ShardOf(organisation)
	return &a.stripes[s%stripes], s
}

func (a *Allowance) find(organisation string) *account {
	s, _ := a.stripe(organisation)
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.accounts[organisation]
}

// open finds or makes an account.
func (a *Allowance) open(organisation string) *account {
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
	return len(c.grants) == 0 && c.use.perSecond(now) == 0
}

// take takes units from the first grant that has them.
func (c *account) take(now time.Duration, units int) Token {
	for _, h := range c.grants {
		if h.left < units || now >= h.until {
			continue
		}
		h.left -= units
		h.taken += units
		return Token{
			account: c,
			held:    h,
			units:   units,
		}
	}
	return Token{}
}

// left is the number of units that can be taken.
func (c *account) left(now time.Duration) int {
	n := 0
	for _, h := range c.grants {
		if now < h.until {
			n += h.left
		}
	}
	return n
}

// prune drops grants that are over: expired, or with nothing left to report.
func (c *account) prune(now time.Duration) {
	c.grants = slices.DeleteFunc(c.grants, func(h *held) bool {
		return now >= h.until || h.left == 0 && h.taken == 0 && h.reported == h.used
	})
}

// meter counts recent use in two windows.
type meter struct {
	start    time.Duration
	current  int
	previous int
}

func (m *meter) add(now time.Duration, units int) {
	m.roll(now)
	m.current += units
}

func (m *meter) roll(now time.Duration) {
	switch age := now - m.start; {
	case age < meterWindow:
	case age < 2*meterWindow:
		m.start += meterWindow
		m.previous = m.current
		m.current = 0
	default:
		m.start = now
		m.previous = 0
		m.current = 0
	}
}

// perSecond is the recent use in units a second.
func (m *meter) perSecond(now time.Duration) float64 {
	m.roll(now)
	rest := 1 - float64(now-m.start)/float64(meterWindow)
	return (float64(m.current) + float64(m.previous)*rest) / meterWindow.Seconds()
}
