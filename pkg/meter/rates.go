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
	loanTerm  = 3 * LoanRequestPeriod
	loanSlack = 50 * time.Millisecond
	// headroomPercent of a keeper's demand is what it wants, and what it keeps
	// before it lends: enough for a burst until the next ask.
	headroomPercent = 200
	// busyPercent of its part, if wanted, makes a keeper ask the other zones.
	busyPercent = 60
	// keptPercent of its part is never lent, for the first requests there.
	// Requests seldom go there while there is a keeper to lend to.
	keptPercent         = 20
	keptOfKeeperPercent = 2
	// startPercent of its burst is in a fresh bucket: a restarted one doesn't
	// know what its predecessor gave out.
	startPercent = 30
	// startLeast is what fresh buckets in three zones hold at least, in units.
	startLeast = 3
	// doubtTime of a whole rate is kept back for keepers that disagree: a zone's
	// part, a third of all, given out twice until a silent keeper is asked again.
	doubtTime = 600 * time.Millisecond
	// spanPercent of the tolerance's span is looked back over: a Window sees up to a
	// fortieth less, and requests reach their targets a little later or earlier.
	spanPercent = 103
	// partMost times its even part is the most of a rate that a zone takes for
	// its own when it has heard of few instances, as after a start.
	partMost = 1.3
	// leastPerSecond keeps waits finite, in units a second.
	leastPerSecond = 0.01
	// waitLeast and waitMost bound Retry-After.
	waitLeast = 200 * time.Millisecond
	waitMost  = 5 * time.Second
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

// most is how many units are given out in a span: what the rate and the burst
// allow, and of what is tolerated all but what a second keeper that starts afresh
// would give out. It is asked for only where a span is set.
func (t Tolerance) most(r document.Rate) float64 {
	span := t.Span.Seconds()
	allowed := r.PerSecond*span + float64(r.Burst)
	spent := allowed*(1+t.Ratio) + t.Units - float64(r.Burst)*startPercent/100 - startLeast
	return max(allowed, spent*span/(t.Span+doubtTime).Seconds())
}

// perSecond is how fast a bucket is filled, so that an organisation that stays
// over its rate gets its span's units evenly.
func (t Tolerance) perSecond(r document.Rate) float64 {
	if t.Span == 0 {
		return r.PerSecond
	}
	return t.most(r) / t.Span.Seconds()
}

// bucket is what the instance has of one organisation's rate.
type bucket struct {
	level  float64
	filled time.Duration
	demand *Window
	// given counts the units given out over the tolerance's span; nil without one.
	given *Window
	// due is when the last of those that were told to come back is due.
	due time.Duration
	// told is when the other zones were last told what is wanted; zero if they
	// weren't since this instance became the keeper.
	told time.Duration
	// lent and borrowed are parts by the other zone.
	lent     map[string]loan
	borrowed map[string]loan
	// returned is when all that was borrowed was returned: offers that answer
	// earlier wants are void.
	returned time.Duration
}

// loan is a part of a rate, from 0 to 1, until a time.
type loan struct {
	part  float64
	until time.Duration
}

func sum(loans map[string]loan, now time.Duration) float64 {
	all := 0.0
	for zone, l := range loans {
		if now >= l.until {
			delete(loans, zone)
			continue
		}
		all += l.part
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

// part is the zone's part as far as it can be trusted.
func (z Zones) part() float64 {
	return min(z.Fraction, partMost/float64(max(z.Count, 1)))
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
		Granted:   b.level >= float64(cost) && r.room(b, now, rate, zones) >= float64(cost),
	}
	if v.Granted {
		b.level -= float64(cost)
		if b.given != nil {
			b.given.Add(now, float64(cost))
		}
	} else {
		v.RetryAfter = b.queue(now, float64(cost), v.PerSecond)
	}
	v.NeedsLoan = now >= b.told+LoanRequestPeriod && r.short(b, now, rate, role, zones)
	return v
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

func (r *Rates) bucket(now time.Duration, rate document.Rate, role Role, zones Zones) *bucket {
	b := r.buckets[rate.Organisation]
	if b == nil {
		part := zones.part()
		if role == FleetKeeper {
			part = 1
		}
		b = &bucket{
			level:    max(float64(rate.Burst)*part*startPercent/100, 1),
			filled:   now,
			demand:   NewWindow(demandSpan),
			lent:     map[string]loan{},
			borrowed: map[string]loan{},
		}
		if r.tolerance.Span > 0 {
			b.given = NewWindow(r.tolerance.Span * spanPercent / 100)
		}
		r.buckets[rate.Organisation] = b
	}
	return b
}

// room is how many units may still be given out in this span.
func (r *Rates) room(b *bucket, now time.Duration, rate document.Rate, zones Zones) float64 {
	if b.given == nil {
		return math.Inf(1)
	}
	return max(r.tolerance.most(rate)*b.part(now, zones), 1) - b.given.Sum(now)
}

// short tells whether the instance wants more than its zone's part may give. A
// keeper that takes over wants all at once.
func (r *Rates) short(b *bucket, now time.Duration, rate document.Rate, role Role, zones Zones) bool {
	if role == FleetKeeper && b.told == 0 {
		return true
	}
	return r.wanted(b, now, rate)*100 > zones.part()*busyPercent
}

// part is what the keeper has of the rate now, from 0 to 1.
func (b *bucket) part(now time.Duration, zones Zones) float64 {
	return max(zones.part()-sum(b.lent, now)+sum(b.borrowed, now), 0)
}

// fill adds what came in since, and returns the keeper's part in units a second.
func (r *Rates) fill(b *bucket, now time.Duration, rate document.Rate, zones Zones) float64 {
	part := b.part(now, zones)
	perSecond := r.tolerance.perSecond(rate) * part
	burst := max(float64(rate.Burst)*part, 1)
	b.level = min(b.level+perSecond*(now-b.filled).Seconds(), burst)
	b.filled = now
	return perSecond
}

// wanted is what the keeper would like to have of the rate, from 0 to 1.
func (r *Rates) wanted(b *bucket, now time.Duration, rate document.Rate) float64 {
	demand := b.demand.Sum(now) / demandSpan.Seconds()
	return min(demand*headroomPercent/100/max(r.tolerance.perSecond(rate), leastPerSecond), 1)
}

// LoanRequests lists what this instance lacks of the rates that it keeps, for the
// keepers in other zones, and what it returns of those that it doesn't keep any
// more.
func (r *Rates) LoanRequests(now time.Duration, rateOf func(string) (document.Rate, bool), roleOf func(string) Role, zones Zones) []LoanRequest {
	var list []LoanRequest
	for name, b := range r.buckets {
		rate, ok := rateOf(name)
		role := roleOf(name)
		want := LoanRequest{
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
			b.told = 0
			if len(b.borrowed) > 0 {
				r.fill(b, now, rate, zones)
				clear(b.borrowed)
				b.returned = now
				list = append(list, want)
			}
		case r.short(b, now, rate, role, zones):
			b.told = now
			// All, since a whole bucket refuses less than a part of one.
			want.Fraction = 1 - zones.part()
			list = append(list, want)
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
	own := zones.part()
	lent := sum(b.lent, now) - b.lent[w.Zone].part
	kept := own * keptPercent / 100
	if w.FleetKeeper {
		kept = own * keptOfKeeperPercent / 100
	}
	kept = max(kept, r.wanted(b, now, rate))
	spare := own - kept - lent
	offered := min(spare, w.Fraction)
	if offered <= 0 {
		return LoanOffer{}, false
	}
	b.lent[w.Zone] = loan{
		// The other zone may still use an earlier offer.
		part:  max(b.lent[w.Zone].part, offered),
		until: now + loanTerm + loanSlack,
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
	if o.SentAt <= b.returned || o.SentAt > now {
		return
	}
	r.fill(b, now, rate, zones)
	b.borrowed[o.Zone] = loan{
		part:  o.Fraction,
		until: o.SentAt + loanTerm,
	}
}
