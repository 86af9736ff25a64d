package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against loops that call a rejecting store without pausing: the store rejects all
// calls of an instance for 10 s while three loops call it whenever the backoff allows.
func TestFailedCallsAreSpaced(t *testing.T) {
	is := is.New(t)
	var b backoff
	calls := 0
	for now := time.Second; now < 11*time.Second; now += time.Millisecond {
		for range 3 {
			if b.remaining(now) > 0 {
				continue
			}
			calls++
			b.recordFailure(now, maxPause)
		}
	}
	// Once the pause has grown there is at most one call in 0.8 s; a few more come before
	// that.
	is.True(calls <= 20)
	is.True(calls >= 4)
	b.reset()
	is.Equal(b.remaining(11*time.Second), time.Duration(0))
}
