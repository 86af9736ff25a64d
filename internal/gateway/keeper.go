package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/meter"
)

// responseTimeouts are how long an ask waits for its verdict before it is sent again;
// after the last the keeper counts as silent. A datagram takes under a
// millisecond, but an instance may have used up its part of a core for the rest
// of a tenth of a second.
var responseTimeouts = [...]time.Duration{60 * time.Millisecond, 140 * time.Millisecond}

// maxKeeperAttempts is how many keepers are tried before an instance decides alone: the
// fleet's, its zone's stand-in and, since both may be cut off at once, the next.
const maxKeeperAttempts = 3

// contactTimeout is how long an instance of the zone counts as being in touch after a
// datagram. Each sends one every quietPeriod at least, and three may be lost.
const contactTimeout = time.Second

// pendingRequests pairs verdicts with the pendingRequests that wait for them.
type pendingRequests struct {
	lastNumber atomic.Uint64
	mu         sync.Mutex
	responses  map[uint64]chan decisionResponse
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{
		responses: map[uint64]chan decisionResponse{},
	}
}

func (p *pendingRequests) add() (uint64, chan decisionResponse) {
	number, response := p.lastNumber.Add(1), make(chan decisionResponse, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responses[number] = response
	return number, response
}

func (p *pendingRequests) remove(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.responses, number)
}

// deliver gives a verdict to the ask that waits for it, if one does.
func (p *pendingRequests) deliver(r decisionResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response, ok := p.responses[r.Number]; ok {
		delete(p.responses, r.Number)
		response <- r
	}
}

// requestDecision asks the keeper, or decides alone if none can be reached.
func (g *Gateway) requestDecision(ctx context.Context, k limitKind, name string, amount int) meter.Decision {
	for range maxKeeperAttempts {
		keeper := g.keeper(k, name)
		if keeper == g.self.Address {
			return g.decideAsKeeper(decisionRequest{
				Kind:   k,
				Name:   name,
				Amount: amount,
			})
		}
		if decision, ok := g.askKeeper(ctx, keeper, k, name, amount); ok {
			if k == organisationRate {
				g.state.withLock(func() { g.state.localRates.RecordDecision(boot.Now(), name, decision.Granted) })
			}
			return decision
		}
		if ctx.Err() != nil {
			return meter.Decision{}
		}
		g.state.markUnresponsive(keeper, k.String()+" "+name)
	}
	return g.decideLocally(k, name, amount)
}

// keeper is whom to ask. A rate has one keeper for the whole fleet, since a rate
// in parts refuses requests while another part is idle; the zone's keeper stands
// in while that one is silent. A budget has one for each zone.
func (g *Gateway) keeper(k limitKind, name string) instance.Address {
	st := g.state
	var keeper instance.Address
	st.withLock(func() {
		if k == organisationRate {
			keeper = st.roster.FleetKeeper(k.String(), name)
		}
		if keeper == "" || st.unresponsive(keeper) {
			keeper = st.roster.ZoneKeeper(k.String(), name, st.unresponsive)
		}
	})
	return keeper
}

func (g *Gateway) askKeeper(ctx context.Context, keeper instance.Address, k limitKind, name string, amount int) (meter.Decision, bool) {
	number, response := g.pending.add()
	defer g.pending.remove(number)
	for attempt, timeout := range responseTimeouts {
		g.send(keeper, decisionRequest{
			Number:  number,
			Kind:    k,
			Name:    name,
			Amount:  amount,
			Forward: attempt == 0 && k == organisationRate,
		})
		timer := time.NewTimer(timeout)
		select {
		case r := <-response:
			timer.Stop()
			return r.Decision, true
		case <-ctx.Done():
			timer.Stop()
			return meter.Decision{}, false
		case <-timer.C:
		}
	}
	return meter.Decision{}, false
}

// handleDecisionRequest answers an ask, or passes it on once: the asker's members may be older
// than this instance's, or only the asker can't reach the keeper.
func (g *Gateway) handleDecisionRequest(from instance.Address, m decisionRequest) {
	if m.Forward {
		if keeper := g.keeper(m.Kind, m.Name); keeper != g.self.Address && keeper != from {
			m.Forward = false
			m.Origin = from
			g.send(keeper, m)
			return
		}
	}
	if m.Origin != "" {
		from = m.Origin
	}
	g.send(from, decisionResponse{
		Number:   m.Number,
		Decision: g.decideAsKeeper(m),
	})
}

// role is what this instance is for an organisation's rate. The lock is held.
func (st *localState) role(organisation string) meter.Role {
	self := st.gateway.self.Address
	keeper := st.roster.FleetKeeper(organisationRate.String(), organisation)
	switch {
	case keeper == self:
		return meter.FleetKeeper
	case st.unresponsive(keeper) && st.roster.ZoneKeeper(organisationRate.String(), organisation, st.unresponsive) == self:
		return meter.ZoneKeeper
	default:
		return meter.NotKeeper
	}
}

// decideAsKeeper is the keeper's decision.
func (g *Gateway) decideAsKeeper(r decisionRequest) meter.Decision {
	decision := g.decideLocked(r)
	if decision.NeedsLoan {
		g.sendLoanRequests()
	}
	return decision
}

func (g *Gateway) decideLocked(request decisionRequest) meter.Decision {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	now := boot.Now()
	zones := st.zones(now)
	if request.Kind == retryBudget {
		return meter.Decision{
			Granted: st.budgets.Take(now, request.Name, request.Amount, zones.Fraction),
		}
	}
	rate, ok := st.rateOf(request.Name)
	if !ok {
		return meter.Decision{
			Granted: true,
		}
	}
	decision := st.rates.Take(now, rate, request.Amount, st.role(request.Name), zones)
	if !decision.Granted {
		g.logger.Info("rate used up",
			slog.String("Organisation", request.Name),
			slog.Float64("PerSecond", rate.PerSecond),
			slog.Int("Burst", rate.Burst),
			slog.Float64("KeptPerSecond", decision.PerSecond),
			slog.Float64("Level", decision.Level),
			slog.Uint64("Revision", st.index.Revision()))
	}
	return decision
}

// decideLocally stands in for a keeper that can't be reached: an even part of each
// rate, and no retries.
func (g *Gateway) decideLocally(k limitKind, name string, amount int) meter.Decision {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	g.logger.Warn("decided without a keeper",
		slog.String("Kind", k.String()),
		slog.String("Name", name),
		slog.Int("Members", st.roster.Len()))
	if k == retryBudget {
		return meter.Decision{}
	}
	rate, ok := st.rateOf(name)
	if !ok {
		return meter.Decision{
			Granted: true,
		}
	}
	return st.localRates.Take(boot.Now(), rate, amount, st.roster.Len())
}

// zones is how the instances are spread. Members that were heard and are no more
// don't count; one that has just started counts those that it hasn't heard yet,
// since all may have started. The lock is held.
func (st *localState) zones(now time.Duration) meter.Zones {
	timeout := max(contactTimeout, loadReportLifetimePeriods*st.loadReportPeriod())
	return st.roster.Zones(st.gateway.settings.Zones, func(a instance.Address) bool {
		receivedAt, ok := st.lastDatagramAt[a]
		if !ok {
			return now < st.startedAt+memberLeaseTerm
		}
		return now < receivedAt+timeout
	})
}

// rateOf finds an organisation's rate. The lock is held.
func (st *localState) rateOf(organisation string) (document.Rate, bool) {
	if st.index == nil {
		return document.Rate{}, false
	}
	return st.index.Rate(organisation)
}

// sendLoanRequests tells the keepers in other zones what this instance lacks of the rates
// that it keeps, and what it returns.
func (g *Gateway) sendLoanRequests() {
	st := g.state
	byKeeper := map[instance.Address][]meter.LoanRequest{}
	now := boot.Now()
	st.withLock(func() {
		for _, request := range st.rates.LoanRequests(now, st.rateOf, st.role, st.zones(now)) {
			for _, keeper := range st.roster.RemoteKeepers(organisationRate.String(), request.Organisation, st.unresponsive) {
				byKeeper[keeper] = append(byKeeper[keeper], request)
			}
		}
	})
	for keeper, requests := range byKeeper {
		g.send(keeper, loanRequests{
			Requests: requests,
			Borrower: g.self.Address,
			Forward:  true,
		})
	}
}

// handleLoanRequests answers what another zone wants. Who keeps an organisation here may
// look different from there, so what isn't for this instance is passed on once.
func (g *Gateway) handleLoanRequests(m loanRequests) {
	st := g.state
	forwarded := map[instance.Address][]meter.LoanRequest{}
	var offers []meter.LoanOffer
	st.withLock(func() {
		zones := st.zones(boot.Now())
		for _, request := range m.Requests {
			keeper := st.roster.ZoneKeeper(organisationRate.String(), request.Organisation, st.unresponsive)
			if m.Forward && keeper != g.self.Address {
				forwarded[keeper] = append(forwarded[keeper], request)
				continue
			}
			rate, ok := st.rateOf(request.Organisation)
			if !ok {
				continue
			}
			if offer, ok := st.rates.Lend(boot.Now(), rate, request, zones); ok {
				offers = append(offers, offer)
			}
		}
	})
	for keeper, requests := range forwarded {
		g.send(keeper, loanRequests{
			Requests: requests,
			Borrower: m.Borrower,
		})
	}
	if len(offers) > 0 {
		g.send(m.Borrower, loanOffers{
			Offers: offers,
		})
	}
}

// handleLoanOffers takes in what another zone lends.
func (g *Gateway) handleLoanOffers(m loanOffers) {
	st := g.state
	now := boot.Now()
	st.withLock(func() {
		for _, offer := range m.Offers {
			if rate, ok := st.rateOf(offer.Organisation); ok {
				st.rates.Borrow(now, rate, offer, st.zones(now))
			}
		}
	})
}
