package quota

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

const (
	// candidates is how many coordinators in rank are tried for a shard.
	candidates = 3
	// suspicion is how long a coordinator that didn't answer is asked last.
	suspicion = time.Second
	// retryInterval is the time between attempts to find a coordinator.
	retryInterval = 25 * time.Millisecond
	// lackingTime is how long a shard may be without a coordinator before
	// requests stop waiting for one.
	lackingTime = 5 * time.Second
	// refusalTime bounds how long a refusal is repeated without asking again.
	refusalTime = 50 * time.Millisecond
)

// Holder gets grants for an Allowance. It is used by one goroutine, while the
// Allowance serves the traffic.
type Holder struct {
	options
	self      instance.ID
	allowance *Allowance
	members   []instance.Info
	ranks     map[share.Shard][]instance.Address
	suspects  map[instance.Address]time.Duration
	// lacking holds since when a shard has had no coordinator.
	lacking map[share.Shard]time.Duration
	number  uint64
	wants   map[uint64]*want
	asks    map[uint64]*openAsk
	batches []batch
	flushAt time.Duration
	timers  timers[timerKey]
	sweep   time.Duration
	effects []Effect
}

// want is a request that waits for units.
type want struct {
	Acquire
	shard share.Shard
	// until is when it is refused at the latest.
	until   time.Duration
	attempt int
	// ask is the number of the open item, or zero.
	ask uint64
	// reason is why the last attempt failed.
	reason Reason
}

// openAsk is an item without an answer.
type openAsk struct {
	way     askWay
	sent    time.Duration
	account *account
	// want is nil if units are asked only in advance.
	want *want
	// queued says that the coordinator lets it wait.
	queued bool
}

// batch is an Ask that is still being filled.
type batch struct {
	way askWay
	ask Ask
}

// timerKey says what is to be looked at: an open item, a want or a grant.
type timerKey struct {
	ask     uint64
	request uint64
	account *account
	held    *held
}

// NewHolder makes the holder of one run of an instance. It fills the allowance.
func NewHolder(self instance.ID, allowance *Allowance, opts ...Option) *Holder {
	return &Holder{
		options:   newOptions(opts),
		self:      self,
		allowance: allowance,
		ranks:     map[share.Shard][]instance.Address{},
		suspects:  map[instance.Address]time.Duration{},
		lacking:   map[share.Shard]time.Duration{},
		wants:     map[uint64]*want{},
		asks:      map[uint64]*openAsk{},
	}
}

// Handle takes an event in and returns what is to be done. It ignores events
// that are a Coordinator's.
func (h *Holder) Handle(now time.Duration, e Event) []Effect {
	switch e := e.(type) {
	case Acquire:
		h.want(now, e)
	case Cancel:
		h.cancel(now, e.Request)
	case Low:
		h.refill(now, e.Organisation)
	case Settled:
		h.settled(now, e.Token)
	case MembersChanged:
		h.membersChanged(now, e.Members)
	case Received:
		if a, ok := e.Message.(Answer); ok {
			h.answered(now, e.From, a)
		}
	}
	h.tick(now)
	effects := h.effects
	h.effects = nil
	return effects
}

// Next is when Handle wants a Tick; zero for never.
func (h *Holder) Next() time.Duration {
	return earliest(h.flushAt, h.timers.next(), h.sweep)
}

// Waiting is the number of requests that wait for units.
func (h *Holder) Waiting() int {
	return len(h.wants)
}

func (h *Holder) tick(now time.Duration) {
	for {
		k, ok := h.timers.due(now)
		if !ok {
			break
		}
		switch {
		case k.ask != 0:
			h.askDue(now, k.ask)
		case k.held != nil:
			h.closeHeld(now, k.account, k.held)
		default:
			h.wantDue(now, k.request)
		}
	}
	if h.sweep != 0 && now >= h.sweep {
		h.sweep = now + sweepInterval
		h.allowance.dropIdle(now)
	}
	if h.flushAt != 0 && (now >= h.flushAt || h.batch == 0) {
		h.flush()
	}
}

// want serves a request from what is held, or asks for it.
func (h *Holder) want(now time.Duration, e Acquire) {
	if h.sweep == 0 {
		h.sweep = now + sweepInterval
	}
	a := h.allowance.open(e.Organisation)
	token, refused := a.want(now, e.Units)
	w := &want{
		Acquire: e,
		shard:   a.shard,
		until:   h.patienceEnd(now, a.shard, e.Deadline),
		reason:  Unreachable,
	}
	switch {
	case token.held != nil:
		h.admit(e.Request, token)
	case refused > now:
		h.refuse(w, Exhausted, refused-now)
	case len(h.wants) >= h.queueLength || w.until <= now:
		h.refuse(w, Overloaded, retryInterval)
	default:
		h.wants[e.Request] = w
		h.timers.add(w.until, timerKey{
			request: e.Request,
		})
		h.ask(now, w, a)
	}
}

// patienceEnd is how long a request may wait: not long, and hardly at all if
// nobody has coordinated the shard for some time.
func (h *Holder) patienceEnd(now time.Duration, s share.Shard, deadline time.Duration) time.Duration {
	until := now + h.takeoverWait
	if since, ok := h.lacking[s]; ok && now > since+lackingTime {
		until = now + min(h.takeoverWait, h.answerWait)
	}
	if deadline != 0 {
		until = min(until, deadline)
	}
	return until
}

func (h *Holder) cancel(now time.Duration, request uint64) {
	w := h.wants[request]
	if w == nil {
		return
	}
	delete(h.wants, request)
	h.abandon(now, w.ask)
}

// wantDue tries again or gives up.
func (h *Holder) wantDue(now time.Duration, request uint64) {
	w := h.wants[request]
	switch {
	case w == nil:
	case now >= w.until:
		h.abandon(now, w.ask)
		h.giveUp(now, w)
	case w.ask == 0:
		h.ask(now, w, h.allowance.open(w.Organisation))
	}
}

// giveUp refuses a request for lack of a coordinator.
func (h *Holder) giveUp(now time.Duration, w *want) {
	if _, ok := h.lacking[w.shard]; !ok && w.reason != Exhausted {
		h.lacking[w.shard] = now
	}
	h.refuse(w, w.reason, time.Second)
}

func (h *Holder) admit(request uint64, token Token) {
	delete(h.wants, request)
	h.effects = append(h.effects, Admitted{
		Request: request,
		Token:   token,
	})
}

func (h *Holder) refuse(w *want, reason Reason, after time.Duration) {
	delete(h.wants, w.Request)
	h.effects = append(h.effects, Refused{
		Request:    w.Request,
		Reason:     reason,
		RetryAfter: after,
	})
}

// settled reports what became of a token.
func (h *Holder) settled(now time.Duration, t Token) {
	if t.held == nil {
		return
	}
	t.account.mutex.Lock()
	defer t.account.mutex.Unlock()
	h.report(now, t.held, t.held.taken == 0)
}

// report sends a report of a grant in the next message on its way. If the grant
// is closed, nothing more is taken from it.
func (h *Holder) report(now time.Duration, g *held, closed bool) {
	if closed {
		g.left = 0
	}
	g.reported = g.used
	b := h.openBatch(now, g.way)
	b.ask.Reports = append(b.ask.Reports, Report{
		Number: g.number,
		Used:   g.used,
		Closed: closed,
	})
}

// closeHeld returns what is left of a grant in advance that nears its end.
func (h *Holder) closeHeld(now time.Duration, a *account, g *held) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if g.left > 0 && g.taken == 0 && now < g.until {
		h.report(now, g, true)
	}
	a.prune(now)
}

func (h *Holder) membersChanged(now time.Duration, members []instance.Info) {
	h.members = slices.Clone(members)
	clear(h.ranks)
	var lost []uint64
	for number, a := range h.asks {
		gone := !slices.ContainsFunc(members, func(m instance.Info) bool {
			return m.Address == a.way.to
		})
		if gone {
			lost = append(lost, number)
		}
	}
	slices.Sort(lost)
	for _, number := range lost {
		h.unanswered(now, number)
	}
}
