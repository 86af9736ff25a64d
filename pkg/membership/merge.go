package membership

import (
	"slices"
	"time"
)

// source is how a record came.
type source int

const (
	// told is a record passed on as news, or a sender's own.
	told source = iota
	// compared is a record out of another's table, perhaps old.
	compared
)

// merge takes in one record.
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
		// A run that died here refuted that and is suspected anew: it is for
		// the run to refute this as well.
		s.table.put(now, r, true)
		return
	}
	if r.Status == Suspect && from == compared {
		s.doubt(r)
		return
	}
	s.mergeKnown(now, m, r, from)
}

// mergeSelf answers what is said of this run.
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
	s.raise(r.Version + 1)
	s.gossip.add(s.self.Address)
}

func (s *State) supersede(r Record) {
	if s.superseded {
		return
	}
	s.superseded = true
	s.effects = append(s.effects, Superseded{
		By: r.ID,
	})
}

func (s *State) mergeUnknown(now time.Duration, r Record, from source) {
	switch r.Status {
	case Alive:
		s.table.put(now, r, false)
		s.passOn(r, from)
		s.changed = true
		s.decide(Joined, r.ID, 0)
	case Left:
		// It is remembered, so that late news can't bring it back.
		s.table.put(now, r, false)
	case Suspect:
		// It isn't known whether the accuser still thinks so.
	}
}

// mergeKnown replaces what is held of a known address.
func (s *State) mergeKnown(now time.Duration, m *member, r Record, from source) {
	before, wasLive := m.Record, m.live()
	s.table.put(now, r, false)
	s.passOn(r, from)
	switch {
	case r.Incarnation > before.Incarnation:
		m.strain = strain{}
		s.decide(Replaced, before.ID, 0)
	case r.Version > before.Version && r.Leaving == before.Leaving:
		m.strain.add(now)
	}
	switch r.Status {
	case Alive:
		s.welcome(m, before, wasLive)
	case Suspect:
		s.accuse(now, m, SuspectedByPeer)
	case Left:
		s.decide(Departed, r.ID, 0)
	}
	if m.live() != wasLive || m.Info != before.Info {
		s.changed = true
	}
}

// passOn queues news. What comes out of another's table has mostly been passed
// on already; who lacks it will compare as well.
func (s *State) passOn(r Record, from source) {
	if from == told {
		s.gossip.add(r.Address)
	}
}

// welcome notes that a run is alive that was not known to be so.
func (s *State) welcome(m *member, before Record, wasLive bool) {
	switch {
	case m.Incarnation != before.Incarnation:
		s.decide(Joined, m.ID, 0)
	case before.Status == Suspect:
		s.decide(Refuted, m.ID, 0)
	case !wasLive:
		s.decide(Joined, m.ID, 0)
	}
}

// doubt has a member probed whom another's table accuses. The accusation may
// be old, and of many at once when two parts of the fleet find each other
// again, so it isn't believed as news is.
func (s *State) doubt(r Record) {
	if !slices.Contains(s.doubted, r.Address) {
		s.doubted = append(s.doubted, r.Address)
	}
}
