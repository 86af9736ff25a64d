package meter

import "time"

// BudgetSettings bound the repeated sendings to a service over the whole fleet.
type BudgetSettings struct {
	// Ratio of the requests may be sent again.
	Ratio float64
	// Minimum may be sent again in a span, however few requests there are.
	Minimum float64
	// Span is the time over which both are counted.
	Span time.Duration
}

// grantedPercent of the bound is given out: requests that end while a budget's
// keeper changes are counted twice or not at all.
const grantedPercent = 80

// Budget keeps one zone's part of the services' retry budgets. Its methods must
// not be called at the same time.
type Budget struct {
	settings BudgetSettings
	services map[string]*usage
}

type usage struct {
	requests *Window
	retries  *Window
}

// NewBudget returns a budget without requests.
func NewBudget(s BudgetSettings) *Budget {
	return &Budget{
		settings: s,
		services: map[string]*usage{},
	}
}

// Take takes one repeated sending from the budget of a service, if there is one.
// Requests are those that the asking instance has newly begun, and part is the
// zone's part of the fleet.
func (b *Budget) Take(now time.Duration, service string, requests int, part float64) bool {
	u := b.services[service]
	if u == nil {
		u = &usage{
			requests: NewWindow(b.settings.Span),
			retries:  NewWindow(b.settings.Span),
		}
		b.services[service] = u
	}
	u.requests.Add(now, float64(requests))
	bound := b.settings.Ratio*u.requests.Sum(now) + b.settings.Minimum*part
	if u.retries.Sum(now)+1 > bound*grantedPercent/100 {
		return false
	}
	u.retries.Add(now, 1)
	return true
}
