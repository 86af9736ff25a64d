package target

// Outcome is the result of one attempt at a target.
type Outcome uint8

// Values of Outcome.
const (
	// Succeeded is a complete answer other than a server error.
	Succeeded Outcome = iota
	// Failed is a server error.
	Failed
	// TimedOut is an attempt that exceeded its deadline.
	TimedOut
	// Truncated is an answer that ended early, was malformed, or belonged to another
	// request.
	Truncated
	// Crashed is a connection that died after the request was sent and before the answer
	// began.
	Crashed
	// Shed is an explicit refusal by the target to run the request.
	Shed
	// Refused is a connection that could not be established; the request wasn't run.
	Refused
	// Cancelled is an attempt that the caller abandoned; it says nothing about the
	// target.
	Cancelled
	// Disconnected is a kept connection that died as soon as the request was sent. The
	// target may only have dropped the idle connection, but the request may have run.
	Disconnected
)

// outcomeCount is the number of values of Outcome.
const outcomeCount = int(Disconnected) + 1

var outcomeNames = [outcomeCount]string{
	"succeeded", "failed", "timed-out", "truncated",
	"crashed", "shed", "refused", "cancelled", "disconnected",
}

// String returns the name of the outcome as it appears in logs.
func (o Outcome) String() string {
	if int(o) < outcomeCount {
		return outcomeNames[o]
	}
	return "unknown"
}

// Inconclusive reports whether the outcome is no evidence of the target's health.
func (o Outcome) Inconclusive() bool {
	return o == Cancelled || o == Disconnected
}

// NotRun reports whether the outcome proves that the target didn't run the request.
func (o Outcome) NotRun() bool {
	return o == Shed || o == Refused
}

// Failure reports whether the outcome counts as a failure of the target.
func (o Outcome) Failure() bool {
	switch o {
	case Failed, TimedOut, Truncated, Crashed:
		return true
	default:
		return false
	}
}
