package share

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/lease"
)

// borrower is the state that a lender keeps about an instance that sends it
// requests.
type borrower struct {
	info instance.Info
	// incarnationKnown says that a request gave the borrower's incarnation.
	incarnationKnown bool
	// eligible says that shards may be lent to the borrower.
	eligible bool
	// lastQualified is when a request last made the borrower eligible. Such a
	// request shows that the lender's responses arrive.
	lastQualified time.Duration
	// lastRequestAt is when the newest request arrived, and lastRequest is its
	// number.
	lastRequestAt   time.Duration
	lastRequest     uint64
	acceptsHandover bool
	// version identifies shards and rights, which the borrower has or will
	// receive.
	version uint64
	rights  []Right
	shards  ShardSet
	// generation is the table's generation for which shards was computed.
	generation uint64
	// allowed says whether the newest request allowed shards to be lent.
	allowed bool
	lent    lease.Lent
}

// withdrawal is a set of shards that a borrower no longer gets but may still
// use: until it acknowledges a version that lacks them, or the lease has ended.
type withdrawal struct {
	borrower *borrower
	version  uint64
	lent     lease.Lent
	shards   []Shard
}

// lendingTable says to which borrower each shard is lent. It is the same for
// all shares of the lender.
type lendingTable struct {
	borrowers map[instance.Address]*borrower
	// ordered is sorted by address.
	ordered []*borrower
	// shardKeys are the keys for rendezvous hashing, by shard.
	shardKeys []uint64
	// best is the highest-ranked eligible borrower of each shard, and
	// bestScores is its score.
	best       []*borrower
	bestScores []uint64
	// owner is the borrower that may be using each shard.
	owner []*borrower
	// withdrawing marks the shards of the withdrawals.
	withdrawing []bool
	withdrawals []withdrawal
	// generation changes whenever best or owner may have changed.
	generation uint64
	// version is the newest version given to any borrower.
	version uint64
	// nextExpiry is when expire next has something to do, or zero if nothing is
	// lent.
	nextExpiry time.Duration
}

// newLendingTable returns a table without borrowers.
func newLendingTable() lendingTable {
	t := lendingTable{
		borrowers:   map[instance.Address]*borrower{},
		shardKeys:   make([]uint64, Shards),
		best:        make([]*borrower, Shards),
		bestScores:  make([]uint64, Shards),
		owner:       make([]*borrower, Shards),
		withdrawing: make([]bool, Shards),
	}
	for i := range t.shardKeys {
		t.shardKeys[i] = instance.Hash("shard", uint64(i))
	}
	return t
}

// handleLeaseRequest responds to a request, unless a newer request or a later
// run of the borrower is known.
func (s *State) handleLeaseRequest(from instance.ID, m LeaseRequest) {
	t := &s.lending
	b := t.borrowerOf(s, from)
	if b == nil || m.Number <= b.lastRequest {
		return
	}
	b.lastRequest = m.Number
	b.lastRequestAt = s.now
	b.acceptsHandover = m.AcceptsHandover
	sameIncarnation := m.Lender == s.self.Incarnation
	if sameIncarnation {
		t.acknowledge(s, b, m.Version)
	}
	rights, term := s.lendable()
	allowed := sameIncarnation && m.InContact && !m.Leaving && len(rights) > 0 && s.servesRegionOf(b)
	t.updateEligibility(s, b, allowed, m.Leaving)
	t.updateShards(s, b, rights, allowed)
	response := LeaseResponse{
		Requester:   from.Incarnation,
		Number:      m.Number,
		Version:     b.version,
		Term:        term,
		ConfirmTerm: s.term,
		Refused:     s.confirmAll(m.Rights),
	}
	if b.shards.Len() > 0 {
		b.lent = b.lent.Extend(lease.Lend(s.now, term))
		t.expireAt(b.lent.Until)
	}
	if !sameIncarnation || m.Version != b.version {
		response.Full = true
		response.Rights = rights
		response.Shards = b.shards
	}
	s.send(from.Address, response)
}

// servesRegionOf reports whether shards may be lent to the borrower's region.
func (s *State) servesRegionOf(b *borrower) bool {
	return !s.withinRegion || b.info.Region == s.self.Region
}

// borrowerOf returns the entry of the instance that sent a request, or nil if a
// later run of it is known. An entry of an earlier run is replaced.
func (t *lendingTable) borrowerOf(s *State, from instance.ID) *borrower {
	b := t.borrowers[from.Address]
	if b != nil && b.incarnationKnown && from.Incarnation < b.info.Incarnation {
		return nil
	}
	if b != nil && b.incarnationKnown && from.Incarnation > b.info.Incarnation {
		t.retire(s, b)
		b = nil
	}
	if b == nil {
		b = t.add(s.memberInfo(from.Address))
	}
	b.info.ID = from
	b.incarnationKnown = true
	return b
}

// add adds a borrower.
func (t *lendingTable) add(info instance.Info) *borrower {
	b := &borrower{
		info: info,
	}
	t.borrowers[info.Address] = b
	i, _ := t.find(info.Address)
	t.ordered = slices.Insert(t.ordered, i, b)
	return b
}

// remove removes the borrower at an address.
func (t *lendingTable) remove(a instance.Address) {
	delete(t.borrowers, a)
	if i, found := t.find(a); found {
		t.ordered = slices.Delete(t.ordered, i, i+1)
	}
}

// find returns the index in ordered of an address, and whether it is there.
func (t *lendingTable) find(a instance.Address) (int, bool) {
	return slices.BinarySearchFunc(t.ordered, a, func(b *borrower, a instance.Address) int {
		return compareAddresses(b.info.Address, a)
	})
}

// memberInfo returns the member at an address, or just the address if there is
// no such member.
func (s *State) memberInfo(a instance.Address) instance.Info {
	i, found := slices.BinarySearchFunc(s.members, a, func(m instance.Info, a instance.Address) int {
		return compareAddresses(m.Address, a)
	})
	if found {
		return s.members[i]
	}
	return instance.Info{
		ID: instance.ID{
			Address: a,
		},
	}
}

// updateEligibility updates whether the borrower is eligible. A borrower that
// isn't leaving stays eligible for a lending term after its last qualifying
// request.
func (t *lendingTable) updateEligibility(s *State, b *borrower, allowed, leaving bool) {
	if allowed {
		b.lastQualified = s.now
		t.expireAt(s.now + s.effectiveLendingTerm())
	}
	grace := b.eligible && !leaving && s.now < b.lastQualified+s.effectiveLendingTerm()
	if eligible := allowed || grace; eligible != b.eligible {
		t.setEligible(b, eligible)
	}
}

// setEligible sets whether the borrower is eligible, and updates the best
// borrower of each shard.
func (t *lendingTable) setEligible(b *borrower, eligible bool) {
	b.eligible = eligible
	t.generation++
	for i := range t.best {
		if eligible {
			t.updateBest(i, b)
		} else if t.best[i] == b {
			t.recomputeBest(i)
		}
	}
}

// updateBest makes the borrower the shard's best if it ranks above the current
// one.
func (t *lendingTable) updateBest(shard int, b *borrower) {
	score := instance.Score(t.shardKeys[shard], b.info.Address)
	best := t.best[shard]
	tie := best != nil && score == t.bestScores[shard] && b.info.Address < best.info.Address
	if best == nil || score > t.bestScores[shard] || tie {
		t.best[shard] = b
		t.bestScores[shard] = score
	}
}

// recomputeBest finds the shard's best borrower among all eligible ones.
func (t *lendingTable) recomputeBest(shard int) {
	t.best[shard] = nil
	for _, b := range t.ordered {
		if b.eligible {
			t.updateBest(shard, b)
		}
	}
}

// updateShards brings the set of shards that is lent to the borrower up to
// date. It returns early in the usual case that neither the table nor the
// rights changed.
func (t *lendingTable) updateShards(s *State, b *borrower, rights []Right, allowed bool) {
	unchanged := b.generation == t.generation && b.allowed == allowed && b.version > 0
	if unchanged && slices.Equal(rights, b.rights) {
		return
	}
	b.generation = t.generation
	b.allowed = allowed
	set, removed := t.computeShards(b, allowed)
	if b.version > 0 && slices.Equal(rights, b.rights) && set == b.shards.Words() {
		return
	}
	t.version++
	b.version = t.version
	b.rights = rights
	if b.shards.Words() != set {
		b.shards = SetFromWords(set)
		s.emit(Decision{
			Action: LentShards,
			Peer:   b.info.Address,
			Shards: b.shards.Len(),
		})
	}
	t.withdraw(b, removed)
}

// computeShards returns the set of shards that the borrower should have, and
// the shards that it loses.
func (t *lendingTable) computeShards(b *borrower, allowed bool) ([WordsPerSet]uint64, []Shard) {
	var set [WordsPerSet]uint64
	var removed []Shard
	for i := range t.best {
		assigned := allowed && t.best[i] == b && !t.withdrawing[i]
		if assigned && t.owner[i] == nil {
			t.owner[i] = b
		}
		if t.owner[i] != b || t.withdrawing[i] {
			continue
		}
		if assigned {
			set[i/wordBits] |= 1 << (i % wordBits)
		} else {
			removed = append(removed, Shard(i))
		}
	}
	return set, removed
}

// withdraw starts the withdrawal of the shards that the borrower loses with its
// new version.
func (t *lendingTable) withdraw(b *borrower, removed []Shard) {
	if len(removed) == 0 {
		return
	}
	for _, shard := range removed {
		t.withdrawing[shard] = true
	}
	t.withdrawals = append(t.withdrawals, withdrawal{
		borrower: b,
		version:  b.version,
		lent:     b.lent,
		shards:   removed,
	})
	t.expireAt(b.lent.Until)
}

// acknowledge ends the withdrawals that the borrower completed by applying a
// version, and those of any borrower whose lease has ended.
func (t *lendingTable) acknowledge(s *State, b *borrower, version uint64) {
	t.endWithdrawals(func(w withdrawal) bool {
		return w.lent.Ended(s.now) || w.borrower == b && version >= w.version
	})
}

// endWithdrawals frees the shards of the withdrawals for which done returns
// true.
func (t *lendingTable) endWithdrawals(done func(withdrawal) bool) {
	t.withdrawals = slices.DeleteFunc(t.withdrawals, func(w withdrawal) bool {
		if !done(w) {
			return false
		}
		for _, shard := range w.shards {
			t.owner[shard] = nil
			t.withdrawing[shard] = false
		}
		t.generation++
		return true
	})
}

// handleReturn frees all shards of a stopping borrower.
func (t *lendingTable) handleReturn(s *State, from instance.ID, m Return) {
	b := t.borrowers[from.Address]
	if b == nil || b.info.ID != from || m.Lender != s.self.Incarnation || m.Number < b.lastRequest {
		return
	}
	b.lastRequest = m.Number
	t.setEligible(b, false)
	b.lent = lease.Lent{}
	t.release(b)
	t.endWithdrawals(func(w withdrawal) bool { return w.borrower == b })
}

// release frees all shards of a borrower whose lease has ended or was returned,
// except those being withdrawn.
func (t *lendingTable) release(b *borrower) {
	for i, o := range t.owner {
		if o == b && !t.withdrawing[i] {
			t.owner[i] = nil
		}
	}
	t.generation++
	t.version++
	b.version = t.version
	b.shards = ShardSet{}
	b.allowed = false
}

// retire removes a borrower from the table. Its shards stay lent until its
// lease ends.
func (t *lendingTable) retire(s *State, b *borrower) {
	if b.eligible {
		t.setEligible(b, false)
	}
	_, removed := t.computeShards(b, false)
	t.version++
	b.version = t.version
	t.withdraw(b, removed)
	t.remove(b.info.Address)
	t.expireAt(s.now)
}

// expireAt makes expire run at the given time or earlier.
func (t *lendingTable) expireAt(at time.Duration) {
	if t.nextExpiry == 0 || at < t.nextExpiry {
		t.nextExpiry = max(at, 1)
	}
}

// expire frees the shards whose lease has ended, and makes borrowers that
// stopped sending requests ineligible.
func (t *lendingTable) expire(s *State) {
	if t.nextExpiry == 0 || s.now < t.nextExpiry {
		return
	}
	t.nextExpiry = 0
	t.endWithdrawals(func(w withdrawal) bool { return w.lent.Ended(s.now) })
	for _, w := range t.withdrawals {
		t.expireAt(w.lent.Until)
	}
	term := s.effectiveLendingTerm()
	for _, b := range t.ordered {
		if b.eligible && s.now >= b.lastQualified+term {
			t.setEligible(b, false)
		} else if b.eligible {
			t.expireAt(b.lastQualified + term)
		}
		if b.shards.Len() > 0 && b.lent.Ended(s.now) {
			t.release(b)
		} else if b.shards.Len() > 0 {
			t.expireAt(b.lent.Until)
		}
	}
}

// inUseFor returns for how long borrowers may still use any shard.
func (t *lendingTable) inUseFor(now time.Duration) time.Duration {
	var longest time.Duration
	for _, b := range t.ordered {
		longest = max(longest, b.lent.Until-now)
	}
	for _, w := range t.withdrawals {
		longest = max(longest, w.lent.Until-now)
	}
	return longest
}

// assumeEligible makes all members eligible for a first lending term, if no
// borrower is eligible, so that a new lender doesn't lend all shards to the
// instance whose request comes first.
func (t *lendingTable) assumeEligible(s *State) {
	for _, b := range t.ordered {
		if b.eligible {
			return
		}
	}
	for _, m := range s.members {
		if m.Leaving || m.Address == s.self.Address && s.leaving {
			continue
		}
		b := t.borrowers[m.Address]
		if b == nil {
			b = t.add(m)
		}
		b.lastQualified = s.now
		if s.servesRegionOf(b) {
			t.setEligible(b, true)
		}
	}
	t.expireAt(s.now + s.effectiveLendingTerm())
}

// setMembers makes leaving instances ineligible, and removes those that are
// gone and have no shards.
func (t *lendingTable) setMembers(s *State) {
	members := make(map[instance.Address]instance.Info, len(s.members))
	for _, m := range s.members {
		members[m.Address] = m
	}
	for _, b := range slices.Clone(t.ordered) {
		m, alive := members[b.info.Address]
		if alive {
			b.info.Zone = m.Zone
			b.info.Region = m.Region
		}
		if b.eligible && m.Leaving {
			t.setEligible(b, false)
		}
		if !alive && !b.eligible && b.shards.Len() == 0 && b.lent.Ended(s.now) {
			t.retire(s, b)
		}
	}
}

// sendOffers tells the members that send no requests that this instance has
// shards to lend.
func (s *State) sendOffers() {
	if s.leaving || s.held.count() == 0 {
		return
	}
	maxSilence := s.effectiveLendingTerm()
	for _, m := range s.members {
		if m.Address == s.self.Address {
			continue
		}
		b := s.lending.borrowers[m.Address]
		if b == nil || b.lastRequest == 0 || s.now > b.lastRequestAt+maxSilence {
			s.send(m.Address, Offer{})
		}
	}
}
