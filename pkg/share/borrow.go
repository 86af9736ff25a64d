package share

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/lease"
)

// maxIdleRounds is how many requests in a row may bring no shares before a
// lender is forgotten.
const maxIdleRounds = 3

// lender is the state that this instance keeps about an instance that lends to
// it.
type lender struct {
	id       instance.ID
	requests lease.Requests
	// claimedRights are the rights that each stored request asked the lender to
	// confirm, by the request's number.
	claimedRights map[uint64][]Right
	// version, rights and shards are those of the newest response that was
	// applied.
	version uint64
	rights  []Right
	shards  ShardSet
	// reported are the shares of which BorrowedChanged has reported a right from
	// this lender that hasn't ended.
	reported []Number
	borrowed lease.Borrowed
	// recentContact is live for a lending term after the newest request that
	// was answered. The lender lends only to instances that report this
	// contact.
	recentContact lease.Borrowed
	// contact is live for a term after the newest request that was answered.
	contact lease.Borrowed
	// idleRounds counts the requests since the lender last had shares or sent
	// an offer.
	idleRounds int
	member     bool
}

// lenders holds all instances that lend to this one, or offered to.
type lenders struct {
	byAddress map[instance.Address]*lender
	// ordered is sorted by address.
	ordered []*lender
	// lastRequest is the number of the newest request to any lender.
	lastRequest uint64
	// source is the lender that gave the current right of each share.
	source map[Number]*lender
	// nextExpiry is when expire next checks for ended rights: when the next
	// borrowed right ends if it isn't renewed, or, after a check that found none
	// borrowed, a term later. It is zero before the first check.
	nextExpiry time.Duration
}

// compareAddresses orders addresses as strings.
func compareAddresses(a, b instance.Address) int {
	return cmp.Compare(a, b)
}

// get returns the lender at an address. It adds the lender if it is new.
func (l *lenders) get(a instance.Address) *lender {
	x := l.byAddress[a]
	if x == nil {
		x = &lender{
			id: instance.ID{
				Address: a,
			},
			claimedRights: map[uint64][]Right{},
			member:        true,
		}
		l.byAddress[a] = x
		i, _ := slices.BinarySearchFunc(l.ordered, x, func(a, b *lender) int {
			return compareAddresses(a.id.Address, b.id.Address)
		})
		l.ordered = slices.Insert(l.ordered, i, x)
	}
	return x
}

// setMembers updates which lenders are members.
func (l *lenders) setMembers(s *State) {
	for _, x := range l.ordered {
		_, x.member = slices.BinarySearchFunc(s.members, x.id.Address, func(m instance.Info, a instance.Address) int {
			return compareAddresses(m.Address, a)
		})
	}
}

// expire ends the rights that weren't renewed in time, and removes lenders that
// are no longer members or have had nothing to lend for a while.
func (l *lenders) expire(s *State) {
	if l.nextExpiry > s.now {
		return
	}
	l.nextExpiry = 0
	keep := l.ordered[:0]
	for _, x := range l.ordered {
		if !x.borrowed.Live(s.now) {
			l.reportEnded(s, x, nil)
		} else if l.nextExpiry == 0 || x.borrowed.Until < l.nextExpiry {
			l.nextExpiry = x.borrowed.Until
		}
		gone := !x.member || x.idleRounds > maxIdleRounds
		if gone && len(x.reported) == 0 && !x.contact.Live(s.now) {
			delete(l.byAddress, x.id.Address)
			continue
		}
		keep = append(keep, x)
	}
	clear(l.ordered[len(keep):])
	l.ordered = keep
	if l.nextExpiry == 0 {
		l.nextExpiry = s.now + s.term
	}
}

// reportEnded emits BorrowedChanged for the rights from a lender that have ended,
// which are all except those of the kept shares.
func (l *lenders) reportEnded(s *State, x *lender, kept []Number) {
	for _, n := range x.reported {
		if slices.Contains(kept, n) || l.source[n] != x {
			continue
		}
		delete(l.source, n)
		s.emit(BorrowedChanged{
			Borrowed: BorrowedShare{
				Share: n,
			},
		})
	}
	x.reported = kept
}

// reachableShares returns for each share whether its holder answered a request
// within the last term.
func (l *lenders) reachableShares(now time.Duration, total int) []bool {
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

// requestAll sends a request to every lender, and confirms this instance's own
// rights.
func (s *State) requestAll() {
	rights := s.held.rights()
	if len(rights) > 0 {
		s.lenders.get(s.self.Address)
	}
	for _, x := range s.lenders.ordered {
		if x.member {
			s.request(x, rights)
		}
	}
	s.confirmOwn(rights)
}

// request sends a LeaseRequest to a lender.
func (s *State) request(x *lender, rights []Right) {
	s.lenders.lastRequest++
	number := s.lenders.lastRequest
	x.requests.RecordSent(number, s.now)
	x.idleRounds++
	if len(rights) > 0 {
		x.claimedRights[number] = rights
	}
	for n := range x.claimedRights {
		if _, known := x.requests.SentAt(n); !known {
			delete(x.claimedRights, n)
		}
	}
	s.send(x.id.Address, LeaseRequest{
		Number:          number,
		Lender:          x.id.Incarnation,
		Version:         x.version,
		InContact:       x.recentContact.Live(s.now),
		AcceptsHandover: s.acceptsHandover(),
		Leaving:         s.leaving,
		Rights:          rights,
	})
}

// confirmOwn adds the votes of this instance's own shares to the confirmations
// of its rights. This needs no message, since the instance never fences a share
// that it still uses.
func (s *State) confirmOwn(rights []Right) {
	votes := s.ownVotingShares()
	if len(votes) == 0 {
		return
	}
	for _, r := range rights {
		if r.Sequence > s.voter.fences[r.Share] {
			s.held.byShare[r.Share].addConfirmations(votes, s.borrow(s.now, s.term))
		}
	}
}

// ownVotingShares returns the usable shares of this instance that have a vote.
func (s *State) ownVotingShares() []Number {
	var votes []Number
	for n, h := range s.held.byShare {
		if h != nil && h.right.Voting && h.usable(s, s.now) {
			votes = append(votes, Number(n))
		}
	}
	return votes
}

// handleOffer sends a request to an instance that offers to lend.
func (s *State) handleOffer(from instance.ID) {
	x := s.lenders.get(from.Address)
	x.idleRounds = 0
	if !x.recentContact.Live(s.now) {
		s.request(x, s.held.rights())
	}
}

// handleLeaseResponse applies a lender's response. It ignores responses to
// another run of this instance, from an earlier run of the lender, to unknown
// requests, and of versions that can't be applied.
func (s *State) handleLeaseResponse(from instance.ID, m LeaseResponse) {
	x := s.lenders.byAddress[from.Address]
	if x == nil || m.Requester != s.self.Incarnation || from.Incarnation < x.id.Incarnation {
		return
	}
	sent, ok := x.requests.SentAt(m.Number)
	if !ok {
		return
	}
	if from.Incarnation > x.id.Incarnation {
		s.resetLender(x, from)
	}
	applicable := m.Full && m.Version > x.version || m.Version == x.version && m.Version > 0
	if !applicable {
		return
	}
	firstContact := !x.recentContact.Live(s.now)
	x.recentContact = x.recentContact.Extend(s.borrow(sent, max(m.Term, s.effectiveLendingTerm())))
	x.contact = x.contact.Extend(s.borrow(sent, s.term))
	s.updateBorrowed(x, sent, m)
	s.countConfirmations(x, sent, m)
	if len(x.rights) > 0 {
		x.idleRounds = 0
	}
	if firstContact && !s.leaving {
		s.request(x, s.held.rights())
	}
}

// resetLender discards what an earlier run of the lender lent.
func (s *State) resetLender(x *lender, id instance.ID) {
	s.lenders.reportEnded(s, x, nil)
	x.id = id
	x.version = 0
	x.rights = nil
	x.shards = ShardSet{}
	x.borrowed = lease.Borrowed{}
	x.recentContact = lease.Borrowed{}
	x.contact = lease.Borrowed{}
}

// updateBorrowed applies the rights and shards that a response lends.
func (s *State) updateBorrowed(x *lender, sent time.Duration, m LeaseResponse) {
	borrowed := s.borrow(sent, m.Term)
	if m.Version > x.version {
		x.version = m.Version
		x.shards = m.Shards
		x.rights = slices.DeleteFunc(slices.Clone(m.Rights), func(r Right) bool { return !s.validShare(r.Share) })
		x.borrowed = borrowed
	}
	for _, r := range x.rights {
		s.noteSeen(r.Share, x.id.Address)
	}
	x.borrowed = x.borrowed.Extend(borrowed)
	if s.leaving || x.shards.Len() == 0 || !x.borrowed.Live(s.now) {
		x.borrowed = lease.Borrowed{}
		s.lenders.reportEnded(s, x, nil)
		return
	}
	s.reportBorrowed(x)
}

// reportBorrowed emits BorrowedChanged for each right from a lender, and for those
// that the lender no longer lends.
func (s *State) reportBorrowed(x *lender) {
	lent := make([]Number, 0, len(x.rights))
	for _, r := range x.rights {
		lent = append(lent, r.Share)
	}
	s.lenders.reportEnded(s, x, lent)
	if s.lenders.source == nil {
		s.lenders.source = map[Number]*lender{}
	}
	for _, n := range lent {
		s.lenders.source[n] = x
		s.emit(BorrowedChanged{
			Borrowed: BorrowedShare{
				Share:  n,
				Until:  x.borrowed.Until,
				Shards: x.shards,
			},
		})
	}
	if s.lenders.nextExpiry == 0 || x.borrowed.Until < s.lenders.nextExpiry {
		s.lenders.nextExpiry = x.borrowed.Until
	}
}

// countConfirmations adds the lender's votes to the confirmations of the rights
// that the request named.
func (s *State) countConfirmations(x *lender, sent time.Duration, m LeaseResponse) {
	var votes []Number
	for _, r := range x.rights {
		if r.Voting {
			votes = append(votes, r.Share)
		}
	}
	if len(votes) == 0 || m.ConfirmTerm == 0 {
		return
	}
	confirmed := s.borrow(sent, m.ConfirmTerm)
	for _, r := range x.claimedRights[m.Number] {
		h := s.held.byShare[r.Share]
		current := h != nil && h.right.Sequence == r.Sequence
		if current && !slices.Contains(m.Refused, r.Share) {
			h.addConfirmations(votes, confirmed)
		}
	}
}
