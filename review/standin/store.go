package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the most items of one page of a range.
const pageItems = 50

// storeItem is an item of the store, or the tombstone of a removed one.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"created_at,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// storeContent is what the store holds.
type storeContent struct {
	items    map[string]storeItem
	history  []storeItem
	revision int64
	// leases holds, in a copy, the leases that had been granted.
	leases map[int64]bool
}

func (c storeContent) clone() storeContent {
	items := make(map[string]storeItem, len(c.items))
	for k, v := range c.items {
		items[k] = v
	}
	return storeContent{
		items:    items,
		history:  slices.Clone(c.history),
		revision: c.revision,
	}
}

// store stands in for the platform's store.
type store struct {
	mu      sync.Mutex
	content storeContent
	leases  map[int64]time.Time
	terms   map[int64]time.Duration
	lastID  int64
	era     int64
	down    bool
	changed chan struct{}
	ended   chan struct{}
}

func newStore() *store {
	s := &store{
		content: storeContent{
			items:    map[string]storeItem{},
			revision: 1,
		},
		leases:  map[int64]time.Time{},
		terms:   map[int64]time.Duration{},
		lastID:  1000,
		changed: make(chan struct{}),
		ended:   make(chan struct{}),
	}
	go s.expireLeases()
	return s
}

// expireLeases removes the keys of leases that have ended.
func (s *store) expireLeases() {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-s.ended:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		for id, until := range s.leases {
			if !s.down && time.Now().After(until) {
				delete(s.leases, id)
				s.removeKeysOf(id)
			}
		}
		s.mu.Unlock()
	}
}

// removeKeysOf removes the keys of a lease. The caller holds mu.
func (s *store) removeKeysOf(lease int64) {
	for key, item := range s.content.items {
		if item.Lease == lease {
			s.removeKey(key)
		}
	}
}

// putKey writes a key. The caller holds mu.
func (s *store) putKey(key string, value []byte, lease int64) {
	s.content.revision++
	item := storeItem{
		Key:       key,
		Value:     value,
		Revision:  s.content.revision,
		CreatedAt: s.content.revision,
		Lease:     lease,
	}
	if old, ok := s.content.items[key]; ok {
		item.CreatedAt = old.CreatedAt
	}
	s.content.items[key] = item
	s.content.history = append(s.content.history, item)
	s.wake()
}

// removeKey removes a key, if it is there. The caller holds mu.
func (s *store) removeKey(key string) {
	if _, ok := s.content.items[key]; !ok {
		return
	}
	s.content.revision++
	delete(s.content.items, key)
	s.content.history = append(s.content.history, storeItem{
		Key:       key,
		Revision:  s.content.revision,
		Tombstone: true,
	})
	s.wake()
}

// wake ends waiting watches. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key of the operator or of a server.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putKey(key, value, 0)
}

// copyContent returns a copy of what the store holds.
func (s *store) copyContent() storeContent {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.content.clone()
	c.leases = map[int64]bool{}
	for id := range s.leases {
		c.leases[id] = true
	}
	return c
}

// setDown has the store answer nothing, or answer again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// setBack has the store come back from an earlier copy, in a new era. Leases that were
// granted since are gone.
func (s *store) setBack(c storeContent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = c.clone()
	s.content.history = nil
	s.leases = map[int64]time.Time{}
	for id := range c.leases {
		s.leases[id] = time.Now().Add(s.terms[id])
	}
	s.era++
	s.down = false
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	}
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.serveKey(w, r)
	case path == "/kv-range":
		s.serveRange(w, r)
	case path == "/kv-watch":
		s.serveWatch(w, r)
	case path == "/kv-txn":
		s.serveTransaction(w, r)
	case path == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveLeaseEnd(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type answer struct {
		storeItem
		StoreRevision int64 `json:"store_revision"`
	}
	item, ok := s.content.items[r.URL.Query().Get("key")]
	status := http.StatusOK
	if !ok {
		status = http.StatusNotFound
	}
	writeJSON(w, status, answer{
		storeItem:     item,
		StoreRevision: s.content.revision,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for key := range s.content.items {
		if strings.HasPrefix(key, prefix) && (after == "" || key > after) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	keys = keys[:min(len(keys), pageItems)]
	items := make([]storeItem, len(keys))
	for i, key := range keys {
		items[i] = s.content.items[key]
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"items":          items,
		"has_more":       more,
		"store_revision": s.content.revision,
	})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	era := s.currentEra()
	for timedOut := false; ; {
		s.mu.Lock()
		events, known := s.content.eventsAfter(after, prefix)
		revision, changed, down, newEra := s.content.revision, s.changed, s.down, s.era
		s.mu.Unlock()
		if newEra > 0 {
			w.Header().Set("Store-Era", strconv.FormatInt(newEra, 10))
		}
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case !known || newEra != era:
			writeJSON(w, http.StatusGone, map[string]any{"store_revision": revision})
			return
		case len(events) > 0 || timedOut:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) currentEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// eventsAfter returns the changes after a revision of keys with a prefix, and false if they
// aren't all known.
func (c storeContent) eventsAfter(after int64, prefix string) (events []storeItem, known bool) {
	events = []storeItem{}
	if after > c.revision || after < c.revision-int64(len(c.history)) {
		return events, false
	}
	for _, e := range c.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, true
}

// transaction is the body of a change under a condition.
type transaction struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	items := []storeItem{}
	for _, e := range t.Expect {
		item, ok := s.content.items[e.Key]
		met = met && item.Revision == e.Revision
		if ok {
			items = append(items, item)
		}
	}
	if !met {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, e := range t.Writes {
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			writeJSON(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, e := range t.Writes {
		s.putKey(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Deletes {
		s.removeKey(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.content.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	term := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.lastID], s.terms[s.lastID] = time.Now().Add(term), term
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_ms": body.TTLMs})
}

func (s *store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.leases[id] = time.Now().Add(s.terms[id])
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": s.terms[id].Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.removeKeysOf(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}
