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
// If the store is set back to an earlier content, counters are given out again. A mirror
// therefore compares counters of the same era only, and takes in a new era by a complete
// list. The others that write to the store write again what it lost. Until they have had
// the time to, a confirmed mirror may lack changes that were made long ago, and TrustedAt
// stands still. A mirror whose first content is of a later era doesn't know when that began. So
// one that has waited long enough records the era in the store (UnrecordedEra), and the others
// trust content that holds the record of its own era at once.
//
// Mirrors of one era at the same counter hold the same. Digest tells whether they do without
// sending it, and a Comparison what to do if they don't.
//
// # Usage
//
//	m := mirror.New(mirror.WithEraKey("era"))
//	m.ApplyList(now, answer.Entries, position)
//	m.ApplyChanges(changes.Entries, position)
//	m.ConfirmRead(sent, position)
//	if at, ok := m.TrustedAt(); ok && now-at < term {
//		// m holds all that was written until the time at, or later.
//	}
//	if record, ok := m.UnrecordedEra(); ok {
//		// Write record.Value under record.Key, if its version is still record.Version.
//	}
package mirror

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"time"

	"dandelionmux/pkg/store"
)

// maxRemovals is the number of removals that a mirror keeps for its followers.
// A follower that lacks more than these gets a full Delta.
const maxRemovals = 1024

// rewriteTime is how long after a new era was seen the others may take to write again
// what the store has lost. Targets and operators do within about two seconds.
const rewriteTime = 2 * time.Second

// Position is a state of the store: the counter in an era.
type Position struct {
	Era     store.Era
	Counter int64
}

// after reports whether the state p came after the state o.
func (p Position) after(o Position) bool {
	return p.Era > o.Era || p.Era == o.Era && p.Counter > o.Counter
}

// Mirror is a copy of all keys of the store that begin with some prefix. It is
// not safe for concurrent use.
type Mirror struct {
	entries map[string]store.Entry
	at      Position
	// digest is that of all entries.
	digest uint64
	// eraKey is the key under which the store holds the latest era in which all has been
	// written again.
	eraKey string
	// removals are the latest removals, in the order of their counters. They
	// include all removals after the counter removalsAfter.
	removals      []store.Entry
	removalsAfter int64
	// confirmedAt and trustedAt are valid if confirmed is set. pending is a confirmation
	// whose position the mirror has not reached yet.
	confirmedAt time.Duration
	trustedAt   time.Duration
	confirmed   bool
	trusted     bool
	pending     confirmation
	// rewrittenAt is when all that the store lost before this era is written again.
	rewrittenAt time.Duration
}

// confirmation is a read sent at the time sentAt which returned a position, so that
// the store had at most reached that when the read was sent.
type confirmation struct {
	sentAt time.Duration
	at     Position
	set    bool
}

// Delta is what changed in a mirror after a counter value, or all that it holds.
type Delta struct {
	// Full is set if Entries are all entries of the mirror. Otherwise they are
	// changes; those with Version zero are removals.
	Full    bool
	Entries []store.Entry
	At      Position
}

// Option configures a Mirror.
type Option func(*Mirror)

// WithEraKey sets the key under which the store holds the latest era in which all has been
// written again. Without it each mirror waits for that by itself.
func WithEraKey(key string) Option {
	return func(m *Mirror) { m.eraKey = key }
}

// New returns an empty mirror.
func New(options ...Option) *Mirror {
	m := &Mirror{
		entries: map[string]store.Entry{},
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// Position returns the position up to which the mirror has all changes. Its counter is zero
// if the mirror has never been filled.
func (m *Mirror) Position() Position { return m.at }

// Empty reports whether the mirror has never been filled.
func (m *Mirror) Empty() bool { return m.at.Counter == 0 }

// Entry returns the entry under a key.
func (m *Mirror) Entry(key string) (store.Entry, bool) {
	e, ok := m.entries[key]
	return e, ok
}

// ApplyList replaces the mirror's content by the entries that the store held at
// the position, and returns those that changed. It ignores a list that is older
// than the mirror. Otherwise the list is right, also where the mirror has recorded a
// removal.
func (m *Mirror) ApplyList(now time.Duration, entries []store.Entry, at Position) []store.Entry {
	if m.at.after(at) {
		return nil
	}
	if at.Era > m.at.Era && !m.Empty() {
		return m.startEra(now, entries, at)
	}
	if m.Empty() && at.Era > 0 {
		m.rewrittenAt = now + rewriteTime
	}
	m.at.Era = at.Era
	var changed []store.Entry
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		if m.entries[e.Key].Version < e.Version {
			m.set(e)
			changed = append(changed, e)
		}
	}
	for key := range m.entries {
		if !present[key] {
			changed = append(changed, m.remove(key, at.Counter))
		}
	}
	m.removalsAfter = at.Counter
	m.removals = nil
	m.advance(at.Counter)
	return changed
}

// startEra replaces the content by that of a store that was set back, and returns the
// entries that differ from it. Their versions say nothing.
func (m *Mirror) startEra(now time.Duration, entries []store.Entry, at Position) []store.Entry {
	var changed []store.Entry
	old := m.entries
	m.entries, m.digest = make(map[string]store.Entry, len(entries)), 0
	for _, e := range entries {
		m.set(e)
		if o, ok := old[e.Key]; !ok || !bytes.Equal(o.Value, e.Value) {
			changed = append(changed, e)
		}
	}
	for key := range old {
		if _, ok := m.entries[key]; !ok {
			changed = append(changed, store.Entry{
				Key:       key,
				RemovedAt: at.Counter,
			})
		}
	}
	m.at = at
	m.removals, m.removalsAfter = nil, at.Counter
	m.pending = confirmation{}
	m.rewrittenAt = now + rewriteTime
	return changed
}

// ApplyChanges applies the changes of the store up to the position, and returns
// those that changed the mirror. It ignores changes of another era.
func (m *Mirror) ApplyChanges(entries []store.Entry, at Position) []store.Entry {
	if at.Era != m.at.Era {
		return nil
	}
	var changed []store.Entry
	for _, e := range entries {
		if e.Version == 0 {
			if m.applyRemoval(e, at.Counter) {
				changed = append(changed, e)
			}
			continue
		}
		if m.put(e) {
			changed = append(changed, e)
		}
	}
	m.advance(at.Counter)
	return changed
}

// put stores an entry and returns true, unless the mirror has the same or a
// newer version, or a later removal, of the key.
func (m *Mirror) put(e store.Entry) bool {
	if old, ok := m.entries[e.Key]; ok && old.Version >= e.Version {
		return false
	}
	if e.Version <= m.at.Counter && !m.newerThanRemovals(e) {
		return false
	}
	m.set(e)
	return true
}

// set stores an entry in place of an earlier one of its key.
func (m *Mirror) set(e store.Entry) {
	m.unset(e.Key)
	m.entries[e.Key] = e
	m.digest ^= entryDigest(e)
}

// unset deletes a key, if the mirror has it.
func (m *Mirror) unset(key string) {
	if e, ok := m.entries[key]; ok {
		m.digest ^= entryDigest(e)
		delete(m.entries, key)
	}
}

// Digest stands for the keys and versions that the mirror holds. Two mirrors at the same position
// have the same one.
func (m *Mirror) Digest() uint64 { return m.digest }

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
	if ok && old.Version > at || !ok && at <= m.at.Counter {
		return false
	}
	m.remove(e.Key, at)
	return ok
}

// remove deletes a key, if the mirror has it, and records its removal for followers: they may
// have an entry that was written and removed while this mirror received no changes.
func (m *Mirror) remove(key string, counter int64) store.Entry {
	m.unset(key)
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
	m.at.Counter = max(m.at.Counter, counter)
	if m.pending.set && !m.pending.at.after(m.at) {
		m.pending.set = false
		m.confirm(m.pending.sentAt)
	}
}

// ConfirmRead records that a linearizable read which was sent at the time sentAt
// returned the store's position. It takes effect once the mirror has reached that.
// While a confirmation is pending, further ones that the mirror has not reached are
// ignored, so that Stalled measures from the first. An answer of an earlier era confirms
// nothing.
func (m *Mirror) ConfirmRead(sentAt time.Duration, at Position) {
	switch {
	case at.Era < m.at.Era:
	case !at.after(m.at):
		m.confirm(sentAt)
	case !m.pending.set:
		m.pending = confirmation{
			sentAt: sentAt,
			at:     at,
			set:    true,
		}
	}
}

// confirm sets the time of confirmation unless it is set to a later one.
func (m *Mirror) confirm(sentAt time.Duration) {
	if !m.confirmed || sentAt > m.confirmedAt {
		m.confirmedAt = sentAt
		m.confirmed = true
	}
	if sentAt >= m.rewrittenAt || m.eraRecorded() {
		m.trustedAt = max(m.trustedAt, sentAt)
		m.trusted = true
	}
}

// eraRecorded reports whether the store holds the record that all it lost before this era has
// been written again.
func (m *Mirror) eraRecorded() bool {
	e, ok := m.entries[m.eraKey]
	return ok && string(e.Value) == eraText(m.at.Era)
}

// eraText returns the value under the era's key.
func eraText(era store.Era) string { return strconv.FormatInt(int64(era), 10) }

// UnrecordedEra returns the entry to be written once all that the store lost before this era has
// been written again, with the version of the entry that it replaces (zero if there is none). It
// returns false if there is nothing to record.
func (m *Mirror) UnrecordedEra() (record store.Entry, ok bool) {
	if m.eraKey == "" || m.at.Era == 0 || !m.trusted || m.trustedAt < m.rewrittenAt || m.eraRecorded() {
		return store.Entry{}, false
	}
	return store.Entry{
		Key:     m.eraKey,
		Value:   []byte(eraText(m.at.Era)),
		Version: m.entries[m.eraKey].Version,
	}, true
}

// TrustedAt returns the latest time at which the mirror is known to have held all that
// anybody had written to the store, and false if there is none yet. It is ConfirmedAt,
// unless the store was set back: then it doesn't move for rewriteTime, or until the era is
// recorded.
func (m *Mirror) TrustedAt() (time.Duration, bool) {
	return m.trustedAt, m.trusted
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

// IsAfter reports whether the mirror has changes after the position.
func (m *Mirror) IsAfter(at Position) bool { return m.at.after(at) }

// Since returns what changed after the position, or all entries if the mirror no
// longer knows all removals after it, if it is of an earlier era, or if its counter is
// zero. A follower that is ahead of the mirror gets an empty Delta.
func (m *Mirror) Since(at Position) Delta {
	d := Delta{
		At: m.at,
	}
	if at.after(m.at) {
		return d
	}
	d.Full = at.Era < m.at.Era || at.Counter < m.removalsAfter || at.Counter == 0
	for _, e := range m.entries {
		if d.Full || e.Version > at.Counter {
			d.Entries = append(d.Entries, e)
		}
	}
	slices.SortFunc(d.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	if d.Full {
		return d
	}
	// Removals go first: instances of earlier builds take the last of two entries of a key.
	var removals []store.Entry
	for _, r := range m.removals {
		if r.RemovedAt > at.Counter {
			removals = append(removals, r)
		}
	}
	d.Entries = append(removals, d.Entries...)
	return d
}

// Latest returns the newest entry of each key in a list of entries and removals, without those
// that are removed. It changes the list. A key that was removed and written again is in it as
// both, in any order.
func Latest(entries []store.Entry) []store.Entry {
	latest := make(map[string]int64, len(entries))
	for _, e := range entries {
		latest[e.Key] = max(latest[e.Key], e.Version, e.RemovedAt)
	}
	list := entries[:0]
	for _, e := range entries {
		if e.Version > 0 && e.Version == latest[e.Key] {
			list = append(list, e)
			latest[e.Key]++ // leaves out further copies of the entry
		}
	}
	return list
}

// ApplyDelta applies a delta of another mirror, and returns the entries that
// changed this one.
func (m *Mirror) ApplyDelta(now time.Duration, d Delta) []store.Entry {
	if d.Full {
		return m.ApplyList(now, d.Entries, d.At)
	}
	return m.ApplyChanges(d.Entries, d.At)
}
