package outlier

import (
	"math"
	"slices"
	"time"

	"dandelionmux/pkg/document"
)

// reportLag is how long a load report may be on its way. The instance that sends it may stall for
// 100 ms once it has used up its processor time.
const reportLag = 100 * time.Millisecond

// Grantee is the instance that a target is granted to.
type Grantee struct {
	// Instance is the instance's address; empty for the table's own instance, whose requests
	// are counted as running at once.
	Instance string
	// Remote is set for an instance of another zone, which reports no loads here.
	Remote bool
	// Term is how long the grant counts: until the next load report of an instance of the own
	// zone replaces it, or until the end of the request of a remote one.
	Term time.Duration
}

// remoteGrant is a slot that an instance of another zone uses.
type remoteGrant struct {
	instance string
	expires  time.Duration
}

// Grant selects, for another instance or the table's own, the target of the own zone with the
// least load among those with a free slot, and counts the request there. It returns false if
// no usable target has a free slot.
func (t *Table) Grant(now time.Duration, to Grantee, r Request) (document.Target, bool) {
	r.OwnZone = true
	candidates := t.candidates(now, r)
	if len(candidates) == 0 && len(r.Avoid) > 0 && !r.Spare {
		// As for Choose, a target that was already tried is better than none.
		r.Avoid = nil
		candidates = t.candidates(now, r)
	}
	s := t.leastLoaded(now, candidates)
	if s == nil {
		return document.Target{}, false
	}
	switch {
	case to.Instance == "":
		s.running++
	case to.Remote:
		s.remote = append(slices.DeleteFunc(s.remote, func(g remoteGrant) bool { return now >= g.expires }), remoteGrant{
			instance: to.Instance,
			expires:  now + to.Term,
		})
	default:
		counted := s.peerLoads[to.Instance]
		if now >= counted.expires {
			counted.running = 0
		}
		s.setPeerLoad(to.Instance, peerLoad{
			running:   counted.running + 1,
			expires:   max(counted.expires, now+to.Term),
			changedAt: now,
		})
	}
	s.recount = true
	return s.Target, true
}

// isForeign reports whether the target is in a zone that is of no use to the request.
func (t *Table) isForeign(s *targetState, r Request) bool { return r.OwnZone && s.Zone != t.zone }

// passesOver reports whether the request names a target as one that isn't to be chosen.
func (r Request) passesOver(name string) bool {
	return slices.Contains(r.Avoid, name) || slices.Contains(r.Unfit, name)
}

// leastLoaded returns the candidate with the least load among those with a free slot, a random
// one of several, or nil if there is none. Each recent error of a target counts as a request in
// flight: a target that fails its requests at once would otherwise always be the least loaded, and
// get most of them.
func (t *Table) leastLoaded(now time.Duration, candidates []*targetState) *targetState {
	t.dropOldErrors(now)
	var best *targetState
	var bestLoad float64
	ties := 0
	for _, s := range candidates {
		if s.inUse(now) >= s.Slots {
			continue
		}
		load := s.load(now) + float64(s.errorCount)/float64(max(s.Slots, 1))
		if now >= s.warmUntil && t.isCold(now, s.Name) {
			load *= 2 // as for a target whose registration says so
		}
		switch {
		case best == nil || load < bestLoad:
			best, bestLoad, ties = s, load, 1
		case load == bestLoad:
			ties++
			if t.random.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

// Ungrant takes back a grant, or ends a request that ran with one at another instance.
func (t *Table) Ungrant(now time.Duration, to Grantee, name string) {
	s := t.targets[name]
	if s == nil {
		return
	}
	s.recount = true
	switch {
	case to.Instance == "":
		s.running = max(s.running-1, 0)
	case to.Remote:
		for i, granted := range s.remote {
			if granted.instance == to.Instance {
				s.remote = slices.Delete(s.remote, i, i+1)
				return
			}
		}
	default:
		if counted, ok := s.peerLoads[to.Instance]; ok {
			// It stays known for a while that the slot is free, see receiveLoad.
			counted.running = max(counted.running-1, 0)
			counted.expires = max(counted.expires, now+reportLag)
			counted.changedAt = now
			s.setPeerLoad(to.Instance, counted)
		}
	}
}

// HoldFor lets a target be neither chosen nor granted before the given time, because it takes
// no more requests for now.
func (t *Table) HoldFor(until time.Duration, name string) {
	if s := t.targets[name]; s != nil {
		s.heldUntil = max(s.heldUntil, until)
	}
}

// Take counts a request as running at a target that another instance has granted. It returns
// false if the target isn't known here, is leaving, or may get no requests of this instance.
func (t *Table) Take(now time.Duration, name string) (document.Target, bool) {
	s := t.targets[name]
	if s == nil || !t.MaySend(now, name) || now < s.heldUntil {
		return document.Target{}, false
	}
	s.running++
	// The next report lists the target even if the request has ended by then, so that it
	// corrects the count at the allocator if the release is lost.
	s.reported = max(s.reported, 1)
	return s.Target, true
}

// Unfit returns the names of the targets of the own zone that this instance doesn't use for
// now, at most limit of them. An allocator doesn't know of all that made them so.
func (t *Table) Unfit(now time.Duration, limit int) []string {
	var names []string
	for _, s := range t.order {
		if len(names) == limit {
			break
		}
		if s.Zone == t.zone && !s.Leaving && now < max(s.ejectedUntil, s.pausedUntil, s.heldUntil, s.restUntil) {
			names = append(names, s.Name)
		}
	}
	return names
}

// MaxSlots returns the largest number of slots of a target, in any zone.
func (t *Table) MaxSlots() int { return t.maxSlots }

// Room is the capacity of the targets of the own zone.
type Room struct {
	// Targets is the number of usable targets, Slots that of their slots, InUse how many
	// requests run there, and Free how many more may.
	Targets int
	Slots   int
	InUse   int
	Free    int
}

// Room returns the capacity of the targets of the own zone that may be granted.
func (t *Table) Room(now time.Duration) Room {
	var room Room
	for _, s := range t.candidates(now, Request{
		Repeatable: true,
		OwnZone:    true,
	}) {
		used := s.inUse(now)
		room.Targets++
		room.Slots += s.Slots
		room.InUse += used
		room.Free += max(s.Slots-used, 0)
	}
	return room
}

// receiveLoad records the load that another instance has reported. A report doesn't replace a
// count that a grant or a release has changed within reportLag, since it may have been made
// before: the slot would be granted twice, or be idle until the next report.
func (s *targetState) receiveLoad(now time.Duration, from string, load peerLoad) {
	counted, ok := s.peerLoads[from]
	switch {
	case ok && counted.changedAt > 0 && now < counted.changedAt+reportLag:
		counted.expires = max(counted.expires, load.expires)
		s.setPeerLoad(from, counted)
	case load.running <= 0:
		s.recount = true
		delete(s.peerLoads, from)
	default:
		s.setPeerLoad(from, load)
	}
}

// setPeerLoad sets the load of another instance.
func (s *targetState) setPeerLoad(from string, load peerLoad) {
	s.recount = true
	if s.peerLoads == nil {
		s.peerLoads = map[string]peerLoad{}
	}
	s.peerLoads[from] = load
}

// countOthers sums what other instances have in flight at the target. It keeps the sum until
// something changes or expires: it is read for all targets at each grant.
func (s *targetState) countOthers(now time.Duration) int {
	if !s.recount && now >= s.othersFrom && now < s.othersUntil {
		return s.others
	}
	s.recount = false
	s.others, s.othersFrom, s.othersUntil = 0, now, math.MaxInt64
	count := func(running int, expires time.Duration) {
		if now < expires {
			s.others += running
			s.othersUntil = min(s.othersUntil, expires)
		}
	}
	for _, p := range s.peerLoads {
		count(p.running, p.expires)
	}
	for _, granted := range s.remote {
		count(1, granted.expires)
	}
	return s.others
}
