package share

import (
	"encoding/json"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

const (
	// claimCheckInterval is the time between two checks for shares without a
	// holder.
	claimCheckInterval = time.Second
	// listInterval is the time between two listings of the records while shares
	// are missing.
	listInterval = 2 * time.Second
	// claimTurnDelay is how long each instance in rank waits for the one before
	// it to claim a share.
	claimTurnDelay = 6 * time.Second
	// maxClaimTurns is how many instances in rank try to claim a share.
	maxClaimTurns = 3
)

// recordWrite is a compare-and-swap write of a share's record.
type recordWrite struct {
	share    Number
	sequence uint64
	// expectedVersion is the version that the record must have, or zero if it
	// must not exist.
	expectedVersion int64
	action          Action
	lease           store.LeaseID
	// deadline is the time from which the answer is too late and the written
	// Sequence is void. Zero means that there is no deadline.
	deadline time.Duration
	// holding is the held share that is renewed, or nil for a claim.
	holding *holding
}

// lastSeen says when a share was last known to be held, and by which instance.
// It is only a hint for placement.
type lastSeen struct {
	holder instance.Address
	at     time.Duration
}

// claimState is the state of this instance's claims.
type claimState struct {
	// nextCheck is when missing shares are next looked for, and nextList is the
	// earliest time of the next listing.
	nextCheck time.Duration
	nextList  time.Duration
	// toClaim are the missing shares that this instance should claim.
	toClaim []Number
	// records are the share records of the last listing.
	records map[Number]store.Entry
	// totalAbsent says that the last listing had no entry for the total number
	// of shares.
	totalAbsent bool
	// needHolders says that the holder keys must be listed next.
	needHolders bool
	round       fenceRound
	// mayNameSelf marks the shares whose records may name this instance
	// although it doesn't hold them. While its platform lease is live, no other
	// instance can claim them, so this instance must.
	mayNameSelf []bool
	// rounds counts the fence rounds since shares went missing.
	rounds int
	// lastRound is the number of the newest fence round.
	lastRound uint64
	// readyWrites are the claims that may be written.
	readyWrites []recordWrite
}

// noteSeen records that the instance at an address holds a share now.
func (s *State) noteSeen(n Number, a instance.Address) {
	s.lastSeen[n] = lastSeen{
		holder: a,
		at:     s.now,
	}
}

// missingAfter returns how long a share may go unseen before it counts as
// missing.
func (s *State) missingAfter() time.Duration {
	return 2*s.effectiveLendingTerm() + time.Second
}

// missing reports whether no instance is known to hold a share.
func (s *State) missing(n Number) bool {
	at := max(s.lastSeen[n].at, s.startedAt)
	return s.now > at+s.missingAfter()
}

// missingShares returns the shares that no instance is known to hold.
func (s *State) missingShares() []Number {
	var gone []Number
	for n := range s.lastSeen {
		if s.missing(Number(n)) {
			gone = append(gone, Number(n))
		}
	}
	return gone
}

// planClaims determines, once per claimCheckInterval, which missing shares this
// instance should claim.
func (s *State) planClaims() {
	c := &s.claim
	if s.now < c.nextCheck {
		return
	}
	c.nextCheck = s.now + claimCheckInterval
	c.toClaim = c.toClaim[:0]
	if s.leaving || s.session.totalMismatch {
		return
	}
	gone := s.missingShares()
	if len(gone) == 0 {
		c.rounds = 0
		return
	}
	for turn := range maxClaimTurns {
		for _, n := range s.plannedClaims(gone, turn) {
			if !slices.Contains(c.toClaim, n) {
				c.toClaim = append(c.toClaim, n)
			}
		}
	}
	for _, n := range gone {
		if c.mayNameSelf[n] && !slices.Contains(c.toClaim, n) {
			c.toClaim = append(c.toClaim, n)
		}
	}
	slices.Sort(c.toClaim)
}

// nextWorkCall returns the next store call other than those for the platform
// lease. The pending call has noJob if there is nothing to do.
func (s *State) nextWorkCall() (pendingCall, store.Call) {
	c := &s.claim
	if c.needHolders {
		return pendingCall{
				job: jobListHolders,
			}, store.List{
				Prefix: holderPrefix,
			}
	}
	ready := s.session.holderKeyWritten && s.session.leaseUntil.Live(s.now) && !s.leaving
	if ready && s.session.totalMatches {
		if w, ok := s.nextRecordWrite(); ok {
			return w, s.recordWriteCall(w.write)
		}
	}
	if ready && c.totalAbsent && !s.session.totalMatches {
		return pendingCall{
				job: jobWriteTotal,
			}, store.Swap{
				Key: totalKey,
				Value: encode(Totals{
					Total: s.total,
				}),
			}
	}
	claiming := len(c.toClaim) > 0 && s.now >= c.nextList
	if claiming || s.recordsUnread() {
		return pendingCall{
				job: jobListRecords,
			}, store.List{
				Prefix: RecordPrefix,
			}
	}
	return pendingCall{}, nil
}

// recordsUnread reports whether a held share needs a listing of the records
// before it gets its vote.
func (s *State) recordsUnread() bool {
	return slices.ContainsFunc(s.held.byShare, func(h *holding) bool { return h != nil && h.awaitsRecords })
}

// nextRecordWrite returns the next write of a record: first those of held
// shares that aren't recorded under the current platform lease, then claims.
func (s *State) nextRecordWrite() (pendingCall, bool) {
	for n, h := range s.held.byShare {
		if h == nil || h.lease == s.session.lease || !h.renewable(s) {
			continue
		}
		return pendingCall{
			job: jobWriteRecord,
			write: recordWrite{
				share:           Number(n),
				sequence:        max(h.right.Sequence, h.recordSequence) + 1,
				expectedVersion: h.recordVersion,
				action:          Renewed,
				lease:           s.session.lease,
				deadline:        s.borrow(s.now, s.term).Until,
				holding:         h,
			},
		}, true
	}
	for len(s.claim.readyWrites) > 0 {
		w := s.claim.readyWrites[0]
		s.claim.readyWrites = s.claim.readyWrites[1:]
		late := w.deadline != 0 && s.now >= w.deadline
		if late || s.held.byShare[w.share] != nil || !s.missing(w.share) {
			continue
		}
		w.lease = s.session.lease
		return pendingCall{
			job:   jobWriteRecord,
			write: w,
		}, true
	}
	return pendingCall{}, false
}

// renewable reports whether a held share may continue under the next Sequence.
// If the record still has the Sequence under which the share is held, the
// compare-and-swap itself proves that nobody has reclaimed the share. Otherwise
// the newer record must be a void claim, which it is if a majority confirms the
// share now.
func (h *holding) renewable(s *State) bool {
	return h.recordSequence == h.right.Sequence || h.confirmed.Live(s.now)
}

// recordWriteCall returns the store call for a write of a record.
func (s *State) recordWriteCall(w recordWrite) store.Call {
	return store.Swap{
		Key:      RecordKey(w.share),
		Value:    EncodeRecord(s.record(w.sequence)),
		Expected: w.expectedVersion,
	}
}

// handleListing processes a listing of the records or of the holder keys.
func (s *State) handleListing(call pendingCall, a store.Entries) {
	if call.job == jobListHolders {
		s.claim.needHolders = false
		s.decideClaims(a.Entries)
		return
	}
	c := &s.claim
	c.nextList = s.now + listInterval
	c.needHolders = len(c.toClaim) > 0
	c.records = map[Number]store.Entry{}
	c.totalAbsent = true
	for _, e := range a.Entries {
		if e.Key == totalKey {
			c.totalAbsent = false
			s.checkTotal(e)
		} else if n, ok := recordNumber(e); ok && s.validShare(n) {
			c.records[n] = e
			s.applyRecord(n, e)
		}
	}
	s.enableVotes(call.sent)
}

// checkTotal compares the total number of shares in the store with this
// instance's setting. If they differ, this instance takes no shares.
func (s *State) checkTotal(e store.Entry) {
	var t Totals
	err := json.Unmarshal(e.Value, &t)
	s.session.totalMatches = err == nil && t.Total == s.total
	s.session.totalMismatch = !s.session.totalMatches
}

// applyRecord processes one listed record. Earlier Sequences of the share are
// no longer confirmed, and a share that is held here may turn out to be taken
// by another instance.
func (s *State) applyRecord(n Number, e store.Entry) {
	r, err := DecodeRecord(e.Value)
	if err != nil {
		return
	}
	s.voter.raiseFence(n, r.Sequence-1)
	s.claim.mayNameSelf[n] = r.ID() == s.self.ID
	h := s.held.byShare[n]
	if h == nil || e.Version <= h.recordVersion {
		return
	}
	s.handleNewerRecord(h, r.Sequence, e.Version)
}

// handleNewerRecord handles a record that was written after the one under which
// a share is held. If a majority confirms the share now, that write was a void
// claim, since a valid claim needs a majority's fences, and the record is
// overwritten. Otherwise the share is dropped.
func (s *State) handleNewerRecord(h *holding, sequence uint64, version int64) {
	if !h.confirmed.Live(s.now) {
		s.drop(h.right.Share)
		return
	}
	h.lease = 0
	h.recordVersion = version
	h.recordSequence = sequence
}

// enableVotes gives a vote to the held shares whose silent period had ended
// when the listing was requested.
func (s *State) enableVotes(sent time.Duration) {
	for _, h := range s.held.byShare {
		if h != nil && h.awaitsRecords && sent >= h.silentUntil(s) {
			h.awaitsRecords = false
			h.right.Voting = true
		}
	}
}

// decideClaims decides what to do for each share in toClaim. The holder keys
// must have been listed after the records.
func (s *State) decideClaims(holders []store.Entry) {
	c := &s.claim
	c.readyWrites = nil
	var lapsed []Right
	for _, n := range c.toClaim {
		if s.held.byShare[n] != nil {
			continue
		}
		e, found := c.records[n]
		if !found {
			c.readyWrites = append(c.readyWrites, recordWrite{
				share:    n,
				sequence: 1,
				action:   Claimed,
			})
			continue
		}
		r, err := DecodeRecord(e.Value)
		if err != nil {
			continue
		}
		alive := slices.ContainsFunc(holders, func(h store.Entry) bool { return h.Key == r.HolderKey() })
		own := r.ID() == s.self.ID
		switch {
		case own && alive && s.isLostFirstClaim(n, r):
			s.holdClaimed(recordWrite{
				share:    n,
				sequence: r.Sequence,
				action:   Claimed,
				lease:    store.LeaseID(r.Lease),
			}, e.Version)
		case own || !alive:
			lapsed = append(lapsed, Right{
				Share:    n,
				Sequence: r.Sequence,
			})
		}
	}
	s.startFenceRound(lapsed)
}

// isLostFirstClaim reports whether a record of this run is from a first claim
// that took effect although its answer was lost. No other instance can hold the
// share then.
func (s *State) isLostFirstClaim(n Number, r Record) bool {
	first := r.Sequence == 1 && s.voter.fences[n] == 0 && s.voter.lastHandovers[n] == handoverPosition{}
	return first && store.LeaseID(r.Lease) == s.session.lease
}

// handleRecordWrite processes the outcome of a write of a record.
func (s *State) handleRecordWrite(c pendingCall, a store.Swapped) {
	w := c.write
	h := s.held.byShare[w.share]
	late := w.deadline != 0 && s.now >= w.deadline
	switch {
	case w.holding != nil && w.holding != h:
		// The share was given up in the meantime, so the Sequence is void.
		s.claim.mayNameSelf[w.share] = true
	case !a.Done && w.holding != nil:
		s.handleLostRenewal(h, a.Current)
	case !a.Done:
	case late:
		s.emitDecision(Voided, w.right(), "")
		s.claim.mayNameSelf[w.share] = true
		if h != nil {
			h.recordVersion = a.Current.Version
			h.recordSequence = w.sequence
		}
	case w.holding != nil:
		h.renew(w, a.Current.Version)
		s.emitDecision(Renewed, h.right, "")
	case h == nil && s.voter.fences[w.share] < w.sequence:
		s.holdClaimed(w, a.Current.Version)
	}
}

// renew moves a held share to the Sequence that was written.
func (h *holding) renew(w recordWrite, version int64) {
	h.right.Sequence = w.sequence
	h.hop = 0
	h.lease = w.lease
	h.recordVersion = version
	h.recordSequence = w.sequence
	h.clearConfirmations()
}

// handleLostRenewal handles a held share whose record was written by another
// instance.
func (s *State) handleLostRenewal(h *holding, current store.Entry) {
	r, err := DecodeRecord(current.Value)
	if err != nil {
		return
	}
	s.handleNewerRecord(h, r.Sequence, current.Version)
}

// handleUnknownWrite handles a write whose outcome is unknown. The next listing
// of the records shows whether it took effect.
func (s *State) handleUnknownWrite(w recordWrite) {
	if w.holding == nil {
		s.claim.mayNameSelf[w.share] = true
		s.claim.nextList = s.now
	}
}

// right returns the right under which the share is held if the write succeeds.
func (w recordWrite) right() Right {
	return Right{
		Share:    w.share,
		Sequence: w.sequence,
	}
}

// holdClaimed starts to hold the share of a claim that succeeded.
func (s *State) holdClaimed(w recordWrite, version int64) {
	s.hold(&holding{
		right:          w.right(),
		recordVersion:  version,
		recordSequence: w.sequence,
		lease:          w.lease,
	})
	s.emitDecision(w.action, w.right(), "")
}
