package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

// Guards against a keeper that doesn't see the rank of a retry, and against one that holds back
// retries from a build that sends none.
func TestKeeperReservesRetriesByRank(t *testing.T) {
	const asked = 25
	zones := meter.Zones{Fraction: 1, Count: 1}
	// granted returns how many retries a request gets after the most urgent rank has asked.
	granted := func(rank int) int {
		st := newLocalState(&Gateway{})
		st.budgets = meter.NewBudget(0, meter.BudgetSettings{Base: 100, Span: 10 * time.Second})
		take := func(rank int) int {
			n := 0
			for range asked {
				m, err := decode(encode(decisionRequest{Kind: retryBudget, Name: "desk", Rank: rank}))
				is.New(t).NoErr(err)
				if st.budgets.Take(time.Minute, "desk", meter.Begun{}, zones, takeOptions(m.(decisionRequest))...).Granted {
					n++
				}
			}
			return n
		}
		is.New(t).Equal(take(wireRank(0, true)), asked)
		return take(rank) + take(rank) + take(rank)
	}
	is := is.New(t)
	is.Equal(granted(wireRank(0, false)), 40) // all that is left of 65
	is.Equal(granted(wireRank(1, true)), 13)  // a fifth
}

// Guards against a retry that is paid for and can't be answered in time.
func TestTimeToRetry(t *testing.T) {
	route := document.Route{Name: "bookings", Objective: time.Second}
	is := is.New(t)
	g := newWarmUpGateway(false)
	for range 50 {
		g.state.services["desk"].latencies.Add(route.Name, 200*time.Millisecond)
	}
	hasTime := func(left time.Duration) bool {
		return g.hasTimeToRetry("desk", retry.Attempt{Outcome: target.Shed, Repeatable: true, Route: &route, Left: left})
	}
	is.True(hasTime(2 * time.Second))
	is.True(!hasTime(50 * time.Millisecond))
	is.True(!hasTime(-time.Second))
}

// Guards against ranks being told for services whose slots aren't allocated: there nothing
// changes, and zero means no rank.
func TestRankIsToldOnlyForAllocatedServices(t *testing.T) {
	is := is.New(t)
	g := newWarmUpGateway(false)
	small := document.Target{Name: "desk-1", Zone: "mill", Slots: 2}
	g.state.services["desk"].table.Update(0, []target.Registration{{Service: "desk", Target: small}})
	failed := retry.Attempt{Route: &document.Route{Priority: 2}}
	g.allocation.maxSlots = maxAllocatedSlots
	is.Equal(wireRank(g.retryRank("desk", failed)), 3)
	g.allocation.minMembers = 16
	is.Equal(wireRank(g.retryRank("desk", failed)), 0)
	is.Equal(wireRank(-1, true), 1)
}
