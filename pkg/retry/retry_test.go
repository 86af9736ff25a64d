package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

// budgetAfterSuccesses returns a budget that has recorded n successes.
func budgetAfterSuccesses(n int) *retry.Budget {
	b := retry.New(10)
	for range n {
		b.Record(time.Second, target.Succeeded)
	}
	return b
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		attempt retry.Attempt
		want    retry.Decision
	}{
		{name: "repeatable", attempt: retry.Attempt{Number: 1, Outcome: target.Failed, Repeatable: true}, want: retry.Granted},
		{name: "write failed", attempt: retry.Attempt{Number: 1, Outcome: target.Failed}, want: retry.MayHaveRun},
		{name: "write timed out", attempt: retry.Attempt{Number: 1, Outcome: target.TimedOut}, want: retry.MayHaveRun},
		{name: "write truncated", attempt: retry.Attempt{Number: 1, Outcome: target.Truncated}, want: retry.MayHaveRun},
		{name: "write crashed", attempt: retry.Attempt{Number: 1, Outcome: target.Crashed, Strikes: 1}, want: retry.MayHaveRun},
		{name: "write shed", attempt: retry.Attempt{Number: 1, Outcome: target.Shed}, want: retry.Granted},
		{name: "write refused", attempt: retry.Attempt{Number: 1, Outcome: target.Refused}, want: retry.Granted},
		{name: "cancelled", attempt: retry.Attempt{Number: 1, Outcome: target.Cancelled, Repeatable: true}, want: retry.NoRetryNeeded},
		{name: "succeeded", attempt: retry.Attempt{Number: 1, Repeatable: true}, want: retry.NoRetryNeeded},
		{name: "first strike", attempt: retry.Attempt{Number: 1, Outcome: target.Crashed, Repeatable: true, Strikes: 1}, want: retry.Granted},
		{name: "second strike", attempt: retry.Attempt{Number: 2, Outcome: target.Crashed, Repeatable: true, Strikes: 2}, want: retry.CrashedTwoTargets},
		{name: "third attempt", attempt: retry.Attempt{Number: 3, Outcome: target.Failed, Repeatable: true}, want: retry.Exhausted},
		{name: "no time", attempt: retry.Attempt{Number: 1, Outcome: target.Failed, Repeatable: true, Deadline: 1020 * time.Millisecond, TypicalDuration: 25 * time.Millisecond}, want: retry.Late},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(budgetAfterSuccesses(100).Decide(time.Second, tt.attempt), tt.want)
		})
	}
}

// When nothing succeeds, retries must add next to nothing to the load of the failing
// service, even if the budget was full.
func TestOutageIsNotAmplified(t *testing.T) {
	is := is.New(t)
	const requests = 100
	b := budgetAfterSuccesses(10_000)
	attempts := 0
	for n := range requests {
		now := time.Second + time.Duration(n)*10*time.Millisecond
		for number := 1; ; number++ {
			attempts++
			b.Record(now, target.TimedOut)
			d := b.Decide(now, retry.Attempt{Number: number, Outcome: target.TimedOut, Repeatable: true})
			if d != retry.Granted {
				break
			}
		}
	}
	t.Logf("%d attempts at %d requests", attempts, requests)
	is.True(attempts*10 <= requests*11) // 1.1 attempts each at most
}

func TestRetriesStayWithinTheFraction(t *testing.T) {
	is := is.New(t)
	b := retry.New(10)
	const requests = 10_000
	granted := 0
	for n := range requests {
		now := time.Duration(n) * time.Millisecond
		b.Record(now, target.Succeeded)
		if n%2 == 0 {
			b.Record(now, target.Failed)
			if b.Decide(now, retry.Attempt{Number: 1, Outcome: target.Failed, Repeatable: true}) == retry.Granted {
				granted++
			}
		}
	}
	is.True(granted <= requests/10)
	is.True(granted > requests/10-20) // and all of it can be used
}

// A long run of successes must not save up an unlimited number of retries.
func TestSavingsAreBounded(t *testing.T) {
	is := is.New(t)
	b := budgetAfterSuccesses(10_000)
	granted := 0
	for range 100 {
		b.Record(time.Second, target.Failed)
		if b.Decide(time.Second, retry.Attempt{Number: 1, Outcome: target.Failed, Repeatable: true}) == retry.Granted {
			granted++
		}
		b.Record(time.Second, target.Succeeded)
	}
	is.True(granted <= 20) // ten saved, ten earned meanwhile
}

func TestSuccessesLapse(t *testing.T) {
	is := is.New(t)
	b := budgetAfterSuccesses(100)
	a := retry.Attempt{Number: 1, Outcome: target.Failed, Repeatable: true}
	is.Equal(b.Decide(10*time.Second, a), retry.Granted)
	is.Equal(b.Decide(11*time.Second, a), retry.BudgetEmpty) // ten seconds later
}

func BenchmarkDecide(b *testing.B) {
	budget := budgetAfterSuccesses(100)
	a := retry.Attempt{Number: 1, Outcome: target.Failed, Repeatable: true}
	b.ReportAllocs()
	for b.Loop() {
		budget.Record(time.Second, target.Succeeded)
		budget.Decide(time.Second, a)
	}
}
