package spillover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/spillover"
)

// A request of 100 ms with 2 s left, which should be answered within 500 ms.
var ordinary = spillover.Request{
	Left:        2 * time.Second,
	Objective:   500 * time.Millisecond,
	ServiceTime: 100 * time.Millisecond,
}

// One zone with free slots, where the ordinary request is served after 120 ms.
var near = []spillover.Zone{
	{
		Name:      "b",
		Free:      3,
		RoundTrip: 10 * time.Millisecond,
	},
}

func waiting(d time.Duration) spillover.Home {
	return spillover.Home{
		Waiting: 1,
		Wait:    d,
		Targets: 10,
	}
}

// Guards against requests that leave for nothing, and against requests that are late or unserved at
// home while another zone would serve them.
func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		home    spillover.Home
		request spillover.Request
		zones   []spillover.Zone
		options []spillover.Option
		want    spillover.Decision
	}{
		{
			name: "free slot at home",
			home: spillover.Home{
				Free:    1,
				Targets: 10,
			},
			request: ordinary,
			zones:   near,
			want:    spillover.Stay{Reason: spillover.ReasonFreeSlot},
		},
		{
			name:    "gains just less than a tenth of the objective",
			home:    waiting(69 * time.Millisecond),
			request: ordinary,
			zones:   near,
			want:    spillover.Stay{Reason: spillover.ReasonSmallGain},
		},
		{
			name:    "gains a tenth of the objective",
			home:    waiting(70 * time.Millisecond),
			request: ordinary,
			zones:   near,
			want: spillover.Leave{
				Zone:   "b",
				Gain:   50 * time.Millisecond,
				Reason: spillover.ReasonSooner,
			},
		},
		{
			name:    "higher price",
			home:    waiting(70 * time.Millisecond),
			request: ordinary,
			zones:   near,
			options: []spillover.Option{spillover.WithMinimumGain(0.2)},
			want:    spillover.Stay{Reason: spillover.ReasonSmallGain},
		},
		{
			name: "late at home by less than the minimum gain",
			home: waiting(401 * time.Millisecond),
			request: spillover.Request{
				Left:        2 * time.Second,
				Objective:   500 * time.Millisecond,
				ServiceTime: 100 * time.Millisecond,
			},
			zones: []spillover.Zone{
				{
					Name:      "b",
					Free:      1,
					RoundTrip: 200 * time.Millisecond,
				},
			},
			want: spillover.Leave{
				Zone:   "b",
				Gain:   time.Millisecond,
				Reason: spillover.ReasonLate,
			},
		},
		{
			name:    "late everywhere, for a gain that isn't worth the price",
			home:    waiting(450 * time.Millisecond),
			request: ordinary,
			zones: []spillover.Zone{
				{
					Name:      "b",
					Free:      1,
					RoundTrip: 210 * time.Millisecond,
				},
			},
			want: spillover.Stay{Reason: spillover.ReasonSmallGain},
		},
		{
			name:    "unserved at home",
			home:    waiting(1901 * time.Millisecond),
			request: ordinary,
			zones:   near,
			want: spillover.Leave{
				Zone:   "b",
				Gain:   1880 * time.Millisecond,
				Reason: spillover.ReasonUnserved,
			},
		},
		{
			name:    "no usable target at home",
			home:    spillover.Home{},
			request: ordinary,
			zones:   near,
			want: spillover.Leave{
				Zone:   "b",
				Gain:   1880 * time.Millisecond,
				Reason: spillover.ReasonNoTargets,
			},
		},
		{
			name: "slots of targets that aren't usable don't keep it",
			home: spillover.Home{
				Free: 4,
			},
			request: ordinary,
			zones:   near,
			want: spillover.Leave{
				Zone:   "b",
				Gain:   1880 * time.Millisecond,
				Reason: spillover.ReasonNoTargets,
			},
		},
		{
			name:    "other zones full",
			home:    waiting(time.Minute),
			request: ordinary,
			zones: []spillover.Zone{
				{
					Name:      "b",
					RoundTrip: 10 * time.Millisecond,
				},
			},
			want: spillover.Stay{Reason: spillover.ReasonNoZone},
		},
		{
			name:    "no other zone, and no target at home",
			home:    spillover.Home{},
			request: ordinary,
			want:    spillover.Stay{Reason: spillover.ReasonNoZone},
		},
		{
			name: "time left doesn't allow the way",
			home: spillover.Home{},
			request: spillover.Request{
				Left:        119 * time.Millisecond,
				Objective:   500 * time.Millisecond,
				ServiceTime: 100 * time.Millisecond,
			},
			zones: near,
			want:  spillover.Stay{Reason: spillover.ReasonNoTime},
		},
		{
			name: "time left just allows the way",
			home: spillover.Home{},
			request: spillover.Request{
				Left:        120 * time.Millisecond,
				Objective:   500 * time.Millisecond,
				ServiceTime: 100 * time.Millisecond,
			},
			zones: near,
			want: spillover.Leave{
				Zone:   "b",
				Reason: spillover.ReasonNoTargets,
			},
		},
		{
			name: "no objective: the time left takes its place",
			home: waiting(210 * time.Millisecond),
			request: spillover.Request{
				Left:        2 * time.Second,
				ServiceTime: 100 * time.Millisecond,
			},
			zones: near,
			want:  spillover.Stay{Reason: spillover.ReasonSmallGain},
		},
		{
			name:    "nearest zone with free slots",
			home:    waiting(time.Second),
			request: ordinary,
			zones: []spillover.Zone{
				{
					Name:      "b",
					RoundTrip: 5 * time.Millisecond,
				},
				{
					Name:      "c",
					Free:      90,
					RoundTrip: 60 * time.Millisecond,
				},
				{
					Name:      "d",
					Free:      1,
					RoundTrip: 20 * time.Millisecond,
				},
			},
			want: spillover.Leave{
				Zone:   "d",
				Gain:   960 * time.Millisecond,
				Reason: spillover.ReasonLate,
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(spillover.Decide(tt.home, tt.request, tt.zones, tt.options...), tt.want)
		})
	}
}

// Guards against all allocators choosing the same of several equal zones, and against a zone with few
// free slots getting as much as one with many.
func TestEqualZonesShareByFreeSlots(t *testing.T) {
	is := is.New(t)
	zones := []spillover.Zone{
		{
			Name:      "b",
			Free:      10,
			RoundTrip: 10 * time.Millisecond,
		},
		{
			Name:      "c",
			Free:      30,
			RoundTrip: 10*time.Millisecond + 900*time.Microsecond,
		},
		{
			Name:      "d",
			Free:      60,
			RoundTrip: 12 * time.Millisecond,
		},
	}
	chosen := make(map[string]int)
	for i := range 100 {
		draw := spillover.WithDraw(float64(i) / 100)
		d := spillover.Decide(waiting(time.Second), ordinary, zones, draw)
		chosen[d.(spillover.Leave).Zone]++
	}
	is.Equal(chosen, map[string]int{
		"b": 25,
		"c": 75,
	})
	d := spillover.Decide(waiting(time.Second), ordinary, zones)
	is.Equal(d.(spillover.Leave).Zone, "c") // the most free slots, without a draw
}
