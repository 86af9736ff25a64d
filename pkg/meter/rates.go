package meter

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/document"
)

// Limits of Rates.
const (
	// demandSpan is how long a zone's demand is measured over: long enough to see
	// a few requests of a small organisation, short enough to follow a burst.
	demandSpan = 2 * time.Second
	// reportTerm is how long another zone's report counts.
	reportTerm = 2 * time.Second
	// hotPercent of a zone's part in use makes it tell the other zones.
	hotPercent = 60
	// leastPercent of its even part stays with a zone whatever the others ask.
	leastPercent = 30
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
	// own is the zone's newest report to the others, and others are theirs. Parts
	// follow from reports only: if a zone counted what it hasn't told yet, all
	// zones would take the largest part at once when an organisation becomes hot.
	own    report
	others map[string]report
	// told is when the others last told that they are short.
	told time.Duration
}

type report struct {
	demand float64
	at     time.Duration
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

// Demand is what one zone asks of one organisation's rate, in units a second.
type Demand struct {
	Organisation string
	Zone         string
	PerSecond    float64
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
			level:  max(r.tolerance.burst(rate)*zones.part()*startPercent/100, 1),
			filled: now,
			demand: NewWindow(demandSpan),
			others: map[string]report{},
		}
		r.buckets[rate.Organisation] = b
	}
	return b
}

// fill adds what came in since, and returns the zone's part in units a second.
func (r *Rates) fill(b *bucket, now time.Duration, rate document.Rate, zones Zones) float64 {
	part := b.part(now, zones, r.zone)
	perSecond := r.tolerance.perSecond(rate) * part
	burst := max(r.tolerance.burst(rate)*part, 1)
	b.level = min(b.level+perSecond*(now-b.filled).Seconds(), burst)
	b.filled = now
	return perSecond
}

// part is the zone's part of the rate. While no zone is short it is the zone's
// part of the instances; else it follows the zones' demands, as far as they are
// known. Every zone keeps a part of its even one, so that the first request
// there isn't refused.
func (b *bucket) part(now time.Duration, zones Zones, zone string) float64 {
	own := b.own.demand
	sum, heard := 0.0, 0
	for name, o := range b.others {
		if now-o.at <= reportTerm && name != zone {
			sum += o.demand
			heard++
		}
	}
	if heard < zones.Count-1 || now-b.own.at > reportTerm || own+sum <= 0 {
		return zones.part()
	}
	least := zones.part() * leastPercent / 100
	return least + (1-float64(leastPercent)/100)*own/(own+sum)
}

func (b *bucket) perSecond(now time.Duration) float64 {
	return b.demand.Sum(now) / demandSpan.Seconds()
}

// Hear takes in another zone's demand.
func (r *Rates) Hear(now time.Duration, rate document.Rate, d Demand, zones Zones) {
	b := r.bucket(now, rate, zones)
	b.others[d.Zone] = report{
		demand: d.PerSecond,
		at:     now,
	}
	b.told = now
}

// Demands lists what the other zones should know: the organisations that use
// most of this zone's part, and those about which another zone has just told.
func (r *Rates) Demands(now time.Duration, rateOf func(string) (document.Rate, bool), zones Zones) []Demand {
	var list []Demand
	for name, b := range r.buckets {
		rate, ok := rateOf(name)
		if !ok {
			delete(r.buckets, name)
			continue
		}
		demand := b.perSecond(now)
		hot := demand*100 > rate.PerSecond*zones.part()*hotPercent
		if hot || b.told != 0 && now-b.told <= reportTerm {
			b.own = report{
				demand: demand,
				at:     now,
			}
			list = append(list, Demand{
				Organisation: name,
				Zone:         r.zone,
				PerSecond:    demand,
			})
		}
	}
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return list
}
