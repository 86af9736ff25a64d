package meter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/meter"
)

// zonedBudgets are the retry budgets of a service in three zones, each with a keeper.
type zonedBudgets struct {
	settings meter.BudgetSettings
	names    []string
	budgets  map[string]*meter.Budget
	lenders  map[string]*meter.Lenders
	refused  int
}

func newZonedBudgets() *zonedBudgets {
	z := &zonedBudgets{
		settings: meter.BudgetSettings{
			Ratio: 0.2,
			Base:  60,
			Span:  10 * time.Second,
		},
		names:   []string{"a", "b", "c"},
		budgets: map[string]*meter.Budget{},
		lenders: map[string]*meter.Lenders{},
	}
	for _, name := range z.names {
		z.budgets[name] = meter.NewBudget(-time.Minute, z.settings)
		z.lenders[name] = meter.NewLenders()
	}
	return z
}

func (z *zonedBudgets) take(now time.Duration, zone string, begun int) bool {
	return z.budgets[zone].Take(now, "desk", meter.Begun{
		Requests: begun,
	}, meter.Zones{
		Fraction: 1.0 / 3,
		Count:    3,
	}).Granted
}

// borrow asks the other zones for a retry of a zone.
func (z *zonedBudgets) borrow(now time.Duration, zone string) bool {
	var others []string
	for _, name := range z.names {
		if name != zone {
			others = append(others, name)
		}
	}
	for range meter.MaxLenders {
		other, ok := z.lenders[zone].Choose(now, "desk", others)
		if !ok {
			return false
		}
		if z.take(now, other, 0) {
			return true
		}
		z.refused++
		z.lenders[zone].Refused(now, "desk", other)
	}
	return false
}

// Load: targets stop answering the reads of one zone for ten seconds. Guards against reads
// that wait for a retry although other zones' budgets are unused, and against zones that
// together grant more than the fleet may make.
func TestZoneInTroubleUsesRetriesOfOthers(t *testing.T) {
	const (
		perSecond = 8
		seconds   = 10
	)
	tests := []struct {
		name string
		// wanted is the number of retries that each zone wants in a second.
		wanted map[string]int
		// granted is the least part of those of zone a that is granted, in percent.
		granted int
	}{
		{
			name:    "one zone in trouble",
			wanted:  map[string]int{"a": 5},
			granted: 90,
		},
		{
			name:    "one zone in trouble, the others less",
			wanted:  map[string]int{"a": 5, "b": 1, "c": 1},
			granted: 80,
		},
		{
			name:    "all zones in trouble",
			wanted:  map[string]int{"a": 8, "b": 8, "c": 8},
			granted: 20,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			z := newZonedBudgets()
			all, granted, wanted := 0, 0, 0
			for second := range seconds {
				for i := range 10 {
					now := time.Duration(second)*time.Second + time.Duration(i)*100*time.Millisecond
					for _, zone := range z.names {
						if i >= tt.wanted[zone] {
							continue
						}
						begun := 0
						if i == 0 {
							begun = perSecond
						}
						ok := z.take(now, zone, begun) || z.borrow(now, zone)
						if ok {
							all++
						}
						if zone == "a" {
							wanted++
							if ok {
								granted++
							}
						}
					}
				}
			}
			bound := z.settings.Ratio*perSecond*seconds*float64(len(z.names)) + z.settings.Base
			is.True(float64(all) <= bound)
			is.True(granted*100 >= tt.granted*wanted)
		})
	}
}

// Guards against a message to each other zone for each retry while nobody has any left.
func TestZonesThatRefuseAreLeftAlone(t *testing.T) {
	is := is.New(t)
	z := newZonedBudgets()
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		if !z.take(now, "a", 0) {
			z.borrow(now, "a")
		}
	}
	is.True(z.refused > 0)
	is.True(z.refused <= 2*2*10) // two zones, twice a second
}

// lendingFleet simulates zones that lend each other retries while their keepers change.
type lendingFleet struct {
	zones   []*zone
	lenders []*meter.Lenders
	// cutOff are the zones that no other reaches.
	cutOff []bool
	random *rand.Rand
	// retries are the times of those that were made.
	retries []time.Duration
}

func newLendingFleet(seed uint64, zones, size int) *lendingFleet {
	f := &lendingFleet{
		cutOff: make([]bool, zones),
		random: rand.New(rand.NewPCG(seed, 0)),
	}
	for i := range zones {
		f.zones = append(f.zones, newZone(fmt.Sprintf("zone%d", i), size, meter.Zones{
			Fraction: 1 / float64(zones),
			Count:    zones,
		}))
		f.lenders = append(f.lenders, meter.NewLenders())
	}
	return f
}

// retry asks for a retry in a zone: its own keeper, then those of other zones. An answer may
// come too late; then the next one is asked.
func (f *lendingFleet) retry(now time.Duration, z, begun int, late float64) {
	if f.zones[z].take(now, begun) && f.random.Float64() >= late {
		f.retries = append(f.retries, now)
		return
	}
	var others []string
	for i := range f.zones {
		if i != z {
			others = append(others, fmt.Sprint(i))
		}
	}
	for range meter.MaxLenders {
		lender, ok := f.lenders[z].Choose(now, "desk", others)
		if !ok {
			return
		}
		i := slices.IndexFunc(f.zones, func(other *zone) bool { return other.members[0].Zone == "zone"+lender })
		reached := !f.cutOff[z] && !f.cutOff[i]
		if reached && f.zones[i].take(now, 0) && f.random.Float64() >= late {
			f.retries = append(f.retries, now)
			return
		}
		f.lenders[z].Refused(now, "desk", lender)
	}
}

// Load: all zones want more retries than there are, and borrow from each other. Guards against
// zones that together grant more than the fleet may make, while keepers are restarted, a whole
// zone is restarted or cut off, and answers of keepers come too late.
func TestLentRetriesStayWithinTheBound(t *testing.T) {
	const (
		zones    = 3
		size     = 4
		duration = 40 * time.Second
		seeds    = 4
	)
	tests := []struct {
		name string
		// late is the fraction of answers that come too late.
		late   float64
		change func(f *lendingFleet, now time.Duration)
	}{
		{
			name:   "nothing changes",
			change: func(*lendingFleet, time.Duration) {},
		},
		{
			name:   "a third of the answers are late",
			late:   1.0 / 3,
			change: func(*lendingFleet, time.Duration) {},
		},
		{
			name: "the keeper of any zone is restarted each second",
			change: func(f *lendingFleet, now time.Duration) {
				if now%time.Second == 0 {
					z := f.zones[f.random.IntN(zones)]
					z.start(now, z.indexes(z.keeper(now))[0])
				}
			},
		},
		{
			name: "a zone is restarted whole every 4 s, also twice",
			change: func(f *lendingFleet, now time.Duration) {
				if now%(4*time.Second) == 0 {
					z := f.zones[f.random.IntN(zones)]
					for i := range z.members {
						z.start(now, i)
					}
				}
			},
		},
		{
			name: "zones are cut off and back, all are restarted once",
			late: 0.1,
			change: func(f *lendingFleet, now time.Duration) {
				if now%(2*time.Second) == 0 {
					f.cutOff[f.random.IntN(zones)] = f.random.IntN(2) == 0
				}
				if now == 20*time.Second {
					for _, z := range f.zones {
						for i := range z.members {
							z.start(now, i)
						}
					}
				}
			},
		},
	}
	for _, tt := range tests {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprint(tt.name, ", seed ", seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newLendingFleet(seed, zones, size)
				for now := zoneTick; now < duration; now += zoneTick {
					tt.change(f, now)
					for i, z := range f.zones {
						f.retry(now, i, requestsInTick, tt.late)
						f.retry(now, i, 0, tt.late)
						z.reportIfDue(now)
					}
				}
				bound := zoneRatio*zones*requestsInTick*float64(zoneSpan/zoneTick) + zoneBase
				most := mostWithin(f.retries, zoneSpan)
				t.Logf("at most %d of %.0f", most, bound)
				is.True(float64(most) <= bound)
				is.True(most > 0)
			})
		}
	}
}
