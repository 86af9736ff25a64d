package entry_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/internal/forward"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/target"
)

// outcomeSlot sends on how its attempt ended.
type outcomeSlot struct {
	entry.Slot
	outcomes chan<- target.Outcome
}

// Release implements entry.Slot.
func (s outcomeSlot) Release(r entry.AttemptResult) {
	s.Slot.Release(r)
	s.outcomes <- r.Outcome
}

// Guards against targets that are blamed, as if they refused connections or didn't answer, for
// attempts that end because their instance stops.
func TestGivenUpAttemptsBlameNoTarget(t *testing.T) {
	hangingDial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	tests := []struct {
		name    string
		options []entry.Option
		status  int
		outcome string
	}{
		{
			name:    "connecting",
			options: []entry.Option{entry.WithClient(forward.New(forward.WithDialContext(hangingDial)))},
			status:  http.StatusServiceUnavailable,
			outcome: entry.OutcomeNotRun,
		},
		{
			name:    "waiting for the answer",
			status:  http.StatusGatewayTimeout,
			outcome: entry.OutcomeUnknown,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newRelayEnv(t, 1, 0)
			e.targets[0].SetFaults(standin.TargetFaults{Hang: true})
			outcomes := make(chan target.Outcome, 1)
			wrap := func(s entry.Slot) entry.Slot {
				return outcomeSlot{
					Slot:     s,
					outcomes: outcomes,
				}
			}
			e.wrap.Store(&wrap)
			h := e.newHandler(nil, tt.options...)
			s := serveCallers(t, h)
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.address+"/bookings", nil)
			is.NoErr(err)
			r.Header.Set("X-Api-Key", key)
			time.AfterFunc(100*time.Millisecond, h.GiveUp)
			answer := do(s.client, r)
			is.Equal(answer.status, tt.status)
			is.Equal(answer.outcome(), tt.outcome)
			is.Equal(<-outcomes, target.Cancelled)
		})
	}
}
