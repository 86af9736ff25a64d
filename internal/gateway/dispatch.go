package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

// Terms of placing requests.
const (
	// loadReportPeriodPerMember bounds what an instance sends and hears of loads to
	// 125 reports a second, however large its zone.
	loadReportPeriodPerMember = 8 * time.Millisecond
	// loadReportLifetimePeriods is for how many periods a report counts: one may be lost.
	loadReportLifetimePeriods = 3
	// maxLoadReportPeriod is the longest time between two reports.
	maxLoadReportPeriod = 300 * time.Millisecond
	// noTargetRetryAfter is when callers of a service without targets come back.
	noTargetRetryAfter = time.Second
)

// service is what the instance holds of one service. The belief's lock guards it.
type service struct {
	name      string
	table     *outlier.Table
	latencies *outlier.Latencies
	// newRequests are the requests newRequests since the last ask for a retry.
	newRequests   int
	countingSince time.Duration
}

// dispatcher implements entry.Dispatcher.
type dispatcher struct{ gateway *Gateway }

// Acquire implements entry.Dispatcher.
func (d dispatcher) Acquire(ctx context.Context, request entry.SlotRequest) (entry.Slot, error) {
	g := d.gateway
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	now := boot.Now()
	s := st.services[request.Service]
	var chosen document.Target
	ok := false
	if s != nil {
		chosen, ok = s.table.Choose(now, outlier.Request{
			Repeatable: request.Repeatable,
			Avoid:      request.TriedTargets,
		})
	}
	if !ok {
		g.logger.Warn("service without targets",
			slog.String("Request", entry.RequestID(ctx)),
			slog.String("Service", request.Service))
		return nil, &entry.Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "no-target",
			RetryAfter: noTargetRetryAfter,
		}
	}
	if len(request.TriedTargets) == 0 {
		s.countRequest(now, g.settings.RetryWindow)
	}
	responseTimeout := s.latencies.ResponseTimeout(request.Route.Name, request.Route.Objective)
	acquired := &slot{
		gateway:         g,
		service:         request.Service,
		route:           request.Route.Name,
		target:          chosen,
		responseTimeout: responseTimeout,
		targetCounts:    s.table.Counts(now),
		inUse:           s.table.InUse(now, chosen.Name),
	}
	acquired.timer = time.AfterFunc(responseTimeout, acquired.reportOverdue)
	return acquired, nil
}

// countRequest counts a request for the retry budget, as long as it counts there.
func (s *service) countRequest(now, window time.Duration) {
	if now-s.countingSince > window {
		s.newRequests = 0
		s.countingSince = now
	}
	s.newRequests++
}

// Retry implements entry.Dispatcher. An attempt that reached no target costs
// nothing.
func (d dispatcher) Retry(ctx context.Context, name string, failed retry.Attempt) bool {
	if failed.Outcome == target.Refused {
		return true
	}
	g := d.gateway
	newRequests := 0
	g.state.withLock(func() {
		if s := g.state.services[name]; s != nil {
			newRequests, s.newRequests, s.countingSince = s.newRequests, 0, boot.Now()
		}
	})
	granted := g.requestDecision(ctx, retryBudget, name, newRequests).Granted
	g.logger.Info("retry asked for",
		slog.String("Request", entry.RequestID(ctx)),
		slog.String("Service", name),
		slog.String("Outcome", failed.Outcome.String()),
		slog.Int("Attempt", failed.Number),
		slog.Int("Begun", newRequests),
		slog.Bool("Granted", granted))
	if !granted {
		g.count("Retry.Unpaid")
	}
	return granted
}

// slot implements entry.Slot.
type slot struct {
	gateway         *Gateway
	service         string
	route           string
	target          document.Target
	responseTimeout time.Duration
	timer           *time.Timer
	// targetCounts is how the service's targets stood at the choice.
	targetCounts outlier.Counts
	// inUse is what ran at the target then, this request included.
	inUse int
}

// ChoiceAttrs implements entry.Explainer.
func (s *slot) ChoiceAttrs() []slog.Attr {
	return []slog.Attr{
		slog.String("Zone", s.target.Zone),
		slog.Int("InUse", s.inUse),
		slog.Int("Sound", s.targetCounts.Healthy),
		slog.Int("Doubtful", s.targetCounts.OnProbation),
		slog.Int("Out", s.targetCounts.Unavailable),
		slog.Duration("Patience", s.responseTimeout),
	}
}

// Target implements entry.Slot.
func (s *slot) Target() document.Target { return s.target }

// OverdueAfter implements entry.Slot.
func (s *slot) OverdueAfter() time.Duration { return s.responseTimeout }

// reportOverdue takes a target whose answer is overdue out of use, while the request
// goes on there.
func (p *slot) reportOverdue() {
	g := p.gateway
	notify := false
	g.state.withLock(func() {
		if s := g.state.services[p.service]; s != nil {
			notify = s.table.Overdue(boot.Now(), p.target.Name)
		}
	})
	if notify {
		g.reportOutcome(p.service, p.target.Name, target.TimedOut)
	}
}

// effectiveOutcome is how the attempt counts for the target. Another target at the address
// means that this one isn't there.
func (s *slot) effectiveOutcome(e entry.AttemptResult) target.Outcome {
	if e.Misdirected {
		return target.Refused
	}
	return outlier.EffectiveOutcome(e.Outcome, e.Latency, s.responseTimeout)
}

// Release implements entry.Slot.
func (p *slot) Release(e entry.AttemptResult) {
	p.timer.Stop()
	g := p.gateway
	news := false
	outcome := p.effectiveOutcome(e)
	g.state.withLock(func() {
		s := g.state.services[p.service]
		if s == nil {
			return
		}
		news = s.table.Done(boot.Now(), p.target.Name, outcome)
		if outcome == target.Succeeded {
			s.latencies.Add(p.route, e.Latency)
		}
	})
	if news {
		g.reportOutcome(p.service, p.target.Name, outcome)
	}
}

// reportOutcome tells all instances of what a target did: those of the own zone directly, and one
// of each other zone, which passes it on.
func (g *Gateway) reportOutcome(service, targetName string, outcome target.Outcome) {
	m := failureReport{
		Service: service,
		Target:  targetName,
		Outcome: outcome,
	}
	g.logger.Info("target seen",
		slog.String("Service", service),
		slog.String("Target", targetName),
		slog.String("Outcome", outcome.String()))
	g.count("Target.Told." + outcome.String())
	g.sendToZone(m)
	var remoteKeepers []instance.Address
	g.state.withLock(func() {
		remoteKeepers = g.state.roster.RemoteKeepers("news", targetName, g.state.unresponsive)
	})
	m.Forward = true
	for _, a := range remoteKeepers {
		g.send(a, m)
	}
}

// sendLoadReport tells the zone, once a period, what this instance has running at
// targets, and now and then that it has nothing running, so that the others know
// that they hear it.
func (g *Gateway) sendLoadReport(now time.Duration) {
	var loads []targetLoad
	st := g.state
	due := false
	st.withLock(func() {
		if now < st.nextLoadReportAt {
			return
		}
		st.nextLoadReportAt = now + st.loadReportPeriod() - tickPeriod/2
		for name, s := range st.services {
			for _, l := range s.table.Loads() {
				loads = append(loads, targetLoad{
					Service: name,
					Load:    l,
				})
			}
		}
		if due = len(loads) > 0 || now >= st.lastLoadReportAt+maxLoadReportPeriod; due {
			st.lastLoadReportAt = now
		}
	})
	if !due {
		return
	}
	for _, m := range splitLoads(loads) {
		g.sendToZone(m)
	}
}

// loadReportPeriod is the time between two reports of loads: a tenth of a second for a
// dozen instances in a zone, more where more instances tell each other.
func (st *localState) loadReportPeriod() time.Duration {
	return max(tickPeriod, time.Duration(len(st.roster.ZoneMembers()))*loadReportPeriodPerMember)
}

// handleLoadReport takes in what another instance of the zone has running.
func (g *Gateway) handleLoadReport(from instance.Address, m loadReport) {
	now := boot.Now()
	st := g.state
	st.withLock(func() {
		lifetime := loadReportLifetimePeriods * st.loadReportPeriod()
		for _, load := range m.Loads {
			if s := st.services[load.Service]; s != nil {
				s.table.ReceiveLoad(now, string(from), load.Load, lifetime)
			}
		}
	})
}

// sendToZone tells all other instances of the zone.
func (g *Gateway) sendToZone(m message) {
	var peers []instance.Address
	g.state.withLock(func() { peers = g.state.zonePeers("") })
	for _, a := range peers {
		g.send(a, m)
	}
}

// zonePeers are the other instances of the zone but one. The lock is held.
func (st *localState) zonePeers(except instance.Address) []instance.Address {
	var peers []instance.Address
	for _, m := range st.roster.ZoneMembers() {
		if m.Address != st.gateway.self.Address && m.Address != except {
			peers = append(peers, m.Address)
		}
	}
	return peers
}

// handleFailureReport takes in another instance's failure.
func (g *Gateway) handleFailureReport(from instance.Address, m failureReport) {
	now := boot.Now()
	var peers []instance.Address
	ejected := false
	g.state.withLock(func() {
		if s := g.state.services[m.Service]; s != nil {
			s.table.ReceiveOutcome(now, m.Target, m.Outcome)
			ejected = s.table.Ejected(now, m.Target)
		}
		if m.Suspect != (quarantine.Fingerprint{}) {
			g.state.strikes.Strike(now, m.Suspect, m.Target)
		}
		if m.Forward {
			peers = g.state.zonePeers(from)
		}
	})
	g.count("Target.Heard")
	g.logger.Debug("failure heard",
		slog.String("From", string(from)),
		slog.String("Target", m.Target),
		slog.String("Outcome", m.Outcome.String()),
		slog.Bool("Out", ejected))
	m.Forward = false
	for _, a := range peers {
		g.send(a, m)
	}
}
