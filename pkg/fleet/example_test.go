package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quota"
)

func Example() {
	self := instance.Info{
		ID: instance.ID{
			Address:     "10.0.0.1:7000",
			Incarnation: 1,
		},
		Zone:   "a",
		Region: "west",
	}
	state := fleet.New(self, quota.NewAllowance(), rand.New(rand.NewPCG(1, 1)))
	effects := state.Start(0)
	effects = append(effects, state.Handle(time.Millisecond, fleet.ListRead{
		Instances: []instance.Info{self},
	})...)
	for _, effect := range effects {
		switch e := effect.(type) {
		case fleet.MembersChanged:
			fmt.Println("members:", len(e.Members))
		case fleet.Send, fleet.StoreCall:
			// Executed by the caller.
		}
	}
	fmt.Println("wakes:", state.Next() > 0)
	// Output:
	// members: 1
	// wakes: true
}
