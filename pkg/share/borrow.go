package share

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/lease"
)

// idleBeats is for how many rounds a lender without shares is still asked.
const idleBeats = 3

// lender is what an instance remembers of one that lends to it.
type lender struct {
	id      instance.ID
	asks    lease.Requests
	claimed map[uint64][]Right
	// version, rights and shards are the newest that were taken in.
	version uint64
	rights  []Right
	shards  ShardSet
	// lent are the shares for which a right is now with the coordinator.
	lent     []Number
	borrowed lease.Borrowed
	// heard runs while the lender counts as heard by this instance.
	heard lease.Borrowed
	// contact runs for a term from the ask that was last answered.
	contact lease.Borrowed
	idle    int
	member  bool
}

// lenders are all that lend, or offered to.
type lenders struct {
	byAddress map[instance.Address]*lender
	ordered   []*lender
	number    uint64
	// source is the lender that a share's right came from last.
	source map[Number]*lender
	// due is when the next right ends, if it isn't renewed.
	due time.Duration
}

func compareAddresses(a, b instance.Address) int {
	return cmp.Compare(a, b)
}

func (l *lenders) get(a instance.Address) *lender {
	x := l.byAddress[a]
	if x == nil {
		x = &lender{
			id: instance.ID{
				Address: a,
			},
			claimed: map[uint64][]Right{},
			member:  true,
		}
		l.byAddress[a] = x
		i, _ := slices.BinarySearchFunc(l.ordered, x, func(a, b *lender) int {
			return compareAddresses(a.id.Address, b.id.Address)
		})
		l.ordered = slices.Insert(l.ordered, i, x)
	}
	return x
}

// setMembers notes which lenders are believed alive.
func (l *lenders) setMembers(s *State) {
	for _, x := range l.ordered {
		_, x.member = slices.BinarySearchFunc(s.members, x.id.Address, func(m instance.Info, a instance.Address) int {
			return compareAddresses(m.Address, a)
		})
	}
}

// expire ends what wasn't renewed in time, and forgets lenders that are gone.
func (l *lenders) expire(s *State) {
	if l.due > s.now {
		return
	}
	l.due = 0
	keep := l.ordered[:0]
	for _, x := range l.ordered {
		if !x.borrowed.Live(s.now) {
			l.end(s, x, nil)
		} else if l.due == 0 || x.borrowed.Until < l.due {
			l.due = x.borrowed.Until
		}
		gone := !x.member || x.idle > idleBeats
		if gone && len(x.lent) == 0 && !x.contact.Live(s.now) {
			delete(l.byAddress, x.id.Address)
			continue
		}
		keep = append(keep, x)
	}
	clear(l.ordered[len(keep):])
	l.ordered = keep
	if l.due == 0 {
		l.due = s.now + s.term
	}
}

// end tells the coordinator of the rights from a lender that are no more: those
// not among the kept ones.
func (l *lenders) end(s *State, x *lender, kept []Number) {
	for _, n := range x.lent {
		if slices.Contains(kept, n) || l.source[n] != x {
			continue
		}
		delete(l.source, n)
		s.emit(BorrowedChanged{
			Borrowed: Borrowed{
				Share: n,
			},
		})
	}
	x.lent = kept
}

// contact returns the shares whose holders were heard within the term.
func (l *lenders) contact(now time.Duration, total int) []bool {
	shares := make([]bool, total)
	for _, x := range l.ordered {
		if !x.contact.Live(now) {
			continue
		}
		for _, r := range x.rights {
			shares[r.Share] = true
		}
	}
	return shares
}

// askAll sends a round of asks.
func (s *State) askAll() {
	rights := s.held.rights()
	if len(rights) > 0 {
		s.lenders.get(s.self.Address)
	}
	for _, x := range s.lenders.ordered {
		if x.member {
			s.ask(x, rights)
		}
	}
	s.vouchSelf(rights)
}

func (s *State) ask(x *lender, rights []Right) {
	s.lenders.number++
	number := s.lenders.number
	x.asks.RecordSent(number, s.now)
	x.idle++
	if len(rights) > 0 {
		x.claimed[number] = rights
	}
	for n := range x.claimed {
		if _, known := x.asks.SentAt(n); !known {
			delete(x.claimed, n)
		}
	}
	s.send(x.id.Address, LeaseRequest{
		Number:          number,
		Lender:          x.id.Incarnation,
		Version:         x.version,
		InContact:       x.heard.Live(s.now),
		AcceptsHandover: s.accepts(),
		Leaving:         s.leaving,
		Rights:          rights,
	})
}

// vouchSelf counts the votes of this instance's own shares for the others. It
// needs no message, since it would refuse to promise what it still uses.
func (s *State) vouchSelf(rights []Right) {
	votes := s.ownVotes()
	if len(votes) == 0 {
		return
	}
	for _, r := range rights {
		if r.Sequence > s.voter.floors[r.Share] {
			s.held.byShare[r.Share].vouch(votes, s.borrow(s.now, s.term))
		}
	}
}

// ownVotes are the usable shares of this instance whose votes count.
func (s *State) ownVotes() []Number {
	var votes []Number
	for n, h := range s.held.byShare {
		if h != nil && h.right.Voting && h.usable(s, s.now) {
			votes = append(votes, Number(n))
		}
	}
	return votes
}

// takeOffer asks an instance that says it lends.
func (s *State) takeOffer(from instance.ID) {
	x := s.lenders.get(from.Address)
	x.idle = 0
	if !x.heard.Live(s.now) {
		s.ask(x, s.held.rights())
	}
}

// takeAnswer takes in what a lender gives.
func (s *State) takeAnswer(from instance.ID, m LeaseResponse) {
	x := s.lenders.byAddress[from.Address]
	if x == nil || m.Requester != s.self.Incarnation || from.Incarnation < x.id.Incarnation {
		return
	}
	sent, ok := x.asks.SentAt(m.Number)
	if !ok {
		return
	}
	if from.Incarnation > x.id.Incarnation {
		s.renewLender(x, from)
	}
	known := m.Full && m.Version > x.version || m.Version == x.version && m.Version > 0
	if !known {
		return
	}
	first := !x.heard.Live(s.now)
	x.heard = x.heard.Extend(s.borrow(sent, max(m.Term, s.lendTerm())))
	x.contact = x.contact.Extend(s.borrow(sent, s.term))
	s.takeShards(x, sent, m)
	s.takeVouches(x, sent, m)
	if len(x.rights) > 0 {
		x.idle = 0
	}
	if first && !s.leaving {
		s.ask(x, s.held.rights())
	}
}

// renewLender forgets what an earlier run of the lender gave.
func (s *State) renewLender(x *lender, id instance.ID) {
	s.lenders.end(s, x, nil)
	x.id = id
	x.version = 0
	x.rights = nil
	x.shards = ShardSet{}
	x.borrowed = lease.Borrowed{}
	x.heard = lease.Borrowed{}
	x.contact = lease.Borrowed{}
}

// takeShards takes in the shards that are lent.
func (s *State) takeShards(x *lender, sent time.Duration, m LeaseResponse) {
	borrowed := s.borrow(sent, m.Term)
	if m.Version > x.version {
		x.version = m.Version
		x.shards = m.Shards
		x.rights = slices.DeleteFunc(slices.Clone(m.Rights), func(r Right) bool { return !s.valid(r.Share) })
		x.borrowed = borrowed
	}
	for _, r := range x.rights {
		s.sighted(r.Share, x.id.Address)
	}
	x.borrowed = x.borrowed.Extend(borrowed)
	if s.leaving || x.shards.Len() == 0 || !x.borrowed.Live(s.now) {
		x.borrowed = lease.Borrowed{}
		s.lenders.end(s, x, nil)
		return
	}
	s.lendersChanged(x)
}

// lendersChanged tells the coordinator what it has from one lender.
func (s *State) lendersChanged(x *lender) {
	lent := make([]Number, 0, len(x.rights))
	for _, r := range x.rights {
		lent = append(lent, r.Share)
	}
	s.lenders.end(s, x, lent)
	if s.lenders.source == nil {
		s.lenders.source = map[Number]*lender{}
	}
	for _, n := range lent {
		s.lenders.source[n] = x
		s.emit(BorrowedChanged{
			Borrowed: Borrowed{
				Share:  n,
				Until:  x.borrowed.Until,
				Shards: x.shards,
			},
		})
	}
	if s.lenders.due == 0 || x.borrowed.Until < s.lenders.due {
		s.lenders.due = x.borrowed.Until
	}
}

// takeVouches counts the lender's votes for the rights that the ask named.
func (s *State) takeVouches(x *lender, sent time.Duration, m LeaseResponse) {
	var votes []Number
	for _, r := range x.rights {
		if r.Voting {
			votes = append(votes, r.Share)
		}
	}
	if len(votes) == 0 || m.ConfirmTerm == 0 {
		return
	}
	vouched := s.borrow(sent, m.ConfirmTerm)
	for _, r := range x.claimed[m.Number] {
		h := s.held.byShare[r.Share]
		current := h != nil && h.right.Sequence == r.Sequence
		if current && !slices.Contains(m.Refused, r.Share) {
			h.vouch(votes, vouched)
		}
	}
}
