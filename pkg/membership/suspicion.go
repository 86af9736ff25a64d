package membership

import (
	"slices"
	"time"
)

// maximumHealth bounds State.health.
const maximumHealth = 7

// suspect begins a suspicion of this instance's own.
func (s *State) suspect(now time.Duration, m *member) {
	if !m.live() || m.Status == Suspect {
		return
	}
	r := m.Record
	r.Status = Suspect
	s.table.put(now, r, false)
	s.gossip.add(r.Address)
	s.accuse(now, m, Suspected)
	s.tell(now, m)
}

// accuse sets the time that a suspect has. Each instance counts it by itself
// and nobody passes a death on, so that an accusation always leaves the time
// to refute it.
func (s *State) accuse(now time.Duration, m *member, v DecisionKind) {
	wait := m.strain.stretch(now, s.settings.suspicion)
	if v == Suspected {
		wait += time.Duration(s.health) * s.settings.suspicion
	}
	m.deadline = now + wait
	s.decide(v, m.ID, wait)
}

// tell lets a run know that it is suspected or held dead, but not on each of
// its messages.
func (s *State) tell(now time.Duration, m *member) {
	if m.toldAt != 0 && now-m.toldAt < s.settings.timeout {
		return
	}
	m.toldAt = now
	h := s.header(0)
	h.Records = []Record{accusation(m)}
	s.send(m.Address, Gossip{
		Header: h,
	})
}

// refute answers an accuser at once, besides the news to others.
func (s *State) refute(accuser *member) {
	s.send(accuser.Address, Gossip{
		Header: s.header(0),
	})
}

func accusation(m *member) Record {
	r := m.Record
	r.Status = Suspect
	return r
}

// expireSuspects gives the verdict on suspects whose time is over.
func (s *State) expireSuspects(now time.Duration) {
	for _, m := range slices.Clone(s.table.suspects) {
		if now < m.deadline {
			continue
		}
		s.table.put(now, m.Record, true)
		s.changed = true
		s.decide(Died, m.ID, 0)
	}
}

// healthier and sicker keep count of whether this instance reaches anybody.
// One that doesn't is likely cut off itself and waits longer before it calls
// others dead.
func (s *State) healthier() {
	s.health = max(s.health-1, 0)
}

func (s *State) sicker() {
	s.health = min(s.health+1, maximumHealth)
}

// forgetGone drops what was long gone.
func (s *State) forgetGone(now time.Duration) {
	for _, m := range slices.Clone(s.table.gone) {
		if now-m.goneSince >= s.settings.remembrance {
			s.table.forget(m)
		}
	}
}
