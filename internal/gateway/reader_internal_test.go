package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// applyBound is how soon an accepted configuration must be in force on every
// instance that reaches the store.
const applyBound = 2 * time.Second

// A reader that the store turns away without a word, right after its last proof
// and right before a change, must be found out in time to look at the store
// oneself.
func TestChangeIsInForceInTimeWhenTheReaderIsTurnedAway(t *testing.T) {
	tests := []struct {
		name  string
		found time.Duration
	}{
		{
			name:  "reader goes on answering with an old proof",
			found: maxReaderAge,
		},
		{
			name:  "reader stands still after it was asked",
			found: copyTimeout,
		},
		{
			name:  "reader is gone without a reset",
			found: peerDialTimeout + copyTimeout,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(tt.found+catchUpTimeout < applyBound)
		})
	}
}
