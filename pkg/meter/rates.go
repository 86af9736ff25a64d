package meter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dandelionmux/pkg/document"
)

// LoanRequestPeriod is the time between two asks of a busy zone: short enough that
// a burst of a second finds the other zones' unused parts.
const LoanRequestPeriod = 300 * time.Millisecond

// Limits of Rates.
const (
	// demandSpan is how long a zone's demand is measured over: long enough to see
	// a few requests of a small organisation, short enough to follow a burst.
	demandSpan = 2 * time.Second
	// loanTerm is how long a keeper uses what another zone lends, from when it asked
	// for it. The lender does without it from when it is asked, and for loanSlack
	// longer, in case its clock is the faster one.
	loanTerm    = 3 * LoanRequestPeriod
	clockMargin = 50 * time.Millisecond
	// demandHeadroomPercent of a keeper's demand is what it wants, and what it keeps
	// before it lends: enough for a burst until the next ask.
	demandHeadroomPercent = 200
	// loanRequestPercent of its part, if wanted, makes a keeper ask the other zones.
	loanRequestPercent = 60
	// reservePercent of its part is never lent, for the first requests there.
	// Requests seldom go there while there is a keeper to lend to.
	reservePercent      = 20
	fleetReservePercent = 2
	// initialBurstPercent of its burst is in a fresh bucket: a restarted one doesn't
	// know what its predecessor gave out.
	initialBurstPercent = 30
	// minInitialUnits is what fresh buckets in three zones hold at least, in units.
	minInitialUnits = 3
	// disagreementTime of a whole rate is kept back for keepers that disagree: a zone's
	// part, a third of all, given out twice until a silent keeper is asked again.
	disagreementTime = 600 * time.Millisecond
	// grantedSpanPercent of the tolerance's span is looked back over: a Window sees up to a
	// fortieth less, and requests reach their targets a little later or earlier.
	grantedSpanPercent = 103
	// maxFractionFactor times its even part is the most of a rate that a zone takes for
	// its own when it has heard of few instances, as after a start.
	maxFractionFactor = 1.3
	// minPerSecond keeps waits finite, in units a second.
	minPerSecond = 0.01
	// minRetryAfter and waitMost bound Retry-After.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Rates keeps organisations' rates as one instance: its zone's part, and what it
// borrows of the other zones' parts. Its methods must not be called at the same
// time.
type Rates struct {
	zone      string
	tolerance Tolerance
	buckets   map[string]*bucket
}

// Tolerance is what the fleet may give out beyond an organisation's rate. Let A be
// the rate's units in a Span and the burst; in any Span it is A·(1 + Ratio) + Units
// in all.
type Tolerance struct {
	Ratio float64
	Units float64
	// Span is zero where nothing is tolerated.
	Span time.Duration
}

// maxUnits is how many units are given out in a span: what the rate and the burst
// allow, and of what is tolerated all but what a second keeper that starts afresh
// would give out. It is asked for only where a span is set.
func (t Tolerance) maxUnits(r document.Rate) float64 {
	span := t.Span.Seconds()
	allowed := r.PerSecond*span + float64(r.Burst)
	spent := allowed*(1+t.Ratio) + t.Units - float64(r.Burst)*initialBurstPercent/100 - minInitialUnits
	return max(allowed, spent*span/(t.Span+disagreementTime).Seconds())
}

// fillRate is how fast a bucket is filled, so that an organisation that stays
// over its rate gets its span's units evenly.
func (t Tolerance) fillRate(r document.Rate) float64 {
	if t.Span == 0 {
		return r.PerSecond
	}
	return t.maxUnits(r) / t.Span.Seconds()
}

// bucket is what the instance has of one organisation's rate.
type bucket struct {
	level    float64
	filledAt time.Duration
	demand   *Window
	// granted counts the units granted out over the tolerance's span; nil without one.
	granted *Window
	// lastRetry is when the last of those that were told to come back is lastRetry.
	lastRetry time.Duration
	// requestedAt is when the other zones were last requestedAt what is wanted; zero if they
	// weren't since this instance became the keeper.
	requestedAt time.Duration
	// lent and borrowed are parts by the other zone.
	lent     map[string]loan
	borrowed map[string]loan
	// returnedAt is when all that was borrowed was returnedAt: offers that answer
	// earlier wants are void.
	returnedAt time.Duration
}

// loan is a part of a rate, from 0 to 1, until a time.
type loan struct {
	fraction float64
	until    time.Duration
}

func sumLoans(loans map[string]loan, now time.Duration) float64 {
	all := 0.0
	for zone, l := range loans {
		if now >= l.until {
			delete(loans, zone)
			continue
		}
		all += l.fraction
	}
	return all
}

// Zones is how the instances are spread.
type Zones struct {
	// Fraction is this zone's part of all instances, from 0 to 1, without those of the
	// zone that may be cut off from this instance.
	Fraction float64
	// Count is the number of zones.
	Count int
}

// cappedFraction is the zone's cappedFraction as far as it can be trusted.
func (z Zones) cappedFraction() float64 {
	return min(z.Fraction, maxFractionFactor/float64(max(z.Count, 1)))
}

// Role is what an instance is for an organisation's rate.
type Role int

// Values of Role.
const (
	// NotKeeper means that another instance keeps the rate.
	NotKeeper Role = iota
	// ZoneKeeper means that the instance keeps its zone's part while the keeper is
	// silent.
	ZoneKeeper
	// FleetKeeper means that the instance keeps the rate for the whole fleet.
	FleetKeeper
)

// Decision is the answer to one ask.
type Decision struct {
	Granted bool
	// RetryAfter is when a unit will be there, if none was granted.
	RetryAfter time.Duration
	// NeedsLoan says that the zone's part may not be enough and that the other zones
	// weren't asked lately: the keeper should tell them now what it wants.
	NeedsLoan bool
	// PerSecond is the keeper's part of the rate that decided, and Level what the
	// bucket held, for logs.
	PerSecond float64
	Level     float64
}

// LoanRequest is what part of an organisation's rate a keeper would like to borrow, from
// 0 to 1. With 0 it returns what it has.
type LoanRequest struct {
	Organisation string
	Zone         string
	Fraction     float64
	// FleetKeeper says that requests of all zones go to who wants it.
	FleetKeeper bool
	// SentAt is when, on the clock of who wants it.
	SentAt time.Duration
}

// LoanOffer is what part of an organisation's rate one zone lends another, from 0 to 1.
type LoanOffer struct {
	Organisation string
	// Zone is the lender.
	Zone     string
	Fraction float64
	// SentAt is the want's, from when the term counts.
	SentAt time.Duration
}

// NewRates returns the rates of an instance in a zone.
func NewRates(zone string, t Tolerance) *Rates {
	return &Rates{
		zone:      zone,
		tolerance: t,
		buckets:   map[string]*bucket{},
	}
}

// Take takes a request's units from its organisation's rate, if there are any.
func (r *Rates) Take(now time.Duration, rate document.Rate, cost int, role Role, zones Zones) Decision {
	b := r.bucket(now, rate, role, zones)
	b.demand.Add(now, float64(cost))
	v := Decision{
		PerSecond: r.fill(b, now, rate, zones),
		Level:     b.level,
		Granted:   b.level >= float64(cost) && r.unitsLeft(b, now, rate, zones) >= float64(cost),
	}
	if v.Granted {
		b.level -= float64(cost)
		if b.granted != nil {
			b.granted.Add(now, float64(cost))
		}
	} else {
		v.RetryAfter = b.scheduleRetry(now, float64(cost), v.PerSecond)
	}
	v.NeedsLoan = now >= b.requestedAt+LoanRequestPeriod && r.needsLoan(b, now, rate, role, zones)
	return v
}

// scheduleRetry gives a refused request a place behind those that were told to come
// back before, and returns when its units are there. All coming back at once
// would only be refused again.
func (b *bucket) scheduleRetry(now time.Duration, cost, perSecond float64) time.Duration {
	missing := cost - b.level
	if b.lastRetry > now {
		missing = cost
	}
	b.lastRetry = max(b.lastRetry, now) + time.Duration(missing/max(perSecond, minPerSecond)*float64(time.Second))
	b.lastRetry = min(b.lastRetry, now+maxRetryAfter)
	return max(b.lastRetry-now, minRetryAfter)
}

func (r *Rates) bucket(now time.Duration, rate document.Rate, role Role, zones Zones) *bucket {
	b := r.buckets[rate.Organisation]
	if b == nil {
		part := zones.cappedFraction()
		if role == FleetKeeper {
			part = 1
		}
		b = &bucket{
			level:    max(float64(rate.Burst)*part*initialBurstPercent/100, 1),
			filledAt: now,
			demand:   NewWindow(demandSpan),
			lent:     map[string]loan{},
			borrowed: map[string]loan{},
		}
		if r.tolerance.Span > 0 {
			b.granted = NewWindow(r.tolerance.Span * grantedSpanPercent / 100)
		}
		r.buckets[rate.Organisation] = b
	}
	return b
}

// unitsLeft is how many units may still be given out in this span.
func (r *Rates) unitsLeft(b *bucket, now time.Duration, rate document.Rate, zones Zones) float64 {
	if b.granted == nil {
		return math.Inf(1)
	}
	return max(r.tolerance.maxUnits(rate)*b.fraction(now, zones), 1) - b.granted.Sum(now)
}

// needsLoan tells whether the instance wants more than its zone's part may give. A
// keeper that takes over wants all at once.
func (r *Rates) needsLoan(b *bucket, now time.Duration, rate document.Rate, role Role, zones Zones) bool {
	if role == FleetKeeper && b.requestedAt == 0 {
		return true
	}
	return r.demandFraction(b, now, rate)*100 > zones.cappedFraction()*loanRequestPercent
}

// fraction is what the keeper has of the rate now, from 0 to 1.
func (b *bucket) fraction(now time.Duration, zones Zones) float64 {
	return max(zones.cappedFraction()-sumLoans(b.lent, now)+sumLoans(b.borrowed, now), 0)
}

// fill adds what came in since, and returns the keeper's part in units a second.
func (r *Rates) fill(b *bucket, now time.Duration, rate document.Rate, zones Zones) float64 {
	part := b.fraction(now, zones)
	perSecond := r.tolerance.fillRate(rate) * part
	burst := max(float64(rate.Burst)*part, 1)
	b.level = min(b.level+perSecond*(now-b.filledAt).Seconds(), burst)
	b.filledAt = now
	return perSecond
}

// demandFraction is what the keeper would like to have of the rate, from 0 to 1.
func (r *Rates) demandFraction(b *bucket, now time.Duration, rate document.Rate) float64 {
	demand := b.demand.Sum(now) / demandSpan.Seconds()
	return min(demand*demandHeadroomPercent/100/max(r.tolerance.fillRate(rate), minPerSecond), 1)
}

// LoanRequests lists what this instance lacks of the rates that it keeps, for the
// keepers in other zones, and what it returns of those that it doesn't keep any
// more.
func (r *Rates) LoanRequests(now time.Duration, rateOf func(string) (document.Rate, bool), roleOf func(string) Role, zones Zones) []LoanRequest {
	var list []LoanRequest
	for name, b := range r.buckets {
		rate, ok := rateOf(name)
		role := roleOf(name)
		request := LoanRequest{
			Organisation: name,
			Zone:         r.zone,
			FleetKeeper:  role == FleetKeeper,
			SentAt:       now,
		}
		switch {
		case !ok:
			delete(r.buckets, name)
		case role == NotKeeper:
			b.demand = NewWindow(demandSpan)
			b.requestedAt = 0
			if len(b.borrowed) > 0 {
				r.fill(b, now, rate, zones)
				clear(b.borrowed)
				b.returnedAt = now
				list = append(list, request)
			}
		case r.needsLoan(b, now, rate, role, zones):
			b.requestedAt = now
			// All, since a whole bucket refuses less than a part of one.
			request.Fraction = 1 - zones.cappedFraction()
			list = append(list, request)
		}
	}
	slices.SortFunc(list, func(a, b LoanRequest) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return list
}

// Lend answers another zone's want with what this zone doesn't need. The zone
// does without it from now on, whether the offer arrives or not.
func (r *Rates) Lend(now time.Duration, rate document.Rate, w LoanRequest, zones Zones) (LoanOffer, bool) {
	b := r.bucket(now, rate, NotKeeper, zones)
	r.fill(b, now, rate, zones)
	if w.Fraction == 0 {
		delete(b.lent, w.Zone)
		return LoanOffer{}, false
	}
	own := zones.cappedFraction()
	lent := sumLoans(b.lent, now) - b.lent[w.Zone].fraction
	kept := own * reservePercent / 100
	if w.FleetKeeper {
		kept = own * fleetReservePercent / 100
	}
	kept = max(kept, r.demandFraction(b, now, rate))
	spare := own - kept - lent
	offered := min(spare, w.Fraction)
	if offered <= 0 {
		return LoanOffer{}, false
	}
	b.lent[w.Zone] = loan{
		// The other zone may still use an earlier offer.
		fraction: max(b.lent[w.Zone].fraction, offered),
		until:    now + loanTerm + clockMargin,
	}
	return LoanOffer{
		Organisation: rate.Organisation,
		Zone:         r.zone,
		Fraction:     offered,
		SentAt:       w.SentAt,
	}, true
}

// Borrow takes an offer in.
func (r *Rates) Borrow(now time.Duration, rate document.Rate, o LoanOffer, zones Zones) {
	b := r.bucket(now, rate, NotKeeper, zones)
	if o.SentAt <= b.returnedAt || o.SentAt > now {
		return
	}
	r.fill(b, now, rate, zones)
	b.borrowed[o.Zone] = loan{
		fraction: o.Fraction,
		until:    o.SentAt + loanTerm,
	}
}
