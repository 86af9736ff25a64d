package quota

import (
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// ask sends an item for a request, with units in advance if its organisation is
// busy.
func (h *Holder) ask(now time.Duration, w *pendingRequest, a *account) {
	way, ok := h.chooseRoute(now, w.shard, w.attempt)
	if !ok {
		h.timers.add(min(now+retryInterval, w.giveUpAt), timerKey{
			request: w.Request,
		})
		return
	}
	w.ask = h.sendItem(now, way, a, w, Item{
		Organisation: w.Organisation,
		Need:         w.Units,
		Prefetch:     a.prefetchUnits(now, h.prefetchHorizon),
		Wait:         w.giveUpAt - now,
	})
}

// refill asks for units in advance, and reports what was used so far.
func (h *Holder) refill(now time.Duration, organisation string) {
	a := h.allowance.findOrAdd(organisation)
	way, ok := h.chooseRoute(now, a.shard, 0)
	advance := a.prefetchUnits(now, h.prefetchHorizon)
	if !ok || advance == 0 {
		a.endRefill()
		return
	}
	h.sendItem(now, way, a, nil, Item{
		Organisation: organisation,
		Prefetch:     advance,
	})
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, g := range a.grants {
		if g.used > g.reported {
			h.report(now, g, false)
		}
	}
}

func (h *Holder) sendItem(now time.Duration, way askRoute, a *account, w *pendingRequest, item Item) uint64 {
	h.lastNumber++
	item.Number = h.lastNumber
	h.asks[h.lastNumber] = &openAsk{
		route:   way,
		sent:    now,
		account: a,
		request: w,
	}
	if item.Prefetch > 0 {
		a.setPrefetchAsk(h.lastNumber)
	}
	b := h.openBatch(now, way)
	b.ask.Items = append(b.ask.Items, item)
	h.timers.add(now+h.batchDelay+h.answerTimeout, timerKey{
		ask: h.lastNumber,
	})
	return h.lastNumber
}

func (h *Holder) openBatch(now time.Duration, way askRoute) *batch {
	if h.flushAt == 0 {
		h.flushAt = now + max(h.batchDelay, 1)
	}
	for i := range h.batches {
		if h.batches[i].route == way {
			return &h.batches[i]
		}
	}
	h.batches = append(h.batches, batch{
		route: way,
		ask: Ask{
			Coordinator: way.coordinator,
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

// way picks the coordinator for an attempt: the first in rank, but suspects
// come last.
func (h *Holder) chooseRoute(now time.Duration, s share.Shard, attempt int) (askRoute, bool) {
	ranked := h.rank(s)
	if len(ranked) == 0 {
		return askRoute{}, false
	}
	order := make([]instance.Address, 0, maxCandidates)
	for _, suspected := range []bool{false, true} {
		for _, a := range ranked {
			if (now < h.suspectedUntil[a]) == suspected {
				order = append(order, a)
			}
		}
	}
	way := askRoute{
		to: order[attempt%len(order)],
	}
	if way.to != ranked[0] {
		way.coordinator = ranked[0]
	}
	return way, true
}

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
		if a := h.asks[number]; a != nil {
			a.queued = true
		}
	}
	for _, g := range m.Grants {
		if a := h.asks[g.Number]; a != nil {
			h.handleGrant(now, a, g)
		}
	}
	for _, r := range m.Refusals {
		if a := h.asks[r.Number]; a != nil {
			h.handleRefusal(now, a, r)
		}
	}
}

// granted adds a grant. Its life counts from when it was asked for.
func (h *Holder) handleGrant(now time.Duration, a *openAsk, g Grant) {
	h.closeAsk(a, g.Number)
	delete(h.uncoordinatedSince, a.account.shard)
	held := &heldGrant{
		number:       g.Number,
		route:        a.route,
		available:    g.Units,
		expires:      a.sent + h.shorten(g.Term),
		promptReport: g.PromptReport,
	}
	token := a.account.addGrant(now, held, a.request)
	w := a.request
	switch {
	case w != nil && token.grant != nil:
		h.admit(w.Request, token)
	case w != nil:
		w.reason = Unreachable
		h.timers.add(now, timerKey{
			request: w.Request,
		})
	}
	if held.available > 0 {
		h.timers.add(now+(held.expires-now)*3/4, timerKey{
			account: a.account,
			grant:   held,
		})
	}
}

func (h *Holder) handleRefusal(now time.Duration, a *openAsk, r Refusal) {
	h.closeAsk(a, r.Number)
	w := a.request
	if w == nil {
		a.account.endRefill()
		return
	}
	w.reason = r.Reason
	if r.Reason == NoRights {
		h.retry(now, w)
		return
	}
	delete(h.uncoordinatedSince, w.shard)
	if r.Reason == Exhausted {
		a.account.refuseUntil(now + min(r.RetryAfter-h.maxQueueWait, maxRefusalTime))
	}
	h.refuse(w, r.Reason, r.RetryAfter)
}

// retry asks the next in rank, at first at once, then at intervals.
func (h *Holder) retry(now time.Duration, w *pendingRequest) {
	w.attempt++
	if w.attempt < maxCandidates {
		h.ask(now, w, h.allowance.findOrAdd(w.Organisation))
		return
	}
	h.timers.add(min(now+retryInterval, w.giveUpAt), timerKey{
		request: w.Request,
	})
}

// askDue looks at an item that should have its answer by now.
func (h *Holder) checkAnswered(now time.Duration, number uint64) {
	if a := h.asks[number]; a != nil && !a.queued {
		h.handleUnanswered(now, number)
	}
}

func (h *Holder) handleUnanswered(now time.Duration, number uint64) {
	a := h.asks[number]
	h.suspectedUntil[a.route.to] = now + suspicionTime
	h.abandon(now, number)
	if a.request != nil {
		h.retry(now, a.request)
		return
	}
	a.account.endRefill()
}

// abandon gives an open item up: what is granted for it comes back at once if
// the coordinator hears of it, else when it expires.
func (h *Holder) abandon(now time.Duration, number uint64) {
	a := h.asks[number]
	if a == nil {
		return
	}
	h.closeAsk(a, number)
	b := h.openBatch(now, a.route)
	b.ask.Reports = append(b.ask.Reports, Report{
		Number: number,
		Closed: true,
	})
}

func (h *Holder) closeAsk(a *openAsk, number uint64) {
	delete(h.asks, number)
	a.account.clearPrefetchAsk(number)
	if a.request != nil {
		a.request.ask = 0
	}
}

// want takes units for a request; if there are none it returns until when the
// organisation is refused.
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

// granted adds a grant and takes from it what a request wants.
func (a *account) addGrant(now time.Duration, g *heldGrant, w *pendingRequest) Token {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.prune(now)
	a.grants = append(a.grants, g)
	a.refusedUntil = 0
	var token Token
	if w != nil {
		token = a.take(now, w.Units)
	}
	a.lowReported = false
	a.lowMark = 0
	if g.available > 0 {
		a.lowMark = a.available(now)/2 + 1
	}
	return token
}

// advance is how many units should be asked for beyond those needed now.
func (a *account) prefetchUnits(now time.Duration, horizon time.Duration) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.prefetchAsk != 0 {
		return 0
	}
	return max(0, int(a.usage.perSecond(now)*horizon.Seconds())-a.available(now))
}

func (a *account) setPrefetchAsk(number uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.prefetchAsk = number
}

// advanced notes that an item has its answer.
func (a *account) clearPrefetchAsk(number uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.prefetchAsk == number {
		a.prefetchAsk = 0
	}
}

// refilled ends a refill that brought nothing: the next comes with a request
// that finds no units.
func (a *account) endRefill() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.lowReported = false
	a.lowMark = 0
}
