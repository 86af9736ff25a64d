package gateway_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/internal/gateway"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/store"
	"dandelionmux/pkg/target"
)

// awaitTimeout bounds waits for a condition that must become true.
const awaitTimeout = 30 * time.Second

// memoryStore is a store in memory, reached through storeClients.
type memoryStore struct {
	mu      sync.Mutex
	counter int64
	entries map[string]store.Entry
	events  []store.Entry
	leases  store.LeaseID
	era     store.Era
	changed chan struct{}
}

// setBack makes the store hold earlier entries again, as if it had written nothing since.
func (m *memoryStore) setBack(entries map[string]store.Entry, counter int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries, m.counter, m.events = maps.Clone(entries), counter, nil
	m.era++
	close(m.changed)
	m.changed = make(chan struct{})
}

// content returns what the store holds, and its counter.
func (m *memoryStore) content() (map[string]store.Entry, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.entries), m.counter
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		counter: 1,
		entries: map[string]store.Entry{},
		changed: make(chan struct{}),
	}
}

// put writes a key, or removes it if value is nil.
func (m *memoryStore) put(key string, value []byte, lease store.LeaseID) store.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set(key, value, lease)
}

// set is put for a caller that holds mu.
func (m *memoryStore) set(key string, value []byte, lease store.LeaseID) store.Entry {
	m.counter++
	e := store.Entry{
		Key: key,
	}
	if value == nil {
		e.RemovedAt = m.counter
		delete(m.entries, key)
	} else {
		e.Value, e.Version, e.Lease = value, m.counter, lease
		m.entries[key] = e
	}
	m.events = append(m.events, e)
	close(m.changed)
	m.changed = make(chan struct{})
	return e
}

// storeClient is one instance's client of a memoryStore. It can be blocked.
type storeClient struct {
	memory  *memoryStore
	mu      sync.Mutex
	blocked bool
	calls   int
	// severed is closed and replaced when the watches in progress go silent for good.
	severed chan struct{}
}

// severWatches makes the watches in progress go silent for good. New ones work.
func (d *storeClient) severWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.severed)
	d.severed = make(chan struct{})
}

// watch watches the store, unless it is severed.
func (d *storeClient) watch(ctx context.Context, w store.Watch) (store.Answer, error) {
	d.mu.Lock()
	severed := d.severed
	d.mu.Unlock()
	answer, err := d.memory.watch(ctx, w)
	select {
	case <-severed:
		<-ctx.Done()
		return nil, errors.Wrap(store.ErrOutcomeUnknown, "watch severed")
	default:
		return answer, err
	}
}

// setBlocked sets whether calls go unanswered.
func (d *storeClient) setBlocked(blocked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blocked = blocked
}

// countCall counts a call, and reports whether the store answers it.
func (d *storeClient) countCall() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	return !d.blocked
}

// Do implements store.Client. While the client is blocked a call waits until ctx ends.
func (d *storeClient) Do(ctx context.Context, call store.Call) (store.Answer, error) {
	if !d.countCall() {
		<-ctx.Done()
		return nil, errors.Wrap(store.ErrOutcomeUnknown, "store client blocked")
	}
	m := d.memory
	if w, ok := call.(store.Watch); ok {
		return d.watch(ctx, w)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch c := call.(type) {
	case store.Get:
		return store.Value{
			Entry:   m.entries[c.Key],
			Counter: m.counter,
			Era:     m.era,
		}, nil
	case store.List:
		return store.Entries{
			Entries: slices.Collect(maps.Values(m.entries)),
			Counter: m.counter,
			Era:     m.era,
		}, nil
	case store.GrantLease:
		m.leases++
		return store.Leased{
			Lease: m.leases,
			Term:  c.Term,
			Era:   m.era,
		}, nil
	case store.RenewLease:
		return store.Leased{
			Lease: c.Lease,
			Term:  time.Second,
			Era:   m.era,
		}, nil
	case store.RevokeLease:
		for key, e := range m.entries {
			if e.Lease == c.Lease {
				m.set(key, nil, 0)
			}
		}
		return store.Leased{
			Lease: c.Lease,
		}, nil
	case store.Delete:
		if m.entries[c.Key].Version != c.Expected {
			return store.Swapped{
				Current: m.entries[c.Key],
			}, nil
		}
		return store.Swapped{
			Done:    true,
			Current: m.set(c.Key, nil, 0),
		}, nil
	case store.Swap:
		if m.entries[c.Key].Version != c.Expected {
			return store.Swapped{
				Current: m.entries[c.Key],
				Era:     m.era,
			}, nil
		}
		return store.Swapped{
			Done:    true,
			Current: m.set(c.Key, c.Value, c.Lease),
			Era:     m.era,
		}, nil
	}
	return nil, errors.Wrapf(store.ErrUnavailable, "%T", call)
}

func (m *memoryStore) watch(ctx context.Context, w store.Watch) (store.Answer, error) {
	for {
		m.mu.Lock()
		changed := m.changed
		var news []store.Entry
		for _, e := range m.events {
			if max(e.Version, e.RemovedAt) > w.After {
				news = append(news, e)
			}
		}
		counter, era := m.counter, m.era
		m.mu.Unlock()
		if len(news) > 0 || w.After > counter {
			return store.Changes{
				Entries:   news,
				Counter:   counter,
				Compacted: w.After > counter,
				Era:       era,
			}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.Changes{
				Counter: counter,
				Era:     era,
			}, nil
		}
	}
}

// testFleet is a store, targets and instances on loopback.
type testFleet struct {
	t         *testing.T
	memory    *memoryStore
	clients   []*storeClient
	instances []*gateway.Gateway
	// links are those of the instances to the targets.
	links   []*testLinks
	targets []*standin.TargetServer
	log     *logBuffer
}

// logBuffer collects log output in memory.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// logLines passes on the lines of the instances' logs that contain one of the texts.
func (f *testFleet) logLines(texts ...string) {
	for line := range strings.Lines(f.log.String()) {
		if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
			f.t.Log(strings.TrimSpace(line))
		}
	}
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// configuration is the operators' configuration in a form of this test. Path leads to the
// service desk, as /later does for less urgent requests, and /mill to the service mill.
type configuration struct {
	Revision uint64
	Keys     []string
	Path     string
	// Rate is the organisation's rate per second and its burst, or zero for no limit.
	Rate float64
	// Timeout is that of the routes; routeTimeout if it is zero.
	Timeout time.Duration
}

const (
	configurationKey    = "configuration"
	targetPrefix        = "targets/"
	maxConfigurationAge = 3 * time.Second
	routeTimeout        = 5 * time.Second
	// The settings of the retry budget.
	retryRatio  = 0.2
	baseRetries = 60
	retryWindow = 10 * time.Second
)

// newTestFleet starts targets of the service desk and instances in zone a, and waits until
// the instances know each other.
func newTestFleet(t *testing.T, instances, targets int) *testFleet {
	t.Helper()
	f := &testFleet{
		t:      t,
		memory: newMemoryStore(),
		log:    &logBuffer{},
	}
	f.startTargets("desk", targets)
	f.configure(configuration{
		Revision: 1,
		Keys:     []string{"key-1"},
		Path:     "/one",
	})
	for range instances {
		f.startInstance("a")
	}
	f.awaitMembers()
	return f
}

// startTargets starts targets of a service and registers them.
func (f *testFleet) startTargets(service string, number int) {
	f.t.Helper()
	for i := range number {
		name := service + "-" + string(rune('a'+i))
		s, err := standin.ServeTarget(name, "127.0.0.1:0", time.Second, standin.TargetWorkTime(time.Millisecond))
		is.New(f.t).NoErr(err)
		f.t.Cleanup(s.Close)
		f.targets = append(f.targets, s)
		f.memory.put(targetPrefix+name, []byte(s.Address()), 0)
	}
}

// awaitMembers waits until all instances are ready and know each other.
func (f *testFleet) awaitMembers() {
	f.t.Helper()
	for _, g := range f.instances {
		f.await(func() bool { return f.ready(g) })
		f.await(func() bool {
			return strings.Contains(f.metrics(g), fmt.Sprintf("Fleet.Members %d\n", len(f.instances)))
		})
	}
}

func (f *testFleet) configure(c configuration) {
	value, err := json.Marshal(c)
	is.New(f.t).NoErr(err)
	f.memory.put(configurationKey, value, 0)
}

// startInstance starts an instance with its own store client.
func (f *testFleet) startInstance(zone string, options ...gateway.Option) {
	f.t.Helper()
	d := &storeClient{
		memory:  f.memory,
		severed: make(chan struct{}),
	}
	links := newTestLinks()
	g, err := gateway.Start(gateway.Settings{
		Name:                "test",
		Zone:                zone,
		Zones:               1,
		EntryAddress:        "127.0.0.1:0",
		ReadyAddress:        "127.0.0.1:0",
		PeerAddress:         "127.0.0.1:0",
		MetricsAddress:      "127.0.0.1:0",
		StopTimeout:         6 * time.Second,
		MaxConfigurationAge: maxConfigurationAge,
		RetryRatio:          retryRatio,
		BaseRetries:         baseRetries,
		RetryWindow:         retryWindow,
		RateTolerance:       meter.Tolerance{},
	}, gateway.Adapters{
		Store:               d,
		Dialect:             entry.DefaultDialect(),
		ConfigurationKey:    configurationKey,
		TargetPrefix:        targetPrefix,
		DecodeConfiguration: parseConfiguration,
		DecodeTarget:        parseTarget,
	}, append([]gateway.Option{
		gateway.WithLogger(slog.New(slog.NewTextHandler(f.log, nil)).With(slog.Int("Instance", len(f.instances)))),
		gateway.WithTargetDialer(links.dial),
	}, options...)...)
	is.New(f.t).NoErr(err)
	f.t.Cleanup(g.Close)
	f.clients = append(f.clients, d)
	f.links = append(f.links, links)
	f.instances = append(f.instances, g)
}

func parseConfiguration(value []byte) (document.Document, error) {
	var c configuration
	if string(value) == failingValue {
		panic("decoder failed")
	}
	if err := json.Unmarshal(value, &c); err != nil {
		return document.Document{}, errors.Wrap(err, "configuration")
	}
	route := func(name, path, service string) document.Route {
		return document.Route{
			Name:       name,
			PathPrefix: path,
			Service:    service,
			Timeout:    cmp.Or(c.Timeout, routeTimeout),
			Key: document.KeyLocation{
				Place: document.InBearer,
			},
		}
	}
	later := route("later", "/later", "desk")
	later.Priority = 2
	d := document.Document{
		Revision: c.Revision,
		Policy:   document.DefaultPolicy(),
		Routes: []document.Route{
			route("route", c.Path, "desk"),
			route("mill", "/mill", "mill"),
			later,
		},
		Organisations: []document.Organisation{{
			Name: "orchard",
		}},
	}
	if c.Rate > 0 {
		d.Rates = []document.Rate{{
			Organisation: "orchard",
			PerSecond:    c.Rate,
			Burst:        int(c.Rate),
		}}
	}
	for _, k := range c.Keys {
		d.Organisations[0].KeyDigests = append(d.Organisations[0].KeyDigests, document.DigestKey(k))
	}
	return d, nil
}

// failingValue is a value on which the decoders fail unexpectedly.
const failingValue = "fail"

// parseTarget decodes "IP:port", "IP:port N" for the run with the incarnation N, or
// "IP:port N ZONE SLOTS".
func parseTarget(key string, value []byte) (target.Registration, error) {
	address, text, _ := strings.Cut(string(value), " ")
	if address == failingValue {
		panic("decoder failed")
	}
	if !strings.Contains(address, ":") {
		return target.Registration{}, errors.Errorf("%s: no address", key)
	}
	zone, slots := "a", 6
	if parts := strings.Fields(text); len(parts) == 3 {
		text, zone = parts[0], parts[1]
		slots, _ = strconv.Atoi(parts[2])
	}
	incarnation, _ := strconv.ParseInt(text, 10, 64)
	name := strings.TrimPrefix(key, targetPrefix)
	service, _, _ := strings.Cut(name, "-")
	return target.Registration{
		Service: service,
		Target: document.Target{
			Name:    name,
			Address: address,
			Zone:    zone,
			Slots:   slots,
		},
		Incarnation: incarnation,
	}, nil
}

// call sends a GET request to an instance and returns the status, or zero if there was no
// answer.
func (f *testFleet) call(g *gateway.Gateway, path, key string) int {
	f.t.Helper()
	return f.send(g, http.MethodGet, path, key)
}

// send sends a request to an instance and returns the status, or zero if there was no
// answer.
func (f *testFleet) send(g *gateway.Gateway, method, path, key string) int {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+g.EntryAddress()+path, nil)
	is.New(f.t).NoErr(err)
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (f *testFleet) ready(g *gateway.Gateway) bool {
	response, err := http.Get("http://" + g.ReadyAddress())
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// metrics returns the counters of an instance.
func (f *testFleet) metrics(g *gateway.Gateway) string {
	f.t.Helper()
	response, err := http.Get("http://" + g.MetricsAddress())
	is.New(f.t).NoErr(err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	is.New(f.t).NoErr(err)
	return string(content)
}

// await waits until a condition is true, and fails the test after awaitTimeout.
func (f *testFleet) await(condition func() bool) {
	f.t.Helper()
	for until := time.Now().Add(awaitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			f.t.Fatal("condition not true in time")
		}
	}
}
