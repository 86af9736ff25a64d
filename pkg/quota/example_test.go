package quota_test

import (
	"fmt"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/share"
)

// One instance that holds all shares serves an organisation with a burst of
// two: the third request is refused.
func Example() {
	self := instance.Info{ID: instance.ID{Address: "10.0.0.1:7000", Incarnation: 1}}
	allowance := quota.NewAllowance()
	holder := quota.NewHolder(self.ID, allowance, quota.BatchDelay(0))
	coordinator := quota.NewCoordinator(self.ID)
	var handle func(now time.Duration, effects []quota.Effect)
	handle = func(now time.Duration, effects []quota.Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case quota.Send:
				received := quota.Received{From: self.ID, Message: e.Message}
				if quota.ForHolder(e.Message, self.ID) {
					handle(now, holder.Handle(now, received))
				} else {
					handle(now, coordinator.Handle(now, received))
				}
			case quota.Admitted:
				fmt.Println("request", e.Request, "runs:", e.Token.Spend(now))
			case quota.Refused:
				fmt.Println("request", e.Request, "is refused:", e.Reason)
			}
		}
	}
	shard := share.SetOf(quota.ShardOf("press"))
	now := time.Second
	for n := range share.Number(share.DefaultTotal) {
		coordinator.Handle(now, quota.BorrowedChanged{Borrowed: share.BorrowedShare{Share: n, Until: time.Hour, Shards: shard}})
	}
	coordinator.Handle(now, quota.LimitsChanged{Limits: quota.LimitMap{"press": {PerSecond: 1, Burst: 2}}})
	holder.Handle(now, quota.MembersChanged{Members: []instance.Info{self}})
	now = time.Minute
	for request := range uint64(3) {
		handle(now, holder.Handle(now, quota.Acquire{Request: request + 1, Organisation: "press", Units: 1}))
	}
	// Output:
	// request 1 runs: true
	// request 2 runs: true
	// request 3 is refused: exhausted
}
