package fleet

import (
	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/share"
)

// leaving is how far a graceful stop has come. Buckets and claims go first,
// because the rights behind them are returned after.
type leaving struct {
	begun      bool
	handedOver bool
	claimsLeft bool
	returning  bool
	done       bool
}

// leave begins a graceful stop.
func (s *State) leave() {
	if s.leaving.begun {
		return
	}
	s.leaving.begun = true
	s.takeMembership(s.membership.Handle(s.now, membership.Leave{}))
	s.takeCoordinator(s.coordinator.Handle(s.now, quota.Leave{
		Successor: s.successor,
	}))
	s.takeClaims(s.claims.Handle(s.now, claim.Leave{}))
}

// leaveStep takes the next step of a graceful stop when it is time.
func (s *State) leaveStep() {
	if !s.leaving.begun || s.leaving.done {
		return
	}
	if s.leaving.handedOver && s.leaving.claimsLeft && !s.leaving.returning {
		s.leaving.returning = true
		s.takeShare(s.share.Handle(s.now, share.Leave{}))
	}
	if s.leaving.returning && s.share.Stopped() {
		s.leaving.done = true
		s.emit(LeaveCompleted{})
	}
}

// successor is who gets a shard's buckets.
func (s *State) successor(shard share.Shard) instance.Address {
	address, ok := s.first(shard)
	if !ok || address == s.self.Address {
		return ""
	}
	return address
}
