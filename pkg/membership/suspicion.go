package membership

import (
	"slices"
	"time"
)

// maxIsolation is the maximum of State.isolation.
const maxIsolation = 7

// suspect marks a member as suspected after this instance couldn't reach it,
// and gossips the suspicion.
func (s *State) suspect(now time.Duration, m *member) {
	if !m.live() || m.Status == Suspect {
		return
	}
	r := m.Record
	r.Status = Suspect
	s.table.put(now, r, false)
	s.broadcasts.enqueue(r.Address)
	s.startSuspicion(now, m, Suspected)
	s.notifySuspect(now, m)
}

// startSuspicion sets the deadline by which a suspect must refute the
// suspicion. Each instance measures the time itself and deaths aren't gossiped,
// so that a suspicion always leaves its subject the time to refute it.
func (s *State) startSuspicion(now time.Duration, m *member, kind DecisionKind) {
	wait := m.penalty.extend(now, s.settings.suspicionTimeout)
	if kind == Suspected {
		wait += time.Duration(s.isolation) * s.settings.suspicionTimeout
	}
	m.deadline = now + wait
	s.emitDecision(kind, m.ID, wait)
}

// notifySuspect informs a run that it is suspected or was declared dead, at
// most once per ack timeout.
func (s *State) notifySuspect(now time.Duration, m *member) {
	if m.notifiedAt != 0 && now-m.notifiedAt < s.settings.ackTimeout {
		return
	}
	m.notifiedAt = now
	h := s.header(0)
	h.Records = []Record{suspectRecord(m)}
	s.send(m.Address, Gossip{
		Header: h,
	})
}

// refute sends this instance's new record at once to the member that suspected
// it, in addition to gossip.
func (s *State) refute(to *member) {
	s.send(to.Address, Gossip{
		Header: s.header(0),
	})
}

// suspectRecord returns the record of a member with the status Suspect.
func suspectRecord(m *member) Record {
	r := m.Record
	r.Status = Suspect
	return r
}

// expireSuspects declares the suspects dead whose deadline has passed.
func (s *State) expireSuspects(now time.Duration) {
	for _, m := range slices.Clone(s.table.suspects) {
		if now < m.deadline {
			continue
		}
		s.table.put(now, m.Record, true)
		s.membersChanged = true
		s.emitDecision(Died, m.ID, 0)
	}
}

// lowerIsolation records that a member answered a probe.
func (s *State) lowerIsolation() {
	s.isolation = max(s.isolation-1, 0)
}

// raiseIsolation records an indirect probe that neither the target nor a helper
// answered. An instance that gets no answers is probably cut off itself, and
// waits longer before it declares others dead.
func (s *State) raiseIsolation() {
	s.isolation = min(s.isolation+1, maxIsolation)
}

// forgetGone removes members that died or left longer ago than the retention
// time.
func (s *State) forgetGone(now time.Duration) {
	for _, m := range slices.Clone(s.table.gone) {
		if now-m.goneSince >= s.settings.goneRetention {
			s.table.forget(m)
		}
	}
}
