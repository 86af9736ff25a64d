package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/retry"
)

// relayEnv is an environment whose handler has no links to the targets, and other instances
// that have.
type relayEnv struct {
	*testEnv
	relays *fakeRelays
	// callers is the server of the handler without links.
	callers *httptest.Server
	// helperAdmission counts the costs that the other instances take.
	helperAdmission *fakeAdmission
}

// newRelayEnv returns an environment with the targets and a number of other instances.
func newRelayEnv(t *testing.T, targets, helpers int) *relayEnv {
	t.Helper()
	e := &relayEnv{
		testEnv:         newTestEnv(t, targets),
		relays:          &fakeRelays{},
		helperAdmission: &fakeAdmission{},
	}
	for range helpers {
		e.addHelper(e.newHelper())
	}
	e.callers = httptest.NewServer(e.newHandler(e.relays))
	t.Cleanup(e.callers.Close)
	return e
}

// addHelper starts another instance with a handler for relayed requests.
func (e *relayEnv) addHelper(serve http.HandlerFunc) {
	s := httptest.NewServer(serve)
	e.t.Cleanup(s.Close)
	e.relays.helpers = append(e.relays.helpers, instance.Address(s.Listener.Addr().String()))
}

// callRelayed sends a request to the handler without links.
func (e *relayEnv) callRelayed(method, path, body string, change ...func(*http.Request)) callResult {
	e.t.Helper()
	r, err := http.NewRequestWithContext(e.t.Context(), method, e.callers.URL+path, strings.NewReader(body))
	is.New(e.t).NoErr(err)
	r.Header.Set("X-Api-Key", key)
	for _, f := range change {
		f(r)
	}
	return do(e.callers.Client(), r)
}

// fakeRelays sends each attempt through the next of the other instances.
type fakeRelays struct {
	helpers  []instance.Address
	mu       sync.Mutex
	next     int
	outcomes []entry.RelayOutcome
	leaving  []string
	overdue  time.Duration
}

func (f *fakeRelays) Acquire(context.Context, entry.RelayRequest) (entry.Relay, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	helper := f.helpers[f.next%len(f.helpers)]
	f.next++
	return fakeRelay{
		relays: f,
		helper: helper,
	}, nil
}

type fakeRelay struct {
	relays *fakeRelays
	helper instance.Address
}

func (r fakeRelay) Instance() instance.Address  { return r.helper }
func (r fakeRelay) OverdueAfter() time.Duration { return r.relays.overdue }

func (r fakeRelay) Release(result entry.RelayResult) {
	r.relays.mu.Lock()
	defer r.relays.mu.Unlock()
	r.relays.outcomes = append(r.relays.outcomes, result.Outcome)
	r.relays.leaving = append(r.relays.leaving, result.LeavingTarget)
}

// directRelays are those of an instance with links. They fail the test if a relayed
// request is to be sent on.
type directRelays struct{}

func (directRelays) Acquire(_ context.Context, r entry.RelayRequest) (entry.Relay, error) {
	if !r.Relayed {
		panic("a relayed request isn't marked as such")
	}
	return nil, nil
}

// Guards against relayed requests that differ from direct ones for the caller or the
// target, that are charged twice, or that run more than once.
func TestRelayedRequestIsServedOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			e := newRelayEnv(t, 2, 1)
			for i := range 10 {
				id := strconv.Itoa(i)
				got := e.callRelayed(method, "/bookings/"+id, "tanker", withExecution(id))
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.True(strings.Contains(got.body, "/bookings/"+id))
				is.True(strings.Contains(got.body, `"BodyBytes":6`))
				is.Equal(e.executions(id), 1)
				for name := range got.header {
					is.True(!strings.HasPrefix(name, "Dandelionmux-"))
				}
			}
			is.Equal(e.keysSeen(), uint64(0))
			is.Equal(e.admission.spent.Load(), int64(10))
			is.Equal(e.helperAdmission.admitted.Load(), int64(0))
		})
	}
}

// Guards against an instance that passes on a target's announcement of its leave to a
// caller, and goes on sending requests to the target because another instance had got it.
func TestRelayedAnswerTellsOfLeavingTarget(t *testing.T) {
	is := is.New(t)
	e := newRelayEnv(t, 1, 1)
	is.Equal(e.callRelayed(http.MethodPost, "/bookings", "tanker").status, http.StatusOK)
	e.targets[0].SetFaults(standin.TargetFaults{Drain: true})
	is.Equal(e.callRelayed(http.MethodPost, "/bookings", "tanker").status, http.StatusOK)
	is.Equal(e.relays.leaving, []string{"", "desk-a"})
}

// Guards against a caller's own refusals, the target's errors and a withdrawn key that are
// lost on the way through another instance.
func TestRelayedRefusalsReachTheCaller(t *testing.T) {
	tests := []struct {
		name   string
		method string
		faults standin.TargetFaults
		status int
		// outcome is what the caller is told. A target whose time is over may answer 504
		// itself, which says nothing.
		outcome string
		orNone  bool
		runs    int
	}{
		{
			name:    "target sheds",
			method:  http.MethodPost,
			faults:  standin.TargetFaults{Shed: true},
			status:  http.StatusServiceUnavailable,
			outcome: entry.OutcomeNotRun,
		},
		{
			name:    "target dies while it runs the request",
			method:  http.MethodPost,
			faults:  standin.TargetFaults{Death: standin.DeathDuring},
			status:  http.StatusBadGateway,
			outcome: entry.OutcomeUnknown,
			runs:    1,
		},
		{
			name:    "target gives no answer",
			method:  http.MethodPost,
			faults:  standin.TargetFaults{Hang: true},
			status:  http.StatusGatewayTimeout,
			outcome: entry.OutcomeUnknown,
			orNone:  true,
			runs:    1,
		},
		{
			name:   "target's own error",
			method: http.MethodPost,
			faults: standin.TargetFaults{GrayFraction: 1},
			status: http.StatusInternalServerError,
			runs:   1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newRelayEnv(t, 1, 2)
			e.targets[0].SetFaults(tt.faults)
			got := e.callRelayed(tt.method, "/bookings", "tanker", withExecution("x"))
			is.NoErr(got.err)
			is.Equal(got.status, tt.status)
			is.True(got.outcome() == tt.outcome || tt.orNone && got.outcome() == "")
			is.Equal(e.executions("x"), tt.runs)
		})
	}
}

// Guards against an answer that breaks off and looks complete to the caller.
func TestRelayedAnswerThatBreaksOffIsNoAnswer(t *testing.T) {
	for _, cut := range []standin.Truncation{standin.TruncateLength, standin.TruncateChunk} {
		t.Run(string(cut), func(t *testing.T) {
			is := is.New(t)
			e := newRelayEnv(t, 1, 1)
			e.targets[0].SetFaults(standin.TargetFaults{Truncate: cut})
			got := e.callRelayed(http.MethodPost, "/bookings", "tanker")
			is.True(got.err != nil || got.status == http.StatusBadGateway)
		})
	}
}

// declining returns a handler of an instance that refuses all relayed requests.
func declining(e *relayEnv) http.HandlerFunc {
	h := entry.New(entry.Dependencies{
		Snapshots: e,
	})
	return h.DeclineRelayed
}

// dying is the handler of an instance whose connections die after the request was read.
func dying(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against requests that run twice, or are refused although another instance could
// serve them, when an instance through which they go fails.
func TestFailingHelpers(t *testing.T) {
	tests := []struct {
		name   string
		method string
		// helpers are the handlers of the instances that are tried before one that works.
		helpers  func(e *relayEnv) []http.HandlerFunc
		status   int
		outcome  string
		runs     int
		outcomes []entry.RelayOutcome
	}{
		{
			name:     "write, one declines",
			method:   http.MethodPost,
			helpers:  func(e *relayEnv) []http.HandlerFunc { return []http.HandlerFunc{declining(e)} },
			status:   http.StatusOK,
			runs:     1,
			outcomes: []entry.RelayOutcome{entry.RelayDeclined, entry.RelayAnswered},
		},
		{
			name:     "write, connection dies",
			method:   http.MethodPost,
			helpers:  func(*relayEnv) []http.HandlerFunc { return []http.HandlerFunc{dying} },
			status:   http.StatusBadGateway,
			outcome:  entry.OutcomeUnknown,
			outcomes: []entry.RelayOutcome{entry.RelayFailed},
		},
		{
			name:     "read, connection dies",
			method:   http.MethodGet,
			helpers:  func(*relayEnv) []http.HandlerFunc { return []http.HandlerFunc{dying} },
			status:   http.StatusOK,
			runs:     1,
			outcomes: []entry.RelayOutcome{entry.RelayFailed, entry.RelayAnswered},
		},
		{
			name:   "write, answer of something else",
			method: http.MethodPost,
			helpers: func(*relayEnv) []http.HandlerFunc {
				return []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }}
			},
			status:   http.StatusBadGateway,
			outcome:  entry.OutcomeUnknown,
			outcomes: []entry.RelayOutcome{entry.RelayAnswered},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newRelayEnv(t, 1, 1)
			e.overdue = &overdueSettings{
				granted: true,
			}
			working := e.relays.helpers
			e.relays.helpers = nil
			for _, h := range tt.helpers(e) {
				e.addHelper(h)
			}
			e.relays.helpers = append(e.relays.helpers, working...)
			got := e.callRelayed(tt.method, "/bookings", "tanker", withExecution("x"))
			is.NoErr(got.err)
			is.Equal(got.status, tt.status)
			is.Equal(got.outcome(), tt.outcome)
			is.Equal(e.executions("x"), tt.runs)
			is.Equal(e.relays.outcomes, tt.outcomes)
		})
	}
}

// Guards against a write that waits for instances that can't be connected to.
func TestUnreachableHelpersEndTheRequestAsNotRun(t *testing.T) {
	is := is.New(t)
	e := newRelayEnv(t, 1, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	e.relays.helpers = []instance.Address{instance.Address(l.Addr().String())}
	is.NoErr(l.Close())
	got := e.callRelayed(http.MethodPost, "/bookings", "tanker", withExecution("x"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.outcome(), entry.OutcomeNotRun)
	is.Equal(e.executions("x"), 0)
}

// Guards against work that goes on at a target after the caller of a relayed request has
// left.
func TestRelayedRequestEndsWithItsCaller(t *testing.T) {
	e := newRelayEnv(t, 1, 1)
	e.targets[0].SetFaults(standin.TargetFaults{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.callers.URL+"/bookings", http.NoBody)
		r.Header.Set("X-Api-Key", key)
		do(e.callers.Client(), r)
	}()
	waitUntil(t, func() bool { return e.targets[0].Counts().Executed == 1 })
	cancel()
	waitUntil(t, func() bool { return e.targets[0].Counts().Cancelled == 1 })
}

// Guards against a request that gets more time from another instance than its caller
// gave it.
func TestRelayedRequestGetsTheTimeThatIsLeft(t *testing.T) {
	is := is.New(t)
	e := newRelayEnv(t, 1, 1)
	e.targets[0].SetFaults(standin.TargetFaults{Hang: true})
	began := time.Now()
	got := e.callRelayed(http.MethodPost, "/bookings", "tanker", withHeader(entry.TimeoutHeader, "300"))
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.True(time.Since(began) < 600*time.Millisecond)
}

// Guards against an instance that serves a relayed request by an older document than the
// instance that sent it, so that a change seems to be undone.
func TestRelayedRequestNeedsNoOlderDocument(t *testing.T) {
	is := is.New(t)
	e := newRelayEnv(t, 1, 0)
	old := e.Current()
	helper := entry.New(entry.Dependencies{
		Snapshots: fixedSnapshot{
			snapshot: old,
		},
		Admission:  e.helperAdmission,
		Claims:     e.claims,
		Dispatcher: e,
		Quarantine: e.quarantine,
	})
	e.addHelper(helper.ServeRelayed)
	e.document.Revision++
	e.publish()
	got := e.callRelayed(http.MethodPost, "/bookings", "tanker", withExecution("x"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.header.Get(entry.ReasonHeader), "older-configuration")
	is.Equal(e.executions("x"), 0)
}

// fixedSnapshot always gives the same snapshot.
type fixedSnapshot struct{ snapshot *entry.Snapshot }

func (f fixedSnapshot) Current() *entry.Snapshot { return f.snapshot }

// Guards against an instance that is flooded with requests of other instances, so that its
// own callers are refused.
func TestRelayedRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	e := newRelayEnv(t, 1, 0)
	full := &fullDispatcher{
		released: make(chan struct{}),
	}
	helper := entry.New(entry.Dependencies{
		Snapshots:  e,
		Admission:  e.helperAdmission,
		Claims:     e.claims,
		Dispatcher: full,
		Quarantine: e.quarantine,
	})
	e.addHelper(helper.ServeRelayed)
	release := sync.OnceFunc(func() { close(full.released) })
	defer release()
	const surplus = 50
	// A request may also fail to connect in time on a busy machine. The others then fill
	// the instance.
	var declined, unconnected atomic.Int64
	var calls sync.WaitGroup
	for range entry.MaxRelayedRequests + surplus {
		calls.Go(func() {
			switch e.callRelayed(http.MethodPost, "/bookings", "tanker").header.Get(entry.ReasonHeader) {
			case "instance-full":
				declined.Add(1)
			case "relay-unconnected":
				unconnected.Add(1)
			}
		})
	}
	refused := func() int64 { return declined.Load() + unconnected.Load() }
	waitUntil(t, func() bool { return full.waiting.Load()+refused() == entry.MaxRelayedRequests+surplus })
	release()
	calls.Wait()
	is.Equal(full.most.Load(), int64(entry.MaxRelayedRequests))
	is.Equal(refused(), int64(surplus))
	is.True(declined.Load() > 0)
}

// fullDispatcher has no free slots. Requests wait until released is closed.
type fullDispatcher struct {
	waiting  atomic.Int64
	most     atomic.Int64
	released chan struct{}
}

func (d *fullDispatcher) Acquire(context.Context, entry.SlotRequest) (entry.Slot, error) {
	waiting := d.waiting.Add(1)
	defer d.waiting.Add(-1)
	for most := d.most.Load(); waiting > most && !d.most.CompareAndSwap(most, waiting); most = d.most.Load() {
	}
	<-d.released
	return nil, &entry.Refusal{
		Status: http.StatusServiceUnavailable,
		Reason: "no-slot",
	}
}

func (d *fullDispatcher) Retry(context.Context, string, retry.Attempt) bool { return false }
