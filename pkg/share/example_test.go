package share_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

func Example() {
	self := instance.Info{
		ID: instance.ID{
			Address:     "10.0.0.1:7000",
			Incarnation: 1,
		},
		Zone: "a",
	}
	state := share.New(self, rand.New(rand.NewPCG(1, 1)), share.Total(64))

	// The state is given events with the time, and returns calls and messages.
	now := time.Duration(1)
	for range 20 {
		for _, effect := range state.Handle(now, share.Tick{}) {
			if call, ok := effect.(share.StoreCall); ok {
				fmt.Printf("%T\n", call.Call)
				return
			}
		}
		now = state.Next()
	}
	// Output: store.List
}
