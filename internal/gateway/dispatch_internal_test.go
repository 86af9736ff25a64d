package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/target"
)

// Guards against counting an outcome unchanged where it says something else about the
// target, or nothing.
func TestEffectiveOutcome(t *testing.T) {
	is := is.New(t)
	s := &slot{
		responseTimeout: time.Second,
	}
	// A response of another target at the address means that the intended target is not
	// running there.
	is.Equal(s.effectiveOutcome(entry.AttemptResult{
		Outcome:     target.Shed,
		Misdirected: true,
	}), target.Refused)
	// A request that ended by its own timeout says nothing about the target.
	is.Equal(s.effectiveOutcome(entry.AttemptResult{
		Outcome: target.TimedOut,
		Latency: 400 * time.Millisecond,
	}), target.Cancelled)
}
