package share

import (
	"time"

	"dandelionmux/pkg/lease"
	"dandelionmux/pkg/store"
)

const (
	// callTimeout is when a call that wasn't answered counts as lost.
	callTimeout = 5 * time.Second
	// storeBackoff is the pause after a failed call, and its limit.
	storeBackoff    = 500 * time.Millisecond
	maxStoreBackoff = 4 * time.Second
	never           = time.Duration(1<<63 - 1)
)

// job is what a store call is for.
type job int

const (
	noJob job = iota
	jobGrant
	jobAttach
	jobRenew
	jobList
	jobHolders
	jobTotal
	jobSwap
)

// pendingCall is a call that wasn't answered yet.
type pendingCall struct {
	job    job
	number uint64
	sent   time.Duration
	swap   swap
}

// keeper keeps the platform lease, and makes one other call at a time.
type keeper struct {
	number uint64
	lease  store.LeaseID
	// attached says that the holder key is under the lease.
	attached bool
	until    lease.Borrowed
	// heard runs for a term from the last call that was answered.
	heard lease.Borrowed
	// renewAt is when the lease wants its next call.
	renewAt   time.Duration
	leaseCall pendingCall
	workCall  pendingCall
	// next is the earliest time for the next work call.
	next     time.Duration
	backoff  time.Duration
	hasWork  bool
	totalsOK bool
	mismatch bool
}

// due returns when the keeper wants to be woken.
func (k *keeper) due(s *State) time.Duration {
	next := never
	switch {
	case k.leaseCall.job != noJob:
		next = k.leaseCall.sent + callTimeout
	case k.lease != 0 || s.wantsLease():
		next = k.renewAt
	}
	switch {
	case k.workCall.job != noJob:
		next = min(next, k.workCall.sent+callTimeout)
	case k.hasWork:
		next = min(next, k.next)
	case len(s.claim.targets) > 0:
		next = min(next, s.claim.listAt)
	}
	return next
}

// selfClaiming reports whether a write of the share's record is on its way.
func (k *keeper) selfClaiming(n Number) bool {
	return k.workCall.job == jobSwap && k.workCall.swap.share == n
}

// wantsLease reports whether the instance has, or may soon have, a share.
func (s *State) wantsLease() bool {
	return !s.leaving && !s.keeper.mismatch && (s.held.count() > 0 || len(s.claim.targets) > 0)
}

// keep makes the store calls that are due.
func (s *State) keep() {
	k := &s.keeper
	s.timeoutCalls()
	s.keepLease()
	s.planClaims()
	if k.workCall.job != noJob {
		return
	}
	// Work isn't looked for before it may be done: looking takes it.
	k.hasWork = s.now < k.next
	if k.hasWork {
		return
	}
	work, call := s.nextWork()
	if work.job == noJob {
		return
	}
	k.next = s.now + s.storeGap
	k.workCall = s.call(work, call)
}

func (s *State) timeoutCalls() {
	k := &s.keeper
	for _, c := range []pendingCall{k.leaseCall, k.workCall} {
		if c.job != noJob && s.now >= c.sent+callTimeout {
			s.storeAnswered(StoreAnswer{
				Number: c.number,
				Err:    store.ErrOutcomeUnknown,
			})
		}
	}
}

func (s *State) call(work pendingCall, call store.Call) pendingCall {
	s.keeper.number++
	work.number = s.keeper.number
	work.sent = s.now
	s.emit(StoreCall{
		Number: work.number,
		Call:   call,
	})
	return work
}

// keepLease grants, attaches or renews the platform lease.
func (s *State) keepLease() {
	k := &s.keeper
	if k.leaseCall.job != noJob || s.now < k.renewAt {
		return
	}
	switch {
	case k.lease == 0 && !s.wantsLease():
		return
	case k.lease == 0:
		k.leaseCall = s.call(pendingCall{
			job: jobGrant,
		}, store.GrantLease{
			Term: s.term,
		})
	case !k.attached:
		k.leaseCall = s.call(pendingCall{
			job: jobAttach,
		}, store.Swap{
			Key:   s.record(0).HolderKey(),
			Value: []byte(s.self.Zone),
			Lease: k.lease,
		})
	default:
		k.leaseCall = s.call(pendingCall{
			job: jobRenew,
		}, store.RenewLease{
			Lease: k.lease,
		})
	}
}

// record returns this instance's record for a Sequence.
func (s *State) record(sequence uint64) Record {
	return Record{
		Holder:      s.self.Address,
		Incarnation: s.self.Incarnation,
		Sequence:    sequence,
		Lease:       int64(s.keeper.lease),
	}
}

// storeAnswered takes in the outcome of a call. An answer to a call that was
// given up is ignored.
func (s *State) storeAnswered(e StoreAnswer) {
	k := &s.keeper
	var c pendingCall
	switch {
	case k.leaseCall.job != noJob && k.leaseCall.number == e.Number:
		c = k.leaseCall
		k.leaseCall = pendingCall{}
	case k.workCall.job != noJob && k.workCall.number == e.Number:
		c = k.workCall
		k.workCall = pendingCall{}
	default:
		return
	}
	if e.Err != nil {
		s.callFailed(c)
		return
	}
	k.backoff = 0
	k.heard = k.heard.Extend(s.borrow(c.sent, s.term))
	switch a := e.Answer.(type) {
	case store.Leased:
		s.leased(c, a)
	case store.Swapped:
		s.swapped(c, a)
	case store.Entries:
		s.listedRecords(c, a)
	}
}

// callFailed waits for a while before the next call.
func (s *State) callFailed(c pendingCall) {
	k := &s.keeper
	k.backoff = min(max(2*k.backoff, storeBackoff), maxStoreBackoff)
	pause := s.now + k.backoff/2 + s.spread(k.backoff/2)
	switch c.job {
	case jobGrant, jobAttach, jobRenew:
		k.renewAt = pause
	default:
		k.next = pause
	}
	if c.job == jobSwap {
		s.swapLost(c.swap)
	}
}

// leased takes in the outcome of a grant or renewal.
func (s *State) leased(c pendingCall, a store.Leased) {
	k := &s.keeper
	switch {
	case c.job == jobGrant:
		k.lease = a.Lease
		k.attached = false
		k.renewAt = s.now
		k.until = s.borrow(c.sent, a.Term)
	case c.job == jobRenew && a.Term == 0:
		k.lease = 0
		k.until = lease.Borrowed{}
		k.renewAt = s.now
	case c.job == jobRenew:
		k.until = k.until.Extend(s.borrow(c.sent, a.Term))
		k.renewAt = c.sent + a.Term/3
	}
}

// swapped takes in the outcome of a write.
func (s *State) swapped(c pendingCall, a store.Swapped) {
	k := &s.keeper
	switch c.job {
	case jobAttach:
		// The key is this lease's alone: if it is there, it was written.
		k.attached = a.Done || a.Current.Lease == k.lease
		k.renewAt = c.sent + s.term/3
		if !k.attached {
			k.lease = 0
			k.renewAt = s.now + storeBackoff
		}
	case jobTotal:
		s.checkTotal(a.Current)
	case jobSwap:
		s.swapAnswered(c, a)
	}
}
