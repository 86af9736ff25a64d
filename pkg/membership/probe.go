package membership

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

const (
	// indirectProbeCount is the number of members that are asked to probe one
	// that doesn't answer.
	indirectProbeCount = 3
	// maxProbes limits the probes in flight, and maxRelays those on behalf of
	// others.
	maxProbes = 64
	maxRelays = 64
	// joinFanout is the number of addresses that an instance without any live
	// member tries at each interval.
	joinFanout = 3
)

// stage is the stage of a probe.
type stage int

const (
	// direct probes wait for the target's answer.
	direct stage = iota
	// indirect probes wait for an answer to this instance or to one of the
	// members asked for help.
	indirect
	// joinAttempt probes go to addresses that aren't live members. A timeout
	// has no consequence.
	joinAttempt
)

// probe is a probe in flight.
type probe struct {
	number   uint64
	target   instance.ID
	stage    stage
	deadline time.Duration
	// nacks counts the helping members that couldn't reach the target either.
	nacks int
}

// relay is a probe on behalf of another instance.
type relay struct {
	number uint64
	target instance.Address
	// requester asked for the probe, in the ProbeRequest with the number
	// requestNumber.
	requester     instance.Address
	requestNumber uint64
	deadline      time.Duration
}

// probeNeighbour probes the successor in the ring. As far as all instances
// agree on the members, they agree on the ring, so that each member is probed
// once an interval.
func (s *State) probeNeighbour(now time.Duration) {
	m := s.table.successor(instance.Score(ringKey, s.self.Address))
	if m != nil {
		s.probe(now, m, nil)
	}
}

// probeNextInOrder probes the next live member in a shuffled order. This
// detects failures that the predecessor in the ring doesn't see, and carries
// records across the fleet.
func (s *State) probeNextInOrder(now time.Duration) {
	for range 2 * len(s.table.live) {
		if len(s.probeOrder) == 0 {
			s.shuffleOrder()
		}
		address := s.probeOrder[len(s.probeOrder)-1]
		s.probeOrder = s.probeOrder[:len(s.probeOrder)-1]
		m := s.table.members[address]
		if m != nil && m.live() && m.Status == Alive {
			s.probe(now, m, nil)
			return
		}
	}
}

// shuffleOrder fills probeOrder with all live members in random order.
func (s *State) shuffleOrder() {
	for _, m := range s.table.live {
		s.probeOrder = append(s.probeOrder, m.Address)
	}
	s.random.Shuffle(len(s.probeOrder), func(i, j int) {
		s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i]
	})
}

// probeRecheck probes a random member of those that another's table shows as
// suspects. The probe carries the suspicion, so that the member can refute it.
func (s *State) probeRecheck(now time.Duration) {
	for len(s.recheck) > 0 {
		i := s.random.IntN(len(s.recheck))
		m := s.table.members[s.recheck[i]]
		s.recheck = slices.Delete(s.recheck, i, i+1)
		if m != nil && m.live() && m.Status == Alive {
			s.probe(now, m, []Record{suspectRecord(m)})
			return
		}
	}
}

// probe probes a member, unless a probe of it is in flight or there are too
// many probes. The extra records are sent in addition to queued ones.
func (s *State) probe(now time.Duration, m *member, extra []Record) {
	inFlight := slices.ContainsFunc(s.probes, func(p *probe) bool {
		return p.target == m.ID && p.stage != joinAttempt
	})
	if inFlight || len(s.probes) >= maxProbes {
		return
	}
	s.startProbe(&probe{
		target:   m.ID,
		stage:    direct,
		deadline: now + m.penalty.extend(now, s.settings.ackTimeout),
	}, extra)
}

// startProbe assigns a number to a probe and sends it.
func (s *State) startProbe(p *probe, extra []Record) {
	s.lastNumber++
	p.number = s.lastNumber
	s.probes = append(s.probes, p)
	h := s.header(recordsPerProbe)
	h.Records = append(h.Records, extra...)
	s.send(p.target.Address, Probe{
		Header: h,
		Number: p.number,
	})
}

// connectionFailed probes a member whose connection failed.
func (s *State) connectionFailed(now time.Duration, address instance.Address) {
	m := s.table.members[address]
	if m != nil && m.live() {
		s.probe(now, m, nil)
	}
}

// expireProbes handles the probes whose deadline has passed: a direct probe
// becomes an indirect one, and the target of an indirect one is suspected.
func (s *State) expireProbes(now time.Duration) {
	for _, p := range slices.Clone(s.probes) {
		if now < p.deadline {
			continue
		}
		m := s.table.members[p.target.Address]
		known := m != nil && m.live() && m.ID == p.target
		switch {
		case p.stage == direct && known:
			s.requestIndirectProbes(now, p, m)
			continue
		case p.stage != joinAttempt && known:
			if p.nacks == 0 {
				s.raiseIsolation()
			}
			s.suspect(now, m)
		}
		s.removeProbe(p)
	}
}

// requestIndirectProbes asks other members to probe the target, because the
// network between this instance and the target may be cut, in one direction or
// both, while the target can reach the rest of the fleet. It also probes the
// target again itself, in case a message was lost.
func (s *State) requestIndirectProbes(now time.Duration, p *probe, m *member) {
	s.send(m.Address, Probe{
		Header: s.header(recordsPerProbe),
		Number: p.number,
	})
	for _, helper := range s.pickRandom(indirectProbeCount, m.Address) {
		s.send(helper.Address, ProbeRequest{
			Header: s.header(recordsPerProbe),
			Number: p.number,
			Target: m.Address,
		})
	}
	p.stage = indirect
	p.deadline = now + 2*m.penalty.extend(now, s.settings.ackTimeout)
}

// removeProbe ends a probe.
func (s *State) removeProbe(p *probe) {
	s.probes = slices.DeleteFunc(s.probes, func(q *probe) bool { return q == p })
}

// relayProbe probes a target on behalf of another instance.
func (s *State) relayProbe(now time.Duration, from instance.Address, m ProbeRequest) {
	if len(s.relays) >= maxRelays || m.Target == s.self.Address {
		return
	}
	s.lastNumber++
	s.relays = append(s.relays, &relay{
		number:        s.lastNumber,
		target:        m.Target,
		requester:     from,
		requestNumber: m.Number,
		deadline:      now + s.settings.ackTimeout,
	})
	s.send(m.Target, Probe{
		Header: s.header(recordsPerProbe),
		Number: s.lastNumber,
	})
}

// expireRelays sends a Nack to the requester of each relay whose target didn't
// answer in time.
func (s *State) expireRelays(now time.Duration) {
	s.relays = slices.DeleteFunc(s.relays, func(r *relay) bool {
		if now < r.deadline {
			return false
		}
		s.send(r.requester, Nack{
			Header: s.header(recordsPerProbe),
			Number: r.requestNumber,
		})
		return true
	})
}

// handleAck ends the probe or relay that the Ack answers. The Ack of a relay is
// passed on to the requester.
func (s *State) handleAck(from instance.Address, m Ack) {
	for _, p := range s.probes {
		if p.number == m.Number && p.target.Address == m.Subject.Address {
			s.lowerIsolation()
			s.removeProbe(p)
			return
		}
	}
	for i, r := range s.relays {
		if r.number == m.Number && r.target == from {
			s.send(r.requester, Ack{
				Header:  s.header(recordsPerProbe),
				Number:  r.requestNumber,
				Subject: m.Subject,
			})
			s.relays = slices.Delete(s.relays, i, i+1)
			return
		}
	}
}

// handleNack counts a Nack for the probe that it answers.
func (s *State) handleNack(m Nack) {
	for _, p := range s.probes {
		if p.number == m.Number {
			p.nacks++
		}
	}
}

// rejoin tries random addresses that aren't live members: addresses on the
// instance list, and members declared dead, because a network cut may have
// ended. An instance without live members tries several addresses at each probe
// interval.
func (s *State) rejoin(now time.Duration) {
	count, wait := 1, s.settings.rejoinInterval
	if len(s.table.live) == 0 {
		count, wait = joinFanout, s.settings.probeInterval
	}
	s.nextRejoin = now + wait/2 + time.Duration(s.random.Int64N(int64(wait)))
	candidates := s.rejoinCandidates()
	for range min(count, len(candidates)) {
		i := s.random.IntN(len(candidates))
		s.tryJoin(now, candidates[i])
		candidates = slices.Delete(candidates, i, i+1)
	}
}

// rejoinCandidates returns the addresses that rejoin may try.
func (s *State) rejoinCandidates() []instance.Address {
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

// tryJoin probes an address that isn't a live member. If the member was
// declared dead, the probe carries a suspicion, so that the member can refute
// it.
func (s *State) tryJoin(now time.Duration, address instance.Address) {
	if len(s.probes) >= maxProbes {
		return
	}
	var extra []Record
	if m := s.table.members[address]; m != nil && m.dead {
		extra = []Record{suspectRecord(m)}
	}
	s.startProbe(&probe{
		target: instance.ID{
			Address: address,
		},
		stage:    joinAttempt,
		deadline: now + s.settings.ackTimeout,
	}, extra)
}
