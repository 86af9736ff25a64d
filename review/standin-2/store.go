package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the tombstone of a removed key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"created_at,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	term  time.Duration
	until time.Time
}

// pageItems is the most items of a page of a range, and pageBytes the size of its values at which
// it ends.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// kvStore is the platform's store as PROTOCOL.md describes it. Its zero value isn't usable.
type kvStore struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	lastID   int64
	changed  chan struct{}
}

// startStore starts a store at an address.
func startStore(address string) (*kvStore, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &kvStore{
		listener: l,
		revision: 400,
		items:    map[string]item{},
		leases:   map[int64]*lease{},
		lastID:   77000,
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.listPage)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grantLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.renewLease)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	server := &http.Server{
		Handler: mux,
	}
	go func() { _ = server.Serve(l) }()
	go s.expire()
	return s, nil
}

func (s *kvStore) address() string { return s.listener.Addr().String() }

// put writes a key as the operator or a server does, or removes it if the value is nil.
func (s *kvStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, value, 0)
	s.wake()
}

// set writes or removes a key. The caller holds mu.
func (s *kvStore) set(key string, value []byte, leaseID int64) {
	s.revision++
	old, existed := s.items[key]
	it := item{
		Key:       key,
		Value:     value,
		Revision:  s.revision,
		CreatedAt: s.revision,
		Lease:     leaseID,
		Tombstone: value == nil,
	}
	if existed && value != nil {
		it.CreatedAt = old.CreatedAt
	}
	delete(s.items, key)
	if value != nil {
		s.items[key] = it
	}
	s.history = append(s.history, it)
}

// wake wakes the watches. The caller holds mu.
func (s *kvStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (s *kvStore) expire() {
	for {
		time.Sleep(50 * time.Millisecond)
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

// dropLease ends a lease and removes its keys. The caller holds mu.
func (s *kvStore) dropLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.set(key, nil, 0)
		}
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *kvStore) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.FormValue("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{it, revision})
}

func (s *kvStore) listPage(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	var all []item
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			all = append(all, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	page := []item{}
	size := 0
	for _, it := range all {
		if len(page) == pageItems || size > pageBytes {
			break
		}
		page = append(page, it)
		size += len(it.Value)
	}
	reply(w, http.StatusOK, map[string]any{
		"items":          page,
		"has_more":       len(page) < len(all),
		"store_revision": revision,
	})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	waitMs, err := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err != nil || waitMs > 30000 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	over := time.After(time.Duration(waitMs) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-over:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect, Writes []item
		Deletes        []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	holds := true
	for _, e := range t.Expect {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, it := range t.Writes {
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, it := range t.Writes {
		s.set(it.Key, append([]byte{}, it.Value...), it.Lease)
	}
	for _, key := range t.Deletes {
		s.set(key, nil, 0)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *kvStore) grantLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTLMs < 1000 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	term := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.lastID] = &lease{
		term:  term,
		until: time.Now().Add(term),
	}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_ms": body.TTLMs})
}

func (s *kvStore) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.until = time.Now().Add(l.term)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.term.Milliseconds()})
}

func (s *kvStore) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
