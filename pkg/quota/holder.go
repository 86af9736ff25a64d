package quota

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

const (
	// candidates is how many coordinators in rank are tried for a shard.
	maxCandidates = 3
	// suspicion is how long a coordinator that didn't answer is asked last.
	suspicionTime = time.Second
	// retryInterval is the time between attempts to find a coordinator.
	retryInterval = 25 * time.Millisecond
	// lackingTime is how long a shard may be without a coordinator before
	// requests stop waiting for one.
	uncoordinatedTime = 5 * time.Second
	// refusalTime bounds how long a refusal is repeated without asking again.
	maxRefusalTime = 50 * time.Millisecond
)

// Holder gets grants for an Allowance. It is used by one goroutine, while the
// Allowance serves the traffic.
type Holder struct {
	options
	self           instance.ID
	allowance      *Allowance
	members        []instance.Info
	ranks          map[share.Shard][]instance.Address
	suspectedUntil map[instance.Address]time.Duration
	// lacking holds since when a shard has had no coordinator.
	uncoordinatedSince map[share.Shard]time.Duration
	lastNumber         uint64
	pending            map[uint64]*pendingRequest
	asks               map[uint64]*openAsk
	batches            []batch
	flushAt            time.Duration
	timers             timers[timerKey]
	nextSweep          time.Duration
	effects            []Effect
}

// want is a request that waits for units.
type pendingRequest struct {
	Acquire
	shard share.Shard
	// until is when it is refused at the latest.
	giveUpAt time.Duration
	attempt  int
	// ask is the number of the open item, or zero.
	ask uint64
	// reason is why the last attempt failed.
	reason Reason
}

// openAsk is an item without an answer.
type openAsk struct {
	route   askRoute
	sent    time.Duration
	account *account
	// want is nil if units are asked only in advance.
	request *pendingRequest
	// queued says that the coordinator lets it wait.
	queued bool
}

// batch is an Ask that is still being filled.
type batch struct {
	route askRoute
	ask   Ask
}

// timerKey says what is to be looked at: an open item, a want or a grant.
type timerKey struct {
	ask     uint64
	request uint64
	account *account
	grant   *heldGrant
}

// NewHolder makes the holder of one run of an instance. It fills the allowance.
func NewHolder(self instance.ID, allowance *Allowance, opts ...Option) *Holder {
	return &Holder{
		options:            newOptions(opts),
		self:               self,
		allowance:          allowance,
		ranks:              map[share.Shard][]instance.Address{},
		suspectedUntil:     map[instance.Address]time.Duration{},
		uncoordinatedSince: map[share.Shard]time.Duration{},
		pending:            map[uint64]*pendingRequest{},
		asks:               map[uint64]*openAsk{},
	}
}

// Handle takes an event in and returns what is to be done. It ignores events
// that are a Coordinator's.
func (h *Holder) Handle(now time.Duration, e Event) []Effect {
	switch e := e.(type) {
	case Acquire:
		h.acquire(now, e)
	case Cancel:
		h.cancel(now, e.Request)
	case Low:
		h.refill(now, e.Organisation)
	case Settled:
		h.handleSettled(now, e.Token)
	case MembersChanged:
		h.membersChanged(now, e.Members)
	case Received:
		if a, ok := e.Message.(Answer); ok {
			h.handleAnswer(now, e.From, a)
		}
	}
	h.tick(now)
	effects := h.effects
	h.effects = nil
	return effects
}

// Next is when Handle wants a Tick; zero for never.
func (h *Holder) Next() time.Duration {
	return earliest(h.flushAt, h.timers.next(), h.nextSweep)
}

// Waiting is the number of requests that wait for units.
func (h *Holder) Waiting() int {
	return len(h.pending)
}

func (h *Holder) tick(now time.Duration) {
	for {
		k, ok := h.timers.popDue(now)
		if !ok {
			break
		}
		switch {
		case k.ask != 0:
			h.checkAnswered(now, k.ask)
		case k.grant != nil:
			h.closeGrant(now, k.account, k.grant)
		default:
			h.retryOrRefuse(now, k.request)
		}
	}
	if h.nextSweep != 0 && now >= h.nextSweep {
		h.nextSweep = now + sweepInterval
		h.allowance.dropIdle(now)
	}
	if h.flushAt != 0 && (now >= h.flushAt || h.batchDelay == 0) {
		h.flush()
	}
}

// want serves a request from what is held, or asks for it.
func (h *Holder) acquire(now time.Duration, e Acquire) {
	if h.nextSweep == 0 {
		h.nextSweep = now + sweepInterval
	}
	a := h.allowance.findOrAdd(e.Organisation)
	token, refused := a.acquire(now, e.Units)
	w := &pendingRequest{
		Acquire:  e,
		shard:    a.shard,
		giveUpAt: h.waitLimit(now, a.shard, e.Deadline),
		reason:   Unreachable,
	}
	switch {
	case token.grant != nil:
		h.admit(e.Request, token)
	case refused > now:
		h.refuse(w, Exhausted, refused-now)
	case len(h.pending) >= h.maxQueueLength || w.giveUpAt <= now:
		h.refuse(w, Overloaded, retryInterval)
	default:
		h.pending[e.Request] = w
		h.timers.add(w.giveUpAt, timerKey{
			request: e.Request,
		})
		h.ask(now, w, a)
	}
}

// patienceEnd is how long a request may wait: not long, and hardly at all if
// nobody has coordinated the shard for some time.
func (h *Holder) waitLimit(now time.Duration, s share.Shard, deadline time.Duration) time.Duration {
	until := now + h.maxTakeoverWait
	if since, ok := h.uncoordinatedSince[s]; ok && now > since+uncoordinatedTime {
		until = now + min(h.maxTakeoverWait, h.answerTimeout)
	}
	if deadline != 0 {
		until = min(until, deadline)
	}
	return until
}

func (h *Holder) cancel(now time.Duration, request uint64) {
	w := h.pending[request]
	if w == nil {
		return
	}
	delete(h.pending, request)
	h.abandon(now, w.ask)
}

// wantDue tries again or gives up.
func (h *Holder) retryOrRefuse(now time.Duration, request uint64) {
	w := h.pending[request]
	switch {
	case w == nil:
	case now >= w.giveUpAt:
		h.abandon(now, w.ask)
		h.giveUp(now, w)
	case w.ask == 0:
		h.ask(now, w, h.allowance.findOrAdd(w.Organisation))
	}
}

// giveUp refuses a request for lack of a coordinator.
func (h *Holder) giveUp(now time.Duration, w *pendingRequest) {
	if _, ok := h.uncoordinatedSince[w.shard]; !ok && w.reason != Exhausted {
		h.uncoordinatedSince[w.shard] = now
	}
	h.refuse(w, w.reason, time.Second)
}

func (h *Holder) admit(request uint64, token Token) {
	delete(h.pending, request)
	h.effects = append(h.effects, Admitted{
		Request: request,
		Token:   token,
	})
}

func (h *Holder) refuse(w *pendingRequest, reason Reason, after time.Duration) {
	delete(h.pending, w.Request)
	h.effects = append(h.effects, Refused{
		Request:    w.Request,
		Reason:     reason,
		RetryAfter: after,
	})
}

// settled reports what became of a token.
func (h *Holder) handleSettled(now time.Duration, t Token) {
	if t.grant == nil {
		return
	}
	t.account.mutex.Lock()
	defer t.account.mutex.Unlock()
	h.report(now, t.grant, t.grant.reserved == 0)
}

// report sends a report of a grant in the next message on its way. If the grant
// is closed, nothing more is taken from it.
func (h *Holder) report(now time.Duration, g *heldGrant, closed bool) {
	if closed {
		g.available = 0
	}
	g.reported = g.used
	b := h.openBatch(now, g.route)
	b.ask.Reports = append(b.ask.Reports, Report{
		Number: g.number,
		Used:   g.used,
		Closed: closed,
	})
}

// closeHeld returns what is left of a grant in advance that nears its end.
func (h *Holder) closeGrant(now time.Duration, a *account, g *heldGrant) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if g.available > 0 && g.reserved == 0 && now < g.expires {
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
			return m.Address == a.route.to
		})
		if gone {
			lost = append(lost, number)
		}
	}
	slices.Sort(lost)
	for _, number := range lost {
		h.handleUnanswered(now, number)
	}
}
