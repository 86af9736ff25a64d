package fake

import (
	"slices"
	"strings"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

// Store is an in-memory implementation of the platform's store.
type Store struct {
	// Unavailable makes new calls fail without effect. Calls in flight still take
	// effect, but fail with store.ErrOutcomeUnknown if it is set when their answer
	// is ready.
	Unavailable bool
	// AnswerLossRate is the fraction of answers, from 0 to 1, that are lost.
	AnswerLossRate float64
	// MaxDelay is the maximum one-way delay. The minimum is a quarter of it.
	MaxDelay time.Duration
	// Calls is the number of calls received.
	Calls int

	timeline     *Timeline
	entries      map[string]store.Entry
	leases       map[store.LeaseID]*lease
	counter      int64
	disconnected map[instance.Address]bool
	watches      []watch
	lastWatch    int
}

type lease struct {
	term      time.Duration
	expiresAt time.Duration
}

type watch struct {
	number int
	call   store.Watch
	reply  func(store.Answer, error)
}

// NewStore returns an empty store.
func NewStore(timeline *Timeline) *Store {
	s := &Store{
		MaxDelay:     2 * time.Millisecond,
		timeline:     timeline,
		entries:      map[string]store.Entry{},
		leases:       map[store.LeaseID]*lease{},
		disconnected: map[instance.Address]bool{},
	}
	timeline.Every(100*time.Millisecond, s.expireLeases)
	return s
}

// SetDisconnected sets whether an instance can't reach the store.
func (s *Store) SetDisconnected(address instance.Address, cut bool) { s.disconnected[address] = cut }

// Do schedules a call and calls reply later with the answer or the error.
func (s *Store) Do(from instance.Address, call store.Call, reply func(store.Answer, error)) {
	s.Calls++
	if s.Unavailable || s.disconnected[from] {
		s.timeline.After(s.delay(), func() { reply(nil, store.ErrUnavailable) })
		return
	}
	answered := func(a store.Answer, err error) {
		if s.Unavailable || s.disconnected[from] || s.timeline.Random.Float64() < s.AnswerLossRate {
			a, err = nil, store.ErrOutcomeUnknown
		}
		s.timeline.After(s.delay(), func() { reply(a, err) })
	}
	s.timeline.After(s.delay(), func() { s.serve(call, answered) })
}

// Put writes a key at once, without a call.
func (s *Store) Put(key string, value []byte) {
	s.write(key, value, 0)
}

// Entry returns a key's entry at once, without a call.
func (s *Store) Entry(key string) store.Entry { return s.entries[key] }

func (s *Store) delay() time.Duration { return s.timeline.RandomDuration(s.MaxDelay/4, s.MaxDelay) }

func (s *Store) serve(call store.Call, reply func(store.Answer, error)) {
	s.expireLeases()
	switch c := call.(type) {
	case store.Get:
		reply(store.Value{
			Entry:   s.entries[c.Key],
			Counter: s.counter,
		}, nil)
	case store.List:
		reply(store.Entries{
			Entries: s.entriesWithPrefix(c.Prefix, 0),
			Counter: s.counter,
		}, nil)
	case store.Swap:
		reply(s.swap(c), nil)
	case store.Delete:
		reply(s.deleteIfUnchanged(c), nil)
	case store.Watch:
		s.watch(c, reply)
	default:
		reply(s.serveLease(call), nil)
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
	s.notifyWatches()
	return e
}

func (s *Store) deleteIfUnchanged(c store.Delete) store.Answer {
	found := s.entries[c.Key]
	if found.Version != c.Expected {
		return store.Swapped{
			Current: found,
		}
	}
	s.deleteKey(c.Key)
	return store.Swapped{
		Done: true,
	}
}

func (s *Store) deleteKey(key string) {
	s.counter++
	delete(s.entries, key)
	s.notifyWatches()
}

// serveLease executes the calls on leases.
func (s *Store) serveLease(call store.Call) store.Answer {
	switch c := call.(type) {
	case store.GrantLease:
		s.counter++
		id := store.LeaseID(s.counter)
		s.leases[id] = &lease{
			term:      c.Term,
			expiresAt: s.timeline.Now() + c.Term,
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
		l.expiresAt = s.timeline.Now() + l.term
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

// expireLeases revokes the leases whose term has passed.
func (s *Store) expireLeases() {
	var ended []store.LeaseID
	for id, l := range s.leases {
		if s.timeline.Now() >= l.expiresAt {
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
	for _, e := range s.entriesWithPrefix("", 0) {
		if e.Lease == id {
			s.deleteKey(e.Key)
		}
	}
}

// entriesWithPrefix returns the entries under a prefix with a version greater
// than after, ordered by key.
func (s *Store) entriesWithPrefix(prefix string, after int64) []store.Entry {
	var found []store.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && e.Version > after {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// watch replies once there are changes. Unlike the platform's store it doesn't
// report deletions.
func (s *Store) watch(c store.Watch, reply func(store.Answer, error)) {
	const idleTimeout = 20 * time.Second
	s.lastWatch++
	w := watch{
		number: s.lastWatch,
		call:   c,
		reply:  reply,
	}
	if s.replyIfChanged(w) {
		return
	}
	s.watches = append(s.watches, w)
	s.timeline.After(idleTimeout, func() { s.endIdleWatch(w) })
}

// endIdleWatch answers a watch that reached the idle timeout without a change.
func (s *Store) endIdleWatch(w watch) {
	i := slices.IndexFunc(s.watches, func(o watch) bool { return o.number == w.number })
	if i < 0 {
		return
	}
	s.watches = slices.Delete(s.watches, i, i+1)
	w.reply(store.Changes{
		Counter: w.call.After,
	}, nil)
}

// replyIfChanged answers the watch if there are changes. It reports whether it
// did.
func (s *Store) replyIfChanged(w watch) bool {
	found := s.entriesWithPrefix(w.call.Prefix, w.call.After)
	if len(found) == 0 {
		return false
	}
	w.reply(store.Changes{
		Entries: found,
		Counter: s.counter,
	}, nil)
	return true
}

func (s *Store) notifyWatches() {
	var waiting []watch
	for _, w := range s.watches {
		if !s.replyIfChanged(w) {
			waiting = append(waiting, w)
		}
	}
	s.watches = waiting
}
