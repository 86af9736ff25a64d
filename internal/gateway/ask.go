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

// askWaits are how long an ask waits for its verdict before it is sent again;
// after the last the keeper counts as silent. A datagram takes under a
// millisecond, but an instance may have used up its part of a core for the rest
// of a tenth of a second.
var askWaits = [...]time.Duration{60 * time.Millisecond, 140 * time.Millisecond}

// askKeepers is how many keepers are tried before an instance decides alone: the
// fleet's, its zone's stand-in and, since both may be cut off at once, the next.
const askKeepers = 3

// hearTerm is how long an instance of the zone counts as being in touch after a
// datagram. Each sends one every quietPeriod at least, and three may be lost.
const hearTerm = time.Second

// asks pairs verdicts with the asks that wait for them.
type asks struct {
	number  atomic.Uint64
	mu      sync.Mutex
	waiting map[uint64]chan verdict
}

func newAsks() *asks {
	return &asks{
		waiting: map[uint64]chan verdict{},
	}
}

func (a *asks) add() (uint64, chan verdict) {
	number, answers := a.number.Add(1), make(chan verdict, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting[number] = answers
	return number, answers
}

func (a *asks) forget(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, number)
}

// answer gives a verdict to the ask that waits for it, if one does.
func (a *asks) answer(v verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answers, ok := a.waiting[v.Number]; ok {
		delete(a.waiting, v.Number)
		answers <- v
	}
}

// ask asks the keeper, or decides alone if none can be reached.
func (g *Gateway) ask(ctx context.Context, k kind, name string, amount int) meter.Decision {
	for range askKeepers {
		keeper := g.keeper(k, name)
		if keeper == g.self.Address {
			return g.decide(ask{
				Kind:   k,
				Name:   name,
				Amount: amount,
			})
		}
		if v, ok := g.askKeeper(ctx, keeper, k, name, amount); ok {
			if k == rate {
				g.belief.look(func() { g.belief.alone.RecordDecision(boot.Now(), name, v.Granted) })
			}
			return v
		}
		if ctx.Err() != nil {
			return meter.Decision{}
		}
		g.belief.hush(keeper, k.String()+" "+name)
	}
	return g.decideAlone(k, name, amount)
}

// keeper is whom to ask. A rate has one keeper for the whole fleet, since a rate
// in parts refuses requests while another part is idle; the zone's keeper stands
// in while that one is silent. A budget has one for each zone.
func (g *Gateway) keeper(k kind, name string) instance.Address {
	b := g.belief
	var keeper instance.Address
	b.look(func() {
		if k == rate {
			keeper = b.roster.FleetKeeper(k.String(), name)
		}
		if keeper == "" || b.quiet(keeper) {
			keeper = b.roster.ZoneKeeper(k.String(), name, b.quiet)
		}
	})
	return keeper
}

func (g *Gateway) askKeeper(ctx context.Context, keeper instance.Address, k kind, name string, amount int) (meter.Decision, bool) {
	number, answers := g.asks.add()
	defer g.asks.forget(number)
	for try, wait := range askWaits {
		g.send(keeper, ask{
			Number: number,
			Kind:   k,
			Name:   name,
			Amount: amount,
			Pass:   try == 0 && k == rate,
		})
		timer := time.NewTimer(wait)
		select {
		case v := <-answers:
			timer.Stop()
			return v.Decision, true
		case <-ctx.Done():
			timer.Stop()
			return meter.Decision{}, false
		case <-timer.C:
		}
	}
	return meter.Decision{}, false
}

// hearAsk answers an ask, or passes it on once: the asker's members may be older
// than this instance's, or only the asker can't reach the keeper.
func (g *Gateway) hearAsk(from instance.Address, m ask) {
	if m.Pass {
		if keeper := g.keeper(m.Kind, m.Name); keeper != g.self.Address && keeper != from {
			m.Pass = false
			m.Origin = from
			g.send(keeper, m)
			return
		}
	}
	if m.Origin != "" {
		from = m.Origin
	}
	g.send(from, verdict{
		Number:   m.Number,
		Decision: g.decide(m),
	})
}

// role is what this instance is for an organisation's rate. The lock is held.
func (b *belief) role(organisation string) meter.Role {
	self := b.gateway.self.Address
	keeper := b.roster.FleetKeeper(rate.String(), organisation)
	switch {
	case keeper == self:
		return meter.FleetKeeper
	case b.quiet(keeper) && b.roster.ZoneKeeper(rate.String(), organisation, b.quiet) == self:
		return meter.ZoneKeeper
	default:
		return meter.NotKeeper
	}
}

// decide is the keeper's decision.
func (g *Gateway) decide(a ask) meter.Decision {
	v := g.decideLocked(a)
	if v.NeedsLoan {
		g.tellWants()
	}
	return v
}

func (g *Gateway) decideLocked(a ask) meter.Decision {
	b := g.belief
	b.mu.Lock()
	defer b.mu.Unlock()
	now := boot.Now()
	zones := b.zones(now)
	if a.Kind == budget {
		return meter.Decision{
			Granted: b.budget.Take(now, a.Name, a.Amount, zones.Fraction),
		}
	}
	r, ok := b.rateOf(a.Name)
	if !ok {
		return meter.Decision{
			Granted: true,
		}
	}
	v := b.rates.Take(now, r, a.Amount, b.role(a.Name), zones)
	if !v.Granted {
		g.logger.Info("rate used up",
			slog.String("Organisation", a.Name),
			slog.Float64("PerSecond", r.PerSecond),
			slog.Int("Burst", r.Burst),
			slog.Float64("KeptPerSecond", v.PerSecond),
			slog.Float64("Level", v.Level),
			slog.Uint64("Revision", b.index.Revision()))
	}
	return v
}

// decideAlone stands in for a keeper that can't be reached: an even part of each
// rate, and no retries.
func (g *Gateway) decideAlone(k kind, name string, amount int) meter.Decision {
	b := g.belief
	b.mu.Lock()
	defer b.mu.Unlock()
	g.logger.Warn("decided without a keeper",
		slog.String("Kind", k.String()),
		slog.String("Name", name),
		slog.Int("Members", b.roster.Len()))
	if k == budget {
		return meter.Decision{}
	}
	r, ok := b.rateOf(name)
	if !ok {
		return meter.Decision{
			Granted: true,
		}
	}
	return b.alone.Take(boot.Now(), r, amount, b.roster.Len())
}

// zones is how the instances are spread. Members that were heard and are no more
// don't count; one that has just started counts those that it hasn't heard yet,
// since all may have started. The lock is held.
func (b *belief) zones(now time.Duration) meter.Zones {
	term := max(hearTerm, loadTerms*b.loadPeriod())
	return b.roster.Zones(b.gateway.settings.Zones, func(a instance.Address) bool {
		at, ok := b.heard[a]
		if !ok {
			return now < b.started+memberTerm
		}
		return now < at+term
	})
}

// rateOf finds an organisation's rate. The lock is held.
func (b *belief) rateOf(organisation string) (document.Rate, bool) {
	if b.index == nil {
		return document.Rate{}, false
	}
	return b.index.Rate(organisation)
}

// tellWants tells the keepers in other zones what this instance lacks of the rates
// that it keeps, and what it returns.
func (g *Gateway) tellWants() {
	b := g.belief
	to := map[instance.Address][]meter.LoanRequest{}
	now := boot.Now()
	b.look(func() {
		for _, w := range b.rates.LoanRequests(now, b.rateOf, b.role, b.zones(now)) {
			for _, envoy := range b.roster.RemoteKeepers(rate.String(), w.Organisation, b.quiet) {
				to[envoy] = append(to[envoy], w)
			}
		}
	})
	for envoy, list := range to {
		g.send(envoy, wants{
			List:     list,
			Borrower: g.self.Address,
			Pass:     true,
		})
	}
}

// hearWants answers what another zone wants. Who keeps an organisation here may
// look different from there, so what isn't for this instance is passed on once.
func (g *Gateway) hearWants(m wants) {
	b := g.belief
	elsewhere := map[instance.Address][]meter.LoanRequest{}
	var lent []meter.LoanOffer
	b.look(func() {
		zones := b.zones(boot.Now())
		for _, w := range m.List {
			keeper := b.roster.ZoneKeeper(rate.String(), w.Organisation, b.quiet)
			if m.Pass && keeper != g.self.Address {
				elsewhere[keeper] = append(elsewhere[keeper], w)
				continue
			}
			r, ok := b.rateOf(w.Organisation)
			if !ok {
				continue
			}
			if o, ok := b.rates.Lend(boot.Now(), r, w, zones); ok {
				lent = append(lent, o)
			}
		}
	})
	for keeper, list := range elsewhere {
		g.send(keeper, wants{
			List:     list,
			Borrower: m.Borrower,
		})
	}
	if len(lent) > 0 {
		g.send(m.Borrower, offers{
			List: lent,
		})
	}
}

// hearOffers takes in what another zone lends.
func (g *Gateway) hearOffers(m offers) {
	b := g.belief
	now := boot.Now()
	b.look(func() {
		for _, o := range m.List {
			if r, ok := b.rateOf(o.Organisation); ok {
				b.rates.Borrow(now, r, o, b.zones(now))
			}
		}
	})
}
