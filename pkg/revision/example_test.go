package revision_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/store"
)

// One instance reads a revision from the store and puts it in force.
func Example() {
	self := instance.ID{
		Address:     "10.0.0.1:7000",
		Incarnation: 1,
	}
	rates := []byte(`{"Organisation": "Rewa", "PerSecond": 20}`)
	head, err := revision.EncodeHead(revision.Head{
		Number: 1,
		Sections: []revision.SectionHead{
			{
				Section:  "Rates",
				Revision: 1,
				Parts:    []revision.Digest{revision.DigestOf(rates)},
			},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	values := map[string][]byte{
		revision.HeadKey: head,
		revision.PartKey(revision.DigestOf(rates)): rates,
	}
	state := revision.New(self, rand.New(rand.NewPCG(1, 0)))
	var handle func(now time.Duration, e revision.Event)
	handle = func(now time.Duration, e revision.Event) {
		for _, effect := range state.Handle(now, e) {
			switch effect := effect.(type) {
			case revision.StoreCall:
				get, ok := effect.Call.(store.Get)
				if !ok {
					continue // the watch waits
				}
				handle(now, revision.StoreAnswer{
					Number: effect.Number,
					Answer: store.Value{
						Entry: store.Entry{
							Key:     get.Key,
							Value:   values[get.Key],
							Version: 1,
						},
						Counter: 1,
					},
				})
			case revision.Apply:
				fmt.Println("apply", effect.Head.Number)
				handle(now, revision.Applied{
					Number: effect.Head.Number,
				})
			}
		}
	}
	handle(time.Second, revision.MembersChanged{
		Members: []instance.Info{
			{
				ID: self,
			},
		},
	})
	handle(2*time.Second, revision.Tick{})
	fmt.Println("in force", state.InForce().Number, state.Trusted(3*time.Second), state.Trusted(time.Minute))
	// Output:
	// apply 1
	// in force 1 true false
}
