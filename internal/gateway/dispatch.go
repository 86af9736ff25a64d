package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/link"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
	"dandelionmux/pkg/warmup"
)

// Times and limits of dispatching requests.
const (
	// loadReportPeriodPerMember limits the load reports that an instance receives to
	// 125 a second, however many members its zone has.
	loadReportPeriodPerMember = 8 * time.Millisecond
	// loadReportLifetimePeriods is the number of periods for which a load report
	// counts, so that one may be lost.
	loadReportLifetimePeriods = 3
	// maxLoadReportPeriod is the time between two reports of an instance without load,
	// unless loadReportPeriod is longer.
	maxLoadReportPeriod = 300 * time.Millisecond
	// noTargetRetryAfter is the Retry-After sent to callers of a service without
	// available targets.
	noTargetRetryAfter = time.Second
	// reportTimeError is by how much the times of two reports may be wrong to each other.
	reportTimeError = 10 * time.Millisecond
	// scarceTerm is how long after a refused retry reads wait longer for their answers.
	scarceTerm = 10 * time.Second
	// minRestSpread is the least time over which callers come back after all targets of a
	// service have rested.
	minRestSpread = 500 * time.Millisecond
)

// service is the instance's state of one service, guarded by localState.mu.
type service struct {
	name      string
	table     *outlier.Table
	latencies *outlier.Latencies
	inFlight  inFlight
	// unresponsiveReportAt holds when it may next be reported of a target that it seems to
	// have stopped answering.
	unresponsiveReportAt map[string]time.Duration
	// unreachedReportAt holds when it may next be reported of a target that it could not be
	// reached.
	unreachedReportAt map[string]time.Duration
	// suspected holds the targets that count as cold only because the service was impaired.
	suspected []string
	// newRequests counts the requests begun since countingSince, for the next decision
	// request about a retry. countingSince is when that count was last sent or restarted.
	newRequests   int
	countingSince time.Duration
	// retryRefusedAt is when a retry was last refused.
	retryRefusedAt time.Duration
	// allocation is set once this instance has been asked for a slot of the service.
	allocation *allocation
}

// retriesAreScarce reports whether a retry has been refused lately.
func (s *service) retriesAreScarce(now time.Duration) bool {
	return s.retryRefusedAt > 0 && now < s.retryRefusedAt+scarceTerm
}

// dispatcher implements entry.Dispatcher.
type dispatcher struct{ gateway *Gateway }

// Acquire implements entry.Dispatcher. A target that names a limit or is cold gets the request
// only if its keeper permits that; if not, another target is chosen.
func (d dispatcher) Acquire(ctx context.Context, request entry.SlotRequest) (entry.Slot, error) {
	g := d.gateway
	for {
		if g.stopsBefore(request) {
			return nil, entry.StoppingRefusal()
		}
		acquired, limit, err := g.obtain(ctx, request)
		if err != nil {
			return nil, err
		}
		if acquired.grant != nil && g.stopsBefore(request) {
			// The instance has begun to stop while the request waited for the slot.
			acquired.takeBack(0)
			return nil, entry.StoppingRefusal()
		}
		if limit.Kind != meter.Limited && !acquired.warmUp.Limits() {
			acquired.start()
			return acquired, nil
		}
		decision := g.requestPermit(ctx, acquired, limit)
		if decision.Granted {
			acquired.start()
			return acquired, nil
		}
		if ctx.Err() != nil {
			acquired.takeBack(0)
			return nil, g.noTarget(ctx, request)
		}
		acquired.takeBack(decision.RetryAfter)
	}
}

// obtain returns a slot that its service's allocator has granted, or one that this instance has
// chosen if it decides for itself.
func (g *Gateway) obtain(ctx context.Context, request entry.SlotRequest) (*slot, meter.TargetLimit, error) {
	switch o := g.allocate(ctx, request).(type) {
	case slotObtained:
		return o.slot, o.limit, nil
	case slotDenied:
		return nil, meter.TargetLimit{}, o.err
	}
	acquired, limit := g.choose(request)
	if acquired == nil {
		return nil, meter.TargetLimit{}, g.noTarget(ctx, request)
	}
	return acquired, limit, nil
}

// stopsBefore reports whether the instance stops before an attempt that begins now is likely to be
// answered.
func (g *Gateway) stopsBefore(request entry.SlotRequest) bool {
	by := g.Current().StopBy
	if by.IsZero() {
		return false
	}
	likely := true
	g.state.withLock(func() {
		if s := g.state.services[request.Service]; s != nil {
			likely = s.latencies.LikelyWithin(request.Route.Name, request.Route.Objective, time.Until(by), request.Repeatable)
		}
	})
	return !likely
}

// choose chooses a target and returns a slot there, which has not started yet, and the
// target's limit. The slot is nil if there is no target.
func (g *Gateway) choose(request entry.SlotRequest) (*slot, meter.TargetLimit) {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	now := boot.Now()
	s := st.services[request.Service]
	if s == nil {
		return nil, meter.TargetLimit{}
	}
	wanted := outlier.Request{
		Repeatable: request.Repeatable,
		Avoid:      request.TriedTargets,
		Spare:      request.Beside,
	}
	if request.Unreached || st.links.IsImpaired(request.Service) {
		wanted.Prefer = st.links.Contacted(now, request.Service)
	}
	chosen, ok := s.table.Choose(now, wanted)
	if !ok {
		return nil, meter.TargetLimit{}
	}
	return st.newSlot(now, s, request, chosen)
}

// newSlot returns a slot at a target that was chosen or granted, and the target's limit. The
// caller must hold mu.
func (st *localState) newSlot(now time.Duration, s *service, request entry.SlotRequest, chosen document.Target) (*slot, meter.TargetLimit) {
	acquired := &slot{
		gateway:         st.gateway,
		service:         request.Service,
		route:           request.Route.Name,
		target:          chosen,
		incarnation:     st.targets.Incarnation(chosen.Name),
		first:           !request.Counted,
		responseTimeout: s.latencies.ResponseTimeout(request.Route.Name, request.Route.Objective),
		expected:        s.latencies.Expected(request.Route.Name, request.Route.Objective),
		overdueAfter:    s.latencies.OverdueAfter(request.Route.Name, request.Route.Objective, s.retriesAreScarce(now)),
		targetCounts:    s.table.Counts(now),
		inUse:           s.table.InUse(now, chosen.Name),
	}
	acquired.permit, _ = request.Permit.(*permit)
	st.setWarmUp(now, acquired)
	return acquired, st.targetLimits.Limit(chosen.Name)
}

// noTargetReason returns why no target takes a request, given how long none does.
func (s *service) noTargetReason(wait outlier.Wait) string {
	switch {
	case s.table.OnlyEvacuated():
		return "zone-evacuated"
	case wait.Resting:
		return "targets-resting"
	case wait.Until > 0:
		return "targets-limited"
	default:
		return "no-target"
	}
}

// noTarget refuses a request for which there is no target.
func (g *Gateway) noTarget(ctx context.Context, request entry.SlotRequest) error {
	refusal := &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "no-target",
		RetryAfter: noTargetRetryAfter,
	}
	if request.Beside {
		return refusal
	}
	g.state.withLock(func() {
		s := g.state.services[request.Service]
		if s == nil {
			return
		}
		wait := s.table.Wait(boot.Now())
		refusal.Reason = s.noTargetReason(wait)
		switch refusal.Reason {
		case "targets-resting":
			// Those who come back at the same moment would all meet the same target.
			refusal.RetryAfter = wait.Until + rand.N(max(wait.Until/2, minRestSpread))
		case "targets-limited":
			refusal.RetryAfter = wait.Until
		}
	})
	g.logger.Warn("service has no available target",
		slog.String("Request", entry.RequestID(ctx)),
		slog.String("Service", request.Service),
		slog.String("Reason", refusal.Reason))
	return refusal
}

// countRequest counts a request for the retry budget. It starts again at zero if the
// count is older than window, since the budget ignores older requests.
func (s *service) countRequest(now, window time.Duration) {
	if now-s.countingSince > window {
		s.newRequests = 0
		s.countingSince = now
	}
	s.newRequests++
}

// takeRequestCount returns the number of requests begun since it was last called, but not
// those that the retry budget ignores, and the time since then.
func (s *service) takeRequestCount(now time.Duration) (requests int, over time.Duration) {
	requests, over = s.newRequests, now-s.countingSince
	s.newRequests, s.countingSince = 0, now
	return requests, over
}

// hasRoomBeside reports whether an attempt beside another one could begin: at a target that has
// slots to spare, or through an instance that has links.
func (g *Gateway) hasRoomBeside(name string, tried []string) bool {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.services[name]
	return s != nil && (st.links.State(name) != link.Reachable || s.table.HasSpare(boot.Now(), tried))
}

// Retry implements entry.Dispatcher. A retry of an attempt that did not reach its
// target is always granted. If the zone's budget is used up, other zones are asked.
func (d dispatcher) Retry(ctx context.Context, name string, failed retry.Attempt) bool {
	if failed.Outcome == target.Refused {
		return true
	}
	g := d.gateway
	if failed.Beside && !g.hasRoomBeside(name, failed.Tried) {
		g.count("Retry.NoRoom")
		return false
	}
	rank, ranked := g.retryRank(name, failed)
	if ranked && !g.hasTimeToRetry(name, failed) {
		g.count("Retry.Late")
		return false
	}
	request := decisionRequest{
		Kind: retryBudget,
		Name: name,
		Rank: wireRank(rank, ranked),
	}
	g.state.withLock(func() {
		if s := g.state.services[name]; s != nil {
			request.Amount, request.Over = s.takeRequestCount(boot.Now())
		}
	})
	granted := g.requestDecision(ctx, request).Granted
	borrowed := !granted && g.borrowRetry(ctx, name, request.Rank)
	granted = granted || borrowed
	g.logger.Info("retry asked for",
		slog.String("Request", entry.RequestID(ctx)),
		slog.String("Service", name),
		slog.String("Outcome", failed.Outcome.String()),
		slog.Int("Attempt", failed.Number),
		slog.Int("Rank", request.Rank-1),
		slog.Int("Begun", request.Amount),
		slog.Duration("Over", request.Over),
		slog.Bool("Granted", granted),
		slog.Bool("Borrowed", borrowed))
	switch {
	case !granted:
		g.count("Retry.Unpaid")
		g.state.withLock(func() {
			if s := g.state.services[name]; s != nil {
				s.retryRefusedAt = boot.Now()
			}
		})
	case borrowed:
		g.count("Retry.Borrowed")
	}
	return granted
}

// borrowRetry asks the keepers of a service's retry budget in other zones for a retry.
// The rank is as in decisionRequest.
func (g *Gateway) borrowRetry(ctx context.Context, name string, rank int) bool {
	st := g.state
	for range meter.MaxLenders {
		var keeper string
		ok := false
		st.withLock(func() {
			var keepers []string
			for _, a := range st.roster.RemoteKeepers(retryBudget.String(), name, st.unresponsive) {
				if !st.unresponsive(a) {
					keepers = append(keepers, string(a))
				}
			}
			keeper, ok = st.lenders.Choose(boot.Now(), name, keepers)
		})
		if !ok {
			return false
		}
		response, answered := g.askKeeper(ctx, instance.Address(keeper), decisionRequest{
			Kind: retryBudget,
			Name: name,
			Rank: rank,
		})
		switch {
		case response.Granted:
			return true
		case ctx.Err() != nil:
			return false
		case !answered:
			st.markUnresponsive(instance.Address(keeper), retryBudget.String()+" "+name)
		}
		st.withLock(func() { st.lenders.Refused(boot.Now(), name, keeper) })
	}
	return false
}

// slot implements entry.Slot.
type slot struct {
	gateway         *Gateway
	service         string
	route           string
	target          document.Target
	responseTimeout time.Duration
	overdueAfter    time.Duration
	timer           *time.Timer
	began           time.Duration
	// incarnation is that of the target when it was chosen.
	incarnation int64
	// targetCounts is the state of the service's targets when this one was chosen.
	targetCounts outlier.Counts
	// first is set if the request hasn't been counted for the retry budget yet.
	first bool
	// permit is that of the request, or nil.
	permit *permit
	// pending is the attempt as the table sees it, and expected how long its answer should
	// take. onUnresponsive is called if the target seems to have stopped answering. They
	// are guarded by localState.mu.
	pending        *outlier.Pending
	expected       time.Duration
	onUnresponsive func()
	// inUse is the number of requests running at the target at that time, including
	// this one.
	inUse int
	// warmUp is the warm-up limit of the target if it was cold when it was chosen, and
	// permittedUntil when the permit of its keeper lapses, or zero if there is none. The latter
	// is guarded by localState.mu.
	warmUp         warmup.Policy
	permittedUntil time.Duration
	// unsent is set if MaySend has kept the request from the target, and withheld if the
	// reason was that there was no permit or that the target's zone is evacuated.
	unsent   atomic.Bool
	withheld atomic.Bool
	// grant is the allocator's, or nil if this instance chose the target.
	grant *slotGrant
}

// start counts the attempt and begins to wait for its answer.
func (sl *slot) start() {
	g := sl.gateway
	g.state.withLock(func() {
		s := g.state.services[sl.service]
		if s == nil {
			return
		}
		if sl.first {
			s.countRequest(boot.Now(), g.settings.RetryWindow)
		}
		sl.pending = s.table.Begin(sl.target.Name, sl.expected)
		s.inFlight.add(sl)
	})
	sl.began = boot.Now()
	sl.timer = time.AfterFunc(sl.responseTimeout, g.contained(sl.recordOverdue))
}

// takeBack gives the slot back without an attempt. The target isn't chosen again for the
// time.
func (sl *slot) takeBack(hold time.Duration) {
	g := sl.gateway
	g.state.withLock(func() {
		if s := g.state.services[sl.service]; s != nil {
			s.table.Hold(boot.Now()+hold, sl.target.Name)
		}
	})
	sl.releaseGrant(hold, true)
}

// ChoiceAttrs implements entry.Explainer.
func (sl *slot) ChoiceAttrs() []slog.Attr {
	return append([]slog.Attr{
		slog.String("Zone", sl.target.Zone),
		slog.Int("InUse", sl.inUse),
		slog.Int("Sound", sl.targetCounts.Healthy),
		slog.Int("Doubtful", sl.targetCounts.OnProbation),
		slog.Int("Out", sl.targetCounts.Unavailable),
		slog.Int("Lost", sl.targetCounts.Lost),
		slog.Duration("Patience", sl.responseTimeout),
	}, sl.grantAttrs()...)
}

// Target implements entry.Slot.
func (sl *slot) Target() document.Target { return sl.target }

// OverdueAfter implements entry.Slot.
func (sl *slot) OverdueAfter() time.Duration { return sl.overdueAfter }

// recordOverdue records that the response is overdue, so that the target gets no further
// requests for a while, and the other instances are told, unless the instance's own links
// are the cause. The request itself goes on.
func (sl *slot) recordOverdue() {
	sl.gateway.holdFailure(sl.began, attemptReport{
		service: sl.service,
		target:  sl.target.Name,
		outcome: target.TimedOut,
	})
}

// effectiveOutcome returns the outcome that counts for the target. If another target
// answered at the address, this one counts as unreachable. A request that was withheld says
// nothing about it.
func (sl *slot) effectiveOutcome(e entry.AttemptResult) target.Outcome {
	if sl.withheld.Load() {
		return target.Cancelled
	}
	if e.Misdirected {
		return target.Refused
	}
	return outlier.EffectiveOutcome(e.Outcome, e.Latency, sl.responseTimeout)
}

// MaySend implements entry.Slot.
func (sl *slot) MaySend() bool {
	st := sl.gateway.state
	st.mu.Lock()
	defer st.mu.Unlock()
	now := boot.Now()
	s := st.services[sl.service]
	if s == nil {
		return false
	}
	sl.withheld.Store(st.isEvacuated(sl.target.Zone) || !st.usePermit(now, sl))
	sl.unsent.Store(sl.withheld.Load() || !s.table.MaySend(now, sl.target.Name))
	return !sl.unsent.Load()
}

// Release implements entry.Slot.
func (sl *slot) Release(e entry.AttemptResult) {
	sl.timer.Stop()
	g := sl.gateway
	g.recordLimit(sl.target.Name, e.Limit)
	if e.Rest > 0 {
		sl.recordRest(e.Rest)
	}
	if e.Draining {
		g.recordLeaving(leavingReport{
			Target:      sl.target.Name,
			Incarnation: sl.incarnation,
		})
	}
	report := attemptReport{
		began:   sl.began,
		service: sl.service,
		target:  sl.target.Name,
		outcome: sl.effectiveOutcome(e),
		reused:  e.Reused,
		rested:  e.Rested,
		permit:  sl.permit,
		unsent:  sl.unsent.Load(),

		incarnation: sl.incarnation,
	}
	g.recordReached(report)
	held := e.LostConnection && report.outcome != target.Cancelled
	notify := sl.recordEnd(e, report.outcome, held)
	sl.releaseGrant(0, e.Outcome != target.Succeeded && e.Outcome != target.Failed)
	if e.Outcome == target.Crashed || e.Outcome == target.Disconnected {
		g.count("Target.Died." + connectionKind(e.Reused))
	}
	if held {
		g.holdFailure(sl.began, report)
	} else if notify || report.outcome == target.Refused {
		g.reportOutcome(report, notify)
	}
}

// recordEnd records the end of the attempt in the service's table. held says that it isn't known yet
// whether a failure counts for the target. It reports whether the other instances should be told of
// the outcome.
func (sl *slot) recordEnd(e entry.AttemptResult, outcome target.Outcome, held bool) bool {
	st := sl.gateway.state
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.services[sl.service]
	if s == nil {
		return false
	}
	if sl.pending != nil {
		s.inFlight.remove(sl)
		s.table.End(sl.pending, ending(e, st.links.State(sl.service)))
	}
	now := boot.Now()
	if held {
		s.table.Done(now, sl.target.Name, target.Cancelled)
		return false
	}
	notify := s.table.Done(now, sl.target.Name, outcome)
	if outcome != target.Succeeded {
		return notify
	}
	s.latencies.Add(sl.route, e.Latency)
	return s.table.LaterSuccess(now, sl.target.Name, sl.began) || notify
}

// ending returns what the end of an attempt says about whether its target answers, given
// the state of the links to its service.
func ending(e entry.AttemptResult, links link.State) outlier.Ending {
	switch {
	case e.Outcome == target.Refused, e.LostConnection && links != link.Reachable:
		return outlier.Withdrawn
	case e.Outcome == target.TimedOut, e.Outcome == target.Cancelled:
		return outlier.GivenUp
	default:
		return outlier.Answered
	}
}

// recordRest records that the target wants no requests from this instance for a time.
func (sl *slot) recordRest(rest time.Duration) {
	g := sl.gateway
	g.state.withLock(func() {
		if s := g.state.services[sl.service]; s != nil {
			s.table.Rest(boot.Now()+rest, sl.target.Name)
		}
	})
	g.count("Target.Rested")
	g.logger.Info("target asks for rest",
		slog.String("Service", sl.service),
		slog.String("Target", sl.target.Name),
		slog.Duration("Rest", rest))
}

// connectionKind names a new or a reused connection in counters.
func connectionKind(reused bool) string {
	if reused {
		return "reused"
	}
	return "new"
}

// attemptReport is what an attempt says about its target and its request.
type attemptReport struct {
	// began is when the attempt began.
	began   time.Duration
	service string
	target  string
	outcome target.Outcome
	// reused and rested are as in entry.AttemptResult.
	reused bool
	rested time.Duration
	// unsent is as in slot.
	unsent bool
	// incarnation is that of the target when it was chosen.
	incarnation int64
	// permit is that of the request; nil if its strike isn't to be recorded.
	permit *permit
}

// strike returns the strike that the attempt is if its target has crashed, and false if it
// can be none.
func (r attemptReport) strike() (quarantine.OwnStrike, bool) {
	if r.permit == nil || r.outcome != target.Crashed && r.outcome != target.Disconnected {
		return quarantine.OwnStrike{}, false
	}
	return quarantine.OwnStrike{
		TallyStrike: quarantine.TallyStrike{
			Target:      r.target,
			Incarnation: r.incarnation,
			Kept:        r.outcome == target.Disconnected,
			Own:         true,
		},
		Fingerprint: r.permit.fingerprint,
		RequestID:   r.permit.requestID,
		At:          boot.Now(),
	}, true
}

// reportOutcome reports an attempt that counts for its target: the outcome if notify is
// set, and the strike if its connection died under the request.
func (g *Gateway) reportOutcome(r attemptReport, notify bool) {
	g.recordUnreached(r, notify)
	m := failureReport{
		Target:  r.target,
		Outcome: r.outcome,
	}
	if r.outcome == target.Crashed || r.outcome == target.Succeeded {
		m.Age = max(boot.Now()-r.began, time.Millisecond)
	}
	if s, ok := r.strike(); ok {
		g.recordStrike(s, false)
		m.Suspect = s.Fingerprint
		m.Incarnation = s.Incarnation
	}
	if notify {
		m.Service = r.service
		g.logger.Info("target seen",
			slog.String("Service", r.service),
			slog.String("Target", r.target),
			slog.String("Outcome", r.outcome.String()),
			slog.Bool("Reused", r.reused),
			slog.Duration("Rested", r.rested))
		g.count("Target.Told." + r.outcome.String())
	}
	if notify || m.Suspect != (quarantine.Fingerprint{}) {
		g.sendToFleet(m)
	}
}

// sendToFleet sends a report to all instances: directly to those of the own zone, and to
// one of each other zone, which forwards it.
func (g *Gateway) sendToFleet(m fleetReport) {
	g.sendToZone(m.forwarded(false))
	// The text "news" ranks the instances that forward reports to their zone. It is
	// hashed, so it must be the same on all instances.
	var forwarders []instance.Address
	g.state.withLock(func() {
		forwarders = g.state.roster.RemoteKeepers("news", m.subject(), g.state.unresponsive)
	})
	for _, a := range forwarders {
		g.send(a, m.forwarded(true))
	}
}

// forwardToZone passes a report of another instance on to the other instances of the zone.
func (g *Gateway) forwardToZone(from instance.Address, m fleetReport) {
	var peers []instance.Address
	g.state.withLock(func() { peers = g.state.zonePeers(from) })
	for _, a := range peers {
		g.send(a, m.forwarded(false))
	}
}

// sendReports, which is called every tick, reports this instance's load at targets, and
// the retries that it has granted lately, to its zone if reports are due. Without load it
// sends an empty load report every maxLoadReportPeriod, so that the others know that the
// instance is reachable.
func (g *Gateway) sendReports(now time.Duration) {
	var loads []targetLoad
	var retries []meter.Totals
	st := g.state
	due := false
	st.withLock(func() {
		if now < st.nextLoadReportAt {
			return
		}
		// Half a tick early, so that jitter of the ticker does not delay the report by a
		// tick.
		st.nextLoadReportAt = now + st.loadReportPeriod() - tickPeriod/2
		for name, s := range st.services {
			for _, l := range s.table.Loads() {
				loads = append(loads, targetLoad{
					Service: name,
					Load:    l,
				})
			}
		}
		retries = st.budgets.Changed(now, loadReportLifetimePeriods*st.loadReportPeriod())
		if due = len(loads) > 0 || now >= st.lastLoadReportAt+maxLoadReportPeriod; due {
			st.lastLoadReportAt = now
		}
	})
	if len(retries) > 0 {
		g.sendToZone(retryReport{
			Totals: retries,
			Age:    now - st.startedAt,
		})
	}
	if !due {
		return
	}
	for _, m := range splitLoads(loads, now-st.startedAt) {
		g.sendToZone(m)
	}
}

// loadReportPeriod returns the time between two load reports: 100 ms for up to a dozen
// instances in a zone, more in larger zones. The caller must hold mu.
func (st *localState) loadReportPeriod() time.Duration {
	return max(tickPeriod, time.Duration(len(st.roster.ZoneMembers()))*loadReportPeriodPerMember)
}

// handleLoadReport records the load that another instance of the zone reported.
func (g *Gateway) handleLoadReport(from instance.Address, m loadReport) {
	now := boot.Now()
	st := g.state
	var out []outgoing
	st.withLock(func() {
		waiting := map[*service]struct{}{}
		st.ages.Report(now, from, m.Age)
		lifetime := loadReportLifetimePeriods * st.loadReportPeriod()
		for _, load := range m.Loads {
			if s := st.services[load.Service]; s != nil {
				s.table.ReceiveLoad(now, string(from), load.Load, lifetime)
				if s.isBusy() {
					waiting[s] = struct{}{}
				}
			}
		}
		for s := range waiting {
			out = append(out, st.serveWaiting(now, s)...)
		}
	})
	g.post(out...)
}

// handleRetryReport counts the retries that another instance of the zone has granted.
func (g *Gateway) handleRetryReport(from instance.Address, m retryReport) {
	now := boot.Now()
	keeper := meter.Keeper{
		Address:   string(from),
		StartedAt: now - m.Age,
	}
	g.state.withLock(func() {
		for _, t := range m.Totals {
			g.state.budgets.Receive(now, keeper, t)
		}
	})
}

// sendToZone sends a message to all other instances of the zone.
func (g *Gateway) sendToZone(m message) {
	var peers []instance.Address
	g.state.withLock(func() { peers = g.state.zonePeers("") })
	for _, a := range peers {
		g.send(a, m)
	}
}

// zonePeers returns the addresses of the zone's other instances, leaving out except. The
// caller must hold mu.
func (st *localState) zonePeers(except instance.Address) []instance.Address {
	var peers []instance.Address
	for _, m := range st.roster.ZoneMembers() {
		if m.Address != st.gateway.self.Address && m.Address != except {
			peers = append(peers, m.Address)
		}
	}
	return peers
}

// handleFailureReport records a failure that another instance reported, and forwards it
// to the zone if asked to.
func (g *Gateway) handleFailureReport(from instance.Address, m failureReport) {
	now := boot.Now()
	ejected := false
	g.state.withLock(func() {
		s := g.state.services[m.Service]
		if s == nil {
			return
		}
		if !m.Unresponsive {
			s.table.ReceiveOutcome(now, m.Target, m.Outcome)
			g.state.receiveContact(now, m)
		}
		switch {
		case m.Age == 0:
		case m.Outcome == target.Crashed:
			s.table.FailureBegan(now, m.Target, now-m.Age)
		case m.Outcome == target.Succeeded:
			s.table.LaterSuccess(now, m.Target, now-m.Age-reportTimeError)
		}
		ejected = s.table.Ejected(now, m.Target)
	})
	if m.Unresponsive {
		g.handleUnresponsive(now, m)
	}
	if m.Suspect != (quarantine.Fingerprint{}) {
		g.handleSuspect(m)
	}
	g.count("Target.Heard")
	g.logger.Debug("failure report received",
		slog.String("From", string(from)),
		slog.String("Target", m.Target),
		slog.String("Outcome", m.Outcome.String()),
		slog.Bool("Out", ejected))
	if m.Forward {
		g.forwardToZone(from, m)
	}
}
