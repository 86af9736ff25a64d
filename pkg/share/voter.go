package share

import (
	"time"

	"dandelionmux/pkg/lease"
)

// voter records the confirmations and fences that an instance gave.
type voter struct {
	// confirmed are the leases of the newest confirmations, by share.
	confirmed []lease.Lent
	// fences are the highest Sequences that the instance will neither use nor
	// confirm again, by share. Zero stands for no fence.
	fences []uint64
	// lastHandovers are the newest handovers that the instance sent or
	// accepted, by share, so that a duplicate isn't accepted again.
	lastHandovers []handoverPosition
}

// handoverPosition is the position of a handover in the order of all handovers
// of one share.
type handoverPosition struct {
	sequence uint64
	hop      uint64
}

// newVoter returns a voter for the given total number of shares.
func newVoter(total int) voter {
	return voter{
		confirmed:     make([]lease.Lent, total),
		fences:        make([]uint64, total),
		lastHandovers: make([]handoverPosition, total),
	}
}

// confirm confirms a right for a term. It returns false if the right is fenced.
func (v *voter) confirm(now, term time.Duration, r Right) bool {
	if r.Sequence <= v.fences[r.Share] {
		return false
	}
	v.confirmed[r.Share] = v.confirmed[r.Share].Extend(lease.Lend(now, term))
	return true
}

// fence fences a right. It returns false while a confirmation for the share is
// live.
func (v *voter) fence(now time.Duration, r Right) bool {
	if !v.confirmed[r.Share].Ended(now) {
		return false
	}
	v.raiseFence(r.Share, r.Sequence)
	return true
}

// raiseFence raises the fence of a share to the Sequence.
func (v *voter) raiseFence(n Number, sequence uint64) {
	v.fences[n] = max(v.fences[n], sequence)
}

// fencedRights returns the fences as rights, for a handover.
func (v *voter) fencedRights() []Right {
	var rights []Right
	for n, f := range v.fences {
		if f > 0 {
			rights = append(rights, Right{
				Share:    Number(n),
				Sequence: f,
			})
		}
	}
	return rights
}

// confirmAll confirms the rights of another instance, and returns the shares of
// those that it refuses to confirm.
func (s *State) confirmAll(rights []Right) []Number {
	var refused []Number
	for _, r := range rights {
		if !s.validShare(r.Share) || s.holdsShare(r) || !s.voter.confirm(s.now, s.term, r) {
			refused = append(refused, r.Share)
		}
	}
	return refused
}

// holdsShare reports whether this instance holds the right's share itself.
func (s *State) holdsShare(r Right) bool {
	return s.held.byShare[r.Share] != nil
}

// handleFenceRequest fences the requested rights, and returns the response to
// the requester. A share of its own is given up if this instance can't use it;
// if it can, the fence is refused.
func (s *State) handleFenceRequest(requester uint64, m FenceRequest) FenceResponse {
	response := FenceResponse{
		Requester: requester,
		Number:    m.Number,
	}
	for _, r := range m.Rights {
		if s.validShare(r.Share) && s.fenceRight(r) {
			response.Fenced = append(response.Fenced, r.Share)
		}
	}
	for _, h := range s.held.byShare {
		if h != nil && h.mayFence(s, s.now) {
			response.Votes = append(response.Votes, h.right.Share)
		}
	}
	return response
}

// fenceRight fences one right, and reports whether it did.
func (s *State) fenceRight(r Right) bool {
	h := s.held.byShare[r.Share]
	if h != nil && h.usable(s, s.now) {
		return false
	}
	if s.session.writing(r.Share) {
		return false
	}
	if !s.voter.fence(s.now, r) {
		return false
	}
	if h != nil && h.right.Sequence <= r.Sequence {
		s.drop(r.Share)
	}
	return true
}
