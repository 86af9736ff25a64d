package share

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/lease"
	"dandelionmux/pkg/store"
)

// holding is one share that this instance has, usable or not.
type holding struct {
	right Right
	hop   uint64
	// record is the version of the share's record in the store.
	record int64
	// recorded is the Sequence in that record, higher than the right's if a
	// void claim wrote it.
	recorded uint64
	// lease is the platform lease that the record names for this Sequence.
	// Zero if the share was handed over and the store doesn't know yet.
	lease store.LeaseID
	// vouches are the ends of the vouches, one for each share's vote.
	vouches []lease.Borrowed
	// vouched is when the majority of vouches ends.
	vouched lease.Borrowed
	// free is when the last holder's borrowers are done.
	free time.Duration
	// taken is when this instance learned that it has the share.
	taken time.Duration
	// unread says that the share's vote waits for a reading of all records
	// since the silence.
	unread bool
	// lastUsable is when the share was last known to be usable.
	lastUsable time.Duration
}

// usable reports whether the share's right may be used now.
func (h *holding) usable(s *State, now time.Duration) bool {
	return h.until(s).Live(now)
}

// until returns the end of the share's right, by store or by vouches.
func (h *holding) until(s *State) lease.Borrowed {
	if h.lease != 0 && h.lease == s.keeper.lease {
		return h.vouched.Extend(s.keeper.until)
	}
	return h.vouched
}

// vouch notes that a vote's holder vouched until the given end.
func (h *holding) vouch(votes []Number, b lease.Borrowed) {
	for _, v := range votes {
		h.vouches[v] = h.vouches[v].Extend(b)
	}
	ends := slices.Clone(h.vouches)
	slices.SortFunc(ends, func(a, b lease.Borrowed) int {
		return cmp.Compare(b.Until, a.Until)
	})
	// The latest ends come first: more than half of them are at least this.
	h.vouched = ends[len(ends)/2]
}

// forgetVouches drops all vouches, which were for an earlier Sequence.
func (h *holding) forgetVouches() {
	clear(h.vouches)
	h.vouched = lease.Borrowed{}
}

// silentUntil is when a new holder's silence ends. The margin covers a clock
// that runs faster than the others.
func (h *holding) silentUntil(s *State) time.Duration {
	return h.taken + s.silence()
}

// mayPromise reports whether the share's vote counts for promises.
func (h *holding) mayPromise(s *State, now time.Duration) bool {
	return h.right.Voting && now >= h.silentUntil(s) && h.usable(s, now)
}

// silence is a term and a margin.
func (s *State) silence() time.Duration {
	return s.term + s.term/8
}

// holdings are the shares that this instance has.
type holdings struct {
	byShare []*holding
}

func (h *holdings) count() int {
	n := 0
	for _, x := range h.byShare {
		if x != nil {
			n++
		}
	}
	return n
}

// rights returns all shares held, usable or not: what vouches are asked for.
func (h *holdings) rights() []Right {
	var rights []Right
	for _, x := range h.byShare {
		if x != nil {
			rights = append(rights, x.right)
		}
	}
	return rights
}

// hold adds a share.
func (s *State) hold(h *holding) {
	h.vouches = make([]lease.Borrowed, s.total)
	h.taken = s.now
	h.lastUsable = s.now
	s.held.byShare[h.right.Share] = h
	s.lending.presume(s)
	s.moveAt = s.now + moveCalm + s.spread(moveCalm)
	s.sighted(h.right.Share, s.self.Address)
}

// drop gives a share up without passing it on.
func (s *State) drop(n Number) {
	h := s.held.byShare[n]
	s.held.byShare[n] = nil
	s.claim.named[n] = true
	s.decide(Dropped, h.right, "")
}

// heldUpkeep drops shares that were unusable for long, and lets votes count
// whose silence has ended.
func (s *State) heldUpkeep() {
	for n, h := range s.held.byShare {
		if h == nil {
			continue
		}
		if h.usable(s, s.now) {
			h.lastUsable = s.now
			s.sighted(Number(n), s.self.Address)
		}
		if s.now > h.lastUsable+3*s.term {
			s.drop(Number(n))
		}
		if !h.right.Voting && s.now >= h.silentUntil(s) {
			h.unread = true
		}
	}
}

// lendable returns the shares that may be lent now for at least the shortest
// term, and the longest term that all of them allow.
func (s *State) lendable() ([]Right, time.Duration) {
	var rights []Right
	term := s.lendTerm()
	for _, h := range s.held.byShare {
		if h == nil || h.free > s.now {
			continue
		}
		left := h.until(s).Until - s.now
		if left < minLendingTerm {
			continue
		}
		rights = append(rights, h.right)
		term = min(term, left)
	}
	return rights, term
}
