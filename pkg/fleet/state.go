package fleet

import (
	"math/rand/v2"
	"time"

	"dandelionmux/internal/rights"
	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/share"
)

// State is the control state of one run of an instance. It is used by one
// goroutine.
type State struct {
	self    instance.Info
	now     time.Duration
	members []instance.Info

	membership  *membership.State
	revision    *revision.State
	share       *share.State
	coordinator *quota.Coordinator
	holder      *quota.Holder
	quarantine  *quarantine.State
	claims      *claim.Claims
	judges      judges
	// authority tells for which shards this instance alone decides.
	authority *rights.Tracker

	// contactAt is when contact is looked at next.
	contactAt time.Duration
	// trusted is what the last Trusted said.
	trusted time.Duration
	// total is the number of shares.
	total int
	// listing is the number of the last call that lists the shares.
	listing uint64
	// strikesKnown and ready are set once, see tellTrust.
	strikesKnown bool
	ready        bool
	// own are messages that this instance sends itself.
	own     []Message
	effects []Effect
	leaving leaving
}

// Option changes a State under construction.
type Option func(*options)

type options struct {
	share      []share.Option
	quota      []quota.Option
	membership []membership.Option
	revision   []revision.Option
	claim      []claim.Option
	total      int
}

// WithShare passes options on to package share.
func WithShare(list ...share.Option) Option {
	return func(o *options) { o.share = append(o.share, list...) }
}

// WithQuota passes options on to package quota.
func WithQuota(list ...quota.Option) Option {
	return func(o *options) { o.quota = append(o.quota, list...) }
}

// WithMembership passes options on to package membership.
func WithMembership(list ...membership.Option) Option {
	return func(o *options) { o.membership = append(o.membership, list...) }
}

// WithRevision passes options on to package revision.
func WithRevision(list ...revision.Option) Option {
	return func(o *options) { o.revision = append(o.revision, list...) }
}

// WithClaim passes options on to package claim.
func WithClaim(list ...claim.Option) Option {
	return func(o *options) { o.claim = append(o.claim, list...) }
}

// New makes the state of the run self. Traffic takes its units from the
// allowance. The source of randomness must not be shared.
func New(self instance.Info, allowance *quota.Allowance, random *rand.Rand, list ...Option) *State {
	o := options{
		total: share.DefaultTotal,
	}
	for _, set := range list {
		set(&o)
	}
	s := &State{
		self:    self,
		total:   o.total,
		members: []instance.Info{self},
	}
	s.membership = membership.New(self, child(random), o.membership...)
	s.revision = revision.New(self.ID, child(random), o.revision...)
	s.share = share.New(self, child(random), o.share...)
	s.coordinator = quota.NewCoordinator(self.ID, o.quota...)
	s.holder = quota.NewHolder(self.ID, allowance, o.quota...)
	s.claims = claim.New(self, o.claim...)
	s.authority = rights.New(o.total)
	s.quarantine = quarantine.New(self.ID, directory{
		state: s,
	}, quarantine.WithRandom(child(random)))
	return s
}

// child makes an independent source from one.
func child(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// Start begins the run: it returns what is to be done at first.
func (s *State) Start(now time.Duration) []Effect {
	s.now = now
	s.takeQuarantine(s.quarantine.Handle(now, quarantine.Started{}))
	s.tick()
	return s.flush()
}

// Handle takes in one event at the given time and returns what is to be done.
func (s *State) Handle(now time.Duration, e Event) []Effect {
	s.now = max(s.now, now)
	s.authority.Advance(s.now, func(share.Shard, time.Duration, bool) {})
	s.route(e)
	s.tick()
	return s.flush()
}

// Next returns when Handle wants a Tick; zero if never.
func (s *State) Next() time.Duration {
	return earliest(
		s.contactAt,
		s.membership.Next(),
		s.revision.Next(),
		s.share.Next(),
		s.coordinator.Next(),
		s.holder.Next(),
		s.quarantine.Next(),
		s.claims.Next(),
		s.judges.next,
	)
}

// Members returns the instances believed alive, in order of their addresses.
func (s *State) Members() []instance.Info { return s.members }

// InContact reports whether the store, or the holders of more than half the
// shares, were heard within the term.
func (s *State) InContact(now time.Duration) bool { return s.share.InContact(now) }

// StoreReachable reports whether the store answered within the term.
func (s *State) StoreReachable(now time.Duration) bool { return s.share.StoreReachable(now) }

// ShardCount counts the shards for which this instance alone decides.
func (s *State) ShardCount() int {
	count := 0
	for _, shard := range s.authority.Shards() {
		if _, ok := s.authority.Majority(shard); ok {
			count++
		}
	}
	return count
}

// Revision returns the number of the document in force; zero if there is none.
func (s *State) Revision() uint64 { return s.revision.InForce().Number }

// TrustedUntil is when the document in force may not be acted on any more,
// unless there is contact before.
func (s *State) TrustedUntil() time.Duration { return s.revision.TrustedUntil() }

// UsableShares returns the shares that this instance may use now.
func (s *State) UsableShares(now time.Duration) []share.Right { return s.share.UsableRights(now) }

// route gives an event to the part that it concerns.
func (s *State) route(e Event) {
	switch e := e.(type) {
	case Tick:
	case Received:
		s.receive(e.From, e.Message)
	case ConnectionFailed:
		s.takeMembership(s.membership.Handle(s.now, membership.ConnectionFailed{
			Address: e.Address,
		}))
	case StoreAnswer:
		s.storeAnswered(e)
	case ListRead:
		s.listed(e.Instances)
	case DeclaredDead:
		s.takeShare(s.share.Handle(s.now, share.DeclaredDead{
			Address: e.Address,
		}))
	case Loaded:
		s.loaded(e)
	case Rejected:
		s.takeRevision(s.revision.Handle(s.now, revision.Refused{
			Number: e.Number,
			Reason: e.Reason,
		}))
	case Leave:
		s.leave()
	case Stop:
		s.takeMembership(s.membership.Handle(s.now, membership.Stop{}))
	default:
		s.routeTraffic(e)
	}
}

// routeTraffic gives an event of traffic to the part that it concerns.
func (s *State) routeTraffic(e Event) {
	switch e := e.(type) {
	case QuotaEvent:
		s.takeHolder(s.holder.Handle(s.now, e.Event))
	case QuarantineEvent:
		s.takeQuarantine(s.quarantine.Handle(s.now, e.Event))
	case ClaimEvent:
		s.takeClaims(s.claims.Handle(s.now, e.Event))
	case Reported:
		s.report(e.Report)
	case TargetReachability:
		s.connected(e)
	case TargetDraining:
		s.draining(e)
	}
}

// receive gives a message to its part.
func (s *State) receive(from instance.ID, m Message) {
	switch m := m.(type) {
	case MembershipMessage:
		s.takeMembership(s.membership.Handle(s.now, membership.Received{
			From:    from,
			Message: m.Message,
		}))
	case RevisionMessage:
		s.takeRevision(s.revision.Handle(s.now, revision.Received{
			From:    from,
			Message: m.Message,
		}))
	case ShareMessage:
		s.takeShare(s.share.Handle(s.now, share.Received{
			From:    from,
			Message: m.Message,
		}))
	case QuotaMessage:
		s.receiveQuota(from, m.Message)
	case ClaimMessage:
		s.takeClaims(s.claims.Handle(s.now, claim.Received{
			From:    from,
			Message: m.Message,
		}))
	case TargetReport:
		s.reported(from, m.Report)
	case TargetVerdicts:
		s.announced(m.Verdicts)
	case QuarantineMessage:
		s.takeQuarantine(s.quarantine.Handle(s.now, quarantine.Received{
			From:    from,
			Message: m.Message,
		}))
	}
}

// storeAnswered gives a store's answer to its part.
func (s *State) storeAnswered(e StoreAnswer) {
	s.noteRecords(e)
	switch e.Component {
	case ComponentRevision:
		s.takeRevision(s.revision.Handle(s.now, revision.StoreAnswer{
			Number: e.Number,
			Answer: e.Answer,
			Err:    e.Err,
		}))
	case ComponentShare:
		s.takeShare(s.share.Handle(s.now, share.StoreAnswer{
			Number: e.Number,
			Answer: e.Answer,
			Err:    e.Err,
		}))
	}
}

// listed gives the instance list to the parts that use it.
func (s *State) listed(instances []instance.Info) {
	addresses := make([]instance.Address, len(instances))
	for i, info := range instances {
		addresses[i] = info.Address
	}
	s.takeMembership(s.membership.Handle(s.now, membership.ListRead{
		Instances: addresses,
	}))
	s.takeShare(s.share.Handle(s.now, share.InstancesListed{
		Instances: instances,
	}))
}

// loaded puts the limits of a new document in force.
func (s *State) loaded(e Loaded) {
	s.takeRevision(s.revision.Handle(s.now, revision.Applied{
		Number: e.Number,
	}))
	s.takeCoordinator(s.coordinator.Handle(s.now, quota.LimitsChanged{
		Limits: e.Limits,
	}))
	s.configureTargets(e.Services, e.Floor)
	if e.StrikeTerm > 0 {
		s.quarantine.SetTerm(e.StrikeTerm)
	}
}

// tick wakes the parts whose time has come.
func (s *State) tick() {
	s.lookForContact()
	if s.due(s.membership.Next()) {
		s.takeMembership(s.membership.Handle(s.now, membership.Tick{}))
	}
	if s.due(s.revision.Next()) {
		s.takeRevision(s.revision.Handle(s.now, revision.Tick{}))
	}
	if s.due(s.share.Next()) {
		s.takeShare(s.share.Handle(s.now, share.Tick{}))
	}
	if s.due(s.coordinator.Next()) {
		s.takeCoordinator(s.coordinator.Handle(s.now, quota.Tick{}))
	}
	if s.due(s.holder.Next()) {
		s.takeHolder(s.holder.Handle(s.now, quota.Tick{}))
	}
	if s.due(s.quarantine.Next()) {
		s.takeQuarantine(s.quarantine.Handle(s.now, quarantine.Tick{}))
	}
	if s.due(s.claims.Next()) {
		s.takeClaims(s.claims.Handle(s.now, claim.Tick{}))
	}
	s.tickJudges()
	s.leaveStep()
}

func (s *State) due(at time.Duration) bool { return at != 0 && at <= s.now }

// flush delivers what the instance sent itself, and returns the effects.
func (s *State) flush() []Effect {
	for len(s.own) > 0 {
		m := s.own[0]
		s.own = s.own[1:]
		s.receive(s.self.ID, m)
	}
	s.own = nil
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) emit(e Effect) {
	if c, ok := e.(StoreCall); ok {
		s.noteCall(c)
	}
	s.effects = append(s.effects, e)
}

// send sends a message to a peer, or to this instance itself.
func (s *State) send(to instance.Address, m Message) {
	if to == s.self.Address {
		s.own = append(s.own, m)
		return
	}
	s.emit(Send{
		To:      to,
		Message: m,
	})
}

// earliest returns the least of the times that are not zero, or zero.
func earliest(times ...time.Duration) time.Duration {
	var least time.Duration
	for _, t := range times {
		if t != 0 && (least == 0 || t < least) {
			least = t
		}
	}
	return least
}
