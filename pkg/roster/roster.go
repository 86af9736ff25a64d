// Package roster tells which instance does what: reads the store for its zone,
// keeps an organisation's bucket or a service's budget, passes news on.
//
// Nothing is elected. Each instance ranks the members that it knows, and the
// first in rank that isn't known to be silent has the task. Two instances may
// disagree for a while; then a task is done twice, which costs more but breaks
// nothing.
//
// # Usage
//
//	r := roster.New(self, members)
//	if r.Readers()[0].Address == self.Address {
//		// Read the store for the zone.
//	}
//	keeper := r.Keeper("organisation", name, silent)
package roster

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/meter"
)

// Roster is the fleet as one instance knows it. It is never changed.
type Roster struct {
	self instance.Info
	// members holds all in the order of their addresses, and zones those of each
	// zone.
	members []instance.Info
	zones   map[string][]instance.Info
}

// New returns the roster of the members. Self is one only if it is among them: to
// the others an instance that isn't registered is none, and they go by another
// for what it would take on. Without any member in its zone it does all itself.
func New(self instance.Info, members []instance.Info) *Roster {
	r := &Roster{
		self:  self,
		zones: map[string][]instance.Info{},
	}
	r.members = slices.Clone(members)
	if !slices.ContainsFunc(members, func(m instance.Info) bool { return m.Zone == self.Zone }) {
		r.members = append(r.members, self)
	}
	slices.SortFunc(r.members, func(a, b instance.Info) int {
		return strings.Compare(string(a.Address), string(b.Address))
	})
	for _, m := range r.members {
		r.zones[m.Zone] = append(r.zones[m.Zone], m)
	}
	return r
}

// Len is the number of members.
func (r *Roster) Len() int { return len(r.members) }

// ZoneMembers returns the members of the instance's zone.
func (r *Roster) ZoneMembers() []instance.Info { return r.zones[r.self.Zone] }

// Zones is how the instances are spread, given the number of zones that there
// should be. Only members of the zone that are heard make up its part: others may
// be cut off with a part of the zone, and count there.
func (r *Roster) Zones(count int, isReachable func(instance.Address) bool) meter.Zones {
	reachable := 0
	for _, m := range r.ZoneMembers() {
		if m.Address == r.self.Address || isReachable(m.Address) {
			reachable++
		}
	}
	return meter.Zones{
		Fraction: float64(reachable) / float64(len(r.members)),
		Count:    max(count, len(r.zones)),
	}
}

// Readers are the members of the zone in the order in which they read the store.
func (r *Roster) Readers() []instance.Info {
	return instance.Rank(key("reader", r.self.Zone), r.ZoneMembers())
}

// ZoneKeeper is the member of the zone that keeps what has the kind and name,
// without those that are silent.
func (r *Roster) ZoneKeeper(kind, name string, silent func(instance.Address) bool) instance.Address {
	return highestRanked(key(kind, name), r.ZoneMembers(), silent)
}

// FleetKeeper is the member that keeps for the whole fleet what has the kind and
// name. In its own zone it is also the Keeper.
func (r *Roster) FleetKeeper(kind, name string) instance.Address {
	return highestRanked(key(kind, name), r.members, func(instance.Address) bool { return false })
}

// RemoteKeepers are the members of the other zones that keep what has the kind and
// name there, one of each zone.
func (r *Roster) RemoteKeepers(kind, name string, silent func(instance.Address) bool) []instance.Address {
	var list []instance.Address
	for zone, members := range r.zones {
		if zone == r.self.Zone {
			continue
		}
		if a := highestRanked(key(kind, name), members, silent); a != "" {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

func key(kind, name string) uint64 { return instance.Hash(kind, xxhash.Sum64String(name)) }

// highestRanked is the member with the highest score that isn't silent; the highest of
// all if all are.
func highestRanked(key uint64, members []instance.Info, silent func(instance.Address) bool) instance.Address {
	var best, highest instance.Address
	var bestScore, highestScore uint64
	for _, m := range members {
		score := instance.Score(key, m.Address)
		if highest == "" || score > highestScore {
			highest, highestScore = m.Address, score
		}
		if !silent(m.Address) && (best == "" || score > bestScore) {
			best, bestScore = m.Address, score
		}
	}
	if best == "" {
		return highest
	}
	return best
}
