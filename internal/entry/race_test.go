package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/internal/standin"
)

// newOverdueEnv returns an environment in which answers are overdue after wait and retries
// are granted.
func newOverdueEnv(t *testing.T, targets int, wait time.Duration) *testEnv {
	t.Helper()
	env := newTestEnv(t, targets)
	env.overdue = &overdueSettings{
		wait:    wait,
		granted: true,
	}
	return env
}

// Guards against a read that takes long and is begun anew at another target each time it is
// overdue, until its time is over.
func TestReadThatTakesLongIsNotBegunAnew(t *testing.T) {
	is := is.New(t)
	const work = 1500 * time.Millisecond
	env := newOverdueEnv(t, 3, 600*time.Millisecond)
	for _, s := range env.targets {
		s.SetFaults(standin.TargetFaults{SlowFactor: float64(work / time.Millisecond)})
	}
	began := time.Now()
	is.Equal(env.call(http.MethodGet, "/bookings", "").status, http.StatusOK)
	is.True(time.Since(began) < timeout)
}

// Guards against a read that meets two targets in a row that have stopped answering, and
// waits for them to its deadline.
func TestReadPassesTwoUnresponsiveTargets(t *testing.T) {
	is := is.New(t)
	env := newOverdueEnv(t, 3, 100*time.Millisecond)
	for _, s := range env.targets[:2] {
		s.SetFaults(standin.TargetFaults{Hang: true})
	}
	for range 10 {
		began := time.Now()
		is.Equal(env.call(http.MethodGet, "/bookings", "").status, http.StatusOK)
		is.True(time.Since(began) < time.Second)
	}
}

// Guards against a write that runs at a second target because the first one is slow.
func TestOverdueWriteRunsOnce(t *testing.T) {
	is := is.New(t)
	env := newOverdueEnv(t, 3, 50*time.Millisecond)
	for _, s := range env.targets {
		s.SetFaults(standin.TargetFaults{SlowFactor: 300})
	}
	is.Equal(env.call(http.MethodPost, "/bookings", "tanker", withExecution("w")).status, http.StatusOK)
	is.Equal(env.executions("w"), 1)
}

// Guards against more attempts at the same time than the route allows.
func TestAttemptsBesideEachOtherAreBounded(t *testing.T) {
	is := is.New(t)
	env := newOverdueEnv(t, 4, 50*time.Millisecond)
	env.overdue.unresponsive = 100 * time.Millisecond // the answer is overdue for two reasons
	for i := range env.document.Routes {
		env.document.Routes[i].Attempts = 2
	}
	env.publish()
	for _, s := range env.targets {
		s.SetFaults(standin.TargetFaults{Hang: true})
	}
	is.Equal(env.call(http.MethodGet, "/bookings", "", withExecution("r")).status, http.StatusGatewayTimeout)
	is.Equal(env.executions("r"), 2)
}

// Guards against a failure of one attempt that ends the request, or an error that replaces
// the answer, while another attempt is in progress.
func TestAttemptGoesOnWhenTheOneBesideItFails(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.TargetFaults
	}{
		{"sheds", standin.TargetFaults{Shed: true}},
		{"dies", standin.TargetFaults{Death: standin.DeathDuring}},
		{"server error", standin.TargetFaults{GrayFraction: 1}},
		{"breaks off", standin.TargetFaults{Truncate: standin.TruncateLength}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newOverdueEnv(t, 2, 100*time.Millisecond)
			for i := range env.document.Routes {
				env.document.Routes[i].Attempts = 2
			}
			env.publish()
			env.targets[0].SetFaults(standin.TargetFaults{SlowFactor: 500})
			env.targets[1].SetFaults(tt.faults)
			for n := range 6 {
				is.Equal(env.call(http.MethodGet, fmt.Sprint("/bookings/", n), "").status, http.StatusOK)
				time.Sleep(2 * downtime)
			}
		})
	}
}

// Guards against work at targets for a caller that has left, by all attempts.
func TestAttemptsEndWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	env := newOverdueEnv(t, 2, 50*time.Millisecond)
	for _, s := range env.targets {
		s.SetFaults(standin.TargetFaults{SlowFactor: 1500})
	}
	c := env.dialPipelined()
	c.send(http.MethodGet, "/bookings", "r")
	waitUntil(t, func() bool { return env.executions("r") == 2 })
	_ = c.conn.Close()
	waitUntil(t, func() bool {
		return env.targets[0].Counts().Cancelled+env.targets[1].Counts().Cancelled == 2
	})
	is.Equal(env.executions("r"), 2)
}

// lostLinks are the relays of an instance that loses its links to the targets at a time.
type lostLinks struct {
	*fakeRelays
	lostAt time.Time
}

func (l lostLinks) Acquire(ctx context.Context, r entry.RelayRequest) (entry.Relay, error) {
	if time.Now().Before(l.lostAt) {
		return nil, nil
	}
	return l.fakeRelays.Acquire(ctx, r)
}

// Guards against a read that waits for a target to its deadline because the links to the
// targets were lost meanwhile, though another instance could serve it.
func TestOverdueReadGoesThroughAnotherInstance(t *testing.T) {
	is := is.New(t)
	e := newRelayEnv(t, 2, 1)
	e.overdue = &overdueSettings{
		wait:    200 * time.Millisecond,
		granted: true,
	}
	links := lostLinks{
		fakeRelays: e.relays,
		lostAt:     time.Now().Add(100 * time.Millisecond),
	}
	s := serveCallers(t, e.newHandler(links))
	for _, target := range e.targets {
		target.SetFaults(standin.TargetFaults{Hang: true})
	}
	time.AfterFunc(150*time.Millisecond, func() {
		for _, target := range e.targets {
			target.SetFaults(standin.TargetFaults{})
		}
	})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.address+"/bookings", nil)
	is.NoErr(err)
	r.Header.Set("X-Api-Key", key)
	began := time.Now()
	is.Equal(do(s.client, r).status, http.StatusOK)
	is.True(time.Since(began) < time.Second)
	is.Equal(e.relays.outcomes, []entry.RelayOutcome{entry.RelayAnswered})
}

// Guards against attempts that were in progress when the links were lost, and that don't count
// for the attempts through other instances that follow.
func TestAttemptsInProgressCountWhenLinksAreLost(t *testing.T) {
	for allowed := 1; allowed <= 3; allowed++ {
		t.Run(strconv.Itoa(allowed)+" allowed", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := newRelayEnv(t, 10, 4)
			e.allowAttempts(allowed)
			e.overdue = &overdueSettings{
				wait:    attemptOverdue,
				granted: true,
			}
			e.relays.overdue = relayOverdue
			s := serveCallers(t, e.newHandler(lostLinks{
				fakeRelays: e.relays,
				lostAt:     time.Now().Add(attemptOverdue / 2),
			}))
			for _, target := range e.targets {
				target.SetFaults(standin.TargetFaults{Hang: true})
			}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.address+"/bookings", nil)
			is.NoErr(err)
			r.Header.Set("X-Api-Key", key)
			do(s.client, r)
			is.Equal(e.arrivals(), uint64(allowed))
		})
	}
}

// Guards against a read that stays at a target that has stopped answering because no other
// had room at the moment when a retry was granted, and against a second grant for it.
func TestOverdueReadIsRetriedOnceThereIsRoom(t *testing.T) {
	is := is.New(t)
	env := newOverdueEnv(t, 2, 100*time.Millisecond)
	env.targets[0].SetFaults(standin.TargetFaults{Hang: true})
	for range 4 {
		env.overdue.retries.Store(0)
		env.overdue.noRoom.Store(2)
		began := time.Now()
		is.Equal(env.call(http.MethodGet, "/bookings", "").status, http.StatusOK)
		is.True(time.Since(began) < timeout)
		is.True(env.overdue.retries.Load() <= 1)
	}
}

// Guards against an unexpected failure in an attempt that ends the whole process, and against
// a slot that stays in use after it.
func TestUnexpectedFailureEndsOnlyItsAttempt(t *testing.T) {
	const calls = 10 // more than a target has slots
	tests := []struct {
		name       string
		beforeSend bool
		faults     standin.TargetFaults
		status     int
		outcome    string
		runs       int
	}{
		{
			name:       "before the first byte",
			beforeSend: true,
			status:     http.StatusServiceUnavailable,
			outcome:    entry.OutcomeNotRun,
		},
		{
			name:    "after the answer",
			faults:  standin.TargetFaults{Truncate: standin.TruncateLength},
			status:  http.StatusBadGateway,
			outcome: entry.OutcomeUnknown,
			runs:    calls,
		},
	}
	for _, tt := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(tt.name+" "+method, func(t *testing.T) {
				is := is.New(t)
				env := newOverdueEnv(t, 1, time.Second)
				env.targets[0].SetFaults(tt.faults)
				var failures atomic.Int64
				wrap := func(s entry.Slot) entry.Slot {
					return failingSlot{
						Slot:       s,
						beforeSend: tt.beforeSend,
						failures:   &failures,
					}
				}
				env.wrap.Store(&wrap)
				for range calls {
					got := env.call(method, "/bookings", "", withExecution("x"))
					is.NoErr(got.err)
					is.Equal(got.status, tt.status)
					is.Equal(got.outcome(), tt.outcome)
				}
				is.Equal(env.executions("x"), tt.runs)
				is.Equal(failures.Load(), int64(calls))
				env.wrap.Store(nil)
				env.targets[0].SetFaults(standin.TargetFaults{})
				is.Equal(env.call(method, "/bookings", "").status, http.StatusOK)
			})
		}
	}
}

// countedSlot counts the slots that are given back.
type countedSlot struct {
	entry.Slot
	released *atomic.Int64
}

// Release implements entry.Slot.
func (s countedSlot) Release(r entry.AttemptResult) {
	s.released.Add(1)
	s.Slot.Release(r)
}

// Guards against a target whose slot stays taken because its long error answer was kept, in case
// no other attempt succeeds, and another one did.
func TestErrorAnswerIsClosedWhenAnotherAttemptWins(t *testing.T) {
	const errorBytes = 300 << 10
	is := is.New(t)
	env := newOverdueEnv(t, 2, 50*time.Millisecond)
	env.targets[0].SetFaults(standin.TargetFaults{SlowFactor: 400})
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(entry.RequestIDHeader, r.Header.Get(entry.RequestIDHeader))
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write(make([]byte, errorBytes))
	}))
	defer failing.Close()
	env.document.Services[0].Targets[1].Address = failing.Listener.Addr().String()
	env.publish()
	var taken, released atomic.Int64
	wrap := func(s entry.Slot) entry.Slot {
		taken.Add(1)
		return countedSlot{
			Slot:     s,
			released: &released,
		}
	}
	env.wrap.Store(&wrap)
	for range 6 {
		is.Equal(env.call(http.MethodGet, "/bookings", "").status, http.StatusOK)
	}
	for until := time.Now().Add(timeout); released.Load() < taken.Load(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d slots taken, %d given back", taken.Load(), released.Load())
		}
	}
}
