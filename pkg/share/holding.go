package share

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/lease"
	"dandelionmux/pkg/store"
)

// holding is a share that this instance holds, usable or not.
type holding struct {
	right Right
	// hop counts the handovers under the current Sequence.
	hop uint64
	// recordVersion is the version of the share's record in the store.
	recordVersion int64
	// recordSequence is the Sequence in that record. It is higher than the
	// right's if a void claim wrote the record.
	recordSequence uint64
	// lease is the platform lease that the record names for the right's
	// Sequence. It is zero if the share was handed over and not yet recorded in
	// the store.
	lease store.LeaseID
	// confirmations are the ends of the confirmations, by the share whose vote
	// gave them.
	confirmations []lease.Borrowed
	// confirmed is live while more than half the shares confirm the right.
	confirmed lease.Borrowed
	// freeAt is when no borrower of an earlier holder can use the share any
	// more.
	freeAt time.Duration
	// takenAt is when this instance learned that it holds the share.
	takenAt time.Duration
	// awaitsRecords says that the silent period has ended, and that the share
	// gets its vote after a listing of all records.
	awaitsRecords bool
	// lastUsableAt is when the share was last known to be usable.
	lastUsableAt time.Duration
}

// usable reports whether the share may be used at the given time.
func (h *holding) usable(s *State, now time.Duration) bool {
	return h.usableUntil(s).Live(now)
}

// usableUntil returns the lease on the share, by the platform lease or by
// confirmations, whichever ends later.
func (h *holding) usableUntil(s *State) lease.Borrowed {
	if h.lease != 0 && h.lease == s.session.lease {
		return h.confirmed.Extend(s.session.leaseUntil)
	}
	return h.confirmed
}

// addConfirmations records that the holder of the given votes confirmed the
// right until the given end.
func (h *holding) addConfirmations(votes []Number, b lease.Borrowed) {
	for _, v := range votes {
		h.confirmations[v] = h.confirmations[v].Extend(b)
	}
	ends := slices.Clone(h.confirmations)
	slices.SortFunc(ends, func(a, b lease.Borrowed) int {
		return cmp.Compare(b.Until, a.Until)
	})
	// ends is in descending order, so more than half of the confirmations last at
	// least until this one.
	h.confirmed = ends[len(ends)/2]
}

// clearConfirmations removes all confirmations, which are for an earlier
// Sequence.
func (h *holding) clearConfirmations() {
	clear(h.confirmations)
	h.confirmed = lease.Borrowed{}
}

// silentUntil returns when the new holder's silent period ends.
func (h *holding) silentUntil(s *State) time.Duration {
	return h.takenAt + s.silentPeriod()
}

// mayFence reports whether the share's vote counts for fences.
func (h *holding) mayFence(s *State, now time.Duration) bool {
	return h.right.Voting && now >= h.silentUntil(s) && h.usable(s, now)
}

// silentPeriod returns how long a share has no vote after it was taken, so that
// an earlier holder's confirmations end first: a term, and an eighth for a
// clock that runs faster than the others.
func (s *State) silentPeriod() time.Duration {
	return s.term + s.term/8
}

// holdings are the shares that this instance holds.
type holdings struct {
	// byShare is indexed by Number; shares that aren't held are nil.
	byShare []*holding
}

// count returns the number of shares held, usable or not.
func (h *holdings) count() int {
	n := 0
	for _, x := range h.byShare {
		if x != nil {
			n++
		}
	}
	return n
}

// rights returns the rights of all shares held, usable or not. Confirmations
// are requested for all of them.
func (h *holdings) rights() []Right {
	var rights []Right
	for _, x := range h.byShare {
		if x != nil {
			rights = append(rights, x.right)
		}
	}
	return rights
}

// hold adds a share to those held.
func (s *State) hold(h *holding) {
	h.confirmations = make([]lease.Borrowed, s.total)
	h.takenAt = s.now
	h.lastUsableAt = s.now
	s.held.byShare[h.right.Share] = h
	s.lending.assumeEligible(s)
	s.nextMove = s.now + moveDelay + s.jitter(moveDelay)
	s.noteSeen(h.right.Share, s.self.Address)
}

// drop gives up a share without handing it over.
func (s *State) drop(n Number) {
	h := s.held.byShare[n]
	s.held.byShare[n] = nil
	s.claim.mayNameSelf[n] = true
	s.emitDecision(Dropped, h.right, "")
}

// maintainHeld drops the shares that were unusable for more than three terms,
// and marks those whose silent period has ended as awaiting the records.
func (s *State) maintainHeld() {
	for n, h := range s.held.byShare {
		if h == nil {
			continue
		}
		if h.usable(s, s.now) {
			h.lastUsableAt = s.now
			s.noteSeen(Number(n), s.self.Address)
		}
		if s.now > h.lastUsableAt+3*s.term {
			s.drop(Number(n))
		}
		if !h.right.Voting && s.now >= h.silentUntil(s) {
			h.awaitsRecords = true
		}
	}
}

// lendable returns the shares that can be lent for at least minLendingTerm, and
// the longest term for which all of them can be lent.
func (s *State) lendable() ([]Right, time.Duration) {
	var rights []Right
	term := s.effectiveLendingTerm()
	for _, h := range s.held.byShare {
		if h == nil || h.freeAt > s.now {
			continue
		}
		remaining := h.usableUntil(s).Until - s.now
		if remaining < minLendingTerm {
			continue
		}
		rights = append(rights, h.right)
		term = min(term, remaining)
	}
	return rights, term
}
