package revision

import (
	"time"

	"dandelionmux/pkg/store"
)

const (
	// helpWait is how long peers have to help before the store is read.
	helpWait = 3 * time.Second
	// blindAfter is how long a watcher may be without the store before it asks
	// deputies to read it, deputies how many at a time, deputyWait how often.
	blindAfter = 3 * time.Second
	deputies   = 2
	deputyWait = time.Second
	// resortFleet is the size up to which the last resort isn't slowed down.
	resortFleet = 8
)

// resort paces the reads of the store by an instance that isn't a watcher.
type resort struct {
	// since is when the wait began, and share which part of the full wait it
	// is. The wait follows the size of the fleet as that is known now.
	since time.Duration
	share float64
	// reading is the call under way, or zero.
	reading uint64
	// deputised is when a watcher last had this instance read in its place.
	deputised time.Duration
}

// begin starts the next wait, spread so that many who begin together don't
// read together.
func (r *resort) begin(now time.Duration, random float64) {
	r.since = now
	r.share = 0.5 + random
}

// due is when the next read is, in a fleet of n.
func (r *resort) due(wait time.Duration, n int) time.Duration {
	full := wait * time.Duration(max(n, resortFleet)) / resortFleet
	return r.since + time.Duration(r.share*float64(full))
}

// lastResort reads the store on an instance that isn't a watcher, but that
// its peers can't help.
func (s *State) lastResort(now time.Duration) {
	if now < s.resort.due(s.settings.resort, len(s.members)) {
		return
	}
	s.resort.begin(now, s.random.Float64())
	s.cancel(s.resort.reading)
	if s.watch.watching || !s.helpless(now) {
		return
	}
	s.decide(LastResort, s.Held(), "", "")
	s.resort.reading = s.call(now, readHead, Digest{}, store.Get{
		Key: HeadKey,
	})
}

// askDeputies has a few members read the store in place of a watcher that
// can't reach it. They don't pass that on, so when the store is away for all,
// the calls to it stay as few.
func (s *State) askDeputies(now time.Duration) {
	w := &s.watch
	if now < w.heard+blindAfter || now < w.nextDeputy {
		return
	}
	w.nextDeputy = now + deputyWait
	for _, i := range s.random.Perm(len(s.members))[:min(deputies+1, len(s.members))] {
		s.send(s.members[i].Address, DelegateRead{})
	}
}

// readInstead reads the head once for a watcher that can't, unless a read is
// under way or was made just now.
func (s *State) readInstead(now time.Duration) {
	if s.watch.watching || s.resort.deputised != 0 && now < s.resort.deputised+deputyWait {
		return
	}
	s.resort.deputised = now
	s.cancel(s.resort.reading)
	s.resort.reading = s.call(now, readHead, Digest{}, store.Get{
		Key: HeadKey,
	})
}

// helpless tells whether this instance has waited for its peers for too long.
func (s *State) helpless(now time.Duration) bool {
	late := len(s.newer) > 0 && now >= s.newer[0].at+helpWait
	return late || !s.Trusted(now)
}
