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
	type change func(z *evacuation.Zones)
	begin := func(at time.Duration, zone string) change {
		return func(z *evacuation.Zones) { z.Begin(at, zone) }
	}
	end := func(at time.Duration, setBack bool) change {
		return func(z *evacuation.Zones) { z.End(at, "mill", setBack) }
	}
	begun, lost := begin(now, "mill"), end(now, true)
	tests := []struct {
		name    string
		changes []change
		// at is when the zone is looked at.
		at        time.Duration
		evacuated bool
	}{
		{name: "not requested", at: now},
		{name: "requested long ago", changes: []change{begun}, at: now + 100*time.Hour, evacuated: true},
		{name: "removed", changes: []change{begun, end(now, false)}, at: now},
		{name: "lost by the store lately", changes: []change{begun, lost}, at: now + 59*time.Second, evacuated: true},
		{name: "lost by the store twice", changes: []change{begun, lost, end(now+30*time.Second, true)}, at: now + 60*time.Second},
		{name: "lost and written again", changes: []change{begun, lost, begin(now+time.Second, "mill")}, at: now + time.Hour, evacuated: true},
		{name: "lost and removed", changes: []change{begun, lost, end(now+time.Second, false)}, at: now + time.Second},
		{name: "another zone", changes: []change{begin(now, "office")}, at: now},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			z := evacuation.New()
			for _, apply := range tt.changes {
				apply(z)
			}
			is.New(t).Equal(z.Evacuated(tt.at, "mill"), tt.evacuated)
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
