package meter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/meter"
)

var tolerance = meter.Tolerance{
	Ratio: 0.1,
	Units: 20,
	Span:  span,
}

const span = 5 * time.Second

// bound returns what may be granted in any span.
func bound(r document.Rate) float64 {
	return (r.PerSecond*span.Seconds()+float64(r.Burst))*(1+tolerance.Ratio) + tolerance.Units
}

// fleet has one Rates in each of three zones, which exchange loans.
type fleet struct {
	rate      document.Rate
	zones     []*meter.Rates
	fractions []float64
	// keeper is the index of the zone whose Rates enforces the rate for the fleet. If
	// it is nil, each zone enforces its own fraction.
	keeper *int
	// partitioned says that the zones don't reach each other.
	partitioned bool
	// granted holds the times at which units were granted.
	granted []time.Duration
}

var names = []string{"a", "b", "c"}

func newFleet(rate document.Rate) *fleet {
	f := &fleet{
		rate:      rate,
		fractions: []float64{0.4, 0.3, 0.3},
	}
	for _, name := range names {
		f.zones = append(f.zones, meter.NewRates(name, tolerance))
	}
	return f
}

func (f *fleet) zonesSeenBy(zone int) meter.Zones {
	return meter.Zones{
		Fraction: f.fractions[zone],
		Count:    len(names),
	}
}

func (f *fleet) take(now time.Duration, zone int) meter.Decision {
	v := f.zones[zone].Take(now, f.rate, 1, f.role(zone), f.zonesSeenBy(zone))
	if v.Granted {
		f.granted = append(f.granted, now)
	}
	if v.NeedsLoan && !f.partitioned {
		f.requestLoans(now, zone)
	}
	return v
}

func (f *fleet) role(zone int) meter.Role {
	switch {
	case f.keeper == nil:
		return meter.ZoneKeeper
	case *f.keeper == zone:
		return meter.FleetKeeper
	default:
		return meter.NotKeeper
	}
}

// exchangeLoans lets all zones request loans.
func (f *fleet) exchangeLoans(now time.Duration) {
	for zone := range f.zones {
		f.requestLoans(now, zone)
	}
}

// requestLoans passes one zone's loan requests to the others, and their offers back.
func (f *fleet) requestLoans(now time.Duration, zone int) {
	rateOf := func(string) (document.Rate, bool) { return f.rate, true }
	for _, w := range f.zones[zone].LoanRequests(now, rateOf, func(string) meter.Role { return f.role(zone) }, f.zonesSeenBy(zone)) {
		for j, other := range f.zones {
			if j == zone {
				continue
			}
			if o, ok := other.Lend(now, f.rate, w, f.zonesSeenBy(j)); ok {
				f.zones[zone].Borrow(now, f.rate, o, f.zonesSeenBy(zone))
			}
		}
	}
}

// maxPerSpan returns the largest number of units that were granted in any span.
func (f *fleet) maxPerSpan() int {
	most, from := 0, 0
	for i, at := range f.granted {
		for f.granted[from] <= at-span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

func someRate(perSecond float64) document.Rate {
	return document.Rate{
		Organisation: "orchard",
		PerSecond:    perSecond,
		Burst:        int(perSecond),
	}
}

// Callers of an organisation that is over its rate move between zones, and all
// keepers restart at the same time with new buckets. No span may get more than the
// tolerance.
func TestRateHoldsInAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(someRate(rapid.Float64Range(3, 60).Draw(t, "rate")))
		restart := time.Duration(rapid.IntRange(3000, 9000).Draw(t, "restart")) * time.Millisecond
		weights := rapid.SliceOfN(rapid.IntRange(1, 10), 3, 3).Draw(t, "weights")
		restarted := false
		for now := time.Second; now < 14*time.Second; now += 10 * time.Millisecond {
			if now >= restart && !restarted {
				restarted = true
				f.zones = newFleet(f.rate).zones
			}
			for zone, w := range weights {
				for range w {
					f.take(now, zone)
				}
			}
			if now%meter.LoanRequestPeriod == 0 {
				f.exchangeLoans(now)
			}
		}
		if most := f.maxPerSpan(); float64(most) > bound(f.rate) {
			t.Fatalf("granted %d in a span, %.1f allowed", most, bound(f.rate))
		}
	})
}

// Some instances of a zone can't reach the keeper, so the zone has two for a while
// and both grant the zone's fraction.
func TestRateHoldsWhileTwoKeepersDisagree(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []float64{5, 10, 20, 30, 48, 60} {
		f := newFleet(someRate(perSecond))
		second := meter.NewRates(names[0], tolerance)
		for now := time.Second; now < 14*time.Second; now += 10 * time.Millisecond {
			for zone := range names {
				for range 3 {
					f.take(now, zone)
				}
			}
			if now >= 5*time.Second && now < 6500*time.Millisecond {
				if second.Take(now, f.rate, 1, meter.ZoneKeeper, f.zonesSeenBy(0)).Granted {
					f.granted = append(f.granted, now)
				}
			}
			if now%meter.LoanRequestPeriod == 0 {
				f.exchangeLoans(now)
			}
		}
		t.Logf("%g a second: %d in a span, %.1f allowed", perSecond, f.maxPerSpan(), bound(f.rate))
		is.True(float64(f.maxPerSpan()) <= bound(f.rate))
	}
}

// Load: an organisation that has used half of its rate asks several times as much. Some seconds later
// the keeper of the rate and the next instance in its zone are killed and start again at the same
// moment. Until they know each
// other, each is asked as the keeper. Guards against new
// buckets that together exceed the tolerance.
func TestRateHoldsWhenTheKeeperAndTheNextStartAgain(t *testing.T) {
	const (
		killedAt     = 8 * time.Second
		risesAt      = killedAt - 3*time.Second
		disagreement = 250 * time.Millisecond
	)
	for _, downtime := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
		for _, perSecond := range []float64{5, 10, 20, 30, 48, 60, 80, 120} {
			t.Run(fmt.Sprint(perSecond, " a second, back after ", downtime), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(someRate(perSecond))
				keeper := 0
				f.keeper = &keeper
				startedAt := killedAt + downtime
				restart := func() *meter.Rates {
					r := meter.NewRates(names[0], tolerance)
					r.JoinRunningFleet(startedAt)
					return r
				}
				var next *meter.Rates
				usual := 0.0
				for now := time.Second; now < 16*time.Second; now += 10 * time.Millisecond {
					down := now >= killedAt && now < startedAt
					if now == startedAt {
						f.zones[0], next = restart(), restart()
					}
					wanted := 8
					if now < risesAt {
						wanted = 0
						if usual += perSecond / 2 * 0.01; usual >= 1 {
							usual--
							wanted = 1
						}
					}
					for range wanted {
						if !down {
							f.take(now, 0)
						}
						if now >= startedAt && now < startedAt+disagreement {
							if next.Take(now, f.rate, 1, meter.FleetKeeper, f.zonesSeenBy(0)).Granted {
								f.granted = append(f.granted, now)
							}
						}
					}
					if !down && now%meter.LoanRequestPeriod == 0 {
						f.requestLoans(now, 0)
					}
				}
				t.Logf("%d in a span, %.1f allowed", f.maxPerSpan(), bound(f.rate))
				is.True(float64(f.maxPerSpan()) <= bound(f.rate))
			})
		}
	}
}

// An organisation goes over its rate in all zones at once, between two loan
// requests, which the zones don't send at the same time. Soon after, instances that
// were cut off come back, and other instances become the keepers.
func TestRateHoldsWhenDemandRisesInAllZones(t *testing.T) {
	is := is.New(t)
	f := newFleet(someRate(48))
	const risesAt = 8 * time.Second
	for now := time.Second; now < 16*time.Second; now += 10 * time.Millisecond {
		for zone, name := range names {
			if now == risesAt+time.Duration(zone+1)*time.Second {
				f.zones[zone] = meter.NewRates(name, tolerance)
			}
			if now%(100*time.Millisecond) == 0 {
				f.take(now, zone)
			}
			if now >= risesAt {
				f.take(now, zone)
			}
			if (now+time.Duration(zone)*100*time.Millisecond)%meter.LoanRequestPeriod == 0 {
				f.requestLoans(now, zone)
			}
		}
	}
	t.Logf("%d in a span, %.1f allowed", f.maxPerSpan(), bound(f.rate))
	is.True(float64(f.maxPerSpan()) <= bound(f.rate))
}

// An organisation asks eight times its rate for a while, and its callers come back
// after RetryAfter. If all were given the same time, most would be refused again.
func TestRetryAfterIsStaggered(t *testing.T) {
	is := is.New(t)
	f := newFleet(someRate(48))
	f.partitioned = true
	now := time.Second
	for f.take(now, 0).Granted {
	}
	var last time.Duration
	var retryTimes []time.Duration
	for range 20 {
		v := f.take(now, 0)
		is.True(!v.Granted)
		is.True(v.RetryAfter >= last) // later callers get later times
		last = v.RetryAfter
		retryTimes = append(retryTimes, now+v.RetryAfter)
	}
	// 20 units of the zone's part, 0.4: not sooner than all that is allowed in a
	// span would bring them, nor later than 48 a second.
	is.True(last.Seconds() > 20/(0.4*bound(f.rate)/span.Seconds()))
	is.True(last.Seconds() < 1.05*20/(0.4*f.rate.PerSecond))
	for _, at := range retryTimes {
		is.True(f.take(at, 0).Granted) // a caller that waits for RetryAfter is served
	}
}

// Organisations use the zones unequally, but stay within their rate over the whole
// fleet. Next to nothing may be refused.
func TestOrganisationWithinItsRateIsHardlyRefused(t *testing.T) {
	tests := []struct {
		name    string
		rate    document.Rate
		periods []time.Duration
	}{
		{
			name:    "even",
			rate:    someRate(9),
			periods: []time.Duration{500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond},
		},
		{
			name:    "nearly all in one zone",
			rate:    someRate(16),
			periods: []time.Duration{80 * time.Millisecond, 2 * time.Second, 2 * time.Second},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(tt.rate)
			asked, refused := 0, 0
			for now := 20 * time.Second; now < 50*time.Second; now += 10 * time.Millisecond {
				for zone, period := range tt.periods {
					if now%period != 0 {
						continue
					}
					asked++
					if !f.take(now, zone).Granted {
						refused++
					}
				}
				if now%meter.LoanRequestPeriod == 0 {
					f.exchangeLoans(now)
				}
			}
			t.Logf("%d of %d refused", refused, asked)
			is.True(refused*100 <= asked) // one in a hundred
		})
	}
}

// An organisation stays at one and a half times its rate, with all requests at the
// fleet's keeper. In each span it must get what its rate and burst allow.
func TestOrganisationOverItsRateGetsItsSpan(t *testing.T) {
	for _, perSecond := range []float64{6, 39, 60} {
		is := is.New(t)
		f := newFleet(someRate(perSecond))
		f.keeper = new(int)
		const from, until = 10 * time.Second, 40 * time.Second
		gap := time.Duration(float64(time.Second) / (1.5 * perSecond))
		exchange := time.Duration(0)
		for now := from; now < until; now += gap {
			f.take(now, 0)
			if now >= exchange {
				exchange = now + meter.LoanRequestPeriod
				f.exchangeLoans(now)
			}
		}
		allowed := (f.rate.PerSecond + float64(f.rate.Burst)/span.Seconds()) * (until - from).Seconds()
		t.Logf("%g a second: %d granted, %.0f allowed, %d in a span", perSecond, len(f.granted), allowed, f.maxPerSpan())
		// A little stays with the other zones, and a little is lost to the window's
		// slots.
		is.True(float64(len(f.granted)) > 0.9*allowed)
		is.True(float64(f.maxPerSpan()) <= bound(f.rate))
	}
}

// A member joins or leaves, and an instance of another zone becomes the keeper of an
// organisation that stays at nine tenths of its rate. The old keeper must return
// what it borrowed, or the new one refuses requests until the loans end.
func TestKeeperMovesToAnotherZone(t *testing.T) {
	is := is.New(t)
	f := newFleet(someRate(10))
	const moves = 10 * time.Second
	keeper, refused := 0, 0
	f.keeper = &keeper
	for now := time.Second; now < 20*time.Second; now += 10 * time.Millisecond {
		if now == moves {
			keeper = 1
			f.exchangeLoans(now) // instances send loan requests when their members change
		}
		if now%(110*time.Millisecond) == 0 && !f.take(now, keeper).Granted && now >= moves {
			refused++
		}
		if now%meter.LoanRequestPeriod == 0 {
			f.exchangeLoans(now)
		}
	}
	t.Logf("%d refused", refused)
	is.True(refused <= 1) // of 90: one in a hundred
	is.True(float64(f.maxPerSpan()) <= bound(f.rate))
}
