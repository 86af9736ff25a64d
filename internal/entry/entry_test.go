package entry_test

import (
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/document"
)

// Whatever a target does with a POST, the request runs at most once, and the caller
// is told not-run only if it didn't run.
func TestRequestThatMayNotBeRepeatedRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.TargetFaults
		// status and outcome are what the caller gets.
		status  int
		outcome string
		ran     bool
	}{
		{"healthy", standin.TargetFaults{}, http.StatusOK, "", true},
		{"dies before the run", standin.TargetFaults{Death: standin.DeathBefore}, http.StatusBadGateway, entry.OutcomeUnknown, false},
		{"dies during the run", standin.TargetFaults{Death: standin.DeathDuring}, http.StatusBadGateway, entry.OutcomeUnknown, true},
		{"dies after the run", standin.TargetFaults{Death: standin.DeathAfter}, http.StatusBadGateway, entry.OutcomeUnknown, true},
		{"body short of its length", standin.TargetFaults{Truncate: standin.TruncateLength}, http.StatusBadGateway, entry.OutcomeUnknown, true},
		{"chunks cut", standin.TargetFaults{Truncate: standin.TruncateChunk}, http.StatusBadGateway, entry.OutcomeUnknown, true},
		{"crossed answer", standin.TargetFaults{Cross: true}, http.StatusBadGateway, entry.OutcomeUnknown, true},
		{"server error", standin.TargetFaults{GrayFraction: 1}, http.StatusInternalServerError, "", true},
		{"shed", standin.TargetFaults{Shed: true}, http.StatusServiceUnavailable, entry.OutcomeNotRun, false},
		{"hangs", standin.TargetFaults{Hang: true}, http.StatusGatewayTimeout, entry.OutcomeUnknown, true},
	}
	for _, tt := range tests {
		for _, warm := range []bool{false, true} {
			name := tt.name
			if warm {
				name += " on a kept-alive connection"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				env := newTestEnv(t, 3)
				if warm {
					for range 6 {
						is.Equal(env.call(http.MethodGet, "/bookings", "").status, http.StatusOK)
					}
				}
				for _, s := range env.targets {
					s.SetFaults(tt.faults)
				}
				got := env.call(http.MethodPost, "/bookings", "tanker", withExecution("e1"))
				is.NoErr(got.err)
				is.Equal(got.status, tt.status)
				if tt.faults.Hang {
					// The target is told the deadline too, and may answer at it before
					// the handler does.
					is.True(got.outcome() != entry.OutcomeNotRun)
				} else {
					is.Equal(got.outcome(), tt.outcome)
				}
				want := 0
				if tt.ran {
					want = 1
				}
				is.Equal(env.executions("e1"), want)
				if got.outcome() != "" {
					is.True(got.header.Get("Retry-After") != "") // the caller is told when to retry
				}
			})
		}
	}
}

// A GET must be answered by the healthy target whatever fault the other one has.
func TestRepeatableRequestIsServedByAnotherTarget(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.TargetFaults
	}{
		{"dies before the run", standin.TargetFaults{Death: standin.DeathBefore}},
		{"dies after the run", standin.TargetFaults{Death: standin.DeathAfter}},
		{"body short of its length", standin.TargetFaults{Truncate: standin.TruncateLength}},
		{"chunks cut", standin.TargetFaults{Truncate: standin.TruncateChunk}},
		{"crossed answer", standin.TargetFaults{Cross: true}},
		{"server error", standin.TargetFaults{GrayFraction: 1}},
		{"shed", standin.TargetFaults{Shed: true}},
		{"hangs", standin.TargetFaults{Hang: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t, 2)
			for range 50 {
				is.Equal(env.call(http.MethodGet, "/bookings", "").status, http.StatusOK)
			}
			env.targets[0].SetFaults(tt.faults)
			for i := range 6 {
				id := strconv.Itoa(i)
				got := env.call(http.MethodGet, "/bookings/"+id, "", withExecution(id))
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.True(strings.Contains(got.body, id)) // the answer belongs to this request
			}
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 1)
	env.targets[0].Close()
	got := env.call(http.MethodPost, "/bookings", "tanker")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.outcome(), entry.OutcomeNotRun)
	is.Equal(env.admission.returned.Load(), int64(1))
	is.Equal(env.admission.spent.Load(), int64(0))
}

// Guards against a request that is sent to a target which has asked for rest since it was
// chosen, and against a caller who is refused for that.
func TestTargetThatRestsBeforeTheFirstByteGetsNothing(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t, 2)
			env.overdue = &overdueSettings{
				granted: true,
			}
			for i := range 10 {
				id := strconv.Itoa(i)
				env.restsOnce.Store(true)
				got := env.call(method, "/bookings", "", withExecution(id))
				is.Equal(got.status, http.StatusOK)
				is.Equal(env.executions(id), 1)
			}
			is.Equal(env.targets[0].Counts().Arrived+env.targets[1].Counts().Arrived, uint64(10))
		})
	}
}

// A caller's key must not reach a target, on whichever route and in whichever place
// the caller sends it.
func TestCallersKeyDoesNotReachTargets(t *testing.T) {
	query := func(r *http.Request) {
		r.Header.Del("X-Api-Key")
		r.URL.RawQuery = url.Values{
			"token": {key},
			"page":  {"2"},
		}.Encode()
	}
	cookie := func(r *http.Request) {
		r.Header.Del("X-Api-Key")
		r.Header.Set("Cookie", "theme=dark; session="+key+"; lang=fj")
	}
	bearer := func(r *http.Request) {
		r.Header.Del("X-Api-Key")
		r.Header.Set("Authorization", "bearer "+key)
	}
	tests := []struct {
		name   string
		path   string
		change func(*http.Request)
		status int
	}{
		{"header", "/bookings", func(*http.Request) {}, http.StatusOK},
		{"query", "/by-query", query, http.StatusOK},
		{"cookie", "/by-cookie", cookie, http.StatusOK},
		{"bearer", "/by-bearer", bearer, http.StatusOK},
		{"header on an open route", "/public", func(*http.Request) {}, http.StatusOK},
		{"cookie on an open route", "/public", cookie, http.StatusOK},
		{"bearer on an open route", "/public", bearer, http.StatusOK},
		{"query on an open route", "/public", query, http.StatusOK},
		{"header and cookie", "/by-cookie", func(r *http.Request) { r.Header.Set("Cookie", "session="+key) }, http.StatusOK},
		{"wrong place", "/by-cookie", func(*http.Request) {}, http.StatusUnauthorized},
		{"twice", "/bookings", func(r *http.Request) { r.Header.Add("X-Api-Key", otherKey) }, http.StatusUnauthorized},
		{"unknown", "/bookings", withHeader("X-Api-Key", "guess"), http.StatusUnauthorized},
		{"none", "/bookings", func(r *http.Request) { r.Header.Del("X-Api-Key") }, http.StatusUnauthorized},
		{"named as a connection header", "/bookings", withHeader("Connection", "X-Api-Key"), http.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t, 1)
			got := env.call(http.MethodGet, tt.path, "", tt.change, withExecution("e1"))
			is.Equal(got.status, tt.status)
			is.Equal(env.keysSeen(), uint64(0))
			if tt.status != http.StatusOK {
				is.Equal(got.outcome(), entry.OutcomeNotRun)
				is.Equal(env.executions("e1"), 0)
			}
		})
	}
}

// A key that was removed from the document must be refused on a connection that was
// opened while it was valid.
func TestWithdrawnKeyIsRefusedOnOpenConnection(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 1)
	is.Equal(env.call(http.MethodPost, "/bookings", "").status, http.StatusOK)
	env.document.Organisations[0].KeyDigests = nil
	env.publish()
	got := env.call(http.MethodPost, "/bookings", "", withExecution("e1"))
	is.Equal(got.status, http.StatusUnauthorized)
	is.Equal(got.outcome(), entry.OutcomeNotRun)
	is.Equal(env.executions("e1"), 0)
}

// A key may be withdrawn while its request waits for a slot. The request must then be
// refused and not sent.
func TestKeyWithdrawnWhileRequestWaits(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 1)
	env.targets[0].SetFaults(standin.TargetFaults{
		Hang: true,
	})
	const requests = 12 // more than the target has slots
	for range requests {
		go env.call(http.MethodPost, "/bookings", "", withHeader("X-Api-Key", otherKey), withHeader(entry.TimeoutHeader, "500"))
	}
	arrived := func() int { return int(env.targets[0].Counts().Arrived) }
	waitUntil(t, func() bool { return arrived()+env.dispatch.Waiting("desk") == requests })
	waiting := env.dispatch.Waiting("desk")
	got := make(chan callResult, 1)
	go func() { got <- env.call(http.MethodPost, "/bookings", "", withExecution("e1")) }()
	waitUntil(t, func() bool { return env.dispatch.Waiting("desk") == waiting+1 })
	env.document.Organisations[0].KeyDigests = nil
	env.publish()
	env.targets[0].SetFaults(standin.TargetFaults{})
	a := <-got
	is.Equal(a.status, http.StatusUnauthorized)
	is.Equal(a.outcome(), entry.OutcomeNotRun)
	is.Equal(env.executions("e1"), 0)
}

// A request whose grant has lapsed must not be sent.
func TestRequestWithLapsedGrantIsNotSent(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 1)
	env.admission.lapsed.Store(true)
	got := env.call(http.MethodPost, "/bookings", "", withExecution("e1"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.outcome(), entry.OutcomeNotRun)
	is.Equal(env.executions("e1"), 0)
}

// A grant may lapse while its request waits for a slot. The request must then be
// admitted again.
func TestGrantThatLapsedWhileWaitingIsRenewed(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 1)
	env.admission.lapsesLeft.Store(1)
	got := env.call(http.MethodPost, "/bookings", "", withExecution("e1"))
	is.Equal(got.status, http.StatusOK)
	is.Equal(env.executions("e1"), 1)
	is.Equal(env.admission.admitted.Load(), int64(2))
	is.Equal(env.admission.returned.Load(), int64(1)) // the lapsed one
	is.Equal(env.admission.spent.Load(), int64(1))
}

func TestCallerCannotSetFleetHeaders(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 1)
	got := env.call(http.MethodPost, "/bookings", "",
		withHeader("Dandelionmux-Organisation", "mill"),
		withHeader("dandelionmux-request", "other"))
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.header.Get(entry.RequestIDHeader), "") // the fleet's ids aren't passed to callers
	is.True(strings.Contains(got.body, "orchard"))
}

func TestIdempotencyKeyRunsOnce(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 2)
	first := env.call(http.MethodPost, "/bookings", "x", withHeader("Idempotency-Key", "k1"), withExecution("e1"))
	is.Equal(first.status, http.StatusOK)
	again := env.call(http.MethodPost, "/bookings", "x", withHeader("Idempotency-Key", "k1"), withExecution("e1"))
	is.Equal(again.status, http.StatusConflict)
	is.Equal(again.outcome(), entry.OutcomeUnknown)
	is.Equal(again.header.Get(entry.FirstRequestHeader), "ended")
	is.Equal(env.executions("e1"), 1)
}

// A claim on a request that didn't run must be released, so that the caller can
// resend the request with the same key.
func TestClaimIsReleasedIfRequestDidNotRun(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 1)
	env.targets[0].SetFaults(standin.TargetFaults{
		Shed:       true,
		RetryAfter: "0",
	})
	shed := env.call(http.MethodPost, "/bookings", "x", withHeader("Idempotency-Key", "k1"), withExecution("e1"))
	is.Equal(shed.outcome(), entry.OutcomeNotRun)
	env.targets[0].SetFaults(standin.TargetFaults{})
	again := env.call(http.MethodPost, "/bookings", "x", withHeader("Idempotency-Key", "k1"), withExecution("e1"))
	is.Equal(again.status, http.StatusOK)
	is.Equal(env.executions("e1"), 1)
}

// Guards against a request that is quarantined because targets answered it with bytes that
// are no answer: they haven't crashed.
func TestMalformedAnswerIsNoCrash(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = c.Write([]byte("bytes that are no answer\r\n\r\n"))
			_ = c.Close()
		}
	}()
	env := newTestEnv(t, 0)
	env.document.Services[0].Targets = []document.Target{{
		Name:        "desk-malformed",
		Address:     listener.Addr().String(),
		Zone:        "a",
		Slots:       6,
		Connections: 350,
	}}
	env.publish()
	for range 5 {
		got := env.call(http.MethodPost, "/bookings", "tanker")
		is.Equal(got.status, http.StatusBadGateway) // never 503 quarantined
		is.Equal(got.header.Get(entry.ReasonHeader), "answer-malformed")
	}
}

// Guards against a request whose crashes are forgotten because a target with gray failures
// answers it with a server error.
func TestServerErrorsClearNoRequest(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		gray    float64
		cleared int
	}{
		{
			name:   "write with server errors",
			method: http.MethodPost,
			gray:   1,
		},
		{
			name:   "read with server errors",
			method: http.MethodGet,
			gray:   1,
		},
		{
			name:    "write",
			method:  http.MethodPost,
			cleared: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t, 2)
			for _, s := range env.targets {
				s.SetFaults(standin.TargetFaults{
					GrayFraction: tt.gray,
				})
			}
			env.call(tt.method, "/bookings", "x")
			env.quarantine.mu.Lock()
			defer env.quarantine.mu.Unlock()
			is.Equal(env.quarantine.answered, tt.cleared)
		})
	}
}

func TestCrashingRequestCrashesAtMostTwoTargets(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 5)
	for range 10 {
		env.call(http.MethodPost, "/bookings", "poison", withHeader(standin.HeaderCrash, "1"))
	}
	var crashes uint64
	for _, s := range env.targets {
		crashes += s.Counts().Crashes
	}
	is.Equal(crashes, uint64(2))
	waitUntil(t, func() bool { return env.call(http.MethodPost, "/bookings", "sound").status == http.StatusOK })
}

// An instance without a document, or with a stale one, must refuse requests as
// not-run.
func TestInstanceThatIsNotReadyRefusesRequests(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 1)
	expired := *env.Current()
	expired.TrustedUntil = boot.Now()
	for _, s := range []*entry.Snapshot{{}, &expired} {
		env.snapshot.Store(s)
		got := env.call(http.MethodPost, "/bookings", "", withExecution("e1"))
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.outcome(), entry.OutcomeNotRun)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(env.executions("e1"), 0)
}

func TestBodyAboveLimitIsRefused(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 1)
	env.document.Policy.MaximumBody = 10
	env.publish()
	got := env.call(http.MethodPost, "/bookings", "eleven byte", withExecution("e1"))
	is.Equal(got.status, http.StatusRequestEntityTooLarge)
	is.Equal(got.outcome(), entry.OutcomeNotRun)
	is.Equal(env.executions("e1"), 0)
}

// All targets are slow, so that the overdue attempt is the first to be answered. Another one
// may run beside it only if a retry is granted, and not while the instance is leaving.
func TestAttemptBesideAnOverdueOneIsGranted(t *testing.T) {
	const work = 300 * time.Millisecond
	tests := []struct {
		name      string
		granted   bool
		leaving   bool
		cancelled uint64
	}{
		{
			name: "retry not granted",
		},
		{
			name:    "instance leaving",
			granted: true,
			leaving: true,
		},
		{
			name:      "retry granted",
			granted:   true,
			cancelled: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t, 2)
			for i := range env.document.Routes {
				env.document.Routes[i].Attempts = 2
			}
			env.publish()
			env.overdue = &overdueSettings{
				wait:    50 * time.Millisecond,
				granted: tt.granted,
			}
			for _, s := range env.targets {
				s.SetFaults(standin.TargetFaults{SlowFactor: float64(work / time.Millisecond)})
			}
			if tt.leaving {
				s := *env.snapshot.Load()
				s.Leaving = true
				env.snapshot.Store(&s)
			}
			is.Equal(env.call(http.MethodGet, "/bookings/1", "").status, http.StatusOK)
			cancelled, arrived := uint64(0), uint64(0)
			waitUntil(t, func() bool { // the target notices the cancellation after the answer
				cancelled, arrived = 0, 0
				for _, s := range env.targets {
					cancelled += s.Counts().Cancelled
					arrived += s.Counts().Arrived
				}
				return cancelled >= tt.cancelled
			})
			is.Equal(cancelled, tt.cancelled)
			is.Equal(arrived, 1+tt.cancelled)
		})
	}
}

// Guards against a read that waits to its deadline for a target that has stopped answering:
// because a retry was refused once, or because others have found that out earlier.
func TestReadLeavesUnresponsiveTarget(t *testing.T) {
	tests := []struct {
		name     string
		overdue  *overdueSettings
		refusals int64
	}{
		{
			name: "others have found out",
			overdue: &overdueSettings{
				wait:         timeout,
				granted:      true,
				unresponsive: 50 * time.Millisecond,
			},
		},
		{
			name: "a retry was refused before",
			overdue: &overdueSettings{
				wait:    50 * time.Millisecond,
				granted: true,
			},
			refusals: 2,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t, 2)
			tt.overdue.refusals.Store(tt.refusals)
			env.overdue = tt.overdue
			env.targets[0].SetFaults(standin.TargetFaults{Hang: true})
			for range 4 {
				env.overdue.refusals.Store(tt.refusals)
				is.Equal(env.call(http.MethodGet, "/bookings", "").status, http.StatusOK)
			}
		})
	}
}
