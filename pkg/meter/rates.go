package meter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dandelionmux/pkg/document"
)

// LoanRequestPeriod is the time between two loan requests of a busy zone. It is
// short enough that a burst of one second can use the other zones' unused fractions.
const LoanRequestPeriod = 300 * time.Millisecond

// Parameters of Rates.
const (
	// demandSpan is the time over which a zone's demand is measured: long enough to
	// see a few requests of a small organisation, short enough to follow a burst.
	demandSpan = 2 * time.Second
	// loanTerm is how long a borrower uses a loan, counted from when it sent the
	// request. The lender does without the fraction for loanTerm plus clockMargin,
	// counted from when it receives the request, in case its clock is the faster one.
	loanTerm    = 3 * LoanRequestPeriod
	clockMargin = 50 * time.Millisecond
	// demandHeadroomPercent of its demand is what a zone counts as its need and keeps
	// before it lends: enough for a burst until the next loan request.
	demandHeadroomPercent = 200
	// loanRequestPercent of its zone's fraction is the need above which a keeper
	// requests loans from the other zones.
	loanRequestPercent = 60
	// reservePercent of a zone's fraction is never lent, so that the first requests
	// there are served. If the borrower is the keeper of the whole fleet, requests
	// seldom go to the lender, and it reserves only fleetReservePercent.
	reservePercent      = 20
	fleetReservePercent = 2
	// initialBurstPercent of the burst is in a new bucket: a restarted instance
	// doesn't know what its predecessor granted.
	initialBurstPercent = 30
	// restartBurstPercent is in the new buckets of an instance that has started lately among
	// others that had been running. Several may have started at the same moment, each taking
	// itself for the keeper until it knows the others.
	restartBurstPercent = 8
	// minInitialUnits is the least number of units that the new buckets of three zones
	// hold together: each holds at least one.
	minInitialUnits = 3
	// disagreementTime lowers maxUnits: the units of this time at the full rate are
	// held back. While instances disagree about the keeper, until an unresponsive
	// keeper is asked again, one zone's fraction, a third of the rate, may be granted
	// twice.
	disagreementTime = 600 * time.Millisecond
	// grantedSpanPercent of the tolerance's span is the time over which granted units
	// are counted. A Window covers up to a fortieth less than its span, and requests
	// reach their targets a little later or earlier than they were granted.
	grantedSpanPercent = 103
	// maxFractionFactor times an even split is the most of a rate that a zone takes as
	// its own when it knows only a few instances, as after a start.
	maxFractionFactor = 1.3
)

// Rates enforces organisations' rates on one instance: the fraction of its zone, and
// what it borrows from other zones. It is not safe for concurrent use.
type Rates struct {
	zone      string
	tolerance Tolerance
	buckets   map[string]*bucket
	// restartedUntil is until when new buckets hold restartBurstPercent, and none is filled
	// faster than the rate: what predecessors have granted in this span isn't known.
	restartedUntil time.Duration
}

// Tolerance bounds what the fleet may grant beyond an organisation's rate. Let A be
// the units of the rate in a Span plus the burst. In any Span at most A·(1 + Ratio)
// + Units are granted.
type Tolerance struct {
	Ratio float64
	Units float64
	// Span is zero if nothing beyond the rate is tolerated.
	Span time.Duration
}

// maxUnits returns the most units that are granted in a span: what the rate and the
// burst allow, and the tolerance less what a second keeper with a new bucket would
// grant. Span must not be zero.
func (t Tolerance) maxUnits(r document.Rate) float64 {
	span := t.Span.Seconds()
	allowed := r.PerSecond*span + float64(r.Burst)
	tolerated := allowed*(1+t.Ratio) + t.Units - float64(r.Burst)*initialBurstPercent/100 - minInitialUnits
	return max(allowed, tolerated*span/(t.Span+disagreementTime).Seconds())
}

// fillRate returns how fast a bucket is filled, in units a second. An organisation
// that stays over its rate then gets the units of each span evenly.
func (t Tolerance) fillRate(r document.Rate) float64 {
	if t.Span == 0 {
		return r.PerSecond
	}
	return t.maxUnits(r) / t.Span.Seconds()
}

// bucket is an instance's token bucket for one organisation's rate.
type bucket struct {
	tokens
	demand *Window
	// granted counts the units granted over the tolerance's span. It is nil if the
	// span is zero.
	granted *Window
	// requestedAt is when loans were last requested from the other zones. It is zero
	// if none were since this instance became a keeper.
	requestedAt time.Duration
	// lent and borrowed hold the loans by the other zone's name.
	lent     map[string]loan
	borrowed map[string]loan
	// returnedAt is when everything borrowed was last returned. Offers that answer
	// requests sent before then are ignored.
	returnedAt time.Duration
}

// loan is a fraction of a rate, from 0 to 1, that is lent until a time.
type loan struct {
	fraction float64
	until    time.Duration
}

// sumLoans returns the total fraction of the loans and deletes those that have
// ended.
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

// Zones says how the instances are spread over the zones, as one instance sees it.
type Zones struct {
	// Fraction is this zone's share of all instances, from 0 to 1. Instances of the
	// zone that this instance doesn't hear from aren't counted: they may be cut off
	// and use their share themselves.
	Fraction float64
	// Count is the number of zones.
	Count int
}

// cappedFraction returns the zone's fraction, limited to maxFractionFactor times an
// even split.
func (z Zones) cappedFraction() float64 {
	return min(z.Fraction, maxFractionFactor/float64(max(z.Count, 1)))
}

// Role is an instance's part in enforcing one organisation's rate.
type Role int

// Values of Role.
const (
	// NotKeeper means that another instance enforces the rate.
	NotKeeper Role = iota
	// ZoneKeeper means that the instance enforces its zone's fraction while the
	// fleet's keeper is unresponsive.
	ZoneKeeper
	// FleetKeeper means that the instance enforces the rate for the whole fleet.
	FleetKeeper
)

// Decision is the answer to one request for units.
type Decision struct {
	Granted bool
	// RetryAfter is how long until the units will be available, if none were granted.
	RetryAfter time.Duration
	// NeedsLoan says that the zone's fraction may not be enough and that no loans were
	// requested within the last LoanRequestPeriod. The keeper should send its loan
	// requests now.
	NeedsLoan bool
	// PerSecond is the rate at which the deciding bucket is filled, in units a second,
	// and Level the units that it held. Both are for logs.
	PerSecond float64
	Level     float64
}

// LoanRequest asks another zone to lend up to a fraction of an organisation's rate,
// from 0 to 1. A request for 0 returns what was borrowed.
type LoanRequest struct {
	Organisation string
	Zone         string
	Fraction     float64
	// FleetKeeper says that the borrower enforces the rate for the whole fleet, so
	// requests of all zones go to it.
	FleetKeeper bool
	// SentAt is when the request was sent, on the borrower's clock.
	SentAt time.Duration
}

// LoanOffer lends another zone a fraction of an organisation's rate, from 0 to 1.
type LoanOffer struct {
	Organisation string
	// Zone is the lender.
	Zone     string
	Fraction float64
	// SentAt is copied from the request. The loan's term counts from then.
	SentAt time.Duration
}

// NewRates returns Rates without buckets for an instance in the zone.
func NewRates(zone string, t Tolerance) *Rates {
	return &Rates{
		zone:      zone,
		tolerance: t,
		buckets:   map[string]*bucket{},
	}
}

// JoinRunningFleet says that this instance has started at a time when others had been running.
func (r *Rates) JoinRunningFleet(startedAt time.Duration) {
	r.restartedUntil = startedAt + r.tolerance.Span
}

// Take takes the cost of a request from its organisation's rate, if there is enough.
func (r *Rates) Take(now time.Duration, rate document.Rate, cost int, role Role, zones Zones) Decision {
	b := r.bucket(now, rate, role, zones)
	b.demand.Add(now, float64(cost))
	decision := Decision{
		PerSecond: r.fill(b, now, rate, zones),
		Level:     b.level,
		Granted:   b.level >= float64(cost) && r.unitsLeft(b, now, rate, zones) >= float64(cost),
	}
	if decision.Granted {
		b.level -= float64(cost)
		if b.granted != nil {
			b.granted.Add(now, float64(cost))
		}
	} else {
		decision.RetryAfter = b.scheduleRetry(now, float64(cost), decision.PerSecond)
	}
	decision.NeedsLoan = now >= b.requestedAt+LoanRequestPeriod && r.needsLoan(b, now, rate, role, zones)
	return decision
}

// bucket returns the organisation's bucket and creates it on first use.
func (r *Rates) bucket(now time.Duration, rate document.Rate, role Role, zones Zones) *bucket {
	b := r.buckets[rate.Organisation]
	if b == nil {
		part := zones.cappedFraction()
		if role == FleetKeeper {
			part = 1
		}
		percent := initialBurstPercent
		if now < r.restartedUntil {
			percent = restartBurstPercent
		}
		b = &bucket{
			tokens: tokens{
				level:    max(float64(rate.Burst)*part*float64(percent)/100, 1),
				filledAt: now,
			},
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

// unitsLeft returns how many units may still be granted in this span.
func (r *Rates) unitsLeft(b *bucket, now time.Duration, rate document.Rate, zones Zones) float64 {
	if b.granted == nil {
		return math.Inf(1)
	}
	return max(r.tolerance.maxUnits(rate)*b.fraction(now, zones), 1) - b.granted.Sum(now)
}

// needsLoan reports whether the zone's fraction may not meet the demand. An instance
// that has just become the fleet's keeper requests everything at once.
func (r *Rates) needsLoan(b *bucket, now time.Duration, rate document.Rate, role Role, zones Zones) bool {
	if role == FleetKeeper && b.requestedAt == 0 {
		return true
	}
	return r.demandFraction(b, now, rate)*100 > zones.cappedFraction()*loanRequestPercent
}

// fraction returns the fraction of the rate that the zone holds now, from 0 to 1.
func (b *bucket) fraction(now time.Duration, zones Zones) float64 {
	return max(zones.cappedFraction()-sumLoans(b.lent, now)+sumLoans(b.borrowed, now), 0)
}

// fill adds the units that came in since the last call, and returns the fill rate in
// units a second.
func (r *Rates) fill(b *bucket, now time.Duration, rate document.Rate, zones Zones) float64 {
	part := b.fraction(now, zones)
	perSecond := r.tolerance.fillRate(rate) * part
	if now < r.restartedUntil {
		perSecond = rate.PerSecond * part
	}
	b.fill(now, perSecond, max(float64(rate.Burst)*part, 1))
	return perSecond
}

// demandFraction returns the fraction of the rate that covers the demand with
// headroom, from 0 to 1.
func (r *Rates) demandFraction(b *bucket, now time.Duration, rate document.Rate) float64 {
	demand := b.demand.Sum(now) / demandSpan.Seconds()
	return min(demand*demandHeadroomPercent/100/max(r.tolerance.fillRate(rate), minPerSecond), 1)
}

// LoanRequests lists the loan requests to send to the keepers in other zones: for
// the rates that this instance enforces and whose fraction is not enough, and with 0
// for those that it borrowed and doesn't enforce any more.
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
			// Everything, since a whole bucket refuses fewer requests than a partial one.
			request.Fraction = 1 - zones.cappedFraction()
			list = append(list, request)
		}
	}
	slices.SortFunc(list, func(a, b LoanRequest) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return list
}

// Lend answers another zone's loan request with what this zone doesn't need. The
// zone stops using that fraction at once, whether the offer arrives or not. A request
// for 0 ends the loan. The result is false if nothing is lent.
func (r *Rates) Lend(now time.Duration, rate document.Rate, request LoanRequest, zones Zones) (LoanOffer, bool) {
	b := r.bucket(now, rate, NotKeeper, zones)
	r.fill(b, now, rate, zones)
	if request.Fraction == 0 {
		delete(b.lent, request.Zone)
		return LoanOffer{}, false
	}
	own := zones.cappedFraction()
	lent := sumLoans(b.lent, now) - b.lent[request.Zone].fraction
	kept := own * reservePercent / 100
	if request.FleetKeeper {
		kept = own * fleetReservePercent / 100
	}
	kept = max(kept, r.demandFraction(b, now, rate))
	spare := own - kept - lent
	offered := min(spare, request.Fraction)
	if offered <= 0 {
		return LoanOffer{}, false
	}
	b.lent[request.Zone] = loan{
		// The other zone may still use an earlier offer.
		fraction: max(b.lent[request.Zone].fraction, offered),
		until:    now + loanTerm + clockMargin,
	}
	return LoanOffer{
		Organisation: rate.Organisation,
		Zone:         r.zone,
		Fraction:     offered,
		SentAt:       request.SentAt,
	}, true
}

// Borrow takes in an offer. It ignores offers that answer requests sent before the
// last return, or in the future.
func (r *Rates) Borrow(now time.Duration, rate document.Rate, offer LoanOffer, zones Zones) {
	b := r.bucket(now, rate, NotKeeper, zones)
	if offer.SentAt <= b.returnedAt || offer.SentAt > now {
		return
	}
	r.fill(b, now, rate, zones)
	b.borrowed[offer.Zone] = loan{
		fraction: offer.Fraction,
		until:    offer.SentAt + loanTerm,
	}
}
