package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/forward"
	"dandelionmux/pkg/target"
)

// maxHeldBytes is how much of an answer is read before its head goes to the
// caller. An answer that breaks within it can still be replaced by another
// attempt's, or by a true refusal.
const maxHeldBytes = 64 << 10

// copyBufferBytes is the size of one read of a long answer.
const copyBufferBytes = 32 << 10

// answer is a target's answer on its way to the caller.
type answer struct {
	placed    *placedAttempt
	response  *http.Response
	closeConn func()
	// prefix is the beginning of the body, or all of it if whole is set.
	prefix   []byte
	complete bool
	// finished is set once the slot was given back.
	finished bool
}

// checkAnswer checks the head of an answer and holds its beginning.
func (p *placedAttempt) checkAnswer(ctx context.Context, r forward.Answered) attemptOutcome {
	a := &answer{
		placed:    p,
		response:  r.Response,
		closeConn: r.CloseConn,
	}
	if reason := a.rejectReason(p.id); reason != "" {
		a.finish(target.Truncated)
		return failedAttempt{
			outcome:    target.Truncated,
			mayHaveRun: true,
			refusal:    mayHaveRunRefusal(reason),
		}
	}
	if p.exchange.handler.dialect.isShed(r.Response) {
		a.finish(target.Shed)
		return failedAttempt{
			outcome: target.Shed,
			refusal: shedRefusal(r.Response),
		}
	}
	if err := a.readPrefix(); err != nil {
		return p.bodyFailure(ctx, a)
	}
	return p.acceptOrRetry(a)
}

// bodyFailure is the ending of an attempt whose answer broke before it was held.
func (p *placedAttempt) bodyFailure(ctx context.Context, a *answer) attemptOutcome {
	if ctx.Err() != nil {
		e := p.timeoutFailure()
		a.finish(e.outcome)
		return e
	}
	a.finish(target.Truncated)
	return failedAttempt{
		outcome:    target.Truncated,
		mayHaveRun: true,
		refusal:    mayHaveRunRefusal("answer-cut-short"),
	}
}

// acceptOrRetry passes an answer on, or lets a repeatable request try elsewhere after
// a server error.
func (p *placedAttempt) acceptOrRetry(a *answer) attemptOutcome {
	if a.response.StatusCode < http.StatusInternalServerError || !p.exchange.repeatable {
		return usableAnswer{
			answer: a,
		}
	}
	return failedAttempt{
		outcome:    target.Failed,
		mayHaveRun: true,
		fallback:   a,
	}
}

// rejectReason returns why the answer can't be the caller's, or nothing.
func (a *answer) rejectReason(id string) string {
	d := a.placed.exchange.handler.dialect
	echoes := a.response.Header.Values(d.RequestIDHeader)
	switch {
	case len(echoes) > 1:
		return "answer-crossed"
	case len(echoes) == 1 && echoes[0] != id:
		return "answer-crossed"
	case d.SignatureHeader != "" && a.response.StatusCode < 300 && a.response.Header.Get(d.SignatureHeader) == "":
		return "answer-unsigned"
	case a.placed.exchange.request.Method == http.MethodHead:
		return ""
	case !d.AllowUnframed && a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0:
		// Where the connection's end ends the body, a short one looks whole.
		return "answer-without-length"
	}
	return ""
}

// isShed tells whether the target says that it ran nothing.
func (d Dialect) isShed(r *http.Response) bool {
	if d.ExpectedTargetHeader != "" && r.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	if d.StatusImpliesNotRun {
		return r.StatusCode >= http.StatusBadRequest && r.Header.Get(d.ShedHeader) != ""
	}
	return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(d.ShedHeader) == "true"
}

func shedRefusal(r *http.Response) *Refusal {
	wait := time.Second
	if s, err := strconv.Atoi(r.Header.Get("Retry-After")); err == nil && s > 0 && s <= 60 {
		wait = time.Duration(s) * time.Second
	}
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "target-shed",
		RetryAfter: wait,
	}
}

// readPrefix reads the beginning of the body, and all of it if it is short.
func (a *answer) readPrefix() error {
	held, err := io.ReadAll(io.LimitReader(a.response.Body, maxHeldBytes))
	if err != nil {
		return err
	}
	a.prefix = held
	a.complete = len(held) < maxHeldBytes
	if a.complete {
		a.finish(a.outcome())
	}
	return nil
}

// timeoutSlack is how much before its deadline a target may say that the time
// is over.
const timeoutSlack = 50 * time.Millisecond

// outcome is how a whole answer counts. A target that says the time is over at
// the deadline that it was given says nothing of itself.
func (a *answer) outcome() target.Outcome {
	if a.response.StatusCode == http.StatusGatewayTimeout && time.Until(a.placed.exchange.deadline) < timeoutSlack {
		return target.Cancelled
	}
	if a.response.StatusCode >= http.StatusInternalServerError {
		return target.Failed
	}
	return target.Succeeded
}

// finish closes the answer and gives its slot back, once.
func (a *answer) finish(outcome target.Outcome) {
	if a.finished {
		return
	}
	a.finished = true
	switch outcome {
	case target.Succeeded, target.Failed, target.Shed:
	default:
		a.closeConn()
	}
	_ = a.response.Body.Close()
	a.placed.release(AttemptResult{
		Outcome:     outcome,
		Misdirected: a.response.StatusCode == http.StatusMisdirectedRequest,
		Draining:    a.draining(),
	})
}

// draining tells whether the target says that it is leaving.
func (a *answer) draining() bool {
	drain := a.placed.exchange.handler.dialect.DrainHeader
	return drain != "" && a.response.Header.Get(drain) != ""
}

// discard ends an answer that another attempt replaces. A nil answer is none.
func (a *answer) discard() {
	if a != nil {
		a.finish(a.outcome())
	}
}

// relay sends the answer to the caller.
func (x *exchange) relay(a *answer) error {
	defer a.finish(target.Cancelled)
	if a.complete {
		x.endClaim(a.response.StatusCode)
	}
	control := http.NewResponseController(x.writer)
	_ = control.SetWriteDeadline(x.deadline.Add(writeSlack))
	x.writeHead(a)
	if _, err := x.writer.Write(a.prefix); err != nil {
		return x.abort(a, "caller-gone", err)
	}
	if !a.complete {
		if err := x.relayRest(a); err != nil {
			return err
		}
	}
	x.handler.meters.answered(a.response.StatusCode, time.Since(x.began))
	x.logEnd(answeredMessage, "", a.response.StatusCode)
	return nil
}

// writeHead sends the answer's status and headers.
func (x *exchange) writeHead(a *answer) {
	dropHopHeaders(a.response.Header)
	d := x.handler.dialect
	kept := map[string]string{}
	if d.ForwardCallerIDs {
		kept[d.RequestIDHeader] = x.id
	}
	if d.SignatureHeader != "" && a.response.Header.Get(d.SignatureHeader) != "" {
		kept[d.SignatureHeader] = a.response.Header.Get(d.SignatureHeader)
	}
	dropFleetHeaders(a.response.Header)
	h := x.writer.Header()
	for name, values := range a.response.Header {
		h[name] = values
	}
	for name, value := range kept {
		h.Set(name, value)
	}
	if a.complete && x.request.Method != http.MethodHead && len(a.prefix) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(a.prefix)))
	}
	x.headSent = true
	x.writer.WriteHeader(a.response.StatusCode)
}

// relayRest sends what was not held. An answer that breaks now is cut at the
// caller too.
func (x *exchange) relayRest(a *answer) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := a.response.Body.Read(buffer)
		if n > 0 {
			if _, werr := x.writer.Write(buffer[:n]); werr != nil {
				return x.abort(a, "caller-gone", werr)
			}
		}
		if errors.Is(err, io.EOF) {
			a.finish(a.outcome())
			x.endClaim(a.response.StatusCode)
			return nil
		}
		if err != nil {
			a.finish(target.Truncated)
			return x.abort(a, "answer-cut-short", err)
		}
	}
}

// abort ends an answer that has begun and can't be finished.
func (x *exchange) abort(a *answer, reason string, cause error) error {
	a.finish(target.Cancelled)
	refusal := mayHaveRunRefusal(reason)
	return errors.Wrap(refusal, cause.Error())
}
