package meter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/roster"
)

// Retries of one zone must stay within its share of the budget in any span.
func TestBudgetHoldsInAnySpan(t *testing.T) {
	is := is.New(t)
	settings := meter.BudgetSettings{
		Ratio: 0.2,
		Base:  60,
		Span:  10 * time.Second,
	}
	b := meter.NewBudget(0, settings)
	zones := meter.Zones{
		Fraction: 0.3,
		Count:    3,
	}
	var granted []time.Duration
	requests := 0
	for now := time.Second; now < 40*time.Second; now += 20 * time.Millisecond {
		requests++
		begun := meter.Begun{
			Requests: 1,
		}
		if b.Take(now, "desk", begun, zones).Granted {
			granted = append(granted, now)
		}
	}
	is.True(requests > 0)
	perSpan := float64(settings.Span / (20 * time.Millisecond))
	allowed := settings.Ratio*perSpan + settings.Base*0.3
	from := 0
	for i, at := range granted {
		for granted[from] <= at-settings.Span {
			from++
		}
		is.True(float64(i-from+1) <= allowed)
	}
	is.True(len(granted) > 0)
}

// Guards against requests that are reported late, with the first retry in a while, being
// counted as if they had begun at that time: the budget would be nearly doubled.
func TestBudgetHoldsWhenRetriesBeginAtOnce(t *testing.T) {
	const (
		instances = 20
		perSecond = 5 // requests of each instance
		calm      = 20 * time.Second
		tick      = time.Second / perSecond
	)
	is := is.New(t)
	settings := meter.BudgetSettings{
		Ratio: 0.2,
		Base:  60,
		Span:  10 * time.Second,
	}
	b := meter.NewBudget(0, settings)
	allowed := settings.Ratio*instances*perSecond*settings.Span.Seconds() + settings.Base
	// Each instance reports the requests of the last span with its first retry.
	reported := make([]time.Duration, instances)
	for i := range reported {
		reported[i] = calm - settings.Span
	}
	zones := meter.Zones{
		Fraction: 1,
		Count:    1,
	}
	granted := 0
	for now := calm; now < calm+settings.Span; now += tick {
		for i := range instances {
			begun := meter.Begun{
				Requests: int((now - reported[i]) / tick),
				Over:     now - reported[i],
			}
			reported[i] = now
			for range 3 { // more retries than the budget allows
				if b.Take(now, "desk", begun, zones).Granted {
					granted++
				}
				begun = meter.Begun{}
			}
		}
	}
	is.True(float64(granted) <= allowed)
	is.True(float64(granted) >= allowed/2)
}

// Parameters of a zone whose instances want more retries than its budget has.
const (
	zoneSize       = 12
	zoneSpan       = 10 * time.Second
	zoneRatio      = 0.2
	zoneBase       = 60
	zoneTick       = 10 * time.Millisecond
	reportPeriod   = 100 * time.Millisecond
	reportTerm     = 3 * reportPeriod
	requestsInTick = 1
	retriesInTick  = 1
)

// zone simulates the instances of one zone, and their reports.
type zone struct {
	// share is the zone's part of the fleet.
	share     meter.Zones
	members   []instance.Info
	startedAt map[instance.Address]time.Duration
	budgets   map[instance.Address]*meter.Budget
	// grants are the times of the retries that were granted.
	grants []time.Duration
}

// newZone returns a zone of some members.
func newZone(name string, size int, share meter.Zones) *zone {
	z := &zone{
		share:     share,
		startedAt: map[instance.Address]time.Duration{},
		budgets:   map[instance.Address]*meter.Budget{},
	}
	for i := range size {
		z.members = append(z.members, instance.Info{
			ID: instance.ID{
				Address: instance.Address(fmt.Sprintf("%s-%d:7000", name, i)),
			},
			Zone: name,
		})
		z.start(0, i)
	}
	return z
}

// start starts a member, or starts it again after it was killed.
func (z *zone) start(now time.Duration, member int) {
	a := z.members[member].Address
	z.startedAt[a] = now
	z.budgets[a] = meter.NewBudget(now, meter.BudgetSettings{
		Ratio: zoneRatio,
		Base:  zoneBase,
		Span:  zoneSpan,
	})
}

// keeper returns the member that all others ask.
func (z *zone) keeper(now time.Duration) instance.Address {
	ages := roster.NewAges("", 0)
	for a, startedAt := range z.startedAt {
		ages.Report(now, a, now-startedAt)
	}
	return roster.New(z.members[0], z.members).CountingKeeper(now, "budget", "desk", noneUnresponsive, ages, zoneSpan)
}

func noneUnresponsive(instance.Address) bool { return false }

// step sends requests, asks for retries, and lets the members report.
func (z *zone) step(now time.Duration) {
	begun := requestsInTick
	for range retriesInTick {
		z.take(now, begun)
		begun = 0
	}
	z.reportIfDue(now)
}

// take asks the zone's keeper for a retry, and tells it of requests begun in this tick.
func (z *zone) take(now time.Duration, begun int) bool {
	granted := z.budgets[z.keeper(now)].Take(now, "desk", meter.Begun{
		Requests: begun,
		Over:     zoneTick,
	}, z.share).Granted
	if granted {
		z.grants = append(z.grants, now)
	}
	return granted
}

// reportIfDue lets the members report if it is time.
func (z *zone) reportIfDue(now time.Duration) {
	if now%reportPeriod == 0 {
		z.report(now)
	}
}

// report passes on what every member has granted.
func (z *zone) report(now time.Duration) {
	for _, from := range z.members {
		keeper := meter.Keeper{
			Address:   string(from.Address),
			StartedAt: z.startedAt[from.Address],
		}
		for _, totals := range z.budgets[from.Address].Changed(now, reportTerm) {
			for _, to := range z.members {
				if to.Address != from.Address {
					z.budgets[to.Address].Receive(now, keeper, totals)
				}
			}
		}
	}
}

// mostInSpan returns the most retries that were granted within any span.
func (z *zone) mostInSpan() int { return mostWithin(z.grants, zoneSpan) }

// mostWithin returns the most of these times, in order, that lie within any span.
func mostWithin(times []time.Duration, span time.Duration) int {
	most, from := 0, 0
	for i, at := range times {
		for times[from] <= at-span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against a keeper of the retry budget that doesn't know what its predecessors have
// granted, however they are replaced.
func TestBudgetOutlivesItsKeepers(t *testing.T) {
	const perSpan = float64(zoneSpan/zoneTick) * requestsInTick
	tests := []struct {
		name string
		// restarted returns the members that are started again at a time.
		restarted func(z *zone, now time.Duration) []int
		// least is the part of the bound that must be usable.
		least float64
	}{
		{
			name:      "none",
			restarted: func(*zone, time.Duration) []int { return nil },
			least:     0.6,
		},
		{
			name: "the keeper, every second",
			restarted: func(z *zone, now time.Duration) []int {
				if now%time.Second == 0 {
					return z.indexes(z.keeper(now))
				}
				return nil
			},
			least: 0.6,
		},
		{
			name: "all, one every half second",
			restarted: func(_ *zone, now time.Duration) []int {
				if now%(time.Second/2) == 0 {
					return []int{int(now/(time.Second/2)) % zoneSize}
				}
				return nil
			},
			least: 0.2,
		},
		{
			name: "four of five at once",
			restarted: func(z *zone, now time.Duration) []int {
				if now == 25*time.Second {
					return z.all()[:zoneSize*4/5]
				}
				return nil
			},
			least: 0.6,
		},
		{
			name: "all at once",
			restarted: func(z *zone, now time.Duration) []int {
				if now == 25*time.Second {
					return z.all()
				}
				return nil
			},
			least: 0.6,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			z := newZone("a", zoneSize, meter.Zones{
				Fraction: 1,
				Count:    1,
			})
			for now := zoneTick; now < 60*time.Second; now += zoneTick {
				for _, member := range tt.restarted(z, now) {
					z.start(now, member)
				}
				z.step(now)
			}
			bound := zoneRatio*perSpan + zoneBase
			t.Logf("at most %d of %.0f", z.mostInSpan(), bound)
			is.True(float64(z.mostInSpan()) <= bound)
			is.True(float64(z.mostInSpan()) >= tt.least*bound)
		})
	}
}

// all returns the indexes of all members.
func (z *zone) all() []int {
	list := make([]int, zoneSize)
	for i := range list {
		list[i] = i
	}
	return list
}

// indexes returns the index of a member.
func (z *zone) indexes(a instance.Address) []int {
	for i, m := range z.members {
		if m.Address == a {
			return []int{i}
		}
	}
	return nil
}
