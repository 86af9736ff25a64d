package share

import (
	"math/rand/v2"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/lease"
)

const (
	// minLendingTerm is the shortest term for which shards are lent.
	minLendingTerm = 100 * time.Millisecond
	// beatsPerTerm is how many asks are sent within a lending term, in tenths,
	// so that one may be lost.
	beatsPerTerm = 25
	// leaveWait is how long a leaving instance waits for shares that were on
	// their way to it.
	leaveWait = 250 * time.Millisecond
	// pairBytes is the size of an ask and its answer in the calm, framing
	// included.
	pairBytes = 80
)

// State is one instance's part in the sharing of rights. It is made by New and
// used by one goroutine at a time.
type State struct {
	options
	self    instance.Info
	random  *rand.Rand
	started time.Duration
	begun   bool
	leaving bool
	// leftAt is when this instance began to leave.
	leftAt   time.Duration
	now      time.Duration
	effects  []Effect
	members  []instance.Info
	heartbit time.Duration

	keeper  keeper
	held    holdings
	voter   voter
	lending table
	lenders lenders
	seen    []sighting
	claim   reclaim
	list    listing
	moveAt  time.Duration
}

// New makes the state of one run of an instance. The source of randomness only
// spreads load over time.
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
	s.claim.named = make([]bool, s.total)
	s.seen = make([]sighting, s.total)
	s.lenders.byAddress = map[instance.Address]*lender{}
	s.lending = newTable()
	s.list.entries = map[instance.Address]listed{}
	return s
}

// Handle takes in one event at the given time and returns what is to be done.
func (s *State) Handle(now time.Duration, e Event) []Effect {
	if !s.begun {
		s.begin(now)
	}
	s.now = max(s.now, now)
	s.effects = nil
	switch e := e.(type) {
	case Tick:
	case Received:
		s.receive(e)
	case StoreAnswer:
		s.storeAnswered(e)
	case MembersChanged:
		s.setMembers(e.Members)
	case InstancesListed:
		s.noteListed(e.Instances)
	case DeclaredDead:
		s.noteDead(e.Address)
	case Leave:
		s.leave()
	}
	s.upkeep()
	effects := s.effects
	s.effects = nil
	return effects
}

// Next returns when Handle wants a Tick; zero if never.
func (s *State) Next() time.Duration {
	if !s.begun {
		return time.Nanosecond
	}
	next := min(s.heartbit, s.keeper.due(s))
	if s.lending.due > 0 {
		next = min(next, s.lending.due)
	}
	if d := s.lenders.due; d > 0 {
		next = min(next, d)
	}
	return max(next, s.now+time.Millisecond)
}

// HasAuthority reports whether this instance alone may decide for the shard: it
// has it from more than half the shares.
func (s *State) HasAuthority(now time.Duration, shard Shard) bool {
	n := 0
	for _, l := range s.lenders.ordered {
		if l.borrowed.Live(now) && l.shards.Has(shard) {
			n += len(l.lent)
		}
	}
	return n > s.total/2
}

// InContact reports whether the store, or the holders of more than half the
// shares, were heard within the term.
func (s *State) InContact(now time.Duration) bool {
	if s.keeper.heard.Live(now) {
		return true
	}
	return s.ReachableShares(now) > s.total/2
}

// UsableRights returns the shares that this instance may use now, in order.
func (s *State) UsableRights(now time.Duration) []Right {
	var rights []Right
	for _, h := range s.held.byShare {
		if h != nil && h.usable(s, now) {
			rights = append(rights, h.right)
		}
	}
	return rights
}

// Stopped reports whether a leaving instance has nothing left to pass on.
func (s *State) Stopped() bool {
	return s.leaving && s.held.count() == 0 && s.now >= s.leftAt+leaveWait
}

func (s *State) begin(now time.Duration) {
	s.begun = true
	s.started = now
	s.now = now
	s.heartbit = now + s.spread(s.beat())
	s.keeper.next = now
}

// upkeep does what is due by time alone.
func (s *State) upkeep() {
	s.lenders.expire(s)
	s.lending.expire(s)
	if s.now >= s.heartbit {
		s.heartbit = s.now + s.beat()
		s.heldUpkeep()
		s.offer()
		s.askAll()
		s.moveSurplus()
	}
	s.keep()
}

func (s *State) receive(e Received) {
	if e.From.Address == s.self.Address {
		return
	}
	s.dispatch(e)
}

func (s *State) dispatch(e Received) {
	switch m := e.Message.(type) {
	case LeaseRequest:
		s.answer(e.From, m)
	case LeaseResponse:
		s.takeAnswer(e.From, m)
	case Offer:
		s.takeOffer(e.From)
	case Return:
		s.lending.takeReturn(s, e.From, m)
	case FenceRequest:
		s.send(e.From.Address, s.promise(e.From.Incarnation, m))
	case FenceResponse:
		s.takePromise(e.From, m)
	case Handover:
		s.takeHandover(e.From, m)
	}
}

// lendTerm returns the term for which shards are lent: as short as the traffic
// allows.
func (s *State) lendTerm() time.Duration {
	pairs := len(s.members) + min(len(s.members), s.total)
	perBeat := time.Duration(pairs*pairBytes) * time.Second / time.Duration(s.bytesPerSec)
	return max(s.lendingTerm, perBeat*beatsPerTerm/10)
}

// beat returns the time between two rounds of asks.
func (s *State) beat() time.Duration {
	return min(s.lendTerm(), s.term) * 10 / beatsPerTerm
}

// spread returns a random time below the limit.
func (s *State) spread(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *State) borrow(sent, term time.Duration) lease.Borrowed {
	return lease.Borrow(sent, term, s.drift)
}

func (s *State) emit(e Effect) {
	s.effects = append(s.effects, e)
}

// send sends a message. What an instance has for itself, as a lender to its
// own coordinator, goes the same way but for the network.
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

func (s *State) decide(action Action, right Right, peer instance.Address) {
	s.emit(Decision{
		Action:   action,
		Share:    right.Share,
		Sequence: right.Sequence,
		Peer:     peer,
	})
}

// setMembers takes in a new view of who is alive.
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

func (s *State) valid(n Number) bool {
	return int(n) < s.total
}

func count(set []bool) int {
	n := 0
	for _, in := range set {
		if in {
			n++
		}
	}
	return n
}
