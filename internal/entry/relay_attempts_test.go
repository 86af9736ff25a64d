package entry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/internal/standin"
)

const (
	// attemptOverdue is when an attempt at a target is overdue in these tests, and
	// relayOverdue when one through another instance is.
	attemptOverdue = 100 * time.Millisecond
	relayOverdue   = 300 * time.Millisecond
	// relayCutAfter is when the connection to another instance ends.
	relayCutAfter = 300 * time.Millisecond
)

// detach returns a request that can be served after its connection has ended.
func detach(r *http.Request) *http.Request {
	body, _ := io.ReadAll(r.Body)
	detached := r.Clone(context.WithoutCancel(r.Context()))
	detached.Body = io.NopCloser(bytes.NewReader(body))
	return detached
}

// cutOff returns a handler of an instance whose connection to its caller ends after a time,
// without its noticing: it goes on with the request.
func cutOff(serve http.HandlerFunc, goesOn *sync.WaitGroup) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		detached := detach(r)
		goesOn.Go(func() { serve(httptest.NewRecorder(), detached) })
		time.Sleep(relayCutAfter)
		panic(http.ErrAbortHandler)
	}
}

// paused returns a handler of an instance that is paused before it sends a request on, and
// doesn't notice meanwhile that its caller has left.
func paused(serve http.HandlerFunc, goesOn *sync.WaitGroup) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		detached := detach(r)
		goesOn.Go(func() {
			time.Sleep(2 * relayOverdue)
			serve(httptest.NewRecorder(), detached)
		})
		<-r.Context().Done()
	}
}

// unaware returns a handler of an instance that doesn't notice that its caller has left.
func unaware(serve http.HandlerFunc, goesOn *sync.WaitGroup) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		detached := detach(r)
		ended := make(chan struct{})
		answer := httptest.NewRecorder()
		goesOn.Go(func() {
			defer close(ended)
			serve(answer, detached)
		})
		select {
		case <-r.Context().Done():
		case <-ended:
			for name, values := range answer.Header() {
				w.Header()[name] = values
			}
			w.WriteHeader(answer.Code)
			_, _ = w.Write(answer.Body.Bytes())
		}
	}
}

// noticing serves as an instance does whose links to other instances are sound.
func noticing(serve http.HandlerFunc, _ *sync.WaitGroup) http.HandlerFunc { return serve }

// Guards against a read that runs at more targets than its route allows, because the attempts
// of another instance are counted only once that instance has answered.
func TestRelayedReadRunsAtNoMoreTargetsThanAllowed(t *testing.T) {
	shapes := []struct {
		name   string
		faults standin.TargetFaults
		link   func(http.HandlerFunc, *sync.WaitGroup) http.HandlerFunc
	}{
		{
			name:   "targets hang",
			faults: standin.TargetFaults{Hang: true},
			link:   noticing,
		},
		{
			name:   "targets hang, helpers don't notice that the caller left",
			faults: standin.TargetFaults{Hang: true},
			link:   unaware,
		},
		{
			name:   "targets hang, connections to helpers end",
			faults: standin.TargetFaults{Hang: true},
			link:   cutOff,
		},
		{
			name:   "helpers are paused before they send",
			faults: standin.TargetFaults{Hang: true},
			link:   paused,
		},
		{
			name:   "targets fail",
			faults: standin.TargetFaults{GrayFraction: 1},
			link:   noticing,
		},
		{
			name:   "targets shed",
			faults: standin.TargetFaults{Shed: true},
			link:   noticing,
		},
		{
			name:   "targets die",
			faults: standin.TargetFaults{Death: standin.DeathDuring},
			link:   noticing,
		},
	}
	for _, shape := range shapes {
		for _, build := range helperBuilds {
			for allowed := 1; allowed <= 3; allowed++ {
				t.Run(shape.name+", "+build.name+", "+strconv.Itoa(allowed)+" allowed", func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					e := newRelayEnv(t, 10, 0)
					e.allowAttempts(allowed)
					e.overdue = &overdueSettings{
						wait:    attemptOverdue,
						granted: true,
					}
					e.relays.overdue = relayOverdue
					var goesOn sync.WaitGroup
					for range 4 {
						e.addHelper(shape.link(build.serve(e.newHelper()), &goesOn))
					}
					for _, s := range e.targets {
						s.SetFaults(shape.faults)
					}
					e.callRelayed(http.MethodGet, "/bookings", "", withExecution("r"))
					goesOn.Wait()
					is.True(e.arrivals() <= uint64(allowed)) // arrivals at targets
				})
			}
		}
	}
}

// helperBuilds are the builds of instances through which requests go.
var helperBuilds = []struct {
	name  string
	serve func(http.HandlerFunc) http.HandlerFunc
}{
	{
		name:  "this build",
		serve: func(serve http.HandlerFunc) http.HandlerFunc { return serve },
	},
	{
		name:  "build without parts of attempts",
		serve: withoutRelayFields("Share", "Earlier"),
	},
}

// withoutRelayFields has an instance skip fields of relayed requests that its build doesn't
// know.
func withoutRelayFields(names ...string) func(http.HandlerFunc) http.HandlerFunc {
	return func(serve http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			entry.DropRelayFields(r, names...)
			serve(w, r)
		}
	}
}

// Guards against a read that other instances could serve and that is given up because one of
// them, or its target, has failed.
func TestRelayedReadIsTriedAgainThroughOthers(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.TargetFaults
	}{
		{
			name:   "target hangs",
			faults: standin.TargetFaults{Hang: true},
		},
		{
			name:   "target fails",
			faults: standin.TargetFaults{GrayFraction: 1},
		},
		{
			name:   "target sheds",
			faults: standin.TargetFaults{Shed: true},
		},
		{
			name:   "target dies",
			faults: standin.TargetFaults{Death: standin.DeathDuring},
		},
		{
			name:   "answer breaks off",
			faults: standin.TargetFaults{Truncate: standin.TruncateLength},
		},
	}
	for _, tt := range tests {
		for _, build := range helperBuilds {
			t.Run(tt.name+", "+build.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				e := newRelayEnv(t, 2, 0)
				e.overdue = &overdueSettings{
					wait:    attemptOverdue,
					granted: true,
				}
				e.relays.overdue = relayOverdue
				for range 3 {
					e.addHelper(build.serve(e.newHelper()))
				}
				e.targets[0].SetFaults(tt.faults)
				for i := range 6 {
					path := "/bookings/" + strconv.Itoa(i)
					is.Equal(e.callRelayed(http.MethodGet, path, "").status, http.StatusOK)
				}
			})
		}
	}
}

// Guards against further attempts at a request after a document has come into force that
// allows fewer, at the instance that has the caller and at one through which the request goes.
func TestLoweredNumberOfAttemptsHoldsForRequestsInProgress(t *testing.T) {
	tests := []struct {
		name  string
		relay bool
	}{
		{
			name: "at targets",
		},
		{
			name:  "through other instances",
			relay: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := newRelayEnv(t, 10, 4)
			e.allowAttempts(3)
			e.overdue = &overdueSettings{
				wait:    2 * attemptOverdue,
				granted: true,
			}
			e.relays.overdue = 2 * attemptOverdue
			for _, s := range e.targets {
				s.SetFaults(standin.TargetFaults{Hang: true})
			}
			time.AfterFunc(attemptOverdue, func() {
				e.document.Routes = slices.Clone(e.document.Routes)
				e.document.Revision++
				e.allowAttempts(1)
			})
			if tt.relay {
				e.callRelayed(http.MethodGet, "/bookings", "")
			} else {
				e.call(http.MethodGet, "/bookings", "")
			}
			is.Equal(e.arrivals(), uint64(1))
		})
	}
}

// Guards against a write that goes through a second instance while the first may still send
// it.
func TestRelayedWriteGoesThroughNoSecondInstance(t *testing.T) {
	shapes := []struct {
		name string
		link func(http.HandlerFunc, *sync.WaitGroup) http.HandlerFunc
	}{
		{
			name: "paused before it sends",
			link: paused,
		},
		{
			name: "connection ends",
			link: cutOff,
		},
		{
			name: "doesn't notice that its caller left",
			link: unaware,
		},
	}
	for _, shape := range shapes {
		t.Run(shape.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := newRelayEnv(t, 4, 0)
			e.overdue = &overdueSettings{
				wait:    attemptOverdue,
				granted: true,
			}
			e.relays.overdue = relayOverdue
			var goesOn sync.WaitGroup
			for range 4 {
				e.addHelper(shape.link(e.newHelper(), &goesOn))
			}
			for _, s := range e.targets {
				s.SetFaults(standin.TargetFaults{Hang: true})
			}
			got := e.callRelayed(http.MethodPost, "/bookings", "tanker", withExecution("w"))
			goesOn.Wait()
			is.True(got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout)
			is.True(got.outcome() != entry.OutcomeNotRun)
			is.Equal(len(e.relays.outcomes), 1) // instances that it went through
			is.True(e.executions("w") <= 1)
		})
	}
}

// allowAttempts sets how many attempts all routes allow.
func (e *testEnv) allowAttempts(n int) {
	for i := range e.document.Routes {
		e.document.Routes[i].Attempts = n
	}
	e.publish()
}

// newHandler returns the handler of an instance with some relays, or none if they are nil.
func (e *relayEnv) newHandler(relays entry.Relays, options ...entry.Option) *entry.Handler {
	return entry.New(entry.Dependencies{
		Snapshots:  e,
		Admission:  e.admission,
		Claims:     e.claims,
		Dispatcher: e,
		Quarantine: e.quarantine,
		Relays:     relays,
	}, options...)
}

// relaysIf returns the relays of an instance without links, or nil for one with links.
func (e *relayEnv) relaysIf(withoutLinks bool) entry.Relays {
	if !withoutLinks {
		return nil
	}
	return e.relays
}

// newHelper returns the handler for relayed requests of another instance.
func (e *relayEnv) newHelper(options ...entry.Option) http.HandlerFunc {
	return entry.New(entry.Dependencies{
		Snapshots:  e,
		Admission:  e.helperAdmission,
		Claims:     e.claims,
		Dispatcher: e,
		Quarantine: e.quarantine,
		Relays:     directRelays{},
	}, options...).ServeRelayed
}

// arrivals returns how many requests have reached the targets.
func (e *relayEnv) arrivals() uint64 {
	var n uint64
	for _, s := range e.targets {
		n += s.Counts().Arrived
	}
	return n
}

// unreachableAfter are the relays of a helper that loses its links to the service at a time.
type unreachableAfter struct{ lostAt time.Time }

func (u unreachableAfter) Acquire(context.Context, entry.RelayRequest) (entry.Relay, error) {
	if time.Now().Before(u.lostAt) {
		return nil, nil
	}
	return nil, &entry.Refusal{
		Status:    http.StatusServiceUnavailable,
		Reason:    entry.UnreachableReason,
		Elsewhere: true,
	}
}

// Guards against a read that waits until it is overdue at another instance that has lost its
// links as well and knows it, against a status that says that such a read hasn't run, and against
// a write that is given up there.
func TestHelperThatLosesItsLinksEndsReadsOnly(t *testing.T) {
	const (
		lostAfter    = 100 * time.Millisecond
		noticedAfter = 150 * time.Millisecond
	)
	tests := []struct {
		name     string
		method   string
		attempts int
		status   int
		outcomes []entry.RelayOutcome
	}{
		{
			name:     "read",
			method:   http.MethodGet,
			attempts: 3,
			status:   http.StatusOK,
			outcomes: []entry.RelayOutcome{entry.RelayCutOff, entry.RelayAnswered},
		},
		{
			name:     "read that may not be retried",
			method:   http.MethodGet,
			attempts: 1,
			status:   http.StatusBadGateway,
			outcomes: []entry.RelayOutcome{entry.RelayCutOff},
		},
		{
			name:     "write",
			method:   http.MethodPost,
			attempts: 3,
			status:   http.StatusOK,
			outcomes: []entry.RelayOutcome{entry.RelayAnswered},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newRelayEnv(t, 2, 0)
			e.allowAttempts(tt.attempts)
			e.overdue = &overdueSettings{
				wait:         timeout,
				granted:      true,
				unresponsive: noticedAfter,
			}
			e.relays.overdue = timeout
			e.addHelper(entry.New(entry.Dependencies{
				Snapshots:  e,
				Admission:  e.helperAdmission,
				Claims:     e.claims,
				Dispatcher: e,
				Quarantine: e.quarantine,
				Relays: unreachableAfter{
					lostAt: time.Now().Add(lostAfter),
				},
			}).ServeRelayed)
			e.addHelper(e.newHelper())
			for _, s := range e.targets {
				s.SetFaults(standin.TargetFaults{SlowFactor: 500})
			}
			time.AfterFunc(lostAfter, func() {
				for _, s := range e.targets {
					s.SetFaults(standin.TargetFaults{})
				}
			})
			began := time.Now()
			answer := e.callRelayed(tt.method, "/bookings", "")
			took := time.Since(began)
			is.Equal(answer.status, tt.status)
			is.True(tt.status == http.StatusOK || answer.outcome() == entry.OutcomeUnknown)
			t.Logf("took %v", took)
			is.True(tt.method != http.MethodGet || took < 2*noticedAfter)
			is.Equal(e.relays.outcomes, tt.outcomes)
			is.Equal(e.arrivals(), uint64(len(tt.outcomes)))
		})
	}
}
