package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/target"
)

// draws bounds how often Pick draws again for a target that warms up.
const draws = 4

// Settings is what a Table is built from.
type Settings struct {
	// Service is the service's name.
	Service string
	// Targets lists the service's targets with the work each may get.
	Targets []target.WeightedTarget
	// Instance is this instance; it decides the subset.
	Instance instance.Address
	// Zone is this instance's zone.
	Zone string
	// Instances is the number of instances alive, this one included.
	Instances int
}

// Table is a snapshot of one service for one instance. It is safe for
// concurrent use. The zero value has no targets.
type Table struct {
	// near and far hold the entries in this instance's zone and in others.
	near    []*entry
	far     []*entry
	sampled []*entry
	loads   map[string]*load
}

// entry is one target of a table.
type entry struct {
	target    document.Target
	load      *load
	weight    float64
	sample    float64
	ceiling   int
	suspected bool
}

// Request is what a choice needs to know about a request.
type Request struct {
	// Repeatable requests may be sent to targets that gather evidence.
	Repeatable bool
	// Exclude names up to two targets that are not to be chosen; empty means
	// none.
	Exclude [2]string
}

// Pick is a target chosen, with one place in flight taken there. It must be
// ended by one call of Done. The zero value is no choice.
type Pick struct {
	entry *entry
	// Sampled is set if the request was sent there to gather evidence.
	Sampled bool
	// Spilled is set if the target is in another zone.
	Spilled bool
}

// NewTable builds a table. The counters of targets that previous has are taken
// over; previous may be nil.
func NewTable(previous *Table, s Settings) *Table {
	t := &Table{
		loads: map[string]*load{},
	}
	count := 0
	for _, m := range s.Targets {
		if works(m) {
			count++
		}
	}
	for _, m := range subset(s, count) {
		t.add(previous, s, m, count)
	}
	return t
}

// add enters one target of a service in which count targets work.
func (t *Table) add(previous *Table, s Settings, m target.WeightedTarget, count int) {
	l := newLoad()
	if previous != nil && previous.loads[m.Target.Address] != nil {
		l = previous.loads[m.Target.Address]
	}
	t.loads[m.Target.Address] = l
	_, each := Plan(s.Instances, count, m.Target.Connections, m.Target.Slots)
	e := &entry{
		target:    m.Target,
		load:      l,
		weight:    min(m.Weight, 1),
		sample:    m.SampleFraction,
		ceiling:   each,
		suspected: m.Watched,
	}
	if e.sample > 0 && !m.Target.Leaving {
		t.sampled = append(t.sampled, e)
	}
	if !works(m) {
		return
	}
	if m.Target.Zone == s.Zone {
		t.near = append(t.near, e)
	} else {
		t.far = append(t.far, e)
	}
}

// Pick chooses a target with room. It reports false if there is none, and the
// request has to wait.
func (t *Table) Pick(r *rand.Rand, q Request) (Pick, bool) {
	if q.Repeatable {
		if p, ok := t.pickSampled(r, q); ok {
			return p, true
		}
	}
	for _, suspects := range [...]bool{false, true} {
		if suspects && q.Repeatable {
			break
		}
		if e := pickFrom(t.near, r, q, suspects); e != nil {
			return Pick{
				entry: e,
			}, true
		}
		if e := pickFrom(t.far, r, q, suspects); e != nil {
			return Pick{
				entry:   e,
				Spilled: true,
			}, true
		}
	}
	return Pick{}, false
}

// pickSampled sends a fraction of the requests to targets that need evidence.
func (t *Table) pickSampled(r *rand.Rand, q Request) (Pick, bool) {
	if len(t.sampled) == 0 {
		return Pick{}, false
	}
	draw := r.Float64()
	for _, e := range t.sampled {
		if draw >= e.sample {
			draw -= e.sample
			continue
		}
		if !q.excludes(e) && e.load.enter(e.ceiling) {
			return Pick{
				entry:   e,
				Sampled: true,
			}, true
		}
		break
	}
	return Pick{}, false
}

// pickFrom takes the better of two random entries, or, if both are full, any
// entry with room.
func pickFrom(entries []*entry, r *rand.Rand, q Request, suspects bool) *entry {
	if len(entries) == 0 {
		return nil
	}
	a, b := draw(entries, r), draw(entries, r)
	if b.load.cost() < a.load.cost() {
		a, b = b, a
	}
	if q.allows(a, suspects) && a.load.enter(a.ceiling) {
		return a
	}
	if q.allows(b, suspects) && b.load.enter(b.ceiling) {
		return b
	}
	start := r.IntN(len(entries))
	for i := range entries {
		e := entries[(start+i)%len(entries)]
		if q.allows(e, suspects) && e.load.enter(e.ceiling) {
			return e
		}
	}
	return nil
}

// draw takes an entry at random, in proportion to the weights.
func draw(entries []*entry, r *rand.Rand) *entry {
	e := entries[r.IntN(len(entries))]
	for range draws {
		if e.weight >= 1 || r.Float64() < e.weight {
			return e
		}
		e = entries[r.IntN(len(entries))]
	}
	return e
}

// allows tells whether the request may go to the entry.
func (q Request) allows(e *entry, suspects bool) bool {
	if e.suspected && !q.Repeatable && !suspects {
		return false
	}
	return !q.excludes(e)
}

func (q Request) excludes(e *entry) bool {
	name := e.target.Name
	return name == q.Exclude[0] || name == q.Exclude[1]
}

// Target returns the target chosen.
func (p Pick) Target() document.Target {
	return p.entry.target
}

// Done ends the attempt. Latency is from the first byte sent to the end of the
// answer.
func (p Pick) Done(outcome target.Outcome, latency time.Duration) {
	p.entry.load.leave(outcome, latency, p.entry.ceiling)
}

// FreeSlots returns how many more requests this instance may have in flight now,
// over all targets that serve.
func (t *Table) FreeSlots() int {
	room := 0
	for _, entries := range [][]*entry{t.near, t.far} {
		for _, e := range entries {
			limit := min(int64(e.ceiling), int64(value(&e.load.limit)))
			room += int(max(0, limit-e.load.inFlight.Load()))
		}
	}
	return room
}

// ConnectionLimits lists the targets that this instance may keep connections to, in
// order, with the most connections to each.
func (t *Table) ConnectionLimits() []ConnectionLimit {
	var list []ConnectionLimit
	for _, entries := range [][]*entry{t.near, t.far, t.sampled} {
		for _, e := range entries {
			list = append(list, ConnectionLimit{
				Address: e.target.Address,
				Max:     e.ceiling,
			})
		}
	}
	slices.SortFunc(list, func(a, b ConnectionLimit) int {
		return cmp.Compare(a.Address, b.Address)
	})
	return slices.Compact(list)
}

// ConnectionLimit bounds the connections to one target.
type ConnectionLimit struct {
	Address string
	Max     int
}

// subset keeps the targets that this instance reaches, by rendezvous rank. Plan
// counts only those that work, because the others' places are filled.
func subset(s Settings, count int) []target.WeightedTarget {
	ranked := slices.Clone(s.Targets)
	key := xxhash.Sum64String(s.Service) ^ xxhash.Sum64String(string(s.Instance))
	slices.SortFunc(ranked, func(a, b target.WeightedTarget) int {
		x := instance.Score(key, instance.Address(a.Target.Address))
		y := instance.Score(key, instance.Address(b.Target.Address))
		if c := cmp.Compare(y, x); c != 0 {
			return c
		}
		return cmp.Compare(a.Target.Address, b.Target.Address)
	})
	size := len(ranked)
	for _, m := range ranked {
		n, _ := Plan(s.Instances, count, m.Target.Connections, m.Target.Slots)
		size = min(size, n)
	}
	return working(ranked, size)
}

// working keeps the first size targets that get work, and with them the
// sampled ones that rank among the first size.
func working(ranked []target.WeightedTarget, size int) []target.WeightedTarget {
	var kept []target.WeightedTarget
	serving := 0
	for i, m := range ranked {
		if works(m) && serving < size {
			serving++
			kept = append(kept, m)
		} else if !works(m) && m.SampleFraction > 0 && i < size {
			kept = append(kept, m)
		}
	}
	return kept
}

// works tells whether a target gets its share of new work.
func works(m target.WeightedTarget) bool {
	return m.Weight > 0 && !m.Target.Leaving
}
