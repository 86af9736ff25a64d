package share

import (
	"time"

	"dandelionmux/pkg/lease"
	"dandelionmux/pkg/store"
)

const (
	// callTimeout is how long a call may take before it counts as lost.
	callTimeout = 5 * time.Second
	// minStoreBackoff is the pause after a first failed call. It doubles with
	// each further failure, up to maxStoreBackoff.
	minStoreBackoff = 500 * time.Millisecond
	maxStoreBackoff = 4 * time.Second
	// never is a time that doesn't come.
	never = time.Duration(1<<63 - 1)
)

// job is the purpose of a store call.
type job int

const (
	noJob job = iota
	jobGrantLease
	jobWriteHolderKey
	jobRenewLease
	jobListRecords
	jobListHolders
	jobWriteTotal
	jobWriteRecord
)

// pendingCall is a store call that wasn't answered yet.
type pendingCall struct {
	job    job
	number uint64
	sent   time.Duration
	write  recordWrite
}

// storeSession maintains the platform lease, and makes one other store call at
// a time.
type storeSession struct {
	// number is that of the newest call.
	number uint64
	lease  store.LeaseID
	// holderKeyWritten says that the holder key is stored under the lease.
	holderKeyWritten bool
	// leaseUntil is this instance's view of the platform lease.
	leaseUntil lease.Borrowed
	// contact is live for a term after the newest call that was answered.
	contact lease.Borrowed
	// nextLeaseCall is when the next call for the platform lease is due.
	nextLeaseCall time.Duration
	leaseCall     pendingCall
	workCall      pendingCall
	// nextWork is the earliest time of the next work call, a call other than
	// those for the lease.
	nextWork time.Duration
	backoff  time.Duration
	// workPending says that a work call may be due at nextWork.
	workPending bool
	// totalMatches and totalMismatch say whether the total number of shares in
	// the store is known to equal or to differ from the setting.
	totalMatches  bool
	totalMismatch bool
}

// due returns when the session next needs a Tick.
func (ss *storeSession) due(s *State) time.Duration {
	next := never
	switch {
	case ss.leaseCall.job != noJob:
		next = ss.leaseCall.sent + callTimeout
	case ss.lease != 0 || s.needsLease():
		next = ss.nextLeaseCall
	}
	switch {
	case ss.workCall.job != noJob:
		next = min(next, ss.workCall.sent+callTimeout)
	case ss.workPending:
		next = min(next, ss.nextWork)
	case len(s.claim.toClaim) > 0:
		next = min(next, s.claim.nextList)
	}
	return next
}

// writing reports whether a write of the share's record is under way.
func (ss *storeSession) writing(n Number) bool {
	return ss.workCall.job == jobWriteRecord && ss.workCall.write.share == n
}

// needsLease reports whether this instance holds a share or may soon claim one.
func (s *State) needsLease() bool {
	return !s.leaving && !s.session.totalMismatch && (s.held.count() > 0 || len(s.claim.toClaim) > 0)
}

// makeStoreCalls starts the store calls that are due.
func (s *State) makeStoreCalls() {
	ss := &s.session
	s.failTimedOutCalls()
	s.maintainLease()
	s.planClaims()
	if ss.workCall.job != noJob {
		return
	}
	// nextWorkCall removes the work that it returns, so it isn't called before
	// the work may start.
	ss.workPending = s.now < ss.nextWork
	if ss.workPending {
		return
	}
	work, call := s.nextWorkCall()
	if work.job == noJob {
		return
	}
	ss.nextWork = s.now + s.minStoreInterval
	ss.workCall = s.startCall(work, call)
}

// failTimedOutCalls treats calls that took longer than callTimeout as calls
// with an unknown outcome.
func (s *State) failTimedOutCalls() {
	ss := &s.session
	for _, c := range []pendingCall{ss.leaseCall, ss.workCall} {
		if c.job != noJob && s.now >= c.sent+callTimeout {
			s.handleStoreAnswer(StoreAnswer{
				Number: c.number,
				Err:    store.ErrOutcomeUnknown,
			})
		}
	}
}

// startCall emits a store call, and returns the pending call with its number
// and time.
func (s *State) startCall(work pendingCall, call store.Call) pendingCall {
	s.session.number++
	work.number = s.session.number
	work.sent = s.now
	s.emit(StoreCall{
		Number: work.number,
		Call:   call,
	})
	return work
}

// maintainLease grants the platform lease, writes the holder key under it, or
// renews it.
func (s *State) maintainLease() {
	ss := &s.session
	if ss.leaseCall.job != noJob || s.now < ss.nextLeaseCall {
		return
	}
	switch {
	case ss.lease == 0 && !s.needsLease():
		return
	case ss.lease == 0:
		ss.leaseCall = s.startCall(pendingCall{
			job: jobGrantLease,
		}, store.GrantLease{
			Term: s.term,
		})
	case !ss.holderKeyWritten:
		ss.leaseCall = s.startCall(pendingCall{
			job: jobWriteHolderKey,
		}, store.Swap{
			Key:   s.record(0).HolderKey(),
			Value: []byte(s.self.Zone),
			Lease: ss.lease,
		})
	default:
		ss.leaseCall = s.startCall(pendingCall{
			job: jobRenewLease,
		}, store.RenewLease{
			Lease: ss.lease,
		})
	}
}

// record returns this instance's record with the given Sequence, under the
// current platform lease.
func (s *State) record(sequence uint64) Record {
	return Record{
		Holder:      s.self.Address,
		Incarnation: s.self.Incarnation,
		Sequence:    sequence,
		Lease:       int64(s.session.lease),
	}
}

// handleStoreAnswer processes the outcome of a call. It ignores answers to
// calls that timed out.
func (s *State) handleStoreAnswer(e StoreAnswer) {
	ss := &s.session
	var c pendingCall
	switch {
	case ss.leaseCall.job != noJob && ss.leaseCall.number == e.Number:
		c = ss.leaseCall
		ss.leaseCall = pendingCall{}
	case ss.workCall.job != noJob && ss.workCall.number == e.Number:
		c = ss.workCall
		ss.workCall = pendingCall{}
	default:
		return
	}
	if e.Err != nil {
		s.handleFailedCall(c)
		return
	}
	ss.backoff = 0
	ss.contact = ss.contact.Extend(s.borrow(c.sent, s.term))
	switch a := e.Answer.(type) {
	case store.Leased:
		s.handleLeased(c, a)
	case store.Swapped:
		s.handleSwapped(c, a)
	case store.Entries:
		s.handleListing(c, a)
	}
}

// handleFailedCall delays the next call, with a backoff and jitter.
func (s *State) handleFailedCall(c pendingCall) {
	ss := &s.session
	ss.backoff = min(max(2*ss.backoff, minStoreBackoff), maxStoreBackoff)
	pause := s.now + ss.backoff/2 + s.jitter(ss.backoff/2)
	switch c.job {
	case jobGrantLease, jobWriteHolderKey, jobRenewLease:
		ss.nextLeaseCall = pause
	default:
		ss.nextWork = pause
	}
	if c.job == jobWriteRecord {
		s.handleUnknownWrite(c.write)
	}
}

// handleLeased processes the outcome of a grant or renewal of the platform
// lease.
func (s *State) handleLeased(c pendingCall, a store.Leased) {
	ss := &s.session
	switch {
	case c.job == jobGrantLease:
		ss.lease = a.Lease
		ss.holderKeyWritten = false
		ss.nextLeaseCall = s.now
		ss.leaseUntil = s.borrow(c.sent, a.Term)
	case c.job == jobRenewLease && a.Term == 0:
		ss.lease = 0
		ss.leaseUntil = lease.Borrowed{}
		ss.nextLeaseCall = s.now
	case c.job == jobRenewLease:
		ss.leaseUntil = ss.leaseUntil.Extend(s.borrow(c.sent, a.Term))
		ss.nextLeaseCall = c.sent + a.Term/3
	}
}

// handleSwapped processes the outcome of a write.
func (s *State) handleSwapped(c pendingCall, a store.Swapped) {
	ss := &s.session
	switch c.job {
	case jobWriteHolderKey:
		// Only this instance writes the key under this lease. If the key is there,
		// an earlier write has succeeded.
		ss.holderKeyWritten = a.Done || a.Current.Lease == ss.lease
		ss.nextLeaseCall = c.sent + s.term/3
		if !ss.holderKeyWritten {
			ss.lease = 0
			ss.nextLeaseCall = s.now + minStoreBackoff
		}
	case jobWriteTotal:
		s.checkTotal(a.Current)
	case jobWriteRecord:
		s.handleRecordWrite(c, a)
	}
}
