package share

import (
	"math/rand/v2"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/lease"
)

const (
	// minLendingTerm is the lower bound of LendingTerm. Shares that are usable for
	// less are not lent.
	minLendingTerm = 100 * time.Millisecond
	// roundsPerTenTerms is how many rounds of requests are sent in ten lending
	// terms. With 2.5 rounds in a term, one request may be lost.
	roundsPerTenTerms = 25
	// leaveGrace is how long a leaving instance waits for shares that were
	// already sent to it.
	leaveGrace = 250 * time.Millisecond
	// exchangeBytes is the size of a request and its response while nothing
	// changes, framing included.
	exchangeBytes = 80
)

// State is the state of one instance's part in distributing rights. Create it
// with New. It must not be used by several goroutines at once.
type State struct {
	options
	self      instance.Info
	random    *rand.Rand
	startedAt time.Duration
	started   bool
	leaving   bool
	// leftAt is when this instance began to leave.
	leftAt  time.Duration
	now     time.Duration
	effects []Effect
	// members is sorted by address and includes this instance.
	members []instance.Info
	// nextRound is when the next round of requests is due.
	nextRound time.Duration

	session storeSession
	held    holdings
	voter   voter
	lending lendingTable
	lenders lenders
	// lastSeen is indexed by share.
	lastSeen []lastSeen
	claim    claimState
	list     instanceList
	// nextMove is the earliest time of the next move of a surplus share.
	nextMove time.Duration
}

// New returns the state of one run of an instance. The source of randomness
// only spreads load over time.
func New(self instance.Info, random *rand.Rand, opts ...Option) *State {
	s := &State{
		options: defaults(),
		self:    self,
		random:  random,
	}
	for _, o := range opts {
		o(&s.options)
	}
	s.members = []instance.Info{self}
	s.held.byShare = make([]*holding, s.total)
	s.voter = newVoter(s.total)
	s.claim.mayNameSelf = make([]bool, s.total)
	s.lastSeen = make([]lastSeen, s.total)
	s.lenders.byAddress = map[instance.Address]*lender{}
	s.lending = newLendingTable()
	s.list.entries = map[instance.Address]listEntry{}
	return s
}

// Handle processes an event at the given time and returns the effects to be
// carried out.
func (s *State) Handle(now time.Duration, e Event) []Effect {
	if !s.started {
		s.start(now)
	}
	s.now = max(s.now, now)
	s.effects = nil
	switch e := e.(type) {
	case Tick:
	case Received:
		s.receive(e)
	case StoreAnswer:
		s.handleStoreAnswer(e)
	case MembersChanged:
		s.setMembers(e.Members)
	case ListRead:
		s.updateList(e.Instances)
	case DeclaredDead:
		s.markDead(e.Address)
	case Leave:
		s.leave()
	}
	s.upkeep()
	effects := s.effects
	s.effects = nil
	return effects
}

// Next returns when Handle must be called with a Tick.
func (s *State) Next() time.Duration {
	if !s.started {
		return time.Nanosecond
	}
	next := min(s.nextRound, s.session.due(s))
	if s.lending.nextExpiry > 0 {
		next = min(next, s.lending.nextExpiry)
	}
	if d := s.lenders.nextExpiry; d > 0 {
		next = min(next, d)
	}
	return max(next, s.now+time.Millisecond)
}

// HasAuthority reports whether this instance is the only one that may decide
// for the shard, which it is if it has borrowed the shard from more than half
// the shares.
func (s *State) HasAuthority(now time.Duration, shard Shard) bool {
	n := 0
	for _, l := range s.lenders.ordered {
		if l.borrowed.Live(now) && l.shards.Has(shard) {
			n += len(l.reported)
		}
	}
	return n > s.total/2
}

// InContact reports whether the store answered a call, or the holders of more
// than half the shares answered a request, within the last term.
func (s *State) InContact(now time.Duration) bool {
	if s.session.contact.Live(now) {
		return true
	}
	return s.ReachableShares(now) > s.total/2
}

// UsableRights returns the rights of the shares that this instance may use now,
// in order of their numbers.
func (s *State) UsableRights(now time.Duration) []Right {
	var rights []Right
	for _, h := range s.held.byShare {
		if h != nil && h.usable(s, now) {
			rights = append(rights, h.right)
		}
	}
	return rights
}

// Stopped reports whether this instance is leaving and has no share left to
// hand over, and leaveGrace has passed since it began to leave.
func (s *State) Stopped() bool {
	return s.leaving && s.held.count() == 0 && s.now >= s.leftAt+leaveGrace
}

// start sets the times that count from the first event.
func (s *State) start(now time.Duration) {
	s.started = true
	s.startedAt = now
	s.now = now
	s.nextRound = now + s.jitter(s.roundInterval())
	s.session.nextWork = now
}

// upkeep does everything that is due because time has passed.
func (s *State) upkeep() {
	s.lenders.expire(s)
	s.lending.expire(s)
	if s.now >= s.nextRound {
		s.nextRound = s.now + s.roundInterval()
		s.maintainHeld()
		s.sendOffers()
		s.requestAll()
		s.moveSurplus()
	}
	s.makeStoreCalls()
}

// receive handles a message from a peer. Messages that claim to come from this
// instance's own address are ignored.
func (s *State) receive(e Received) {
	if e.From.Address == s.self.Address {
		return
	}
	s.dispatch(e)
}

// dispatch calls the handler for a message.
func (s *State) dispatch(e Received) {
	switch m := e.Message.(type) {
	case LeaseRequest:
		s.handleLeaseRequest(e.From, m)
	case LeaseResponse:
		s.handleLeaseResponse(e.From, m)
	case Offer:
		s.handleOffer(e.From)
	case Return:
		s.lending.handleReturn(s, e.From, m)
	case FenceRequest:
		s.send(e.From.Address, s.handleFenceRequest(e.From.Incarnation, m))
	case FenceResponse:
		s.handleFenceResponse(e.From, m)
	case Handover:
		s.handleHandover(e.From, m)
	}
}

// effectiveLendingTerm returns the term for which shards are lent: the shortest
// one that keeps the traffic of requests below the limit, but not below the
// LendingTerm option.
func (s *State) effectiveLendingTerm() time.Duration {
	exchanges := len(s.members) + min(len(s.members), s.total)
	perRound := time.Duration(exchanges*exchangeBytes) * time.Second / time.Duration(s.bytesPerSecond)
	return max(s.lendingTerm, perRound*roundsPerTenTerms/10)
}

// roundInterval returns the time between two rounds of requests.
func (s *State) roundInterval() time.Duration {
	return min(s.effectiveLendingTerm(), s.term) * 10 / roundsPerTenTerms
}

// jitter returns a random time from zero up to, but not including, the limit.
func (s *State) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// borrow returns this instance's view of a lease that another instance or the
// store granted, see lease.Borrow.
func (s *State) borrow(sent, term time.Duration) lease.Borrowed {
	return lease.Borrow(sent, term, s.drift)
}

// emit adds an effect to those that Handle returns.
func (s *State) emit(e Effect) {
	s.effects = append(s.effects, e)
}

// send sends a message. A message to this instance itself, which may borrow from
// the shares that it holds, is handled at once without the network.
func (s *State) send(to instance.Address, m Message) {
	if to == s.self.Address {
		s.dispatch(Received{
			From:    s.self.ID,
			Message: m,
		})
		return
	}
	s.emit(Send{
		To:      to,
		Message: m,
	})
}

// emitDecision emits a Decision about a share.
func (s *State) emitDecision(action Action, right Right, peer instance.Address) {
	s.emit(Decision{
		Action:   action,
		Share:    right.Share,
		Sequence: right.Sequence,
		Peer:     peer,
	})
}

// setMembers sets the instances that are considered alive. This instance is
// always included.
func (s *State) setMembers(members []instance.Info) {
	s.members = slices.Clone(members)
	if !slices.ContainsFunc(members, func(m instance.Info) bool { return m.Address == s.self.Address }) {
		s.members = append(s.members, s.self)
	}
	slices.SortFunc(s.members, func(a, b instance.Info) int {
		return compareAddresses(a.Address, b.Address)
	})
	s.lending.setMembers(s)
	s.lenders.setMembers(s)
}

// validShare reports whether the number is below the total number of shares.
func (s *State) validShare(n Number) bool {
	return int(n) < s.total
}

// countTrue returns the number of true values.
func countTrue(set []bool) int {
	n := 0
	for _, in := range set {
		if in {
			n++
		}
	}
	return n
}
