package membership

import (
	"slices"
	"time"
)

// source is the way in which a record was received.
type source int

const (
	// fromGossip records are gossiped, or are a sender's record of itself.
	fromGossip source = iota
	// fromSync records come from another instance's table and may be old.
	fromSync
)

// merge updates the table with one received record.
func (s *State) merge(now time.Duration, r Record, from source) {
	if r.Address == s.self.Address {
		s.mergeSelf(r)
		return
	}
	m := s.table.members[r.Address]
	if m == nil {
		s.mergeUnknown(now, r, from)
		return
	}
	if !r.supersedes(m.Record) {
		return
	}
	if r.Status == Suspect && r.Incarnation == m.Incarnation && !m.live() && r.Version > m.Version {
		// The run was declared dead here, has refuted that, and is suspected
		// again. It stays dead here until it refutes the new suspicion too.
		s.table.put(now, r, true)
		return
	}
	if r.Status == Suspect && from == fromSync {
		s.scheduleRecheck(r)
		return
	}
	s.mergeKnown(now, m, r, from)
}

// mergeSelf handles a record of this instance that another one holds. It
// refutes a suspicion of this run by raising the version.
func (s *State) mergeSelf(r Record) {
	if r.Incarnation > s.self.Incarnation {
		s.supersede(r)
		return
	}
	if r.Incarnation < s.self.Incarnation || r.Version < s.self.Version {
		return
	}
	if r.Version == s.self.Version && r.Status == Alive {
		return
	}
	s.setVersion(r.Version + 1)
	s.broadcasts.enqueue(s.self.Address)
}

// supersede emits Superseded once.
func (s *State) supersede(r Record) {
	if s.superseded {
		return
	}
	s.superseded = true
	s.effects = append(s.effects, Superseded{
		By: r.ID,
	})
}

// mergeUnknown handles the record of an address that isn't in the table.
func (s *State) mergeUnknown(now time.Duration, r Record, from source) {
	switch r.Status {
	case Alive:
		s.table.put(now, r, false)
		s.propagate(r, from)
		s.membersChanged = true
		s.emitDecision(Joined, r.ID, 0)
	case Left:
		// The record is kept, so that a delayed message can't add the run again.
		s.table.put(now, r, false)
	case Suspect:
		// The suspicion may be out of date, so the record is ignored.
	}
}

// mergeKnown replaces the record of an address that is in the table.
func (s *State) mergeKnown(now time.Duration, m *member, r Record, from source) {
	before, wasLive := m.Record, m.live()
	s.table.put(now, r, false)
	s.propagate(r, from)
	switch {
	case r.Incarnation > before.Incarnation:
		m.penalty = flapPenalty{}
		s.emitDecision(Replaced, before.ID, 0)
	case r.Version > before.Version && r.Leaving == before.Leaving:
		// Except to announce that it leaves or stops, a run raises its version
		// only to refute a suspicion.
		m.penalty.increase(now)
	}
	switch r.Status {
	case Alive:
		s.reportAlive(m, before, wasLive)
	case Suspect:
		s.startSuspicion(now, m, SuspectedByPeer)
	case Left:
		s.emitDecision(Departed, r.ID, 0)
	}
	if m.live() != wasLive || m.Info != before.Info {
		s.membersChanged = true
	}
}

// propagate queues a gossiped record. Records from another's table have mostly
// been gossiped already; an instance that lacks one gets it by comparing
// tables.
func (s *State) propagate(r Record, from source) {
	if from == fromGossip {
		s.broadcasts.enqueue(r.Address)
	}
}

// reportAlive emits the decision that a run is alive, if it is new, was
// suspected or was not live.
func (s *State) reportAlive(m *member, before Record, wasLive bool) {
	switch {
	case m.Incarnation != before.Incarnation:
		s.emitDecision(Joined, m.ID, 0)
	case before.Status == Suspect:
		s.emitDecision(Refuted, m.ID, 0)
	case !wasLive:
		s.emitDecision(Joined, m.ID, 0)
	}
}

// scheduleRecheck queues a probe of a member that another's table shows as a
// suspect. The suspicion may be old, and there may be many at once when two
// partitions meet again, so it is verified instead of being merged like gossip.
func (s *State) scheduleRecheck(r Record) {
	if !slices.Contains(s.recheck, r.Address) {
		s.recheck = append(s.recheck, r.Address)
	}
}
