package membership

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// member is what this instance holds of one address.
type member struct {
	Record
	// score is the place in the ring.
	score uint64
	// dead is this instance's own verdict on the run.
	dead bool
	// deadline is when a suspicion becomes that verdict.
	deadline time.Duration
	// goneSince is when the run died or left.
	goneSince time.Duration
	// toldAt is when this instance last told the run of its suspicion.
	toldAt time.Duration
	strain strain
}

func (m *member) live() bool {
	return !m.dead && m.Status != Left
}

// table holds the other instances.
type table struct {
	members map[instance.Address]*member
	// live is sorted by address, ring by score.
	live []*member
	ring []*member
	// suspects are live; gone are dead or left. Both are sorted by address.
	suspects []*member
	gone     []*member
	digests  [BucketCount]uint64
	summary  uint64
}

const ringKey = 0x72696e67

// put stores a record, with the verdict dead.
func (t *table) put(now time.Duration, r Record, dead bool) {
	m := t.members[r.Address]
	if m == nil {
		m = &member{
			Record: r,
			score:  instance.Score(ringKey, r.Address),
		}
		t.members[r.Address] = m
	} else {
		t.unlink(m)
	}
	m.Record = r
	m.dead = dead
	if !m.live() {
		m.goneSince = now
	}
	t.link(m)
}

// forget drops a member wholly.
func (t *table) forget(m *member) {
	t.unlink(m)
	delete(t.members, m.Address)
}

func (t *table) link(m *member) {
	if !m.live() {
		t.gone = insert(t.gone, m, byAddress)
		return
	}
	t.live = insert(t.live, m, byAddress)
	t.ring = insert(t.ring, m, byScore)
	if m.Status == Suspect {
		t.suspects = insert(t.suspects, m, byAddress)
	}
	t.toggle(m.Record)
}

func (t *table) unlink(m *member) {
	if !m.live() {
		t.gone = remove(t.gone, m, byAddress)
		return
	}
	t.live = remove(t.live, m, byAddress)
	t.ring = remove(t.ring, m, byScore)
	if m.Status == Suspect {
		t.suspects = remove(t.suspects, m, byAddress)
	}
	t.toggle(m.Record)
}

// toggle puts a run into the digests, or takes it out again.
func (t *table) toggle(r Record) {
	h := r.hash()
	t.digests[bucketOf(r.Address)] ^= h
	t.summary ^= h
}

// successor is the next live member after score whom nobody suspects.
func (t *table) successor(score uint64) *member {
	start, _ := slices.BinarySearchFunc(t.ring, score, func(m *member, s uint64) int {
		return cmp.Compare(m.score, s)
	})
	for i := range t.ring {
		m := t.ring[(start+i)%len(t.ring)]
		if m.Status == Alive {
			return m
		}
	}
	return nil
}

func byAddress(a, b *member) int {
	return cmp.Compare(a.Address, b.Address)
}

func byScore(a, b *member) int {
	if c := cmp.Compare(a.score, b.score); c != 0 {
		return c
	}
	return byAddress(a, b)
}

func insert(list []*member, m *member, order func(a, b *member) int) []*member {
	i, _ := slices.BinarySearchFunc(list, m, order)
	return slices.Insert(list, i, m)
}

func remove(list []*member, m *member, order func(a, b *member) int) []*member {
	i, found := slices.BinarySearchFunc(list, m, order)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}
