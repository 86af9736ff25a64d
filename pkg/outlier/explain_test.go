package outlier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/target"
)

// Guards against a reason that operators are told and that isn't why a target gets or doesn't get
// requests. The first of twelve targets is looked at; it is in zone a, like three others.
func TestExplainNamesEachReason(t *testing.T) {
	const name = "desk-00"
	ends := func(o target.Outcome) func(*outlier.Table) {
		return func(table *outlier.Table) { table.Done(now, name, o) }
	}
	own := outlier.Request{Repeatable: true, OwnZone: true}
	tests := []struct {
		want    outlier.Standing
		usable  bool
		prepare func(table *outlier.Table)
		request outlier.Request
	}{
		{outlier.Healthy, true, func(*outlier.Table) {}, own},
		{outlier.Leaving, false, func(table *outlier.Table) {
			table.Update(now, []target.Registration{{Target: document.Target{Name: name, Zone: "a", Leaving: true}}})
		}, own},
		{outlier.Evacuated, false, func(table *outlier.Table) {
			table.SetEvacuated(func(zone string) bool { return zone == "a" })
		}, own},
		{outlier.Foreign, false, func(table *outlier.Table) {
			table.Update(now, []target.Registration{{Target: document.Target{Name: name, Zone: "b"}}})
		}, own},
		{outlier.Held, false, func(table *outlier.Table) { table.HoldFor(now+time.Second, name) }, own},
		{outlier.Resting, false, func(table *outlier.Table) { table.Rest(now+time.Second, name) }, own},
		{outlier.PassedOver, false, func(*outlier.Table) {}, outlier.Request{Avoid: []string{name}}},
		{outlier.Busy, false, func(table *outlier.Table) {
			table.ReceiveLoad(now, "10.1.0.1:7000", outlier.Load{Target: name, Running: 6}, time.Second)
		}, outlier.Request{Spare: true}},
		{outlier.EjectedLost, false, ends(target.Crashed), own},
		{outlier.Ejected, false, ends(target.TimedOut), own},
		{outlier.Paused, false, ends(target.Shed), own},
		// Only a request that may be repeated goes to targets on probation.
		{outlier.OnProbation, true, ends(target.Disconnected), own},
		{outlier.OnProbation, false, ends(target.Disconnected), outlier.Request{}},
	}
	for _, tt := range tests {
		t.Run(tt.want.String(), func(t *testing.T) {
			is := is.New(t)
			table := newTable(12)
			tt.prepare(table)
			for range 2 { // a listing doesn't change the next one
				c := table.Explain(now, tt.request)[0]
				is.Equal(c.Name, name)
				is.Equal(c.Standing, tt.want)
				is.Equal(c.Usable, tt.usable)
			}
		})
	}
}
