package entry

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/forward"
	"dandelionmux/pkg/target"
)

// relayHeader marks a request that one instance sends through another, and its answer.
// Its value has the form of a URL query with the names below.
const relayHeader = headerPrefix + "Relay"

// Names in the value of relayHeader.
const (
	relayRequestName   = "Request"
	relayRevisionName  = "Revision"
	relaySentName      = "Sent"
	relayTargetName    = "Target"
	relayCountedName   = "Counted"
	relayElsewhereName = "Elsewhere"
	relayLeavingName   = "Leaving"
)

const (
	// relayDialTimeout bounds connecting to another instance.
	relayDialTimeout = 150 * time.Millisecond
	// relayReserve is the part of a request's time that remains for the way back from
	// another instance.
	relayReserve = 20 * time.Millisecond
)

// relayResult is what another instance says about an attempt that it made, or refused.
type relayResult struct {
	requestID string
	// revision is that of the document by which the other instance acted.
	revision uint64
	// sentAttempts is the exchange's sentAttempts with those of the other instance.
	sentAttempts int
	// elsewhere is set if the request has not run and another instance may serve it.
	elsewhere bool
	// leavingTarget is as in RelayResult.
	leavingTarget string
}

// acquireRelay returns the instance through which the next attempt goes, or nil if it goes
// to a target.
func (x *exchange) acquireRelay(ctx context.Context) (Relay, error) {
	if x.handler.deps.Relays == nil {
		return nil, nil
	}
	return x.handler.deps.Relays.Acquire(ctx, RelayRequest{
		Service: x.service,
		Route:   x.route,
		Relayed: x.relayed != nil,
	})
}

// attemptThrough sends the request to another instance, which sends it to a target. The
// other instance doesn't take its cost from the organisation's rate again, and its first
// attempt is no retry unless this instance has already sent one.
func (x *exchange) attemptThrough(ctx context.Context, relay Relay, n int) attemptOutcome {
	if err := x.renewGrant(ctx); err != nil {
		relay.Release(RelayResult{
			Outcome: RelayAbandoned,
		})
		return failedAttempt{
			outcome: target.Cancelled,
			refusal: asRefusal(err),
			unsent:  true,
		}
	}
	x.relays++
	x.handler.metrics.count("Relay.Sent")
	x.logRelay(relay, n)
	ctx, cancel := context.WithCancel(ctx)
	if wait := relay.OverdueAfter(); wait > 0 && x.repeatable && x.sentAttempts+1 < x.maxSentAttempts() {
		cancel = x.cancelWhenOverdue(ctx, cancel, wait, n)
	}
	a := &relayAttempt{
		exchange: x,
		relay:    relay,
		cancel:   cancel,
	}
	// A kept connection to another instance may have gone silent.
	result := x.handler.relayClient.Do(ctx, forward.Attempt{
		Address:       string(relay.Instance()),
		Request:       x.relayRequest(),
		NewConnection: true,
		Gate:          x.gate(func() error { return x.checkBeforeSend(ctx) }),
	})
	switch r := result.(type) {
	case forward.Answered:
		return a.checkAnswer(ctx, r)
	case forward.Failed:
		return a.classifyFailure(ctx, r.Err)
	}
	return nil
}

// relayAttempt is an attempt through another instance.
type relayAttempt struct {
	exchange *exchange
	relay    Relay
	// cancel ends the attempt's context.
	cancel context.CancelFunc
	// leavingTarget is as in RelayResult.
	leavingTarget string
}

// release ends the attempt.
func (a *relayAttempt) release(outcome RelayOutcome) {
	a.cancel()
	a.relay.Release(RelayResult{
		Outcome:       outcome,
		LeavingTarget: a.leavingTarget,
	})
}

// releaseAnswer ends an attempt whose answer has been read, or broke off.
func (a *relayAttempt) releaseAnswer(r AttemptResult) {
	if r.LostConnection {
		a.release(RelayFailed)
		return
	}
	a.release(RelayAnswered)
}

// relayRequest returns the request for another instance. It has the headers that the
// caller sent, its key included, because the other instance checks the request itself.
func (x *exchange) relayRequest() *http.Request {
	out := forwardableRequest(x.request)
	d := x.handler.dialect
	if d.ForwardCallerIDs {
		out.Header.Set(d.RequestIDHeader, x.id)
	}
	left := max((time.Until(x.deadline) - relayReserve).Milliseconds(), 1)
	out.Header.Set(d.TimeoutHeader, strconv.FormatInt(left, 10))
	out.Header.Set(relayHeader, url.Values{
		relayRequestName:  {x.id},
		relayRevisionName: {strconv.FormatUint(max(x.snapshot.Index.Revision(), x.handler.relayRevision.Load()), 10)},
		relaySentName:     {strconv.Itoa(x.sentAttempts)},
		relayTargetName:   x.sentTargets,
		relayCountedName:  {strconv.FormatBool(x.counted)},
	}.Encode())
	x.setBody(out)
	return out
}

// classifyFailure returns the outcome of an attempt that got no answer.
func (a *relayAttempt) classifyFailure(ctx context.Context, err *forward.Error) attemptOutcome {
	var refusal *Refusal
	switch {
	case err.Stage == forward.Gated && errors.As(err, &refusal):
		a.release(RelayAbandoned)
		return failedAttempt{
			outcome: target.Cancelled,
			refusal: refusal,
			unsent:  true,
		}
	case ctx.Err() != nil:
		failure := a.exchange.timeoutFailure()
		if err.Stage != forward.Sent {
			failure = unsentRelay(target.Cancelled)
		} else {
			a.recordLost()
		}
		a.release(RelayAbandoned)
		return failure
	case err.Stage != forward.Sent:
		a.release(RelayFailed)
		return unsentRelay(target.Refused)
	default:
		a.recordLost()
		a.release(RelayFailed)
		return failedAttempt{
			outcome:    target.Crashed,
			mayHaveRun: true,
			refusal:    mayHaveRunRefusal("relay-connection-died"),
		}
	}
}

// recordLost records that it isn't known how many attempts the other instance has sent.
func (a *relayAttempt) recordLost() {
	a.exchange.handler.metrics.count("Relay.Lost")
	a.exchange.logLostRelay(a.relay)
}

// unsentRelay returns the outcome of an attempt of which no byte reached another instance.
func unsentRelay(outcome target.Outcome) failedAttempt {
	return failedAttempt{
		outcome: outcome,
		refusal: &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "relay-unconnected",
			RetryAfter: time.Second,
		},
		unsent: true,
	}
}

// checkAnswer returns the outcome of an attempt that the other instance has answered: with
// a target's answer, which is not retried because the other instance has done so if that
// was possible, or with a refusal.
func (a *relayAttempt) checkAnswer(ctx context.Context, r forward.Answered) attemptOutcome {
	x := a.exchange
	out := &answer{
		exchange:  x,
		response:  r.Response,
		closeConn: r.CloseConn,
		release:   a.releaseAnswer,
	}
	result, err := parseRelayResult(r.Response.Header.Get(relayHeader))
	if err != nil || result.requestID != x.id {
		out.finish(target.Truncated)
		return failedAttempt{
			outcome:    target.Truncated,
			mayHaveRun: true,
			refusal:    mayHaveRunRefusal("relay-answer-crossed"),
		}
	}
	a.leavingTarget = result.leavingTarget
	x.counted = x.counted || !result.elsewhere
	x.handler.recordRelayRevision(result.revision)
	if r.Response.Header.Get(OutcomeHeader) != "" {
		return a.checkRefusal(out, result)
	}
	if err := out.readPrefix(); err != nil {
		return out.bodyFailure(ctx)
	}
	return usableAnswer{
		answer: out,
	}
}

// checkRefusal returns the outcome of an attempt that the other instance has refused.
func (a *relayAttempt) checkRefusal(out *answer, result relayResult) attemptOutcome {
	x := a.exchange
	x.sentAttempts = max(x.sentAttempts, result.sentAttempts)
	refusal := parseRefusal(out.response)
	outcome := RelayAnswered
	switch {
	case refusal.Reason == UnreachableReason:
		outcome = RelayCutOff
	case result.elsewhere:
		outcome = RelayDeclined
	}
	out.release = func(AttemptResult) { a.release(outcome) }
	out.finish(target.Succeeded)
	if result.elsewhere {
		return failedAttempt{
			outcome: target.Refused,
			refusal: refusal,
			unsent:  true,
		}
	}
	return failedAttempt{
		outcome:    target.Cancelled,
		mayHaveRun: refusal.MayHaveRun,
		refusal:    refusal,
		unsent:     true, // the other instance has counted its attempts
	}
}

// parseRefusal decodes a refusal of another instance.
func parseRefusal(r *http.Response) *Refusal {
	refusal := &Refusal{
		Status:     r.StatusCode,
		Reason:     r.Header.Get(ReasonHeader),
		MayHaveRun: r.Header.Get(OutcomeHeader) != OutcomeNotRun,
	}
	if seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		refusal.RetryAfter = time.Duration(min(seconds, maxRelayedRetryAfter.Seconds()) * float64(time.Second))
	}
	return refusal
}

// maxRelayedRetryAfter bounds the Retry-After of another instance's refusal.
const maxRelayedRetryAfter = time.Hour

// recordRelayRevision records by which revision of the document another instance has
// answered. Later requests don't go through one with an older document, so that to callers
// of this instance no change seems to be undone.
func (h *Handler) recordRelayRevision(revision uint64) {
	for {
		old := h.relayRevision.Load()
		if revision <= old || h.relayRevision.CompareAndSwap(old, revision) {
			return
		}
	}
}

// parseRelayResult decodes the value of relayHeader in an answer.
func parseRelayResult(text string) (relayResult, error) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return relayResult{}, errors.Wrap(err, "relay result")
	}
	sent, err := strconv.Atoi(values.Get(relaySentName))
	if err != nil {
		return relayResult{}, errors.Wrap(err, "relay result")
	}
	revision, err := strconv.ParseUint(values.Get(relayRevisionName), 10, 64)
	if err != nil {
		return relayResult{}, errors.Wrap(err, "relay result")
	}
	return relayResult{
		requestID:     values.Get(relayRequestName),
		revision:      revision,
		sentAttempts:  sent,
		elsewhere:     values.Get(relayElsewhereName) == "true",
		leavingTarget: values.Get(relayLeavingName),
	}, nil
}
