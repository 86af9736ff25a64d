package meter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/meter"
)

var unlimited = meter.TargetLimit{
	Kind: meter.Unlimited,
}

func limited(perSecond float64) meter.TargetLimit {
	return meter.TargetLimit{
		Kind:      meter.Limited,
		PerSecond: perSecond,
	}
}

// Guards against a target that gets more, or far fewer, requests than the limit that it
// has named, while many instances want to send it some.
func TestTargetGetsWhatItsLimitAllows(t *testing.T) {
	const tick = 5 * time.Millisecond
	tests := []struct {
		name      string
		perSecond float64
		// replaced is how often another instance becomes the keeper, or zero for never.
		replaced time.Duration
	}{
		{
			name:      "small",
			perSecond: 1.1,
		},
		{
			name:      "below one",
			perSecond: 0.3,
		},
		{
			name:      "large",
			perSecond: 20,
		},
		{
			name:      "keeper replaced every second",
			perSecond: 5,
			replaced:  time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			keeper := meter.NewTargetLimits()
			var granted []time.Duration
			for now := time.Second; now < 61*time.Second; now += tick {
				if tt.replaced > 0 && now%tt.replaced == 0 {
					keeper = meter.NewTargetLimits()
				}
				if keeper.Take(now, "desk-1", limited(tt.perSecond)).Granted {
					granted = append(granted, now)
				}
			}
			most, from := 0, 0
			for i, at := range granted {
				for granted[from] <= at-4*time.Second {
					from++
				}
				most = max(most, i-from+1)
			}
			t.Logf("%d granted, at most %d in 4 s", len(granted), most)
			is.True(float64(most) <= 4*tt.perSecond*1.5+5)
			is.True(float64(len(granted)) >= 60*tt.perSecond*0.7)
		})
	}
}

// Guards against instances that ask a keeper again all at once, or never.
func TestRefusedInstancesAreSpread(t *testing.T) {
	is := is.New(t)
	keeper := meter.NewTargetLimits()
	last := time.Duration(0)
	for range 4 {
		d := keeper.Take(time.Minute, "desk-1", limited(2))
		is.True(!d.Granted)
		is.True(d.RetryAfter > last)
		is.True(d.RetryAfter <= 5*time.Second)
		last = d.RetryAfter
	}
}

func TestTargetLimitFollowsAnswers(t *testing.T) {
	const now = time.Minute
	is := is.New(t)
	l := meter.NewTargetLimits()
	is.True(!l.Update(now, "desk-1", unlimited)) // as before
	is.True(!l.Update(now, "desk-1", meter.TargetLimit{}))
	is.True(l.Update(now, "desk-1", limited(3)))
	is.True(!l.Update(now, "desk-1", limited(3)))
	is.Equal(l.Limit("desk-1"), limited(3))
	is.True(!l.Update(now, "desk-1", meter.TargetLimit{})) // an answer that says nothing
	is.Equal(l.Limit("desk-1"), limited(3))
	is.True(l.Update(now, "desk-1", limited(1)))
	is.True(!l.Take(now, "desk-1", limited(3)).Granted) // no units yet
	is.True(l.Update(now, "desk-1", unlimited))
	is.Equal(l.Limit("desk-1").Kind, meter.Unlimited)
	l.Update(now, "desk-2", limited(3))
	l.Retain(func(name string) bool { return name == "desk-1" })
	is.Equal(l.Limit("desk-2").Kind, meter.Unlimited)
	is.True(!l.TakeWithoutKeeper().Granted)
}

// A target that takes nothing must still get a request from time to time, because only
// its answers tell that the limit has ended.
func TestTargetWithLimitZeroIsAskedFromTimeToTime(t *testing.T) {
	is := is.New(t)
	l := meter.NewTargetLimits()
	granted := 0
	for now := time.Second; now < 61*time.Second; now += 100 * time.Millisecond {
		if l.Take(now, "desk-1", limited(0)).Granted {
			granted++
		}
	}
	is.True(granted >= 5 && granted <= 6)
}
