package claim

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// membership is who is there, since when, and who was lost of late.
type membership struct {
	list  []instance.Info
	since map[instance.ID]time.Duration
	// losses holds the instances lost within the retention.
	losses map[instance.ID]lost
	// gone are those that have handed everything over, with until when that
	// must be remembered.
	gone map[instance.ID]time.Duration
	// knownSince is from when on all losses are known.
	knownSince time.Duration
}

type lost struct {
	zone  string
	until time.Duration
}

func newMembership() membership {
	return membership{
		since:  map[instance.ID]time.Duration{},
		losses: map[instance.ID]lost{},
		gone:   map[instance.ID]time.Duration{},
	}
}

// change takes a new view in. Who isn't in it any more was lost, unless it has
// said goodbye.
func (m *membership) change(now time.Duration, list []instance.Info, retention time.Duration) {
	for _, old := range m.list {
		there := slices.ContainsFunc(list, func(i instance.Info) bool { return i.ID == old.ID })
		if there {
			continue
		}
		delete(m.since, old.ID)
		if _, gone := m.gone[old.ID]; !gone {
			m.losses[old.ID] = lost{
				zone:  old.Zone,
				until: now + retention,
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

// departed notes that an instance has handed over all that it kept.
func (m *membership) departed(id instance.ID, until time.Duration) {
	m.gone[id] = until
	delete(m.losses, id)
}

// learn takes in what another instance knows of losses.
func (m *membership) learn(now time.Duration, losses []Loss, known time.Duration) {
	for _, l := range losses {
		_, here := m.since[l.ID]
		_, gone := m.gone[l.ID]
		if here || gone {
			continue
		}
		old := m.losses[l.ID]
		m.losses[l.ID] = lost{
			zone:  l.Zone,
			until: max(old.until, now+l.Remaining),
		}
	}
	m.knownSince = min(m.knownSince, now-known)
}

func (m *membership) expire(now time.Duration) {
	for id, l := range m.losses {
		if now >= l.until {
			delete(m.losses, id)
		}
	}
	for id, until := range m.gone {
		if now >= until {
			delete(m.gone, id)
		}
	}
}

// lossList names all losses, and those that are about to leave: an instance
// that joins now may never see them.
func (m *membership) lossList(now, retention time.Duration) []Loss {
	var list []Loss
	for _, i := range m.list {
		if _, gone := m.gone[i.ID]; i.Leaving && !gone {
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
			Remaining: max(0, l.until-now),
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

// has tells whether this run of an instance is there.
func (m *membership) has(id instance.ID) bool {
	_, ok := m.since[id]
	return ok
}

// settled tells whether an instance has been there long enough for all to know
// it.
func (m *membership) settled(now time.Duration, id instance.ID, age time.Duration) bool {
	since, ok := m.since[id]
	return ok && now >= since+age
}
