package fleet

import (
	"time"

	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/share"
)

// handleShareEffects turns the effects of the shares into events of other
// components and effects of State.
func (s *State) handleShareEffects(effects []share.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case share.Send:
			s.send(e.To, ShareMessage{
				Message: e.Message,
			})
		case share.StoreCall:
			s.emit(StoreCall{
				Component: ComponentShare,
				Number:    e.Number,
				Call:      e.Call,
			})
		case share.BorrowedChanged:
			s.borrowedChanged(e.Borrowed)
		case share.Decision:
			s.emit(Decided{
				Component: "share",
				Decision:  string(e.Action),
				Subject:   string(e.Peer),
				Detail:    []any{"Share", e.Share, "Sequence", e.Sequence, "Shards", e.Shards},
			})
		}
	}
}

// borrowedChanged passes the borrowed shards to the tracker of borrowed shards,
// the coordinator and the claims.
func (s *State) borrowedChanged(b share.BorrowedShare) {
	s.borrowed.Update(s.now, b, func(share.Shard, time.Duration, bool) {})
	s.handleCoordinatorEffects(s.coordinator.Handle(s.now, quota.BorrowedChanged{
		Borrowed: b,
	}))
	s.handleClaimEffects(s.claims.Handle(s.now, claim.BorrowedChanged{
		Borrowed: b,
	}))
}

// directory implements quarantine.Directory on the members and rights of a
// State.
type directory struct {
	state *State
}

// fingerprintShard returns the shard of a fingerprint.
func fingerprintShard(f quarantine.Fingerprint) share.Shard {
	return share.ShardOf("fingerprint", string(f[:]))
}

// Coordinator implements quarantine.Directory.
func (d directory) Coordinator(_ time.Duration, f quarantine.Fingerprint) (instance.Address, bool) {
	return d.state.topRanked(fingerprintShard(f))
}

// AuthoritySince implements quarantine.Directory.
func (d directory) AuthoritySince(_ time.Duration, f quarantine.Fingerprint) (time.Duration, bool) {
	return d.state.borrowed.Majority(fingerprintShard(f))
}

// Peers implements quarantine.Directory.
func (d directory) Peers(time.Duration) []instance.Address {
	var peers []instance.Address
	for _, m := range d.state.members {
		if m.Address != d.state.self.Address {
			peers = append(peers, m.Address)
		}
	}
	return peers
}

// topRanked returns the highest-ranked member for a shard, excluding leaving
// members as by membership.ExcludeLeaving, or false if there are no members.
func (s *State) topRanked(shard share.Shard) (instance.Address, bool) {
	staying := membership.ExcludeLeaving(s.members)
	if len(staying) == 0 {
		return "", false
	}
	return instance.Rank(instance.Hash("shard", uint64(shard)), staying)[0].Address, true
}
