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

// takeShare carries on what the shares put out.
func (s *State) takeShare(effects []share.Effect) {
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
			s.borrowed(e.Borrowed)
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

// borrowed tells the coordinator, and who asks for authority, what is borrowed.
func (s *State) borrowed(b share.Borrowed) {
	s.authority.Update(s.now, b, func(share.Shard, time.Duration, bool) {})
	s.takeCoordinator(s.coordinator.Handle(s.now, quota.BorrowedChanged{
		Borrowed: b,
	}))
	s.takeClaims(s.claims.Handle(s.now, claim.BorrowedChanged{
		Borrowed: b,
	}))
}

// directory tells the quarantine who is who.
type directory struct {
	state *State
}

// fingerprintShard is the shard of a fingerprint.
func fingerprintShard(f quarantine.Fingerprint) share.Shard {
	return share.ShardOf("fingerprint", string(f[:]))
}

// Coordinator implements quarantine.Directory.
func (d directory) Coordinator(_ time.Duration, f quarantine.Fingerprint) (instance.Address, bool) {
	return d.state.first(fingerprintShard(f))
}

// AuthoritySince implements quarantine.Directory.
func (d directory) AuthoritySince(_ time.Duration, f quarantine.Fingerprint) (time.Duration, bool) {
	return d.state.authority.Majority(fingerprintShard(f))
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

// first is the first in rank for a shard among the members that stay.
func (s *State) first(shard share.Shard) (instance.Address, bool) {
	staying := membership.ExcludeLeaving(s.members)
	if len(staying) == 0 {
		return "", false
	}
	return instance.Rank(instance.Hash("shard", uint64(shard)), staying)[0].Address, true
}
