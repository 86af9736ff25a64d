package share

import (
	"time"

	"dandelionmux/pkg/lease"
)

// voter is what an instance remembers of the vouches and promises it gave.
type voter struct {
	// vouched are the ends of its vouches, one for each share.
	vouched []lease.Lent
	// floors are the highest Sequences that it promised neither to use nor to
	// vouch for; zero for none.
	floors []uint64
	// hops are the highest handovers that it took, so that a doubled one
	// isn't taken again.
	hops []handed
}

// handed orders the handovers of one share.
type handed struct {
	sequence uint64
	hop      uint64
}

func newVoter(total int) voter {
	return voter{
		vouched: make([]lease.Lent, total),
		floors:  make([]uint64, total),
		hops:    make([]handed, total),
	}
}

// vouch vouches for a right for a term, unless it was promised away.
func (v *voter) vouch(now, term time.Duration, r Right) bool {
	if r.Sequence <= v.floors[r.Share] {
		return false
	}
	v.vouched[r.Share] = v.vouched[r.Share].Extend(lease.Lend(now, term))
	return true
}

// promise gives a promise, unless a vouch for the share is still running.
func (v *voter) promise(now time.Duration, r Right) bool {
	if !v.vouched[r.Share].Ended(now) {
		return false
	}
	v.raise(r.Share, r.Sequence)
	return true
}

// raise lifts the floor of a share.
func (v *voter) raise(n Number, sequence uint64) {
	v.floors[n] = max(v.floors[n], sequence)
}

// floorRights returns the floors as rights, for a handover.
func (v *voter) floorRights() []Right {
	var rights []Right
	for n, f := range v.floors {
		if f > 0 {
			rights = append(rights, Right{
				Share:    Number(n),
				Sequence: f,
			})
		}
	}
	return rights
}

// refusals vouches for an asker's rights and returns those it refuses.
func (s *State) refusals(rights []Right) []Number {
	var refused []Number
	for _, r := range rights {
		if !s.valid(r.Share) || s.ownsOther(r) || !s.voter.vouch(s.now, s.term, r) {
			refused = append(refused, r.Share)
		}
	}
	return refused
}

// ownsOther reports whether this instance has the share itself.
func (s *State) ownsOther(r Right) bool {
	return s.held.byShare[r.Share] != nil
}

// promise answers a FenceRequest. It gives up a share of its own that it can't
// use, and refuses for one that it can.
func (s *State) promise(asker uint64, m FenceRequest) FenceResponse {
	answer := FenceResponse{
		Requester: asker,
		Number:    m.Number,
	}
	for _, r := range m.Rights {
		if s.valid(r.Share) && s.promiseOne(r) {
			answer.Fenced = append(answer.Fenced, r.Share)
		}
	}
	for _, h := range s.held.byShare {
		if h != nil && h.mayPromise(s, s.now) {
			answer.Votes = append(answer.Votes, h.right.Share)
		}
	}
	return answer
}

func (s *State) promiseOne(r Right) bool {
	h := s.held.byShare[r.Share]
	if h != nil && h.usable(s, s.now) {
		return false
	}
	if s.keeper.selfClaiming(r.Share) {
		return false
	}
	if !s.voter.promise(s.now, r) {
		return false
	}
	if h != nil && h.right.Sequence <= r.Sequence {
		s.drop(r.Share)
	}
	return true
}
