package retry

import (
	"time"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/target"
)

const (
	// window is how long a success counts.
	window = 10 * time.Second
	// windowSlots is the number of slots that the window is divided into.
	windowSlots = 10
	// retryCost is the price of one retry, in hundredths of a retry.
	retryCost = 100
	// maxBalance is the most that is saved up; successes beyond it earn nothing.
	maxBalance = 10 * retryCost
	// maxConsecutiveFailures is the number of failed attempts in a row that closes the
	// budget until the next success.
	maxConsecutiveFailures = 5
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 3
)

// Budget grants retries in proportion to recent successes. Make it with New; the
// zero value grants none. It is not safe for concurrent use.
type Budget struct {
	// percent is what a success earns, in hundredths of a retry.
	percent int
	// earned and spent are in hundredths of a retry, by slot of the window.
	earned [windowSlots]int
	spent  [windowSlots]int
	// newestSlot is the number of the newest slot, counted from time zero.
	newestSlot int64
	// consecutiveFailures counts the failed attempts since the last success.
	consecutiveFailures int
}

// Attempt describes the last attempt at a request and what limits the next one.
type Attempt struct {
	// Number is the number of attempts so far, counted from 1.
	Number int
	// Outcome is the outcome of the last attempt.
	Outcome target.Outcome
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Strikes is the number of targets that the request crashed, as far as known.
	Strikes int
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Duration
	// TypicalDuration is how long an answer usually takes.
	TypicalDuration time.Duration
	// Beside is set if the last attempt is still in progress, and another one would run beside it.
	Beside bool
	// Left is how long the caller still waits, for those who don't use Deadline.
	Left time.Duration
	// Organisation and Route are those of the request; Route may be nil.
	Organisation string
	Route        *document.Route
	// Tried holds the names of the targets that were tried.
	Tried []string
}

// Decision says whether to try again, or why not.
type Decision uint8

// Values of Decision.
const (
	// Granted means that the retry was taken from the budget: the caller must try
	// again.
	Granted Decision = iota
	// MayHaveRun means that the request is not repeatable and may have run.
	MayHaveRun
	// NoRetryNeeded means that the last attempt succeeded or was cancelled.
	NoRetryNeeded
	// CrashedTwoTargets means that the request crashed two targets.
	CrashedTwoTargets
	// Exhausted means that the request has used all its attempts.
	Exhausted
	// Late means that the deadline leaves too little time for a typical answer.
	Late
	// BudgetEmpty means that the budget is empty or closed.
	BudgetEmpty
)

var decisionNames = [...]string{
	"granted", "may-have-run", "pointless", "poisonous",
	"exhausted", "late", "unpaid",
}

// String returns the decision's name as it appears in logs.
func (d Decision) String() string {
	if int(d) < len(decisionNames) {
		return decisionNames[d]
	}
	return "unknown"
}

// New returns a budget that grants up to percent retries for each hundred successes.
func New(percent int) *Budget {
	return &Budget{
		percent: max(percent, 0),
	}
}

// Record counts the outcome of an attempt. It must be called once for each attempt,
// retries included, and before Decide.
func (b *Budget) Record(now time.Duration, outcome target.Outcome) {
	b.advance(now)
	switch outcome {
	case target.Succeeded:
		b.consecutiveFailures = 0
		if b.balance() < maxBalance {
			b.earned[b.newestSlot%windowSlots] += b.percent
		}
	case target.Cancelled, target.Disconnected:
	default:
		b.consecutiveFailures++
	}
}

// Decide reports whether to try again. If so, it takes the retry from the budget.
func (b *Budget) Decide(now time.Duration, a Attempt) Decision {
	switch {
	case a.Outcome == target.Succeeded || a.Outcome == target.Cancelled:
		return NoRetryNeeded
	case a.Strikes >= 2:
		return CrashedTwoTargets
	case !a.Repeatable && !a.Outcome.NotRun():
		return MayHaveRun
	case a.Number >= maxAttempts:
		return Exhausted
	case a.Deadline != 0 && now+a.TypicalDuration >= a.Deadline:
		return Late
	}
	b.advance(now)
	if b.consecutiveFailures >= maxConsecutiveFailures || b.balance() < retryCost {
		return BudgetEmpty
	}
	b.spent[b.newestSlot%windowSlots] += retryCost
	return Granted
}

// balance returns what is left, in hundredths of a retry.
func (b *Budget) balance() int {
	sum := 0
	for i := range windowSlots {
		sum += b.earned[i] - b.spent[i]
	}
	return sum
}

// advance moves the window to now and clears the slots that it reuses.
func (b *Budget) advance(now time.Duration) {
	slot := int64(now / (window / windowSlots))
	for n := max(b.newestSlot+1, slot-windowSlots+1); n <= slot; n++ {
		b.earned[n%windowSlots] = 0
		b.spent[n%windowSlots] = 0
	}
	b.newestSlot = max(b.newestSlot, slot)
}
