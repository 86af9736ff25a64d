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
	// loadPeriodPerMember bounds what an instance sends and hears of loads to
	// 125 reports a second, however large its zone.
	loadPeriodPerMember = 8 * time.Millisecond
	// loadTerms is for how many periods a report counts: one may be lost.
	loadTerms = 3
	// quietPeriod is the longest time between two reports.
	quietPeriod = 300 * time.Millisecond
	// noTargetRetry is when callers of a service without targets come back.
	noTargetRetry = time.Second
)

// service is what the instance holds of one service. The belief's lock guards it.
type service struct {
	name      string
	table     *outlier.Table
	latencies *outlier.Latencies
	// begun are the requests begun since the last ask for a retry.
	begun int
	since time.Duration
}

// dispatch implements entry.Dispatcher.
type dispatch struct{ gateway *Gateway }

// Acquire implements entry.Dispatcher.
func (d dispatch) Acquire(ctx context.Context, want entry.SlotRequest) (entry.Slot, error) {
	g := d.gateway
	b := g.belief
	b.mu.Lock()
	defer b.mu.Unlock()
	now := boot.Now()
	s := b.services[want.Service]
	var chosen document.Target
	ok := false
	if s != nil {
		chosen, ok = s.table.Choose(now, outlier.Request{
			Repeatable: want.Repeatable,
			Avoid:      want.TriedTargets,
		})
	}
	if !ok {
		g.logger.Warn("service without targets",
			slog.String("Request", entry.RequestID(ctx)),
			slog.String("Service", want.Service))
		return nil, &entry.Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "no-target",
			RetryAfter: noTargetRetry,
		}
	}
	if len(want.TriedTargets) == 0 {
		s.begin(now, g.settings.RetryWindow)
	}
	patience := s.latencies.ResponseTimeout(want.Route.Name, want.Route.Objective)
	p := &place{
		gateway:  g,
		service:  want.Service,
		route:    want.Route.Name,
		target:   chosen,
		patience: patience,
		counts:   s.table.Counts(now),
		inUse:    s.table.InUse(now, chosen.Name),
	}
	p.timer = time.AfterFunc(patience, p.suspect)
	return p, nil
}

// begin counts a request for the retry budget, as long as it counts there.
func (s *service) begin(now, window time.Duration) {
	if now-s.since > window {
		s.begun = 0
		s.since = now
	}
	s.begun++
}

// Retry implements entry.Dispatcher. An attempt that reached no target costs
// nothing.
func (d dispatch) Retry(ctx context.Context, name string, failed retry.Attempt) bool {
	if failed.Outcome == target.Refused {
		return true
	}
	g := d.gateway
	begun := 0
	g.belief.look(func() {
		if s := g.belief.services[name]; s != nil {
			begun, s.begun, s.since = s.begun, 0, boot.Now()
		}
	})
	granted := g.ask(ctx, budget, name, begun).Granted
	g.logger.Info("retry asked for",
		slog.String("Request", entry.RequestID(ctx)),
		slog.String("Service", name),
		slog.String("Outcome", failed.Outcome.String()),
		slog.Int("Attempt", failed.Number),
		slog.Int("Begun", begun),
		slog.Bool("Granted", granted))
	if !granted {
		g.count("Retry.Unpaid")
	}
	return granted
}

// place implements entry.Slot.
type place struct {
	gateway  *Gateway
	service  string
	route    string
	target   document.Target
	patience time.Duration
	timer    *time.Timer
	// counts is how the service's targets stood at the choice.
	counts outlier.Counts
	// inUse is what ran at the target then, this request included.
	inUse int
}

// ChoiceAttrs implements entry.Explainer.
func (p *place) ChoiceAttrs() []slog.Attr {
	return []slog.Attr{
		slog.String("Zone", p.target.Zone),
		slog.Int("InUse", p.inUse),
		slog.Int("Sound", p.counts.Healthy),
		slog.Int("Doubtful", p.counts.OnProbation),
		slog.Int("Out", p.counts.Unavailable),
		slog.Duration("Patience", p.patience),
	}
}

// Target implements entry.Slot.
func (p *place) Target() document.Target { return p.target }

// OverdueAfter implements entry.Slot.
func (p *place) OverdueAfter() time.Duration { return p.patience }

// suspect takes a target whose answer is overdue out of use, while the request
// goes on there.
func (p *place) suspect() {
	g := p.gateway
	news := false
	g.belief.look(func() {
		if s := g.belief.services[p.service]; s != nil {
			news = s.table.Overdue(boot.Now(), p.target.Name)
		}
	})
	if news {
		g.tell(p.service, p.target.Name, target.TimedOut)
	}
}

// outcome is how the attempt counts for the target. Another target at the address
// means that this one isn't there.
func (p *place) outcome(e entry.AttemptResult) target.Outcome {
	if e.Misdirected {
		return target.Refused
	}
	return outlier.EffectiveOutcome(e.Outcome, e.Latency, p.patience)
}

// Release implements entry.Slot.
func (p *place) Release(e entry.AttemptResult) {
	p.timer.Stop()
	g := p.gateway
	news := false
	outcome := p.outcome(e)
	g.belief.look(func() {
		s := g.belief.services[p.service]
		if s == nil {
			return
		}
		news = s.table.Done(boot.Now(), p.target.Name, outcome)
		if outcome == target.Succeeded {
			s.latencies.Add(p.route, e.Latency)
		}
	})
	if news {
		g.tell(p.service, p.target.Name, outcome)
	}
}

// tell tells all instances of what a target did: those of the own zone directly, and one
// of each other zone, which passes it on.
func (g *Gateway) tell(service, name string, outcome target.Outcome) {
	m := failure{
		Service: service,
		Target:  name,
		Outcome: outcome,
	}
	g.logger.Info("target seen",
		slog.String("Service", service),
		slog.String("Target", name),
		slog.String("Outcome", outcome.String()))
	g.count("Target.Told." + outcome.String())
	g.tellZone(m)
	var far []instance.Address
	g.belief.look(func() {
		far = g.belief.roster.RemoteKeepers("news", name, g.belief.quiet)
	})
	m.Pass = true
	for _, a := range far {
		g.send(a, m)
	}
}

// tellLoads tells the zone, once a period, what this instance has running at
// targets, and now and then that it has nothing running, so that the others know
// that they hear it.
func (g *Gateway) tellLoads(now time.Duration) {
	var list []load
	b := g.belief
	due := false
	b.look(func() {
		if now < b.loadsDue {
			return
		}
		b.loadsDue = now + b.loadPeriod() - tickPeriod/2
		for name, s := range b.services {
			for _, l := range s.table.Loads() {
				list = append(list, load{
					Service: name,
					Load:    l,
				})
			}
		}
		if due = len(list) > 0 || now >= b.toldLoads+quietPeriod; due {
			b.toldLoads = now
		}
	})
	if !due {
		return
	}
	for _, m := range split(list) {
		g.tellZone(m)
	}
}

// loadPeriod is the time between two reports of loads: a tenth of a second for a
// dozen instances in a zone, more where more instances tell each other.
func (b *belief) loadPeriod() time.Duration {
	return max(tickPeriod, time.Duration(len(b.roster.ZoneMembers()))*loadPeriodPerMember)
}

// hearLoads takes in what another instance of the zone has running.
func (g *Gateway) hearLoads(from instance.Address, m loads) {
	now := boot.Now()
	b := g.belief
	b.look(func() {
		term := loadTerms * b.loadPeriod()
		for _, l := range m.List {
			if s := b.services[l.Service]; s != nil {
				s.table.ReceiveLoad(now, string(from), l.Load, term)
			}
		}
	})
}

// tellZone tells all other instances of the zone.
func (g *Gateway) tellZone(m message) {
	var mates []instance.Address
	g.belief.look(func() { mates = g.belief.zoneMates("") })
	for _, a := range mates {
		g.send(a, m)
	}
}

// zoneMates are the other instances of the zone but one. The lock is held.
func (b *belief) zoneMates(but instance.Address) []instance.Address {
	var list []instance.Address
	for _, m := range b.roster.ZoneMembers() {
		if m.Address != b.gateway.self.Address && m.Address != but {
			list = append(list, m.Address)
		}
	}
	return list
}

// hear takes in another instance's failure.
func (g *Gateway) hear(from instance.Address, m failure) {
	now := boot.Now()
	var mates []instance.Address
	out := false
	g.belief.look(func() {
		if s := g.belief.services[m.Service]; s != nil {
			s.table.ReceiveOutcome(now, m.Target, m.Outcome)
			out = s.table.Ejected(now, m.Target)
		}
		if m.Suspect != (quarantine.Fingerprint{}) {
			g.belief.tally.Strike(now, m.Suspect, m.Target)
		}
		if m.Pass {
			mates = g.belief.zoneMates(from)
		}
	})
	g.count("Target.Heard")
	g.logger.Debug("failure heard",
		slog.String("From", string(from)),
		slog.String("Target", m.Target),
		slog.String("Outcome", m.Outcome.String()),
		slog.Bool("Out", out))
	m.Pass = false
	for _, a := range mates {
		g.send(a, m)
	}
}
