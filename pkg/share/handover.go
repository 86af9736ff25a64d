package share

import (
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

const (
	// moveInterval is the shortest time between two moves of surplus shares.
	moveInterval = time.Second
	// moveDelay is how long an instance that took a share moves none, so that
	// all instances know the new numbers of shares first.
	moveDelay = 4 * time.Second
	// handoverBatchDelay is how long a receiver waits for further shares before
	// it requests confirmations for all of them.
	handoverBatchDelay = 10 * time.Millisecond
)

// acceptsHandover reports whether this instance takes shares that are handed
// over.
func (s *State) acceptsHandover() bool {
	return !s.leaving && s.mayReceive()
}

// mayReceive reports whether this instance may hold a share that was handed
// over. It must have run for long enough to be on every instance's list when it
// sent its request, so that nobody can reclaim the share without its fence.
func (s *State) mayReceive() bool {
	return !s.session.totalMismatch && s.now >= s.startedAt+s.listLag+s.term
}

// handleHandover takes over a share, unless the handover is late, repeated or
// meant for another run.
func (s *State) handleHandover(from instance.ID, m Handover) {
	n := m.Right.Share
	if m.Receiver != s.self.Incarnation || !s.validShare(n) || !s.acceptsHandover() || s.held.byShare[n] != nil {
		return
	}
	x := s.lenders.byAddress[from.Address]
	if x == nil {
		return
	}
	sent, ok := x.requests.SentAt(m.RequestNumber)
	if !ok || !s.borrow(sent, s.term).Live(s.now) {
		return
	}
	position := handoverPosition{
		sequence: m.Right.Sequence,
		hop:      m.Hop,
	}
	if m.Right.Sequence <= s.voter.fences[n] || !s.voter.lastHandovers[n].before(position) {
		return
	}
	s.voter.lastHandovers[n] = position
	for _, f := range m.Fences {
		if s.validShare(f.Share) {
			s.voter.raiseFence(f.Share, f.Sequence)
		}
	}
	s.hold(&holding{
		right:          m.Right,
		hop:            m.Hop,
		recordVersion:  m.RecordVersion,
		recordSequence: m.Right.Sequence,
		freeAt:         s.now + max(m.InUseFor, 0),
	})
	s.emitDecision(TakenOver, m.Right, from.Address)
	// Request confirmations soon, and once for all shares that arrive together.
	s.nextRound = min(s.nextRound, s.now+handoverBatchDelay)
}

// before reports whether a handover came before another one of the same share.
func (h handoverPosition) before(other handoverPosition) bool {
	if h.sequence != other.sequence {
		return h.sequence < other.sequence
	}
	return h.hop < other.hop
}

// handOver gives up a share and then sends it to a peer that sent a request
// recently.
func (s *State) handOver(h *holding, b *borrower) {
	n := h.right.Share
	inUseFor := max(s.lending.inUseFor(s.now), h.freeAt-s.now)
	s.held.byShare[n] = nil
	s.claim.mayNameSelf[n] = true
	s.voter.lastHandovers[n] = handoverPosition{
		sequence: h.right.Sequence,
		hop:      h.hop + 1,
	}
	s.send(b.info.Address, Handover{
		Receiver:      b.info.Incarnation,
		RequestNumber: b.lastRequest,
		Right:         h.right,
		Hop:           h.hop + 1,
		RecordVersion: h.recordVersion,
		InUseFor:      inUseFor,
		Fences:        s.voter.fencedRights(),
	})
	s.emitDecision(HandedOver, h.right, b.info.Address)
	s.noteSeen(n, b.info.Address)
}

// leave starts a graceful stop.
func (s *State) leave() {
	if s.leaving {
		return
	}
	s.leaving = true
	s.leftAt = s.now
	for _, x := range s.lenders.ordered {
		s.lenders.reportEnded(s, x, nil)
		s.send(x.id.Address, Return{
			Number: x.requests.Last(),
			Lender: x.id.Incarnation,
		})
	}
	s.handOverAll()
}

// handOverAll hands over all usable shares, each to the instance with the
// fewest shares. It revokes the platform lease once no share is left.
func (s *State) handOverAll() {
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
	if s.held.count() == 0 && s.session.lease != 0 {
		s.startCall(pendingCall{}, store.RevokeLease{
			Lease: s.session.lease,
		})
		s.session.lease = 0
	}
}

// moveSurplus hands over one share if a peer has at least two fewer. Nothing is
// moved while shares are missing, since claims of those even out the numbers.
func (s *State) moveSurplus() {
	if s.leaving {
		s.handOverAll()
		return
	}
	if s.now < s.nextMove || s.held.count() < 2 {
		return
	}
	if len(s.missingShares()) > 0 || s.knownVotes() <= s.total/2 {
		return
	}
	loads := s.loads()
	b := s.recipient(loads)
	if b == nil || loads.of(b.info.Address)+2 > s.held.count() {
		return
	}
	s.nextMove = s.now + moveInterval + s.jitter(moveInterval)
	for _, h := range s.held.byShare {
		if h != nil && h.usable(s, s.now) && h.freeAt <= s.now && h.right.Voting {
			s.handOver(h, b)
			return
		}
	}
}

// knownVotes counts the shares that are known to have a vote, those of this
// instance included. Without a majority of them, the receiver of a share would
// get no confirmation.
func (s *State) knownVotes() int {
	n := len(s.ownVotingShares())
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

// recipient returns the instance that should get the next share, or nil if
// there is none: of those that accept shares and sent a request recently, the
// one with the fewest shares; of equals, the one in the zone with the fewest
// shares.
func (s *State) recipient(loads loads) *borrower {
	var best *borrower
	for _, b := range s.lending.ordered {
		recent := b.lastRequest > 0 && s.now < b.lastRequestAt+s.maxRequestAge()
		if !recent || !b.acceptsHandover || b.info.Address == s.self.Address || s.isLeavingMember(b.info.Address) {
			continue
		}
		if s.withinRegion && b.info.Region != s.self.Region {
			continue
		}
		if best == nil || loads.less(s, b.info, best.info) {
			best = b
		}
	}
	return best
}

// maxRequestAge returns how old an instance's newest request may be for the
// instance to be handed a share.
func (s *State) maxRequestAge() time.Duration {
	return min(s.effectiveLendingTerm(), s.term/4)
}

// isLeavingMember reports whether the member at an address is stopping.
func (s *State) isLeavingMember(a instance.Address) bool {
	return s.memberInfo(a).Leaving
}
