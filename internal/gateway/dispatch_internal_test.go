package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/target"
)

// Requests whose own time is shorter than any answer, such as those that only
// test a route's timeout, must not eject the targets that they time out at.
func TestShortRequestsAreNoEvidence(t *testing.T) {
	tests := []struct {
		name     string
		patience time.Duration
		ended    entry.Ended
		want     target.Outcome
	}{
		{
			name:     "deadline before the patience",
			patience: time.Second,
			ended: entry.Ended{
				Outcome: target.TimedOut,
				Latency: 400 * time.Millisecond,
			},
			want: target.Cancelled,
		},
		{
			name:     "deadline while nothing is known of the route",
			patience: unknownPatience,
			ended: entry.Ended{
				Outcome: target.TimedOut,
				Latency: 400 * time.Millisecond,
			},
			want: target.Cancelled,
		},
		{
			name:     "patience used up",
			patience: time.Second,
			ended: entry.Ended{
				Outcome: target.TimedOut,
				Latency: 1100 * time.Millisecond,
			},
			want: target.TimedOut,
		},
		{
			name:     "connection died early",
			patience: time.Second,
			ended: entry.Ended{
				Outcome: target.Crashed,
				Latency: time.Millisecond,
			},
			want: target.Crashed,
		},
		{
			name: "another target has the address",
			ended: entry.Ended{
				Outcome:   target.Shed,
				Elsewhere: true,
			},
			want: target.Refused,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := &place{
				patience: tt.patience,
			}
			is.Equal(p.outcome(tt.ended), tt.want)
		})
	}
}
