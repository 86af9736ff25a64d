package claim

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// membership holds the live instances, since when each has been known, and the
// recently lost ones.
type membership struct {
	list  []instance.Info
	since map[instance.ID]time.Duration
	// losses holds the instances lost within the retention.
	losses map[instance.ID]lostInstance
	// handedOver holds the instances that have handed over all their records,
	// each with the time until which that must be remembered.
	handedOver map[instance.ID]time.Duration
	// lossesKnownSince is the time since which all losses are known.
	lossesKnownSince time.Duration
}

type lostInstance struct {
	zone    string
	expires time.Duration
}

func newMembership() membership {
	return membership{
		since:      map[instance.ID]time.Duration{},
		losses:     map[instance.ID]lostInstance{},
		handedOver: map[instance.ID]time.Duration{},
	}
}

// update replaces the list of live instances. An instance that isn't in the new
// list counts as lost, unless it has handed over its records.
func (m *membership) update(now time.Duration, list []instance.Info, retention time.Duration) {
	for _, old := range m.list {
		present := slices.ContainsFunc(list, func(i instance.Info) bool { return i.ID == old.ID })
		if present {
			continue
		}
		delete(m.since, old.ID)
		if _, handedOver := m.handedOver[old.ID]; !handedOver {
			m.losses[old.ID] = lostInstance{
				zone:    old.Zone,
				expires: now + retention,
			}
		}
	}
	for _, i := range list {
		if _, ok := m.since[i.ID]; !ok {
			m.since[i.ID] = now
		}
		delete(m.losses, i.ID)
	}
	m.list = slices.Clone(list)
}

// noteDeparted records that an instance has handed over all its records.
func (m *membership) noteDeparted(id instance.ID, until time.Duration) {
	m.handedOver[id] = until
	delete(m.losses, id)
}

// learn merges the losses that another instance reports. knownFor is how far
// back that instance knows all losses.
func (m *membership) learn(now time.Duration, losses []Loss, knownFor time.Duration) {
	for _, l := range losses {
		_, present := m.since[l.ID]
		_, handedOver := m.handedOver[l.ID]
		if present || handedOver {
			continue
		}
		old := m.losses[l.ID]
		m.losses[l.ID] = lostInstance{
			zone:    l.Zone,
			expires: max(old.expires, now+l.Remaining),
		}
	}
	m.lossesKnownSince = min(m.lossesKnownSince, now-knownFor)
}

func (m *membership) expire(now time.Duration) {
	for id, l := range m.losses {
		if now >= l.expires {
			delete(m.losses, id)
		}
	}
	for id, until := range m.handedOver {
		if now >= until {
			delete(m.handedOver, id)
		}
	}
}

// lossList returns all losses, and the leaving instances that haven't handed
// over their records yet: an instance that joins now may never learn of those.
func (m *membership) lossList(now, retention time.Duration) []Loss {
	var list []Loss
	for _, i := range m.list {
		if _, handedOver := m.handedOver[i.ID]; i.Leaving && !handedOver {
			list = append(list, Loss{
				ID:        i.ID,
				Zone:      i.Zone,
				Remaining: retention,
			})
		}
	}
	for id, l := range m.losses {
		list = append(list, Loss{
			ID:        id,
			Zone:      l.zone,
			Remaining: max(0, l.expires-now),
		})
	}
	slices.SortFunc(list, func(a, b Loss) int {
		if a.ID.Address < b.ID.Address || a.ID.Address == b.ID.Address && a.ID.Incarnation < b.ID.Incarnation {
			return -1
		}
		return 1
	})
	return list
}

func (m *membership) find(id instance.ID) (instance.Info, bool) {
	i := slices.IndexFunc(m.list, func(i instance.Info) bool { return i.ID == id })
	if i < 0 {
		return instance.Info{}, false
	}
	return m.list[i], true
}

// contains reports whether this run of an instance is a live member.
func (m *membership) contains(id instance.ID) bool {
	_, ok := m.since[id]
	return ok
}

// olderThan reports whether an instance has been a member for at least the
// given age, so that all members know it.
func (m *membership) olderThan(now time.Duration, id instance.ID, age time.Duration) bool {
	since, ok := m.since[id]
	return ok && now >= since+age
}
