package quarantine

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

const (
	// defaultStrikeTerm is how long a strike counts unless set otherwise.
	defaultStrikeTerm = 10 * time.Minute
	// maxRecords bounds the table of strikes.
	maxRecords = 1024
	// maxTargetStrikes is how many strikes one target may cause on this instance within
	// strikeWindow. A target that dies more often is more likely the cause than the
	// requests.
	maxTargetStrikes = 16
	strikeWindow     = time.Minute
	// maxOwnStrikes is how many strikes one instance may make within strikeWindow,
	// since each costs a message to every other instance.
	maxOwnStrikes = 64
	// ackTimeout is how long to wait for acknowledgements of a strike before
	// StrikeSpread is emitted.
	ackTimeout = 200 * time.Millisecond
	// resendInterval is the time after which an unanswered message is sent again.
	resendInterval = 50 * time.Millisecond
	// spreadTimeout is how long a strike is sent again to the instances that haven't
	// acknowledged it. After ackTimeout it is sent every spreadResendInterval only.
	spreadTimeout        = 10 * time.Second
	spreadResendInterval = 500 * time.Millisecond
	// startTimeout is how long a starting instance waits for its peers' strikes.
	startTimeout = time.Second
	// startPeers is the number of peers that a starting instance asks for strikes.
	startPeers = 3
	// maxPermitTerm is the longest term of a permit.
	maxPermitTerm = time.Minute
	// clockDriftPercent of a permit's term is not used by its holder, in case the
	// authority's clock is faster.
	clockDriftPercent = 1
	// minRetryAfter is the shortest wait that a refusal asks for.
	minRetryAfter = time.Second
)

// Directory tells which instances are alive and which one is the authority of a
// fingerprint. Its answers must depend only on what the caller has handled so far.
type Directory interface {
	// Coordinator returns the instance that this one believes to be the fingerprint's
	// authority, which may be this one, and false if none is known. If that instance
	// isn't the authority, it replies NotAuthority.
	Coordinator(now time.Duration, f Fingerprint) (instance.Address, bool)
	// AuthoritySince returns since when this instance has been the fingerprint's only
	// authority without a gap, and false if it isn't now.
	AuthoritySince(now time.Duration, f Fingerprint) (time.Duration, bool)
	// Peers returns the other live instances in a fixed order.
	Peers(now time.Duration) []instance.Address
}

// State is the quarantine's state machine on one instance. Make it with New. It is
// not safe for concurrent use.
type State struct {
	self           instance.ID
	directory      Directory
	random         *rand.Rand
	strikeTerm     time.Duration
	lastNumber     uint64
	records        map[Fingerprint]*record
	pendingStrikes []pendingStrike
	runs           []permitRun
	// targetStrikes holds the times of the strikes that each target caused, and
	// ownStrikes those of the strikes that this instance made.
	targetStrikes map[string][]time.Duration
	ownStrikes    []time.Duration
	// endedRequests holds permit requests that were released, and until when copies of
	// them may still arrive.
	endedRequests map[strikeKey]time.Duration
	// startDeadline is when a starting instance stops waiting for its peers' strikes.
	// It is zero once the instance is ready.
	startDeadline time.Duration
	// changed is set if the snapshot must be made anew.
	changed bool
}

// pendingStrike is a strike of this instance that not all instances have acknowledged.
type pendingStrike struct {
	// number is that of the Crashed or RunEnded event, while strike.Number identifies
	// the strike between instances.
	number         uint64
	strike         Strike
	unacknowledged []instance.Address
	// ackDeadline is when StrikeSpread is emitted even if acknowledgements are
	// missing, and deadline when the strike is no longer sent.
	ackDeadline time.Duration
	resendAt    time.Duration
	deadline    time.Duration
	// reported is set once StrikeSpread was emitted.
	reported bool
	done     bool
}

// permitRun is a run of a suspect: it waits for a permit, runs, or is released.
type permitRun struct {
	// number is that of the PermitRequested event, while requestNumber identifies the
	// request between instances.
	number        uint64
	requestNumber uint64
	fingerprint   Fingerprint
	outline       Outline
	// waitDeadline is when the caller stops waiting for the permit.
	waitDeadline time.Duration
	// sentAt holds when each attempt was sent, by its number.
	sentAt    []time.Duration
	term      time.Duration
	resendAt  time.Duration
	authority instance.Address
	phase     phase
	// until is when a run with a permit must have ended, or when its release is no
	// longer sent.
	until time.Duration
	// release is sent until it is acknowledged.
	release Release
}

// phase is the state of a permitRun.
type phase uint8

const (
	waiting phase = iota
	running
	releasing
)

// Option configures a State in New.
type Option func(*State)

// WithStrikeTerm sets how long a strike counts.
func WithStrikeTerm(term time.Duration) Option {
	return func(s *State) {
		s.strikeTerm = term
	}
}

// WithRandom sets the random source that RetryAfter is spread with.
func WithRandom(r *rand.Rand) Option {
	return func(s *State) {
		s.random = r
	}
}

// New returns the state of an instance that has just started.
func New(self instance.ID, d Directory, options ...Option) *State {
	s := &State{
		self:          self,
		directory:     d,
		random:        rand.New(rand.NewPCG(0, 0)),
		strikeTerm:    defaultStrikeTerm,
		records:       map[Fingerprint]*record{},
		targetStrikes: map[string][]time.Duration{},
		endedRequests: map[strikeKey]time.Duration{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetStrikeTerm changes how long new strikes count, after the configuration has changed.
func (s *State) SetStrikeTerm(term time.Duration) {
	s.strikeTerm = term
}

// Handle takes in one event and returns the effects to carry out.
func (s *State) Handle(now time.Duration, e Event) []Effect {
	var effects []Effect
	switch e := e.(type) {
	case Started:
		effects = s.start(now)
	case Crashed:
		effects = s.handleCrash(now, e)
	case PermitRequested:
		effects = s.requestPermit(now, e)
	case RunEnded:
		effects = s.endRun(now, e)
	case Received:
		effects = s.handleMessage(now, e)
	case Tick:
		effects = s.tick(now)
	}
	if s.changed {
		s.changed = false
		effects = append(effects, SnapshotChanged{
			Snapshot: s.snapshot(now),
		})
	}
	return effects
}

// Next returns when the next Tick is due, or zero if none is.
func (s *State) Next() time.Duration {
	next := s.startDeadline
	sooner := func(t time.Duration) {
		if t != 0 && (next == 0 || t < next) {
			next = t
		}
	}
	for _, p := range s.pendingStrikes {
		if !p.reported {
			sooner(p.ackDeadline)
		}
		sooner(min(p.deadline, p.resendAt))
	}
	for _, run := range s.runs {
		switch run.phase {
		case waiting:
			sooner(min(run.waitDeadline, run.resendAt))
		case running:
			sooner(run.until)
		case releasing:
			sooner(min(run.until, run.resendAt))
		}
	}
	for _, r := range s.records {
		sooner(r.until)
		sooner(r.permit.until)
	}
	return next
}

// start asks some peers for the strikes that they know.
func (s *State) start(now time.Duration) []Effect {
	peers := s.directory.Peers(now)
	if len(peers) == 0 {
		return []Effect{Ready{}}
	}
	s.startDeadline = now + startTimeout
	var effects []Effect
	first := s.random.IntN(len(peers))
	for i := range min(startPeers, len(peers)) {
		effects = append(effects, Send{
			To:      peers[(first+i)%len(peers)],
			Message: StrikesRequest{},
		})
	}
	return effects
}

// handleCrash adds a strike against the fingerprint and sends it to all other
// instances, unless a limit is reached.
func (s *State) handleCrash(now time.Duration, e Crashed) []Effect {
	if !s.admitStrike(now, e.Target) {
		return []Effect{StrikeSpread{
			Number: e.Number,
		}}
	}
	return s.createStrike(now, e.Number, e.Fingerprint, e.Outline, e.Target)
}

// admitStrike reports whether the limits of one target and of this instance allow
// another strike. If so, it counts the strike towards them.
func (s *State) admitStrike(now time.Duration, address string) bool {
	lapsed := func(at time.Duration) bool {
		return now-at >= strikeWindow
	}
	recent := slices.DeleteFunc(s.targetStrikes[address], lapsed)
	s.ownStrikes = slices.DeleteFunc(s.ownStrikes, lapsed)
	if len(recent) >= maxTargetStrikes || len(s.ownStrikes) >= maxOwnStrikes {
		return false
	}
	s.targetStrikes[address] = append(recent, now)
	s.ownStrikes = append(s.ownStrikes, now)
	return true
}

// createStrike creates a strike and sends it to all other instances.
func (s *State) createStrike(now time.Duration, number uint64, f Fingerprint, o Outline, address string) []Effect {
	s.lastNumber++
	m := Strike{
		Fingerprint: f,
		Outline:     o,
		Origin:      s.self,
		Number:      s.lastNumber,
		Target:      address,
		Remaining:   s.strikeTerm,
	}
	s.addStrike(now, m)
	p := pendingStrike{
		number:         number,
		strike:         m,
		unacknowledged: slices.Clone(s.directory.Peers(now)),
		ackDeadline:    now + ackTimeout,
		deadline:       now + spreadTimeout,
	}
	effects := s.sendStrike(now, &p)
	if len(p.unacknowledged) == 0 {
		return append(effects, StrikeSpread{
			Number: number,
		})
	}
	s.pendingStrikes = append(s.pendingStrikes, p)
	return effects
}

// sendStrike sends a strike to the instances that haven't acknowledged it.
func (s *State) sendStrike(now time.Duration, p *pendingStrike) []Effect {
	p.resendAt = now + resendInterval
	if p.reported {
		p.resendAt = now + spreadResendInterval
	}
	var effects []Effect
	for _, to := range p.unacknowledged {
		effects = append(effects, Send{
			To:      to,
			Message: p.strike,
		})
	}
	return effects
}

// addStrike counts a strike in the table.
func (s *State) addStrike(now time.Duration, m Strike) {
	r := s.record(now, m.Fingerprint, m.Outline)
	fresh := r.add(now, countedStrike{
		key: strikeKey{
			origin: m.Origin,
			number: m.Number,
		},
		target: m.Target,
	}, min(m.Remaining, s.strikeTerm))
	if m.Cleared && len(r.strikes) == 1 && !r.cleared {
		r.cleared = true
		fresh = true
	}
	s.changed = s.changed || fresh
}

// record returns the record of a fingerprint and creates it on first use. If the
// table is full, it evicts a record first.
func (s *State) record(now time.Duration, f Fingerprint, o Outline) *record {
	if r := s.records[f]; r != nil {
		return r
	}
	if len(s.records) >= maxRecords {
		s.evict(now)
	}
	r := &record{
		outline: o,
	}
	s.records[f] = r
	return r
}

// evict removes the record with the lowest status, and among these the one that
// expires first.
func (s *State) evict(now time.Duration) {
	var worst Fingerprint
	var found *record
	for f, r := range s.records {
		if found == nil || compare(now, f, r, worst, found) < 0 {
			worst, found = f, r
		}
	}
	delete(s.records, worst)
}

// compare orders records by how soon they may be evicted.
func compare(now time.Duration, f Fingerprint, a *record, g Fingerprint, b *record) int {
	return cmp.Or(
		cmp.Compare(a.status(now), b.status(now)),
		cmp.Compare(a.until, b.until),
		bytes.Compare(f[:], g[:]),
	)
}

// snapshot returns a copy of what request handling needs to know.
func (s *State) snapshot(now time.Duration) *Snapshot {
	n := &Snapshot{
		outlines: make(map[Outline]struct{}, len(s.records)),
		entries:  make(map[Fingerprint]entry, len(s.records)),
	}
	for f, r := range s.records {
		got := r.status(now)
		if got == Free {
			continue
		}
		n.outlines[r.outline] = struct{}{}
		n.entries[f] = entry{
			status: got,
			until:  r.until,
		}
	}
	return n
}

// tick sends unanswered messages again and ends what has timed out.
func (s *State) tick(now time.Duration) []Effect {
	var effects []Effect
	if s.startDeadline != 0 && now >= s.startDeadline {
		s.startDeadline = 0
		effects = append(effects, Ready{})
	}
	effects = append(effects, s.tickPendingStrikes(now)...)
	effects = append(effects, s.tickRuns(now)...)
	effects = append(effects, s.strikeLapsedPermits(now)...)
	s.expire(now)
	return effects
}

// tickPendingStrikes sends unacknowledged strikes again and emits StrikeSpread for those
// whose ackDeadline has passed.
func (s *State) tickPendingStrikes(now time.Duration) []Effect {
	var effects []Effect
	for i := range s.pendingStrikes {
		p := &s.pendingStrikes[i]
		if now >= p.ackDeadline && !p.reported {
			p.reported = true
			effects = append(effects, StrikeSpread{
				Number:  p.number,
				Missing: len(p.unacknowledged),
			})
		}
		p.done = now >= p.deadline
		if !p.done && now >= p.resendAt {
			effects = append(effects, s.sendStrike(now, p)...)
		}
	}
	s.removeDoneStrikes()
	return effects
}

// removeDoneStrikes removes the pending strikes that need no more messages.
func (s *State) removeDoneStrikes() {
	s.pendingStrikes = slices.DeleteFunc(s.pendingStrikes, func(p pendingStrike) bool {
		return p.done
	})
}

// expire deletes what has lapsed: records of strikes, ended permit requests and the
// times of targets' strikes.
func (s *State) expire(now time.Duration) {
	for f, r := range s.records {
		if r.until <= now && r.permit.until <= now {
			delete(s.records, f)
			s.changed = true
		}
	}
	for key, until := range s.endedRequests {
		if until <= now {
			delete(s.endedRequests, key)
		}
	}
	for address, times := range s.targetStrikes {
		if now-slices.Max(times) >= strikeWindow {
			delete(s.targetStrikes, address)
		}
	}
}

// handleMessage takes in a message from a peer.
func (s *State) handleMessage(now time.Duration, e Received) []Effect {
	switch m := e.Message.(type) {
	case Strike:
		s.addStrike(now, m)
		return []Effect{Send{
			To: e.From.Address,
			Message: StrikeAck{
				Number: m.Number,
			},
		}}
	case StrikeAck:
		return s.handleAck(e.From.Address, m)
	case PermitRequest:
		return []Effect{Send{
			To:      e.From.Address,
			Message: s.answerRequest(now, e.From, m),
		}}
	case PermitReply:
		return s.handleReply(now, e.From.Address, m)
	case Release:
		return s.handleRelease(now, e.From, m)
	case ReleaseAck:
		s.removeRun(m.Number)
	case StrikeCleared:
		s.clear(m.Fingerprint)
	case StrikesRequest:
		return []Effect{Send{
			To: e.From.Address,
			Message: StrikesReply{
				Strikes: s.strikes(now),
			},
		}}
	case StrikesReply:
		for _, k := range m.Strikes {
			s.addStrike(now, k)
		}
		if s.startDeadline != 0 {
			s.startDeadline = 0
			return []Effect{Ready{}}
		}
	}
	return nil
}

// handleAck marks a strike as acknowledged by one instance.
func (s *State) handleAck(from instance.Address, m StrikeAck) []Effect {
	for i := range s.pendingStrikes {
		p := &s.pendingStrikes[i]
		if p.strike.Number != m.Number {
			continue
		}
		p.unacknowledged = slices.DeleteFunc(p.unacknowledged, func(a instance.Address) bool {
			return a == from
		})
		if len(p.unacknowledged) > 0 {
			return nil
		}
		p.done = true
		number, reported := p.number, p.reported
		s.removeDoneStrikes()
		if reported {
			return nil
		}
		return []Effect{StrikeSpread{
			Number: number,
		}}
	}
	return nil
}

// strikes lists all known strikes in a fixed order.
func (s *State) strikes(now time.Duration) []Strike {
	var list []Strike
	for f, r := range s.records {
		list = append(list, r.messages(now, f)...)
	}
	slices.SortFunc(list, func(a, b Strike) int {
		return cmp.Or(
			bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]),
			cmp.Compare(a.Origin.Address, b.Origin.Address),
			cmp.Compare(a.Origin.Incarnation, b.Origin.Incarnation),
			cmp.Compare(a.Number, b.Number),
		)
	})
	return list
}

// clear marks a fingerprint's strike as followed by a successful run.
func (s *State) clear(f Fingerprint) {
	if r := s.records[f]; r != nil && !r.cleared {
		r.cleared = true
		s.changed = true
	}
}
