package quota

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

const (
	// maxCandidates is the number of coordinators in rank that are asked for a
	// shard.
	maxCandidates = 3
	// suspicionTime is how long a coordinator that didn't answer is asked last.
	suspicionTime = time.Second
	// retryInterval is the time between attempts to find a coordinator.
	retryInterval = 25 * time.Millisecond
	// uncoordinatedTime is how long a shard may be without a coordinator before
	// requests stop waiting for one.
	uncoordinatedTime = 5 * time.Second
	// maxRefusalTime bounds how long a refusal is repeated without asking
	// again.
	maxRefusalTime = 50 * time.Millisecond
)

// Holder gets grants from coordinators for an Allowance, which serves the
// traffic. It is not safe for concurrent use.
type Holder struct {
	options
	self           instance.ID
	allowance      *Allowance
	members        []instance.Info
	ranks          map[share.Shard][]instance.Address
	suspectedUntil map[instance.Address]time.Duration
	// uncoordinatedSince holds the time since which a shard has had no
	// coordinator.
	uncoordinatedSince map[share.Shard]time.Duration
	lastNumber         uint64
	pending            map[uint64]*pendingRequest
	// openItems holds the open items by their numbers.
	openItems map[uint64]*openItem
	batches   []batch
	flushAt   time.Duration
	timers    timers[timerKey]
	nextSweep time.Duration
	effects   []Effect
}

// pendingRequest is a request that waits for units.
type pendingRequest struct {
	Acquire
	shard share.Shard
	// giveUpAt is when the request is refused at the latest.
	giveUpAt time.Duration
	attempt  int
	// item is the number of the open item, or zero.
	item uint64
	// reason is why the last attempt failed.
	reason Reason
}

// openItem is an item that has no answer yet.
type openItem struct {
	route   askRoute
	sent    time.Duration
	account *account
	// request is nil if only prefetched units are asked for.
	request *pendingRequest
	// queued says that the item waits in the coordinator's queue.
	queued bool
}

// batch is an Ask that is still being filled.
type batch struct {
	route askRoute
	ask   Ask
}

// timerKey says what a timer is for: an open item, a pending request or a
// grant.
type timerKey struct {
	item    uint64
	request uint64
	account *account
	grant   *heldGrant
}

// NewHolder returns the holder of one run of an instance. It adds its grants to
// the allowance.
func NewHolder(self instance.ID, allowance *Allowance, opts ...Option) *Holder {
	return &Holder{
		options:            newOptions(opts),
		self:               self,
		allowance:          allowance,
		ranks:              map[share.Shard][]instance.Address{},
		suspectedUntil:     map[instance.Address]time.Duration{},
		uncoordinatedSince: map[share.Shard]time.Duration{},
		pending:            map[uint64]*pendingRequest{},
		openItems:          map[uint64]*openItem{},
	}
}

// Handle processes an event at the time now and returns the effects to carry
// out. It ignores events that are for a Coordinator.
func (h *Holder) Handle(now time.Duration, e Event) []Effect {
	switch e := e.(type) {
	case Acquire:
		h.acquire(now, e)
	case Cancel:
		h.cancel(now, e.Request)
	case Low:
		h.prefetch(now, e.Organisation)
	case Settled:
		h.handleSettled(now, e.Token)
	case MembersChanged:
		h.membersChanged(now, e.Members)
	case Received:
		if answer, ok := e.Message.(Answer); ok {
			h.handleAnswer(now, e.From, answer)
		}
	}
	h.tick(now)
	effects := h.effects
	h.effects = nil
	return effects
}

// Next returns the time at which Handle must get a Tick; zero means none.
func (h *Holder) Next() time.Duration {
	return earliest(h.flushAt, h.timers.next(), h.nextSweep)
}

// Waiting returns the number of requests that wait for units.
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
		case k.item != 0:
			h.checkAnswered(now, k.item)
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

// acquire serves a request from the held grants, or asks a coordinator for its
// units.
func (h *Holder) acquire(now time.Duration, e Acquire) {
	if h.nextSweep == 0 {
		h.nextSweep = now + sweepInterval
	}
	a := h.allowance.findOrAdd(e.Organisation)
	token, refused := a.acquire(now, e.Units)
	p := &pendingRequest{
		Acquire:  e,
		shard:    a.shard,
		giveUpAt: h.giveUpTime(now, a.shard, e.Deadline),
		reason:   Unreachable,
	}
	switch {
	case token.grant != nil:
		h.admit(e.Request, token)
	case refused > now:
		h.refuse(p, Exhausted, refused-now)
	case len(h.pending) >= h.maxQueueLength || p.giveUpAt <= now:
		h.refuse(p, Overloaded, retryInterval)
	default:
		h.pending[e.Request] = p
		h.timers.add(p.giveUpAt, timerKey{
			request: e.Request,
		})
		h.askFor(now, p, a)
	}
}

// giveUpTime returns when a request is refused at the latest: after
// maxTakeoverWait, but after answerTimeout at most if the shard has had no
// coordinator for uncoordinatedTime, and never after the deadline. A deadline of
// zero means none.
func (h *Holder) giveUpTime(now time.Duration, s share.Shard, deadline time.Duration) time.Duration {
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
	p := h.pending[request]
	if p == nil {
		return
	}
	delete(h.pending, request)
	h.abandon(now, p.item)
}

// retryOrRefuse asks again for a request, or refuses it if its time is up.
func (h *Holder) retryOrRefuse(now time.Duration, request uint64) {
	p := h.pending[request]
	switch {
	case p == nil:
	case now >= p.giveUpAt:
		h.abandon(now, p.item)
		h.giveUp(now, p)
	case p.item == 0:
		h.askFor(now, p, h.allowance.findOrAdd(p.Organisation))
	}
}

// giveUp refuses a request whose time is up.
func (h *Holder) giveUp(now time.Duration, p *pendingRequest) {
	if _, ok := h.uncoordinatedSince[p.shard]; !ok && p.reason != Exhausted {
		h.uncoordinatedSince[p.shard] = now
	}
	h.refuse(p, p.reason, time.Second)
}

// admit lets a request run.
func (h *Holder) admit(request uint64, token Token) {
	delete(h.pending, request)
	h.effects = append(h.effects, Admitted{
		Request: request,
		Token:   token,
	})
}

func (h *Holder) refuse(p *pendingRequest, reason Reason, after time.Duration) {
	delete(h.pending, p.Request)
	h.effects = append(h.effects, Refused{
		Request:    p.Request,
		Reason:     reason,
		RetryAfter: after,
	})
}

// handleSettled reports what became of a token.
func (h *Holder) handleSettled(now time.Duration, t Token) {
	if t.grant == nil {
		return
	}
	t.account.mutex.Lock()
	defer t.account.mutex.Unlock()
	h.report(now, t.grant, t.grant.reserved == 0)
}

// report adds a report on a grant to the next message on the grant's route. If
// the grant is closed, nothing more is taken from it.
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

// closeGrant returns the remaining units of a prefetched grant that is about to
// expire.
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
	for number, item := range h.openItems {
		gone := !slices.ContainsFunc(members, func(m instance.Info) bool {
			return m.Address == item.route.to
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
