package membership

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

const (
	// helpers is how many members are asked to probe one that doesn't answer.
	helpers = 3
	// maximumProbes bounds the probes under way, maximumRelays those for others.
	maximumProbes = 64
	maximumRelays = 64
	// joinFanout is how many listed addresses are tried at a time by an
	// instance that knows nobody.
	joinFanout = 3
)

// stage is how far a probe has come.
type stage int

const (
	// direct probes wait for the target's answer.
	direct stage = iota
	// indirect probes wait for helpers as well.
	indirect
	// trial probes go to addresses that aren't members; their end says nothing.
	trial
)

// probe is a probe under way.
type probe struct {
	number   uint64
	target   instance.ID
	stage    stage
	deadline time.Duration
	// nacks counts helpers that couldn't reach the target either.
	nacks int
}

// relay is a probe on behalf of another instance.
type relay struct {
	number uint64
	target instance.Address
	// origin asked for it, with the number answers.
	origin   instance.Address
	answers  uint64
	deadline time.Duration
}

// probeNeighbour probes the next in the ring. All instances agree on the ring
// as far as they agree on the members, so each is probed once an interval.
func (s *State) probeNeighbour(now time.Duration) {
	m := s.table.successor(instance.Score(ringKey, s.self.Address))
	if m != nil {
		s.probe(now, m, nil)
	}
}

// probeInTurn probes one member after the other in random order. It finds what
// the neighbour in the ring can't see, and carries news across the fleet.
func (s *State) probeInTurn(now time.Duration) {
	for range 2 * len(s.table.live) {
		if len(s.order) == 0 {
			s.shuffle()
		}
		address := s.order[len(s.order)-1]
		s.order = s.order[:len(s.order)-1]
		m := s.table.members[address]
		if m != nil && m.live() && m.Status == Alive {
			s.probe(now, m, nil)
			return
		}
	}
}

func (s *State) shuffle() {
	for _, m := range s.table.live {
		s.order = append(s.order, m.Address)
	}
	s.random.Shuffle(len(s.order), func(i, j int) {
		s.order[i], s.order[j] = s.order[j], s.order[i]
	})
}

// probeDoubted probes one of the members that another's table accuses, and
// tells it, so that it can refute.
func (s *State) probeDoubted(now time.Duration) {
	for len(s.doubted) > 0 {
		i := s.random.IntN(len(s.doubted))
		m := s.table.members[s.doubted[i]]
		s.doubted = slices.Delete(s.doubted, i, i+1)
		if m != nil && m.live() && m.Status == Alive {
			s.probe(now, m, []Record{accusation(m)})
			return
		}
	}
}

// probe begins a probe of a member, unless one is under way.
func (s *State) probe(now time.Duration, m *member, extra []Record) {
	under := slices.ContainsFunc(s.probes, func(p *probe) bool {
		return p.target == m.ID && p.stage != trial
	})
	if under || len(s.probes) >= maximumProbes {
		return
	}
	s.begin(&probe{
		target:   m.ID,
		stage:    direct,
		deadline: now + m.strain.stretch(now, s.settings.timeout),
	}, extra)
}

// begin numbers a probe and sends it.
func (s *State) begin(p *probe, extra []Record) {
	s.number++
	p.number = s.number
	s.probes = append(s.probes, p)
	h := s.header(recordsPerProbe)
	h.Records = append(h.Records, extra...)
	s.send(p.target.Address, Probe{
		Header: h,
		Number: p.number,
	})
}

// broken probes a member whose connection failed.
func (s *State) broken(now time.Duration, address instance.Address) {
	m := s.table.members[address]
	if m != nil && m.live() {
		s.probe(now, m, nil)
	}
}

// expireProbes goes on with probes that weren't answered in time.
func (s *State) expireProbes(now time.Duration) {
	for _, p := range slices.Clone(s.probes) {
		if now < p.deadline {
			continue
		}
		m := s.table.members[p.target.Address]
		known := m != nil && m.live() && m.ID == p.target
		switch {
		case p.stage == direct && known:
			s.askHelpers(now, p, m)
			continue
		case p.stage != trial && known:
			if p.nacks == 0 {
				s.sicker()
			}
			s.suspect(now, m)
		}
		s.drop(p)
	}
}

// askHelpers has others probe the target, since the way from here to it, or
// back, may be cut while it serves the rest of the fleet. The target is also
// probed once more from here, in case only a message was lost.
func (s *State) askHelpers(now time.Duration, p *probe, m *member) {
	s.send(m.Address, Probe{
		Header: s.header(recordsPerProbe),
		Number: p.number,
	})
	for _, h := range s.pick(helpers, m.Address) {
		s.send(h.Address, ProbeRequest{
			Header: s.header(recordsPerProbe),
			Number: p.number,
			Target: m.Address,
		})
	}
	p.stage = indirect
	p.deadline = now + 2*m.strain.stretch(now, s.settings.timeout)
}

func (s *State) drop(p *probe) {
	s.probes = slices.DeleteFunc(s.probes, func(q *probe) bool { return q == p })
}

// probeFor probes a target on another's behalf.
func (s *State) probeFor(now time.Duration, from instance.Address, m ProbeRequest) {
	if len(s.relays) >= maximumRelays || m.Target == s.self.Address {
		return
	}
	s.number++
	s.relays = append(s.relays, &relay{
		number:   s.number,
		target:   m.Target,
		origin:   from,
		answers:  m.Number,
		deadline: now + s.settings.timeout,
	})
	s.send(m.Target, Probe{
		Header: s.header(recordsPerProbe),
		Number: s.number,
	})
}

// expireRelays tells those who asked that the target didn't answer.
func (s *State) expireRelays(now time.Duration) {
	s.relays = slices.DeleteFunc(s.relays, func(r *relay) bool {
		if now < r.deadline {
			return false
		}
		s.send(r.origin, Nack{
			Header: s.header(recordsPerProbe),
			Number: r.answers,
		})
		return true
	})
}

// acknowledged ends the probe or relay that an Ack answers.
func (s *State) acknowledged(from instance.Address, m Ack) {
	for _, p := range s.probes {
		if p.number == m.Number && p.target.Address == m.Subject.Address {
			s.healthier()
			s.drop(p)
			return
		}
	}
	for i, r := range s.relays {
		if r.number == m.Number && r.target == from {
			s.send(r.origin, Ack{
				Header:  s.header(recordsPerProbe),
				Number:  r.answers,
				Subject: m.Subject,
			})
			s.relays = slices.Delete(s.relays, i, i+1)
			return
		}
	}
}

func (s *State) refused(m Nack) {
	for _, p := range s.probes {
		if p.number == m.Number {
			p.nacks++
		}
	}
}

// rejoin tries addresses that aren't members: those on the instance list, and
// members that died, since a cut may have ended. An instance that knows nobody
// tries several at each interval.
func (s *State) rejoin(now time.Duration) {
	count, wait := 1, s.settings.rejoin
	if len(s.table.live) == 0 {
		count, wait = joinFanout, s.settings.interval
	}
	s.nextRejoin = now + wait/2 + time.Duration(s.random.Int64N(int64(wait)))
	candidates := s.candidates()
	for range min(count, len(candidates)) {
		i := s.random.IntN(len(candidates))
		s.try(now, candidates[i])
		candidates = slices.Delete(candidates, i, i+1)
	}
}

func (s *State) candidates() []instance.Address {
	var list []instance.Address
	for _, a := range s.listed {
		m := s.table.members[a]
		if a != s.self.Address && (m == nil || !m.live()) {
			list = append(list, a)
		}
	}
	for _, m := range s.table.gone {
		if m.dead && !slices.Contains(s.listed, m.Address) {
			list = append(list, m.Address)
		}
	}
	return list
}

func (s *State) try(now time.Duration, address instance.Address) {
	if len(s.probes) >= maximumProbes {
		return
	}
	var extra []Record
	if m := s.table.members[address]; m != nil && m.dead {
		extra = []Record{accusation(m)}
	}
	s.begin(&probe{
		target: instance.ID{
			Address: address,
		},
		stage:    trial,
		deadline: now + s.settings.timeout,
	}, extra)
}
