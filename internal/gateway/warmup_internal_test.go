package gateway

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/target"
	"dandelionmux/pkg/warmup"
)

// newWarmUpGateway returns an instance that knows the target desk-1 of a service with a warm-up
// limit of 3.7 requests a second, or without one.
func newWarmUpGateway(limited bool) *Gateway {
	g := &Gateway{
		logger:   slog.New(slog.DiscardHandler),
		registry: metrics.NewRegistry(),
		settings: Settings{WarmUpOverage: 1.5, WarmUpSlack: 8},
		adapters: Adapters{EvacuationPrefix: "evacuate/"},
	}
	g.state = newLocalState(g)
	s := document.Service{Name: "desk"}
	if limited {
		s.WarmUp, s.WarmUpPerSecond = 6*time.Second, 3.7
	}
	g.state.index = document.NewIndex(document.Document{Services: []document.Service{s}})
	r := target.Registration{
		Service:     "desk",
		Target:      document.Target{Name: "desk-1", Address: "10.0.0.1:80", Zone: "mill", Slots: 6},
		Incarnation: 1,
	}
	g.state.targets.Put(r)
	table := outlier.New("mill", rand.New(rand.NewPCG(1, 2)))
	table.SetEvacuated(g.state.isEvacuated)
	table.Update(boot.Now(), []target.Registration{r})
	g.state.services["desk"] = &service{
		name:                 "desk",
		table:                table,
		latencies:            outlier.NewLatencies(),
		inFlight:             inFlight{},
		unreachedReportAt:    map[string]time.Duration{},
		unresponsiveReportAt: map[string]time.Duration{},
	}
	return g
}

// Guards against a target that is both cold and limited by its own answers and gets more than one
// of the limits allows, and against a cold target that gets what only a limit of its own allows.
func TestKeeperObeysBothLimits(t *testing.T) {
	policy := warmup.Policy{PerSecond: 3.7}
	named := func(perSecond float64) meter.TargetLimit {
		return meter.TargetLimit{Kind: meter.Limited, PerSecond: perSecond}
	}
	limited := decisionRequest{Kind: targetLimit, Name: "desk-1", Amount: 50_000}
	tests := []struct {
		name    string
		request decisionRequest
		// known is the limit that the keeper knows that the target has named.
		known meter.TargetLimit
		// cold is set if the keeper knows that the target is cold.
		cold     bool
		min, max int
	}{
		{name: "cold", request: coldRequest("desk-1", policy, meter.TargetLimit{}), min: 65, max: 75},
		{name: "cold, lower limit that the keeper doesn't know", request: coldRequest("desk-1", policy, named(1)), min: 15, max: 24},
		{name: "cold, lower limit that only the keeper knows", request: coldRequest("desk-1", policy, meter.TargetLimit{}), known: named(1), min: 15, max: 24},
		{name: "cold, higher limit", request: coldRequest("desk-1", policy, named(50)), min: 65, max: 75},
		{name: "limit, only the keeper knows that the target is cold", request: limited, cold: true, min: 65, max: 75},
		{name: "limit", request: limited, min: 900, max: 1050},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := newWarmUpGateway(true)
			now := time.Hour
			if tt.cold {
				g.state.warmUps.Registered(now, "desk-1", 1, time.Hour, g.state.warmUpPolicy("desk"))
			}
			g.state.targetLimits.Update(now, "desk-1", tt.known)
			granted := 0
			for end := now + 20*time.Second; now < end; now += 5 * time.Millisecond {
				if g.state.takePermit(now, tt.request).Granted {
					granted++
				}
			}
			t.Logf("%d granted in 20 s", granted)
			is.True(granted >= tt.min && granted <= tt.max)
		})
	}
}

// Guards against a request that reaches a cold target without a valid permit, or a target of an
// evacuated zone, although it was chosen before that was known; and against counting that as the
// target's failure.
func TestPlacedRequestIsWithheld(t *testing.T) {
	cold := func(g *Gateway, _ *slot) { g.state.setUnreached(boot.Now(), "desk", "desk-1", target.Crashed) }
	permitted := func(left time.Duration, used bool) func(*Gateway, *slot) {
		return func(g *Gateway, sl *slot) {
			cold(g, sl)
			sl.permittedUntil = boot.Now() + left
			if used {
				sl.MaySend()
			}
		}
	}
	evacuated := func(zone string) func(*Gateway, *slot) {
		return func(g *Gateway, _ *slot) { g.state.evacuated.Begin(boot.Now(), zone) }
	}
	tests := []struct {
		name    string
		limited bool
		change  func(g *Gateway, sl *slot)
		sent    bool
	}{
		{name: "warm", limited: true, change: func(*Gateway, *slot) {}, sent: true},
		{name: "cold since", limited: true, change: cold},
		{name: "no limit", change: cold, sent: true},
		{name: "cold with a permit", limited: true, change: permitted(time.Minute, false), sent: true},
		{name: "cold with a permit that was used", limited: true, change: permitted(time.Minute, true)},
		{name: "cold with a permit that has lapsed", limited: true, change: permitted(0, false)},
		{name: "evacuated", change: evacuated("mill")},
		{name: "another zone is evacuated", change: evacuated("office"), sent: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := newWarmUpGateway(tt.limited)
			sl, _ := g.choose(entry.SlotRequest{Service: "desk", Route: &document.Route{}})
			tt.change(g, sl)
			is.Equal(sl.MaySend(), tt.sent)
			outcome := sl.effectiveOutcome(entry.AttemptResult{Outcome: target.Refused})
			is.Equal(outcome == target.Cancelled, !tt.sent)
		})
	}
}

// Guards against an instance that goes on sending without permits to a target that another one
// could not reach, and against a change for services without a limit or because of reports that
// say nothing of that.
func TestFailureReportMakesTargetCold(t *testing.T) {
	tests := []struct {
		name         string
		limited      bool
		outcome      target.Outcome
		unresponsive bool
		cold         bool
	}{
		{name: "not reached", limited: true, outcome: target.Refused, cold: true},
		{name: "connection died, as earlier builds tell", limited: true, outcome: target.Crashed, cold: true},
		{name: "kept connection died", limited: true, outcome: target.Disconnected, cold: true},
		{name: "server error", limited: true, outcome: target.Failed},
		{name: "no answers", limited: true, outcome: target.TimedOut, unresponsive: true},
		{name: "no limit", outcome: target.Refused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := newWarmUpGateway(tt.limited)
			report := failureReport{Service: "desk", Target: "desk-1", Outcome: tt.outcome, Unresponsive: tt.unresponsive}
			g.handleFailureReport("10.0.0.2:7340", report)
			p := g.state.warmUpPolicy("desk")
			is.Equal(g.state.warmUps.Cold(boot.Now(), "desk-1", p), tt.cold)
			// An attempt that began after that was answered, by another instance.
			time.Sleep(2 * reportTimeError)
			report = failureReport{Service: "desk", Target: "desk-1", Outcome: target.Succeeded, Age: time.Millisecond}
			g.handleFailureReport("10.0.0.2:7340", report)
			is.Equal(g.state.warmUps.Cold(boot.Now()+p.Duration-time.Second, "desk-1", p), tt.cold)
			is.True(!g.state.warmUps.Cold(boot.Now()+p.Duration+time.Second, "desk-1", p))
		})
	}
}
