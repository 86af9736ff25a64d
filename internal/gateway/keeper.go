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

// decisionTimeouts are how long each sending of a decision request waits for its
// response. After the last one the keeper is marked unresponsive. A datagram takes less
// than 1 ms, but an instance that has used up its CPU quota may stall for the rest of a
// 100 ms period.
var decisionTimeouts = [...]time.Duration{60 * time.Millisecond, 140 * time.Millisecond}

// maxKeeperAttempts is how many keepers are tried before an instance decides locally:
// the fleet's keeper, the zone's keeper that stands in for it and, since both may be
// cut off at once, the next one.
const maxKeeperAttempts = 3

// contactTimeout is the minimum time for which an instance counts as reachable after it
// sent a datagram. Each instance sends one at least every maxLoadReportPeriod, or every
// loadReportPeriod if that is longer. At the former, two in a row may be lost.
const contactTimeout = time.Second

// pendingRequests matches responses to the decision requests that wait for them, by
// number. Its methods may be called concurrently.
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

// add returns the number of a new request and the channel that receives its response.
func (p *pendingRequests) add() (uint64, chan decisionResponse) {
	number, response := p.lastNumber.Add(1), make(chan decisionResponse, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responses[number] = response
	return number, response
}

// remove forgets a request that waits for its response no longer.
func (p *pendingRequests) remove(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.responses, number)
}

// deliver passes a response to the request that waits for it. A response that nothing
// waits for is dropped.
func (p *pendingRequests) deliver(r decisionResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response, ok := p.responses[r.Number]; ok {
		delete(p.responses, r.Number)
		response <- r
	}
}

// requestDecision returns the decision of the keeper, or a local one if
// maxKeeperAttempts keepers didn't answer. If ctx ends first, the decision is a refusal.
func (g *Gateway) requestDecision(ctx context.Context, r decisionRequest) meter.Decision {
	for range maxKeeperAttempts {
		keeper := g.keeper(r.Kind, r.Name)
		if keeper == g.self.Address {
			return g.decideAsKeeper(r)
		}
		if response, ok := g.askKeeper(ctx, keeper, r); ok {
			if r.Kind == organisationRate {
				g.state.withLock(func() { g.state.localRates.RecordDecision(boot.Now(), r.Name, response.Granted) })
			}
			return response.Decision
		}
		if ctx.Err() != nil {
			return meter.Decision{}
		}
		g.state.markUnresponsive(keeper, r.Kind.String()+" "+r.Name)
	}
	return g.decideLocally(r)
}

// keeper returns the instance that decides about a limit. A rate has one keeper for the
// whole fleet, because a rate split between keepers rejects requests at one while
// another has units left; the zone's keeper stands in while that one is unresponsive. A
// retry budget has one keeper in each zone. The limit of a target has one in the whole
// fleet, and nobody stands in for it.
func (g *Gateway) keeper(k limitKind, name string) instance.Address {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	if k == retryBudget {
		return st.roster.CountingKeeper(boot.Now(), k.String(), name, st.unresponsive, st.ages, g.settings.RetryWindow)
	}
	keeper := st.roster.FleetKeeper(k.String(), name)
	if k == organisationRate && st.unresponsive(keeper) {
		keeper = st.roster.ZoneKeeper(k.String(), name, st.unresponsive)
	}
	return keeper
}

// askKeeper sends a decision request and waits for the response. It reports false if
// none came after all sendings, or if ctx ended.
func (g *Gateway) askKeeper(ctx context.Context, keeper instance.Address, r decisionRequest) (decisionResponse, bool) {
	number, response := g.pending.add()
	defer g.pending.remove(number)
	r.Number = number
	for attempt, timeout := range decisionTimeouts {
		r.Forward = attempt == 0
		if attempt > 0 && r.Kind == retryBudget {
			// The first sending has reported these requests, unless it was lost.
			r.Amount, r.Over = 0, 0
		}
		g.send(keeper, r)
		timer := time.NewTimer(timeout)
		select {
		case answer := <-response:
			timer.Stop()
			return answer, true
		case <-ctx.Done():
			timer.Stop()
			return decisionResponse{}, false
		case <-timer.C:
		}
	}
	return decisionResponse{}, false
}

// handleDecisionRequest answers a decision request, or forwards it once: the sender's
// list of members may be older than this instance's, this instance may have been started
// again since, or only the sender may be unable to reach the keeper.
func (g *Gateway) handleDecisionRequest(from instance.Address, m decisionRequest) {
	if m.Kind == targetContact {
		go g.contain(func() { g.answerContact(from, m) })
		return
	}
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

// role returns this instance's role for an organisation's rate. The caller must hold
// mu.
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

// decideAsKeeper decides as the keeper of a limit, and asks other zones for loans if
// the zone's part of the rate may be too small.
func (g *Gateway) decideAsKeeper(r decisionRequest) meter.Decision {
	decision := g.takeUnits(r)
	if decision.NeedsLoan {
		g.sendLoanRequests()
	}
	return decision
}

// takeUnits takes the requested units from a rate, a retry from a retry budget or a request
// from a target's limit. An organisation without a rate is not limited.
func (g *Gateway) takeUnits(request decisionRequest) meter.Decision {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	now := boot.Now()
	zones := st.zones(now)
	switch request.Kind {
	case retryBudget:
		return st.takeRetry(now, request, zones)
	case targetLimit:
		return st.takePermit(now, request)
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

// takeRetry takes a retry from a retry budget. The caller must hold mu.
func (st *localState) takeRetry(now time.Duration, request decisionRequest, zones meter.Zones) meter.Decision {
	decision := st.budgets.Take(now, request.Name, meter.Begun{
		Requests: request.Amount,
		Over:     request.Over,
	}, zones, takeOptions(request)...)
	if !decision.Granted {
		st.gateway.logger.Info("retry budget used up",
			slog.String("Service", request.Name),
			slog.Float64("Requests", decision.Requests),
			slog.Float64("Retries", decision.Retries),
			slog.Float64("Limit", decision.Limit),
			slog.Int("Rank", request.Rank-1),
			slog.Bool("Reserved", decision.Reserved),
			slog.Duration("Age", now-st.startedAt))
	}
	return meter.Decision{
		Granted: decision.Granted,
	}
}

// decideLocally decides while no keeper can be reached: it grants an equal part of each
// rate, and no retries.
func (g *Gateway) decideLocally(r decisionRequest) meter.Decision {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	g.logger.Warn("decided without a keeper",
		slog.String("Kind", r.Kind.String()),
		slog.String("Name", r.Name),
		slog.Int("Members", st.roster.Len()))
	if r.Kind == retryBudget {
		return meter.Decision{}
	}
	rate, ok := st.rateOf(r.Name)
	if !ok {
		return meter.Decision{
			Granted: true,
		}
	}
	return st.localRates.Take(boot.Now(), rate, r.Amount, st.roster.Len())
}

// zones returns how the instances are spread over the zones. It does not count members
// of its own zone whose last datagram is too old. For memberLeaseTerm after its start it
// counts members that have not sent any yet, because all instances may have started at
// once. The caller must hold mu.
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

// rateOf returns an organisation's rate and whether it has one. The caller must hold
// mu.
func (st *localState) rateOf(organisation string) (document.Rate, bool) {
	if st.index == nil {
		return document.Rate{}, false
	}
	return st.index.Rate(organisation)
}

// sendLoanRequests asks the keepers in other zones for loans of the rates that this
// instance keeps, and returns loans that it does not need any more.
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

// handleLoanRequests answers loan requests of another zone with offers. The sender may
// know other members than this instance, so requests for rates that another instance
// keeps here are forwarded to it, once.
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

// handleLoanOffers borrows what another zone lends.
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
