// Package roster assigns tasks to instances: keeping an organisation's token bucket or a
// service's retry budget, and passing messages on to other zones.
//
// There are no elections. Each instance ranks the members that it knows by
// rendezvous hashing, and the first in rank that isn't known to be unresponsive has
// the task. While two instances know different members, both may do the same task,
// which costs more but breaks nothing.
//
// # Usage
//
//	r := roster.New(self, members)
//	keeper := r.ZoneKeeper("rate", organisation, unresponsive)
package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/meter"
)

// Roster assigns tasks to the members that one instance knows. It is immutable.
type Roster struct {
	self instance.Info
	// members holds all members in the order of their addresses, and zones the members
	// of each zone.
	members []instance.Info
	zones   map[string][]instance.Info
	// zoneNames holds the keys of zones in order.
	zoneNames []string
}

// New returns the roster of the members as seen by the instance self. Self takes
// part only if it is among them: the others don't know an unregistered instance and
// give its tasks to another. If no member is in its zone, self is added and takes on
// all of the zone's tasks.
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
	r.zoneNames = slices.Sorted(maps.Keys(r.zones))
	return r
}

// Members returns all members. They must not be changed.
func (r *Roster) Members() []instance.Info { return r.members }

// Len returns the number of members.
func (r *Roster) Len() int { return len(r.members) }

// ZoneMembers returns the members of the instance's own zone.
func (r *Roster) ZoneMembers() []instance.Info { return r.zones[r.self.Zone] }

// Zones returns how the instances are spread, given the number of zones that there
// should be. Members of this instance's zone count only if they are reachable: the others
// may be cut off with another part of the zone and count there.
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

// ZoneKeeper returns the member of this instance's zone that is responsible for the
// rate, budget or message of this kind and name. Unresponsive members are passed over
// unless all are unresponsive.
func (r *Roster) ZoneKeeper(kind, name string, unresponsive func(instance.Address) bool) instance.Address {
	return highestRanked(key(kind, name), r.ZoneMembers(), unresponsive)
}

// CountingKeeper returns the member of this instance's zone that keeps a count over time of
// this kind and name. It is the highest ranked of those that have run for minAge, because
// a member that has started since doesn't know the whole count. If none has, it is the one
// that has run longest. Unresponsive members are passed over as by ZoneKeeper.
func (r *Roster) CountingKeeper(now time.Duration, kind, name string, unresponsive func(instance.Address) bool, ages *Ages, minAge time.Duration) instance.Address {
	longest := time.Duration(0)
	for _, m := range r.ZoneMembers() {
		if !unresponsive(m.Address) {
			longest = max(longest, ages.Of(now, m.Address))
		}
	}
	return highestRanked(key(kind, name), r.ZoneMembers(), func(a instance.Address) bool {
		return unresponsive(a) || ages.Of(now, a) < min(minAge, longest)
	})
}

// FleetKeeper returns the member that is responsible for the rate, budget or message of
// this kind and name in the whole fleet. It is also the ZoneKeeper in its own zone,
// unless it is unresponsive.
func (r *Roster) FleetKeeper(kind, name string) instance.Address {
	return highestRanked(key(kind, name), r.members, func(instance.Address) bool { return false })
}

// CapableKeeper returns the member of a zone that is responsible for the rate, budget or
// message of this kind and name, among those that isCapable selects. It is empty if there is
// none: unlike with ZoneKeeper, nobody stands in for them.
func (r *Roster) CapableKeeper(zone, kind, name string, isCapable func(instance.Address) bool) instance.Address {
	return highestCapable(key(kind, name), r.zones[zone], isCapable)
}

// ZoneNames returns the names of the zones that have members, in order. They must not be changed.
func (r *Roster) ZoneNames() []string { return r.zoneNames }

// RemoteKeepers returns the members of the other zones, one for each zone, that are
// responsible there for the rate, budget or message of this kind and name.
func (r *Roster) RemoteKeepers(kind, name string, unresponsive func(instance.Address) bool) []instance.Address {
	var list []instance.Address
	for zone, members := range r.zones {
		if zone == r.self.Zone {
			continue
		}
		if a := highestRanked(key(kind, name), members, unresponsive); a != "" {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

// key returns the hash that members are ranked by for the item.
func key(kind, name string) uint64 { return instance.Hash(kind, xxhash.Sum64String(name)) }

// highestCapable returns the member with the highest score among those that isCapable
// selects, or none.
func highestCapable(key uint64, members []instance.Info, isCapable func(instance.Address) bool) instance.Address {
	var best instance.Address
	var bestScore uint64
	for _, m := range members {
		// isCapable costs more than the score, and is called for few members this way.
		if score := instance.Score(key, m.Address); (best == "" || score > bestScore) && isCapable(m.Address) {
			best, bestScore = m.Address, score
		}
	}
	return best
}

// highestRanked returns the member with the highest score that isn't unresponsive, or
// the one with the highest score of all if all are unresponsive.
func highestRanked(key uint64, members []instance.Info, unresponsive func(instance.Address) bool) instance.Address {
	var best, highest instance.Address
	var bestScore, highestScore uint64
	for _, m := range members {
		score := instance.Score(key, m.Address)
		if highest == "" || score > highestScore {
			highest, highestScore = m.Address, score
		}
		if !unresponsive(m.Address) && (best == "" || score > bestScore) {
			best, bestScore = m.Address, score
		}
	}
	if best == "" {
		return highest
	}
	return best
}
