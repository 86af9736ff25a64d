package meter

import "time"

// Bounds of Decision.RetryAfter.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// minPerSecond is the least rate that waits are computed with, in units a second,
	// so that they stay finite.
	minPerSecond = 0.01
)

// tokens is a token bucket with a schedule of retries.
type tokens struct {
	level    float64
	filledAt time.Duration
	// lastRetry is the latest time for which a retry of a refused request is scheduled.
	lastRetry time.Duration
}

// fill adds the units that came in since the last call, up to the burst.
func (t *tokens) fill(now time.Duration, perSecond, burst float64) {
	t.level = min(t.level+perSecond*(now-t.filledAt).Seconds(), burst)
	t.filledAt = now
}

// scheduleRetry schedules the retry of a refused request after the retries already
// scheduled, and returns how long until its units are available. If all requests were
// retried at once, most would be refused again.
func (t *tokens) scheduleRetry(now time.Duration, cost, perSecond float64) time.Duration {
	missing := cost - t.level
	if t.lastRetry > now {
		missing = cost
	}
	t.lastRetry = max(t.lastRetry, now) + time.Duration(missing/max(perSecond, minPerSecond)*float64(time.Second))
	t.lastRetry = min(t.lastRetry, now+maxRetryAfter)
	return max(t.lastRetry-now, minRetryAfter)
}
