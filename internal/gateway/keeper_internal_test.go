package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/meter"
)

// Guards against requests that count twice for the retry budget because the keeper was
// slow to answer and was asked again.
func TestRepeatedDecisionRequestReportsRequestsOnce(t *testing.T) {
	tests := []struct {
		name  string
		kind  limitKind
		wants []int
	}{
		{
			name:  "requests begun count once",
			kind:  retryBudget,
			wants: []int{3, 0},
		},
		{
			name:  "units are asked for each time",
			kind:  organisationRate,
			wants: []int{3, 3},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			own, err := listenDatagrams("127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = own.Close() }()
			keeper, err := listenDatagrams("127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = keeper.Close() }()
			g := &Gateway{
				datagrams: own,
				pending:   newPendingRequests(),
				registry:  metrics.NewRegistry(),
				logger:    slog.New(slog.DiscardHandler),
			}
			_, answered := g.askKeeper(context.Background(), instance.Address(keeper.LocalAddr().String()), decisionRequest{
				Kind:   tt.kind,
				Name:   "desk",
				Amount: 3,
				Over:   time.Second,
			})
			is.True(!answered)
			buffer := make([]byte, maxDatagramBytes)
			for _, want := range tt.wants {
				is.NoErr(keeper.SetReadDeadline(time.Now().Add(10 * time.Second)))
				n, err := keeper.Read(buffer)
				is.NoErr(err)
				m, err := decode(buffer[:n])
				is.NoErr(err)
				is.Equal(m.(decisionRequest).Amount, want)
			}
		})
	}
}

// Guards against instances that send a limited target what each of them thinks right while
// its keeper can't be reached.
func TestLimitedTargetGetsNothingWithoutItsKeeper(t *testing.T) {
	is := is.New(t)
	own, err := listenDatagrams("127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = own.Close() }()
	silent, err := listenDatagrams("127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	g := &Gateway{
		datagrams: own,
		pending:   newPendingRequests(),
		registry:  metrics.NewRegistry(),
		logger:    slog.New(slog.DiscardHandler),
		self: instance.Info{
			ID: instance.ID{
				Address: instance.Address(own.LocalAddr().String()),
			},
			Zone: "a",
		},
	}
	g.state = newLocalState(g)
	keeper := instance.Address(silent.LocalAddr().String())
	g.state.members[g.self.Address] = member{Info: g.self}
	g.state.members[keeper] = member{
		Info: instance.Info{
			ID: instance.ID{
				Address: keeper,
			},
			Zone: "b",
		},
	}
	g.state.rebuildRoster()
	name := "desk-0"
	for i := 1; g.keeper(targetLimit, name) != keeper; i++ {
		name = fmt.Sprint("desk-", i)
	}
	for range 2 {
		decision := g.requestAllowance(context.Background(), name, targetLimitOf(5000))
		is.True(!decision.Granted)
		is.True(decision.RetryAfter > 0)
	}
	is.Equal(g.keeper(targetLimit, name), keeper) // nobody stands in for it
}

// Guards against an instance that starts again in a running fleet with as many units as one of
// a fleet that starts.
func TestInstanceThatStartsAgainHoldsFewerUnits(t *testing.T) {
	const startedAt = 1_765_000_000_000_000_000
	tests := []struct {
		name string
		// age is how long before this instance the other one has started.
		age   time.Duration
		level float64
	}{
		{
			name:  "the fleet starts",
			age:   time.Second,
			level: 30,
		},
		{
			name:  "the other one has been running",
			age:   time.Minute,
			level: 8,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := &Gateway{
				registry: metrics.NewRegistry(),
				logger:   slog.New(slog.DiscardHandler),
				settings: Settings{
					RateTolerance: meter.Tolerance{
						Ratio: 0.1,
						Units: 20,
						Span:  5 * time.Second,
					},
				},
				self: instance.Info{
					ID: instance.ID{
						Address:     "10.0.0.1:7000",
						Incarnation: startedAt,
					},
				},
			}
			g.state = newLocalState(g)
			g.state.members["10.0.0.2:7000"] = member{
				Info: instance.Info{
					ID: instance.ID{
						Address:     "10.0.0.2:7000",
						Incarnation: startedAt - uint64(tt.age),
					},
				},
			}
			g.state.rebuildRoster()
			decision := g.state.rates.Take(boot.Now(), document.Rate{
				Organisation: "orchard",
				PerSecond:    100,
				Burst:        100,
			}, 1, meter.FleetKeeper, meter.Zones{
				Fraction: 1,
				Count:    1,
			})
			is.Equal(decision.Level, tt.level)
		})
	}
}
