package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionmux/internal/boot"
)

// Limits of the mean pause after a failed call to the store; the actual pause is 0.5 to
// 1.5 times the mean. Rejected calls count towards any limit of calls and cost as much as
// others, and all instances fail at once when the store is unreachable.
const (
	minPause = 200 * time.Millisecond
	maxPause = 1600 * time.Millisecond
	// maxSubstitutePause is maxPause for the few instances of a zone that are to find out
	// soon when the store answers again.
	maxSubstitutePause = 400 * time.Millisecond
)

// backoff spaces calls to a store that does not answer. Its methods may be called
// concurrently.
type backoff struct {
	mu sync.Mutex
	// pause is the mean of the current pause, and until is when that pause ends. Both
	// are zero after a successful call.
	pause time.Duration
	until time.Duration
}

// recordFailure doubles the mean pause, up to most, and starts a pause. Failures during a
// pause don't lengthen it.
func (b *backoff) recordFailure(now, most time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.until {
		return
	}
	b.pause = min(max(2*b.pause, minPause), most)
	b.until = now + b.pause/2 + rand.N(b.pause)
}

// reset ends the pause after a successful call.
func (b *backoff) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause, b.until = 0, 0
}

// remaining returns how long the pause still lasts, or zero.
func (b *backoff) remaining(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.until-now, 0)
}

// wait waits until the pause is over or ctx ends.
func (b *backoff) wait(ctx context.Context) {
	if remaining := b.remaining(boot.Now()); remaining > 0 {
		sleep(ctx, remaining)
	}
}
