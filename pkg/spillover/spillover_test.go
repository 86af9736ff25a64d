package spillover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/spillover"
)

const ms = time.Millisecond

// A request of 100 ms with 2 s left, which should be answered within 500 ms.
var ordinary = ordinaryWithLeft(2 * time.Second)

func ordinaryWithLeft(left time.Duration) spillover.Request {
	return spillover.Request{Left: left, Objective: 500 * ms, ServiceTime: 100 * ms}
}

func waiting(d time.Duration) spillover.Home {
	return spillover.Home{Waiting: 1, Wait: d, Targets: 10}
}

// zoneB is a zone; near has free slots there, where the ordinary request is served after 120 ms.
func zoneB(free int, roundTrip time.Duration) []spillover.Zone {
	return []spillover.Zone{{Name: "b", Free: free, RoundTrip: roundTrip}}
}

func stay(reason string) spillover.Decision { return spillover.Stay{Reason: reason} }

func leave(zone string, gain time.Duration, reason string) spillover.Decision {
	return spillover.Leave{Zone: zone, Gain: gain, Reason: reason}
}

// Guards against requests that leave for nothing, and against requests that are late or unserved at
// home while another zone would serve them.
func TestDecide(t *testing.T) {
	near := zoneB(3, 10*ms)
	three := []spillover.Zone{{Name: "b", RoundTrip: 5 * ms}, {Name: "c", Free: 90, RoundTrip: 60 * ms}, {Name: "d", Free: 1, RoundTrip: 20 * ms}}
	unhurried := spillover.Request{Left: 2 * time.Second, ServiceTime: 100 * ms}
	tests := []struct {
		name    string
		home    spillover.Home
		request spillover.Request
		zones   []spillover.Zone
		want    spillover.Decision
	}{
		{name: "free slot at home", home: spillover.Home{Free: 1, Targets: 10}, request: ordinary, zones: near, want: stay(spillover.ReasonFreeSlot)},
		{
			name: "gains just less than a tenth of the objective",
			home: waiting(69 * ms), request: ordinary, zones: near, want: stay(spillover.ReasonSmallGain),
		},
		{name: "gains a tenth of the objective", home: waiting(70 * ms), request: ordinary, zones: near, want: leave("b", 50*ms, spillover.ReasonSooner)},
		{
			name: "late at home by less than the minimum gain",
			home: waiting(401 * ms), request: ordinary, zones: zoneB(1, 200*ms), want: leave("b", ms, spillover.ReasonLate),
		},
		{
			name: "late everywhere, for a gain that isn't worth the price",
			home: waiting(450 * ms), request: ordinary, zones: zoneB(1, 210*ms), want: stay(spillover.ReasonSmallGain),
		},
		{name: "unserved at home", home: waiting(1901 * ms), request: ordinary, zones: near, want: leave("b", 1880*ms, spillover.ReasonUnserved)},
		{name: "no usable target at home", home: spillover.Home{}, request: ordinary, zones: near, want: leave("b", 1880*ms, spillover.ReasonNoTargets)},
		{
			name: "slots of targets that aren't usable don't keep it",
			home: spillover.Home{Free: 4}, request: ordinary, zones: near, want: leave("b", 1880*ms, spillover.ReasonNoTargets),
		},
		{name: "other zones full", home: waiting(time.Minute), request: ordinary, zones: zoneB(0, 10*ms), want: stay(spillover.ReasonNoZone)},
		{name: "no other zone, and no target at home", home: spillover.Home{}, request: ordinary, want: stay(spillover.ReasonNoZone)},
		{
			name: "time left doesn't allow the way",
			home: spillover.Home{}, request: ordinaryWithLeft(119 * ms), zones: near, want: stay(spillover.ReasonNoTime),
		},
		{
			name: "time left just allows the way",
			home: spillover.Home{}, request: ordinaryWithLeft(120 * ms), zones: near, want: leave("b", 0, spillover.ReasonNoTargets),
		},
		{
			name: "no objective: the time left takes its place",
			home: waiting(210 * ms), request: unhurried, zones: near, want: stay(spillover.ReasonSmallGain),
		},
		{
			name: "nearest zone with free slots",
			home: waiting(time.Second), request: ordinary, zones: three, want: leave("d", 960*ms, spillover.ReasonLate),
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(spillover.Decide(tt.home, tt.request, tt.zones), tt.want)
		})
	}
}

// Guards against all allocators choosing the same of several equal zones, and against a zone with few
// free slots getting as much as one with many.
func TestEqualZonesShareByFreeSlots(t *testing.T) {
	is := is.New(t)
	zones := []spillover.Zone{
		{Name: "b", Free: 10, RoundTrip: 10 * ms},
		{Name: "c", Free: 30, RoundTrip: 10*ms + 900*time.Microsecond},
		{Name: "d", Free: 60, RoundTrip: 12 * ms},
	}
	chosen := make(map[string]int)
	for i := range 100 {
		draw := spillover.WithDraw(float64(i) / 100)
		d := spillover.Decide(waiting(time.Second), ordinary, zones, draw)
		chosen[d.(spillover.Leave).Zone]++
	}
	is.Equal(chosen, map[string]int{"b": 25, "c": 75})
	d := spillover.Decide(waiting(time.Second), ordinary, zones)
	is.Equal(d.(spillover.Leave).Zone, "c") // the most free slots, without a draw
}
