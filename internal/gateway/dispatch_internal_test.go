package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/target"
)

// Another target has the address: the one that was meant isn't there.
func TestAnotherTargetAtTheAddress(t *testing.T) {
	is := is.New(t)
	p := &slot{
		responseTimeout: time.Second,
	}
	is.Equal(p.effectiveOutcome(entry.AttemptResult{
		Outcome:     target.Shed,
		Misdirected: true,
	}), target.Refused)
	// What the request itself cut short is passed on as no evidence.
	is.Equal(p.effectiveOutcome(entry.AttemptResult{
		Outcome: target.TimedOut,
		Latency: 400 * time.Millisecond,
	}), target.Cancelled)
}
