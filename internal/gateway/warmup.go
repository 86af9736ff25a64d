package gateway

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/link"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/target"
	"dandelionmux/pkg/warmup"
)

// unreachedReportPeriod is the least time between two reports to all instances that a target
// could not be reached, by whichever instance, unless they are told of the failure anyway.
const unreachedReportPeriod = time.Second

// warmUpPolicy returns the warm-up limit of a service. The caller must hold mu.
func (st *localState) warmUpPolicy(service string) warmup.Policy {
	if st.index == nil {
		return warmup.Policy{}
	}
	s, ok := st.index.Service(service)
	if !ok {
		return warmup.Policy{}
	}
	return warmup.Policy{
		Duration:  s.WarmUp,
		PerSecond: s.WarmUpPerSecond,
		Overage:   st.gateway.settings.WarmUpOverage,
		Slack:     st.gateway.settings.WarmUpSlack,
	}
}

// setWarmUp gives a slot the warm-up limit of its target if that is cold. The caller must hold
// mu.
func (st *localState) setWarmUp(now time.Duration, sl *slot) {
	if p := st.warmUpPolicy(sl.service); st.warmUps.Cold(now, sl.target.Name, p) {
		sl.warmUp = p
	}
}

// requestPermit returns the decision of the keeper of a slot's target, which names a limit, is
// cold, or both, whether the target may get a request now.
func (g *Gateway) requestPermit(ctx context.Context, sl *slot, limit meter.TargetLimit) meter.Decision {
	if !sl.warmUp.Limits() {
		return g.requestAllowance(ctx, sl.target.Name, limit)
	}
	askedAt := boot.Now()
	decision := g.askTargetKeeper(ctx, coldRequest(sl.target.Name, sl.warmUp, limit))
	if decision.Granted {
		g.count("WarmUp.Granted")
		g.state.withLock(func() { sl.permittedUntil = askedAt + warmup.PermitTerm })
	}
	return decision
}

// coldRequest returns the decision request for a request to a cold target. A keeper of an
// earlier build takes it for one about a limit that the target names.
func coldRequest(name string, p warmup.Policy, limit meter.TargetLimit) decisionRequest {
	named := limit.Kind == meter.Limited && limit.PerSecond <= p.PerSecond
	if !named {
		limit.PerSecond = p.PerSecond
	}
	return decisionRequest{
		Kind:    targetLimit,
		Name:    name,
		Amount:  wireLimit(limit),
		Cold:    true,
		Limited: named,
	}
}

// takePermit decides as the keeper of a target that names a limit, is cold, or both. The sender
// may know less of it than this instance, or more. The caller must hold mu.
func (st *localState) takePermit(now time.Duration, r decisionRequest) meter.Decision {
	limit := st.targetLimits.Limit(r.Name)
	if !r.Cold || r.Limited {
		limit = targetLimitOf(r.Amount)
	}
	decision := meter.Decision{
		Granted: true,
	}
	if limit.Kind == meter.Limited {
		decision = st.targetLimits.Take(now, r.Name, limit)
	}
	p := st.warmUpPolicy(st.targets.Service(r.Name))
	if !decision.Granted || !r.Cold && !st.warmUps.Cold(now, r.Name, p) {
		return decision
	}
	if !p.Limits() {
		// The sender has another configuration. Without overage the bound is tighter than its.
		p.PerSecond = max(targetLimitOf(r.Amount).PerSecond, meter.MinTargetRate)
		p.Overage = 1
	}
	return st.warmUps.Take(now, r.Name, p)
}

// usePermit reports whether the request of a slot may be sent although its target may be cold. A
// permit is used once. The caller must hold mu.
func (st *localState) usePermit(now time.Duration, sl *slot) bool {
	if !st.warmUps.Cold(now, sl.target.Name, st.warmUpPolicy(sl.service)) {
		return true
	}
	permitted := now < sl.permittedUntil
	sl.permittedUntil = 0
	if !permitted {
		st.gateway.count("WarmUp.Withheld")
	}
	return permitted
}

// isUnreached reports whether the outcome shows that a target could not be reached, or that a
// connection to it broke.
func isUnreached(o target.Outcome) bool {
	return o == target.Refused || o == target.Crashed || o == target.Disconnected
}

// recordUnreached records that an attempt did not reach its target, which may come back cold, and
// tells all instances. told says that they are told of the failure anyway. In a service without a
// warm-up limit nothing is done.
func (g *Gateway) recordUnreached(r attemptReport, told bool) {
	if !isUnreached(r.outcome) || r.unsent {
		return
	}
	due := false
	g.state.withLock(func() {
		now := boot.Now()
		s := g.state.services[r.service]
		if s == nil || !g.state.warmUpPolicy(r.service).Limits() {
			return
		}
		s.confirmUnreached(r.target)
		g.state.setUnreached(now, r.service, r.target, r.outcome)
		due = !told && now >= s.unreachedReportAt[r.target]
		if due || told {
			s.unreachedReportAt[r.target] = now + unreachedReportPeriod
		}
	})
	if due {
		g.sendToFleet(failureReport{
			Service: r.service,
			Target:  r.target,
			Outcome: target.Refused,
		})
	}
}

// recordSuspect records a failure that doesn't count against its target. Unless another instance has
// reached the target since, it may have come back cold all the same: an instance that reaches no
// target can't tell whether its links were lost or all targets were down. The others aren't told,
// because the cause may be here.
func (g *Gateway) recordSuspect(f link.Failure[attemptReport]) {
	r := f.Report
	if f.Excuse == link.ReachedByOthers || f.Excuse == link.TargetRemoved || r.unsent || !isUnreached(r.outcome) {
		return
	}
	g.state.withLock(func() { g.state.setUnreached(boot.Now(), r.service, r.target, r.outcome) })
}

// suspectTargets records that most targets of a service can't be connected to: unless another instance
// reaches any, they may all be down and come back cold. The caller must hold mu.
func (st *localState) suspectTargets(now time.Duration, service string) {
	s := st.services[service]
	p := st.warmUpPolicy(service)
	if s == nil || !p.Limits() {
		return
	}
	s.suspected = nil
	for _, a := range s.table.Availabilities(now) {
		if !st.links.Connected(service, a.Name) && st.setUnreached(now, service, a.Name, target.Refused) {
			s.suspected = append(s.suspected, a.Name)
		}
	}
}

// confirmUnreached keeps withdrawSuspects from a target that could not be reached for another reason.
func (s *service) confirmUnreached(name string) {
	s.suspected = slices.DeleteFunc(s.suspected, func(suspected string) bool { return suspected == name })
}

// withdrawSuspects ends what suspectTargets has recorded, because another instance reaches the service.
// The caller must hold mu.
func (st *localState) withdrawSuspects(s *service) {
	for _, name := range s.suspected {
		st.warmUps.Withdraw(name)
	}
	s.suspected = nil
}

// setUnreached records that a target could not be reached, by this instance or another one, and
// reports whether it counts as cold since. The caller must hold mu.
func (st *localState) setUnreached(now time.Duration, service, name string, outcome target.Outcome) bool {
	p := st.warmUpPolicy(service)
	if !p.Limits() || !st.targets.Has(name) || !st.warmUps.Unreached(now, name, p) {
		return false
	}
	st.gateway.count("WarmUp.Unreached")
	st.gateway.logger.Info("target counts as cold, it could not be reached",
		slog.String("Service", service),
		slog.String("Target", name),
		slog.String("Outcome", outcome.String()),
		slog.Float64("PerSecond", p.PerSecond))
	return true
}

// recordReached records that an attempt was answered, and tells all instances if its target was
// reached again by that.
func (g *Gateway) recordReached(r attemptReport) {
	if r.outcome != target.Succeeded {
		return
	}
	news := false
	now := boot.Now()
	g.state.withLock(func() { news = g.state.warmUps.Reached(now, r.target, r.began) })
	if !news {
		return
	}
	g.logger.Info("target reached again",
		slog.String("Service", r.service),
		slog.String("Target", r.target))
	g.sendToFleet(failureReport{
		Service: r.service,
		Target:  r.target,
		Outcome: target.Succeeded,
		Age:     max(now-r.began, time.Millisecond),
	})
}

// receiveContact records what another instance has reported of reaching a target of a service
// that this one knows. The caller must hold mu.
func (st *localState) receiveContact(now time.Duration, m failureReport) {
	switch {
	case isUnreached(m.Outcome):
		st.services[m.Service].confirmUnreached(m.Target)
		if st.warmUpPolicy(m.Service).Limits() {
			st.services[m.Service].unreachedReportAt[m.Target] = now + unreachedReportPeriod
		}
		st.setUnreached(now, m.Service, m.Target, m.Outcome)
	case m.Outcome == target.Succeeded && m.Age > 0:
		st.warmUps.Reached(now, m.Target, now-m.Age-reportTimeError)
	}
}
