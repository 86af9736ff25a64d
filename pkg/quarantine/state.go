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
	// defaultTerm is how long a strike counts unless set otherwise.
	defaultTerm = 10 * time.Minute
	// mostRecords bounds the table of strikes.
	mostRecords = 1024
	// targetStrikes is how many fingerprints one target may strike within
	// targetWindow; a target that dies for more is itself the likelier cause.
	targetStrikes = 16
	targetWindow  = time.Minute
	// ownStrikes is how many strikes one instance may make within
	// targetWindow; each costs a message to every other instance.
	ownStrikes = 64
	// spreadBound is how long Spread waits for a strike to be noted by all.
	spreadBound = 200 * time.Millisecond
	// resend is how often an unanswered message is sent again.
	resend = 50 * time.Millisecond
	// spreadTerm is how long a strike is sent again to those that have not
	// noted it, each spreadPause once the answer is no longer held.
	spreadTerm  = 10 * time.Second
	spreadPause = 500 * time.Millisecond
	// recallBound is how long a started instance waits for the strikes.
	recallBound = time.Second
	// recallPeers is how many peers it asks.
	recallPeers = 3
	// mostTerm bounds a permit.
	mostTerm = time.Minute
	// driftShare is the part of a term, in hundredths, that its holder gives up
	// for clocks that drift.
	driftShare = 1
	// leastRetryAfter is the shortest wait that a refusal asks for.
	leastRetryAfter = time.Second
)

// Directory tells who is who. Its answers must depend only on what the caller
// has handled so far.
type Directory interface {
	// Coordinator returns the instance to ask about the fingerprint, which may
	// be this one, and false if none is known.
	Coordinator(now time.Duration, f Fingerprint) (instance.Address, bool)
	// AuthoritySince returns since when this instance has been the fingerprint's only
	// authority without a gap, and false if it isn't now.
	AuthoritySince(now time.Duration, f Fingerprint) (time.Duration, bool)
	// Peers returns the other instances alive, in a fixed order.
	Peers(now time.Duration) []instance.Address
}

// State is one instance's part in quarantine. Make it with New. It is not safe
// for concurrent use.
type State struct {
	self      instance.ID
	directory Directory
	random    *rand.Rand
	term      time.Duration
	number    uint64
	records   map[Fingerprint]*record
	spreads   []spread
	asks      []ask
	// struck holds when each target caused strikes, and own when this
	// instance made any.
	struck map[string][]time.Duration
	own    []time.Duration
	// void holds asks that were released, whose copies may still come, and
	// until when.
	void map[strikeKey]time.Duration
	// recall is when the wait for the strikes ends; zero once ready.
	recall time.Duration
	dirty  bool
}

// spread is a strike that not all instances have noted.
type spread struct {
	// number is the caller's; strike.Number is the state's own.
	number  uint64
	strike  Strike
	missing []instance.Address
	// bound is when the answer is given anyway, end when nobody is told any
	// more.
	bound  time.Duration
	resend time.Duration
	end    time.Duration
	told   bool
	done   bool
}

// ask is a suspect on its way: it waits for a permit, runs, or is released.
type ask struct {
	number      uint64
	own         uint64
	fingerprint Fingerprint
	outline     Outline
	// wait is when the wait ends.
	wait time.Duration
	// sent is when each attempt went out, by number.
	sent   []time.Duration
	term   time.Duration
	resend time.Duration
	to     instance.Address
	phase  phase
	until  time.Duration
	// release is what is sent until it is acknowledged.
	release Release
}

type phase uint8

const (
	waiting phase = iota
	running
	releasing
)

// Option changes a State under construction.
type Option func(*State)

// WithTerm sets how long a strike counts.
func WithTerm(term time.Duration) Option {
	return func(s *State) {
		s.term = term
	}
}

// WithRandom sets the source that spreads RetryAfter.
func WithRandom(r *rand.Rand) Option {
	return func(s *State) {
		s.random = r
	}
}

// New returns the state of one run of an instance.
func New(self instance.ID, d Directory, options ...Option) *State {
	s := &State{
		self:      self,
		directory: d,
		random:    rand.New(rand.NewPCG(0, 0)),
		term:      defaultTerm,
		records:   map[Fingerprint]*record{},
		struck:    map[string][]time.Duration{},
		void:      map[strikeKey]time.Duration{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetTerm changes how long new strikes count, when the document says so.
func (s *State) SetTerm(term time.Duration) {
	s.term = term
}

// Handle takes in one event and returns what is to be done.
func (s *State) Handle(now time.Duration, e Event) []Effect {
	var effects []Effect
	switch e := e.(type) {
	case Started:
		effects = s.start(now)
	case Crashed:
		effects = s.crashed(now, e)
	case PermitRequested:
		effects = s.wanted(now, e)
	case RunEnded:
		effects = s.ended(now, e)
	case Received:
		effects = s.received(now, e)
	case Tick:
		effects = s.tick(now)
	}
	if s.dirty {
		s.dirty = false
		effects = append(effects, SnapshotChanged{
			Snapshot: s.snapshot(now),
		})
	}
	return effects
}

// Next returns when a Tick is due; zero if none is.
func (s *State) Next() time.Duration {
	next := s.recall
	sooner := func(t time.Duration) {
		if t != 0 && (next == 0 || t < next) {
			next = t
		}
	}
	for _, p := range s.spreads {
		if !p.told {
			sooner(p.bound)
		}
		sooner(min(p.end, p.resend))
	}
	for _, a := range s.asks {
		switch a.phase {
		case waiting:
			sooner(min(a.wait, a.resend))
		case running:
			sooner(a.until)
		case releasing:
			sooner(min(a.until, a.resend))
		}
	}
	for _, r := range s.records {
		sooner(r.until)
		sooner(r.permit.until)
	}
	return next
}

func (s *State) start(now time.Duration) []Effect {
	peers := s.directory.Peers(now)
	if len(peers) == 0 {
		return []Effect{Ready{}}
	}
	s.recall = now + recallBound
	var effects []Effect
	first := s.random.IntN(len(peers))
	for i := range min(recallPeers, len(peers)) {
		effects = append(effects, Send{
			To:      peers[(first+i)%len(peers)],
			Message: StrikesRequest{},
		})
	}
	return effects
}

// crashed strikes the fingerprint and spreads the strike.
func (s *State) crashed(now time.Duration, e Crashed) []Effect {
	if !s.mayStrike(now, e.Target) {
		return []Effect{StrikeSpread{
			Number: e.Number,
		}}
	}
	return s.strike(now, e.Number, e.Fingerprint, e.Outline, e.Target)
}

// mayStrike limits the strikes that one target may cause.
func (s *State) mayStrike(now time.Duration, address string) bool {
	lapsed := func(at time.Duration) bool {
		return now-at >= targetWindow
	}
	recent := slices.DeleteFunc(s.struck[address], lapsed)
	s.own = slices.DeleteFunc(s.own, lapsed)
	if len(recent) >= targetStrikes || len(s.own) >= ownStrikes {
		return false
	}
	s.struck[address] = append(recent, now)
	s.own = append(s.own, now)
	return true
}

// strike makes a strike of this instance's own and sends it to all others.
func (s *State) strike(now time.Duration, number uint64, f Fingerprint, o Outline, address string) []Effect {
	s.number++
	m := Strike{
		Fingerprint: f,
		Outline:     o,
		Origin:      s.self,
		Number:      s.number,
		Target:      address,
		Remaining:   s.term,
	}
	s.note(now, m)
	p := spread{
		number:  number,
		strike:  m,
		missing: slices.Clone(s.directory.Peers(now)),
		bound:   now + spreadBound,
		end:     now + spreadTerm,
	}
	effects := s.push(now, &p)
	if len(p.missing) == 0 {
		return append(effects, StrikeSpread{
			Number: number,
		})
	}
	s.spreads = append(s.spreads, p)
	return effects
}

// push sends a strike to those that have not noted it.
func (s *State) push(now time.Duration, p *spread) []Effect {
	p.resend = now + resend
	if p.told {
		p.resend = now + spreadPause
	}
	var effects []Effect
	for _, to := range p.missing {
		effects = append(effects, Send{
			To:      to,
			Message: p.strike,
		})
	}
	return effects
}

// note counts a strike in the table.
func (s *State) note(now time.Duration, m Strike) {
	r := s.record(now, m.Fingerprint, m.Outline)
	fresh := r.add(now, counted{
		key: strikeKey{
			by:     m.Origin,
			number: m.Number,
		},
		target: m.Target,
	}, min(m.Remaining, s.term))
	if m.Cleared && len(r.strikes) == 1 && !r.cleared {
		r.cleared = true
		fresh = true
	}
	s.dirty = s.dirty || fresh
}

// record finds or makes the record of a fingerprint. If the table is full, the
// record with the fewest strikes that expires first gives way.
func (s *State) record(now time.Duration, f Fingerprint, o Outline) *record {
	if r := s.records[f]; r != nil {
		return r
	}
	if len(s.records) >= mostRecords {
		s.evict(now)
	}
	r := &record{
		outline: o,
	}
	s.records[f] = r
	return r
}

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

// compare orders records by how soon they may be given up.
func compare(now time.Duration, f Fingerprint, a *record, g Fingerprint, b *record) int {
	return cmp.Or(
		cmp.Compare(a.standing(now), b.standing(now)),
		cmp.Compare(a.until, b.until),
		bytes.Compare(f[:], g[:]),
	)
}

// snapshot copies what traffic needs to know.
func (s *State) snapshot(now time.Duration) *Snapshot {
	n := &Snapshot{
		outlines: make(map[Outline]struct{}, len(s.records)),
		entries:  make(map[Fingerprint]standing, len(s.records)),
	}
	for f, r := range s.records {
		got := r.standing(now)
		if got == Free {
			continue
		}
		n.outlines[r.outline] = struct{}{}
		n.entries[f] = standing{
			standing: got,
			until:    r.until,
		}
	}
	return n
}

// tick sends again what went unanswered and ends what has lapsed.
func (s *State) tick(now time.Duration) []Effect {
	var effects []Effect
	if s.recall != 0 && now >= s.recall {
		s.recall = 0
		effects = append(effects, Ready{})
	}
	effects = append(effects, s.tickSpreads(now)...)
	effects = append(effects, s.tickAsks(now)...)
	effects = append(effects, s.lapse(now)...)
	s.expire(now)
	return effects
}

func (s *State) tickSpreads(now time.Duration) []Effect {
	var effects []Effect
	for i := range s.spreads {
		p := &s.spreads[i]
		if now >= p.bound && !p.told {
			p.told = true
			effects = append(effects, StrikeSpread{
				Number:  p.number,
				Missing: len(p.missing),
			})
		}
		p.done = now >= p.end
		if !p.done && now >= p.resend {
			effects = append(effects, s.push(now, p)...)
		}
	}
	s.sweepSpreads()
	return effects
}

func (s *State) sweepSpreads() {
	s.spreads = slices.DeleteFunc(s.spreads, func(p spread) bool {
		return p.done
	})
}

// expire forgets lapsed strikes.
func (s *State) expire(now time.Duration) {
	for f, r := range s.records {
		if r.until <= now && r.permit.until <= now {
			delete(s.records, f)
			s.dirty = true
		}
	}
	for key, until := range s.void {
		if until <= now {
			delete(s.void, key)
		}
	}
	for address, times := range s.struck {
		if now-slices.Max(times) >= targetWindow {
			delete(s.struck, address)
		}
	}
}

// received takes in a message.
func (s *State) received(now time.Duration, e Received) []Effect {
	switch m := e.Message.(type) {
	case Strike:
		s.note(now, m)
		return []Effect{Send{
			To: e.From.Address,
			Message: StrikeAck{
				Number: m.Number,
			},
		}}
	case StrikeAck:
		return s.noted(e.From.Address, m)
	case PermitRequest:
		return []Effect{Send{
			To:      e.From.Address,
			Message: s.judge(now, e.From, m),
		}}
	case PermitReply:
		return s.replied(now, e.From.Address, m)
	case Release:
		return s.released(now, e.From, m)
	case ReleaseAck:
		s.drop(m.Number)
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
			s.note(now, k)
		}
		if s.recall != 0 {
			s.recall = 0
			return []Effect{Ready{}}
		}
	}
	return nil
}

// noted marks a strike as noted by one instance.
func (s *State) noted(from instance.Address, m StrikeAck) []Effect {
	for i := range s.spreads {
		p := &s.spreads[i]
		if p.strike.Number != m.Number {
			continue
		}
		p.missing = slices.DeleteFunc(p.missing, func(a instance.Address) bool {
			return a == from
		})
		if len(p.missing) > 0 {
			return nil
		}
		p.done = true
		number, told := p.number, p.told
		s.sweepSpreads()
		if told {
			return nil
		}
		return []Effect{StrikeSpread{
			Number: number,
		}}
	}
	return nil
}

// strikes lists all strikes known, in a fixed order.
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

func (s *State) clear(f Fingerprint) {
	if r := s.records[f]; r != nil && !r.cleared {
		r.cleared = true
		s.dirty = true
	}
}
