package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/dispatch"
	"dandelionmux/internal/entry"
	"dandelionmux/internal/ingress"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/placement"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

const (
	key      = "key-of-orchard"
	otherKey = "key-of-mill"
	// downtime is how long a crashed target stays down.
	downtime = 50 * time.Millisecond
	// timeout is the timeout of all routes. It is short because requests to hanging
	// targets take all of it.
	timeout = 2 * time.Second
)

// testEnv is a handler with a real dispatcher, stand-in targets, and fakes of its
// other dependencies.
type testEnv struct {
	t        *testing.T
	began    time.Time
	targets  []*standin.TargetServer
	dispatch *dispatch.Dispatcher
	// overdue, if set, replaces the overdue time of slots and the retry decision.
	overdue *overdueSettings
	// wrap, if set, changes the slots of attempts.
	wrap atomic.Pointer[func(entry.Slot) entry.Slot]
	// restsOnce makes the target of the next attempt ask for rest after it was chosen.
	restsOnce  atomic.Bool
	snapshot   atomic.Pointer[entry.Snapshot]
	document   document.Document
	claims     *fakeClaims
	quarantine *fakeQuarantine
	admission  *fakeAdmission
	server     *callerServer
}

func newTestEnv(t *testing.T, targets int) *testEnv {
	t.Helper()
	e := &testEnv{
		t:          t,
		began:      time.Now(),
		claims:     &fakeClaims{},
		quarantine: &fakeQuarantine{},
		admission:  &fakeAdmission{},
	}
	e.document = document.Document{
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
		s, err := standin.ServeTarget(name, "127.0.0.1:0", downtime, standin.TargetWorkTime(time.Millisecond))
		is.New(t).NoErr(err)
		s.ForbidKeys(key, otherKey)
		t.Cleanup(s.Close)
		e.targets = append(e.targets, s)
		service.Targets = append(service.Targets, document.Target{
			Name:        name,
			Address:     s.Address(),
			Zone:        "a",
			Slots:       6,
			Connections: 350,
		})
	}
	e.document.Services = []document.Service{service}
	e.dispatch = dispatch.New(func() time.Duration { return time.Since(e.began) })
	e.publish()
	e.server = serveCallers(t, entry.New(e.dependencies()))
	return e
}

func (e *testEnv) dependencies() entry.Dependencies {
	return entry.Dependencies{
		Snapshots:  e,
		Admission:  e.admission,
		Claims:     e.claims,
		Dispatcher: e,
		Quarantine: e.quarantine,
	}
}

// callerServer serves callers as an instance does.
type callerServer struct {
	*ingress.Server
	address string
	client  *http.Client
}

func serveCallers(t *testing.T, h *entry.Handler) *callerServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &callerServer{
		Server:  ingress.New(h),
		address: l.Addr().String(),
		client: &http.Client{
			Transport: &http.Transport{},
		},
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		s.client.CloseIdleConnections()
		_ = s.Close()
	})
	return s
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
func (e *testEnv) Acquire(ctx context.Context, want entry.SlotRequest) (entry.Slot, error) {
	if want.Beside && e.overdue != nil && e.overdue.noRoom.Add(-1) >= 0 {
		return nil, &entry.Refusal{
			Status: http.StatusServiceUnavailable,
		}
	}
	slot, err := e.dispatch.Acquire(ctx, want)
	if err == nil && e.restsOnce.Swap(false) {
		return restingSlot{
			Slot: slot,
		}, nil
	}
	if wrap := e.wrap.Load(); err == nil && wrap != nil {
		slot = (*wrap)(slot)
	}
	if err != nil || e.overdue == nil {
		return slot, err
	}
	return overdueSlot{
		Slot:         slot,
		wait:         e.overdue.wait,
		unresponsive: e.overdue.unresponsive,
	}, nil
}

// Retry implements entry.Dispatcher.
func (e *testEnv) Retry(ctx context.Context, service string, failed retry.Attempt) bool {
	if e.overdue != nil {
		e.overdue.retries.Add(1)
		return e.overdue.granted && e.overdue.refusals.Add(-1) < 0
	}
	return e.dispatch.Retry(ctx, service, failed)
}

// overdueSettings sets the time after which answers are overdue, and whether
// retries are granted.
type overdueSettings struct {
	wait    time.Duration
	granted bool
	// refusals is how many retries are refused before, and retries how many were asked for.
	refusals atomic.Int64
	retries  atomic.Int64
	// noRoom is how many attempts beside others find no target.
	noRoom atomic.Int64
	// unresponsive is when targets seem to have stopped answering; never if zero.
	unresponsive time.Duration
}

// overdueSlot is a slot whose answer is overdue after wait.
type overdueSlot struct {
	entry.Slot
	wait         time.Duration
	unresponsive time.Duration
}

// OnUnresponsive implements entry.Slot.
func (s overdueSlot) OnUnresponsive(f func()) {
	if s.unresponsive > 0 {
		time.AfterFunc(s.unresponsive, f)
	}
}

// failingSlot is a slot in whose use the program fails: before the first byte, and when it is
// given back.
type failingSlot struct {
	entry.Slot
	beforeSend bool
	failures   *atomic.Int64
}

// MaySend implements entry.Slot.
func (s failingSlot) MaySend() bool {
	if s.beforeSend {
		s.failures.Add(1)
		panic("slot failed")
	}
	return s.Slot.MaySend()
}

// Release implements entry.Slot.
func (s failingSlot) Release(r entry.AttemptResult) {
	s.Slot.Release(r)
	if !s.beforeSend {
		s.failures.Add(1)
		panic("release failed")
	}
}

// restingSlot is a slot at a target that takes no request any more.
type restingSlot struct{ entry.Slot }

// MaySend implements entry.Slot.
func (restingSlot) MaySend() bool { return false }

// OverdueAfter implements entry.Slot.
func (s overdueSlot) OverdueAfter() time.Duration { return s.wait }

// publish puts the environment's document in force.
func (e *testEnv) publish() {
	var locations []document.KeyLocation
	for _, r := range e.document.Routes {
		locations = append(locations, r.Key)
	}
	var serving []target.WeightedTarget
	for _, t := range e.document.Services[0].Targets {
		serving = append(serving, target.WeightedTarget{
			Target: t,
			Weight: 1,
		})
	}
	e.dispatch.Publish([]dispatch.Service{{
		Name:       "desk",
		Definition: e.document.Services[0],
		Table: placement.NewTable(e.dispatch.Table("desk"), placement.Settings{
			Service:   "desk",
			Targets:   serving,
			Zone:      "a",
			Instances: 1,
		}),
		QueueLength:  e.document.Policy.QueueLength,
		RetryPercent: 100,
	}})
	e.snapshot.Store(&entry.Snapshot{
		Index:        document.NewIndex(e.document),
		KeyLocations: locations,
		TrustedUntil: boot.Now() + time.Hour,
	})
}

// Current implements entry.SnapshotSource.
func (e *testEnv) Current() *entry.Snapshot { return e.snapshot.Load() }

// callResult is what a caller got.
type callResult struct {
	status int
	header http.Header
	body   string
	// err is set if the answer was incomplete.
	err error
}

// call sends a request with the key of orchard.
func (e *testEnv) call(method, path, body string, change ...func(*http.Request)) callResult {
	e.t.Helper()
	r, err := http.NewRequestWithContext(e.t.Context(), method, "http://"+e.server.address+path, strings.NewReader(body))
	is.New(e.t).NoErr(err)
	r.Header.Set("X-Api-Key", key)
	for _, f := range change {
		f(r)
	}
	return do(e.server.client, r)
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

// executions returns how often the request marked with id ran at all targets.
func (e *testEnv) executions(id string) int {
	n := 0
	for _, t := range e.targets {
		n += t.Executions()[id]
	}
	return n
}

// keysSeen returns how often targets received a caller's key.
func (e *testEnv) keysSeen() uint64 {
	var n uint64
	for _, t := range e.targets {
		n += t.Counts().KeysSeen
	}
	return n
}

// withExecution marks a request, so that targets count its executions.
func withExecution(id string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(standin.HeaderExecution, id) }
}

// withHeader sets a header of a request.
func withHeader(name, value string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

// fakeAdmission admits all requests and counts how their grants are used.
type fakeAdmission struct {
	// lapsed makes all grants lapse.
	lapsed atomic.Bool
	// lapsesLeft is how many further grants lapse before they are spent.
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

// fakeClaims keeps all claims in one map.
type fakeClaims struct {
	mu     sync.Mutex
	known  map[entry.ClaimKey]string // the state of each claimed request
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
	if !e.MayHaveRun {
		delete(c.claims.known, c.key)
		return
	}
	c.claims.known[c.key] = "ended"
}

// fakeQuarantine counts crashes and refuses a request after two.
type fakeQuarantine struct {
	mu      sync.Mutex
	crashes map[string]int
	// answered counts the runs that clear their requests.
	answered int
}

func (f *fakeQuarantine) Acquire(_ context.Context, i entry.RequestIdentity) (entry.Permit, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	digest := i.BodyDigest()
	id := i.Path + string(digest[:])
	if f.crashes[id] >= 2 {
		return nil, &entry.Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "quarantined",
			RetryAfter: time.Minute,
		}
	}
	return &fakePermit{
		quarantine: f,
		id:         id,
	}, nil
}

type fakePermit struct {
	quarantine *fakeQuarantine
	id         string
}

func (p *fakePermit) Deadline() time.Time { return time.Time{} }

func (p *fakePermit) Suspect() bool { return false }

func (p *fakePermit) Release(r entry.RunResult) {
	p.quarantine.mu.Lock()
	defer p.quarantine.mu.Unlock()
	if p.quarantine.crashes == nil {
		p.quarantine.crashes = map[string]int{}
	}
	if r.CrashedTarget != "" {
		p.quarantine.crashes[p.id]++
	}
	if r.Answered {
		p.quarantine.answered++
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
			t.Fatal("condition did not become true in time")
		}
	}
}

// testTimeout limits how long a test waits for an expected condition.
const testTimeout = 20 * time.Second
