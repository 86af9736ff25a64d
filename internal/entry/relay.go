package entry

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/answercheck"
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
	relayShareName     = "Share"
	relayEarlierName   = "Earlier"
	relayTargetName    = "Target"
	relayCountedName   = "Counted"
	relayElsewhereName = "Elsewhere"
	relayLeavingName   = "Leaving"
)

// relayShare is the number of attempts that another instance may send. It counts as sent if the
// other instance doesn't say how many it has sent: it may not notice that its answer is lost.
const relayShare = 1

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
	// sentAttempts is that of the request with the failed attempts of the other instance, and
	// targets are the names of their targets, which earlier builds don't tell.
	sentAttempts int
	targets      []string
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
		Tried:   x.triedInstances,
	})
}

// attemptThrough returns attempt n, which goes through another instance, or the failure if it
// can't begin. running is the number of attempts in progress. The other instance doesn't take
// the request's cost from the organisation's rate again, and makes one attempt only: this
// instance counts the attempts, and asks for their retries.
func (x *exchange) attemptThrough(ctx context.Context, relay Relay, n, running int) (attempt, *failedAttempt) {
	if err := x.renewGrant(ctx); err != nil {
		relay.Release(RelayResult{
			Outcome: RelayAbandoned,
		})
		return nil, unsentFailure(err)
	}
	x.relays++
	x.triedInstances = append(x.triedInstances, relay.Instance())
	x.handler.metrics.count("Relay.Sent")
	x.logRelay(relay, n)
	a := &relayAttempt{
		exchange: x,
		relay:    relay,
		sent:     max(x.sentAttempts+running, x.maxSentAttempts()-relayShare),
	}
	a.request = x.relayRequest(a.sent, running)
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a, nil
}

// relayAttempt is an attempt through another instance.
type relayAttempt struct {
	exchange *exchange
	relay    Relay
	request  *http.Request
	// sent is what the other instance is told to count as sent: all attempts but its share.
	sent int
	// ctx is the attempt's context, and cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	// leavingTarget is as in RelayResult.
	leavingTarget string
}

// relayedAttempts are the attempts of another instance.
type relayedAttempts struct {
	// sent is the number of attempts that may have reached a target, and targets are the
	// names of their targets as far as known.
	sent    int
	targets []string
	// counted is set if the other instance may have counted the request for the retry
	// budget.
	counted bool
}

// countRelayedAttempts counts the attempts of another instance.
func (x *exchange) countRelayedAttempts(r relayedAttempts) {
	x.sentAttempts += r.sent
	x.sentTargets = append(x.sentTargets, r.targets...)
	x.triedTargets = append(x.triedTargets, r.targets...)
	x.counted = x.counted || r.counted
}

// lostAttempts are the attempts of an instance that hasn't answered.
func lostAttempts() *relayedAttempts {
	return &relayedAttempts{
		sent:    relayShare,
		counted: true,
	}
}

// abandon implements attempt.
func (a *relayAttempt) abandon() { a.cancel() }

// send implements attempt.
func (a *relayAttempt) send() attemptOutcome {
	x := a.exchange
	// A kept connection to another instance may have gone silent.
	result := x.handler.relayClient.Do(a.ctx, forward.Attempt{
		Address:       string(a.relay.Instance()),
		Request:       a.request,
		NewConnection: true,
		Gate:          x.gate(func() error { return x.checkBeforeSend(a.ctx) }),
	})
	switch r := result.(type) {
	case forward.Answered:
		return a.checkAnswer(r)
	case forward.Failed:
		return a.classifyFailure(r.Err)
	}
	return nil
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
// caller sent, its key included, because the other instance checks the request itself. sent is
// the number of attempts that it is to count as sent, and running those in progress.
func (x *exchange) relayRequest(sent, running int) *http.Request {
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
		relaySentName:     {strconv.Itoa(sent)},
		relayShareName:    {strconv.Itoa(relayShare)},
		relayEarlierName:  {strconv.Itoa(x.sentAttempts + running)},
		relayTargetName:   x.sentTargets,
		relayCountedName:  {strconv.FormatBool(x.counted || running > 0)},
	}.Encode())
	x.setBody(out)
	return out
}

// classifyFailure returns the outcome of an attempt that got no answer.
func (a *relayAttempt) classifyFailure(err *forward.Error) attemptOutcome {
	var refusal *Refusal
	switch {
	case err.Stage == forward.Gated && errors.As(err, &refusal):
		a.release(RelayAbandoned)
		return failedAttempt{
			outcome: target.Cancelled,
			refusal: refusal,
			unsent:  true,
		}
	case a.ctx.Err() != nil && err.Stage != forward.Sent:
		a.release(RelayAbandoned)
		return unsentRelay(target.Cancelled)
	case a.ctx.Err() != nil:
		a.recordLost()
		a.release(RelayAbandoned)
		failure := a.exchange.timeoutFailure()
		failure.relayed = lostAttempts()
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
			relayed:    lostAttempts(),
		}
	}
}

// recordLost records that it isn't known how many attempts the other instance has sent.
func (a *relayAttempt) recordLost() {
	a.exchange.handler.metrics.count("Relay.Lost")
	a.logLost()
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
// a target's answer or with a refusal.
func (a *relayAttempt) checkAnswer(r forward.Answered) attemptOutcome {
	x := a.exchange
	out := &answer{
		exchange:  x,
		response:  r.Response,
		closeConn: r.CloseConn,
		malformed: r.Malformed,
		release:   a.releaseAnswer,
	}
	result, err := parseRelayResult(r.Response.Header.Get(relayHeader))
	if err != nil || result.requestID != x.id {
		out.finish(target.Truncated)
		return failedAttempt{
			outcome:    target.Truncated,
			mayHaveRun: true,
			refusal:    mayHaveRunRefusal("relay-answer-crossed"),
			relayed:    lostAttempts(),
		}
	}
	a.leavingTarget = result.leavingTarget
	x.handler.recordRelayRevision(result.revision)
	attempts := &relayedAttempts{
		sent:    max(result.sentAttempts-a.sent, relayShare),
		targets: result.targets,
		counted: true,
	}
	if reason := rejectRelayReason(r.Response); reason != "" {
		out.finish(target.Truncated)
		return failedAttempt{
			outcome:    target.Truncated,
			mayHaveRun: true,
			refusal:    mayHaveRunRefusal(reason),
			relayed:    attempts,
		}
	}
	if r.Response.Header.Get(OutcomeHeader) != "" {
		return a.checkRefusal(out, result)
	}
	if err := out.readPrefix(); err != nil {
		failure := out.bodyFailure(a.ctx)
		failure.relayed = attempts
		return failure
	}
	if out.response.StatusCode < http.StatusInternalServerError || !x.repeatable {
		return usableAnswer{
			answer: out,
		}
	}
	return failedAttempt{
		outcome:    target.Failed,
		mayHaveRun: true,
		fallback:   out,
		relayed:    attempts,
	}
}

// rejectRelayReason returns the reason why another instance's answer can't be relayed to the
// caller, or an empty string if it can.
func rejectRelayReason(r *http.Response) string {
	switch {
	case !hasValidStatus(r):
		return invalidStatus
	case answercheck.EndsWithConnection(r): // instances give a length or send chunks
		return answerWithoutLength
	}
	return ""
}

// checkRefusal returns the outcome of an attempt that the other instance has refused.
func (a *relayAttempt) checkRefusal(out *answer, result relayResult) attemptOutcome {
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
	attempts := &relayedAttempts{
		sent:    max(result.sentAttempts-a.sent, 0),
		targets: result.targets,
		counted: true,
	}
	if refusal.MayHaveRun {
		attempts.sent = max(attempts.sent, relayShare)
	}
	return failedAttempt{
		outcome:    a.refusedOutcome(refusal, attempts.sent),
		mayHaveRun: refusal.MayHaveRun,
		refusal:    refusal,
		relayed:    attempts,
	}
}

// refusedOutcome returns how another instance's attempt ended, of which it has sent some. It
// is target.Cancelled if another attempt is of no use.
func (a *relayAttempt) refusedOutcome(refusal *Refusal, sent int) target.Outcome {
	timedOut := refusal.Status == http.StatusGatewayTimeout
	switch {
	case timedOut && time.Until(a.exchange.deadline) <= 2*relayReserve:
		return target.Cancelled
	case timedOut:
		return target.TimedOut
	case refusal.MayHaveRun:
		return target.Failed
	case sent > 0:
		return target.Shed
	default:
		return target.Cancelled
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
		targets:       values[relayTargetName],
		elsewhere:     values.Get(relayElsewhereName) == "true",
		leavingTarget: values.Get(relayLeavingName),
	}, nil
}
