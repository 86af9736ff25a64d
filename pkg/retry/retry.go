package retry

import (
	"time"

	"dandelionmux/pkg/target"
)

const (
	// window is how long a success counts.
	window = 10 * time.Second
	// slots is the number of parts that the window moves by.
	slots = 10
	// unit is one retry in the budget's books.
	unit = 100
	// most is what is saved up at most; successes beyond it earn nothing.
	most = 10 * unit
	// closing is the run of failed attempts that closes the budget until the
	// next success.
	closing = 5
	// attempts bounds the attempts at one request.
	attempts = 3
)

// Budget pays for retries from recent successes. Make it with New; the zero
// value pays for none.
type Budget struct {
	// percent is what a success earns, in hundredths of a retry.
	percent int
	// earned and spent are in hundredths of a retry, by part of the window.
	earned [slots]int
	spent  [slots]int
	// part is the number of the newest part since the process began.
	part int64
	// failures is the run of failed attempts since the last success.
	failures int
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
		b.failures = 0
		if b.balance() < most {
			b.earned[b.part%slots] += b.percent
		}
	case target.Cancelled:
	default:
		b.failures++
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
	case a.Number >= attempts:
		return Exhausted
	case a.Deadline != 0 && now+a.TypicalDuration >= a.Deadline:
		return Late
	}
	b.advance(now)
	if b.failures >= closing || b.balance() < unit {
		return Unpaid
	}
	b.spent[b.part%slots] += unit
	return Granted
}

// balance is what is left, in hundredths of a retry.
func (b *Budget) balance() int {
	sum := 0
	for i := range slots {
		sum += b.earned[i] - b.spent[i]
	}
	return sum
}

// advance moves the window and empties the parts that it enters anew.
func (b *Budget) advance(now time.Duration) {
	part := int64(now / (window / slots))
	for n := max(b.part+1, part-slots+1); n <= part; n++ {
		b.earned[n%slots] = 0
		b.spent[n%slots] = 0
	}
	b.part = max(b.part, part)
}
