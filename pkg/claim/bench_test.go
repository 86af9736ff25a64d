package claim_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// BenchmarkClaim claims a new key and releases it.
func BenchmarkClaim(b *testing.B) {
	infos := []instance.Info{
		{ID: instance.ID{Address: "10.0.0.1:7000", Incarnation: 1}},
		{ID: instance.ID{Address: "10.0.0.2:7000", Incarnation: 1}},
	}
	var all []share.Shard
	for s := range share.Shard(share.Shards) {
		all = append(all, s)
	}
	c := claim.New(infos[0], claim.TotalShares(1))
	c.Handle(time.Second, claim.FirstRun{})
	c.Handle(time.Second, claim.MembersChanged{Members: infos})
	c.Handle(time.Second, claim.BorrowedChanged{Borrowed: share.BorrowedShare{Until: 1e6 * time.Hour, Shards: share.SetOf(all...)}})
	now := time.Second
	for range 10 {
		now += time.Second
		c.Handle(now, claim.Tick{})
	}
	keys := make([]claim.Key, 1000)
	for i := range keys {
		keys[i] = claim.KeyOf("press", fmt.Sprint(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := keys[i%len(keys)]
		c.Handle(now, claim.Received{From: infos[1].ID, Message: claim.Claim{Number: uint64(i), Request: uint64(i), Key: key}})
		c.Handle(now, claim.Received{From: infos[1].ID, Message: claim.Release{Request: uint64(i), Key: key}})
	}
}
