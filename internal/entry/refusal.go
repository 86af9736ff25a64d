package entry

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers between callers and the fleet.
const (
	// OutcomeHeader tells a refused caller whether its request may have run.
	OutcomeHeader = "Dandelionmux-Outcome"
	// ReasonHeader tells a refused caller why.
	ReasonHeader = "Dandelionmux-Reason"
	// FirstRequestHeader tells a caller that sent an Idempotency-Key again what is
	// known of the first request.
	FirstRequestHeader = "Dandelionmux-First"
	// TimeoutHeader is the time left, in milliseconds: from callers a bound
	// that they set, to targets the deadline.
	TimeoutHeader = "Dandelionmux-Timeout-Ms"
)

// Headers between the fleet and targets.
const (
	// RequestIDHeader is the attempt's id, which the target's answer echoes.
	RequestIDHeader = "Dandelionmux-Request"
	// OrganisationHeader names the organisation whose key came with a request.
	OrganisationHeader = "Dandelionmux-Organisation"
	// ShedHeader marks a target's answer that refuses to run the request.
	ShedHeader = "Dandelionmux-Shed"
	// DrainHeader marks the answers of a target that is leaving.
	DrainHeader = "Dandelionmux-Drain"
	// headerPrefix begins all headers of the fleet; callers can't send them.
	headerPrefix = "Dandelionmux-"
)

// Values of OutcomeHeader.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Refusal ends a request without a target's answer. It is an error of every
// port.
type Refusal struct {
	// Status is of HTTP.
	Status int
	// Reason is a short word for logs and callers.
	Reason string
	// MayHaveRun is set unless it is certain that nothing ran.
	MayHaveRun bool
	// RetryAfter is when to come back; zero if coming back is no use.
	RetryAfter time.Duration
	// FirstRequest is what is known of the first request under the same key.
	FirstRequest string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (%d, %s)", r.Reason, r.Status, r.outcome())
}

func (r *Refusal) outcome() string {
	if r.MayHaveRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// write sends the refusal to the caller.
func (r *Refusal) write(w http.ResponseWriter, d Dialect) {
	h := w.Header()
	h.Set(OutcomeHeader, r.outcome())
	h.Set(ReasonHeader, r.Reason)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.FirstRequest != "" {
		h.Set(FirstRequestHeader, r.FirstRequest)
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(r.RetryAfter, d))
	}
	w.WriteHeader(r.statusFor(d))
	_, _ = io.WriteString(w, r.Reason+", "+r.outcome()+"\n")
}

// statusFor is the status that says no more than is known: where callers take
// some statuses for a promise, a request that may have run gets none of them.
func (r *Refusal) statusFor(d Dialect) int {
	if !d.StatusImpliesNotRun || !r.MayHaveRun {
		return r.Status
	}
	switch r.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return http.StatusBadGateway
	}
	return r.Status
}

// retryAfter writes a wait as Retry-After counts it, rounded up.
func retryAfter(wait time.Duration, d Dialect) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(math.Ceil(wait.Seconds()*100)/100, 'f', -1, 64)
	}
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
