package fleet

import (
	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/share"
)

// leaving is the progress of a graceful stop. Quota buckets and claims are
// handed over before the shares, because they depend on the rights that the
// shares give.
type leaving struct {
	started          bool
	quotaHandedOver  bool
	claimsHandedOver bool
	returningShares  bool
	done             bool
}

// leave begins a graceful stop.
func (s *State) leave() {
	if s.leaving.started {
		return
	}
	s.leaving.started = true
	s.handleMembershipEffects(s.membership.Handle(s.now, membership.Leave{}))
	s.handleCoordinatorEffects(s.coordinator.Handle(s.now, quota.Leave{
		Successor: s.successor,
	}))
	s.handleClaimEffects(s.claims.Handle(s.now, claim.Leave{}))
}

// continueLeave starts the next step of a graceful stop once the previous one
// is complete.
func (s *State) continueLeave() {
	if !s.leaving.started || s.leaving.done {
		return
	}
	if s.leaving.quotaHandedOver && s.leaving.claimsHandedOver && !s.leaving.returningShares {
		s.leaving.returningShares = true
		s.handleShareEffects(s.share.Handle(s.now, share.Leave{}))
	}
	if s.leaving.returningShares && s.share.Stopped() {
		s.leaving.done = true
		s.emit(LeaveCompleted{})
	}
}

// successor returns the instance that a shard's quota buckets are handed over
// to, or "" if there is none other than this instance.
func (s *State) successor(shard share.Shard) instance.Address {
	address, ok := s.topRanked(shard)
	if !ok || address == s.self.Address {
		return ""
	}
	return address
}
