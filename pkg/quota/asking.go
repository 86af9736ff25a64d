package quota

import (
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// ask sends an item for a request, with units in advance if its organisation is
// busy.
func (h *Holder) ask(now time.Duration, w *want, a *account) {
	way, ok := h.way(now, w.shard, w.attempt)
	if !ok {
		h.timers.add(min(now+retryInterval, w.until), timerKey{
			request: w.Request,
		})
		return
	}
	w.ask = h.send(now, way, a, w, Item{
		Organisation: w.Organisation,
		Need:         w.Units,
		Prefetch:     a.advance(now, h.horizon),
		Wait:         w.until - now,
	})
}

// refill asks for units in advance, and reports what was used so far.
func (h *Holder) refill(now time.Duration, organisation string) {
	a := h.allowance.open(organisation)
	way, ok := h.way(now, a.shard, 0)
	advance := a.advance(now, h.horizon)
	if !ok || advance == 0 {
		a.refilled()
		return
	}
	h.send(now, way, a, nil, Item{
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

func (h *Holder) send(now time.Duration, way askWay, a *account, w *want, item Item) uint64 {
	h.number++
	item.Number = h.number
	h.asks[h.number] = &openAsk{
		way:     way,
		sent:    now,
		account: a,
		want:    w,
	}
	if item.Prefetch > 0 {
		a.advancing(h.number)
	}
	b := h.openBatch(now, way)
	b.ask.Items = append(b.ask.Items, item)
	h.timers.add(now+h.batch+h.answerWait, timerKey{
		ask: h.number,
	})
	return h.number
}

func (h *Holder) openBatch(now time.Duration, way askWay) *batch {
	if h.flushAt == 0 {
		h.flushAt = now + max(h.batch, 1)
	}
	for i := range h.batches {
		if h.batches[i].way == way {
			return &h.batches[i]
		}
	}
	h.batches = append(h.batches, batch{
		way: way,
		ask: Ask{
			Coordinator: way.first,
		},
	})
	return &h.batches[len(h.batches)-1]
}

func (h *Holder) flush() {
	for _, b := range h.batches {
		h.effects = append(h.effects, Send{
			To:      b.way.to,
			Message: b.ask,
		})
	}
	h.batches = nil
	h.flushAt = 0
}

// way picks the coordinator for an attempt: the first in rank, but suspects
// come last.
func (h *Holder) way(now time.Duration, s share.Shard, attempt int) (askWay, bool) {
	ranked := h.rank(s)
	if len(ranked) == 0 {
		return askWay{}, false
	}
	order := make([]instance.Address, 0, candidates)
	for _, suspected := range []bool{false, true} {
		for _, a := range ranked {
			if (now < h.suspects[a]) == suspected {
				order = append(order, a)
			}
		}
	}
	way := askWay{
		to: order[attempt%len(order)],
	}
	if way.to != ranked[0] {
		way.first = ranked[0]
	}
	return way, true
}

func (h *Holder) rank(s share.Shard) []instance.Address {
	if ranked, ok := h.ranks[s]; ok {
		return ranked
	}
	var ranked []instance.Address
	for _, m := range instance.Rank(instance.Hash("shard", uint64(s)), h.members) {
		if !m.Leaving && len(ranked) < candidates {
			ranked = append(ranked, m.Address)
		}
	}
	h.ranks[s] = ranked
	return ranked
}

func (h *Holder) answered(now time.Duration, from instance.ID, m Answer) {
	delete(h.suspects, from.Address)
	for _, number := range m.Queued {
		if a := h.asks[number]; a != nil {
			a.queued = true
		}
	}
	for _, g := range m.Grants {
		if a := h.asks[g.Number]; a != nil {
			h.granted(now, a, g)
		}
	}
	for _, r := range m.Refusals {
		if a := h.asks[r.Number]; a != nil {
			h.refused(now, a, r)
		}
	}
}

// granted adds a grant. Its life counts from when it was asked for.
func (h *Holder) granted(now time.Duration, a *openAsk, g Grant) {
	h.finish(a, g.Number)
	delete(h.lacking, a.account.shard)
	held := &held{
		number: g.Number,
		way:    a.way,
		left:   g.Units,
		until:  a.sent + h.shorten(g.Term),
		prompt: g.PromptReport,
	}
	token := a.account.granted(now, held, a.want)
	w := a.want
	switch {
	case w != nil && token.held != nil:
		h.admit(w.Request, token)
	case w != nil:
		w.reason = Unreachable
		h.timers.add(now, timerKey{
			request: w.Request,
		})
	}
	if held.left > 0 {
		h.timers.add(now+(held.until-now)*3/4, timerKey{
			account: a.account,
			held:    held,
		})
	}
}

func (h *Holder) refused(now time.Duration, a *openAsk, r Refusal) {
	h.finish(a, r.Number)
	w := a.want
	if w == nil {
		a.account.refilled()
		return
	}
	w.reason = r.Reason
	if r.Reason == NoRights {
		h.retry(now, w)
		return
	}
	delete(h.lacking, w.shard)
	if r.Reason == Exhausted {
		a.account.refuseUntil(now + min(r.RetryAfter-h.patience, refusalTime))
	}
	h.refuse(w, r.Reason, r.RetryAfter)
}

// retry asks the next in rank, at first at once, then at intervals.
func (h *Holder) retry(now time.Duration, w *want) {
	w.attempt++
	if w.attempt < candidates {
		h.ask(now, w, h.allowance.open(w.Organisation))
		return
	}
	h.timers.add(min(now+retryInterval, w.until), timerKey{
		request: w.Request,
	})
}

// askDue looks at an item that should have its answer by now.
func (h *Holder) askDue(now time.Duration, number uint64) {
	if a := h.asks[number]; a != nil && !a.queued {
		h.unanswered(now, number)
	}
}

func (h *Holder) unanswered(now time.Duration, number uint64) {
	a := h.asks[number]
	h.suspects[a.way.to] = now + suspicion
	h.abandon(now, number)
	if a.want != nil {
		h.retry(now, a.want)
		return
	}
	a.account.refilled()
}

// abandon gives an open item up: what is granted for it comes back at once if
// the coordinator hears of it, else when it expires.
func (h *Holder) abandon(now time.Duration, number uint64) {
	a := h.asks[number]
	if a == nil {
		return
	}
	h.finish(a, number)
	b := h.openBatch(now, a.way)
	b.ask.Reports = append(b.ask.Reports, Report{
		Number: number,
		Closed: true,
	})
}

func (h *Holder) finish(a *openAsk, number uint64) {
	delete(h.asks, number)
	a.account.advanced(number)
	if a.want != nil {
		a.want.ask = 0
	}
}

// want takes units for a request; if there are none it returns until when the
// organisation is refused.
func (a *account) want(now time.Duration, units int) (Token, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.prune(now)
	a.use.add(now, units)
	return a.take(now, units), a.refusedUntil
}

func (a *account) refuseUntil(at time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.refusedUntil = at
}

// granted adds a grant and takes from it what a request wants.
func (a *account) granted(now time.Duration, g *held, w *want) Token {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.prune(now)
	a.grants = append(a.grants, g)
	a.refusedUntil = 0
	var token Token
	if w != nil {
		token = a.take(now, w.Units)
	}
	a.low = false
	a.mark = 0
	if g.left > 0 {
		a.mark = a.left(now)/2 + 1
	}
	return token
}

// advance is how many units should be asked for beyond those needed now.
func (a *account) advance(now time.Duration, horizon time.Duration) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.advanceAsk != 0 {
		return 0
	}
	return max(0, int(a.use.perSecond(now)*horizon.Seconds())-a.left(now))
}

func (a *account) advancing(number uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advanceAsk = number
}

// advanced notes that an item has its answer.
func (a *account) advanced(number uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.advanceAsk == number {
		a.advanceAsk = 0
	}
}

// refilled ends a refill that brought nothing: the next comes with a request
// that finds no units.
func (a *account) refilled() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.low = false
	a.mark = 0
}
