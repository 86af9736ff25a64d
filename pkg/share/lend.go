package share

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/lease"
)

// borrower is what a lender remembers of an instance that asks it.
type borrower struct {
	info instance.Info
	// known says that an ask told the incarnation.
	known bool
	// eligible says that shards may be lent to it.
	eligible bool
	// seen is when it last asked in a way that shows that it hears the lender.
	seen time.Duration
	// asked is when it last asked at all, and number that ask's.
	asked   time.Duration
	number  uint64
	accepts bool
	// version names set and rights. The asker has them, or will.
	version uint64
	rights  []Right
	set     ShardSet
	// generation is the table's when the set was made.
	generation uint64
	allowed    bool
	lent       lease.Lent
}

// withdrawal is a part of a borrower's set that may still be in use: until the
// borrower is known to have a later version, or the lease has ended.
type withdrawal struct {
	from    *borrower
	version uint64
	lent    lease.Lent
	shards  []Shard
}

// table says to whom each shard is lent, from all of the lender's shares alike.
type table struct {
	borrowers map[instance.Address]*borrower
	ordered   []*borrower
	keys      []uint64
	// best is the highest-ranked eligible borrower of a shard, owner the one
	// that may be using it.
	best   []*borrower
	scores []uint64
	owner  []*borrower
	// pending marks shards of an open withdrawal.
	pending     []bool
	withdrawals []withdrawal
	generation  uint64
	version     uint64
	due         time.Duration
}

func newTable() table {
	t := table{
		borrowers: map[instance.Address]*borrower{},
		keys:      make([]uint64, Shards),
		best:      make([]*borrower, Shards),
		scores:    make([]uint64, Shards),
		owner:     make([]*borrower, Shards),
		pending:   make([]bool, Shards),
	}
	for i := range t.keys {
		t.keys[i] = instance.Hash("shard", uint64(i))
	}
	return t
}

// answer answers an ask.
func (s *State) answer(from instance.ID, m LeaseRequest) {
	t := &s.lending
	b := t.asker(s, from)
	if b == nil || m.Number <= b.number {
		return
	}
	b.number = m.Number
	b.asked = s.now
	b.accepts = m.AcceptsHandover
	mine := m.Lender == s.self.Incarnation
	if mine {
		t.acknowledge(s, b, m.Version)
	}
	rights, term := s.lendable()
	allowed := mine && m.InContact && !m.Leaving && len(rights) > 0 && s.serves(b)
	t.judge(s, b, allowed, m.Leaving)
	t.assign(s, b, rights, allowed)
	answer := LeaseResponse{
		Requester:   from.Incarnation,
		Number:      m.Number,
		Version:     b.version,
		Term:        term,
		ConfirmTerm: s.term,
		Refused:     s.refusals(m.Rights),
	}
	if b.set.Len() > 0 {
		b.lent = b.lent.Extend(lease.Lend(s.now, term))
		t.wake(b.lent.Until)
	}
	if !mine || m.Version != b.version {
		answer.Full = true
		answer.Rights = rights
		answer.Shards = b.set
	}
	s.send(from.Address, answer)
}

// serves reports whether shards go to the borrower's region at all.
func (s *State) serves(b *borrower) bool {
	return !s.region || b.info.Region == s.self.Region
}

// asker returns the entry of an asker, nil for one whose successor is known.
func (t *table) asker(s *State, from instance.ID) *borrower {
	b := t.borrowers[from.Address]
	if b != nil && b.known && from.Incarnation < b.info.Incarnation {
		return nil
	}
	if b != nil && b.known && from.Incarnation > b.info.Incarnation {
		t.retire(s, b)
		b = nil
	}
	if b == nil {
		b = t.add(s.memberInfo(from.Address))
	}
	b.info.ID = from
	b.known = true
	return b
}

func (t *table) add(info instance.Info) *borrower {
	b := &borrower{
		info: info,
	}
	t.borrowers[info.Address] = b
	i, _ := t.find(info.Address)
	t.ordered = slices.Insert(t.ordered, i, b)
	return b
}

func (t *table) remove(a instance.Address) {
	delete(t.borrowers, a)
	if i, found := t.find(a); found {
		t.ordered = slices.Delete(t.ordered, i, i+1)
	}
}

func (t *table) find(a instance.Address) (int, bool) {
	return slices.BinarySearchFunc(t.ordered, a, func(b *borrower, a instance.Address) int {
		return compareAddresses(b.info.Address, a)
	})
}

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

// judge decides whether the borrower is eligible.
func (t *table) judge(s *State, b *borrower, allowed, leaving bool) {
	if allowed {
		b.seen = s.now
		t.wake(s.now + s.lendTerm())
	}
	grace := b.eligible && !leaving && s.now < b.seen+s.lendTerm()
	if eligible := allowed || grace; eligible != b.eligible {
		t.setEligible(b, eligible)
	}
}

func (t *table) setEligible(b *borrower, eligible bool) {
	b.eligible = eligible
	t.generation++
	for i := range t.best {
		if eligible {
			t.contend(i, b)
		} else if t.best[i] == b {
			t.elect(i)
		}
	}
}

// contend makes the borrower the shard's best if it outranks that.
func (t *table) contend(shard int, b *borrower) {
	score := instance.Score(t.keys[shard], b.info.Address)
	first := t.best[shard]
	tie := first != nil && score == t.scores[shard] && b.info.Address < first.info.Address
	if first == nil || score > t.scores[shard] || tie {
		t.best[shard] = b
		t.scores[shard] = score
	}
}

// elect finds the shard's best anew.
func (t *table) elect(shard int) {
	t.best[shard] = nil
	for _, b := range t.ordered {
		if b.eligible {
			t.contend(shard, b)
		}
	}
}

// assign brings a borrower's set up to date. Nothing is done, as in nearly all
// cases, if neither the table nor the rights changed.
func (t *table) assign(s *State, b *borrower, rights []Right, allowed bool) {
	same := b.generation == t.generation && b.allowed == allowed && b.version > 0
	if same && slices.Equal(rights, b.rights) {
		return
	}
	b.generation = t.generation
	b.allowed = allowed
	set, removed := t.compute(b, allowed)
	if b.version > 0 && slices.Equal(rights, b.rights) && set == b.set.Words() {
		return
	}
	t.version++
	b.version = t.version
	b.rights = rights
	if b.set.Words() != set {
		b.set = SetFromWords(set)
		s.emit(Decision{
			Action: LentShards,
			Peer:   b.info.Address,
			Shards: b.set.Len(),
		})
	}
	t.withdraw(b, removed)
}

// compute returns the set that the borrower should have, and what it loses.
func (t *table) compute(b *borrower, allowed bool) ([WordsPerSet]uint64, []Shard) {
	var set [WordsPerSet]uint64
	var removed []Shard
	for i := range t.best {
		wanted := allowed && t.best[i] == b && !t.pending[i]
		if wanted && t.owner[i] == nil {
			t.owner[i] = b
		}
		if t.owner[i] != b || t.pending[i] {
			continue
		}
		if wanted {
			set[i/wordBits] |= 1 << (i % wordBits)
		} else {
			removed = append(removed, Shard(i))
		}
	}
	return set, removed
}

// withdraw notes what the borrower loses with its new version.
func (t *table) withdraw(b *borrower, removed []Shard) {
	if len(removed) == 0 {
		return
	}
	for _, h := range removed {
		t.pending[h] = true
	}
	t.withdrawals = append(t.withdrawals, withdrawal{
		from:    b,
		version: b.version,
		lent:    b.lent,
		shards:  removed,
	})
	t.wake(b.lent.Until)
}

// acknowledge frees what the borrower has given up by taking in a version.
func (t *table) acknowledge(s *State, b *borrower, version uint64) {
	t.free(func(w withdrawal) bool {
		return w.lent.Ended(s.now) || w.from == b && version >= w.version
	})
}

// free frees the shards of the withdrawals that are done.
func (t *table) free(done func(withdrawal) bool) {
	t.withdrawals = slices.DeleteFunc(t.withdrawals, func(w withdrawal) bool {
		if !done(w) {
			return false
		}
		for _, h := range w.shards {
			t.owner[h] = nil
			t.pending[h] = false
		}
		t.generation++
		return true
	})
}

// takeReturn frees all that a stopping borrower gives back.
func (t *table) takeReturn(s *State, from instance.ID, m Return) {
	b := t.borrowers[from.Address]
	if b == nil || b.info.ID != from || m.Lender != s.self.Incarnation || m.Number < b.number {
		return
	}
	b.number = m.Number
	t.setEligible(b, false)
	b.lent = lease.Lent{}
	t.release(b)
	t.free(func(w withdrawal) bool { return w.from == b })
}

// release frees a borrower's whole set, whose lease has ended.
func (t *table) release(b *borrower) {
	for i, o := range t.owner {
		if o == b && !t.pending[i] {
			t.owner[i] = nil
		}
	}
	t.generation++
	t.version++
	b.version = t.version
	b.set = ShardSet{}
	b.allowed = false
}

// retire takes a borrower off the table; what it has stays lent until the
// lease's end.
func (t *table) retire(s *State, b *borrower) {
	if b.eligible {
		t.setEligible(b, false)
	}
	_, removed := t.compute(b, false)
	t.version++
	b.version = t.version
	t.withdraw(b, removed)
	t.remove(b.info.Address)
	t.wake(s.now)
}

func (t *table) wake(at time.Duration) {
	if t.due == 0 || at < t.due {
		t.due = max(at, 1)
	}
}

// expire frees what has ended, and passes over borrowers that fell silent.
func (t *table) expire(s *State) {
	if t.due == 0 || s.now < t.due {
		return
	}
	t.due = 0
	t.free(func(w withdrawal) bool { return w.lent.Ended(s.now) })
	for _, w := range t.withdrawals {
		t.wake(w.lent.Until)
	}
	term := s.lendTerm()
	for _, b := range t.ordered {
		if b.eligible && s.now >= b.seen+term {
			t.setEligible(b, false)
		} else if b.eligible {
			t.wake(b.seen + term)
		}
		if b.set.Len() > 0 && b.lent.Ended(s.now) {
			t.release(b)
		} else if b.set.Len() > 0 {
			t.wake(b.lent.Until)
		}
	}
}

// busy is for how long anything may still be in use by borrowers.
func (t *table) busy(now time.Duration) time.Duration {
	var longest time.Duration
	for _, b := range t.ordered {
		longest = max(longest, b.lent.Until-now)
	}
	for _, w := range t.withdrawals {
		longest = max(longest, w.lent.Until-now)
	}
	return longest
}

// presume makes all members eligible for a first term, so that a new lender
// doesn't lend everything to whoever asks first.
func (t *table) presume(s *State) {
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
		b.seen = s.now
		if s.serves(b) {
			t.setEligible(b, true)
		}
	}
	t.wake(s.now + s.lendTerm())
}

// setMembers takes leaving instances out of the ranks, and forgets those that
// are gone and have nothing.
func (t *table) setMembers(s *State) {
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
		if !alive && !b.eligible && b.set.Len() == 0 && b.lent.Ended(s.now) {
			t.retire(s, b)
		}
	}
}

// offer tells members that don't ask that there is something to lend.
func (s *State) offer() {
	if s.leaving || s.held.count() == 0 {
		return
	}
	quiet := s.lendTerm()
	for _, m := range s.members {
		if m.Address == s.self.Address {
			continue
		}
		b := s.lending.borrowers[m.Address]
		if b == nil || b.number == 0 || s.now > b.asked+quiet {
			s.send(m.Address, Offer{})
		}
	}
}
