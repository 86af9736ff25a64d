package retry

import (
	"time"

	"dandelionmux/pkg/target"
)

const (
	// window is how long a success counts.
	window = 10 * time.Second
	// windowSlots is the number of parts that the window moves by.
	windowSlots = 10
	// retryCost is one retry in the budget's books.
	retryCost = 100
	// maxBalance is what is saved up at maxBalance; successes beyond it earn nothing.
	maxBalance = 10 * retryCost
	// maxConsecutiveFailures is the run of failed attempts that closes the budget until the
	// next success.
	maxConsecutiveFailures = 5
	// maxAttempts bounds the maxAttempts at one request.
	maxAttempts = 3
)

// Budget pays for retries from recent successes. Make it with New; the zero
// value pays for none.
type Budget struct {
	// percent is what a success earns, in hundredths of a retry.
	percent int
	// earned and spent are in hundredths of a retry, by part of the window.
	earned [windowSlots]int
	spent  [windowSlots]int
	// newestSlot is the number of the newest newestSlot since the process began.
	newestSlot int64
	// consecutiveFailures is the run of failed attempts since the last success.
	consecutiveFailures int
}

// Attempt is a failed attempt at a request and what bounds the next one.
type Attempt struct {
	// Number counts the attempts so far, from 1.
	Number int
	// Outcome is what became of the last one.
	Outcome target.Outcome
	// Repeatable requests may run more than once.
	Repeatable bool
	// Strikes is the number of targets that the request crashed, as far as
	// known.
	Strikes int
	// Deadline is when the caller's time ends; zero means no deadline.
	Deadline time.Duration
	// TypicalDuration is how long an answer takes as a rule.
	TypicalDuration time.Duration
}

// Decision is whether to try again, or why not.
type Decision uint8

// Values of Decision.
const (
	// Granted retries are paid for: the caller must try again.
	Granted Decision = iota
	// MayHaveRun says that a request that is not repeatable may have run.
	MayHaveRun
	// Pointless says that the outcome asks for no retry.
	Pointless
	// Poisonous says that the request crashed two targets.
	Poisonous
	// Exhausted says that the request had its attempts.
	Exhausted
	// Late says that the deadline leaves too little time.
	Late
	// Unpaid says that the budget is empty or closed.
	Unpaid
)

var decisionNames = [...]string{
	"granted", "may-have-run", "pointless", "poisonous",
	"exhausted", "late", "unpaid",
}

// String returns the decision's name as logs show it.
func (d Decision) String() string {
	if int(d) < len(decisionNames) {
		return decisionNames[d]
	}
	return "unknown"
}

// New returns a budget that pays percent retries for each hundred successes.
func New(percent int) *Budget {
	return &Budget{
		percent: max(percent, 0),
	}
}

// Record counts the outcome of an attempt. It must be called once for each
// attempt, retries included, and before Decide.
func (b *Budget) Record(now time.Duration, outcome target.Outcome) {
	b.advance(now)
	switch outcome {
	case target.Succeeded:
		b.consecutiveFailures = 0
		if b.balance() < maxBalance {
			b.earned[b.newestSlot%windowSlots] += b.percent
		}
	case target.Cancelled:
	default:
		b.consecutiveFailures++
	}
}

// Decide tells whether to try again, and if so takes the retry from the budget.
func (b *Budget) Decide(now time.Duration, a Attempt) Decision {
	switch {
	case a.Outcome == target.Succeeded || a.Outcome == target.Cancelled:
		return Pointless
	case a.Strikes >= 2:
		return Poisonous
	case !a.Repeatable && !a.Outcome.NotRun():
		return MayHaveRun
	case a.Number >= maxAttempts:
		return Exhausted
	case a.Deadline != 0 && now+a.TypicalDuration >= a.Deadline:
		return Late
	}
	b.advance(now)
	if b.consecutiveFailures >= maxConsecutiveFailures || b.balance() < retryCost {
		return Unpaid
	}
	b.spent[b.newestSlot%windowSlots] += retryCost
	return Granted
}

// balance is what is left, in hundredths of a retry.
func (b *Budget) balance() int {
	sum := 0
	for i := range windowSlots {
		sum += b.earned[i] - b.spent[i]
	}
	return sum
}

// advance moves the window and empties the parts that it enters anew.
func (b *Budget) advance(now time.Duration) {
	slot := int64(now / (window / windowSlots))
	for n := max(b.newestSlot+1, slot-windowSlots+1); n <= slot; n++ {
		b.earned[n%windowSlots] = 0
		b.spent[n%windowSlots] = 0
	}
	b.newestSlot = max(b.newestSlot, slot)
}
