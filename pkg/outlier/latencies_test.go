package outlier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/target"
)

// TestResponseTimeout checks the response timeout with no, few and enough samples.
func TestResponseTimeout(t *testing.T) {
	tests := []struct {
		name      string
		samples   []time.Duration
		objective time.Duration
		want      time.Duration
	}{
		{
			name: "no samples and no objective",
			want: 3 * time.Second,
		},
		{
			name:      "objective while samples are few",
			samples:   []time.Duration{time.Second, time.Second},
			objective: 1200 * time.Millisecond,
			want:      1200 * time.Millisecond,
		},
		{
			name:      "three times the mean latency",
			samples:   []time.Duration{500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond},
			objective: 1200 * time.Millisecond,
			want:      1500 * time.Millisecond,
		},
		{
			name:    "at least one second",
			samples: []time.Duration{10 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond},
			want:    time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := outlier.NewLatencies()
			for _, d := range tt.samples {
				l.Add("route", d)
			}
			is.Equal(l.ResponseTimeout("route", tt.objective), tt.want)
			is.Equal(l.ResponseTimeout("other", tt.objective), outlier.NewLatencies().ResponseTimeout("other", tt.objective))
		})
	}
}

// Requests with a deadline shorter than any answer takes, such as those that test a
// route's timeout, must not eject the targets at which they time out.
func TestRequestsWithShortDeadlinesDoNotCountAsTimeouts(t *testing.T) {
	tests := []struct {
		name    string
		outcome target.Outcome
		latency time.Duration
		want    target.Outcome
	}{
		{
			name:    "deadline shorter than the response timeout",
			outcome: target.TimedOut,
			latency: 400 * time.Millisecond,
			want:    target.Cancelled,
		},
		{
			name:    "response timeout exceeded",
			outcome: target.TimedOut,
			latency: 1100 * time.Millisecond,
			want:    target.TimedOut,
		},
		{
			name:    "connection died early",
			outcome: target.Crashed,
			latency: time.Millisecond,
			want:    target.Crashed,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(outlier.EffectiveOutcome(tt.outcome, tt.latency, time.Second), tt.want)
		})
	}
}

// Load: some reads meet a target that has stopped answering. Guards against a second attempt
// that begins too late to be answered within the route's latency objective, and against
// needless ones that use up the retry budget while retries are scarce.
func TestReadAtATargetThatHangsIsStillInTime(t *testing.T) {
	tests := []struct {
		name      string
		latency   time.Duration
		objective time.Duration
		scarce    bool
		overdue   time.Duration
	}{
		{
			name:      "time for another attempt",
			latency:   800 * time.Millisecond,
			objective: 2 * time.Second,
			overdue:   1200 * time.Millisecond,
		},
		{
			name:      "retries are scarce",
			latency:   800 * time.Millisecond,
			objective: 2 * time.Second,
			scarce:    true,
			overdue:   1600 * time.Millisecond,
		},
		{
			name:      "much time",
			latency:   800 * time.Millisecond,
			objective: 10 * time.Second,
			overdue:   1600 * time.Millisecond,
		},
		{
			name:      "no time for another attempt",
			latency:   800 * time.Millisecond,
			objective: time.Second,
			overdue:   1200 * time.Millisecond,
		},
		{
			name:    "no objective",
			latency: 800 * time.Millisecond,
			overdue: 1600 * time.Millisecond,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := outlier.NewLatencies()
			for range 10 {
				l.Add("read", tt.latency)
			}
			is.Equal(l.OverdueAfter("read", tt.objective, tt.scarce), tt.overdue)
		})
	}
}

// Guards against requests that are begun shortly before their instance stops, and against refusing
// those that would be finished.
func TestLikelyWithin(t *testing.T) {
	tests := []struct {
		name       string
		samples    int
		left       time.Duration
		repeatable bool
		want       bool
	}{
		{name: "write, twice the usual", samples: 5, left: 2 * time.Second, want: true},
		{name: "write, less", samples: 5, left: 1900 * time.Millisecond},
		{name: "read, once and a half", samples: 5, left: 1500 * time.Millisecond, repeatable: true, want: true},
		{name: "read, less", samples: 5, left: 1400 * time.Millisecond, repeatable: true},
		{name: "the usual isn't known, as the objective says", left: 4 * time.Second, want: true},
		{name: "the usual isn't known, less than the objective says", left: 3900 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := outlier.NewLatencies()
			for range tt.samples {
				l.Add("r", time.Second)
			}
			is.New(t).Equal(l.LikelyWithin("r", 6*time.Second, tt.left, tt.repeatable), tt.want)
		})
	}
}
