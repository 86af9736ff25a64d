package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionmux/internal/boot"
)

// Pauses after failed calls to the store. Refused calls are counted and paid for
// like others, and all instances fail at once when the store is away.
const (
	minPause = 200 * time.Millisecond
	maxPause = 1600 * time.Millisecond
)

// backoff spaces the calls to a store that doesn't answer. It is safe for
// concurrent use.
type backoff struct {
	mu    sync.Mutex
	pause time.Duration
	until time.Duration
}

// recordFailure lengthens the pause, once for failures that overlap.
func (b *backoff) recordFailure(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.until {
		return
	}
	b.pause = min(max(2*b.pause, minPause), maxPause)
	b.until = now + b.pause/2 + rand.N(b.pause)
}

// reset ends the pause.
func (b *backoff) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause, b.until = 0, 0
}

// remaining is how long the pause still lasts.
func (b *backoff) remaining(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.until-now, 0)
}

// wait waits until the pause is over or the context ends.
func (b *backoff) wait(ctx context.Context) {
	if remaining := b.remaining(boot.Now()); remaining > 0 {
		sleep(ctx, remaining)
	}
}
