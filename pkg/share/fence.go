package share

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// fenceRound is one round of requests for fences.
type fenceRound struct {
	number     uint64
	sent       time.Duration
	candidates []reclaimCandidate
	// allInstances says that all listed instances are asked, not only holders.
	allInstances bool
}

// reclaimCandidate is a share to be reclaimed, with the fences given so far.
type reclaimCandidate struct {
	// right is the right to be fenced, and recordVersion the version of its
	// record.
	right         Right
	recordVersion int64
	// votes are the shares whose holders have fenced the right.
	votes map[Number]bool
	// fencedBy are the instances that have fenced the right, with or without a
	// vote.
	fencedBy map[instance.Address]bool
	// enough says that the claim has the fences that it needs.
	enough bool
}

// majorityRounds is the number of rounds that ask only for the fences of a
// majority. Later rounds ask all instances.
const majorityRounds = 2

// startFenceRound starts a round for the shares whose platform lease has ended,
// and ends the round before it.
func (s *State) startFenceRound(rights []Right) {
	c := &s.claim
	c.round = fenceRound{}
	if len(rights) == 0 {
		return
	}
	c.rounds++
	c.lastRound++
	c.round = fenceRound{
		number:       c.lastRound,
		sent:         s.now,
		allInstances: c.rounds > majorityRounds && s.listComplete(),
	}
	for _, r := range rights {
		c.round.candidates = append(c.round.candidates, reclaimCandidate{
			right:         r,
			recordVersion: c.records[r.Share].Version,
			votes:         map[Number]bool{},
			fencedBy:      map[instance.Address]bool{},
		})
	}
	m := FenceRequest{
		Number: c.lastRound,
		Rights: rights,
	}
	for _, a := range s.fenceReceivers() {
		if a != s.self.Address {
			s.send(a, m)
		}
	}
	s.countFences(s.self.Address, s.handleFenceRequest(s.self.Incarnation, m))
}

// fenceReceivers returns the instances to ask: those that hold shares, and in a
// round for all instances also those that may be running.
func (s *State) fenceReceivers() []instance.Address {
	var receivers []instance.Address
	for _, x := range s.lenders.ordered {
		if x.member && len(x.rights) > 0 {
			receivers = append(receivers, x.id.Address)
		}
	}
	if s.claim.round.allInstances {
		receivers = append(receivers, s.possiblyRunning()...)
	}
	slices.Sort(receivers)
	return slices.Compact(receivers)
}

// handleFenceResponse counts the fences of another instance.
func (s *State) handleFenceResponse(from instance.ID, m FenceResponse) {
	if m.Requester == s.self.Incarnation && m.Number == s.claim.round.number && m.Number > 0 {
		s.countFences(from.Address, m)
	}
}

// countFences counts fences, and makes the claims that have enough of them
// ready to be written.
func (s *State) countFences(from instance.Address, m FenceResponse) {
	c := &s.claim
	for i := range c.round.candidates {
		candidate := &c.round.candidates[i]
		if candidate.enough || !slices.Contains(m.Fenced, candidate.right.Share) {
			continue
		}
		candidate.fencedBy[from] = true
		for _, v := range m.Votes {
			if s.validShare(v) {
				candidate.votes[v] = true
			}
		}
		fencedHere := candidate.fencedBy[s.self.Address]
		if fencedHere && (len(candidate.votes) > s.total/2 || s.fencedByAll(candidate)) {
			candidate.enough = true
			c.readyWrites = append(c.readyWrites, recordWrite{
				share:           candidate.right.Share,
				sequence:        candidate.right.Sequence + 1,
				expectedVersion: candidate.recordVersion,
				action:          Reclaimed,
				deadline:        s.borrow(c.round.sent, s.term).Until,
			})
		}
	}
}

// fencedByAll reports whether no instance is left that may use the share: all
// instances that aren't proved dead have fenced the right.
func (s *State) fencedByAll(candidate *reclaimCandidate) bool {
	if !s.claim.round.allInstances {
		return false
	}
	for _, a := range s.possiblyRunning() {
		if !candidate.fencedBy[a] {
			return false
		}
	}
	return true
}
