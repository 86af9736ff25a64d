package meter_test

import (
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
