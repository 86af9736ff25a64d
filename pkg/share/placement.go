package share

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// loads counts the shares that are known to be held, by instance and by zone.
type loads struct {
	instances map[instance.Address]int
	zones     map[string]int
}

// add counts one more share of the instance at an address in a zone.
func (l loads) add(a instance.Address, zone string) {
	l.instances[a]++
	l.zones[zone]++
}

// of returns the number of shares of the instance at an address.
func (l loads) of(a instance.Address) int {
	return l.instances[a]
}

// less reports whether the next share should go to a rather than to b.
func (l loads) less(s *State, a, b instance.Info) bool {
	if x, y := l.instances[a.Address], l.instances[b.Address]; x != y {
		return x < y
	}
	if x, y := l.zones[a.Zone], l.zones[b.Zone]; x != y {
		return x < y
	}
	key := instance.Hash("surplus of "+string(s.self.Address), 0)
	return instance.Score(key, a.Address) > instance.Score(key, b.Address)
}

// loads counts the shares that this instance holds, and those of other
// instances that aren't missing.
func (s *State) loads() loads {
	l := loads{
		instances: map[instance.Address]int{},
		zones:     map[string]int{},
	}
	for n, h := range s.held.byShare {
		switch {
		case h != nil:
			l.add(s.self.Address, s.self.Zone)
		case !s.missing(Number(n)):
			l.add(s.lastSeen[n].holder, s.memberInfo(s.lastSeen[n].holder).Zone)
		}
	}
	return l
}

// plannedClaims returns which of the missing shares this instance should claim
// in a turn. In turn zero the first instance in rank claims, in each later turn
// the next one. Instances and zones that have their part of the shares are
// skipped; each turn allows them one part more.
func (s *State) plannedClaims(missing []Number, turn int) []Number {
	var own []Number
	l := s.loads()
	candidates := slices.DeleteFunc(slices.Clone(s.members), func(m instance.Info) bool { return m.Leaving })
	perInstance := ceilDivide(s.total, len(candidates))
	perZone := s.zoneLimits(candidates)
	for _, n := range missing {
		if turn > 0 && s.now < s.lastSeen[n].at+s.missingAfter()+time.Duration(turn)*claimTurnDelay {
			continue
		}
		hasRoom := func(m instance.Info) bool {
			instanceHasRoom := l.instances[m.Address] < perInstance*(turn+1)
			return instanceHasRoom && l.zones[m.Zone] < perZone[m.Zone]*(turn+1)
		}
		m, ok := atRank(instance.Hash("share", uint64(n)), candidates, turn, hasRoom)
		if !ok {
			continue
		}
		l.add(m.Address, m.Zone)
		if m.Address == s.self.Address {
			own = append(own, n)
		}
	}
	return own
}

// atRank returns the member that has the given rank, counted from zero, among
// the eligible ones. If there are fewer, it returns false.
func atRank(key uint64, members []instance.Info, rank int, eligible func(instance.Info) bool) (instance.Info, bool) {
	skipped := make(map[instance.Address]bool, rank)
	for {
		var best instance.Info
		var bestScore uint64
		for _, m := range members {
			if skipped[m.Address] || !eligible(m) {
				continue
			}
			if score := instance.Score(key, m.Address); best.Address == "" || score > bestScore {
				best = m
				bestScore = score
			}
		}
		if best.Address == "" || len(skipped) == rank {
			return best, best.Address != ""
		}
		skipped[best.Address] = true
	}
}

// zoneLimits returns how many shares each zone may have, plus one: an equal
// part for each zone, or the zone's part of the members if that is more.
func (s *State) zoneLimits(members []instance.Info) map[string]int {
	limits := map[string]int{}
	for _, m := range members {
		limits[m.Zone]++
	}
	equalPart := ceilDivide(s.total, len(limits))
	for z, n := range limits {
		limits[z] = max(equalPart, ceilDivide(s.total*n, len(members))) + 1
	}
	return limits
}

// ceilDivide returns a divided by b, rounded up, or a if b is zero.
func ceilDivide(a, b int) int {
	if b == 0 {
		return a
	}
	return (a + b - 1) / b
}
