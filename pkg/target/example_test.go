package target_test

import (
	"fmt"
	"time"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/target"
)

func ExampleView() {
	s := document.Service{Name: "catalogue", Floor: 50}
	for _, name := range []string{"c1", "c2", "c3"} {
		s.Targets = append(s.Targets, document.Target{
			Name:  name,
			Slots: 6,
		})
	}
	view := target.NewView(s, 0)
	now := time.Second
	view.Handle(now, target.Announced{
		Verdicts: target.Verdicts{
			Service: "catalogue",
			Number:  1,
			Term:    15 * time.Second,
			List: []target.Verdict{
				{Target: "c1", Action: target.Eject, Reason: target.Failing, Severity: 2},
				{Target: "c2", Action: target.Eject, Reason: target.Slow, Severity: 1},
			},
		},
	})
	for _, t := range view.Targets(now) {
		fmt.Println(t.Target.Name, t.Weight, t.Reason)
	}
	// Output:
	// c1 0 failing
	// c2 1 spared-by-floor
	// c3 1
}
