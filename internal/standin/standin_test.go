package standin_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"dandelionmux/internal/list"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/instance"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func entry(address string, incarnation uint64) list.Entry {
	return list.Entry{
		Info: instance.Info{
			ID: instance.ID{
				Address:     instance.Address(address),
				Incarnation: incarnation,
			},
			Zone: "a",
		},
	}
}

func TestListLags(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	l := standin.NewList(standin.ListClock(func() time.Duration { return now }))
	l.SetFaults(standin.ListFaults{Lag: 2 * time.Second})
	l.Register(entry("a", 1))
	now = time.Second
	l.Register(entry("a", 2))
	l.Register(entry("b", 1))
	is.Equal(len(l.Entries()), 0)
	now = 2 * time.Second
	is.Equal(l.Entries(), []list.Entry{entry("a", 1)})
	now = 3 * time.Second
	is.Equal(l.Entries(), []list.Entry{entry("a", 2), entry("b", 1)})
	l.Remove("a")
	now = 4 * time.Second
	is.Equal(len(l.Entries()), 2)
	l.SetFaults(standin.ListFaults{
		Lag:   2 * time.Second,
		Stuck: true,
	})
	now = 9 * time.Second
	is.Equal(len(l.Entries()), 2) // stuck
	l.SetFaults(standin.ListFaults{Lag: 2 * time.Second})
	is.Equal(l.Entries(), []list.Entry{entry("b", 1)})
}

func newTarget(t *testing.T, options ...standin.TargetOption) *standin.TargetServer {
	t.Helper()
	target, err := standin.ServeTarget("t", "127.0.0.1:0", 50*time.Millisecond, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	return target
}

// givesUp is a header that gives the request a time limit of 100 ms.
const givesUp = "X-Gives-Up"

// requestResult is the result of one request to a target.
type requestResult struct {
	status  int
	header  http.Header
	own     bool
	failure bool
}

func request(t *testing.T, address string, header ...string) requestResult {
	t.Helper()
	client := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   time.Minute,
	}
	if len(header) > 0 && header[0] == givesUp {
		client.Timeout = 100 * time.Millisecond
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(standin.HeaderExecution, "e1")
	r.Header.Set(standin.HeaderRequest, "r1")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	answer, err := client.Do(r)
	if err != nil {
		return requestResult{failure: true}
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	var reply standin.Reply
	_ = json.Unmarshal(content, &reply)
	return requestResult{
		status:  answer.StatusCode,
		header:  answer.Header,
		own:     reply.Execution == "e1" && answer.Header.Get(standin.HeaderRequest) == "r1",
		failure: err != nil,
	}
}

func TestTargetFaults(t *testing.T) {
	tests := []struct {
		name     string
		faults   standin.TargetFaults
		header   []string
		status   int
		failure  bool
		own      bool
		executed int
	}{
		{"healthy", standin.TargetFaults{}, nil, 200, false, true, 1},
		{"gray", standin.TargetFaults{GrayFraction: 1}, nil, 500, false, true, 1},
		{"hang", standin.TargetFaults{Hang: true}, []string{givesUp, "1"}, 0, true, false, 1},
		{"hang with a deadline", standin.TargetFaults{Hang: true}, []string{standin.HeaderTimeout, "20"}, 504, false, false, 1},
		{"slow", standin.TargetFaults{SlowFactor: 1000}, []string{standin.HeaderTimeout, "20"}, 504, false, false, 1},
		{"short length", standin.TargetFaults{Truncate: standin.TruncateLength}, nil, 200, true, false, 1},
		{"cut chunk", standin.TargetFaults{Truncate: standin.TruncateChunk}, nil, 200, true, false, 1},
		{"crossed", standin.TargetFaults{Cross: true}, nil, 200, false, false, 1},
		{"death before", standin.TargetFaults{Death: standin.DeathBefore}, nil, 0, true, false, 0},
		{"death during", standin.TargetFaults{Death: standin.DeathDuring}, nil, 0, true, false, 1},
		{"death after", standin.TargetFaults{Death: standin.DeathAfter}, nil, 0, true, false, 1},
		{"shed", standin.TargetFaults{Shed: true}, nil, 503, false, false, 0},
		{"drain", standin.TargetFaults{Drain: true}, nil, 200, false, true, 1},
		{"crash", standin.TargetFaults{}, []string{standin.HeaderCrash, "1"}, 0, true, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			target := newTarget(t)
			target.SetFaults(tt.faults)
			g := request(t, target.Address(), tt.header...)
			is.Equal(g.status, tt.status)
			is.Equal(g.failure, tt.failure)
			is.Equal(g.own, tt.own)
			is.Equal(target.Executions()["e1"], tt.executed)
			is.Equal(g.header.Get(standin.HeaderShed) == "true", tt.faults.Shed)
			is.Equal(g.header.Get(standin.HeaderDrain) == "true", tt.faults.Drain)
		})
	}
}

func TestTargetDropsReusedConnections(t *testing.T) {
	is := is.New(t)
	target := newTarget(t)
	target.SetFaults(standin.TargetFaults{
		Death: standin.DeathReused,
	})
	client := &http.Client{
		Transport: &http.Transport{},
	}
	post := func() error {
		answer, err := client.Post("http://"+target.Address()+"/x", "", nil)
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		_, err = io.Copy(io.Discard, answer.Body) // so that the connection is reused
		return err
	}
	is.NoErr(post())
	is.True(post() != nil) // on the connection of the first
	is.NoErr(post())
	is.Equal(target.Counts().Executed, uint64(2))
}

// The health endpoint can report a failing target as healthy and a working one
// as unhealthy.
func TestHealthCanDifferFromWork(t *testing.T) {
	tests := []struct {
		faults       standin.TargetFaults
		health, work int
	}{
		{standin.TargetFaults{GrayFraction: 1}, 200, 500},
		{standin.TargetFaults{Unhealthy: true}, 503, 200},
	}
	for _, tt := range tests {
		is := is.New(t)
		target := standin.NewTarget("t")
		target.SetFaults(tt.faults)
		for path, want := range map[string]int{"/-/health": tt.health, "/x": tt.work, "/-/load": 200} {
			w := httptest.NewRecorder()
			target.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
			is.Equal(w.Code, want)
		}
		is.Equal(target.Counts().Probes, uint64(1))
		is.Equal(target.Counts().Arrived, uint64(1)) // probes and load reports aren't counted
	}
}

func TestTargetRestartsColdAfterCrash(t *testing.T) {
	is := is.New(t)
	// After the start a request takes more than three minutes; when the target
	// is warm, it takes 20 s.
	target := newTarget(t, standin.TargetWarmUpTime(time.Hour), standin.TargetWorkTime(20*time.Second))
	is.True(request(t, target.Address(), standin.HeaderCrash, "1").failure)
	is.Equal(target.Counts().Crashes, uint64(1))
	g := requestResult{}
	for ticker := time.NewTicker(time.Millisecond); g.status == 0; <-ticker.C {
		g = request(t, target.Address(), standin.HeaderTimeout, "50")
	}
	is.Equal(g.status, 504)
	is.True(target.CurrentWorkTime() > 20*time.Second)
}

func TestTargetSlotsAndKeys(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, standin.TargetSlots(1), standin.TargetQueue(0), standin.TargetWorkTime(time.Minute))
	target.ForbidKeys("secret")
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address()+"/?k=secret", nil)
	is.NoErr(err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		transport := &http.Transport{DisableKeepAlives: true}
		if answer, err := transport.RoundTrip(r); err == nil {
			answer.Body.Close()
		}
	}()
	for ticker := time.NewTicker(time.Millisecond); target.Counts().Executed == 0; <-ticker.C {
		is.NoErr(t.Context().Err())
	}
	is.Equal(request(t, target.Address()).status, 503) // no slot and no queue
	cancel()
	<-ended
	for ticker := time.NewTicker(time.Millisecond); target.Counts().Cancelled == 0; <-ticker.C {
		is.NoErr(t.Context().Err())
	}
	counts := target.Counts()
	is.Equal(counts.MostRunning, 1)
	is.Equal(counts.Shed, uint64(1))
	is.Equal(counts.KeysSeen, uint64(1))
}

// The load has to detect each wrong behaviour of the fleet. A server with that
// behaviour takes the place of the fleet.
func TestLoadDetectsWrongBehaviour(t *testing.T) {
	tests := []struct {
		name  string
		fleet func(target string, w http.ResponseWriter, r *http.Request)
		check func(is *is.I, s standin.Summary, sent int)
	}{
		{"executed twice", func(target string, w http.ResponseWriter, r *http.Request) {
			forward(target, httptest.NewRecorder(), r, true)
			forward(target, w, r, true)
		}, func(is *is.I, s standin.Summary, sent int) {
			is.Equal(s.Executions.Repeated, sent)
			is.Equal(s.All.Whole, sent)
		}},
		{"not-run although executed", func(target string, w http.ResponseWriter, r *http.Request) {
			forward(target, httptest.NewRecorder(), r, true)
			w.Header().Set(standin.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(is *is.I, s standin.Summary, sent int) {
			is.Equal(s.Executions.NotRunButRan, sent)
			is.Equal(s.All.NotRun, sent)
			is.Equal(s.All.Statuses, map[string]int{"503": sent})
		}},
		{"whole answer although never executed", func(_ string, w http.ResponseWriter, r *http.Request) {
			fmt.Fprintf(w, `{"Execution":%q}`, r.Header.Get(standin.HeaderExecution))
		}, func(is *is.I, s standin.Summary, sent int) {
			is.Equal(s.Executions.WholeButNever, sent)
		}},
		{"answer of another request", func(_ string, w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"Execution":"other"}`)
		}, func(is *is.I, s standin.Summary, sent int) {
			is.Equal(s.All.Wrong, sent)
			is.Equal(s.All.Whole, 0)
		}},
		{"connection broken", func(string, http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, func(is *is.I, s standin.Summary, sent int) {
			is.Equal(s.All.Failed, sent)
			is.Equal(s.Executions.Never, sent)
		}},
		{"keys passed to the target", func(target string, w http.ResponseWriter, r *http.Request) {
			forward(target, w, r, false)
		}, func(is *is.I, s standin.Summary, sent int) {
			is.Equal(s.KeysSeen, uint64(sent))
		}},
		{"no fault", func(target string, w http.ResponseWriter, r *http.Request) {
			forward(target, w, r, true)
		}, func(is *is.I, s standin.Summary, sent int) {
			is.Equal(s.All.Whole, sent)
			is.Equal(s.Executions.Once, sent)
			is.Equal(len(s.Executions.Examples), 0)
			is.Equal(s.KeysSeen, uint64(0))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			// The queue is long enough that nothing is shed, even if a busy
			// machine delays all requests to the same moment.
			target := newTarget(t, standin.TargetQueue(100))
			admin := httptest.NewServer(standin.TargetsAdmin([]*standin.TargetServer{target}))
			defer admin.Close()
			fleet := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				tt.fleet(target.Address(), w, r)
			}))
			defer fleet.Close()
			s, err := standin.Load{
				Entries: []string{fleet.URL},
				Callers: []standin.Caller{{
					Organisation: "rewa",
					Key:          "secret",
					PerSecond:    500,
				}},
				Method:   http.MethodPost,
				Count:    20,
				Duration: 10 * time.Second,
				Targets:  []string{admin.URL},
			}.Run(t.Context())
			is.NoErr(err)
			is.Equal(s.All.Sent, 20)
			tt.check(is, s, 20)
		})
	}
}

// forward sends a request to a target, with or without its key.
func forward(target string, w http.ResponseWriter, r *http.Request, hideKey bool) {
	onward, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target+r.URL.Path, nil)
	onward.Header = r.Header.Clone()
	if hideKey {
		onward.Header.Del("X-Api-Key")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	answer, err := transport.RoundTrip(onward)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer answer.Body.Close()
	w.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(w, answer.Body)
}

func TestLoadResendsTheSameRequest(t *testing.T) {
	is := is.New(t)
	var seen sync.Map
	fleet := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(standin.HeaderExecution)
		if _, again := seen.LoadOrStore(id, true); !again || r.Header.Get("Idempotency-Key") != id {
			w.Header().Set(standin.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(w, `{"Execution":%q}`, id)
	}))
	defer fleet.Close()
	s, err := standin.Load{
		Entries:  []string{fleet.URL},
		Callers:  []standin.Caller{{PerSecond: 500}},
		Count:    10,
		Duration: 10 * time.Second,
		Keyed:    true,
		Resends:  1,
	}.Run(t.Context())
	is.NoErr(err)
	is.Equal(s.All.Whole, 10)
	is.Equal(s.All.NotRun, 0)
}

func TestLoadIsBounded(t *testing.T) {
	is := is.New(t)
	caller := standin.Caller{PerSecond: 1}
	for _, l := range []standin.Load{
		{},
		{Entries: []string{"x"}, Callers: []standin.Caller{caller}},
		{Entries: []string{"x"}, Callers: []standin.Caller{caller}, Duration: 2 * time.Hour},
		{Entries: []string{"x"}, Callers: []standin.Caller{{}}, Duration: time.Second},
		{Entries: []string{"x"}, Callers: []standin.Caller{caller}, Duration: time.Second, Count: -1},
		{Entries: []string{"x"}, Callers: []standin.Caller{caller}, Duration: time.Second, Resends: 101},
	} {
		_, err := l.Run(t.Context())
		is.True(err != nil)
	}
}

func TestAdminSwitches(t *testing.T) {
	s, l, target := standin.NewStore(), standin.NewList(), newTarget(t)
	tests := []struct {
		admin      http.Handler
		path, body string
		status     int
		set        func() bool
	}{
		{standin.StoreAdmin(s), "/faults", `{"Slow":"20ms","LoseAnswers":2}`, 200, func() bool {
			return s.Faults() == standin.StoreFaults{Slow: 20 * time.Millisecond, LoseAnswers: 2}
		}},
		{standin.StoreAdmin(s), "/faults", `{"Slow":"20"}`, 400, nil},
		{standin.StoreAdmin(s), "/faults", `{"Slo":"20ms"}`, 400, nil},
		{standin.ListAdmin(l), "/faults", `{"Lag":"2s","Stuck":true}`, 200, func() bool {
			return l.Faults() == standin.ListFaults{Lag: 2 * time.Second, Stuck: true}
		}},
		{standin.ListAdmin(l), "/faults", `{"Lag":"x"}`, 400, func() bool { return l.Faults().Stuck }},
		{standin.TargetsAdmin([]*standin.TargetServer{target}), "/targets/t/faults", `{"Death":"during"}`, 200, func() bool {
			return target.Faults() == standin.TargetFaults{Death: standin.DeathDuring}
		}},
		{standin.TargetsAdmin([]*standin.TargetServer{target}), "/targets/u/faults", `{}`, 404, nil},
	}
	for _, tt := range tests {
		t.Run(tt.path+tt.body, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			tt.admin.ServeHTTP(w, httptest.NewRequest(http.MethodPut, tt.path, strings.NewReader(tt.body)))
			is.Equal(w.Code, tt.status)
			is.True(tt.set == nil || tt.set())
		})
	}
}

// The store counts open watches, and their calls before they are answered.
func TestStoreCountsCalls(t *testing.T) {
	is := is.New(t)
	s := standin.NewStore()
	server := httptest.NewServer(s)
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	for range 2 {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v3/watch", strings.NewReader(`{"create_request":{"key":"YQ=="}}`))
		is.NoErr(err)
		answer, err := transport.RoundTrip(r)
		is.NoErr(err)
		defer answer.Body.Close()
		line, err := bufio.NewReader(answer.Body).ReadString('\n')
		is.NoErr(err)
		is.True(strings.Contains(line, `"created":true`))
	}
	is.Equal(s.Watches(), 2)
	is.Equal(s.Calls(), map[string]uint64{"/v3/watch": 2})
}

// Guards against a stopped target that accepts one more connection, because its server had
// not begun to serve when it was closed.
func TestClosedTargetAcceptsNoConnection(t *testing.T) {
	for range 100 {
		is := is.New(t)
		s, err := standin.ServeTarget("desk-a", "127.0.0.1:0", time.Second)
		is.NoErr(err)
		s.Close()
		c, err := net.Dial("tcp", s.Address())
		if err == nil {
			_ = c.Close()
		}
		is.True(err != nil)
	}
}
