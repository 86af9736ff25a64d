package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/dispatch"
	"dandelionmux/internal/entry"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/placement"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

const (
	key      = "key-of-orchard"
	otherKey = "key-of-mill"
	downtime = 50 * time.Millisecond
	// timeout is the routes' own, short because hanging targets exhaust it.
	timeout = 2 * time.Second
)

// testEnv is a handler with real dispatch and stand-in targets, and with fakes of
// the coordination behind the other ports.
type testEnv struct {
	t        *testing.T
	began    time.Time
	targets  []*standin.TargetServer
	dispatch *dispatch.Dispatcher
	// overdue, if set, stands before dispatch.
	overdue    *overdueSettings
	snapshot   atomic.Pointer[entry.Snapshot]
	document   document.Document
	claims     *fakeClaims
	quarantine *fakeQuarantine
	admission  *fakeAdmission
	server     *httptest.Server
}

func newTestEnv(t *testing.T, targets int) *testEnv {
	t.Helper()
	w := &testEnv{
		t:          t,
		began:      time.Now(),
		claims:     &fakeClaims{},
		quarantine: &fakeQuarantine{},
		admission:  &fakeAdmission{},
	}
	w.document = document.Document{
		Revision: 1,
		Organisations: []document.Organisation{
			{
				Name:       "orchard",
				KeyDigests: []document.KeyDigest{document.DigestKey(key)},
			},
			{
				Name:       "mill",
				KeyDigests: []document.KeyDigest{document.DigestKey(otherKey)},
			},
		},
		Routes: routes(),
		Policy: document.DefaultPolicy(),
	}
	service := document.Service{
		Name: "desk",
	}
	for i := range targets {
		name := "desk-" + string(rune('a'+i))
		s, err := standin.ServeTarget(name, "127.0.0.1:0", downtime, standin.TargetWork(time.Millisecond))
		is.New(t).NoErr(err)
		s.ForbidKeys(key, otherKey)
		t.Cleanup(s.Close)
		w.targets = append(w.targets, s)
		service.Targets = append(service.Targets, document.Target{
			Name:        name,
			Address:     s.Address(),
			Zone:        "a",
			Slots:       6,
			Connections: 350,
		})
	}
	w.document.Services = []document.Service{service}
	w.dispatch = dispatch.New(func() time.Duration { return time.Since(w.began) })
	w.publish()
	w.server = httptest.NewServer(entry.New(entry.Dependencies{
		Snapshots:  w,
		Admission:  w.admission,
		Claims:     w.claims,
		Dispatch:   w,
		Quarantine: w.quarantine,
	}))
	t.Cleanup(w.server.Close)
	return w
}

func routes() []document.Route {
	return []document.Route{
		{
			Name:       "bookings",
			PathPrefix: "/bookings",
			Service:    "desk",
			Timeout:    timeout,
		},
		{
			Name:       "public",
			PathPrefix: "/public",
			Service:    "desk",
			Timeout:    timeout,
			Open:       true,
		},
		{
			Name:       "by-query",
			PathPrefix: "/by-query",
			Service:    "desk",
			Timeout:    timeout,
			Key: document.KeyLocation{
				Place: document.InQuery,
				Name:  "token",
			},
		},
		{
			Name:       "by-cookie",
			PathPrefix: "/by-cookie",
			Service:    "desk",
			Timeout:    timeout,
			Key: document.KeyLocation{
				Place: document.InCookie,
				Name:  "session",
			},
		},
		{
			Name:       "by-bearer",
			PathPrefix: "/by-bearer",
			Service:    "desk",
			Timeout:    timeout,
			Key: document.KeyLocation{
				Place: document.InBearer,
			},
		},
	}
}

// Acquire implements entry.Dispatcher.
func (w *testEnv) Acquire(ctx context.Context, want entry.SlotRequest) (entry.Slot, error) {
	slot, err := w.dispatch.Acquire(ctx, want)
	if err != nil || w.overdue == nil {
		return slot, err
	}
	return overdueSlot{
		Slot: slot,
		wait: w.overdue.wait,
	}, nil
}

// Retry implements entry.Dispatcher.
func (w *testEnv) Retry(ctx context.Context, service string, failed retry.Attempt) bool {
	if w.overdue != nil {
		return w.overdue.granted
	}
	return w.dispatch.Retry(ctx, service, failed)
}

// overdueSettings makes slots that know how long an answer takes, and grants all
// retries or none.
type overdueSettings struct {
	wait    time.Duration
	granted bool
}

type overdueSlot struct {
	entry.Slot
	wait time.Duration
}

// OverdueAfter implements entry.Slot.
func (s overdueSlot) OverdueAfter() time.Duration { return s.wait }

// publish puts the world's document in force.
func (w *testEnv) publish() {
	var locations []document.KeyLocation
	for _, r := range w.document.Routes {
		locations = append(locations, r.Key)
	}
	var serving []target.WeightedTarget
	for _, t := range w.document.Services[0].Targets {
		serving = append(serving, target.WeightedTarget{
			Target: t,
			Weight: 1,
		})
	}
	w.dispatch.Publish([]dispatch.Service{{
		Name:       "desk",
		Definition: w.document.Services[0],
		Table: placement.NewTable(w.dispatch.Table("desk"), placement.Settings{
			Service:   "desk",
			Targets:   serving,
			Zone:      "a",
			Instances: 1,
		}),
		QueueLength:  w.document.Policy.QueueLength,
		RetryPercent: 100,
	}})
	w.snapshot.Store(&entry.Snapshot{
		Index:        document.NewIndex(w.document),
		KeyLocations: locations,
		TrustedUntil: boot.Now() + time.Hour,
	})
}

// Current implements entry.SnapshotSource.
func (w *testEnv) Current() *entry.Snapshot { return w.snapshot.Load() }

// callResult is what a caller got.
type callResult struct {
	status int
	header http.Header
	body   string
	// err is set if the answer was not whole.
	err error
}

// call sends a request with the key of orchard.
func (w *testEnv) call(method, path, body string, change ...func(*http.Request)) callResult {
	w.t.Helper()
	r, err := http.NewRequestWithContext(w.t.Context(), method, w.server.URL+path, strings.NewReader(body))
	is.New(w.t).NoErr(err)
	r.Header.Set("X-Api-Key", key)
	for _, f := range change {
		f(r)
	}
	return do(w.server.Client(), r)
}

func do(client *http.Client, r *http.Request) callResult {
	response, err := client.Do(r)
	if err != nil {
		return callResult{
			err: err,
		}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return callResult{
		status: response.StatusCode,
		header: response.Header,
		body:   string(content),
		err:    err,
	}
}

func (a callResult) outcome() string { return a.header.Get(entry.OutcomeHeader) }

// executions is how often the marked request ran, at all targets.
func (w *testEnv) executions(id string) int {
	n := 0
	for _, t := range w.targets {
		n += t.Executions()[id]
	}
	return n
}

func (w *testEnv) keysSeen() uint64 {
	var n uint64
	for _, t := range w.targets {
		n += t.Counts().KeysSeen
	}
	return n
}

func withExecution(id string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(standin.HeaderExecution, id) }
}

func withHeader(name, value string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

// fakeAdmission admits all, and counts what becomes of the grants.
type fakeAdmission struct {
	lapsed atomic.Bool
	// lapsesLeft is how many grants lapse before they are spent.
	lapsesLeft atomic.Int64
	admitted   atomic.Int64
	spent      atomic.Int64
	returned   atomic.Int64
}

func (f *fakeAdmission) Admit(context.Context, string, int) (entry.Grant, error) {
	f.admitted.Add(1)
	return f, nil
}

func (f *fakeAdmission) Valid() bool {
	return !f.lapsed.Load() && f.lapsesLeft.Add(-1) < 0
}

func (f *fakeAdmission) Spend() error {
	if f.lapsed.Load() {
		return &entry.Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "grant-lapsed",
			RetryAfter: time.Second,
		}
	}
	f.spent.Add(1)
	return nil
}

func (f *fakeAdmission) Return() { f.returned.Add(1) }

// fakeClaims is a single authority that knows all.
type fakeClaims struct {
	mu     sync.Mutex
	known  map[entry.ClaimKey]string
	lapsed atomic.Bool
	ended  []entry.ClaimResult
}

func (f *fakeClaims) Claim(_ context.Context, k entry.ClaimKey) (entry.Claim, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if first, ok := f.known[k]; ok {
		return nil, &entry.Refusal{
			Status:       http.StatusConflict,
			Reason:       "claimed",
			MayHaveRun:   true,
			FirstRequest: first,
		}
	}
	if f.known == nil {
		f.known = map[entry.ClaimKey]string{}
	}
	f.known[k] = "running"
	return &fakeClaim{
		claims: f,
		key:    k,
	}, nil
}

type fakeClaim struct {
	claims *fakeClaims
	key    entry.ClaimKey
}

func (c *fakeClaim) Check() error {
	if c.claims.lapsed.Load() {
		return &entry.Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "claim-lapsed",
			RetryAfter: time.Second,
		}
	}
	return nil
}

func (c *fakeClaim) End(e entry.ClaimResult) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	c.claims.ended = append(c.claims.ended, e)
	if !e.Ran {
		delete(c.claims.known, c.key)
		return
	}
	c.claims.known[c.key] = "ended"
}

// fakeQuarantine counts crashes and refuses after two.
type fakeQuarantine struct {
	mu      sync.Mutex
	crashes map[string]int
}

func (f *fakeQuarantine) Acquire(_ context.Context, i entry.RequestIdentity) (entry.Permit, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := i.Path + string(i.Body)
	if f.crashes[id] >= 2 {
		return nil, &entry.Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "quarantined",
			RetryAfter: time.Minute,
		}
	}
	return &fakePermit{
		strikes: f,
		id:      id,
	}, nil
}

type fakePermit struct {
	strikes *fakeQuarantine
	id      string
}

func (p *fakePermit) Deadline() time.Time { return time.Time{} }

func (p *fakePermit) Release(r entry.RunResult) {
	p.strikes.mu.Lock()
	defer p.strikes.mu.Unlock()
	if p.strikes.crashes == nil {
		p.strikes.crashes = map[string]int{}
	}
	if r.CrashedTarget != "" {
		p.strikes.crashes[p.id]++
	}
}

// waitUntil waits until the condition holds.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	limit := time.After(testTimeout)
	for !condition() {
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatal("never came true")
		}
	}
}

// testTimeout bounds waits for what must happen.
const testTimeout = 20 * time.Second
