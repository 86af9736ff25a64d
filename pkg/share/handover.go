package share

import (
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

const (
	// moveGap is the time between two moves of surplus shares.
	moveGap = time.Second
	// moveCalm is how long an instance that took a share moves none, so that
	// all know the new loads first.
	moveCalm = 4 * time.Second
	// handoverPause is the wait for further shares before the vouches for them
	// are asked for.
	handoverPause = 10 * time.Millisecond
)

// accepts reports whether this instance wants shares that are handed over.
func (s *State) accepts() bool {
	return !s.leaving && s.mature()
}

// mature reports whether this instance may hold a share that was handed over.
// It must have run for long enough to be on everyone's instance list when it
// asked, so that nobody proves a share free without its promise.
func (s *State) mature() bool {
	return !s.keeper.mismatch && s.now >= s.started+s.listLag+s.term
}

// takeHandover takes over a share.
func (s *State) takeHandover(from instance.ID, m Handover) {
	n := m.Right.Share
	if m.Receiver != s.self.Incarnation || !s.valid(n) || !s.accepts() || s.held.byShare[n] != nil {
		return
	}
	x := s.lenders.byAddress[from.Address]
	if x == nil {
		return
	}
	sent, ok := x.asks.SentAt(m.RequestNumber)
	if !ok || !s.borrow(sent, s.term).Live(s.now) {
		return
	}
	hop := handed{
		sequence: m.Right.Sequence,
		hop:      m.Hop,
	}
	if m.Right.Sequence <= s.voter.floors[n] || !s.voter.hops[n].before(hop) {
		return
	}
	s.voter.hops[n] = hop
	for _, f := range m.Fences {
		if s.valid(f.Share) {
			s.voter.raise(f.Share, f.Sequence)
		}
	}
	s.hold(&holding{
		right:    m.Right,
		hop:      m.Hop,
		record:   m.RecordVersion,
		recorded: m.Right.Sequence,
		free:     s.now + max(m.InUseFor, 0),
	})
	s.decide(TakenOver, m.Right, from.Address)
	// Ask for vouches soon, and once for all that come together.
	s.heartbit = min(s.heartbit, s.now+handoverPause)
}

// before reports whether a handover came before another of the same share.
func (h handed) before(other handed) bool {
	if h.sequence != other.sequence {
		return h.sequence < other.sequence
	}
	return h.hop < other.hop
}

// handOver renounces a share, and then sends it to a peer that asked lately.
func (s *State) handOver(h *holding, b *borrower) {
	n := h.right.Share
	busy := max(s.lending.busy(s.now), h.free-s.now)
	s.held.byShare[n] = nil
	s.claim.named[n] = true
	s.voter.hops[n] = handed{
		sequence: h.right.Sequence,
		hop:      h.hop + 1,
	}
	s.send(b.info.Address, Handover{
		Receiver:      b.info.Incarnation,
		RequestNumber: b.number,
		Right:         h.right,
		Hop:           h.hop + 1,
		RecordVersion: h.record,
		InUseFor:      busy,
		Fences:        s.voter.floorRights(),
	})
	s.decide(HandedOver, h.right, b.info.Address)
	s.sighted(n, b.info.Address)
}

// leave begins a graceful stop.
func (s *State) leave() {
	if s.leaving {
		return
	}
	s.leaving = true
	s.leftAt = s.now
	for _, x := range s.lenders.ordered {
		s.lenders.end(s, x, nil)
		s.send(x.id.Address, Return{
			Number: x.asks.Last(),
			Lender: x.id.Incarnation,
		})
	}
	s.passAll()
}

// passAll hands over all shares that can be, to those with the fewest.
func (s *State) passAll() {
	loads := s.loads()
	for _, h := range s.held.byShare {
		if h == nil || !h.usable(s, s.now) {
			continue
		}
		b := s.recipient(loads)
		if b == nil {
			return
		}
		loads.add(b.info.Address, b.info.Zone)
		s.handOver(h, b)
	}
	if s.held.count() == 0 && s.keeper.lease != 0 {
		s.call(pendingCall{}, store.RevokeLease{
			Lease: s.keeper.lease,
		})
		s.keeper.lease = 0
	}
}

// moveSurplus hands over one share at a time while a peer has fewer by two or
// more. Nothing moves while shares are missing, since those fill the gaps.
func (s *State) moveSurplus() {
	if s.leaving {
		s.passAll()
		return
	}
	if s.now < s.moveAt || s.held.count() < 2 {
		return
	}
	if len(s.allMissing()) > 0 || s.otherVotes() <= s.total/2 {
		return
	}
	loads := s.loads()
	b := s.recipient(loads)
	if b == nil || loads.of(b.info.Address)+2 > s.held.count() {
		return
	}
	s.moveAt = s.now + moveGap + s.spread(moveGap)
	for _, h := range s.held.byShare {
		if h != nil && h.usable(s, s.now) && h.free <= s.now && h.right.Voting {
			s.handOver(h, b)
			return
		}
	}
}

// otherVotes counts the shares whose votes count, as far as is known. Without
// enough of them the peer's share wouldn't be vouched for.
func (s *State) otherVotes() int {
	n := len(s.ownVotes())
	for _, x := range s.lenders.ordered {
		if !x.contact.Live(s.now) || x.id.Address == s.self.Address {
			continue
		}
		for _, r := range x.rights {
			if r.Voting {
				n++
			}
		}
	}
	return n
}

// recipient returns the instance that should get the next share: it accepts,
// asked lately, and has the fewest shares, in the zone that has the fewest.
func (s *State) recipient(loads loads) *borrower {
	var first *borrower
	for _, b := range s.lending.ordered {
		recent := b.number > 0 && s.now < b.asked+s.recency()
		if !recent || !b.accepts || b.info.Address == s.self.Address || s.leavingMember(b.info.Address) {
			continue
		}
		if s.region && b.info.Region != s.self.Region {
			continue
		}
		if first == nil || loads.less(s, b.info, first.info) {
			first = b
		}
	}
	return first
}

// recency is how new an ask must be for its sender to get a handover.
func (s *State) recency() time.Duration {
	return min(s.lendTerm(), s.term/4)
}

func (s *State) leavingMember(a instance.Address) bool {
	return s.memberInfo(a).Leaving
}
