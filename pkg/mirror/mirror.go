// Package mirror keeps a copy of a part of the store, with a proof of how fresh
// it is.
//
// One instance of each zone reads the store: it lists once, then watches, and
// proves now and then by a linearizable read that it has heard all changes. The
// others of its zone copy its Mirror: Since gives what changed after a counter
// value, which is the store's own, so that a follower may go on with another
// instance at any time. A Mirror never goes back: entries that are older than
// what it holds are ignored.
//
// A waiting watch proves nothing, because it may have stopped hearing. A proof
// is a read that the store answered: it holds for the time when the read was
// sent, once the mirror has reached the counter that the read saw.
//
// # Usage
//
//	m := mirror.New()
//	m.ApplyList(answer.Entries, answer.Counter)
//	m.ApplyChanges(changes.Entries, changes.Counter)
//	m.ConfirmRead(sent, value.Counter)
//	if at, ok := m.ConfirmedAt(); ok && now-at < term {
//		// What m holds was the store's content at the time at, or later.
//	}
package mirror

import (
	"slices"
	"strings"
	"time"

	"dandelionmux/pkg/store"
)

// maxRemovals bounds the removals that are remembered for followers; one that
// is further behind takes the whole.
const maxRemovals = 1024

// Mirror is a copy of all keys that begin with some prefix. Its methods must not
// be called at the same time.
type Mirror struct {
	entries map[string]store.Entry
	counter int64
	// removals are the newest removals in the order of their counters, and known
	// is the counter after which all removals are in it.
	removals      []store.Entry
	removalsAfter int64
	// confirmedAt holds if proved is set. ahead is a proof that the mirror has not
	// reached yet.
	confirmedAt time.Duration
	confirmed   bool
	pending     confirmation
}

// confirmation says that the store's counter was at least counter at the time at.
type confirmation struct {
	sentAt  time.Duration
	counter int64
	set     bool
}

// Delta is what changed after a counter value, or the whole.
type Delta struct {
	// Full is set if Entries are all there are; else they are changes, and
	// removals have their Removed set.
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

// Counter is the store's counter that the mirror has reached.
func (m *Mirror) Counter() int64 { return m.counter }

// Entry returns the entry under a key.
func (m *Mirror) Entry(key string) (store.Entry, bool) {
	e, ok := m.entries[key]
	return e, ok
}

// ApplyList takes in all entries as of the counter, and returns those that changed.
// A list older than the mirror is ignored.
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

// ApplyChanges takes in changes up to the counter, and returns those that were news.
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

// put takes an entry in unless it is older than what is there.
func (m *Mirror) put(e store.Entry) bool {
	if old, ok := m.entries[e.Key]; ok && old.Version >= e.Version {
		return false
	}
	if e.Version <= m.counter && !m.notRemovedSince(e) {
		return false
	}
	m.entries[e.Key] = e
	return true
}

// notRemovedSince tells whether an entry that is no newer than the mirror can still be
// news: it can't if the key's removal is known to be later.
func (m *Mirror) notRemovedSince(e store.Entry) bool {
	for _, r := range m.removals {
		if r.Key == e.Key && r.RemovedAt > e.Version {
			return false
		}
	}
	return true
}

// applyRemoval takes a removal in unless the key was written since.
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

// remove forgets a key and remembers its removal for followers.
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

func (m *Mirror) advance(counter int64) {
	m.counter = max(m.counter, counter)
	if m.pending.set && m.pending.counter <= m.counter {
		m.pending.set = false
		m.confirm(m.pending.sentAt)
	}
}

// ConfirmRead takes in that a linearizable read sent at a time saw the counter.
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

func (m *Mirror) confirm(sentAt time.Duration) {
	if !m.confirmed || sentAt > m.confirmedAt {
		m.confirmedAt = sentAt
		m.confirmed = true
	}
}

// ConfirmedAt returns a time at which the mirror held all that the store held; false
// if there is no proof yet.
func (m *Mirror) ConfirmedAt() (time.Duration, bool) {
	return m.confirmedAt, m.confirmed
}

// Stalled tells whether the store is known to have been ahead of the mirror for
// longer than the patience: its watch has stopped hearing.
func (m *Mirror) Stalled(now, maxLag time.Duration) bool {
	return m.pending.set && now-m.pending.sentAt > maxLag
}

// Behind tells whether the store is known to be ahead of the mirror.
func (m *Mirror) Behind() bool { return m.pending.set }

// Since returns what changed after the counter. A follower that is ahead of the
// mirror gets an empty Delta.
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

// ApplyDelta takes in another mirror's delta, and returns what was news.
func (m *Mirror) ApplyDelta(d Delta) []store.Entry {
	if d.Full {
		return m.ApplyList(d.Entries, d.Counter)
	}
	return m.ApplyChanges(d.Entries, d.Counter)
}
