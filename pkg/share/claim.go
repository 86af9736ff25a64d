package share

import (
	"encoding/json"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

const (
	// claimCheck is the time between two looks for shares without a holder.
	claimCheck = time.Second
	// listGap is the time between two readings of the records while shares
	// are missing.
	listGap = 2 * time.Second
	// claimTurn is how long the next in rank waits for the one before.
	claimTurn = 6 * time.Second
	// claimTurns is how many in rank try.
	claimTurns = 3
)

// swap is a write of a share's record.
type swap struct {
	share    Number
	sequence uint64
	expected int64
	action   Action
	lease    store.LeaseID
	// deadline is when the answer is too late and the Sequence void; zero for
	// none.
	deadline time.Duration
	// holding is the share that is renewed, nil for a claim.
	holding *holding
}

// sighting is when a share was last heard of, and with whom. It is a hint for
// placement only.
type sighting struct {
	holder instance.Address
	at     time.Duration
}

// reclaim is the state of this instance's claims.
type reclaim struct {
	checkAt time.Duration
	listAt  time.Duration
	// targets are the missing shares that are this instance's to claim.
	targets []Number
	// records are those read last; holders the holder keys read after them.
	records map[Number]store.Entry
	absent  bool
	wanted  bool
	round   round
	// named are the shares whose records may name this instance though it
	// doesn't hold them. While its platform lease lives nobody else can claim
	// them, so it must.
	named []bool
	// attempts counts the rounds of promises since shares went missing.
	attempts int
	number   uint64
	ready    []swap
}

func (s *State) sighted(n Number, a instance.Address) {
	s.seen[n] = sighting{
		holder: a,
		at:     s.now,
	}
}

// quiet is how long a share may be unheard of before it counts as missing.
func (s *State) quiet() time.Duration {
	return 2*s.lendTerm() + time.Second
}

// missing reports whether nobody is known to use a share.
func (s *State) missing(n Number) bool {
	at := max(s.seen[n].at, s.started)
	return s.now > at+s.quiet()
}

func (s *State) allMissing() []Number {
	var gone []Number
	for n := range s.seen {
		if s.missing(Number(n)) {
			gone = append(gone, Number(n))
		}
	}
	return gone
}

// planClaims looks now and then for missing shares that are this instance's to
// claim.
func (s *State) planClaims() {
	c := &s.claim
	if s.now < c.checkAt {
		return
	}
	c.checkAt = s.now + claimCheck
	c.targets = c.targets[:0]
	if s.leaving || s.keeper.mismatch {
		return
	}
	gone := s.allMissing()
	if len(gone) == 0 {
		c.attempts = 0
		return
	}
	for turn := range claimTurns {
		for _, n := range s.planned(gone, turn) {
			if !slices.Contains(c.targets, n) {
				c.targets = append(c.targets, n)
			}
		}
	}
	for _, n := range gone {
		if c.named[n] && !slices.Contains(c.targets, n) {
			c.targets = append(c.targets, n)
		}
	}
	slices.Sort(c.targets)
}

// nextWork picks the next call other than those for the lease.
func (s *State) nextWork() (pendingCall, store.Call) {
	c := &s.claim
	if c.wanted {
		return pendingCall{
				job: jobHolders,
			}, store.List{
				Prefix: holderPrefix,
			}
	}
	ready := s.keeper.attached && s.keeper.until.Live(s.now) && !s.leaving
	if ready && s.keeper.totalsOK {
		if w, ok := s.nextSwap(); ok {
			return w, s.swapCall(w.swap)
		}
	}
	if ready && c.absent && !s.keeper.totalsOK {
		return pendingCall{
				job: jobTotal,
			}, store.Swap{
				Key: totalKey,
				Value: encode(Totals{
					Total: s.total,
				}),
			}
	}
	claiming := len(c.targets) > 0 && s.now >= c.listAt
	if claiming || s.unread() {
		return pendingCall{
				job: jobList,
			}, store.List{
				Prefix: RecordPrefix,
			}
	}
	return pendingCall{}, nil
}

func (s *State) unread() bool {
	return slices.ContainsFunc(s.held.byShare, func(h *holding) bool { return h != nil && h.unread })
}

// nextSwap picks the next write: a held share that the store should know
// under the present lease, else a claim.
func (s *State) nextSwap() (pendingCall, bool) {
	for n, h := range s.held.byShare {
		if h == nil || h.lease == s.keeper.lease || !h.renewable(s) {
			continue
		}
		return pendingCall{
			job: jobSwap,
			swap: swap{
				share:    Number(n),
				sequence: max(h.right.Sequence, h.recorded) + 1,
				expected: h.record,
				action:   Renewed,
				lease:    s.keeper.lease,
				deadline: s.borrow(s.now, s.term).Until,
				holding:  h,
			},
		}, true
	}
	for len(s.claim.ready) > 0 {
		w := s.claim.ready[0]
		s.claim.ready = s.claim.ready[1:]
		late := w.deadline != 0 && s.now >= w.deadline
		if late || s.held.byShare[w.share] != nil || !s.missing(w.share) {
			continue
		}
		w.lease = s.keeper.lease
		return pendingCall{
			job:  jobSwap,
			swap: w,
		}, true
	}
	return pendingCall{}, false
}

// renewable reports whether a held share may go on under the next Sequence. If
// the record is the one that it is held by, the write itself proves that nobody
// has reclaimed the share. If not, that was a void claim if the share is
// vouched for now.
func (h *holding) renewable(s *State) bool {
	return h.recorded == h.right.Sequence || h.vouched.Live(s.now)
}

func (s *State) swapCall(w swap) store.Call {
	return store.Swap{
		Key:      RecordKey(w.share),
		Value:    EncodeRecord(s.record(w.sequence)),
		Expected: w.expected,
	}
}

// listedRecords takes in a reading of the records or of the holder keys.
func (s *State) listedRecords(call pendingCall, a store.Entries) {
	if call.job == jobHolders {
		s.claim.wanted = false
		s.judgeRecords(a.Entries)
		return
	}
	c := &s.claim
	c.listAt = s.now + listGap
	c.wanted = len(c.targets) > 0
	c.records = map[Number]store.Entry{}
	c.absent = true
	for _, e := range a.Entries {
		if e.Key == totalKey {
			c.absent = false
			s.checkTotal(e)
		} else if n, ok := recordNumber(e); ok && s.valid(n) {
			c.records[n] = e
			s.noteRecord(n, e)
		}
	}
	s.countVotes(call.sent)
}

// checkTotal compares the store's word on the number of shares with the
// setting. With another number this instance takes no part.
func (s *State) checkTotal(e store.Entry) {
	var t Totals
	err := json.Unmarshal(e.Value, &t)
	s.keeper.totalsOK = err == nil && t.Total == s.total
	s.keeper.mismatch = !s.keeper.totalsOK
}

// noteRecord learns from one record: no vouch for an earlier Sequence, and
// whether a share that is held here was taken by another.
func (s *State) noteRecord(n Number, e store.Entry) {
	r, err := DecodeRecord(e.Value)
	if err != nil {
		return
	}
	s.voter.raise(n, r.Sequence-1)
	s.claim.named[n] = r.ID() == s.self.ID
	h := s.held.byShare[n]
	if h == nil || e.Version <= h.record {
		return
	}
	s.outrun(h, r.Sequence, e.Version)
}

// outrun deals with a record that was written after the one a held share is
// known by. If this share is vouched for now, that write was a void claim, and
// is written over; a claim that was good had the majority's promises.
func (s *State) outrun(h *holding, sequence uint64, version int64) {
	if !h.vouched.Live(s.now) {
		s.drop(h.right.Share)
		return
	}
	h.lease = 0
	h.record = version
	h.recorded = sequence
}

// countVotes lets the votes count whose holder read the records after its
// silence.
func (s *State) countVotes(sent time.Duration) {
	for _, h := range s.held.byShare {
		if h != nil && h.unread && sent >= h.silentUntil(s) {
			h.unread = false
			h.right.Voting = true
		}
	}
}

// judgeRecords decides for each target what to do, once records and holder
// keys were read, in this order.
func (s *State) judgeRecords(holders []store.Entry) {
	c := &s.claim
	c.ready = nil
	var lapsed []Right
	for _, n := range c.targets {
		if s.held.byShare[n] != nil {
			continue
		}
		e, found := c.records[n]
		if !found {
			c.ready = append(c.ready, swap{
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
		case own && alive && s.neverPassedOn(n, r):
			s.take(swap{
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
	s.askPromises(lapsed)
}

// neverPassedOn reports whether a record of this run is of a first claim that
// took effect though its answer was lost. Nobody else can have the share then.
func (s *State) neverPassedOn(n Number, r Record) bool {
	first := r.Sequence == 1 && s.voter.floors[n] == 0 && s.voter.hops[n] == handed{}
	return first && store.LeaseID(r.Lease) == s.keeper.lease
}

// swapAnswered takes in the outcome of a write of a record.
func (s *State) swapAnswered(c pendingCall, a store.Swapped) {
	w := c.swap
	h := s.held.byShare[w.share]
	late := w.deadline != 0 && s.now >= w.deadline
	switch {
	case w.holding != nil && w.holding != h:
		// Given up in the meantime; the Sequence is void.
		s.claim.named[w.share] = true
	case !a.Done && w.holding != nil:
		s.renewalLost(h, a.Current)
	case !a.Done:
	case late:
		s.decide(Voided, w.right(), "")
		s.claim.named[w.share] = true
		if h != nil {
			h.record = a.Current.Version
			h.recorded = w.sequence
		}
	case w.holding != nil:
		h.renew(w, a.Current.Version)
		s.decide(Renewed, h.right, "")
	case h == nil && s.voter.floors[w.share] < w.sequence:
		s.take(w, a.Current.Version)
	}
}

// renew moves a held share to its new Sequence.
func (h *holding) renew(w swap, version int64) {
	h.right.Sequence = w.sequence
	h.hop = 0
	h.lease = w.lease
	h.record = version
	h.recorded = w.sequence
	h.forgetVouches()
}

// renewalLost deals with a held share whose record another wrote.
func (s *State) renewalLost(h *holding, current store.Entry) {
	r, err := DecodeRecord(current.Value)
	if err != nil {
		return
	}
	s.outrun(h, r.Sequence, current.Version)
}

// swapLost deals with a write whose outcome isn't known: the next reading of
// the records tells.
func (s *State) swapLost(w swap) {
	if w.holding == nil {
		s.claim.named[w.share] = true
		s.claim.listAt = s.now
	}
}

func (w swap) right() Right {
	return Right{
		Share:    w.share,
		Sequence: w.sequence,
	}
}

// take begins a holding from a claim.
func (s *State) take(w swap, version int64) {
	s.hold(&holding{
		right:    w.right(),
		record:   version,
		recorded: w.sequence,
		lease:    w.lease,
	})
	s.decide(w.action, w.right(), "")
}
