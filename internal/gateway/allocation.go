package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/link"
	"dandelionmux/pkg/meter"
)

// Where and how slots are allocated; docs/ROUTING-UNDER-LOAD.md has the reasons.
const (
	// minAllocatedMembers is the number of instances in a zone from which load reports are
	// older than the requests that they count, and maxAllocatedSlots the number of slots of a
	// target up to which one request too many overloads it.
	minAllocatedMembers = 16
	maxAllocatedSlots   = 4
	// slotTimeout is how long an allocator may take to answer. maxSlotSendings is how often it
	// is asked, the last time the next in rank.
	slotTimeout     = 25 * time.Millisecond
	maxSlotSendings = 3
	// waitMargin is by how much a wait may exceed what the allocator expects, before the
	// instance asks again.
	waitMargin = 100 * time.Millisecond
	// maxGrants is how many granted targets are tried that this instance can't use.
	maxGrants = 4
	// maxUnfitTargets limits the unfit targets that a request for a slot names.
	maxUnfitTargets = 8
	// maxUnreadAnswers is how many answers to one request for a slot may be unread.
	maxUnreadAnswers = 4
)

// noCapacity is the reason of a refusal because the service has no free slot in time.
const noCapacity = "no-capacity"

// slotKind is the kind by which allocators are ranked. It is hashed, so it must be the same on
// all instances.
const slotKind = "slots"

// allocationBounds says which services are allocated.
type allocationBounds struct {
	// minMembers is the least number of instances in the zone, and maxSlots the largest number
	// of slots that a target of the service may have.
	minMembers int
	maxSlots   int
}

// isAllocated reports whether slots of a service are granted by an allocator. The caller must
// hold mu.
func (st *localState) isAllocated(s *service) bool {
	bounds := st.gateway.allocation
	most := s.table.MaxSlots()
	return most > 0 && most <= bounds.maxSlots && len(st.roster.ZoneMembers()) >= bounds.minMembers
}

// allocatorIn returns the allocator of a service in a zone, or none if no member there can act as
// one. The caller must hold mu.
func (st *localState) allocatorIn(zone, service string) instance.Address {
	return st.roster.CapableKeeper(zone, slotKind, service, func(a instance.Address) bool {
		_, unanswered := st.unansweredAllocators[a]
		return !unanswered && st.members[a].allocates && !st.unresponsive(a)
	})
}

// markUnanswered excludes, for unresponsivePeriod, an allocator that did not answer. It goes on
// keeping rates and budgets, which have longer timeouts: a second keeper of a rate would grant
// more than the rate.
func (st *localState) markUnanswered(a instance.Address, service string) {
	st.withLock(func() { st.unansweredAllocators[a] = boot.Now() + unresponsivePeriod })
	st.gateway.count("Allocation.Unanswered")
	st.gateway.logger.Warn("allocator did not answer",
		slog.String("Peer", string(a)),
		slog.String("Service", service))
}

// slotAnswer is an answer to a request for a slot, and who sent it.
type slotAnswer struct {
	slotResponse
	from instance.Address
}

// pendingSlots matches answers to the requests for slots that wait for them, by number. Its
// methods may be called concurrently.
type pendingSlots struct {
	lastNumber atomic.Uint64
	mu         sync.Mutex
	answers    map[uint64]chan slotAnswer
	// used holds the allocators of the grants that are in use.
	used map[uint64]instance.Address
}

// newPendingSlots begins at a random number, so that an allocator doesn't take a request for one
// of an earlier run of the instance.
func newPendingSlots() *pendingSlots {
	p := &pendingSlots{
		answers: map[uint64]chan slotAnswer{},
		used:    map[uint64]instance.Address{},
	}
	p.lastNumber.Store(uint64(rand.Uint32()))
	return p
}

// add returns the number of a new request, whose answers the channel receives.
func (p *pendingSlots) add(answers chan slotAnswer) uint64 {
	number := p.lastNumber.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[number] = answers
	return number
}

// remove forgets a request that waits for answers no longer. If it was granted a slot, that is in
// use until release.
func (p *pendingSlots) remove(number uint64, decision slotAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answers, number)
	if decision.Verdict == slotGranted {
		p.used[number] = decision.from
	}
}

// release ends the use of a grant.
func (p *pendingSlots) release(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.used, number)
}

// isUsed reports whether a grant is in use. The allocator repeats the answer to a request that it
// receives twice.
func (p *pendingSlots) isUsed(number uint64, allocator instance.Address) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	used, ok := p.used[number]
	return ok && used == allocator
}

// deliver passes an answer to the request that waits for it, and reports whether one does.
func (p *pendingSlots) deliver(a slotAnswer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	answers, ok := p.answers[a.Number]
	if !ok {
		return false
	}
	select {
	case answers <- a:
		return true
	default:
		return false
	}
}

// outgoing is a message that is sent once mu is released.
type outgoing struct {
	to instance.Address
	m  message
}

// post sends messages about slots. Those to this instance itself are handled at once. The caller
// must not hold mu.
func (g *Gateway) post(list ...outgoing) {
	for _, o := range list {
		if o.to == g.self.Address {
			g.handleSlotMessage(o.to, o.m)
			continue
		}
		g.send(o.to, o.m)
	}
}

// handleSlotMessage handles a message about slots.
func (g *Gateway) handleSlotMessage(from instance.Address, m message) {
	switch m := m.(type) {
	case slotRequest:
		g.handleSlotRequest(from, m)
	case slotResponse:
		g.handleSlotResponse(from, m)
	case slotRelease:
		g.handleSlotRelease(from, m)
	case zoneLoadReport:
		g.handleZoneLoad(from, m)
	}
}

// handleSlotResponse passes an answer on to the request that waits for it. A slot that nobody
// waits for any more is released at once.
func (g *Gateway) handleSlotResponse(from instance.Address, m slotResponse) {
	if m.Origin != "" {
		g.handleDecline(from, m)
		return
	}
	delivered := g.asks.deliver(slotAnswer{
		slotResponse: m,
		from:         from,
	})
	if !delivered && m.Verdict == slotGranted && !g.asks.isUsed(m.Number, from) {
		g.releaseLate(from, m)
	}
}

// releaseLate releases a granted slot that nobody waits for.
func (g *Gateway) releaseLate(allocator instance.Address, m slotResponse) {
	g.count("Allocation.Late")
	g.post(outgoing{
		to: allocator,
		m: slotRelease{
			Number: m.Number,
			Target: m.Target,
			Unused: true,
		},
	})
}

// slotOutcome is the result of asking for a slot: slotObtained, slotDenied or slotUndecided.
type slotOutcome interface{ slotOutcome() }

// slotObtained is a granted slot.
type slotObtained struct {
	slot  *slot
	limit meter.TargetLimit
}

// slotDenied ends the attempt with a refusal.
type slotDenied struct{ err error }

// slotUndecided leaves the choice to this instance.
type slotUndecided struct{}

func (slotObtained) slotOutcome()  {}
func (slotDenied) slotOutcome()    {}
func (slotUndecided) slotOutcome() {}

// slotGrant is what a slot holds of its grant.
type slotGrant struct {
	allocator instance.Address
	number    uint64
	waited    time.Duration
	// reason is why the request left its zone; empty if it didn't.
	reason string
}

// slotAsk is a request of this instance to allocators. It is used by one goroutine.
type slotAsk struct {
	gateway *Gateway
	request entry.SlotRequest
	message slotRequest
	began   time.Duration
	answers chan slotAnswer
	// allocator was asked last, sendings times without an answer.
	allocator instance.Address
	sendings  int
	// waitsAt is the allocator with which the request waits, if any. waited is set once it has
	// waited, and reason is why it was to leave its zone.
	waitsAt instance.Address
	waited  bool
	reason  string
}

// newSlotAsk returns a request to the allocator of a service, and false if it is not allocated or
// the links to its targets are lost.
func (g *Gateway) newSlotAsk(request entry.SlotRequest) (*slotAsk, bool) {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	now := boot.Now()
	s := st.services[request.Service]
	if s == nil || st.index == nil || !st.isAllocated(s) || st.links.State(request.Service) != link.Reachable {
		return nil, false
	}
	a := &slotAsk{
		gateway: g,
		request: request,
		message: slotRequest{
			Service:      request.Service,
			Rank:         st.index.Priority(request.Organisation, request.Route),
			Organisation: request.Organisation,
			Repeatable:   request.Repeatable,
			Beside:       request.Beside,
			Tried:        slices.Clone(request.TriedTargets),
			Expected:     s.latencies.Mean(request.Route.Name),
			Objective:    request.Route.Objective,
		},
		began:   now,
		answers: make(chan slotAnswer, maxUnreadAnswers),
	}
	return a, st.allocatorIn(g.self.Zone, request.Service) != ""
}

// allocate asks the allocator of the request's service for a slot, if it has one. A granted
// target that this instance can't use is given back, and another asked for.
func (g *Gateway) allocate(ctx context.Context, request entry.SlotRequest) slotOutcome {
	a, ok := g.newSlotAsk(request)
	if !ok {
		return slotUndecided{}
	}
	for range maxGrants {
		a.message.Number = g.asks.add(a.answers)
		answer, ok := a.await(ctx)
		a.end(answer)
		switch {
		case a.isOver(ctx):
			if ok && answer.Verdict == slotGranted {
				g.asks.release(answer.Number)
				g.releaseLate(answer.from, answer.slotResponse)
			}
			return slotDenied{g.timeIsOver(ctx, a)}
		case !ok:
			g.count("Allocation.Fallback")
			return slotUndecided{}
		}
		switch answer.Verdict {
		case slotGranted:
			if obtained, ok := a.adopt(answer); ok {
				g.count("Allocation.Granted")
				return obtained
			}
			a.message.Tried = append(a.message.Tried, answer.Target)
		case slotRefused:
			return slotDenied{g.noCapacity(ctx, a, answer.slotResponse)}
		default:
			g.count("Allocation.Declined")
			return slotUndecided{}
		}
	}
	g.count("Allocation.Fallback")
	return slotUndecided{}
}

// isOver reports whether the caller has left or the request's time is over.
func (a *slotAsk) isOver(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(a.request.Deadline)
}

// await asks until there is a decision. It returns false if there is none: allocators don't
// answer, the caller leaves, or the time is over.
func (a *slotAsk) await(ctx context.Context) (slotAnswer, bool) {
	a.sendings, a.waitsAt = 0, ""
	for a.ask() {
		timeout := slotTimeout
		for {
			answer, ok := a.receive(ctx, timeout)
			if !ok {
				break
			}
			if answer.Verdict != slotWaiting {
				return answer, true
			}
			a.sendings, a.waitsAt, a.waited = 0, answer.from, true
			if answer.Reason != "" {
				a.reason = answer.Reason
			}
			timeout = answer.Wait + waitMargin
		}
		if a.isOver(ctx) {
			return slotAnswer{}, false
		}
	}
	return slotAnswer{}, false
}

// ask sends the request to the allocator, or to the next in rank if that one has not answered.
// It returns false if there is nobody left to ask.
func (a *slotAsk) ask() bool {
	g := a.gateway
	switch a.sendings {
	case maxSlotSendings:
		g.state.markUnanswered(a.allocator, a.message.Service)
		return false
	case maxSlotSendings - 1:
		g.state.markUnanswered(a.allocator, a.message.Service)
	}
	g.state.withLock(func() {
		a.allocator = g.state.allocatorIn(g.self.Zone, a.message.Service)
		if s := g.state.services[a.message.Service]; s != nil {
			a.message.Unfit = s.table.Unfit(boot.Now(), maxUnfitTargets)
		}
	})
	if a.allocator == "" {
		return false
	}
	a.sendings++
	a.message.Left = max(time.Until(a.request.Deadline), 0)
	if a.waitsAt != a.allocator {
		a.withdraw()
	}
	g.post(outgoing{
		to: a.allocator,
		m:  a.message,
	})
	return true
}

// withdraw ends the wait at an allocator.
func (a *slotAsk) withdraw() {
	if a.waitsAt == "" {
		return
	}
	a.gateway.post(outgoing{
		to: a.waitsAt,
		m: slotRelease{
			Number:  a.message.Number,
			Service: a.message.Service,
			Unused:  true, // the slot may just have been granted
		},
	})
	a.waitsAt = ""
}

// receive waits for an answer. It returns false if none comes in time, or if the caller leaves.
func (a *slotAsk) receive(ctx context.Context, timeout time.Duration) (slotAnswer, bool) {
	select {
	case answer := <-a.answers:
		return answer, true
	default:
	}
	timer := time.NewTimer(min(timeout, max(time.Until(a.request.Deadline), 0)))
	defer timer.Stop()
	select {
	case answer := <-a.answers:
		return answer, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return slotAnswer{}, false
}

// end stops waiting for answers: slots that were granted besides the decision are released, and
// the request is withdrawn from an allocator with which it still waits.
func (a *slotAsk) end(decision slotAnswer) {
	g := a.gateway
	g.asks.remove(a.message.Number, decision)
	for unread := true; unread; {
		select {
		case answer := <-a.answers:
			if answer.Verdict == slotGranted && (answer.from != decision.from || decision.Verdict != slotGranted) {
				g.releaseLate(answer.from, answer.slotResponse)
			}
		default:
			unread = false
		}
	}
	if a.waitsAt != decision.from {
		a.withdraw()
	}
}

// adopt returns the slot of a grant, or releases the grant if this instance can't use its target.
func (a *slotAsk) adopt(answer slotAnswer) (slotObtained, bool) {
	g := a.gateway
	var obtained slotObtained
	ok := false
	g.state.withLock(func() { obtained, ok = g.state.takeGranted(a, answer) })
	if ok {
		return obtained, true
	}
	g.asks.release(answer.Number)
	g.count("Allocation.Unusable")
	g.post(outgoing{
		to: answer.from,
		m: slotRelease{
			Number:    answer.Number,
			Service:   a.message.Service,
			Target:    answer.Target,
			Unused:    true,
			uncounted: true,
		},
	})
	return slotObtained{}, false
}

// takeGranted makes a slot of a grant, unless this instance can't use its target. The caller
// must hold mu.
func (st *localState) takeGranted(a *slotAsk, answer slotAnswer) (slotObtained, bool) {
	s := st.services[a.message.Service]
	if s == nil {
		return slotObtained{}, false
	}
	now := boot.Now()
	if answer.from == st.gateway.self.Address {
		s.table.Ungrant(now, st.grantee(answer.from, 0, false), answer.Target)
	}
	chosen, ok := s.table.Take(now, answer.Target)
	if !ok {
		return slotObtained{}, false
	}
	obtained := slotObtained{}
	obtained.slot, obtained.limit = st.newSlot(now, s, a.request, chosen)
	obtained.slot.grant = &slotGrant{
		allocator: answer.from,
		number:    answer.Number,
		waited:    now - a.began,
	}
	if chosen.Zone != st.gateway.self.Zone {
		obtained.slot.grant.reason = a.reason
		st.gateway.count("Allocation.Left." + chosen.Zone)
	}
	if a.waited {
		st.gateway.count("Allocation.Waited")
	}
	return obtained, true
}

// releaseGrant tells the allocator that has granted the slot that it is free, how long its
// target takes no requests, and whether the target has not run the request to its end.
func (sl *slot) releaseGrant(hold time.Duration, unused bool) {
	if sl.grant == nil {
		return
	}
	granted := *sl.grant
	sl.grant = nil
	sl.gateway.asks.release(granted.number)
	sl.gateway.post(outgoing{
		to: granted.allocator,
		m: slotRelease{
			Number:    granted.number,
			Service:   sl.service,
			Target:    sl.target.Name,
			Hold:      hold,
			Unused:    unused,
			uncounted: true,
		},
	})
}

// grantAttrs returns what the log tells of the slot's grant.
func (sl *slot) grantAttrs() []slog.Attr {
	if sl.grant == nil {
		return []slog.Attr{slog.Bool("Granted", false)}
	}
	return []slog.Attr{
		slog.Bool("Granted", true),
		slog.String("Allocator", string(sl.grant.allocator)),
		slog.Uint64("Number", sl.grant.number),
		slog.Duration("Waited", sl.grant.waited),
		slog.String("LeftZone", sl.grant.reason),
	}
}

// timeIsOver refuses a request whose caller has left, that is given up because the instance
// stops, or that has waited in vain to its end.
func (g *Gateway) timeIsOver(ctx context.Context, a *slotAsk) error {
	if time.Now().Before(a.request.Deadline) {
		if g.Current().Leaving {
			return entry.StoppingRefusal()
		}
		g.count("Allocation.Withdrawn")
		return &entry.Refusal{
			Status: http.StatusServiceUnavailable,
			Reason: "caller-left",
		}
	}
	return g.noCapacity(ctx, a, slotResponse{})
}

// noCapacity refuses a request that an allocator has refused, or that has waited in vain.
func (g *Gateway) noCapacity(ctx context.Context, a *slotAsk, m slotResponse) error {
	refusal := &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     noCapacity,
		RetryAfter: noTargetRetryAfter,
	}
	if m.Reason != "" {
		refusal.Reason = m.Reason
	}
	if m.RetryAfter > 0 {
		refusal.RetryAfter = m.RetryAfter
	}
	if a.message.Beside {
		return refusal
	}
	g.count("Allocation.Refused." + rankName(a.message.Rank))
	g.logger.Warn("refused for lack of capacity",
		slog.String("Request", entry.RequestID(ctx)),
		slog.String("Service", a.message.Service),
		slog.Int("Rank", a.message.Rank),
		slog.String("Reason", refusal.Reason),
		slog.Duration("Expected", m.Wait),
		slog.Duration("Waited", boot.Now()-a.began),
		slog.Duration("RetryAfter", refusal.RetryAfter),
		slog.String("Allocator", string(a.allocator)),
		slog.Uint64("Number", a.message.Number))
	return refusal
}
