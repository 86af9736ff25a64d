package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/source"
)

// maxApplyDelay is the time within which an accepted configuration must be in force on
// every instance that reaches the store.
const maxApplyDelay = 2 * time.Second

// A reader may lose the store right after its last confirming read and right before a
// change. Its followers must detect that in time to follow the next in order, which has to
// read the store first, or to check the store themselves.
func TestLostReaderIsDetectedInTime(t *testing.T) {
	tests := []struct {
		name      string
		detection time.Duration
	}{
		{
			name:      "reader answers with an old confirmation",
			detection: source.MaxAge,
		},
		{
			name:      "reader stalls after the request",
			detection: copyTimeout,
		},
		{
			name:      "reader is gone and its host sends no reset",
			detection: peerDialTimeout + copyTimeout,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(tt.detection+max(catchUpTimeout, source.TakeoverTime) < maxApplyDelay)
		})
	}
}
