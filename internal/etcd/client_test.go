package etcd_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"dandelionmux/internal/etcd"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/store"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fixture is a stand-in store whose clock the tests advance.
type fixture struct {
	*standin.Store
	server *httptest.Server
	now    time.Duration
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{}
	f.Store = standin.NewStore(standin.StoreClock(func() time.Duration { return f.now }))
	f.server = httptest.NewServer(f.Store)
	t.Cleanup(func() {
		f.SetFaults(standin.StoreFaults{})
		f.server.Close()
	})
	return f
}

func newClient(t *testing.T, endpoints []string, options ...etcd.Option) *etcd.Client {
	t.Helper()
	c, err := etcd.New(endpoints, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// must returns the answer to a call and fails the test if the call fails.
func must[A store.Answer](t *testing.T, c store.Client, call store.Call) A {
	t.Helper()
	answer, err := c.Do(t.Context(), call)
	if err != nil {
		t.Fatalf("%#v: %v", call, err)
	}
	return answer.(A)
}

func swap(key, value string, expected int64) store.Swap {
	return store.Swap{
		Key:      key,
		Value:    []byte(value),
		Expected: expected,
	}
}

func TestSwapComparesVersions(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	c := newClient(t, []string{f.server.URL})
	absent := must[store.Value](t, c, store.Get{Key: "k"})
	is.Equal(absent.Entry, store.Entry{Key: "k"})
	first := must[store.Swapped](t, c, swap("k", "1", 0))
	is.True(first.Done)
	again := must[store.Swapped](t, c, swap("k", "2", 0))
	is.True(!again.Done)
	is.Equal(again.Current, first.Current) // the existing entry
	second := must[store.Swapped](t, c, swap("k", "1", first.Current.Version))
	is.True(second.Done && second.Current.Version > first.Current.Version)
	stale := must[store.Swapped](t, c, swap("k", "3", first.Current.Version))
	is.True(!stale.Done) // the version changed, though not the value
	is.Equal(must[store.Value](t, c, store.Get{Key: "k"}).Entry, second.Current)

	wrong := must[store.Swapped](t, c, store.Delete{
		Key:      "k",
		Expected: first.Current.Version,
	})
	is.True(!wrong.Done)
	gone := must[store.Swapped](t, c, store.Delete{
		Key:      "k",
		Expected: second.Current.Version,
	})
	is.True(gone.Done)
	is.Equal(gone.Current, store.Entry{Key: "k"})
	_, ok := f.Get("k")
	is.True(!ok)
}

func TestListPagesOverAllKeys(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	c := newClient(t, []string{f.server.URL})
	const keys = 600
	for i := range keys {
		must[store.Swapped](t, c, swap(fmt.Sprintf("a/%04d", i), "v", 0))
	}
	must[store.Swapped](t, c, swap("b", "v", 0))
	must[store.Swapped](t, c, swap("A", "v", 0))
	list := must[store.Entries](t, c, store.List{Prefix: "a/"})
	is.Equal(len(list.Entries), keys)
	is.Equal(list.Entries[keys-1].Key, "a/0599")
	is.Equal(len(must[store.Entries](t, c, store.List{}).Entries), keys+2)
	is.Equal(len(must[store.Entries](t, c, store.List{Prefix: "c"}).Entries), 0)
}

func TestLeases(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	c := newClient(t, []string{f.server.URL})
	lease := must[store.Leased](t, c, store.GrantLease{Term: 1500 * time.Millisecond})
	is.Equal(lease.Term, 2*time.Second) // rounded up to whole seconds
	leased := swap("k", "v", 0)
	leased.Lease = lease.Lease
	is.Equal(must[store.Swapped](t, c, leased).Current.Lease, lease.Lease)
	f.now = 1900 * time.Millisecond
	is.Equal(must[store.Leased](t, c, store.RenewLease{Lease: lease.Lease}).Term, lease.Term)
	f.now = 3800 * time.Millisecond
	is.Equal(must[store.Value](t, c, store.Get{Key: "k"}).Entry.Lease, lease.Lease) // renewed
	f.now = 3900 * time.Millisecond
	is.Equal(must[store.Value](t, c, store.Get{Key: "k"}).Entry.Version, int64(0)) // lapsed
	is.Equal(must[store.Leased](t, c, store.RenewLease{Lease: lease.Lease}).Term, time.Duration(0))

	leased.Key = "l"
	_, err := c.Do(t.Context(), leased)
	is.True(errors.Is(err, store.ErrUnavailable)) // the lease lapsed, so nothing was written

	other := must[store.Leased](t, c, store.GrantLease{Term: time.Minute})
	leased.Lease = other.Lease
	must[store.Swapped](t, c, leased)
	must[store.Leased](t, c, store.RevokeLease{Lease: other.Lease})
	is.Equal(must[store.Value](t, c, store.Get{Key: "l"}).Entry.Version, int64(0))
	must[store.Leased](t, c, store.RevokeLease{Lease: other.Lease}) // revoking twice is no error
}

func TestWatch(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	c := newClient(t, []string{f.server.URL})
	shortWatch := newClient(t, []string{f.server.URL}, etcd.WatchIdleTimeout(30*time.Millisecond))
	start := must[store.Value](t, c, store.Get{Key: "a/1"}).Counter
	watch := store.Watch{
		Prefix: "a/",
		After:  start,
	}
	is.Equal(must[store.Changes](t, shortWatch, watch), store.Changes{Counter: start}) // idle timeout

	one := must[store.Swapped](t, c, swap("a/1", "v", 0)).Current
	must[store.Swapped](t, c, swap("b", "v", 0))
	changes := must[store.Changes](t, c, watch)
	is.Equal(changes.Entries, []store.Entry{one}) // past changes, without other prefixes
	is.Equal(changes.Counter, one.Version)

	watch.After = changes.Counter
	is.Equal(len(must[store.Changes](t, shortWatch, watch).Entries), 0) // reported only once
	must[store.Swapped](t, c, store.Delete{
		Key:      "a/1",
		Expected: one.Version,
	})
	changes = must[store.Changes](t, c, watch)
	is.Equal(changes.Entries, []store.Entry{{Key: "a/1"}}) // removed

	f.Compact()
	is.True(must[store.Changes](t, c, store.Watch{
		Prefix: "a/",
		After:  start,
	}).Compacted)
}

func TestWatchReportsKeysOfRevokedLease(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	c := newClient(t, []string{f.server.URL})
	lease := must[store.Leased](t, c, store.GrantLease{Term: time.Second})
	leased := swap("a", "v", 0)
	leased.Lease = lease.Lease
	at := must[store.Swapped](t, c, leased).Current.Version
	answers := make(chan store.Answer)
	go func() {
		answer, _ := c.Do(t.Context(), store.Watch{
			Prefix: "a",
			After:  at,
		})
		answers <- answer
	}()
	must[store.Leased](t, c, store.RevokeLease{Lease: lease.Lease})
	changes, ok := (<-answers).(store.Changes)
	is.True(ok)
	is.Equal(changes.Entries, []store.Entry{{Key: "a"}})
}

// Each fault of the store, for a read and for a write: the error that the client
// returns, and whether the write took effect.
func TestFaults(t *testing.T) {
	tests := []struct {
		name       string
		faults     standin.StoreFaults
		read       error
		write      error
		wantEffect bool
	}{
		{"healthy", standin.StoreFaults{}, nil, nil, true},
		{"slow", standin.StoreFaults{Slow: 10 * time.Millisecond}, nil, nil, true},
		{"too slow", standin.StoreFaults{Slow: time.Hour}, store.ErrUnavailable, store.ErrOutcomeUnknown, false},
		{"outage", standin.StoreFaults{Outage: true}, store.ErrUnavailable, store.ErrOutcomeUnknown, false},
		{"refusing", standin.StoreFaults{Refuse: true}, store.ErrUnavailable, store.ErrOutcomeUnknown, false},
		{"answers lost", standin.StoreFaults{LoseAnswers: -1}, store.ErrUnavailable, store.ErrOutcomeUnknown, true},
		{"answers of writes lost", standin.StoreFaults{
			LoseAnswers: -1,
			LoseWrites:  true,
		}, nil, store.ErrOutcomeUnknown, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			timeout := time.Minute
			if tt.faults.Slow > timeout {
				timeout = 100 * time.Millisecond
			}
			c := newClient(t, []string{f.server.URL}, etcd.Timeout(timeout))
			f.SetFaults(tt.faults)
			_, err := c.Do(t.Context(), store.Get{Key: "k"})
			is.True(errors.Is(err, tt.read)) // the read
			_, err = c.Do(t.Context(), swap("k", "v", 0))
			is.True(errors.Is(err, tt.write)) // the write
			_, effect := f.Get("k")
			is.Equal(effect, tt.wantEffect)
		})
	}
}

// A frozen store executes the pending calls when it resumes, long after the
// caller gave up.
func TestFrozenWriteTakesEffectLate(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	c := newClient(t, []string{f.server.URL}, etcd.Timeout(50*time.Millisecond))
	f.SetFaults(standin.StoreFaults{Frozen: true})
	_, err := c.Do(t.Context(), swap("k", "v", 0))
	is.True(errors.Is(err, store.ErrOutcomeUnknown))
	_, effect := f.Get("k")
	is.True(!effect)
	f.SetFaults(standin.StoreFaults{})
	watch := store.Watch{
		Prefix: "k",
		After:  1,
	}
	is.Equal(len(must[store.Changes](t, c, watch).Entries), 1)
}

func TestEndpoints(t *testing.T) {
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	tests := []struct {
		name string
		// first is the handler of the first endpoint; nil refuses connections.
		first      http.Handler
		write      error
		wantSecond bool
	}{
		{"connection refused", nil, nil, true},
		{"connection broken", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), store.ErrOutcomeUnknown, false},
		{"garbage", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>") }), store.ErrOutcomeUnknown, false},
		{"unknown error", http.NotFoundHandler(), store.ErrOutcomeUnknown, false},
		{"rejected by the store", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadRequest)
			fmt.Fprint(w, `{"code":3,"message":"no"}`)
		}), store.ErrUnavailable, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			url := dead.URL
			if tt.first != nil {
				first := httptest.NewServer(tt.first)
				defer first.Close()
				url = first.URL
			}
			second := newFixture(t)
			c := newClient(t, []string{url, second.server.URL})
			_, err := c.Do(t.Context(), swap("k", "v", 0))
			is.True(errors.Is(err, tt.write))
			_, effect := second.Get("k")
			is.Equal(effect, tt.wantSecond) // whether the second endpoint got the write
		})
	}
}

// Following a redirect could send a write twice.
func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	redirect := httptest.NewServer(http.RedirectHandler(f.server.URL+etcd.PathTxn, http.StatusTemporaryRedirect))
	defer redirect.Close()
	_, err := newClient(t, []string{redirect.URL}).Do(t.Context(), swap("k", "v", 0))
	is.True(errors.Is(err, store.ErrOutcomeUnknown))
	_, effect := f.Get("k")
	is.True(!effect)
}

// Some stores answer the renewal of a lapsed lease with an error, others with a
// zero term.
func TestRenewalOfLapsedLease(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			fmt.Fprint(w, `{"code":5,"message":"requested lease not found","error":{"code":5}}`)
		}))
		defer server.Close()
		leased := must[store.Leased](t, newClient(t, []string{server.URL}), store.RenewLease{Lease: 7})
		is.Equal(leased.Term, time.Duration(0))
	}
}

// A store that freezes sends no events, just as an idle one. The watch must
// return an error instead of an empty list of changes.
func TestWatchOfFrozenStoreFails(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	freezing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == etcd.PathRange {
			f.SetFaults(standin.StoreFaults{Frozen: true})
		}
		f.ServeHTTP(w, r)
	}))
	defer freezing.Close()
	defer f.SetFaults(standin.StoreFaults{})
	c := newClient(t, []string{freezing.URL}, etcd.WatchIdleTimeout(50*time.Millisecond), etcd.Timeout(50*time.Millisecond))
	_, err := c.Do(t.Context(), store.Watch{
		Prefix: "k",
		After:  1,
	})
	is.True(errors.Is(err, store.ErrUnavailable))
	is.Equal(f.Calls()[etcd.PathWatch], uint64(1))
}

// After any failure a read is retried at the next endpoint, and later calls
// start there.
func TestReadsSwitchToNextEndpoint(t *testing.T) {
	is := is.New(t)
	first, second := newFixture(t), newFixture(t)
	c := newClient(t, []string{first.server.URL, second.server.URL})
	first.SetFaults(standin.StoreFaults{Outage: true})
	must[store.Value](t, c, store.Get{Key: "k"})
	must[store.Value](t, c, store.Get{Key: "k"})
	is.Equal(first.Calls()[etcd.PathRange], uint64(1))
	is.Equal(second.Calls()[etcd.PathRange], uint64(2))
}

func TestDeadlineAndBounds(t *testing.T) {
	is := is.New(t)
	written := 0
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 256 {
			if _, err := fmt.Fprint(w, strings.Repeat(" ", 1<<20)); err != nil {
				return
			}
			written++
		}
		fmt.Fprint(w, "{}")
	}))
	c := newClient(t, []string{large.URL}, etcd.Timeout(time.Minute))
	_, err := c.Do(t.Context(), store.Get{Key: "k"})
	is.True(errors.Is(err, store.ErrUnavailable)) // though the whole response would be valid
	large.Close()
	is.True(written < 64) // reading stopped at the limit

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Do(ended, swap("k", "v", 0))
	is.True(errors.Is(err, store.ErrUnavailable)) // nothing was sent
}

func TestNewRefusesEndpoints(t *testing.T) {
	for _, endpoints := range [][]string{nil, {""}, {"10.0.0.1:2379"}, {"http://"}, {"http://a", "b"}} {
		is := is.New(t)
		_, err := etcd.New(endpoints)
		is.True(errors.Is(err, etcd.ErrEndpoint))
	}
}

func TestPrefixEnd(t *testing.T) {
	tests := []struct{ prefix, want string }{
		{"a", "b"},
		{"a\xff", "b"},
		{"a/", "a0"},
		{"\xff\xff", "\x00"},
		{"", "\x00"},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(string(etcd.PrefixEnd(tt.prefix)), tt.want)
	}
}

// fixedResponse is a transport that answers every request with the same bytes.
type fixedResponse struct{ content string }

func (a fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	recorder.WriteString(a.content)
	answer := recorder.Result()
	answer.Request = r
	return answer, nil
}

// Whatever the store responds, each call returns either an answer or an error
// that wraps store.ErrUnavailable or store.ErrOutcomeUnknown.
func FuzzResponses(f *testing.F) {
	for _, seed := range []string{
		`{"header":{"revision":"5"},"kvs":[{"key":"YQ==","mod_revision":"4"}],"count":"1"}`,
		`{"succeeded":true}`, `{"responses":[{"response_range":{}}]}`,
		`{"ID":"7","TTL":"10"}`, `{"result":{"ID":"7","TTL":"10"}}`, `{"error":{"code":5}}`,
		`{"result":{"created":true}}{"result":{"events":[{"type":"DELETE","kv":{"key":"YQ=="}},{}]}}`,
		`{"result":{"canceled":true,"compact_revision":"9"}}`, `{"header":{"revision":9}}`, `[]`,
	} {
		f.Add(seed)
	}
	calls := []store.Call{
		store.Get{Key: "a"}, store.List{Prefix: "a"}, swap("a", "v", 1), store.Delete{Key: "a"},
		store.GrantLease{Term: time.Second}, store.RenewLease{Lease: 7}, store.RevokeLease{Lease: 7}, store.Watch{Prefix: "a"},
	}
	f.Fuzz(func(t *testing.T, content string) {
		c, err := etcd.New([]string{"http://store"}, etcd.Transport(fixedResponse{content}))
		if err != nil {
			t.Fatal(err)
		}
		for _, call := range calls {
			answer, err := c.Do(t.Context(), call)
			if err == nil && answer == nil {
				t.Fatalf("%#v: neither answer nor error", call)
			}
			if err != nil && !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrOutcomeUnknown) {
				t.Fatalf("%#v: %v is neither ErrUnavailable nor ErrOutcomeUnknown", call, err)
			}
		}
	})
}
