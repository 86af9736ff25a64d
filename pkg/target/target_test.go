package target_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/target"
)

var self = instance.ID{Address: "10.0.0.1:7000", Incarnation: 1}

func service(targets, floor int) document.Service {
	s := document.Service{Name: "catalogue", Floor: floor}
	for i := range targets {
		s.Targets = append(s.Targets, document.Target{
			Name:    fmt.Sprintf("c%d", i),
			Address: fmt.Sprintf("10.1.0.%d:80", i+1),
			Slots:   6,
		})
	}
	return s
}

// ejected returns a list of verdicts that ejects the targets, with ascending severity.
func ejected(number uint64, names ...string) target.Announced {
	v := target.Verdicts{Service: "catalogue", Epoch: 1, Number: number, Authority: self, Term: 15 * time.Second}
	for i, name := range names {
		v.List = append(v.List, target.Verdict{Target: name, Action: target.Eject, Reason: target.Failing, Severity: float64(i + 1), SampleFraction: 0.1})
	}
	return target.Announced{Verdicts: v}
}

// weights returns the weights of the targets in order.
func weights(list []target.WeightedTarget) []float64 {
	var w []float64
	for _, s := range list {
		w = append(w, s.Weight)
	}
	return w
}

func TestViewAppliesVerdictsWithinTheFloor(t *testing.T) {
	drained := service(4, 50)
	drained.Targets[3].Leaving = true
	joined := service(5, 50)
	tests := []struct {
		name   string
		floor  int
		events []target.ViewEvent
		want   []float64
	}{
		{name: "none", floor: 50, want: []float64{1, 1, 1, 1}},
		{name: "one ejected", floor: 50, events: []target.ViewEvent{ejected(1, "c1")}, want: []float64{1, 0, 1, 1}},
		{name: "the least severe stays in use", floor: 50, events: []target.ViewEvent{ejected(1, "c0", "c1", "c2")}, want: []float64{1, 0, 0, 1}},
		{name: "floor of 100 percent", floor: 100, events: []target.ViewEvent{ejected(1, "c1")}, want: []float64{1, 1, 1, 1}},
		{name: "unreachable is ejected before failing", floor: 50, events: []target.ViewEvent{ejected(1, "c0", "c1"), target.ConnectionRefused{Target: "c3"}}, want: []float64{1, 0, 1, 0}},
		{name: "unreachable counts once", floor: 50, events: []target.ViewEvent{ejected(1, "c0", "c1"), target.ConnectionRefused{Target: "c1"}}, want: []float64{0, 0, 1, 1}},
		{name: "all unreachable", floor: 50, events: []target.ViewEvent{target.ConnectionRefused{Target: "c0"}, target.ConnectionRefused{Target: "c1"}, target.ConnectionRefused{Target: "c2"}, target.ConnectionRefused{Target: "c3"}}, want: []float64{0, 0, 1, 1}},
		{name: "a leaving target keeps the least severe in use", floor: 50, events: []target.ViewEvent{ejected(1, "c0", "c1"), target.Configured{Service: drained}}, want: []float64{1, 0, 1, 0}},
		{name: "a new target counts by its low weight", floor: 50, events: []target.ViewEvent{ejected(1, "c0", "c1"), target.Configured{Service: joined}}, want: []float64{1, 0, 1, 1, 0.1}},
		{name: "an earlier list is ignored", floor: 50, events: []target.ViewEvent{ejected(2), ejected(1, "c1")}, want: []float64{1, 1, 1, 1}},
		{name: "a later list replaces the first", floor: 50, events: []target.ViewEvent{ejected(1, "c1"), ejected(2, "c2")}, want: []float64{1, 0.3, 0, 1}},
		{name: "an unknown target", floor: 50, events: []target.ViewEvent{ejected(1, "c9")}, want: []float64{1, 1, 1, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := target.NewView(service(4, tt.floor), 0)
			for _, e := range tt.events {
				v.Handle(time.Second, e)
			}
			is.Equal(weights(v.Targets(time.Second)), tt.want)
		})
	}
}

func TestVerdictsExpireAndTargetsRampUp(t *testing.T) {
	is := is.New(t)
	v := target.NewView(service(4, 50), 0)
	v.Handle(time.Second, ejected(1, "c1"))
	is.Equal(v.Next(time.Second), 16*time.Second)
	is.Equal(v.Targets(16 * time.Second)[1].Weight, 1.0) // not renewed
	v.Handle(16*time.Second, target.Tick{})
	last := 0.0
	for now := 16 * time.Second; now < 26*time.Second; now += 100 * time.Millisecond {
		w := v.Targets(now)[1].Weight
		is.True(w >= last && w < 1) // it warms up
		last = w
	}
	is.Equal(v.Targets(26 * time.Second)[1].Weight, 1.0)
	v.Handle(30*time.Second, ejected(1, "c1"))
	is.Equal(v.Targets(30 * time.Second)[1].Weight, 0.0) // after an expiry a list applies whatever its number
}

func TestUnreachableTargetIsTriedAgain(t *testing.T) {
	is := is.New(t)
	v := target.NewView(service(4, 50), 0)
	v.Handle(time.Second, target.ConnectionRefused{Target: "c0"})
	is.Equal(v.Targets(1999 * time.Millisecond)[0].Weight, 0.0)
	is.Equal(v.Targets(2 * time.Second)[0].Weight, 1.0)
	v.Handle(2*time.Second, target.ConnectionRefused{Target: "c0"})
	is.Equal(v.Targets(3 * time.Second)[0].Weight, 0.0) // longer the second time
	is.Equal(v.Targets(4 * time.Second)[0].Weight, 1.0)
	v.Handle(4*time.Second, target.ConnectionAccepted{Target: "c0"})
	is.Equal(v.Targets(4 * time.Second)[0].Weight, 0.3) // back in use, and ramping up
}

// TestFloorHolds checks for random sequences of events that ejections leave the capacity
// that the floor requires, or, if all targets together have less, that none is ejected.
func TestFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(1, 100).Draw(t, "floor")
		s := service(rapid.IntRange(1, 12).Draw(t, "targets"), floor)
		v := target.NewView(s, 0)
		now := time.Second
		names := func(t *rapid.T) []string {
			var list []string
			for i := range s.Targets {
				if rapid.Bool().Draw(t, "unhealthy") {
					list = append(list, fmt.Sprintf("c%d", i))
				}
			}
			return list
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				e := ejected(rapid.Uint64Range(1, 9).Draw(t, "number"), names(t)...)
				e.Verdicts.Authority.Address = rapid.SampledFrom([]instance.Address{"10.0.0.1:7000", "10.0.0.2:7000"}).Draw(t, "authority")
				v.Handle(now, e)
			},
			"unreached": func(t *rapid.T) {
				for _, n := range names(t) {
					v.Handle(now, target.ConnectionRefused{Target: n})
				}
			},
			"drain, join and floor": func(t *rapid.T) {
				changed := service(rapid.IntRange(1, 12).Draw(t, "targets"), rapid.IntRange(1, 100).Draw(t, "floor"))
				for i := range changed.Targets {
					changed.Targets[i].Leaving = rapid.Bool().Draw(t, "leaving")
				}
				s, floor = changed, changed.Floor
				v.Handle(now, target.Configured{Service: s})
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "passed")) * time.Millisecond
				v.Handle(now, target.Tick{})
			},
			"": func(t *rapid.T) {
				slots, left, most := 0.0, 0.0, 0.0
				bare := target.NewView(s, 0)
				for i, weighted := range v.Targets(now) {
					if weighted.Target.Leaving {
						continue
					}
					slots += 6
					left += 6 * weighted.Weight
					w := weighted.Weight
					if weighted.Reason != target.Healthy && w == 0 {
						w = 0.1 // an ejected target counts at least by its lowest possible weight
					}
					most += 6 * max(w, 0.1*bare.Targets(now)[i].Weight)
				}
				if need := slots * float64(floor) / 100; left < need-1e-9 && left < most-1e-9 {
					t.Fatalf("%.1f slots left of %.1f, the floor requires %.1f", left, slots, need)
				}
			},
		})
	})
}

func TestRecorderReportsFailuresAndHangs(t *testing.T) {
	is := is.New(t)
	r := target.NewRecorder(service(2, 50))
	a := r.Begin(10*time.Second, "c0", "shop", "sets")
	is.True(!r.End(10020*time.Millisecond, a, target.Succeeded))
	report, ok := r.Flush(10021 * time.Millisecond)
	is.True(ok) // the first report in a second
	is.Equal(report.Targets[0].Latency.Total, uint32(1))
	a = r.Begin(10100*time.Millisecond, "c0", "shop", "sets")
	r.End(10120*time.Millisecond, a, target.Succeeded)
	_, ok = r.Flush(10130 * time.Millisecond)
	is.True(!ok) // a success can wait
	a = r.Begin(10200*time.Millisecond, "c1", "shop", "sets")
	is.True(r.End(10210*time.Millisecond, a, target.Failed)) // a failure is urgent
	is.Equal(r.Next(), 10230*time.Millisecond)
	report, ok = r.Flush(10230 * time.Millisecond)
	is.True(ok)
	is.Equal(len(report.Targets), 2)
	is.Equal(report.Targets[1].Cells, []target.Cell{{Stratum: target.StratumOf("shop", "sets"), Attempts: 1, Failures: 1}})
	hung := r.Begin(11*time.Second, "c0", "shop", "sets")
	is.Equal(r.Next(), 10480*time.Millisecond)
	_, ok = r.Flush(11100 * time.Millisecond)
	is.True(!ok)
	report, ok = r.Flush(11300 * time.Millisecond)
	is.True(ok) // it still hangs, and counts as a failure
	is.Equal(report.Targets[0].Cells[0].Failures, uint32(1))
	is.True(!r.End(12*time.Second, hung, target.TimedOut)) // and isn't counted again
	_, ok = r.Flush(13 * time.Second)
	is.True(!ok)
	is.Equal(r.Next(), time.Duration(0))
}

func TestCancelledAndShedAttemptsAreNotReported(t *testing.T) {
	is := is.New(t)
	r := target.NewRecorder(service(1, 50))
	for _, outcome := range []target.Outcome{target.Cancelled, target.Shed} {
		r.End(time.Second, r.Begin(time.Second, "c0", "shop", "sets"), outcome)
	}
	r.End(time.Second, r.Begin(time.Second, "unknown", "shop", "sets"), target.Failed)
	_, ok := r.Flush(5 * time.Second)
	is.True(!ok)
}

func BenchmarkRecorder(b *testing.B) {
	r := target.NewRecorder(service(24, 50))
	b.ReportAllocs()
	for b.Loop() {
		r.End(time.Millisecond, r.Begin(0, "c7", "shop", "sets"), target.Succeeded)
	}
}

func BenchmarkTargets(b *testing.B) {
	v := target.NewView(service(24, 50), 0)
	v.Handle(time.Second, ejected(1, "c1", "c2"))
	b.ReportAllocs()
	for b.Loop() {
		v.Targets(time.Second)
	}
}
