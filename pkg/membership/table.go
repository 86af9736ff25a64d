package membership

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// member is the entry of one address in the table.
type member struct {
	Record
	// ringPosition orders the members in the ring.
	ringPosition uint64
	// dead is set while this instance considers the run dead.
	dead bool
	// deadline is the time at which a suspected run is declared dead.
	deadline time.Duration
	// goneSince is the time at which the run died or left.
	goneSince time.Duration
	// notifiedAt is the time at which this instance last notified the run that
	// it is suspected.
	notifiedAt time.Duration
	penalty    flapPenalty
}

// live reports whether the run is a member: neither dead nor left.
func (m *member) live() bool {
	return !m.dead && m.Status != Left
}

// table contains the members other than this instance, live and gone, and the
// digests of all live ones including this instance.
type table struct {
	members map[instance.Address]*member
	// live is sorted by address, and ring by ring position.
	live []*member
	ring []*member
	// suspects are part of live. gone are dead or have left. Both are sorted by
	// address.
	suspects []*member
	gone     []*member
	// digests has one digest for each bucket, and digest is the digest of all
	// live members.
	digests [BucketCount]uint64
	digest  uint64
}

// ringKey is the rendezvous hashing key of the ring; the ASCII codes of "ring".
const ringKey = 0x72696e67

// put adds or replaces a record. The flag dead says whether this instance
// considers the run dead.
func (t *table) put(now time.Duration, r Record, dead bool) {
	m := t.members[r.Address]
	if m == nil {
		m = &member{
			Record:       r,
			ringPosition: instance.Score(ringKey, r.Address),
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

// forget removes a member from the table.
func (t *table) forget(m *member) {
	t.unlink(m)
	delete(t.members, m.Address)
}

// link inserts a member into the lists and digests that it belongs to.
func (t *table) link(m *member) {
	if !m.live() {
		t.gone = insert(t.gone, m, byAddress)
		return
	}
	t.live = insert(t.live, m, byAddress)
	t.ring = insert(t.ring, m, byRingPosition)
	if m.Status == Suspect {
		t.suspects = insert(t.suspects, m, byAddress)
	}
	t.toggleDigest(m.Record)
}

// unlink removes a member from the lists and digests.
func (t *table) unlink(m *member) {
	if !m.live() {
		t.gone = remove(t.gone, m, byAddress)
		return
	}
	t.live = remove(t.live, m, byAddress)
	t.ring = remove(t.ring, m, byRingPosition)
	if m.Status == Suspect {
		t.suspects = remove(t.suspects, m, byAddress)
	}
	t.toggleDigest(m.Record)
}

// toggleDigest adds a run to the digests, or removes it if it was added before.
func (t *table) toggleDigest(r Record) {
	h := r.hash()
	t.digests[bucketOf(r.Address)] ^= h
	t.digest ^= h
}

// successor returns the first member at or after a ring position that isn't
// suspected, or nil if there is none.
func (t *table) successor(position uint64) *member {
	start, _ := slices.BinarySearchFunc(t.ring, position, func(m *member, p uint64) int {
		return cmp.Compare(m.ringPosition, p)
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

func byRingPosition(a, b *member) int {
	if c := cmp.Compare(a.ringPosition, b.ringPosition); c != 0 {
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
