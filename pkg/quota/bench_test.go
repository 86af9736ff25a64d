package quota_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/share"
)

var benchInstance = instance.ID{Address: "10.0.0.1:7000", Incarnation: 1}

// BenchmarkAllowance takes and spends units of held grants in parallel.
func BenchmarkAllowance(b *testing.B) {
	const organisations = 256
	allowance := quota.NewAllowance()
	holder := quota.NewHolder(benchInstance, allowance, quota.BatchDelay(0))
	holder.Handle(0, quota.MembersChanged{Members: []instance.Info{{ID: benchInstance}}})
	names := make([]string, organisations)
	for i := range names {
		names[i] = fmt.Sprint("organisation-", i)
		holder.Handle(0, quota.Acquire{Request: uint64(i), Organisation: names[i], Units: 1})
		holder.Handle(0, quota.Received{From: benchInstance, Message: quota.Answer{Grants: []quota.Grant{{
			Number: uint64(i + 1),
			Units:  1 << 40,
			Term:   1000 * time.Hour,
		}}}})
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			token, result := allowance.Take(time.Second, names[i%organisations], 1)
			if result == quota.Empty || !token.Spend(time.Second) {
				b.Error("nothing held")
				return
			}
		}
	})
}

// BenchmarkCoordinator grants single units on demand and handles their reports.
func BenchmarkCoordinator(b *testing.B) {
	c := quota.NewCoordinator(benchInstance)
	limits := quota.LimitMap{}
	var shards []share.Shard
	names := make([]string, 500)
	for i := range names {
		names[i] = fmt.Sprint("organisation-", i)
		limits[names[i]] = quota.Limit{PerSecond: 1e6, Burst: 1e6}
		shards = append(shards, quota.ShardOf(names[i]))
	}
	c.Handle(0, quota.LimitsChanged{Limits: limits})
	for n := range share.Number(share.DefaultTotal) {
		c.Handle(0, quota.BorrowedChanged{Borrowed: share.BorrowedShare{Share: n, Until: 1e6 * time.Hour, Shards: share.SetOf(shards...)}})
	}
	now := time.Hour
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 10 * time.Microsecond
		c.Handle(now, quota.Received{From: benchInstance, Message: quota.Ask{
			Items:   []quota.Item{{Number: uint64(i + 1), Organisation: names[i%len(names)], Need: 1}},
			Reports: []quota.Report{{Number: uint64(i), Used: 1, Closed: true}},
		}})
	}
}
