// Package retry decides whether a request may be tried once more.
//
// A retry helps when one target fails and hurts when all do. So retries are paid
// from a budget that only successes fill: each success of the last seconds earns a
// fixed fraction of one retry. When nothing succeeds the budget is soon empty, and
// a run of failures without any success closes it even earlier, so that an outage
// is not amplified.
//
// A request that is not repeatable is tried again only if the outcome proves that
// the target didn't run it. No request is tried again after it crashed a second
// target, or when its deadline leaves no time for a typical answer.
//
// Each instance has its own Budget for each service; package meter has the budget that
// is counted over the whole fleet. The methods of a Budget must not be called
// concurrently.
//
// # Usage
//
//	budget := retry.New(policy.RetryPercent)
//	budget.Record(now, outcome)
//	switch budget.Decide(now, attempt) {
//	case retry.Granted:
//		// Pick another target and send the request again.
//	default:
//		// Answer with the last outcome.
//	}
package retry
