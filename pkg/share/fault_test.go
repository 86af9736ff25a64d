package share_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// faultsPerRun is the number of faults in one random run.
const faultsPerRun = 12

// faults are the faults that a random run draws from.
var faults = []struct {
	name string
	run  func(*simulation, *rapid.T, int)
}{
	{name: "nothing", run: func(*simulation, *rapid.T, int) {}},
	{name: "store down", run: func(s *simulation, _ *rapid.T, _ int) { s.storeDown = true }},
	{name: "store up", run: func(s *simulation, _ *rapid.T, _ int) { s.storeDown = false }},
	{name: "store loses answers", run: func(s *simulation, _ *rapid.T, _ int) { s.storeLossRate = 0.3 }},
	{name: "store slow", run: func(s *simulation, _ *rapid.T, _ int) { s.storeMaxDelay = 12 * time.Second }},
	{name: "one link cut in one direction", run: func(s *simulation, t *rapid.T, i int) {
		j := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "to")
		s.cut[[2]instance.Address{s.nodes[i].info.Address, s.nodes[j].info.Address}] = true
	}},
	{name: "outgoing messages lost", run: func(s *simulation, _ *rapid.T, i int) {
		for _, n := range s.nodes {
			s.cut[[2]instance.Address{s.nodes[i].info.Address, n.info.Address}] = true
		}
	}},
	{name: "incoming messages lost", run: func(s *simulation, _ *rapid.T, i int) {
		for _, n := range s.nodes {
			s.cut[[2]instance.Address{n.info.Address, s.nodes[i].info.Address}] = true
		}
	}},
	{name: "store unreachable", run: func(s *simulation, _ *rapid.T, i int) {
		s.cut[[2]instance.Address{s.nodes[i].info.Address, "store"}] = true
	}},
	{name: "message loss", run: func(s *simulation, _ *rapid.T, _ int) { s.lossRate = 0.1 }},
	{name: "pause", run: func(s *simulation, _ *rapid.T, i int) { s.pause(s.nodes[i]) }},
	{name: "resume", run: func(s *simulation, _ *rapid.T, _ int) { s.resumeAll() }},
	{name: "restart", run: func(s *simulation, _ *rapid.T, i int) {
		s.start(i, s.nodes[i].info.Incarnation+1)
		s.announceMembers()
	}},
	{name: "leave", run: func(s *simulation, _ *rapid.T, i int) {
		n := s.nodes[i]
		n.info.Leaving = true
		s.handle(n, share.Leave{})
		s.announceMembers()
		s.schedule(s.now+2*time.Second, func() {
			if s.nodes[i] == n {
				s.start(i, n.info.Incarnation+1)
				s.announceMembers()
			}
		})
	}},
	{name: "restart of all", run: func(s *simulation, _ *rapid.T, _ int) {
		for i := range s.nodes {
			s.start(i, s.nodes[i].info.Incarnation+1)
		}
		s.announceMembers()
	}},
	{name: "heal", run: func(s *simulation, _ *rapid.T, _ int) { s.heal() }},
}

// TestNoRightIsHeldTwiceUnderFaults draws sequences of faults. The simulation
// fails at any change that lets two instances use one right. After the faults
// have ended, all shares must be in use again.
func TestNoRightIsHeldTwiceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{2, 3, 5}).Draw(rt, "instances")
		total := rapid.SampledFrom([]int{3, 5, 8}).Draw(rt, "shares")
		s := newSimulation(rt, rapid.Uint64().Draw(rt, "seed"), n, share.Total(total))
		s.total = total
		s.run(rapid.SampledFrom([]time.Duration{0, 5 * time.Second, 30 * time.Second}).Draw(rt, "time before the faults"))
		for range faultsPerRun {
			f := rapid.SampledFrom(faults).Draw(rt, "fault")
			f.run(s, rt, rapid.IntRange(0, n-1).Draw(rt, "instance"))
			s.run(time.Duration(rapid.IntRange(0, 15_000).Draw(rt, "time after the fault")) * time.Millisecond)
		}
		s.heal()
		s.waitUntil(recoveryLimit, s.allLent)
	})
}

// recoveryLimit is how long shares may be missing after all faults have ended:
// the lag of the instance list, the terms of leases, confirmations and fences,
// and the turns of the claimants.
const recoveryLimit = 90 * time.Second

// resumeAll resumes all paused instances.
func (s *simulation) resumeAll() {
	for _, n := range s.nodes {
		if n.paused {
			s.resume(n)
		}
	}
}

// heal ends all faults.
func (s *simulation) heal() {
	clear(s.cut)
	s.lossRate = 0
	s.storeDown = false
	s.storeLossRate = 0
	s.storeMaxDelay = 0
	s.resumeAll()
	s.announceMembers()
}

var _ = fmt.Sprint
