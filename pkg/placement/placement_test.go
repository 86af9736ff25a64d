package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/placement"
	"dandelionmux/pkg/target"
)

// connections is the number of connections that a target accepts from the whole
// fleet.
const connections = 330

func weightedTargets(n int) []target.WeightedTarget {
	list := make([]target.WeightedTarget, n)
	for i := range list {
		list[i] = target.WeightedTarget{
			Target: document.Target{
				Name:        fmt.Sprintf("t%d", i),
				Address:     fmt.Sprintf("10.1.%d.%d:80", i/250, i%250),
				Zone:        string(rune('a' + i%3)),
				Slots:       6,
				Connections: connections,
			},
			Weight: 1,
		}
	}
	return list
}

func settings(targets []target.WeightedTarget) placement.Settings {
	return placement.Settings{
		Service:   "catalogue",
		Targets:   targets,
		Instance:  "10.0.0.1:7000",
		Zone:      "a",
		Instances: 40,
	}
}

// TestConnectionsStayWithinTargetLimit guards against a fleet that together opens
// more connections to a target than it accepts, and against a target that no
// instance connects to.
func TestConnectionsStayWithinTargetLimit(t *testing.T) {
	tests := []struct {
		instances, targets, ejected int
	}{
		{instances: 40, targets: 6},
		{instances: 40, targets: 8},
		{instances: 40, targets: 10},
		{instances: 40, targets: 11},
		{instances: 40, targets: 14},
		{instances: 40, targets: 14, ejected: 7},
		{instances: 540, targets: 6},
		{instances: 540, targets: 19},
		{instances: 540, targets: 19, ejected: 9},
		{instances: 540, targets: 60},
		{instances: 540, targets: 60, ejected: 50},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d instances, %d targets, %d ejected", tt.instances, tt.targets, tt.ejected), func(t *testing.T) {
			is := is.New(t)
			list := weightedTargets(tt.targets)
			for i := range tt.ejected {
				list[i].Weight = 0
			}
			used := map[string]int{}
			for n := range tt.instances {
				s := settings(list)
				s.Instances = tt.instances
				s.Instance = instance.Address(fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250))
				limits := placement.NewTable(nil, s).ConnectionLimits()
				is.True(len(limits) >= 2) // each instance has two targets to choose from
				for _, c := range limits {
					used[c.Address] += c.Max
				}
			}
			is.Equal(len(used), tt.targets-tt.ejected) // every target that receives work has connections
			most := 0
			for _, n := range used {
				most = max(most, n)
			}
			t.Logf("most connections to one target: %d", most)
			is.True(most <= connections)
		})
	}
}

func TestPickPrefersOwnZoneAndSpillsBeforeQueueing(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	table := placement.NewTable(nil, settings(weightedTargets(6)))
	spilled := 0
	for n := 0; ; n++ {
		p, ok := table.Pick(r, placement.Request{})
		if !ok {
			is.Equal(n, 12) // each of the six targets is at its initial limit of two
			break
		}
		if n < 4 {
			is.Equal(p.Target().Zone, "a") // the two targets in zone a come first, with two requests each
		}
		if p.Spilled {
			spilled++
		}
	}
	is.Equal(spilled, 8)
}

func TestHungTargetDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	table := placement.NewTable(nil, settings(weightedTargets(6)))
	hung := 0
	for range 10_000 {
		p, ok := table.Pick(r, placement.Request{})
		is.True(ok) // the other targets always have a free slot
		if p.Target().Name == "t0" {
			hung++ // t0 never answers
			continue
		}
		p.Done(target.Succeeded, 25*time.Millisecond)
	}
	is.True(hung <= 6) // no more than its slots
}

func TestLimitShrinksOnShedAndGrowsAgain(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 3))
	table := placement.NewTable(nil, settings(weightedTargets(1)))
	fill := func(outcome target.Outcome) int {
		var picks []placement.Pick
		for {
			p, ok := table.Pick(r, placement.Request{})
			if !ok {
				break
			}
			picks = append(picks, p)
		}
		for _, p := range picks {
			p.Done(outcome, 25*time.Millisecond)
		}
		return len(picks)
	}
	for range 50 {
		fill(target.Succeeded)
	}
	is.Equal(fill(target.Shed), 6) // the limit has grown to the number of slots
	is.Equal(fill(target.Succeeded), 1)
	for range 50 {
		fill(target.Succeeded)
	}
	is.Equal(fill(target.Succeeded), 6)
}

func TestShareFollowsWeightAndHealth(t *testing.T) {
	const picks = 20_000
	tests := []struct {
		name               string
		change             func(*target.WeightedTarget)
		outcome            target.Outcome
		latency            time.Duration
		request            placement.Request
		minPicks, maxPicks int
	}{
		{name: "healthy", latency: 25 * time.Millisecond, minPicks: 2800, maxPicks: 3900},
		{name: "slow", latency: 75 * time.Millisecond, minPicks: 100, maxPicks: 1500},
		{name: "fails fast", outcome: target.Failed, latency: time.Millisecond, minPicks: 100, maxPicks: 1500},
		{name: "warming", change: func(s *target.WeightedTarget) { s.Weight = 0.1 }, latency: 25 * time.Millisecond, minPicks: 20, maxPicks: 500},
		{name: "ejected", change: func(s *target.WeightedTarget) { s.Weight = 0 }},
		{name: "leaving", change: func(s *target.WeightedTarget) { s.Target.Leaving = true; s.SampleFraction = 0.5 }, request: placement.Request{Repeatable: true}},
		{name: "excluded", request: placement.Request{Exclude: [2]string{"t0"}}},
		{name: "sampled while ejected", change: func(s *target.WeightedTarget) { s.Weight = 0; s.SampleFraction = 0.05 }, request: placement.Request{Repeatable: true}, latency: 25 * time.Millisecond, minPicks: 800, maxPicks: 1200},
		{name: "not sampled", change: func(s *target.WeightedTarget) { s.Weight = 0; s.SampleFraction = 0.05 }},
		{name: "watched", change: func(s *target.WeightedTarget) { s.Watched = true }},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(2, uint64(i)))
			list := weightedTargets(6)
			for n := range list {
				list[n].Target.Zone = "a"
			}
			if tt.change != nil {
				tt.change(&list[0])
			}
			table := placement.NewTable(nil, settings(list))
			got := 0
			for range picks {
				p, ok := table.Pick(r, tt.request)
				is.True(ok)
				if p.Target().Name == "t0" {
					got++
					p.Done(tt.outcome, tt.latency)
					continue
				}
				p.Done(target.Succeeded, 25*time.Millisecond)
			}
			is.True(got >= tt.minPicks) // the target gets at least its share
			is.True(got <= tt.maxPicks) // and no more than its share
		})
	}
}

func TestNextTableKeepsCounters(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 4))
	previous := placement.NewTable(nil, settings(weightedTargets(1)))
	p, ok := previous.Pick(r, placement.Request{})
	is.True(ok)
	next := placement.NewTable(previous, settings(weightedTargets(1)))
	is.Equal(next.FreeSlots(0), 1) // the request in flight still counts
	p.Done(target.Succeeded, time.Millisecond)
	is.Equal(next.FreeSlots(0), 2)
}

func BenchmarkPick(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 5))
	table := placement.NewTable(nil, settings(weightedTargets(24)))
	b.ReportAllocs()
	for b.Loop() {
		p, _ := table.Pick(r, placement.Request{Repeatable: true})
		p.Done(target.Succeeded, 25*time.Millisecond)
	}
}

func BenchmarkNewTable(b *testing.B) {
	s := settings(weightedTargets(24))
	b.ReportAllocs()
	for b.Loop() {
		placement.NewTable(nil, s)
	}
}
