package standin

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dandelionmux/internal/etcd"
)

// Limits of the stand-in store.
const (
	maxValueBytes      = 1 << 20
	maxRequestBytes    = 4 << 20
	maxHistoryEvents   = 10_000
	expiryInterval     = 50 * time.Millisecond
	minLeaseTTLSeconds = 1
)

// Store is a stand-in for the platform's key-value store. It is an http.Handler
// that implements the JSON gateway of the etcd v3 protocol in memory.
type Store struct {
	mux   *http.ServeMux
	clock func() time.Duration

	mu       sync.Mutex
	revision int64
	keys     map[string]etcd.KeyValue
	leases   map[int64]*lease
	nextID   int64
	// history holds the latest events, oldest first. Events up to the revision
	// compacted have been dropped.
	history   []event
	compacted int64
	// changed is closed and replaced at each change of the keys or the faults,
	// which wakes waiting calls.
	changed chan struct{}
	faults  StoreFaults
	calls   map[string]uint64
	watches int
}

type lease struct {
	ttl     time.Duration
	expires time.Duration
}

type event struct {
	revision int64
	event    etcd.Event
}

// StoreFaults are the store's faults. The zero value is a healthy store.
type StoreFaults struct {
	// Outage breaks every connection before the call takes effect.
	Outage bool
	// Refuse answers every call with the protocol's code for "unavailable".
	Refuse bool
	// Frozen suspends every call before it takes effect. The calls continue when
	// Frozen is unset, even if their callers have given up.
	Frozen bool
	// Slow delays every call before it takes effect.
	Slow time.Duration
	// LoseAnswers is the number of following calls that take effect but break
	// the connection instead of answering. A negative number means all calls.
	// Watches aren't affected.
	LoseAnswers int
	// LoseWrites makes LoseAnswers apply to writes only.
	LoseWrites bool
}

// StoreOption configures a Store.
type StoreOption func(*Store)

// StoreClock sets the clock that measures the terms of leases. Call Expire after
// advancing such a clock.
func StoreClock(clock func() time.Duration) StoreOption {
	return func(s *Store) { s.clock = clock }
}

// NewStore returns an empty store.
func NewStore(options ...StoreOption) *Store {
	begin := time.Now()
	s := &Store{
		mux:      http.NewServeMux(),
		clock:    func() time.Duration { return time.Since(begin) },
		revision: 1,
		keys:     map[string]etcd.KeyValue{},
		leases:   map[int64]*lease{},
		nextID:   7_000_000,
		changed:  make(chan struct{}),
		calls:    map[string]uint64{},
	}
	for _, o := range options {
		o(s)
	}
	s.registerHandlers()
	return s
}

// ServeHTTP serves one call of the protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWaiters()
}

// Faults returns the current faults.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the number of calls received for each path of the protocol.
func (s *Store) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Watches returns the number of open watches.
func (s *Store) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// Get returns a key's value, and whether the key exists.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kv, ok := s.keys[key]
	return slices.Clone(kv.Value), ok
}

// Keys returns all keys with the prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keysBetween(prefix, string(etcd.PrefixEnd(prefix)))
}

// Compact drops the history, so that watches that start at an earlier revision
// are told that they missed changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// Expire removes the lapsed leases and the keys attached to them.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
}

func (s *Store) expireLeases() {
	now := s.clock()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now >= s.leases[id].expires {
			s.dropLease(id)
		}
	}
}

func (s *Store) dropLease(id int64) {
	delete(s.leases, id)
	var attached []string
	for k, kv := range s.keys {
		if kv.Lease == id {
			attached = append(attached, k)
		}
	}
	slices.Sort(attached)
	if len(attached) == 0 {
		return
	}
	s.revision++
	for _, k := range attached {
		s.delete(k)
	}
}

// put writes a key at the current revision, which the caller has raised.
func (s *Store) put(r *etcd.PutRequest) {
	key := string(r.Key)
	old := s.keys[key]
	kv := etcd.KeyValue{
		Key:            r.Key,
		Value:          r.Value,
		CreateRevision: old.CreateRevision,
		ModRevision:    s.revision,
		Version:        old.Version + 1,
		Lease:          r.Lease,
	}
	if old.CreateRevision == 0 {
		kv.CreateRevision = s.revision
	}
	s.keys[key] = kv
	s.recordEvent(etcd.Event{
		Kv: &kv,
	})
}

// delete removes a key at the current revision, which the caller has raised.
func (s *Store) delete(key string) {
	delete(s.keys, key)
	s.recordEvent(etcd.Event{
		Type: etcd.TypeDelete,
		Kv: &etcd.KeyValue{
			Key:         []byte(key),
			ModRevision: s.revision,
		},
	})
}

func (s *Store) recordEvent(e etcd.Event) {
	s.history = append(s.history, event{
		revision: s.revision,
		event:    e,
	})
	if over := len(s.history) - maxHistoryEvents; over > 0 {
		s.compacted = s.history[over-1].revision
		s.history = slices.Clone(s.history[over:])
	}
	s.wakeWaiters()
}

// wakeWaiters wakes all waiting calls.
func (s *Store) wakeWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// keysBetween returns the keys in [begin, end), sorted. If end is a single zero
// byte, there is no upper limit. If it is empty, only the key begin matches.
func (s *Store) keysBetween(begin, end string) []string {
	var keys []string
	if end == "" {
		if _, ok := s.keys[begin]; ok {
			keys = append(keys, begin)
		}
		return keys
	}
	for k := range s.keys {
		if inRange(k, begin, end) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func inRange(key, begin, end string) bool {
	if end == "" {
		return key == begin
	}
	if end == "\x00" {
		return key >= begin
	}
	return key >= begin && strings.Compare(key, end) < 0
}
