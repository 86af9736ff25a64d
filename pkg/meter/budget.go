package meter

import "time"

// BudgetSettings bounds the retries to a service over the whole fleet.
type BudgetSettings struct {
	// Ratio is the fraction of the requests that may be retried, from 0 to 1.
	Ratio float64
	// Base is the number of retries that the whole fleet may make within a span in
	// addition to those that Ratio allows, so that some are allowed at low traffic.
	Base float64
	// Span is the time over which requests and retries are counted.
	Span time.Duration
}

// grantedPercent of the bound is granted, because requests that end while a budget's
// keeper changes are counted twice or not at all.
const grantedPercent = 80

// Budget enforces one zone's share of the services' retry budgets. It is not safe
// for concurrent use.
type Budget struct {
	settings BudgetSettings
	services map[string]*usage
}

// usage counts a service's requests and retries over the span.
type usage struct {
	requests *Window
	retries  *Window
}

// NewBudget returns a budget that has counted no requests.
func NewBudget(s BudgetSettings) *Budget {
	return &Budget{
		settings: s,
		services: map[string]*usage{},
	}
}

// Begun is the number of requests that an instance has begun over a time that ends now.
type Begun struct {
	Requests int
	Over     time.Duration
}

// Take takes one retry from a service's budget, if there is one. Begun holds the requests
// that the asking instance has begun since it last asked, and fraction is the zone's share
// of the fleet, from 0 to 1.
func (b *Budget) Take(now time.Duration, service string, begun Begun, fraction float64) bool {
	u := b.services[service]
	if u == nil {
		u = &usage{
			requests: NewWindow(b.settings.Span),
			retries:  NewWindow(b.settings.Span),
		}
		b.services[service] = u
	}
	u.requests.AddOver(now, float64(begun.Requests), begun.Over)
	bound := b.settings.Ratio*u.requests.Sum(now) + b.settings.Base*fraction
	if u.retries.Sum(now)+1 > bound*grantedPercent/100 {
		return false
	}
	u.retries.Add(now, 1)
	return true
}
