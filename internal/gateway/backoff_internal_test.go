package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The store turns an instance away for 10 s, and three loops call it whenever they
// may.
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
			b.recordFailure(now)
		}
	}
	// One round of calls in 0.8 s at the least once the pause has grown, and a few
	// on the way there.
	is.True(calls <= 20)
	is.True(calls >= 4)
	b.reset()
	is.Equal(b.remaining(11*time.Second), time.Duration(0))
}
