package revision_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionmux/pkg/revision"
)

const faultyFleetSize = 6

// init fixes the seed; -rapid.seed on the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// faultyFleet runs a small simulated fleet through random faults of the network, the store
// and the instances.
type faultyFleet struct {
	*simulation
	cuts map[[2]int]bool
}

func newFaultyFleet(seed uint64) *faultyFleet {
	f := &faultyFleet{
		simulation: newSimulation(faultyFleetSize, seed),
		cuts:       map[[2]int]bool{},
	}
	f.isCut = func(from, to int) bool { return f.cuts[[2]int{from, to}] }
	return f
}

func drawIndex(t *rapid.T) int {
	return rapid.IntRange(0, faultyFleetSize-1).Draw(t, "instance")
}

func drawDuration(t *rapid.T, maxMilliseconds int) time.Duration {
	return time.Duration(rapid.IntRange(1, maxMilliseconds).Draw(t, "ms")) * time.Millisecond
}

func (f *faultyFleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if f.violation != "" {
				t.Fatal(f.violation)
			}
		},
		"run":  func(t *rapid.T) { f.run(drawDuration(t, 3000)) },
		"edit": func(t *rapid.T) { f.edit(rapid.SampledFrom([]int{0, 10, 200_000}).Draw(t, "size")) },
		"cut": func(t *rapid.T) {
			f.cuts[[2]int{drawIndex(t), drawIndex(t)}] = true
			f.after(membershipDelay, f.updateMembers)
		},
		// End all cuts.
		"heal": func(*rapid.T) {
			clear(f.cuts)
			f.after(membershipDelay, f.updateMembers)
		},
		// Change how many messages the network loses and duplicates.
		"lose": func(t *rapid.T) {
			f.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "loss")
			f.duplicateRate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "double")
		},
		// Change the store's availability, lost answers and latency.
		"store": func(t *rapid.T) {
			f.store.down = rapid.Bool().Draw(t, "down")
			f.store.lossRate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lost")
			f.store.latency = rapid.SampledFrom([]time.Duration{0, time.Second, 5 * time.Second}).Draw(t, "slow")
		},
		"cut from the store": func(t *rapid.T) {
			f.nodes[drawIndex(t)].storeUnreachable = rapid.Bool().Draw(t, "cut")
		},
		"pause": func(t *rapid.T) { f.nodes[drawIndex(t)].pausedUntil = f.now + drawDuration(t, 9000) },
		"restart": func(t *rapid.T) {
			f.start(drawIndex(t))
			f.updateMembers()
		},
		"restart all": func(*rapid.T) {
			for i := range faultyFleetSize {
				f.start(i)
			}
			f.updateMembers()
		},
		"go back": func(t *rapid.T) {
			// The store loses the head and gets it back later. Edits in between
			// would fork the history, so there are none.
			kept := f.store.entries[revision.HeadKey]
			delete(f.store.entries, revision.HeadKey)
			f.run(drawDuration(t, 3000))
			if kept.Version != 0 {
				f.store.entries[revision.HeadKey] = kept
			}
		},
		// Deliver a notice of a revision that was probably never accepted.
		"lie": func(t *rapid.T) {
			f.handle(f.nodes[drawIndex(t)], revision.NoticeReceived{
				From: addressOf(drawIndex(t)),
				Notice: revision.Notice{
					Number: rapid.Uint64Range(1, 20).Draw(t, "number"),
					Check:  rapid.Uint64().Draw(t, "check"),
				},
			})
		},
	}
}

// TestRandomFaultsKeepInvariants runs random faults and edits. At no time may an
// instance go back to an older revision or put one in force that was never accepted.
// After each run all faults end, and the newest accepted revision must come into force
// everywhere.
func TestRandomFaultsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFaultyFleet(rapid.Uint64().Draw(t, "seed"))
		t.Repeat(f.actions())
		clear(f.cuts)
		f.lossRate, f.duplicateRate = 0, 0
		f.store.down, f.store.lossRate, f.store.latency = false, 0, 0
		for _, n := range f.nodes {
			n.storeUnreachable = false
			n.pausedUntil = 0
		}
		f.updateMembers()
		number := f.edit(10)
		if _, ok := f.runUntil(maxDelay, f.isInForce(number)); !ok {
			t.Fatalf("revision %d isn't in force on all instances %v after the faults ended", number, maxDelay)
		}
		if f.violation != "" {
			t.Fatal(f.violation)
		}
	})
}
