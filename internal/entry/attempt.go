package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/forward"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

// Limits of attempts.
const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// maxUnsentAttempts bounds the further attempts that reached no target.
	maxUnsentAttempts = 3
	// firstAttemptPercent is the part of the time left that the first attempt
	// of a repeatable request may take, so that a hanging target leaves time
	// for another.
	firstAttemptPercent = 60
)

// attemptOutcome is how one attempt ended: usable, or failed.
type attemptOutcome interface{ attemptOutcome() }

// usableAnswer is an answer for the caller.
type usableAnswer struct {
	answer *answer
}

// failedAttempt is an attempt without an answer for the caller.
type failedAttempt struct {
	outcome target.Outcome
	// mayHaveRun is set unless it is certain that the attempt mayHaveRun nothing.
	mayHaveRun bool
	// crashedTarget is the target whose connection died under the request, if one
	// did.
	crashedTarget string
	// refusal is what the caller gets if there is no further attempt.
	refusal *Refusal
	// fallback is the target's own answer, if that is better than refusal.
	fallback *answer
}

func (usableAnswer) attemptOutcome()  {}
func (failedAttempt) attemptOutcome() {}

// run makes attempts until one gives an answer or no further one is allowed.
func (x *exchange) run(ctx context.Context) (*answer, error) {
	for n := 1; ; n++ {
		switch e := x.attempt(ctx, n).(type) {
		case usableAnswer:
			x.mayHaveRun = true
			x.answered = true
			return e.answer, nil
		case failedAttempt:
			x.mayHaveRun = x.mayHaveRun || e.mayHaveRun
			if e.outcome != target.Refused {
				x.sentAttempts++
			}
			if x.shouldRetry(ctx, n, e) {
				e.fallback.discard()
				continue
			}
			if e.fallback != nil {
				return e.fallback, nil
			}
			return nil, e.refusal
		}
	}
}

// shouldRetry decides whether a failed attempt is followed by another.
func (x *exchange) shouldRetry(ctx context.Context, n int, e failedAttempt) bool {
	if e.crashedTarget != "" && !x.recordCrash(ctx, e.crashedTarget) {
		return false
	}
	switch {
	case x.sentAttempts >= x.maxSentAttempts(), n >= maxAttempts+maxUnsentAttempts, ctx.Err() != nil, e.outcome == target.Cancelled:
		return false
	case e.mayHaveRun && !x.repeatable:
		return false
	case x.retryGranted.Swap(false):
		return true
	}
	return x.handler.deps.Dispatch.Retry(ctx, x.service, retry.Attempt{
		Number:     n,
		Outcome:    e.outcome,
		Repeatable: x.repeatable,
	})
}

// maxSentAttempts bounds the targets that one request is sent to.
func (x *exchange) maxSentAttempts() int {
	if x.route.Attempts > 0 {
		return x.route.Attempts
	}
	return maxAttempts
}

// recordCrash counts a strike and asks whether the request may run once more.
func (x *exchange) recordCrash(ctx context.Context, target string) bool {
	x.releasePermit(target)
	if !x.repeatable {
		return false
	}
	return x.acquirePermit(ctx) == nil
}

// withEarlierAttempts makes a refusal tell what earlier attempts may have run.
func (x *exchange) withEarlierAttempts(err error) error {
	refusal := asRefusal(err)
	if !x.mayHaveRun || refusal.MayHaveRun {
		return refusal
	}
	changed := *refusal
	changed.MayHaveRun = true
	return &changed
}

// attempt sends the request to one target, once.
func (x *exchange) attempt(ctx context.Context, n int) attemptOutcome {
	slot, err := x.handler.deps.Dispatch.Acquire(ctx, SlotRequest{
		Organisation: x.organisation,
		Route:        x.route,
		Service:      x.service,
		Cost:         x.route.CostUnits(),
		Repeatable:   x.repeatable,
		TriedTargets: x.triedTargets,
		Deadline:     x.deadline,
	})
	if err != nil {
		return failedAttempt{
			outcome: target.Cancelled,
			refusal: asRefusal(err),
		}
	}
	if err := x.renewGrant(ctx); err != nil {
		slot.Release(AttemptResult{
			Outcome: target.Cancelled,
		})
		return failedAttempt{
			outcome: target.Cancelled,
			refusal: asRefusal(err),
		}
	}
	x.triedTargets = append(x.triedTargets, slot.Target().Name)
	x.handler.meters.attempts.Inc(1)
	x.logAttempt(slot, n)
	// The answer's body is read after this function, under this context too.
	ctx, cancel := x.attemptContext(ctx, n, slot.OverdueAfter())
	if wait := slot.OverdueAfter(); wait > 0 && x.repeatable && x.sentAttempts+1 < x.maxSentAttempts() {
		cancel = x.cancelWhenOverdue(ctx, cancel, wait, n)
	}
	p := &placedAttempt{
		exchange: x,
		slot:     slot,
		began:    time.Now(),
		id:       x.attemptID(n),
		cancel:   cancel,
	}
	return p.send(ctx)
}

// renewGrant asks for another grant if the first one lapsed while the request
// waited for its slot or its connection.
func (x *exchange) renewGrant(ctx context.Context) error {
	if x.grant == nil || x.grantSpent || x.grant.Valid() {
		return nil
	}
	x.grant.Return()
	x.grant = nil
	return x.admit(ctx)
}

// attemptContext leaves time for a second attempt where one is allowed, and ends
// with the permit. Where the slot knows how long an answer takes, moveAfter leaves
// the time instead.
func (x *exchange) attemptContext(ctx context.Context, n int, patience time.Duration) (context.Context, context.CancelFunc) {
	limit := x.deadline
	if x.repeatable && patience <= 0 && n == 1 {
		limit = time.Now().Add(time.Until(limit) * firstAttemptPercent / 100)
	}
	if until := x.permit.Deadline(); !until.IsZero() && until.Before(limit) {
		limit = until
	}
	return context.WithDeadline(ctx, limit)
}

// cancelWhenOverdue ends an attempt whose answer is overdue, if the retry that takes its
// place is granted. Otherwise the attempt goes on: an answer that may still come
// is better than none. A leaving instance ends nothing that a target works on.
func (x *exchange) cancelWhenOverdue(ctx context.Context, cancel context.CancelFunc, wait time.Duration, n int) context.CancelFunc {
	timer := time.AfterFunc(wait, func() {
		if x.handler.deps.Snapshots.Current().Leaving || ctx.Err() != nil {
			return
		}
		if x.handler.deps.Dispatch.Retry(ctx, x.service, retry.Attempt{
			Number:     n,
			Outcome:    target.TimedOut,
			Repeatable: true,
		}) {
			x.retryGranted.Store(true)
			cancel()
		}
	})
	return func() {
		timer.Stop()
		cancel()
	}
}

// attemptID is the id that the target echoes.
func (x *exchange) attemptID(n int) string {
	if x.handler.dialect.ForwardCallerIDs {
		return x.id
	}
	return x.id + "-" + strconv.Itoa(n)
}

// checkBeforeSend is asked just before the first byte of an attempt goes out. What it
// checks comes after its own wait, so that nothing is older than that.
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

// spendGrant spends the grant, once for all attempts of a request.
func (x *exchange) spendGrant() error {
	if x.grant == nil || x.grantSpent {
		return nil
	}
	x.grantSpent = true
	return x.grant.Spend()
}

// placedAttempt is an attempt that has a slot.
type placedAttempt struct {
	exchange *exchange
	slot     Slot
	began    time.Time
	id       string
	cancel   context.CancelFunc
}

// send sends the attempt and judges what comes back.
func (p *placedAttempt) send(ctx context.Context) attemptOutcome {
	result := p.exchange.handler.client.Do(ctx, forward.Attempt{
		Address: p.slot.Target().Address,
		Request: p.outgoing(),
		Gate:    func() error { return p.exchange.checkBeforeSend(ctx) },
	})
	switch r := result.(type) {
	case forward.Answered:
		return p.checkAnswer(ctx, r)
	case forward.Failed:
		e := p.classifyFailure(ctx, r.Err)
		p.release(AttemptResult{
			Outcome: e.outcome,
		})
		return e
	}
	return nil
}

// release gives the slot back.
func (p *placedAttempt) release(e AttemptResult) {
	p.cancel()
	e.Latency = time.Since(p.began)
	p.slot.Release(e)
}

// outgoing makes the request of this attempt.
func (p *placedAttempt) outgoing() *http.Request {
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
	if len(x.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(x.body))
		out.ContentLength = int64(len(x.body))
	}
	return out
}

func cloneURL(r *http.Request) *url.URL {
	u := *r.URL
	return &u
}

// classifyFailure turns a failed sending into the attempt's ending.
func (p *placedAttempt) classifyFailure(ctx context.Context, err *forward.Error) failedAttempt {
	var refusal *Refusal
	switch {
	case err.Stage == forward.Gated && errors.As(err, &refusal):
		return failedAttempt{
			outcome: target.Cancelled,
			refusal: refusal,
		}
	case err.Stage != forward.Sent:
		return p.unsentFailure(err)
	case ctx.Err() != nil:
		return p.timeoutFailure()
	default:
		return failedAttempt{
			outcome:       target.Crashed,
			mayHaveRun:    true,
			crashedTarget: p.slot.Target().Name,
			refusal:       mayHaveRunRefusal("target-connection-died"),
		}
	}
}

// unsentFailure is the ending of an attempt of which no byte went out.
func (p *placedAttempt) unsentFailure(err *forward.Error) failedAttempt {
	outcome := target.Refused
	if p.exchange.request.Context().Err() != nil {
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

// timeoutFailure is the ending of an attempt that was under way at its deadline, or
// when its caller went away.
func (p *placedAttempt) timeoutFailure() failedAttempt {
	outcome := target.TimedOut
	if p.exchange.request.Context().Err() != nil {
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

// mayHaveRunRefusal tells the caller that its request may have run.
func mayHaveRunRefusal(reason string) *Refusal {
	return &Refusal{
		Status:     http.StatusBadGateway,
		Reason:     reason,
		MayHaveRun: true,
		RetryAfter: time.Second,
	}
}
