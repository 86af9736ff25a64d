package revision_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionmux/pkg/revision"
)

const machineInstances = 6

// init fixes the seed; -rapid.seed on the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// machine runs a small simulated fleet through random faults of the network, the store
// and the instances.
type machine struct {
	*simulation
	cuts map[[2]int]bool
}

func newMachine(seed uint64) *machine {
	m := &machine{
		simulation: newSimulation(machineInstances, seed),
		cuts:       map[[2]int]bool{},
	}
	m.isCut = func(from, to int) bool { return m.cuts[[2]int{from, to}] }
	return m
}

func drawIndex(t *rapid.T) int {
	return rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
}

func drawDuration(t *rapid.T, maxMilliseconds int) time.Duration {
	return time.Duration(rapid.IntRange(1, maxMilliseconds).Draw(t, "ms")) * time.Millisecond
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if m.violation != "" {
				t.Fatal(m.violation)
			}
		},
		"run":  func(t *rapid.T) { m.run(drawDuration(t, 3000)) },
		"edit": func(t *rapid.T) { m.edit(rapid.SampledFrom([]int{0, 10, 200_000}).Draw(t, "size")) },
		"cut": func(t *rapid.T) {
			m.cuts[[2]int{drawIndex(t), drawIndex(t)}] = true
			m.after(membershipDelay, m.updateMembers)
		},
		"heal": func(*rapid.T) {
			clear(m.cuts)
			m.after(membershipDelay, m.updateMembers)
		},
		"lose": func(t *rapid.T) {
			m.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "loss")
			m.duplicateRate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "double")
		},
		"store": func(t *rapid.T) {
			m.store.down = rapid.Bool().Draw(t, "down")
			m.store.lossRate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lost")
			m.store.latency = rapid.SampledFrom([]time.Duration{0, time.Second, 5 * time.Second}).Draw(t, "slow")
		},
		"cut from the store": func(t *rapid.T) {
			m.nodes[drawIndex(t)].storeUnreachable = rapid.Bool().Draw(t, "cut")
		},
		"pause": func(t *rapid.T) { m.nodes[drawIndex(t)].pausedUntil = m.now + drawDuration(t, 9000) },
		"restart": func(t *rapid.T) {
			m.start(drawIndex(t))
			m.updateMembers()
		},
		"restart all": func(*rapid.T) {
			for i := range machineInstances {
				m.start(i)
			}
			m.updateMembers()
		},
		"go back": func(t *rapid.T) {
			// The store loses the head and gets it back later. Edits in between
			// would fork the history, so there are none.
			kept := m.store.entries[revision.HeadKey]
			delete(m.store.entries, revision.HeadKey)
			m.run(drawDuration(t, 3000))
			if kept.Version != 0 {
				m.store.entries[revision.HeadKey] = kept
			}
		},
		"lie": func(t *rapid.T) {
			m.handle(m.nodes[drawIndex(t)], revision.NoticeReceived{
				From: addressOf(drawIndex(t)),
				Notice: revision.Notice{
					Number: rapid.Uint64Range(1, 20).Draw(t, "number"),
					Check:  rapid.Uint64().Draw(t, "check"),
				},
			})
		},
	}
}

// TestMachine runs random faults and edits. At no time may an instance go back to an
// older revision or put one in force that was never accepted. After each run all faults
// end, and the newest accepted revision must come into force everywhere.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.Uint64().Draw(t, "seed"))
		t.Repeat(m.actions())
		clear(m.cuts)
		m.lossRate, m.duplicateRate = 0, 0
		m.store.down, m.store.lossRate, m.store.latency = false, 0, 0
		for _, n := range m.nodes {
			n.storeUnreachable = false
			n.pausedUntil = 0
		}
		m.updateMembers()
		number := m.edit(10)
		if _, ok := m.runUntil(maxDelay, m.isInForce(number)); !ok {
			t.Fatal("the revision isn't in force in time after the faults")
		}
		if m.violation != "" {
			t.Fatal(m.violation)
		}
	})
}
