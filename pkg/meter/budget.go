package meter

import (
	"cmp"
	"slices"
	"time"
)

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

// Parts of the bound that are granted within a span. Together they leave a tenth of it for
// retries that arrive later than they were granted and for grant reports that are lost.
const (
	// grantedPercent is granted by a budget that has counted for a whole span.
	grantedPercent = 65
	// newBudgetPercent is granted by a newer one. It doesn't know the retries from before
	// its start, and its predecessors may have granted grantedPercent just then.
	newBudgetPercent = 25
)

// Budget counts a zone's retries and grants its share of the services' retry budgets. Each
// instance has one. The keeper of a service grants the retries and reports them to the
// other instances of its zone, so that any of them can go on from its counts. A Budget is
// not safe for concurrent use.
type Budget struct {
	settings  BudgetSettings
	startedAt time.Duration
	services  map[string]*usage
	// reported holds the last report of each other keeper about each service.
	reported map[string]map[string]reportedTotals
}

// usage counts a service's requests and retries.
type usage struct {
	// requests and retries are those of the zone over the span.
	requests *Window
	retries  *Window
	// granted holds what this instance has counted as keeper since it started, and
	// changedAt is when that last changed. It is zero if that never did.
	granted   Totals
	changedAt time.Duration
	// ranks counts what this instance was asked for with a rank, as keeper.
	ranks ranks
}

// Totals holds the numbers of a service's retries that a keeper has granted, and of the
// requests that it was told of, since it started.
type Totals struct {
	Service  string
	Retries  uint64
	Requests uint64
}

// reportedTotals is the last report about a service and when it came.
type reportedTotals struct {
	Totals
	at time.Duration
}

// Keeper identifies an instance that reports Totals.
type Keeper struct {
	Address string
	// StartedAt is when it started, on the clock of the instance that gets the report.
	StartedAt time.Duration
}

// Begun is the number of requests that an instance has begun over a time that ends now.
type Begun struct {
	Requests int
	Over     time.Duration
}

// BudgetDecision is the answer to one request for a retry. The other fields are the
// inputs, for logs.
type BudgetDecision struct {
	Granted bool
	// Requests and Retries are the zone's within the span, before this decision.
	Requests float64
	Retries  float64
	// Limit is the number of retries that may be granted within the span.
	Limit float64
	// Reserved is set if a retry is left, but for another rank.
	Reserved bool
}

// NewBudget returns a budget of an instance that starts now.
func NewBudget(now time.Duration, s BudgetSettings) *Budget {
	return &Budget{
		settings:  s,
		startedAt: now,
		services:  map[string]*usage{},
		reported:  map[string]map[string]reportedTotals{},
	}
}

// Take takes one retry from a service's budget, if there is one. Begun holds the requests
// that the asking instance has begun since it last asked, and zones the zone's share of
// the fleet. WithRank gives the rank of the request that is to be retried.
func (b *Budget) Take(now time.Duration, service string, begun Begun, zones Zones, options ...TakeOption) BudgetDecision {
	var o takeOptions
	for _, option := range options {
		option(&o)
	}
	u := b.usage(service)
	if begun.Requests > 0 {
		u.requests.AddOver(now, float64(begun.Requests), begun.Over)
		u.granted.Requests += uint64(begun.Requests)
		u.changedAt = now
	}
	percent := grantedPercent
	if now < b.startedAt+b.settings.Span {
		percent = newBudgetPercent
	}
	d := BudgetDecision{
		Requests: u.requests.Sum(now),
		Retries:  u.retries.Sum(now),
	}
	d.Limit = (b.settings.Ratio*d.Requests + b.settings.Base*zones.cappedFraction()) * float64(percent) / 100
	d.Granted = d.Retries+1 <= d.Limit
	if o.ranked {
		u.ranks.ask(now, o.rank)
		d.Reserved = d.Granted && !u.allowsRank(now, o.rank, d)
		d.Granted = d.Granted && !d.Reserved
	}
	if d.Granted {
		u.retries.Add(now, 1)
		if o.ranked {
			u.ranks.grant(now, o.rank)
		}
		u.granted.Retries++
		u.changedAt = now
	}
	return d
}

// allowsRank reports whether a rank may have a retry. Retries without a rank, and those that
// other keepers have granted, are taken off the budget that the ranks share.
func (u *usage) allowsRank(now time.Duration, rank int, d BudgetDecision) bool {
	ranked, less := u.ranks.granted(now, 0)
	return u.ranks.allows(now, rank, d.Limit-max(d.Retries-ranked-less, 0))
}

// usage returns the counts of a service and creates them on first use.
func (b *Budget) usage(service string) *usage {
	u := b.services[service]
	if u == nil {
		u = &usage{
			requests: NewWindow(b.settings.Span),
			retries:  NewWindow(b.settings.Span),
			ranks: ranks{
				span: b.settings.Span,
			},
			granted: Totals{
				Service: service,
			},
		}
		b.services[service] = u
	}
	return u
}

// Changed lists the totals that have changed within the last term, to be reported to the
// other instances of the zone. A term of several reports makes up for lost ones.
func (b *Budget) Changed(now, term time.Duration) []Totals {
	var list []Totals
	for _, u := range b.services {
		if u.changedAt > 0 && now < u.changedAt+term {
			list = append(list, u.granted)
		}
	}
	slices.SortFunc(list, func(a, b Totals) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// Receive counts what another keeper has counted since its last report. The first report
// of a keeper that is older than this budget only sets where to count from.
func (b *Budget) Receive(now time.Duration, from Keeper, t Totals) {
	services := b.reported[from.Address]
	if services == nil {
		services = map[string]reportedTotals{}
		b.reported[from.Address] = services
	}
	last, known := services[t.Service]
	services[t.Service] = reportedTotals{
		Totals: t,
		at:     now,
	}
	if known && (from.StartedAt > last.at || t.Retries < last.Retries || t.Requests < last.Requests) {
		last, known = reportedTotals{}, false // the keeper has been restarted
	}
	if !known && from.StartedAt < b.startedAt {
		return
	}
	u := b.usage(t.Service)
	u.retries.Add(now, float64(t.Retries-last.Retries))
	u.requests.AddOver(now, float64(t.Requests-last.Requests), now-max(last.at, from.StartedAt))
}

// Forget forgets the reports of a keeper that is gone. What it granted still counts.
func (b *Budget) Forget(address string) { delete(b.reported, address) }
