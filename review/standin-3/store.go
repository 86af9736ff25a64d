package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the pages give them.
const (
	storeDelay   = 4 * time.Millisecond
	pageItems    = 500
	maxWatchWait = 30 * time.Second
	historyTerm  = 20 * time.Second
)

// item is a key with its value, or the tombstone of a removed key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"created_at,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`

	at time.Time
}

type lease struct {
	term  time.Duration
	until time.Time
}

// metaStore is a sound metadata store of the platform, in memory.
type metaStore struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	compacted int64
	leases    map[int64]lease
	lastLease int64
	changed   chan struct{}
}

func newMetaStore() *metaStore {
	s := &metaStore{
		revision: 100,
		items:    map[string]item{},
		leases:   map[int64]lease{},
		changed:  make(chan struct{}),
	}
	s.compacted = s.revision
	go s.expire()
	return s
}

// listen serves the store at one more address and returns that.
func (s *metaStore) listen() string {
	l := mustListen("127.0.0.1:0")
	address := l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grantLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.keepLease)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeDelay)
			mux.ServeHTTP(w, r)
		}),
	}
	go func() { _ = server.Serve(l) }()
	return address
}

func mustListen(address string) net.Listener {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		cannotRun("listen: " + err.Error())
	}
	return l
}

// wake wakes the watches. The caller holds mu.
func (s *metaStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a server does; a nil value removes it.
func (s *metaStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok && value == nil {
		return
	}
	s.revision++
	s.set(key, value, 0)
	s.wake()
}

// set applies one change at the current revision. The caller holds mu.
func (s *metaStore) set(key string, value []byte, id int64) {
	now := time.Now()
	created := s.items[key].CreatedAt
	if created == 0 {
		created = s.revision
	}
	changed := item{
		Key:       key,
		Value:     value,
		Revision:  s.revision,
		CreatedAt: created,
		Lease:     id,
		at:        now,
	}
	if value == nil {
		changed = item{
			Key:       key,
			Revision:  s.revision,
			Tombstone: true,
			at:        now,
		}
		delete(s.items, key)
	} else {
		s.items[key] = changed
	}
	s.history = append(s.history, changed)
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTerm {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// expire removes the keys of leases that have ended.
func (s *metaStore) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.until) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// dropLease ends a lease. The caller holds mu.
func (s *metaStore) dropLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.set(key, nil, 0)
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *metaStore) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.FormValue("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{
		item:          found,
		StoreRevision: revision,
	})
}

func (s *metaStore) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			list = append(list, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > pageItems
	reply(w, http.StatusOK, map[string]any{
		"items":          list[:min(len(list), pageItems)],
		"has_more":       more,
		"store_revision": revision,
	})
}

func (s *metaStore) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err != nil || waitErr != nil || waitMs > maxWatchWait.Milliseconds() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, revision, gone := s.changed, s.revision, after < s.compacted || after > s.revision
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			reply(w, http.StatusGone, map[string]any{"store_revision": revision})
			return
		case len(events) > 0:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

type transaction struct {
	Expect  []item   `json:"expect"`
	Writes  []item   `json:"writes"`
	Deletes []string `json:"deletes"`
}

func (s *metaStore) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	current := []item{}
	for _, e := range t.Expect {
		found, ok := s.items[e.Key]
		if ok {
			current = append(current, found)
		}
		met = met && found.Revision == e.Revision
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "store_revision": s.revision})
		return
	}
	for _, i := range t.Writes {
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
			return
		}
	}
	s.revision++
	for _, i := range t.Writes {
		s.set(i.Key, append([]byte{}, i.Value...), i.Lease)
	}
	for _, key := range t.Deletes {
		s.set(key, nil, 0)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *metaStore) grantLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := 70_000 + s.lastLease
	term := time.Duration(q.TTLMs) * time.Millisecond
	s.leases[id] = lease{
		term:  term,
		until: time.Now().Add(term),
	}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": q.TTLMs})
}

func (s *metaStore) keepLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.until = time.Now().Add(l.term)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.term.Milliseconds()})
}

func (s *metaStore) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
