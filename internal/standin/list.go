package standin

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"dandelionmux/internal/list"
	"dandelionmux/pkg/instance"
)

// List is a stand-in for the platform's instance list. Readers see the list as
// it was before the lag. It is an http.Handler: GET returns the list, PUT
// registers one entry, and DELETE with the parameter Address removes one.
type List struct {
	clock func() time.Duration

	mu      sync.Mutex
	faults  ListFaults
	entries []list.Entry
	// states holds the list's states, oldest first, from the one that readers
	// see now to the newest.
	states []listState
	reads  uint64
}

// listState is the content of the list from a time on.
type listState struct {
	since   time.Duration
	entries []list.Entry
}

// ListFaults are the list's faults. The zero value is a healthy list.
type ListFaults struct {
	// Lag is the time after which readers see a change.
	Lag time.Duration
	// Slow delays each call.
	Slow time.Duration
	// Outage breaks every connection.
	Outage bool
	// Stuck keeps readers at the state that they see now.
	Stuck bool
}

// ListOption configures a List.
type ListOption func(*List)

// ListClock sets the clock that measures the lag.
func ListClock(clock func() time.Duration) ListOption {
	return func(l *List) { l.clock = clock }
}

// NewList returns an empty list.
func NewList(options ...ListOption) *List {
	begin := time.Now()
	l := &List{
		clock:  func() time.Duration { return time.Since(begin) },
		states: []listState{{}},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// SetFaults replaces the faults.
func (l *List) SetFaults(f ListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropUnseenStates()
	l.faults = f
}

// Faults returns the current faults.
func (l *List) Faults() ListFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Reads returns how often the list was read.
func (l *List) Reads() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Register adds an entry, or replaces the one with the same address.
func (l *List) Register(e list.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := slices.DeleteFunc(slices.Clone(l.entries), func(o list.Entry) bool { return o.Address == e.Address })
	l.setEntries(append(entries, e))
}

// Remove removes the entry with an address.
func (l *List) Remove(address instance.Address) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setEntries(slices.DeleteFunc(slices.Clone(l.entries), func(o list.Entry) bool { return o.Address == address }))
}

// Entries returns the entries that readers see now.
func (l *List) Entries() []list.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropUnseenStates()
	return slices.Clone(l.states[0].entries)
}

func (l *List) setEntries(entries []list.Entry) {
	l.dropUnseenStates()
	l.entries = entries
	l.states = append(l.states, listState{
		since:   l.clock(),
		entries: entries,
	})
}

// dropUnseenStates removes the states that readers no longer see.
func (l *List) dropUnseenStates() {
	if l.faults.Stuck {
		return
	}
	seen := l.clock() - l.faults.Lag
	for len(l.states) > 1 && l.states[1].since <= seen {
		l.states = l.states[1:]
	}
}

// ServeHTTP reads or changes the list.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := l.Faults()
	if f.Outage {
		panic(http.ErrAbortHandler)
	}
	if f.Slow > 0 && !wait(r.Context(), f.Slow) {
		return
	}
	switch r.Method {
	case http.MethodGet:
		l.serveRead(w)
	case http.MethodPut:
		l.serveRegister(w, r)
	case http.MethodDelete:
		l.Remove(instance.Address(r.URL.Query().Get("Address")))
	default:
		http.Error(w, "GET, PUT or DELETE", http.StatusMethodNotAllowed)
	}
}

func (l *List) serveRead(w http.ResponseWriter) {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	content, err := list.Encode(l.Entries())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content)
}

func (l *List) serveRegister(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	e, err := list.DecodeEntry(content)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Register(e)
}
