package meter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/meter"
)

// An organisation that is over its rate calls 32 instances. Then a third of them
// reach no keeper, as when their machines or their zone's keeper are cut off from
// all others. Each enforces its share alone, and the fleet must not grant more than
// the tolerance.
func TestRateHoldsWithCutOffInstances(t *testing.T) {
	for _, perSecond := range []float64{5, 13, 30, 48} {
		is := is.New(t)
		f := newFleet(someRate(perSecond))
		f.keeper = new(int)
		const instances, cutOff = 32, 11
		const cutOffAt = 10 * time.Second
		local := make([]*meter.LocalRates, instances)
		for i := range local {
			local[i] = meter.NewLocalRates()
		}
		for n := 0; n < 20*instances*10; n++ {
			now := time.Second + time.Duration(n)*time.Second/(10*instances)
			a := local[n%instances]
			if n%instances < cutOff && now >= cutOffAt {
				if a.Take(now, f.rate, 1, instances).Granted {
					f.granted = append(f.granted, now)
				}
				continue
			}
			a.RecordDecision(now, f.rate.Organisation, f.take(now, 0).Granted)
			if n%(3*instances) == 0 {
				f.exchangeLoans(now)
			}
		}
		t.Logf("%g a second: %d in a span, %.1f allowed", perSecond, f.maxPerSpan(), bound(f.rate))
		is.True(float64(f.maxPerSpan()) <= bound(f.rate))
	}
}

// An organisation within its rate is still served by an instance that reaches no
// keeper.
func TestOrganisationWithinItsRateIsServedWithoutAKeeper(t *testing.T) {
	is := is.New(t)
	a := meter.NewLocalRates()
	rate := someRate(64)
	a.RecordDecision(time.Second, rate.Organisation, true)
	refused := 0
	for i := range 10 {
		if !a.Take(2*time.Second+time.Duration(i)*time.Second, rate, 1, 32).Granted {
			refused++
		}
	}
	is.Equal(refused, 0)
	// After a refusal it gets nothing for a while, and then its share again.
	a.RecordDecision(20*time.Second, rate.Organisation, false)
	v := a.Take(21*time.Second, rate, 1, 32)
	is.True(!v.Granted)
	is.True(a.Take(21*time.Second+v.RetryAfter, rate, 1, 32).Granted)
}
