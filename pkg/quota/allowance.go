package quota

import (
	"slices"
	"sync"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

const (
	// stripeCount is the number of locks over which the organisations are
	// spread.
	stripeCount = 64
	// usageWindow is the time over which recent usage is counted.
	usageWindow = 500 * time.Millisecond
)

// Allowance holds the grants of one instance and serves its traffic from them.
// It is safe for concurrent use. Requests of one organisation share a lock;
// those of different organisations don't block each other, except while an
// organisation is added or removed in the same stripe. Create it with
// NewAllowance.
type Allowance struct {
	stripes [stripeCount]stripe
}

type stripe struct {
	mutex    sync.RWMutex
	accounts map[string]*account
}

// account is the state of one organisation in an Allowance.
type account struct {
	organisation string
	shard        share.Shard
	mutex        sync.Mutex
	grants       []*heldGrant
	usage        usageMeter
	// lowMark is the number of available units below which Take returns
	// TakenLow.
	lowMark int
	// lowReported says that TakenLow was returned and the prefetch isn't
	// finished.
	lowReported bool
	// prefetchItem is the number of the open item that asks for prefetched
	// units; zero if there is none.
	prefetchItem uint64
	// refusedUntil is the time until which the last refusal is repeated without
	// asking the coordinator.
	refusedUntil time.Duration
}

// heldGrant is a grant as its holder sees it. All counts are in units.
type heldGrant struct {
	number uint64
	// route is the route that reports take.
	route askRoute
	// available counts the units that can be taken.
	available int
	// reserved counts the units of tokens that were neither spent nor returned.
	reserved int
	used     int
	expires  time.Duration
	// promptReport is Grant.PromptReport.
	promptReport bool
	// reported is the value of used in the last report.
	reported int
}

// askRoute is the route of a message to a coordinator. If a relay is asked,
// coordinator is the one that is meant; otherwise it is empty.
type askRoute struct {
	to          instance.Address
	coordinator instance.Address
}

// TakeResult says what Take has found.
type TakeResult int

// Values of TakeResult.
const (
	// Empty means that too few units are available: send the Holder an Acquire.
	Empty TakeResult = iota
	// Taken means that the token may be used.
	Taken
	// TakenLow means that the token may be used and the Holder must get a Low.
	TakenLow
)

// Token is a number of units taken for one request. The request may run only if
// Spend returns true, which it never does for the zero Token.
type Token struct {
	account *account
	grant   *heldGrant
	units   int
}

// NewAllowance returns an empty allowance.
func NewAllowance() *Allowance {
	a := new(Allowance)
	for i := range a.stripes {
		a.stripes[i].accounts = map[string]*account{}
	}
	return a
}

// Take takes the units for one request from the grants that are held.
func (a *Allowance) Take(now time.Duration, organisation string, units int) (Token, TakeResult) {
	acc := a.find(organisation)
	if acc == nil {
		return Token{}, Empty
	}
	acc.mutex.Lock()
	defer acc.mutex.Unlock()
	t := acc.take(now, units)
	if t.grant == nil {
		return t, Empty
	}
	acc.usage.add(now, units)
	if !acc.lowReported && acc.available(now) < acc.lowMark {
		acc.lowReported = true
		return t, TakenLow
	}
	return t, Taken
}

// Spend reports whether the request may run, and counts the units as used if
// so. It must be called at most once, just before the first byte goes to a
// target, so that a process that was paused doesn't use an expired grant.
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

// Return gives back the units of a token that wasn't spent.
func (t Token) Return() {
	if t.grant == nil {
		return
	}
	t.account.mutex.Lock()
	defer t.account.mutex.Unlock()
	t.grant.reserved -= t.units
	t.grant.available += t.units
}

// PromptReport reports whether the Holder must get a Settled once the token is
// spent or returned.
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

// findOrAdd returns the account of an organisation, and adds it if there is
// none.
func (a *Allowance) findOrAdd(organisation string) *account {
	s, shard := a.stripe(organisation)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	acc := s.accounts[organisation]
	if acc == nil {
		acc = &account{
			organisation: organisation,
			shard:        shard,
		}
		s.accounts[organisation] = acc
	}
	return acc
}

// dropIdle removes organisations that hold no grants and weren't used recently.
func (a *Allowance) dropIdle(now time.Duration) {
	for i := range a.stripes {
		s := &a.stripes[i]
		s.mutex.Lock()
		for name, acc := range s.accounts {
			if acc.idle(now) {
				delete(s.accounts, name)
			}
		}
		s.mutex.Unlock()
	}
}

func (a *account) idle(now time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.prune(now)
	return len(a.grants) == 0 && a.usage.perSecond(now) == 0
}

// take takes units from the first grant that has enough. The token is zero if
// there is none.
func (a *account) take(now time.Duration, units int) Token {
	for _, g := range a.grants {
		if g.available < units || now >= g.expires {
			continue
		}
		g.available -= units
		g.reserved += units
		return Token{
			account: a,
			grant:   g,
			units:   units,
		}
	}
	return Token{}
}

// available returns the number of units that can be taken.
func (a *account) available(now time.Duration) int {
	n := 0
	for _, g := range a.grants {
		if now < g.expires {
			n += g.available
		}
	}
	return n
}

// prune removes grants that have expired, or that have no units left and
// nothing to report.
func (a *account) prune(now time.Duration) {
	a.grants = slices.DeleteFunc(a.grants, func(g *heldGrant) bool {
		return now >= g.expires || g.available == 0 && g.reserved == 0 && g.reported == g.used
	})
}

// usageMeter counts recent usage in the current and the previous window.
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

// perSecond returns the recent usage in units a second.
func (m *usageMeter) perSecond(now time.Duration) float64 {
	m.roll(now)
	rest := 1 - float64(now-m.start)/float64(usageWindow)
	return (float64(m.current) + float64(m.previous)*rest) / usageWindow.Seconds()
}
