package meter

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/document"
)

// ReportPeriod is the time between two asks of a busy zone: short enough that
// a burst of a second finds the other zones' unused parts.
const ReportPeriod = 300 * time.Millisecond

// Limits of Rates.
const (
	// demandSpan is how long a zone's demand is measured over: long enough to see
	// a few requests of a small organisation, short enough to follow a burst.
	demandSpan = 2 * time.Second
	// loanTerm is how long a zone uses what another lends, from when it hears of
	// it, and loanSlack how much longer the lender does without it: a datagram
	// that takes longer than that is counted as lost by all that know of it.
	loanTerm  = 3 * ReportPeriod
	loanSlack = time.Second
	// busyPercent of a zone's part in use makes it ask the other zones.
	busyPercent = 60
	// headroomPercent of a zone's demand is what it wants, and what it keeps
	// before it lends.
	headroomPercent = 130
	// keptPercent of its part is never lent, for the first requests there.
	keptPercent = 20
	// startPercent of its burst is in a fresh bucket: a restarted one doesn't
	// know what its predecessor gave out.
	startPercent = 30
	// spentPercent of the tolerance goes to callers, whose zones can't know each
	// other's levels. The rest is for two keepers that disagree for a while.
	spentPercent = 50
	// partMost times its even part is the most of a rate that a zone takes for
	// its own when it has heard of few instances, as after a start.
	partMost = 1.3
	// leastPerSecond keeps waits finite, in units a second.
	leastPerSecond = 0.01
	// waitLeast and waitMost bound Retry-After.
	waitLeast = 200 * time.Millisecond
	waitMost  = 5 * time.Second
)

// Rates keeps one zone's part of the organisations' rates. Its methods must not
// be called at the same time.
type Rates struct {
	zone      string
	tolerance Tolerance
	buckets   map[string]*bucket
}

// Tolerance is what the fleet may give out beyond an organisation's rate.
type Tolerance struct {
	// Ratio is a part of the rate and of the burst.
	Ratio float64
	// Units are on top of the burst.
	Units float64
}

func (t Tolerance) perSecond(r document.Rate) float64 {
	return r.PerSecond * (1 + t.Ratio*spentPercent/100)
}

func (t Tolerance) burst(r document.Rate) float64 {
	return float64(r.Burst)*(1+t.Ratio*spentPercent/100) + t.Units*spentPercent/100
}

// bucket is a zone's part of one organisation's rate.
type bucket struct {
	level  float64
	filled time.Duration
	demand *Window
	// due is when the last of those that were told to come back is due.
	due time.Duration
	// lent and borrowed are parts of the rate by the other zone.
	lent     map[string]loan
	borrowed map[string]loan
}

// loan is a part of a rate, in units a second, until a time.
type loan struct {
	perSecond float64
	until     time.Duration
}

func sum(loans map[string]loan, now time.Duration) float64 {
	all := 0.0
	for zone, l := range loans {
		if now >= l.until {
			delete(loans, zone)
			continue
		}
		all += l.perSecond
	}
	return all
}

// Zones is how the instances are spread.
type Zones struct {
	// Part is this zone's part of all instances, from 0 to 1.
	Part float64
	// Count is the number of zones.
	Count int
}

// part is the zone's part as far as it can be trusted.
func (z Zones) part() float64 {
	return min(z.Part, partMost/float64(max(z.Count, 1)))
}

// Verdict is the answer to one ask.
type Verdict struct {
	Granted bool
	// RetryAfter is when a unit will be there, if none was granted.
	RetryAfter time.Duration
	// PerSecond is the zone's part of the rate that decided, and Level what the
	// bucket held, for logs.
	PerSecond float64
	Level     float64
}

// Want is what a zone lacks of an organisation's rate, in units a second.
type Want struct {
	Organisation string
	Zone         string
	PerSecond    float64
}

// Offer is what one zone lends another of an organisation's rate, in units a
// second. It counts for a short term from its arrival.
type Offer struct {
	Organisation string
	// Zone is the lender.
	Zone      string
	PerSecond float64
}

// NewRates returns the meter of a zone.
func NewRates(zone string, t Tolerance) *Rates {
	return &Rates{
		zone:      zone,
		tolerance: t,
		buckets:   map[string]*bucket{},
	}
}

// Ask takes a request's units from its organisation's rate, if there are any.
func (r *Rates) Ask(now time.Duration, rate document.Rate, cost int, zones Zones) Verdict {
	b := r.bucket(now, rate, zones)
	b.demand.Add(now, float64(cost))
	perSecond := r.fill(b, now, rate, zones)
	if b.level >= float64(cost) {
		b.level -= float64(cost)
		return Verdict{
			Granted: true,
		}
	}
	return Verdict{
		PerSecond:  perSecond,
		Level:      b.level,
		RetryAfter: b.queue(now, float64(cost), perSecond),
	}
}

// queue gives a refused request a place behind those that were told to come
// back before, and returns when its units are there. All coming back at once
// would only be refused again.
func (b *bucket) queue(now time.Duration, cost, perSecond float64) time.Duration {
	missing := cost - b.level
	if b.due > now {
		missing = cost
	}
	b.due = max(b.due, now) + time.Duration(missing/max(perSecond, leastPerSecond)*float64(time.Second))
	b.due = min(b.due, now+waitMost)
	return max(b.due-now, waitLeast)
}

func (r *Rates) bucket(now time.Duration, rate document.Rate, zones Zones) *bucket {
	b := r.buckets[rate.Organisation]
	if b == nil {
		b = &bucket{
			level:    max(r.tolerance.burst(rate)*zones.part()*startPercent/100, 1),
			filled:   now,
			demand:   NewWindow(demandSpan),
			lent:     map[string]loan{},
			borrowed: map[string]loan{},
		}
		r.buckets[rate.Organisation] = b
	}
	return b
}

// fill adds what came in since, and returns the zone's part in units a second.
func (r *Rates) fill(b *bucket, now time.Duration, rate document.Rate, zones Zones) float64 {
	own := r.tolerance.perSecond(rate) * zones.part()
	perSecond := max(own-sum(b.lent, now)+sum(b.borrowed, now), 0)
	burst := max(r.tolerance.burst(rate)*zones.part(), 1)
	b.level = min(b.level+perSecond*(now-b.filled).Seconds(), burst)
	b.filled = now
	return perSecond
}

// wanted is what the zone would like to have of the rate, in units a second.
func (b *bucket) wanted(now time.Duration) float64 {
	return b.demand.Sum(now) / demandSpan.Seconds() * headroomPercent / 100
}

// Wants lists what the zone lacks, for the other zones.
func (r *Rates) Wants(now time.Duration, rateOf func(string) (document.Rate, bool), zones Zones) []Want {
	var list []Want
	for name, b := range r.buckets {
		rate, ok := rateOf(name)
		if !ok {
			delete(r.buckets, name)
			continue
		}
		own := r.tolerance.perSecond(rate) * zones.part()
		wanted := b.wanted(now)
		if wanted*100 > own*busyPercent*headroomPercent/100 {
			list = append(list, Want{
				Organisation: name,
				Zone:         r.zone,
				PerSecond:    max(wanted-own, own*(100-busyPercent)/100),
			})
		}
	}
	slices.SortFunc(list, func(a, b Want) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return list
}

// Lend answers another zone's want with what this zone doesn't need. The zone
// does without it from now on, whether the offer arrives or not.
func (r *Rates) Lend(now time.Duration, rate document.Rate, w Want, zones Zones) (Offer, bool) {
	b := r.bucket(now, rate, zones)
	r.fill(b, now, rate, zones)
	own := r.tolerance.perSecond(rate) * zones.part()
	lent := sum(b.lent, now) - b.lent[w.Zone].perSecond
	spare := own - max(b.wanted(now), own*keptPercent/100) - lent
	offered := min(spare, w.PerSecond)
	held, ok := b.lent[w.Zone]
	if offered <= 0 {
		return Offer{}, false
	}
	if ok {
		// The other zone may still use the earlier offer.
		held.perSecond = max(held.perSecond, offered)
	} else {
		held.perSecond = offered
	}
	held.until = now + loanTerm + loanSlack
	b.lent[w.Zone] = held
	return Offer{
		Organisation: rate.Organisation,
		Zone:         r.zone,
		PerSecond:    offered,
	}, true
}

// Borrow takes an offer in.
func (r *Rates) Borrow(now time.Duration, rate document.Rate, o Offer, zones Zones) {
	b := r.bucket(now, rate, zones)
	r.fill(b, now, rate, zones)
	b.borrowed[o.Zone] = loan{
		perSecond: o.PerSecond,
		until:     now + loanTerm,
	}
}
