package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

// Guards against a keeper that doesn't see the rank of a retry, and against one that holds back
// retries from a build that sends none.
func TestKeeperReservesRetriesByRank(t *testing.T) {
	const asked = 50
	zones := meter.Zones{
		Fraction: 1,
		Count:    1,
	}
	// granted returns how many retries a request gets after the most urgent rank has asked.
	granted := func(t *testing.T, rank int) int {
		t.Helper()
		now := time.Minute
		st := newLocalState(&Gateway{})
		st.budgets = meter.NewBudget(0, meter.BudgetSettings{
			Base: 100,
			Span: 10 * time.Second,
		})
		n := 0
		for i := range 2 * asked {
			m, err := decode(encode(decisionRequest{
				Kind: retryBudget,
				Name: "desk",
				Rank: rank,
			}))
			is.New(t).NoErr(err)
			r := m.(decisionRequest)
			if i < asked/2 {
				r.Rank = wireRank(0, true)
				st.budgets.Take(now, "desk", meter.Begun{}, zones, takeOptions(r)...)
				continue
			}
			if st.budgets.Take(now, "desk", meter.Begun{}, zones, takeOptions(r)...).Granted {
				n++
			}
		}
		return n
	}
	is := is.New(t)
	is.Equal(granted(t, wireRank(0, false)), 40) // all that is left of 65
	is.Equal(granted(t, wireRank(1, true)), 13)  // a fifth
}

// Guards against a retry that is paid for and can't be answered in time.
func TestTimeToRetry(t *testing.T) {
	route := document.Route{
		Name:      "bookings",
		Objective: time.Second,
	}
	is := is.New(t)
	g := &Gateway{}
	g.state = newLocalState(g)
	latencies := outlier.NewLatencies()
	for range 50 {
		latencies.Add(route.Name, 200*time.Millisecond)
	}
	g.state.services["desk"] = &service{
		name:      "desk",
		latencies: latencies,
	}
	hasTime := func(left time.Duration) bool {
		return g.hasTimeToRetry("desk", retry.Attempt{
			Outcome:    target.Shed,
			Repeatable: true,
			Route:      &route,
			Left:       left,
		})
	}
	is.True(hasTime(2 * time.Second))
	is.True(!hasTime(50 * time.Millisecond))
	is.True(!hasTime(-time.Second))
}

// Guards against ranks being told for services whose slots aren't allocated: there nothing changes.
func TestRankIsToldOnlyForAllocatedServices(t *testing.T) {
	tests := []struct {
		name       string
		minMembers int
		want       int
	}{
		{
			name:       "allocated",
			minMembers: 0,
			want:       3,
		},
		{
			name:       "too few members",
			minMembers: 16,
			want:       0,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := &Gateway{
				allocation: allocationBounds{
					minMembers: tt.minMembers,
					maxSlots:   maxAllocatedSlots,
				},
			}
			g.state = newLocalState(g)
			s := &service{
				table: outlier.New("a", newRandom()),
			}
			s.table.Update(0, []target.Registration{{
				Service: "desk",
				Target: document.Target{
					Name:  "desk-1",
					Zone:  "a",
					Slots: 2,
				},
			}})
			g.state.services["desk"] = s
			g.state.index = document.NewIndex(document.Document{})
			is.Equal(wireRank(g.retryRank("desk", retry.Attempt{
				Route: &document.Route{
					Priority: 2,
				},
			})), tt.want)
		})
	}
}

func TestWireRankIsAboveZero(t *testing.T) {
	is := is.New(t)
	is.Equal(wireRank(-1, true), 1)
}
