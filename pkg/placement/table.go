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

// maxDraws is how often drawWeighted draws again when it hits a target of reduced
// weight.
const maxDraws = 4

// Settings holds what a Table is built from.
type Settings struct {
	// Service is the service's name.
	Service string
	// Targets lists the service's targets with the weight of each.
	Targets []target.WeightedTarget
	// Instance is this instance's address, which decides the subset of targets.
	Instance instance.Address
	// Zone is this instance's availability zone.
	Zone string
	// Instances is the number of instances alive, this one included.
	Instances int
}

// Table is a snapshot of one service's targets for one instance. It is safe for
// concurrent use. The zero value has no targets.
type Table struct {
	// sameZone and otherZones hold the targets that receive work, by whether they are
	// in this instance's zone. sampled holds the targets that receive a fraction of
	// the repeatable requests so that the instance can observe their outcomes; a
	// target may be both in sampled and in one of the others.
	sameZone   []*entry
	otherZones []*entry
	sampled    []*entry
	// loads holds the counters by the target's address.
	loads map[string]*load
}

// entry is one target of a table.
type entry struct {
	target         document.Target
	load           *load
	weight         float64
	sampleFraction float64
	// maxInFlight is the maximum of requests in flight, and also of connections.
	maxInFlight int
	watched     bool
}

// Request holds the properties of a request that decide where it may be sent.
type Request struct {
	// Repeatable is set if the request may be executed more than once. Only such
	// requests are sent to sampled targets; others avoid watched targets while
	// another target has a free slot.
	Repeatable bool
	// Exclude names up to two targets that must not be chosen; an empty name
	// excludes nothing.
	Exclude [2]string
	// Now is the time, on the clock of Pick.Rest.
	Now time.Duration
}

// Pick is a chosen target on which one request in flight is counted. Done must be
// called on it exactly once. The zero value has no target; Target and Done panic on it.
type Pick struct {
	entry *entry
	// Sampled is set if the request was sent in order to observe the target.
	Sampled bool
	// Spilled is set if the target is in another zone although the request isn't
	// sampled.
	Spilled bool
}

// NewTable builds a table. Targets that previous contains keep their counters;
// previous may be nil.
func NewTable(previous *Table, s Settings) *Table {
	t := &Table{
		loads: map[string]*load{},
	}
	count := 0
	for _, w := range s.Targets {
		if receivesWork(w) {
			count++
		}
	}
	for _, w := range subsetTargets(s, count) {
		t.addTarget(previous, s, w, count)
	}
	return t
}

// addTarget adds one target. The parameter count is the number of the service's
// targets that receive work.
func (t *Table) addTarget(previous *Table, s Settings, w target.WeightedTarget, count int) {
	l := newLoad()
	if previous != nil && previous.loads[w.Target.Address] != nil {
		l = previous.loads[w.Target.Address]
	}
	t.loads[w.Target.Address] = l
	_, connections := Plan(s.Instances, count, w.Target.Connections, w.Target.Slots)
	e := &entry{
		target:         w.Target,
		load:           l,
		weight:         min(w.Weight, 1),
		sampleFraction: w.SampleFraction,
		maxInFlight:    connections,
		watched:        w.Watched,
	}
	if e.sampleFraction > 0 && !w.Target.Leaving {
		t.sampled = append(t.sampled, e)
	}
	if !receivesWork(w) {
		return
	}
	if w.Target.Zone == s.Zone {
		t.sameZone = append(t.sameZone, e)
	} else {
		t.otherZones = append(t.otherZones, e)
	}
}

// Pick chooses a target with a free slot and counts one more request in flight on
// it. It reports false if there is none, so that the request has to wait. A
// request that isn't repeatable is sent to a watched target only if no other has
// a free slot.
func (t *Table) Pick(r *rand.Rand, q Request) (Pick, bool) {
	if q.Repeatable {
		if p, ok := t.pickSampled(r, q); ok {
			return p, true
		}
	}
	for _, allowWatched := range [...]bool{false, true} {
		if allowWatched && q.Repeatable {
			break
		}
		if e := pickFrom(t.sameZone, r, q, allowWatched); e != nil {
			return Pick{
				entry: e,
			}, true
		}
		if e := pickFrom(t.otherZones, r, q, allowWatched); e != nil {
			return Pick{
				entry:   e,
				Spilled: true,
			}, true
		}
	}
	return Pick{}, false
}

// pickSampled picks a sampled target for a random fraction of the requests, which
// for each target is its sample fraction. It reports false for the other requests.
func (t *Table) pickSampled(r *rand.Rand, q Request) (Pick, bool) {
	if len(t.sampled) == 0 {
		return Pick{}, false
	}
	draw := r.Float64()
	for _, e := range t.sampled {
		if draw >= e.sampleFraction {
			draw -= e.sampleFraction
			continue
		}
		if !q.excludes(e) && !e.load.rests(q.Now) && e.load.tryAcquire(e.maxInFlight) {
			return Pick{
				entry:   e,
				Sampled: true,
			}, true
		}
		break
	}
	return Pick{}, false
}

// pickFrom picks the better of two random entries or, if neither has a free slot,
// any entry that has one. It returns nil if none has. Watched targets are
// allowed for requests that aren't repeatable only if allowWatched is set.
func pickFrom(entries []*entry, r *rand.Rand, q Request, allowWatched bool) *entry {
	if len(entries) == 0 {
		return nil
	}
	a, b := drawWeighted(entries, r), drawWeighted(entries, r)
	if b.load.cost() < a.load.cost() {
		a, b = b, a
	}
	if q.allows(a, allowWatched) && a.load.tryAcquire(a.maxInFlight) {
		return a
	}
	if q.allows(b, allowWatched) && b.load.tryAcquire(b.maxInFlight) {
		return b
	}
	start := r.IntN(len(entries))
	for i := range entries {
		e := entries[(start+i)%len(entries)]
		if q.allows(e, allowWatched) && e.load.tryAcquire(e.maxInFlight) {
			return e
		}
	}
	return nil
}

// drawWeighted returns a random entry, roughly in proportion to the weights.
func drawWeighted(entries []*entry, r *rand.Rand) *entry {
	e := entries[r.IntN(len(entries))]
	for range maxDraws {
		if e.weight >= 1 || r.Float64() < e.weight {
			return e
		}
		e = entries[r.IntN(len(entries))]
	}
	return e
}

// allows reports whether the request may be sent to the entry.
func (q Request) allows(e *entry, allowWatched bool) bool {
	if e.watched && !q.Repeatable && !allowWatched {
		return false
	}
	return !q.excludes(e) && !e.load.rests(q.Now)
}

func (q Request) excludes(e *entry) bool {
	name := e.target.Name
	return name == q.Exclude[0] || name == q.Exclude[1]
}

// Target returns the chosen target.
func (p Pick) Target() document.Target {
	return p.entry.target
}

// Done ends the attempt. The latency is the time from the first byte sent to the
// end of the answer.
func (p Pick) Done(outcome target.Outcome, latency time.Duration) {
	p.entry.load.release(outcome, latency, p.entry.maxInFlight)
}

// Rest records that the target wants no requests from this instance until a time.
func (p Pick) Rest(until time.Duration) {
	for old := p.entry.load.restUntil.Load(); int64(until) > old; old = p.entry.load.restUntil.Load() {
		if p.entry.load.restUntil.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// MaySend reports whether the target still takes the request.
func (p Pick) MaySend(now time.Duration) bool { return !p.entry.load.rests(now) }

// Wait returns how long until the first target that receives work ends its rest, if all of
// them rest, and zero if not.
func (t *Table) Wait(now time.Duration) time.Duration {
	least := time.Duration(0)
	for _, entries := range [][]*entry{t.sameZone, t.otherZones} {
		for _, e := range entries {
			rest := time.Duration(e.load.restUntil.Load()) - now
			if rest <= 0 {
				return 0
			}
			if least == 0 || rest < least {
				least = rest
			}
		}
	}
	return least
}

// FreeSlots returns how many more requests this instance may have in flight now,
// over all targets that receive work and don't rest.
func (t *Table) FreeSlots(now time.Duration) int {
	free := 0
	for _, entries := range [][]*entry{t.sameZone, t.otherZones} {
		for _, e := range entries {
			if e.load.rests(now) {
				continue
			}
			limit := min(int64(e.maxInFlight), int64(loadFloat(&e.load.limit)))
			free += int(max(0, limit-e.load.inFlight.Load()))
		}
	}
	return free
}

// ConnectionLimits returns, ordered by address, the targets that this instance may
// connect to, each with its maximum number of connections.
func (t *Table) ConnectionLimits() []ConnectionLimit {
	var list []ConnectionLimit
	for _, entries := range [][]*entry{t.sameZone, t.otherZones, t.sampled} {
		for _, e := range entries {
			list = append(list, ConnectionLimit{
				Address: e.target.Address,
				Max:     e.maxInFlight,
			})
		}
	}
	slices.SortFunc(list, func(a, b ConnectionLimit) int {
		return cmp.Compare(a.Address, b.Address)
	})
	return slices.Compact(list)
}

// ConnectionLimit is the maximum number of connections to one target.
type ConnectionLimit struct {
	Address string
	Max     int
}

// subsetTargets returns the targets that this instance connects to, chosen by
// rendezvous hashing. The parameter count is the number of targets that receive
// work; Plan counts only these, because targets further down the ranking take the
// places of the others.
func subsetTargets(s Settings, count int) []target.WeightedTarget {
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
	for _, w := range ranked {
		n, _ := Plan(s.Instances, count, w.Target.Connections, w.Target.Slots)
		size = min(size, n)
	}
	return selectSubset(ranked, size)
}

// selectSubset returns the first size targets that receive work, and also the
// sampled targets that are among the first size of all.
func selectSubset(ranked []target.WeightedTarget, size int) []target.WeightedTarget {
	var kept []target.WeightedTarget
	serving := 0
	for i, w := range ranked {
		if receivesWork(w) && serving < size {
			serving++
			kept = append(kept, w)
		} else if !receivesWork(w) && w.SampleFraction > 0 && i < size {
			kept = append(kept, w)
		}
	}
	return kept
}

// receivesWork reports whether the target gets a regular share of new requests.
func receivesWork(w target.WeightedTarget) bool {
	return w.Weight > 0 && !w.Target.Leaving
}
