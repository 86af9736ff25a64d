package entry

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/forward"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/keepalive"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

// Limits of attempts.
const (
	// defaultMaxSentAttempts limits how many attempts of a request are sent to
	// targets, on routes that set no limit.
	defaultMaxSentAttempts = 3
	// maxUnsentAttempts limits the additional attempts of which no byte was sent.
	// In all, a request gets at most defaultMaxSentAttempts + maxUnsentAttempts
	// attempts, whatever limit its route sets.
	maxUnsentAttempts = 3
	maxAttempts       = defaultMaxSentAttempts + maxUnsentAttempts
	// firstAttemptPercent is the share of the time left that the first attempt
	// of a repeatable request may take, so that time for another attempt remains
	// if the target hangs.
	firstAttemptPercent = 60
)

// attemptOutcome is the result of an attempt: usableAnswer or failedAttempt.
type attemptOutcome interface{ attemptOutcome() }

// usableAnswer is the outcome of an attempt whose answer goes to the caller.
type usableAnswer struct {
	answer *answer
	// leavingTarget is as in failedAttempt.
	leavingTarget string
}

// failedAttempt is the outcome of an attempt that may be retried.
type failedAttempt struct {
	outcome target.Outcome
	// mayHaveRun is set unless it is certain that the target didn't run the
	// request.
	mayHaveRun bool
	// crashedTarget is the name of the target whose connection broke after the
	// request was sent; empty if none did.
	crashedTarget string
	// refusal is what the caller gets if there is no further attempt and no
	// fallback.
	refusal *Refusal
	// fallback is the target's own error answer; the caller gets it if there is
	// no further attempt.
	fallback *answer
	// target is the name of the target, if the attempt was at one.
	target string
	// unsent is set if the attempt ended before it was sent anywhere.
	unsent bool
	// leavingTarget is the target, if it has announced in its answer that it is leaving.
	leavingTarget string
	// relayed is what became of the attempt at another instance, if it went through one.
	relayed *relayedAttempts
}

func (usableAnswer) attemptOutcome()  {}
func (failedAttempt) attemptOutcome() {}

// countAttempt counts a failed attempt, unless it was sent nowhere or didn't reach its
// target.
func (x *exchange) countAttempt(failed failedAttempt) {
	switch {
	case failed.relayed != nil:
		x.countRelayedAttempts(*failed.relayed)
	case failed.unsent:
	case failed.outcome == target.Refused:
		x.unreached = true
	default:
		x.sentAttempts++
		if failed.target != "" {
			x.sentTargets = append(x.sentTargets, failed.target)
		}
	}
}

// shouldRetry decides whether attempt n, which failed, is followed by another, and
// charges the retry budget for it unless granted is set.
func (x *exchange) shouldRetry(ctx context.Context, n int, failure failedAttempt, granted bool) bool {
	switch {
	case x.sentAttempts >= x.maxSentAttempts(), n >= maxAttempts, ctx.Err() != nil, failure.outcome == target.Cancelled:
		return false
	case !time.Now().Before(x.deadline):
		return false
	case failure.mayHaveRun && !x.repeatable:
		return false
	case granted:
		return true
	}
	return x.handler.deps.Dispatcher.Retry(ctx, x.service, retry.Attempt{
		Number:       n,
		Outcome:      failure.outcome,
		Repeatable:   x.repeatable,
		Left:         time.Until(x.deadline),
		Organisation: x.organisation,
		Route:        x.route,
	})
}

// maxSentAttempts returns how many attempts of the request may reach a target. It compares
// with sentAttempts.
func (x *exchange) maxSentAttempts() int {
	most := allowedAttempts(x.route)
	if s := x.handler.deps.Snapshots.Current(); s != x.snapshot && s.Index != nil {
		// A document that has come into force meanwhile may allow fewer.
		route := selectRoute(s.Index, x.request).Route
		if route != nil && route.Name == x.route.Name {
			most = min(most, allowedAttempts(route))
		}
	}
	if r := x.relayed; r != nil && r.share > 0 {
		return r.sentAttempts + min(r.share, most-r.earlierAttempts)
	}
	return most
}

// allowedAttempts returns how many attempts of a request on a route may reach a target.
func allowedAttempts(r *document.Route) int {
	if r.Attempts > 0 {
		return r.Attempts
	}
	return defaultMaxSentAttempts
}

// attemptAtTarget returns attempt n at a target, and after which time its answer is overdue;
// or the failure if there is no target. beside is as in place.
func (x *exchange) attemptAtTarget(ctx context.Context, n int, beside bool) (attempt, time.Duration, *failedAttempt) {
	p, failed := x.place(ctx, n, beside)
	if failed != nil {
		return nil, 0, failed
	}
	return p, p.slot.OverdueAfter(), nil
}

// recordCrash reports to the quarantine that the request crashed a target, and
// returns whether it may run once more.
func (x *exchange) recordCrash(ctx context.Context, crashedTarget string) bool {
	x.releasePermit(crashedTarget)
	if !x.repeatable {
		return false
	}
	return x.acquirePermit(ctx) == nil
}

// refusalAfterAttempts returns err as a refusal. The refusal says that the request
// may have run if that holds for an earlier attempt.
func (x *exchange) refusalAfterAttempts(err error) error {
	refusal := asRefusal(err)
	if !x.mayHaveRun || refusal.MayHaveRun {
		return refusal
	}
	changed := *refusal
	changed.MayHaveRun = true
	return &changed
}

// place chooses a target for attempt n. beside says that the attempt is to run beside another
// one. It returns the failure if there is no target.
func (x *exchange) place(ctx context.Context, n int, beside bool) (*placedAttempt, *failedAttempt) {
	slot, err := x.handler.deps.Dispatcher.Acquire(ctx, SlotRequest{
		Organisation: x.organisation,
		Route:        x.route,
		Service:      x.service,
		Cost:         x.route.CostUnits(),
		Repeatable:   x.repeatable,
		TriedTargets: x.triedTargets,
		Counted:      x.counted,
		Unreached:    x.unreached,
		Beside:       beside,
		Deadline:     x.deadline,
		Permit:       x.permit,
	})
	if err != nil {
		return nil, unsentFailure(err)
	}
	if err := x.renewGrant(ctx); err != nil {
		slot.Release(AttemptResult{
			Outcome: target.Cancelled,
		})
		return nil, unsentFailure(err)
	}
	x.counted = true
	x.triedTargets = append(x.triedTargets, slot.Target().Name)
	x.handler.metrics.attempts.Inc(1)
	x.logAttempt(slot, n)
	p := &placedAttempt{
		exchange: x,
		slot:     slot,
		began:    time.Now(),
		id:       x.attemptID(n),
		newConnection: !x.handler.mayReuseConnection(keepalive.Request{
			Repeatable: x.repeatable,
			Retry:      x.earlierAttempts() > 0 || beside,
			Suspect:    x.permit.Suspect(),
		}),
	}
	p.request = p.newRequest()
	// The answer's body is read after send returns, with the same context.
	p.ctx, p.cancel = x.attemptContext(ctx, n, slot.OverdueAfter())
	return p, nil
}

// unsentFailure returns the failure of an attempt that was sent nowhere.
func unsentFailure(err error) *failedAttempt {
	return &failedAttempt{
		outcome: target.Cancelled,
		refusal: asRefusal(err),
		unsent:  true,
	}
}

// renewGrant asks for a new grant if the present one has lapsed while the request
// waited for its slot or its connection.
func (x *exchange) renewGrant(ctx context.Context) error {
	x.grantMu.Lock()
	defer x.grantMu.Unlock()
	if x.grant == nil || x.grantSpent || x.grant.Valid() {
		return nil
	}
	x.grant.Return()
	x.grant = nil
	return x.admit(ctx)
}

// attemptContext returns the context of attempt n. It ends at the permit's deadline
// at the latest. The first attempt of a repeatable request leaves time for a second
// one, unless the slot gives a time after which one runs beside it.
func (x *exchange) attemptContext(ctx context.Context, n int, overdueAfter time.Duration) (context.Context, context.CancelFunc) {
	limit := x.deadline
	if x.repeatable && overdueAfter <= 0 && n == 1 {
		limit = time.Now().Add(time.Until(limit) * firstAttemptPercent / 100)
	}
	if deadline := x.permit.Deadline(); !deadline.IsZero() && deadline.Before(limit) {
		limit = deadline
	}
	return context.WithDeadline(ctx, limit)
}

// retryOverdue asks for a retry of attempt n, whose answer is overdue. The targets in the list were
// tried.
func (x *exchange) retryOverdue(ctx context.Context, n int, tried []string) bool {
	return x.handler.deps.Dispatcher.Retry(ctx, x.service, retry.Attempt{
		Number:       n,
		Outcome:      target.TimedOut,
		Repeatable:   true,
		Beside:       true,
		Tried:        tried,
		Left:         time.Until(x.deadline),
		Organisation: x.organisation,
		Route:        x.route,
	})
}

// attemptID returns the id of attempt n, which the target echoes in its answer.
func (x *exchange) attemptID(n int) string {
	if x.handler.dialect.ForwardCallerIDs {
		return x.id
	}
	return x.id + "-" + strconv.Itoa(n)
}

// checkBeforeSend is called just before the first byte of an attempt is sent. It
// first renews the grant, which may take time, and checks everything else
// afterwards, so that the results of the other checks are still current when the
// first byte is sent.
func (x *exchange) checkBeforeSend(ctx context.Context) error {
	if err := x.renewGrant(ctx); err != nil {
		return err
	}
	s := x.handler.deps.Snapshots.Current()
	if !s.Ready() {
		return &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "not-ready",
			RetryAfter: time.Second,
			Elsewhere:  true,
		}
	}
	if !x.route.Open {
		organisation, ok := s.Index.Organisation(x.keyDigest)
		if !ok || organisation != x.organisation {
			return &Refusal{
				Status: http.StatusUnauthorized,
				Reason: "key-withdrawn",
			}
		}
	}
	if x.claim != nil {
		if err := x.claim.Check(); err != nil {
			return err
		}
	}
	return x.spendGrant()
}

// spendGrant spends the grant. It does so once for all attempts of a request.
func (x *exchange) spendGrant() error {
	x.grantMu.Lock()
	defer x.grantMu.Unlock()
	if x.grant == nil || x.grantSpent {
		return nil
	}
	x.grantSpent = true
	return x.grant.Spend()
}

// placedAttempt is an attempt that holds a slot at a target.
type placedAttempt struct {
	exchange *exchange
	slot     Slot
	began    time.Time
	// id is the attempt's id, which the target echoes.
	id string
	// request is what is sent, and newConnection whether that needs a new connection.
	request       *http.Request
	newConnection bool
	// ctx is the attempt's context, and cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	// released is set once the slot has been given back.
	released bool
	// over is set when the attempt ends by itself or because the links are lost, whichever
	// is first.
	over atomic.Bool
}

// abandon implements attempt.
func (p *placedAttempt) abandon() { p.cancel() }

// cutOff ends the attempt because this instance has lost its links to the service, which says
// nothing about the target.
func (p *placedAttempt) cutOff() {
	if p.over.CompareAndSwap(false, true) {
		p.exchange.linksLost.Store(true)
		p.cancel()
	}
}

// send implements attempt.
func (p *placedAttempt) send() attemptOutcome {
	outcome := p.sendContained()
	if p.over.CompareAndSwap(false, true) {
		return outcome
	}
	switch outcome := outcome.(type) {
	case usableAnswer:
		outcome.answer.finish(target.Cancelled)
		return p.cutOffFailure(true)
	case failedAttempt:
		if outcome.fallback != nil {
			return outcome
		}
		return p.cutOffFailure(outcome.mayHaveRun)
	}
	return outcome
}

// cutOffFailure returns the outcome of an attempt that cutOff has ended.
func (p *placedAttempt) cutOffFailure(mayHaveRun bool) failedAttempt {
	failure := failedAttempt{
		outcome:    target.Cancelled,
		target:     p.slot.Target().Name,
		mayHaveRun: true,
		refusal:    mayHaveRunRefusal(UnreachableReason),
	}
	if !mayHaveRun {
		failure.mayHaveRun = false
		failure.unsent = true
		failure.refusal = &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     UnreachableReason,
			RetryAfter: time.Second,
			Elsewhere:  true,
		}
	}
	return failure
}

// sendContained sends the attempt and returns its outcome. An unexpected failure of the program
// is a failure of the attempt.
func (p *placedAttempt) sendContained() attemptOutcome {
	h := p.exchange.handler
	var outcome attemptOutcome
	if !h.contain(func() { outcome = p.exchangeWithTarget() }) {
		if !p.released {
			h.contain(func() {
				p.release(AttemptResult{
					Outcome: target.Cancelled,
				})
			})
		}
		outcome = failedAttempt{
			outcome:    target.Cancelled,
			mayHaveRun: true,
			refusal:    mayHaveRunRefusal(unexpectedFailure),
		}
	}
	if failed, ok := outcome.(failedAttempt); ok {
		failed.target = p.slot.Target().Name
		return failed
	}
	return outcome
}

func (p *placedAttempt) exchangeWithTarget() attemptOutcome {
	ctx := p.ctx
	result := p.exchange.handler.client.Do(ctx, forward.Attempt{
		Address:       p.slot.Target().Address,
		Request:       p.request,
		NewConnection: p.newConnection,
		Gate:          p.exchange.gate(func() error { return p.checkBeforeSend(ctx) }),
	})
	switch r := result.(type) {
	case forward.Answered:
		return p.checkAnswer(ctx, r)
	case forward.Failed:
		failure := p.classifyFailure(ctx, r.Err)
		if failure.outcome == target.Refused {
			p.logUnsent(r.Err)
		}
		outcome := failure.outcome
		if r.Err.Stage == forward.Gated {
			outcome = target.Cancelled
		}
		p.release(AttemptResult{
			Outcome:        outcome,
			Reused:         r.Err.Reused,
			Rested:         r.Err.Rested,
			LostConnection: r.Err.Stage != forward.Gated && !r.Err.Malformed,
		})
		return failure
	}
	return nil
}

// errNotTaken says that a target has asked for rest, or for no more requests, since it was
// chosen.
var errNotTaken = errors.New("target takes no requests now")

// gate returns check, contained: the HTTP client calls it in a goroutine of its own.
func (x *exchange) gate(check func() error) func() error {
	return func() (err error) {
		if !x.handler.contain(func() { err = check() }) {
			return &Refusal{
				Status:     http.StatusServiceUnavailable,
				Reason:     unexpectedFailure,
				RetryAfter: time.Second,
			}
		}
		return err
	}
}

// checkBeforeSend is called just before the first byte is sent.
func (p *placedAttempt) checkBeforeSend(ctx context.Context) error {
	if err := p.exchange.checkBeforeSend(ctx); err != nil {
		return err
	}
	if !p.slot.MaySend() {
		return errNotTaken
	}
	return nil
}

// release ends the attempt's context and gives the slot back.
func (p *placedAttempt) release(r AttemptResult) {
	p.cancel()
	p.released = true
	r.Latency = time.Since(p.began)
	p.slot.Release(r)
}

// newRequest returns the request that this attempt sends.
func (p *placedAttempt) newRequest() *http.Request {
	x := p.exchange
	out := &http.Request{
		Method: x.out.Method,
		URL:    cloneURL(x.out),
		Host:   x.out.Host,
		Header: x.out.Header.Clone(),
	}
	d := x.handler.dialect
	out.Header.Set(d.RequestIDHeader, p.id)
	if d.ExpectedTargetHeader != "" {
		out.Header.Set(d.ExpectedTargetHeader, p.slot.Target().Name)
	}
	left := max(time.Until(x.deadline).Milliseconds(), 1)
	out.Header.Set(d.TimeoutHeader, strconv.FormatInt(left, 10))
	x.setBody(out)
	return out
}

func cloneURL(r *http.Request) *url.URL {
	u := *r.URL
	return &u
}

// setBody gives a request the body that the caller sent.
func (x *exchange) setBody(out *http.Request) {
	if x.body.size > 0 {
		out.Body = io.NopCloser(x.body.reader())
		out.ContentLength = x.body.size
	}
}

// classifyFailure returns the outcome of an attempt that got no response.
func (p *placedAttempt) classifyFailure(ctx context.Context, err *forward.Error) failedAttempt {
	var refusal *Refusal
	switch {
	case err.Stage == forward.Gated && errors.Is(err, errNotTaken):
		return p.unsentFailure(err)
	case err.Stage == forward.Gated && errors.As(err, &refusal):
		return failedAttempt{
			outcome: target.Cancelled,
			refusal: refusal,
			unsent:  true,
		}
	case err.Stage != forward.Sent:
		return p.unsentFailure(err)
	case ctx.Err() != nil:
		return p.exchange.timeoutFailure()
	case err.Malformed:
		reason := malformedAnswer
		if err.Interim {
			reason = invalidStatus
		}
		return failedAttempt{
			outcome:    target.Truncated,
			mayHaveRun: true,
			refusal:    mayHaveRunRefusal(reason),
		}
	case err.Reused && p.exchange.handler.recordDeadConnection(time.Since(p.began)):
		return failedAttempt{
			outcome:    target.Disconnected,
			mayHaveRun: true,
			refusal:    mayHaveRunRefusal("target-disconnected"),
		}
	default:
		return failedAttempt{
			outcome:       target.Crashed,
			mayHaveRun:    true,
			crashedTarget: p.slot.Target().Name,
			refusal:       mayHaveRunRefusal("target-connection-died"),
		}
	}
}

// unsentFailure returns the outcome of an attempt of which no byte was sent.
func (p *placedAttempt) unsentFailure(err *forward.Error) failedAttempt {
	outcome := target.Refused
	if p.exchange.isGivenUp() {
		outcome = target.Cancelled
	}
	return failedAttempt{
		outcome: outcome,
		refusal: &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "target-" + err.Stage.String(),
			RetryAfter: time.Second,
		},
	}
}

// isGivenUp reports whether the caller has left, the instance ends or it has lost its links,
// none of which says anything about a target.
func (x *exchange) isGivenUp() bool {
	return x.request.Context().Err() != nil || x.handler.givenUp.Err() != nil || x.linksLost.Load()
}

// timeoutFailure returns the outcome of a sent attempt whose context ended: at its
// deadline, or because the caller went away.
func (x *exchange) timeoutFailure() failedAttempt {
	outcome := target.TimedOut
	if x.isGivenUp() {
		outcome = target.Cancelled
	}
	refusal := mayHaveRunRefusal("timeout")
	refusal.Status = http.StatusGatewayTimeout
	return failedAttempt{
		outcome:    outcome,
		mayHaveRun: true,
		refusal:    refusal,
	}
}

// mayHaveRunRefusal returns a refusal that says that the request may have run.
func mayHaveRunRefusal(reason string) *Refusal {
	return &Refusal{
		Status:     http.StatusBadGateway,
		Reason:     reason,
		MayHaveRun: true,
		RetryAfter: time.Second,
	}
}
