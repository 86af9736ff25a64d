package revision

import (
	"time"

	"dandelionmux/pkg/store"
)

const (
	// peerHelpTimeout is how long an instance waits for its peers to provide a newer
	// revision before it reads the store.
	peerHelpTimeout = 3 * time.Second
	// A watcher that hasn't read the store successfully for delegateAfter draws
	// delegates+1 random members and sends DelegateRead to those other than itself. It
	// does so at most once per delegationInterval, and each receiver reads at most once
	// per delegationInterval.
	delegateAfter      = 3 * time.Second
	delegates          = 2
	delegationInterval = time.Second
	// unscaledFleetSize is the fleet size up to which the fallback interval isn't
	// scaled.
	unscaledFleetSize = 8
)

// fallback schedules reads of the store on an instance that isn't a watcher.
type fallback struct {
	// waitStart is when the current wait started. waitFactor, from 0.5 to 1.5, is its
	// length as a multiple of the full wait, which nextRead computes from the current
	// size of the fleet.
	waitStart  time.Duration
	waitFactor float64
	// readCall is the number of the call in progress, or zero.
	readCall uint64
	// lastDelegated is when this instance last read the store on request of a watcher;
	// zero if never.
	lastDelegated time.Duration
}

// startWait starts the next wait. The parameter random, from 0 to 1, spreads the
// reads of instances that start waiting at the same time.
func (f *fallback) startWait(now time.Duration, random float64) {
	f.waitStart = now
	f.waitFactor = 0.5 + random
}

// nextRead returns when the next read is due in a fleet of n instances, if interval
// is the wait of a small fleet.
func (f *fallback) nextRead(interval time.Duration, n int) time.Duration {
	fullWait := interval * time.Duration(max(n, unscaledFleetSize)) / unscaledFleetSize
	return f.waitStart + time.Duration(f.waitFactor*float64(fullWait))
}

// fallbackRead reads the store if a read is due, this instance isn't a watcher and
// its peers haven't helped in time.
func (s *State) fallbackRead(now time.Duration) {
	if now < s.fallback.nextRead(s.settings.fallbackInterval, len(s.members)) {
		return
	}
	s.fallback.startWait(now, s.random.Float64())
	s.cancelCall(s.fallback.readCall)
	if s.watch.watching || !s.needsFallback(now) {
		return
	}
	s.report(LastResort, s.Held(), "", "")
	s.fallback.readCall = s.callStore(now, readHead, Digest{}, store.Get{
		Key: HeadKey,
	})
}

// delegateRead asks a few random members to read the store in place of a watcher that
// can't reach it. The receivers don't forward the request, so the number of calls
// stays bounded when the store is down for all.
func (s *State) delegateRead(now time.Duration) {
	w := &s.watch
	if now < w.lastRead+delegateAfter || now < w.nextDelegation {
		return
	}
	w.nextDelegation = now + delegationInterval
	for _, i := range s.random.Perm(len(s.members))[:min(delegates+1, len(s.members))] {
		s.send(s.members[i].Address, DelegateRead{})
	}
}

// readForPeer reads the head for a watcher that can't reach the store, unless this
// instance is a watcher itself or did so within delegationInterval.
func (s *State) readForPeer(now time.Duration) {
	if s.watch.watching || s.fallback.lastDelegated != 0 && now < s.fallback.lastDelegated+delegationInterval {
		return
	}
	s.fallback.lastDelegated = now
	s.cancelCall(s.fallback.readCall)
	s.fallback.readCall = s.callStore(now, readHead, Digest{}, store.Get{
		Key: HeadKey,
	})
}

// needsFallback reports whether this instance has waited too long for its peers: for
// a newer revision to come into force, or for contact.
func (s *State) needsFallback(now time.Duration) bool {
	overdue := len(s.newer) > 0 && now >= s.newer[0].at+peerHelpTimeout
	return overdue || !s.Trusted(now)
}
