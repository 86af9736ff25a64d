package zoneload_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/zoneload"
)

// exchange sends a message from a to b and back, on clocks that differ by a day.
func exchange(now time.Duration, a, b *zoneload.RoundTrips, oneWay, held time.Duration) {
	const offset = 24 * time.Hour
	b.Receive(now+oneWay+offset, "a", "a:1", a.Stamp(now, "b:1"))
	back := now + oneWay + held
	a.Receive(back+oneWay, "b", "b:1", b.Stamp(back+offset, "a:1"))
}

// Guards against estimates that depend on the clocks of two instances agreeing, or on how long a time
// was held before it was echoed.
func TestRoundTripOfEchoedTimes(t *testing.T) {
	is := is.New(t)
	a, b := zoneload.NewRoundTrips(), zoneload.NewRoundTrips()
	is.Equal(a.Estimate(begin, "b"), 20*time.Millisecond) // the default
	exchange(begin, a, b, 4*time.Millisecond, 700*time.Millisecond)
	is.Equal(a.Estimate(begin+time.Second, "b"), 8*time.Millisecond)
	is.Equal(b.Estimate(begin+25*time.Hour, "a"), 20*time.Millisecond) // no echo yet
	exchange(begin+time.Second, a, b, 8*time.Millisecond, 200*time.Millisecond)
	is.Equal(a.Estimate(begin+2*time.Second, "b"), 9*time.Millisecond) // one eighth of the way
}

// Guards against an estimate from before a change of the link, or from before a restart at the same
// address, being believed for ever.
func TestStaleAndImpossibleRoundTrips(t *testing.T) {
	tests := []struct {
		name  string
		trip  time.Duration
		after time.Duration
		want  time.Duration
	}{
		{name: "short, stale", trip: 8 * time.Millisecond, after: 10 * time.Second, want: 20 * time.Millisecond},
		{name: "long, stale", trip: 80 * time.Millisecond, after: 10 * time.Second, want: 80 * time.Millisecond},
		{name: "forgotten", trip: 80 * time.Millisecond, after: time.Minute, want: 20 * time.Millisecond},
		{name: "echo of another clock, too long ago", trip: 2 * time.Second, want: 20 * time.Millisecond},
		{name: "echo of another clock, in the future", trip: -time.Second, want: 20 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := zoneload.NewRoundTrips()
			r.Receive(begin, "b", "b:1", zoneload.Stamp{Sent: time.Hour, Echo: begin - tt.trip})
			is.Equal(r.Estimate(begin+tt.after, "b"), tt.want)
		})
	}
}
