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
	// maximumAttempts bounds the attempts of one request.
	maximumAttempts = 3
	// maximumUnsent bounds the further attempts that reached no target.
	maximumUnsent = 3
	// firstAttemptPercent is the part of the time left that the first attempt
	// of a repeatable request may take, so that a hanging target leaves time
	// for another.
	firstAttemptPercent = 60
)

// ending is how one attempt ended: usable, or failed.
type ending interface{ ending() }

// usable is an answer for the caller.
type usable struct {
	answer *answer
}

// failed is an attempt without an answer for the caller.
type failed struct {
	outcome target.Outcome
	// ran is set unless it is certain that the attempt ran nothing.
	ran bool
	// crashed is the target whose connection died under the request, if one
	// did.
	crashed string
	// refusal is what the caller gets if there is no further attempt.
	refusal *Refusal
	// fallback is the target's own answer, if that is better than refusal.
	fallback *answer
}

func (usable) ending() {}
func (failed) ending() {}

// run makes attempts until one gives an answer or no further one is allowed.
func (x *exchange) run(ctx context.Context) (*answer, error) {
	for n := 1; ; n++ {
		switch e := x.attempt(ctx, n).(type) {
		case usable:
			x.ran = true
			x.answered = true
			return e.answer, nil
		case failed:
			x.ran = x.ran || e.ran
			if e.outcome != target.Refused {
				x.sendings++
			}
			if x.again(ctx, n, e) {
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

// again decides whether a failed attempt is followed by another.
func (x *exchange) again(ctx context.Context, n int, e failed) bool {
	if e.crashed != "" && !x.crashAgain(ctx, e.crashed) {
		return false
	}
	switch {
	case x.sendings >= x.maximumSendings(), n >= maximumAttempts+maximumUnsent, ctx.Err() != nil, e.outcome == target.Cancelled:
		return false
	case e.ran && !x.repeatable:
		return false
	case x.paid.Swap(false):
		return true
	}
	return x.handler.ports.Dispatch.Retry(ctx, x.service, retry.Attempt{
		Number:     n,
		Outcome:    e.outcome,
		Repeatable: x.repeatable,
	})
}

// maximumSendings bounds the targets that one request is sent to.
func (x *exchange) maximumSendings() int {
	if x.route.Attempts > 0 {
		return x.route.Attempts
	}
	return maximumAttempts
}

// crashAgain counts a strike and asks whether the request may run once more.
func (x *exchange) crashAgain(ctx context.Context, target string) bool {
	x.leave(target)
	if !x.repeatable {
		return false
	}
	return x.enter(ctx) == nil
}

// truthful makes a refusal tell what earlier attempts may have run.
func (x *exchange) truthful(err error) error {
	refusal := asRefusal(err)
	if !x.ran || refusal.MayHaveRun {
		return refusal
	}
	changed := *refusal
	changed.MayHaveRun = true
	return &changed
}

// attempt sends the request to one target, once.
func (x *exchange) attempt(ctx context.Context, n int) ending {
	slot, err := x.handler.ports.Dispatch.Acquire(ctx, SlotRequest{
		Organisation: x.organisation,
		Route:        x.route,
		Service:      x.service,
		Cost:         x.route.CostUnits(),
		Repeatable:   x.repeatable,
		TriedTargets: x.tried,
		Deadline:     x.deadline,
	})
	if err != nil {
		return failed{
			outcome: target.Cancelled,
			refusal: asRefusal(err),
		}
	}
	if err := x.renewGrant(ctx); err != nil {
		slot.Release(AttemptResult{
			Outcome: target.Cancelled,
		})
		return failed{
			outcome: target.Cancelled,
			refusal: asRefusal(err),
		}
	}
	x.tried = append(x.tried, slot.Target().Name)
	x.handler.meters.attempts.Inc(1)
	x.logAttempt(slot, n)
	// The answer's body is read after this function, under this context too.
	ctx, cancel := x.attemptContext(ctx, n, slot.OverdueAfter())
	if wait := slot.OverdueAfter(); wait > 0 && x.repeatable && x.sendings+1 < x.maximumSendings() {
		cancel = x.moveAfter(ctx, cancel, wait, n)
	}
	p := &placed{
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
	if x.grant == nil || x.spent || x.grant.Valid() {
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

// moveAfter ends an attempt whose answer is overdue, if the retry that takes its
// place is granted. Otherwise the attempt goes on: an answer that may still come
// is better than none. A leaving instance ends nothing that a target works on.
func (x *exchange) moveAfter(ctx context.Context, cancel context.CancelFunc, wait time.Duration, n int) context.CancelFunc {
	timer := time.AfterFunc(wait, func() {
		if x.handler.ports.Snapshots.Current().Leaving || ctx.Err() != nil {
			return
		}
		if x.handler.ports.Dispatch.Retry(ctx, x.service, retry.Attempt{
			Number:     n,
			Outcome:    target.TimedOut,
			Repeatable: true,
		}) {
			x.paid.Store(true)
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

// gate is asked just before the first byte of an attempt goes out. What it
// checks comes after its own wait, so that nothing is older than that.
func (x *exchange) gate(ctx context.Context) error {
	if err := x.renewGrant(ctx); err != nil {
		return err
	}
	s := x.handler.ports.Snapshots.Current()
	if !s.Ready() {
		return &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "not-ready",
			RetryAfter: time.Second,
		}
	}
	if !x.route.Open {
		organisation, ok := s.Index.Organisation(x.digest)
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
	return x.useGrant()
}

// useGrant spends the grant, once for all attempts of a request.
func (x *exchange) useGrant() error {
	if x.grant == nil || x.spent {
		return nil
	}
	x.spent = true
	return x.grant.Spend()
}

// placed is an attempt that has a slot.
type placed struct {
	exchange *exchange
	slot     Slot
	began    time.Time
	id       string
	cancel   context.CancelFunc
}

// send sends the attempt and judges what comes back.
func (p *placed) send(ctx context.Context) ending {
	result := p.exchange.handler.client.Do(ctx, forward.Attempt{
		Address: p.slot.Target().Address,
		Request: p.outgoing(),
		Gate:    func() error { return p.exchange.gate(ctx) },
	})
	switch r := result.(type) {
	case forward.Answered:
		return p.judge(ctx, r)
	case forward.Failed:
		e := p.explain(ctx, r.Err)
		p.done(AttemptResult{
			Outcome: e.outcome,
		})
		return e
	}
	return nil
}

// done gives the slot back.
func (p *placed) done(e AttemptResult) {
	p.cancel()
	e.Latency = time.Since(p.began)
	p.slot.Release(e)
}

// outgoing makes the request of this attempt.
func (p *placed) outgoing() *http.Request {
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

// explain turns a failed sending into the attempt's ending.
func (p *placed) explain(ctx context.Context, err *forward.Error) failed {
	var refusal *Refusal
	switch {
	case err.Stage == forward.Gated && errors.As(err, &refusal):
		return failed{
			outcome: target.Cancelled,
			refusal: refusal,
		}
	case err.Stage != forward.Sent:
		return p.unsent(err)
	case ctx.Err() != nil:
		return p.timedOut()
	default:
		return failed{
			outcome: target.Crashed,
			ran:     true,
			crashed: p.slot.Target().Name,
			refusal: unknownRefusal("target-connection-died"),
		}
	}
}

// unsent is the ending of an attempt of which no byte went out.
func (p *placed) unsent(err *forward.Error) failed {
	outcome := target.Refused
	if p.exchange.request.Context().Err() != nil {
		outcome = target.Cancelled
	}
	return failed{
		outcome: outcome,
		refusal: &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "target-" + err.Stage.String(),
			RetryAfter: time.Second,
		},
	}
}

// timedOut is the ending of an attempt that was under way at its deadline, or
// when its caller went away.
func (p *placed) timedOut() failed {
	outcome := target.TimedOut
	if p.exchange.request.Context().Err() != nil {
		outcome = target.Cancelled
	}
	refusal := unknownRefusal("timeout")
	refusal.Status = http.StatusGatewayTimeout
	return failed{
		outcome: outcome,
		ran:     true,
		refusal: refusal,
	}
}

// unknownRefusal tells the caller that its request may have run.
func unknownRefusal(reason string) *Refusal {
	return &Refusal{
		Status:     http.StatusBadGateway,
		Reason:     reason,
		MayHaveRun: true,
		RetryAfter: time.Second,
	}
}
