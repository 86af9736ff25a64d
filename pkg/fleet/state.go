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

// State is the control state of one run of an instance. It must only be used by
// one goroutine at a time.
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
	services    services
	// borrowed tracks which shards each share lends to this instance. A majority
	// of the shares gives sole authority over a shard.
	borrowed *rights.Tracker

	// nextContactCheck is the time of the next checkContact.
	nextContactCheck time.Duration
	// publishedTrust is the time in the last TrustChanged.
	publishedTrust time.Duration
	// shareTotal is the total number of shares in the fleet.
	shareTotal int
	// listCall is the number of the last store call that lists the share
	// records.
	listCall uint64
	// strikesKnown and ready are never reset once they are set; see
	// publishTrust.
	strikesKnown bool
	ready        bool
	// selfMessages are messages from this instance to itself.
	selfMessages []Message
	effects      []Effect
	leaving      leaving
}

// Option changes the configuration of a new State.
type Option func(*options)

type options struct {
	share      []share.Option
	quota      []quota.Option
	membership []membership.Option
	revision   []revision.Option
	claim      []claim.Option
	shareTotal int
}

// WithShare passes options to package share.
func WithShare(list ...share.Option) Option {
	return func(o *options) { o.share = append(o.share, list...) }
}

// WithQuota passes options to package quota.
func WithQuota(list ...quota.Option) Option {
	return func(o *options) { o.quota = append(o.quota, list...) }
}

// WithMembership passes options to package membership.
func WithMembership(list ...membership.Option) Option {
	return func(o *options) { o.membership = append(o.membership, list...) }
}

// WithRevision passes options to package revision.
func WithRevision(list ...revision.Option) Option {
	return func(o *options) { o.revision = append(o.revision, list...) }
}

// WithClaim passes options to package claim.
func WithClaim(list ...claim.Option) Option {
	return func(o *options) { o.claim = append(o.claim, list...) }
}

// New returns the state of the run self. Traffic takes quota units from the
// allowance. The random source must not be shared.
func New(self instance.Info, allowance *quota.Allowance, random *rand.Rand, list ...Option) *State {
	o := options{
		shareTotal: share.DefaultTotal,
	}
	for _, set := range list {
		set(&o)
	}
	s := &State{
		self:       self,
		shareTotal: o.shareTotal,
		members:    []instance.Info{self},
	}
	s.membership = membership.New(self, newRandom(random), o.membership...)
	s.revision = revision.New(self.ID, newRandom(random), o.revision...)
	s.share = share.New(self, newRandom(random), o.share...)
	s.coordinator = quota.NewCoordinator(self.ID, o.quota...)
	s.holder = quota.NewHolder(self.ID, allowance, o.quota...)
	s.claims = claim.New(self, o.claim...)
	s.borrowed = rights.New(o.shareTotal)
	s.quarantine = quarantine.New(self.ID, directory{
		state: s,
	}, quarantine.WithRandom(newRandom(random)))
	return s
}

// newRandom returns an independent random source, seeded from another one.
func newRandom(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// Start begins the run and returns its first effects.
func (s *State) Start(now time.Duration) []Effect {
	s.now = now
	s.handleQuarantineEffects(s.quarantine.Handle(now, quarantine.Started{}))
	s.tick()
	return s.flush()
}

// Handle processes one event at the given time and returns the resulting
// effects.
func (s *State) Handle(now time.Duration, e Event) []Effect {
	s.now = max(s.now, now)
	s.borrowed.Advance(s.now, func(share.Shard, time.Duration, bool) {})
	s.route(e)
	s.tick()
	return s.flush()
}

// Next returns the time at which Handle must be called with a Tick; zero means
// never.
func (s *State) Next() time.Duration {
	return earliestNonZero(
		s.nextContactCheck,
		s.membership.Next(),
		s.revision.Next(),
		s.share.Next(),
		s.coordinator.Next(),
		s.holder.Next(),
		s.quarantine.Next(),
		s.claims.Next(),
		s.services.nextTick,
	)
}

// Members returns the instances that are considered alive, sorted by address.
func (s *State) Members() []instance.Info { return s.members }

// InContact reports whether the store, or the holders of more than half of the
// shares, answered within the contact term.
func (s *State) InContact(now time.Duration) bool { return s.share.InContact(now) }

// StoreReachable reports whether the store answered within the contact term.
func (s *State) StoreReachable(now time.Duration) bool { return s.share.StoreReachable(now) }

// ShardCount returns the number of shards for which this instance has sole
// authority.
func (s *State) ShardCount() int {
	count := 0
	for _, shard := range s.borrowed.Shards() {
		if _, ok := s.borrowed.Majority(shard); ok {
			count++
		}
	}
	return count
}

// Revision returns the number of the document in force; zero if there is none.
func (s *State) Revision() uint64 { return s.revision.InForce().Number }

// TrustedUntil returns the time until which the document in force may be used.
// Later contact, or a newer revision that comes into force, can extend it.
func (s *State) TrustedUntil() time.Duration { return s.revision.TrustedUntil() }

// UsableRights returns the rights to shares that this instance may use now.
func (s *State) UsableRights(now time.Duration) []share.Right { return s.share.UsableRights(now) }

// route passes an event to the component that it concerns.
func (s *State) route(e Event) {
	switch e := e.(type) {
	case Tick:
	case Received:
		s.receive(e.From, e.Message)
	case ConnectionFailed:
		s.handleMembershipEffects(s.membership.Handle(s.now, membership.ConnectionFailed{
			Address: e.Address,
		}))
	case StoreAnswer:
		s.storeAnswered(e)
	case ListRead:
		s.instancesListed(e.Instances)
	case DeclaredDead:
		s.handleShareEffects(s.share.Handle(s.now, share.DeclaredDead{
			Address: e.Address,
		}))
	case Loaded:
		s.documentLoaded(e)
	case Rejected:
		s.handleRevisionEffects(s.revision.Handle(s.now, revision.Rejected{
			Number: e.Number,
			Reason: e.Reason,
		}))
	case Leave:
		s.leave()
	case Stop:
		s.handleMembershipEffects(s.membership.Handle(s.now, membership.Stop{}))
	default:
		s.routeTraffic(e)
	}
}

// routeTraffic passes an event from traffic to the component that it concerns.
func (s *State) routeTraffic(e Event) {
	switch e := e.(type) {
	case QuotaEvent:
		s.handleHolderEffects(s.holder.Handle(s.now, e.Event))
	case QuarantineEvent:
		s.handleQuarantineEffects(s.quarantine.Handle(s.now, e.Event))
	case ClaimEvent:
		s.handleClaimEffects(s.claims.Handle(s.now, e.Event))
	case Reported:
		s.sendReport(e.Report)
	case TargetReachability:
		s.handleReachability(e)
	case TargetDraining:
		s.handleDraining(e)
	}
}

// receive passes a message to the component that it concerns.
func (s *State) receive(from instance.ID, m Message) {
	switch m := m.(type) {
	case MembershipMessage:
		s.handleMembershipEffects(s.membership.Handle(s.now, membership.Received{
			From:    from,
			Message: m.Message,
		}))
	case RevisionMessage:
		s.handleRevisionEffects(s.revision.Handle(s.now, revision.Received{
			From:    from,
			Message: m.Message,
		}))
	case ShareMessage:
		s.handleShareEffects(s.share.Handle(s.now, share.Received{
			From:    from,
			Message: m.Message,
		}))
	case QuotaMessage:
		s.receiveQuota(from, m.Message)
	case ClaimMessage:
		s.handleClaimEffects(s.claims.Handle(s.now, claim.Received{
			From:    from,
			Message: m.Message,
		}))
	case TargetReport:
		s.handleReport(from, m.Report)
	case TargetVerdicts:
		s.handleVerdicts(m.Verdicts)
	case QuarantineMessage:
		s.handleQuarantineEffects(s.quarantine.Handle(s.now, quarantine.Received{
			From:    from,
			Message: m.Message,
		}))
	}
}

// storeAnswered passes an answer of the store to the component that made the
// call.
func (s *State) storeAnswered(e StoreAnswer) {
	s.checkShareRecords(e)
	switch e.Component {
	case ComponentRevision:
		s.handleRevisionEffects(s.revision.Handle(s.now, revision.StoreAnswer{
			Number: e.Number,
			Answer: e.Answer,
			Err:    e.Err,
		}))
	case ComponentShare:
		s.handleShareEffects(s.share.Handle(s.now, share.StoreAnswer{
			Number: e.Number,
			Answer: e.Answer,
			Err:    e.Err,
		}))
	}
}

// instancesListed passes the instance list to the components that use it.
func (s *State) instancesListed(instances []instance.Info) {
	addresses := make([]instance.Address, len(instances))
	for i, info := range instances {
		addresses[i] = info.Address
	}
	s.handleMembershipEffects(s.membership.Handle(s.now, membership.ListRead{
		Instances: addresses,
	}))
	s.handleShareEffects(s.share.Handle(s.now, share.ListRead{
		Instances: instances,
	}))
}

// documentLoaded configures the components from a new document.
func (s *State) documentLoaded(e Loaded) {
	s.handleRevisionEffects(s.revision.Handle(s.now, revision.Applied{
		Number: e.Number,
	}))
	s.handleCoordinatorEffects(s.coordinator.Handle(s.now, quota.LimitsChanged{
		Limits: e.Limits,
	}))
	s.configureServices(e.Services, e.Floor)
	if e.StrikeTerm > 0 {
		s.quarantine.SetStrikeTerm(e.StrikeTerm)
	}
}

// tick wakes the components whose next tick is due.
func (s *State) tick() {
	s.checkContact()
	if s.due(s.membership.Next()) {
		s.handleMembershipEffects(s.membership.Handle(s.now, membership.Tick{}))
	}
	if s.due(s.revision.Next()) {
		s.handleRevisionEffects(s.revision.Handle(s.now, revision.Tick{}))
	}
	if s.due(s.share.Next()) {
		s.handleShareEffects(s.share.Handle(s.now, share.Tick{}))
	}
	if s.due(s.coordinator.Next()) {
		s.handleCoordinatorEffects(s.coordinator.Handle(s.now, quota.Tick{}))
	}
	if s.due(s.holder.Next()) {
		s.handleHolderEffects(s.holder.Handle(s.now, quota.Tick{}))
	}
	if s.due(s.quarantine.Next()) {
		s.handleQuarantineEffects(s.quarantine.Handle(s.now, quarantine.Tick{}))
	}
	if s.due(s.claims.Next()) {
		s.handleClaimEffects(s.claims.Handle(s.now, claim.Tick{}))
	}
	s.tickServices()
	s.continueLeave()
}

// due reports whether a time is set and has come.
func (s *State) due(at time.Duration) bool { return at != 0 && at <= s.now }

// flush delivers the messages that the instance sent to itself, and returns the
// effects since the last flush.
func (s *State) flush() []Effect {
	for len(s.selfMessages) > 0 {
		m := s.selfMessages[0]
		s.selfMessages = s.selfMessages[1:]
		s.receive(s.self.ID, m)
	}
	s.selfMessages = nil
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) emit(e Effect) {
	if c, ok := e.(StoreCall); ok {
		s.trackListCall(c)
	}
	s.effects = append(s.effects, e)
}

// send sends a message to a peer or to this instance itself.
func (s *State) send(to instance.Address, m Message) {
	if to == s.self.Address {
		s.selfMessages = append(s.selfMessages, m)
		return
	}
	s.emit(Send{
		To:      to,
		Message: m,
	})
}

// earliestNonZero returns the earliest of the times other than zero, or zero if
// there is none.
func earliestNonZero(times ...time.Duration) time.Duration {
	var least time.Duration
	for _, t := range times {
		if t != 0 && (least == 0 || t < least) {
			least = t
		}
	}
	return least
}
