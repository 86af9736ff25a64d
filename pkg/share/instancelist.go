package share

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// listEntry is the state of one address in the instance list.
type listEntry struct {
	incarnation uint64
	// lastListed is when the address was last on the list.
	lastListed time.Duration
	// declaredDead says that an operator declared the instance dead.
	declaredDead bool
}

// instanceList is what is known from the platform's list of instances. An
// instance is proved dead if it was absent from the list for longer than the
// list's lag, or if an operator declared it dead. A later run at the same
// address replaces the earlier run, and gives fences for the address.
type instanceList struct {
	entries map[instance.Address]listEntry
	// readSince is when the current series of readings without a long gap
	// began, and lastRead is the time of the last reading.
	readSince time.Duration
	lastRead  time.Duration
	everRead  bool
}

// updateList processes a reading of the list. After a gap in the readings that
// is longer than the lag, the waiting time of listComplete starts again.
func (s *State) updateList(instances []instance.Info) {
	l := &s.list
	if !l.everRead || s.now > l.lastRead+s.listLag {
		l.everRead = true
		l.readSince = s.now
	}
	l.lastRead = s.now
	for _, m := range instances {
		e := l.entries[m.Address]
		if m.Incarnation != e.incarnation {
			e.declaredDead = false
		}
		e.incarnation = m.Incarnation
		e.lastListed = s.now
		l.entries[m.Address] = e
	}
	for a, e := range l.entries {
		if s.now > e.lastListed+s.listLag {
			delete(l.entries, a)
		}
	}
}

// markDead records that an operator declared the instance at an address dead.
func (s *State) markDead(a instance.Address) {
	e := s.list.entries[a]
	e.declaredDead = true
	s.list.entries[a] = e
}

// listComplete reports whether the list was read for long enough, and recently
// enough, to contain all running instances.
func (s *State) listComplete() bool {
	l := &s.list
	return l.everRead && s.now >= l.readSince+s.listLag && s.now <= l.lastRead+s.listLag
}

// possiblyRunning returns the addresses at which an instance may run, in order.
// Members are included even if they aren't listed, unless they are declared
// dead.
func (s *State) possiblyRunning() []instance.Address {
	var addresses []instance.Address
	for a, e := range s.list.entries {
		if !e.declaredDead && s.now <= e.lastListed+s.listLag {
			addresses = append(addresses, a)
		}
	}
	for _, m := range s.members {
		if e := s.list.entries[m.Address]; !e.declaredDead {
			addresses = append(addresses, m.Address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
