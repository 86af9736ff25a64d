package fake

import (
	"slices"
	"strings"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

// Store is the platform's store in memory.
type Store struct {
	// Unavailable makes all calls fail without effect.
	Unavailable bool
	// AnswerLossRate is the part of the answers, from 0 to 1, that is lost.
	AnswerLossRate float64
	// MaxDelay bounds the usual delay, one way.
	MaxDelay time.Duration
	// Calls counts the calls.
	Calls int

	line    *Timeline
	entries map[string]store.Entry
	leases  map[store.LeaseID]*lease
	counter int64
	cut     map[instance.Address]bool
	watches []watch
	watched int
}

type lease struct {
	term  time.Duration
	until time.Duration
}

type watch struct {
	number int
	call   store.Watch
	reply  func(store.Answer, error)
}

// NewStore returns an empty store.
func NewStore(line *Timeline) *Store {
	s := &Store{
		MaxDelay: 2 * time.Millisecond,
		line:     line,
		entries:  map[string]store.Entry{},
		leases:   map[store.LeaseID]*lease{},
		cut:      map[instance.Address]bool{},
	}
	line.Every(100*time.Millisecond, s.lapse)
	return s
}

// SetDisconnected sets whether an instance is cut off from the store.
func (s *Store) SetDisconnected(address instance.Address, cut bool) { s.cut[address] = cut }

// Do carries out a call and replies later.
func (s *Store) Do(from instance.Address, call store.Call, reply func(store.Answer, error)) {
	s.Calls++
	if s.Unavailable || s.cut[from] {
		s.line.After(s.delay(), func() { reply(nil, store.ErrUnavailable) })
		return
	}
	answered := func(a store.Answer, err error) {
		if s.Unavailable || s.cut[from] || s.line.Random.Float64() < s.AnswerLossRate {
			a, err = nil, store.ErrOutcomeUnknown
		}
		s.line.After(s.delay(), func() { reply(a, err) })
	}
	s.line.After(s.delay(), func() { s.serve(call, answered) })
}

// Put writes a key, as an operator would.
func (s *Store) Put(key string, value []byte) {
	s.write(key, value, 0)
}

// Entry reads a key without a call.
func (s *Store) Entry(key string) store.Entry { return s.entries[key] }

func (s *Store) delay() time.Duration { return s.line.RandomDuration(s.MaxDelay/4, s.MaxDelay) }

func (s *Store) serve(call store.Call, reply func(store.Answer, error)) {
	s.lapse()
	switch c := call.(type) {
	case store.Get:
		reply(store.Value{
			Entry:   s.entries[c.Key],
			Counter: s.counter,
		}, nil)
	case store.List:
		reply(store.Entries{
			Entries: s.under(c.Prefix, 0),
			Counter: s.counter,
		}, nil)
	case store.Swap:
		reply(s.swap(c), nil)
	case store.Delete:
		reply(s.remove(c), nil)
	case store.Watch:
		s.watch(c, reply)
	default:
		reply(s.leased(call), nil)
	}
}

func (s *Store) swap(c store.Swap) store.Answer {
	_, alive := s.leases[c.Lease]
	found := s.entries[c.Key]
	if found.Version != c.Expected || c.Lease != 0 && !alive {
		return store.Swapped{
			Current: found,
		}
	}
	return store.Swapped{
		Done:    true,
		Current: s.write(c.Key, c.Value, c.Lease),
	}
}

func (s *Store) write(key string, value []byte, id store.LeaseID) store.Entry {
	s.counter++
	e := store.Entry{
		Key:     key,
		Value:   slices.Clone(value),
		Version: s.counter,
		Lease:   id,
	}
	s.entries[key] = e
	s.notify()
	return e
}

func (s *Store) remove(c store.Delete) store.Answer {
	found := s.entries[c.Key]
	if found.Version != c.Expected {
		return store.Swapped{
			Current: found,
		}
	}
	s.erase(c.Key)
	return store.Swapped{
		Done: true,
	}
}

func (s *Store) erase(key string) {
	s.counter++
	delete(s.entries, key)
	s.notify()
}

// leased serves the calls about leases.
func (s *Store) leased(call store.Call) store.Answer {
	switch c := call.(type) {
	case store.GrantLease:
		s.counter++
		id := store.LeaseID(s.counter)
		s.leases[id] = &lease{
			term:  c.Term,
			until: s.line.Now() + c.Term,
		}
		return store.Leased{
			Lease: id,
			Term:  c.Term,
		}
	case store.RenewLease:
		l, ok := s.leases[c.Lease]
		if !ok {
			return store.Leased{
				Lease: c.Lease,
			}
		}
		l.until = s.line.Now() + l.term
		return store.Leased{
			Lease: c.Lease,
			Term:  l.term,
		}
	case store.RevokeLease:
		s.revoke(c.Lease)
		return store.Leased{
			Lease: c.Lease,
		}
	}
	return nil
}

// lapse ends the leases whose time has come.
func (s *Store) lapse() {
	var ended []store.LeaseID
	for id, l := range s.leases {
		if s.line.Now() >= l.until {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		s.revoke(id)
	}
}

func (s *Store) revoke(id store.LeaseID) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	for _, e := range s.under("", 0) {
		if e.Lease == id {
			s.erase(e.Key)
		}
	}
}

// under lists the keys with a prefix that were written after a count.
func (s *Store) under(prefix string, after int64) []store.Entry {
	var found []store.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && e.Version > after {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// watch waits for a change. Removals only wake the watcher.
func (s *Store) watch(c store.Watch, reply func(store.Answer, error)) {
	const silence = 20 * time.Second
	s.watched++
	w := watch{
		number: s.watched,
		call:   c,
		reply:  reply,
	}
	if s.changed(w) {
		return
	}
	s.watches = append(s.watches, w)
	s.line.After(silence, func() { s.silent(w) })
}

// silent answers a watch that has waited long enough without a change.
func (s *Store) silent(w watch) {
	i := slices.IndexFunc(s.watches, func(o watch) bool { return o.number == w.number })
	if i < 0 {
		return
	}
	s.watches = slices.Delete(s.watches, i, i+1)
	w.reply(store.Changes{
		Counter: w.call.After,
	}, nil)
}

// changed answers the watch if there is something.
func (s *Store) changed(w watch) bool {
	found := s.under(w.call.Prefix, w.call.After)
	if len(found) == 0 {
		return false
	}
	w.reply(store.Changes{
		Entries: found,
		Counter: s.counter,
	}, nil)
	return true
}

func (s *Store) notify() {
	var waiting []watch
	for _, w := range s.watches {
		if !s.changed(w) {
			waiting = append(waiting, w)
		}
	}
	s.watches = waiting
}
