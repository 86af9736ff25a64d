package claim_test

import (
	"fmt"
	"time"

	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// Two instances, of which the first is the authority of the key. The resend
// through the second gets the outcome of the first request.
func Example() {
	now := time.Second
	infos := []instance.Info{
		{ID: instance.ID{Address: "10.0.0.1:7000", Incarnation: 1}},
		{ID: instance.ID{Address: "10.0.0.2:7000", Incarnation: 1}},
	}
	claims := map[instance.Address]*claim.Claims{}
	var handle func(self instance.ID, e claim.Event)
	handle = func(self instance.ID, e claim.Event) {
		for _, e := range claims[self.Address].Handle(now, e) {
			switch e := e.(type) {
			case claim.Send:
				to := instance.ID{Address: e.To, Incarnation: 1}
				handle(to, claim.Received{From: self, Message: e.Message})
			case claim.Run:
				fmt.Println("request", e.Request, "runs")
				handle(self, claim.Done{Request: e.Request, Outcome: claim.Outcome{State: claim.Ended, Status: 201}})
			case claim.Duplicate:
				fmt.Println("request", e.Request, "is a duplicate, first ended with", e.Outcome.Status)
			}
		}
	}
	for _, i := range infos {
		claims[i.Address] = claim.New(i, claim.TotalShares(1))
		handle(i.ID, claim.FirstRun{})
	}
	for _, i := range infos {
		handle(i.ID, claim.MembersChanged{Members: infos})
	}
	key := claim.KeyOf("press", "booking 17")
	handle(infos[0].ID, claim.BorrowedChanged{Borrowed: share.BorrowedShare{Until: time.Hour, Shards: share.SetOf(key.Shard())}})
	for range 5 {
		now += time.Second
		for _, i := range infos {
			handle(i.ID, claim.Tick{})
		}
	}
	handle(infos[1].ID, claim.Acquire{Request: 1, Key: key})
	handle(infos[0].ID, claim.Acquire{Request: 2, Key: key})
	// Output:
	// request 1 runs
	// request 2 is a duplicate, first ended with 201
}
