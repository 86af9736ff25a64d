package quota

import (
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// askFor sends an item for a request. The item also asks for prefetched units
// if the organisation is busy.
func (h *Holder) askFor(now time.Duration, p *pendingRequest, a *account) {
	route, ok := h.chooseRoute(now, p.shard, p.attempt)
	if !ok {
		h.timers.add(min(now+retryInterval, p.giveUpAt), timerKey{
			request: p.Request,
		})
		return
	}
	p.item = h.sendItem(now, route, a, p, Item{
		Organisation: p.Organisation,
		Need:         p.Units,
		Prefetch:     a.prefetchUnits(now, h.prefetchHorizon),
		Wait:         p.giveUpAt - now,
	})
}

// prefetch asks for prefetched units, and reports the units used so far.
func (h *Holder) prefetch(now time.Duration, organisation string) {
	a := h.allowance.findOrAdd(organisation)
	route, ok := h.chooseRoute(now, a.shard, 0)
	units := a.prefetchUnits(now, h.prefetchHorizon)
	if !ok || units == 0 {
		a.endPrefetch()
		return
	}
	h.sendItem(now, route, a, nil, Item{
		Organisation: organisation,
		Prefetch:     units,
	})
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, g := range a.grants {
		if g.used > g.reported {
			h.report(now, g, false)
		}
	}
}

// sendItem adds an item to the batch of its route and returns the item's
// number. The request is nil if only prefetched units are asked for.
func (h *Holder) sendItem(now time.Duration, route askRoute, a *account, p *pendingRequest, item Item) uint64 {
	h.lastNumber++
	item.Number = h.lastNumber
	h.openItems[h.lastNumber] = &openItem{
		route:   route,
		sent:    now,
		account: a,
		request: p,
	}
	if item.Prefetch > 0 {
		a.setPrefetchItem(h.lastNumber)
	}
	b := h.openBatch(now, route)
	b.ask.Items = append(b.ask.Items, item)
	h.timers.add(now+h.batchDelay+h.answerTimeout, timerKey{
		item: h.lastNumber,
	})
	return h.lastNumber
}

// openBatch returns the batch of a route, and starts it if there is none.
func (h *Holder) openBatch(now time.Duration, route askRoute) *batch {
	if h.flushAt == 0 {
		h.flushAt = now + max(h.batchDelay, 1)
	}
	for i := range h.batches {
		if h.batches[i].route == route {
			return &h.batches[i]
		}
	}
	h.batches = append(h.batches, batch{
		route: route,
		ask: Ask{
			Coordinator: route.coordinator,
		},
	})
	return &h.batches[len(h.batches)-1]
}

func (h *Holder) flush() {
	for _, b := range h.batches {
		h.effects = append(h.effects, Send{
			To:      b.route.to,
			Message: b.ask,
		})
	}
	h.batches = nil
	h.flushAt = 0
}

// chooseRoute picks the coordinator for an attempt: the first in rank, but
// suspected coordinators come last. It returns false if no member is known.
func (h *Holder) chooseRoute(now time.Duration, s share.Shard, attempt int) (askRoute, bool) {
	ranked := h.rank(s)
	if len(ranked) == 0 {
		return askRoute{}, false
	}
	order := make([]instance.Address, 0, maxCandidates)
	for _, suspected := range []bool{false, true} {
		for _, address := range ranked {
			if (now < h.suspectedUntil[address]) == suspected {
				order = append(order, address)
			}
		}
	}
	route := askRoute{
		to: order[attempt%len(order)],
	}
	if route.to != ranked[0] {
		route.coordinator = ranked[0]
	}
	return route, true
}

// rank returns the members that may coordinate a shard, the likeliest first.
func (h *Holder) rank(s share.Shard) []instance.Address {
	if ranked, ok := h.ranks[s]; ok {
		return ranked
	}
	var ranked []instance.Address
	for _, m := range instance.Rank(instance.Hash("shard", uint64(s)), h.members) {
		if !m.Leaving && len(ranked) < maxCandidates {
			ranked = append(ranked, m.Address)
		}
	}
	h.ranks[s] = ranked
	return ranked
}

func (h *Holder) handleAnswer(now time.Duration, from instance.ID, m Answer) {
	delete(h.suspectedUntil, from.Address)
	for _, number := range m.Queued {
		if item := h.openItems[number]; item != nil {
			item.queued = true
		}
	}
	for _, g := range m.Grants {
		if item := h.openItems[g.Number]; item != nil {
			h.handleGrant(now, item, g)
		}
	}
	for _, r := range m.Refusals {
		if item := h.openItems[r.Number]; item != nil {
			h.handleRefusal(now, item, r)
		}
	}
}

// handleGrant adds a grant. Its term counts from the time when the item was
// sent.
func (h *Holder) handleGrant(now time.Duration, item *openItem, g Grant) {
	h.closeItem(item, g.Number)
	delete(h.uncoordinatedSince, item.account.shard)
	grant := &heldGrant{
		number:       g.Number,
		route:        item.route,
		available:    g.Units,
		expires:      item.sent + h.shorten(g.Term),
		promptReport: g.PromptReport,
	}
	token := item.account.addGrant(now, grant, item.request)
	p := item.request
	switch {
	case p != nil && token.grant != nil:
		h.admit(p.Request, token)
	case p != nil:
		p.reason = Unreachable
		h.timers.add(now, timerKey{
			request: p.Request,
		})
	}
	if grant.available > 0 {
		h.timers.add(now+(grant.expires-now)*3/4, timerKey{
			account: item.account,
			grant:   grant,
		})
	}
}

func (h *Holder) handleRefusal(now time.Duration, item *openItem, r Refusal) {
	h.closeItem(item, r.Number)
	p := item.request
	if p == nil {
		item.account.endPrefetch()
		return
	}
	p.reason = r.Reason
	if r.Reason == NoRights {
		h.retry(now, p)
		return
	}
	delete(h.uncoordinatedSince, p.shard)
	if r.Reason == Exhausted {
		// The coordinator queues a request that comes at most maxQueueWait too
		// early.
		item.account.refuseUntil(now + min(r.RetryAfter-h.maxQueueWait, maxRefusalTime))
	}
	h.refuse(p, r.Reason, r.RetryAfter)
}

// retry asks the next coordinator in rank at once while there are candidates
// that weren't asked, and after retryInterval otherwise.
func (h *Holder) retry(now time.Duration, p *pendingRequest) {
	p.attempt++
	if p.attempt < maxCandidates {
		h.askFor(now, p, h.allowance.findOrAdd(p.Organisation))
		return
	}
	h.timers.add(min(now+retryInterval, p.giveUpAt), timerKey{
		request: p.Request,
	})
}

// checkAnswered treats an item as unanswered if it has neither an answer nor a
// place in the coordinator's queue when its timeout ends.
func (h *Holder) checkAnswered(now time.Duration, number uint64) {
	if item := h.openItems[number]; item != nil && !item.queued {
		h.handleUnanswered(now, number)
	}
}

func (h *Holder) handleUnanswered(now time.Duration, number uint64) {
	item := h.openItems[number]
	h.suspectedUntil[item.route.to] = now + suspicionTime
	h.abandon(now, number)
	if item.request != nil {
		h.retry(now, item.request)
		return
	}
	item.account.endPrefetch()
}

// abandon gives up an open item. Units that are granted for it return to the
// coordinator at once if the report arrives, and otherwise when the grant
// expires.
func (h *Holder) abandon(now time.Duration, number uint64) {
	item := h.openItems[number]
	if item == nil {
		return
	}
	h.closeItem(item, number)
	b := h.openBatch(now, item.route)
	b.ask.Reports = append(b.ask.Reports, Report{
		Number: number,
		Closed: true,
	})
}

func (h *Holder) closeItem(item *openItem, number uint64) {
	delete(h.openItems, number)
	item.account.clearPrefetchItem(number)
	if item.request != nil {
		item.request.item = 0
	}
}

// acquire takes units for a request. If too few are available, the token is
// zero and the time is that until which the organisation is refused.
func (a *account) acquire(now time.Duration, units int) (Token, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.prune(now)
	a.usage.add(now, units)
	return a.take(now, units), a.refusedUntil
}

func (a *account) refuseUntil(at time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.refusedUntil = at
}

// addGrant adds a grant and takes from it what the request needs, if there is
// one.
func (a *account) addGrant(now time.Duration, g *heldGrant, p *pendingRequest) Token {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.prune(now)
	a.grants = append(a.grants, g)
	a.refusedUntil = 0
	var token Token
	if p != nil {
		token = a.take(now, p.Units)
	}
	a.lowReported = false
	a.lowMark = 0
	if g.available > 0 {
		a.lowMark = a.available(now)/2 + 1
	}
	return token
}

// prefetchUnits returns the number of units to ask for beyond those needed now:
// the recent usage over the horizon, less the available units.
func (a *account) prefetchUnits(now time.Duration, horizon time.Duration) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.prefetchItem != 0 {
		return 0
	}
	return max(0, int(a.usage.perSecond(now)*horizon.Seconds())-a.available(now))
}

func (a *account) setPrefetchItem(number uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.prefetchItem = number
}

// clearPrefetchItem records that an item is no longer open.
func (a *account) clearPrefetchItem(number uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.prefetchItem == number {
		a.prefetchItem = 0
	}
}

// endPrefetch ends a prefetch that brought no units. The next one starts with a
// request that finds too few units.
func (a *account) endPrefetch() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.lowReported = false
	a.lowMark = 0
}
