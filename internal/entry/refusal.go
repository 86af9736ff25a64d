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
	// ReasonHeader tells a refused caller the reason.
	ReasonHeader = "Dandelionmux-Reason"
	// FirstRequestHeader tells a caller that reused an Idempotency-Key what is known
	// about the first request with that key.
	FirstRequestHeader = "Dandelionmux-First"
	// TimeoutHeader is a time in milliseconds: from callers the timeout that they
	// set, to targets the time left for the request.
	TimeoutHeader = "Dandelionmux-Timeout-Ms"
)

// Headers between the fleet and targets.
const (
	// RequestIDHeader is the attempt's id, which the target's answer echoes.
	RequestIDHeader = "Dandelionmux-Request"
	// OrganisationHeader names the organisation whose key came with a request.
	OrganisationHeader = "Dandelionmux-Organisation"
	// ShedHeader marks the answer of a target that refuses to run the request.
	ShedHeader = "Dandelionmux-Shed"
	// DrainHeader marks the answers of a target that is leaving.
	DrainHeader = "Dandelionmux-Drain"
	// headerPrefix is the prefix of all headers of the fleet. Headers with this
	// prefix are removed from requests of callers.
	headerPrefix = "Dandelionmux-"
)

// Values of OutcomeHeader.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// stoppingRetryAfter is when a caller may come back whose request an instance that stops has
// refused: its next connection goes to another instance.
const stoppingRetryAfter = 100 * time.Millisecond

// StoppingRefusal returns the refusal of a request that can't be finished before the instance
// stops.
func StoppingRefusal() *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "stopping",
		RetryAfter: stoppingRetryAfter,
		Elsewhere:  true,
	}
}

// Refusal is the error that ends a request without a target's answer. Admission,
// Grant, Claims, Claim, Dispatcher and Quarantine return it when they refuse a
// request.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Reason is a short machine-readable reason for logs, metrics and callers.
	Reason string
	// MayHaveRun is set unless it is certain that no target ran the request.
	MayHaveRun bool
	// RetryAfter is how long the caller should wait before it retries; zero if a
	// retry is of no use.
	RetryAfter time.Duration
	// FirstRequest is what is known about the first request with the same
	// Idempotency-Key: "running", "ended" (optionally with the HTTP status, as in
	// "ended 200") or "unknown"; empty if the refusal has another cause.
	FirstRequest string
	// Elsewhere is set if another instance may serve the request.
	Elsewhere bool
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (%d, %s)", r.Reason, r.Status, r.outcome())
}

// outcome returns the value of OutcomeHeader.
func (r *Refusal) outcome() string {
	if r.MayHaveRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// minRetryAfter is the least Retry-After of a refusal that has waited for its turn.
const minRetryAfter = 10 * time.Millisecond

// after returns the refusal as it is true after a wait.
func (r *Refusal) after(wait time.Duration) *Refusal {
	if r.RetryAfter <= 0 {
		return r
	}
	later := *r
	later.RetryAfter = max(r.RetryAfter-wait, minRetryAfter)
	return &later
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

// statusFor returns the status that callers of the dialect get. If they conclude
// from some statuses that the request has not run, a request that may have run gets
// 502 instead of these.
func (r *Refusal) statusFor(d Dialect) int {
	if d.StatusImpliesNotRun && r.MayHaveRun && impliesNotRun(r.Status) {
		return http.StatusBadGateway
	}
	return r.Status
}

// impliesNotRun reports whether callers may conclude from a status that their request has not
// run; see Dialect.StatusImpliesNotRun.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// retryAfter formats a wait as the value of Retry-After, rounded up to whole
// seconds or, if the dialect allows fractions, to hundredths.
func retryAfter(wait time.Duration, d Dialect) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(math.Ceil(wait.Seconds()*100)/100, 'f', -1, 64)
	}
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
