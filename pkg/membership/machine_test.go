package membership_test

import (
	"cmp"
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
)

// faultMachine applies random faults to a small fleet.
type faultMachine struct {
	*fleet
	cuts map[[2]instance.Address]bool
	// latestSeen is the highest incarnation of the second address that the
	// first address has shown in its view.
	latestSeen map[[2]instance.Address]uint64
}

const machineSize = 7

// init fixes the seed; -rapid.seed on the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

func newFaultMachine(seed uint64) *faultMachine {
	m := &faultMachine{
		fleet:      newFleet(seed),
		cuts:       map[[2]instance.Address]bool{},
		latestSeen: map[[2]instance.Address]uint64{},
	}
	m.cut = func(from, to instance.Address) bool { return m.cuts[[2]instance.Address{from, to}] }
	m.startAll(machineSize)
	return m
}

// drawNode returns a random node.
func (m *faultMachine) drawNode(t *rapid.T) *node {
	return m.node(rapid.IntRange(0, machineSize-1).Draw(t, "instance"))
}

func (m *faultMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) { m.checkViews(t) },
		"run": func(t *rapid.T) {
			m.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"cut": func(t *rapid.T) {
			m.cuts[[2]instance.Address{m.drawNode(t).id.Address, m.drawNode(t).id.Address}] = true
		},
		"heal": func(*rapid.T) { clear(m.cuts) },
		"lose": func(t *rapid.T) { m.loss = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "loss") },
		"double": func(t *rapid.T) {
			m.duplicate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "double")
		},
		"pause": func(t *rapid.T) {
			m.drawNode(t).pausedUntil = m.now + time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms"))*time.Millisecond
		},
		"restart": func(t *rapid.T) {
			n := m.drawNode(t)
			n.dead = true
			m.start(slices.Index(m.addresses, n.id.Address), n.id.Incarnation+1)
			for k := range m.latestSeen {
				if k[0] == n.id.Address {
					delete(m.latestSeen, k)
				}
			}
		},
		"kill":  func(t *rapid.T) { m.drawNode(t).dead = true },
		"leave": func(t *rapid.T) { m.handle(m.drawNode(t), membership.Leave{}) },
		"stop": func(t *rapid.T) {
			n := m.drawNode(t)
			if n.dead || n.pausedUntil > m.now {
				return
			}
			m.handle(n, membership.Stop{})
			n.dead = true
		},
	}
}

// checkViews checks what must be true at every moment: each running node is in
// its own view, and views are sorted.
func (m *faultMachine) checkViews(t *rapid.T) {
	for _, n := range m.running() {
		if !n.sees(n.id) {
			t.Fatalf("%v isn't in its own view", n.id)
		}
		if !slices.IsSortedFunc(n.view, func(a, b instance.Info) int { return cmp.Compare(a.Address, b.Address) }) {
			t.Fatal("view isn't sorted")
		}
		m.checkNoReturn(t, n)
	}
}

// checkNoReturn checks that no view returns to an earlier run, or to a run that
// the node saw leave.
func (m *faultMachine) checkNoReturn(t *rapid.T, n *node) {
	at := n.id.Address
	for _, i := range n.view {
		key := [2]instance.Address{at, i.Address}
		if i.Incarnation < m.latestSeen[key] {
			t.Fatalf("the view of %v returned to the earlier run %v", n.id, i.ID)
		}
		m.latestSeen[key] = i.Incarnation
		if n.departed[i.ID] {
			t.Fatalf("the view of %v contains %v, which has left", n.id, i.ID)
		}
	}
}

// TestViewsConvergeAfterRandomFaults applies random faults, then ends all of
// them. All running instances must see exactly each other soon after.
func TestViewsConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFaultMachine(rapid.Uint64().Draw(t, "seed"))
		m.run(2 * time.Second)
		t.Repeat(m.actions())
		clear(m.cuts)
		m.loss, m.duplicate = 0, 0
		if _, ok := m.until(30*time.Second, m.converged); !ok {
			t.Fatal("views still differ 30 s after the end of all faults")
		}
		for _, n := range m.running() {
			if n.superseded {
				t.Fatalf("%v was superseded although no later run exists", n.id)
			}
		}
	})
}
