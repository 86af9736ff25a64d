package target_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/target"
)

// harness drives an authority with the reports of one instance and keeps its effects.
type harness struct {
	now       time.Duration
	authority *target.Authority
	number    uint64
	decisions []target.Decided
	verdicts  target.Verdicts
	announced int
}

func newHarness(targets, floor int) *harness {
	return &harness{
		authority: target.NewAuthority(0, self, service(targets, floor), 0, target.Verdicts{}),
	}
}

func (h *harness) handle(e target.AuthorityEvent) {
	for _, effect := range h.authority.Handle(h.now, e) {
		switch effect := effect.(type) {
		case target.Decided:
			h.decisions = append(h.decisions, effect)
		case target.Announce:
			h.verdicts = effect.Verdicts
			h.announced++
		}
	}
}

func (h *harness) report(list ...target.TargetReport) {
	h.number++
	h.handle(target.Reported{From: self, Report: target.Report{Service: "catalogue", Number: h.number, Targets: list}})
}

// run simulates n seconds in which each target gets 20 requests a second from two
// organisations. The function fails decides which requests fail.
func (h *harness) run(n int, targets int, fails func(name string, i int) (target.Cell, bool)) {
	for range n * 10 {
		h.now += 100 * time.Millisecond
		var list []target.TargetReport
		for t := range targets {
			e := target.TargetReport{Target: service(targets, 0).Targets[t].Name}
			for i := range 2 {
				cell := target.Cell{Stratum: target.StratumOf([]string{"shop", "dealer"}[i], "sets"), Attempts: 1}
				if c, ok := fails(e.Target, i); ok {
					cell.Failures, cell.Crashes = c.Failures, c.Crashes
				} else {
					e.Latency.Add(20 * time.Millisecond)
				}
				e.Cells = append(e.Cells, cell)
			}
			list = append(list, e)
		}
		h.report(list...)
	}
}

func healthy(string, int) (target.Cell, bool) { return target.Cell{}, false }

func failing(names ...string) func(string, int) (target.Cell, bool) {
	return func(name string, _ int) (target.Cell, bool) {
		for _, n := range names {
			if n == name {
				return target.Cell{Failures: 1}, true
			}
		}
		return target.Cell{}, false
	}
}

// targetsDecided returns the targets of all decisions of one kind.
func (h *harness) targetsDecided(k target.DecisionKind) []string {
	var names []string
	for _, d := range h.decisions {
		if d.Kind == k {
			names = append(names, d.Target)
		}
	}
	return names
}

func TestAuthorityEjectsWithinTheFloorAndReinstates(t *testing.T) {
	is := is.New(t)
	h := newHarness(4, 75)
	h.run(5, 4, healthy)
	is.Equal(len(h.decisions), 0)
	h.run(3, 4, failing("c1", "c2"))
	is.Equal(len(h.targetsDecided(target.Ejected)), 2)
	is.Equal(len(h.targetsDecided(target.KeptByFloor)), 1) // the floor allows one of four
	is.Equal(len(h.verdicts.List), 1)
	out := h.verdicts.List[0].Target
	h.run(20, 4, healthy)
	is.Equal(len(h.verdicts.List), 0)
	is.True(len(h.targetsDecided(target.Returned)) >= 2)
	before := len(h.decisions)
	h.run(3, 4, failing(out))
	var again target.Decided
	for _, d := range h.decisions[before:] {
		if d.Kind == target.Ejected {
			again = d
		}
	}
	is.Equal(again.Target, out)
	is.Equal(again.MinEjectionTime, 5*time.Second) // longer after a return
}

// TestFloorSeldomExchangesEqualTargets guards against a floor that exchanges the target it
// keeps in use for an ejected one that fails as often: each exchange begins with a warm-up, in
// which no failing target gets the share of a target in use.
func TestFloorSeldomExchangesEqualTargets(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		h := newHarness(4, 50)
		h.run(5, 4, healthy)
		h.run(60, 4, func(name string, _ int) (target.Cell, bool) {
			return target.Cell{Failures: 1}, name != "c3" && random.Float64() < 0.8
		})
		is.Equal(len(h.targetsDecided(target.Ejected)), 3)
		is.True(len(h.targetsDecided(target.KeptByFloor)) <= 3) // at most two exchanges in a minute
		is.Equal(len(h.verdicts.List), 2)
	}
}

// TestFloorExchangesTargetThatFailsMoreOften guards against a target that stays in use although
// it fails twice as often as the ejected ones.
func TestFloorExchangesTargetThatFailsMoreOften(t *testing.T) {
	is := is.New(t)
	requests := 0
	worst := ""
	fails := func(name string, i int) (target.Cell, bool) {
		requests++
		return target.Cell{Failures: 1}, name == worst || name != "c3" && requests/8%2 == i
	}
	h := newHarness(4, 50)
	h.run(5, 4, healthy)
	h.run(30, 4, fails)
	kept := h.targetsDecided(target.KeptByFloor)
	worst = kept[len(kept)-1]
	h.run(15, 4, fails)
	is.True(slices.ContainsFunc(h.verdicts.List, func(v target.Verdict) bool { return v.Target == worst }))
}

func TestAuthorityEjectsNoTargetFor(t *testing.T) {
	tests := []struct {
		name  string
		fails func(name string, i int) (target.Cell, bool)
	}{
		{name: "a service that fails as a whole", fails: func(string, int) (target.Cell, bool) { return target.Cell{Failures: 1}, true }},
		{name: "one organisation's failures everywhere", fails: func(_ string, i int) (target.Cell, bool) { return target.Cell{Failures: 1}, i == 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(4, 50)
			h.run(5, 4, healthy)
			h.run(10, 4, tt.fails)
			h.run(10, 4, healthy)
			is.Equal(len(h.targetsDecided(target.Ejected)), 0)
		})
	}
}

func TestCrashOfManyRequestsCountsOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(4, 50)
	h.run(5, 4, healthy)
	// Twice, a request that crashes the target ends six requests of both
	// organisations.
	for range 2 {
		var e target.TargetReport
		e.Target = "c1"
		for i := range 2 {
			e.Cells = append(e.Cells, target.Cell{Stratum: target.StratumOf([]string{"shop", "dealer"}[i], "sets"), Attempts: 3, Failures: 3, Crashes: 3})
		}
		h.report(e)
		h.run(1, 4, healthy)
	}
	is.Equal(len(h.targetsDecided(target.Ejected)), 0)
}

func TestOneOrganisationNeedsTwiceTheEvidence(t *testing.T) {
	is := is.New(t)
	ejected := func(organisations int) time.Duration {
		h := newHarness(4, 50)
		h.run(5, 4, healthy)
		begin := h.now
		for len(h.targetsDecided(target.Ejected)) == 0 {
			h.now += 100 * time.Millisecond
			e := target.TargetReport{Target: "c1"}
			name := []string{"shop", "dealer"}[h.number%uint64(organisations)]
			e.Cells = []target.Cell{{Stratum: target.StratumOf(name, "sets"), Attempts: 1, Failures: 1}}
			h.report(e)
		}
		return h.now - begin
	}
	is.True(ejected(1) >= ejected(2)*3/2)
}

func TestVerdictsAreRenewedAndInherited(t *testing.T) {
	is := is.New(t)
	h := newHarness(4, 50)
	h.run(5, 4, healthy)
	h.run(3, 4, failing("c1"))
	is.Equal(len(h.verdicts.List), 1)
	before, last := h.announced, h.verdicts
	view := target.NewView(service(4, 50), 0)
	view.Handle(h.now, target.Announced{Verdicts: last})
	for range 300 {
		h.now += 100 * time.Millisecond
		sent := h.announced
		h.handle(target.Tick{})
		if h.announced > sent {
			view.Handle(h.now, target.Announced{Verdicts: h.verdicts})
		}
		is.Equal(view.Targets(h.now)[1].Weight, 0.0) // doesn't expire while renewed
	}
	is.True(h.announced-before <= 10) // but isn't sent at every tick
	known, ok := view.Verdicts(h.now)
	is.True(ok)
	next := &harness{
		now:       h.now,
		authority: target.NewAuthority(h.now, instance.ID{Address: "10.0.0.0:7000", Incarnation: 1}, service(4, 50), 0, known),
	}
	next.handle(target.Tick{})
	is.Equal(next.verdicts.List[0].Target, "c1") // the next authority continues the ejection
	view.Handle(next.now, target.Announced{Verdicts: next.verdicts})
	known, _ = view.Verdicts(next.now)
	is.Equal(known.Authority, next.verdicts.Authority) // and replaces the previous authority
	h.number++
	h.now += 10 * time.Second
	h.handle(target.Tick{})
	is.True(!view.Handle(h.now, target.Announced{Verdicts: h.verdicts})) // verdicts of the previous authority are ignored
}

func TestRepeatedReportsCountOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(4, 50)
	h.run(5, 4, healthy)
	e := target.TargetReport{Target: "c1", Cells: []target.Cell{
		{Stratum: target.StratumOf("shop", "sets"), Attempts: 1, Failures: 1},
		{Stratum: target.StratumOf("dealer", "sets"), Attempts: 1, Failures: 1},
	}}
	for range 50 {
		h.report(e)
		h.number-- // the network duplicates it
		h.now += 100 * time.Millisecond
	}
	is.Equal(len(h.targetsDecided(target.Ejected)), 0)
}

func BenchmarkAuthorityReport(b *testing.B) {
	h := newHarness(14, 50)
	h.run(30, 14, healthy)
	e := target.TargetReport{Target: "c1", Cells: []target.Cell{{Stratum: target.StratumOf("shop", "sets"), Attempts: 1}}}
	e.Latency.Add(20 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		h.now += 10 * time.Millisecond
		h.report(e)
	}
}
