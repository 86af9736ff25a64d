package evacuation_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/evacuation"
)

// Guards against requests to a zone whose evacuation was not ended by the operator, and against a
// zone that stays evacuated after that.
func TestEvacuationLastsUntilItIsEnded(t *testing.T) {
	const now = time.Hour
	tests := []struct {
		name   string
		change func(z *evacuation.Zones)
		// at is when the zone is looked at.
		at        time.Duration
		evacuated bool
	}{
		{
			name:   "not requested",
			change: func(*evacuation.Zones) {},
			at:     now,
		},
		{
			name:      "requested long ago",
			change:    func(z *evacuation.Zones) { z.Begin(now, "mill") },
			at:        now + 100*time.Hour,
			evacuated: true,
		},
		{
			name: "removed",
			change: func(z *evacuation.Zones) {
				z.Begin(now, "mill")
				z.End(now, "mill", false)
			},
			at: now,
		},
		{
			name: "lost by the store lately",
			change: func(z *evacuation.Zones) {
				z.Begin(now, "mill")
				z.End(now, "mill", true)
			},
			at:        now + 59*time.Second,
			evacuated: true,
		},
		{
			name: "lost by the store twice",
			change: func(z *evacuation.Zones) {
				z.Begin(now, "mill")
				z.End(now, "mill", true)
				z.End(now+30*time.Second, "mill", true)
			},
			at: now + 60*time.Second,
		},
		{
			name: "lost and written again",
			change: func(z *evacuation.Zones) {
				z.Begin(now, "mill")
				z.End(now, "mill", true)
				z.Begin(now+time.Second, "mill")
			},
			at:        now + time.Hour,
			evacuated: true,
		},
		{
			name: "lost and removed",
			change: func(z *evacuation.Zones) {
				z.Begin(now, "mill")
				z.End(now, "mill", true)
				z.End(now+time.Second, "mill", false)
			},
			at: now + time.Second,
		},
		{
			name:   "another zone",
			change: func(z *evacuation.Zones) { z.Begin(now, "office") },
			at:     now,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			z := evacuation.New()
			tt.change(z)
			is.Equal(z.Evacuated(tt.at, "mill"), tt.evacuated)
		})
	}
}

// Guards against an end that is logged twice, or never.
func TestLostEvacuationExpiresOnce(t *testing.T) {
	is := is.New(t)
	z := evacuation.New()
	is.True(z.Begin(1, "mill"))
	is.True(!z.Begin(2, "mill"))
	z.Begin(3, "office")
	is.Equal(z.List(3), []string{"mill", "office"})
	is.True(!z.End(3, "mill", true))
	is.Equal(len(z.Expire(3)), 0)
	is.Equal(z.Expire(3+time.Minute), []string{"mill"})
	is.Equal(len(z.Expire(3+time.Minute)), 0)
	is.Equal(z.List(3+time.Minute), []string{"office"})
}
