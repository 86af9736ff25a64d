package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/placement"
	"dandelionmux/pkg/target"
)

func ExampleTable_Pick() {
	table := placement.NewTable(nil, placement.Settings{
		Service: "catalogue",
		Targets: []target.WeightedTarget{{
			Target: document.Target{
				Name:        "c1",
				Address:     "10.1.0.1:80",
				Zone:        "a",
				Slots:       6,
				Connections: 330,
			},
			Weight: 1,
		}},
		Instance:  "10.0.0.1:7000",
		Zone:      "a",
		Instances: 40,
	})
	random := rand.New(rand.NewPCG(1, 2))
	pick, ok := table.Pick(random, placement.Request{})
	if !ok {
		return
	}
	fmt.Println(pick.Target().Name, table.FreeSlots(0))
	pick.Done(target.Succeeded, 25*time.Millisecond)
	// Output: c1 1
}
