// Package mirror keeps a copy of all keys of the store under a prefix, and the
// time at which the copy was last confirmed to be complete.
//
// One instance of each zone, the reader, reads the store: it lists the keys
// once, then watches for changes, and from time to time sends a linearizable
// read to confirm that it has received all changes. The other instances of the
// zone, its followers, copy the reader's Mirror: Since returns what changed after
// a value of the store's counter. All mirrors use the store's own counter, so a
// follower can continue with another reader at any time. A Mirror never moves
// back: it ignores entries that are older than those that it holds.
//
// An open watch that reports nothing confirms nothing, since it may have stopped
// receiving changes. Only a read that the store answered does: once the mirror
// has reached the counter that the read returned, the mirror is confirmed as of
// the time when the read was sent.
//
// # Usage
//
//	m := mirror.New()
//	m.ApplyList(answer.Entries, answer.Counter)
//	m.ApplyChanges(changes.Entries, changes.Counter)
//	m.ConfirmRead(sent, value.Counter)
//	if at, ok := m.ConfirmedAt(); ok && now-at < term {
//		// m holds the store's content as of the time at, or later.
//	}
package mirror

import (
	"slices"
	"strings"
	"time"

	"dandelionmux/pkg/store"
)

// maxRemovals is the number of removals that a mirror keeps for its followers.
// A follower that lacks more than these gets a full Delta.
const maxRemovals = 1024

// Mirror is a copy of all keys of the store that begin with some prefix. It is
// not safe for concurrent use.
type Mirror struct {
	entries map[string]store.Entry
	counter int64
	// removals are the latest removals, in the order of their counters. They
	// include all removals after the counter removalsAfter.
	removals      []store.Entry
	removalsAfter int64
	// confirmedAt is valid if confirmed is set. pending is a confirmation whose
	// counter the mirror has not reached yet.
	confirmedAt time.Duration
	confirmed   bool
	pending     confirmation
}

// confirmation is a read sent at the time sentAt which returned counter, so that
// the store's counter was at most counter when the read was sent.
type confirmation struct {
	sentAt  time.Duration
	counter int64
	set     bool
}

// Delta is what changed in a mirror after a counter value, or all that it holds.
type Delta struct {
	// Full is set if Entries are all entries of the mirror. Otherwise they are
	// changes; those with Version zero are removals.
	Full    bool
	Entries []store.Entry
	Counter int64
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{
		entries: map[string]store.Entry{},
	}
}

// Counter returns the store's counter up to which the mirror has all changes.
func (m *Mirror) Counter() int64 { return m.counter }

// Entry returns the entry under a key.
func (m *Mirror) Entry(key string) (store.Entry, bool) {
	e, ok := m.entries[key]
	return e, ok
}

// ApplyList replaces the mirror's content by the entries that the store held at
// the counter, and returns those that changed. It ignores a list that is older
// than the mirror.
func (m *Mirror) ApplyList(entries []store.Entry, counter int64) []store.Entry {
	if counter < m.counter {
		return nil
	}
	var changed []store.Entry
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		if m.put(e) {
			changed = append(changed, e)
		}
	}
	for key := range m.entries {
		if !present[key] {
			changed = append(changed, m.remove(key, counter))
		}
	}
	m.removalsAfter = counter
	m.removals = nil
	m.advance(counter)
	return changed
}

// ApplyChanges applies the changes of the store up to the counter, and returns
// those that changed the mirror.
func (m *Mirror) ApplyChanges(entries []store.Entry, counter int64) []store.Entry {
	var changed []store.Entry
	for _, e := range entries {
		if e.Version == 0 {
			if m.applyRemoval(e, counter) {
				changed = append(changed, e)
			}
			continue
		}
		if m.put(e) {
			changed = append(changed, e)
		}
	}
	m.advance(counter)
	return changed
}

// put stores an entry and returns true, unless the mirror has the same or a
// newer version, or a later removal, of the key.
func (m *Mirror) put(e store.Entry) bool {
	if old, ok := m.entries[e.Key]; ok && old.Version >= e.Version {
		return false
	}
	if e.Version <= m.counter && !m.newerThanRemovals(e) {
		return false
	}
	m.entries[e.Key] = e
	return true
}

// newerThanRemovals reports whether the entry is at least as new as every known removal
// of its key.
func (m *Mirror) newerThanRemovals(e store.Entry) bool {
	for _, r := range m.removals {
		if r.Key == e.Key && r.RemovedAt > e.Version {
			return false
		}
	}
	return true
}

// applyRemoval removes an entry's key and returns true, unless the key is absent
// or was written after the removal. A removal without a counter of its own counts
// as one at the given counter.
func (m *Mirror) applyRemoval(e store.Entry, counter int64) bool {
	old, ok := m.entries[e.Key]
	at := e.RemovedAt
	if at == 0 {
		at = counter
	}
	if !ok || old.Version > at {
		return false
	}
	m.remove(e.Key, at)
	return true
}

// remove deletes a key and records its removal for followers.
func (m *Mirror) remove(key string, counter int64) store.Entry {
	delete(m.entries, key)
	removal := store.Entry{
		Key:       key,
		RemovedAt: counter,
	}
	m.removals = append(m.removals, removal)
	if len(m.removals) > maxRemovals {
		m.removalsAfter = m.removals[0].RemovedAt
		m.removals = m.removals[1:]
	}
	return removal
}

// advance moves the mirror's counter forward, and applies the pending
// confirmation if the mirror has reached it.
func (m *Mirror) advance(counter int64) {
	m.counter = max(m.counter, counter)
	if m.pending.set && m.pending.counter <= m.counter {
		m.pending.set = false
		m.confirm(m.pending.sentAt)
	}
}

// ConfirmRead records that a linearizable read which was sent at the time sentAt
// returned the store's counter. It takes effect once the mirror has reached that
// counter. While a confirmation is pending, further ones that the mirror has not
// reached are ignored, so that Stalled measures from the first.
func (m *Mirror) ConfirmRead(sentAt time.Duration, counter int64) {
	if counter <= m.counter {
		m.confirm(sentAt)
		return
	}
	if !m.pending.set {
		m.pending = confirmation{
			sentAt:  sentAt,
			counter: counter,
			set:     true,
		}
	}
}

// confirm sets the time of confirmation unless it is set to a later one.
func (m *Mirror) confirm(sentAt time.Duration) {
	if !m.confirmed || sentAt > m.confirmedAt {
		m.confirmedAt = sentAt
		m.confirmed = true
	}
}

// ConfirmedAt returns the latest time at which the mirror is confirmed to have
// held all that the store held, and false if there is none yet.
func (m *Mirror) ConfirmedAt() (time.Duration, bool) {
	return m.confirmedAt, m.confirmed
}

// Stalled reports whether the store has been known to be ahead of the mirror for
// longer than maxLag, which means that the watch no longer receives changes.
func (m *Mirror) Stalled(now, maxLag time.Duration) bool {
	return m.pending.set && now-m.pending.sentAt > maxLag
}

// Behind reports whether the store is known to be ahead of the mirror.
func (m *Mirror) Behind() bool { return m.pending.set }

// Since returns what changed after the counter, or all entries if the mirror no
// longer knows all removals after it, or if the counter is zero. A follower that
// is ahead of the mirror gets an empty Delta.
func (m *Mirror) Since(counter int64) Delta {
	d := Delta{
		Counter: m.counter,
	}
	if counter > m.counter {
		return d
	}
	d.Full = counter < m.removalsAfter || counter == 0
	for _, e := range m.entries {
		if d.Full || e.Version > counter {
			d.Entries = append(d.Entries, e)
		}
	}
	slices.SortFunc(d.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	if d.Full {
		return d
	}
	for _, r := range m.removals {
		if r.RemovedAt > counter {
			d.Entries = append(d.Entries, r)
		}
	}
	return d
}

// ApplyDelta applies a delta of another mirror, and returns the entries that
// changed this one.
func (m *Mirror) ApplyDelta(d Delta) []store.Entry {
	if d.Full {
		return m.ApplyList(d.Entries, d.Counter)
	}
	return m.ApplyChanges(d.Entries, d.Counter)
}
