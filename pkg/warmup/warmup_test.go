package warmup_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/warmup"
)

// policy has a bound of 13.55 requests in any one second.
var policy = warmup.Policy{
	Duration:  10 * time.Second,
	PerSecond: 3.7,
	Overage:   1.5,
	Slack:     8,
}

const (
	tick  = 5 * time.Millisecond
	start = 4 * time.Minute
)

// mostInOneSecond returns the largest number of the times, in order, within any second.
func mostInOneSecond(times []time.Duration) int {
	most, from := 0, 0
	for i, at := range times {
		for times[from] < at-time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// fleet is a number of instances that each send a cold target as much as they may.
type fleet struct {
	limiters []*warmup.Limiter
	// keeper returns the index of the instance that an instance takes for the keeper.
	keeper func(now time.Duration, i int) int
	// permits holds until when the permits in use must be sent.
	permits []time.Duration
	sent    []time.Duration
	// unpermitted is when the last request was sent without a permit, and permitted when the
	// first was sent with one.
	unpermitted time.Duration
	permitted   time.Duration
}

// step lets each instance ask once. Permits are used all at once, at the last moment of the oldest:
// this is the worst that delays can do.
func (f *fleet) step(now time.Duration) {
	if len(f.permits) > 0 && f.permits[0] <= now {
		for range f.permits {
			f.sent = append(f.sent, now)
		}
		f.permits = nil
		if f.permitted == 0 {
			f.permitted = now
		}
	}
	for i, l := range f.limiters {
		switch {
		case l == nil:
		case !l.Cold(now, "desk-1", policy):
			if now%(100*time.Millisecond) == 0 {
				f.sent = append(f.sent, now)
				f.unpermitted = now
			}
		case f.limiters[f.keeper(now, i)].Take(now, "desk-1", policy).Granted:
			f.permits = append(f.permits, now+warmup.PermitTerm)
		}
	}
}

// Guards against a cold target that gets more than the bound in a second: from keepers that
// don't know of each other, from instances that start late, and from requests sent before the
// fleet knew that the target is cold.
func TestColdTargetGetsNoMoreThanBound(t *testing.T) {
	const instances = 6
	halves := func(_ time.Duration, i int) int { return i % 2 }
	first := func(time.Duration, int) int { return 0 }
	tests := []struct {
		name   string
		keeper func(now time.Duration, i int) int
		// learnsAt returns when an instance learns that the target is cold. It has come back
		// at start, before any of them.
		learnsAt func(i int) time.Duration
		// startsAt returns when an instance starts.
		startsAt func(i int) time.Duration
		// from is when requests begin to count.
		from time.Duration
	}{
		{
			name:     "one keeper",
			keeper:   first,
			learnsAt: func(int) time.Duration { return start },
		},
		{
			name:     "two keepers",
			keeper:   halves,
			learnsAt: func(int) time.Duration { return start },
		},
		{
			name: "keeper replaced again and again",
			keeper: func(now time.Duration, _ int) int {
				return int(now/(700*time.Millisecond)) % 2
			},
			learnsAt: func(int) time.Duration { return start },
		},
		{
			// The first instance doesn't know of the others, of which the latest is the keeper.
			name: "instances that start late are keepers",
			keeper: func(now time.Duration, i int) int {
				return min(int((now-start)/(2*time.Second)), i*instances, instances-1)
			},
			learnsAt: func(i int) time.Duration { return start + time.Duration(i)*2*time.Second },
			startsAt: func(i int) time.Duration { return start + time.Duration(i)*2*time.Second },
		},
		{
			name:   "usual load until told",
			keeper: halves,
			learnsAt: func(i int) time.Duration {
				return start + 2*time.Second + time.Duration(i)*50*time.Millisecond
			},
			// Requests that were sent before any instance could know can't be limited.
			from: start + 2*time.Second + (instances-1)*50*time.Millisecond,
		},
		{
			name:   "keepers learn last",
			keeper: halves,
			learnsAt: func(i int) time.Duration {
				return start + 2*time.Second - time.Duration(i)*50*time.Millisecond
			},
			from: start + 2*time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &fleet{
				limiters: make([]*warmup.Limiter, instances),
				keeper:   tt.keeper,
			}
			for now := start; now < start+12*time.Second; now += tick {
				for i := range f.limiters {
					if f.limiters[i] == nil && (tt.startsAt == nil || now >= tt.startsAt(i)) {
						f.limiters[i] = warmup.NewLimiter()
					}
					if now == tt.learnsAt(i) {
						f.limiters[i].Registered(now, "desk-1", 2, 30*time.Second, policy)
					}
				}
				f.step(now)
			}
			var counted []time.Duration
			for _, at := range f.sent {
				if at >= tt.from {
					counted = append(counted, at)
				}
			}
			t.Logf("%d sent, at most %d in a second", len(counted), mostInOneSecond(counted))
			is.True(float64(mostInOneSecond(counted)) <= policy.Bound())
			is.True(len(counted) >= 20) // the target gets work
			is.True(f.permitted > f.unpermitted+time.Second)
		})
	}
}

// Guards against a keeper that grants more than the target tolerates on average, or far less.
func TestKeeperGrantsRateOnAverage(t *testing.T) {
	is := is.New(t)
	l := warmup.NewLimiter()
	granted := 0
	for now := start; now < start+60*time.Second; now += tick {
		if l.Take(now, "desk-1", policy).Granted {
			granted++
		}
	}
	is.True(float64(granted) <= 60*policy.PerSecond)
	is.True(float64(granted) >= 60*policy.PerSecond*0.9)
}

// Guards against permits in the first second after a keeper has learnt that a target is cold,
// when requests that were sent without one still count.
func TestKeeperGrantsNothingAtFirst(t *testing.T) {
	tests := []struct {
		name  string
		learn func(l *warmup.Limiter)
	}{
		{
			name:  "by a request for a permit",
			learn: func(*warmup.Limiter) {},
		},
		{
			name:  "by the registration",
			learn: func(l *warmup.Limiter) { l.Registered(start, "desk-1", 2, 10*time.Second, policy) },
		},
		{
			name:  "by a failure to reach it",
			learn: func(l *warmup.Limiter) { l.Unreached(start, "desk-1", policy) },
		},
		{
			name: "by a failure to reach it, after it was cold earlier",
			learn: func(l *warmup.Limiter) {
				for now := time.Second; now < start; now += tick {
					l.Take(now, "desk-1", policy)
				}
				l.Unreached(start, "desk-1", policy)
			},
		},
		{
			name: "by a request, after it was cold earlier",
			learn: func(l *warmup.Limiter) {
				for now := time.Second; now < start-61*time.Second; now += tick {
					l.Take(now, "desk-1", policy)
				}
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := warmup.NewLimiter()
			tt.learn(l)
			now := start
			for !l.Take(now, "desk-1", policy).Granted {
				now += tick
			}
			is.True(now >= start+time.Second)
			is.True(now < start+3*time.Second)
		})
	}
}

// Guards against a target that is taken for warm too early, or for cold for ever.
func TestColdTarget(t *testing.T) {
	tests := []struct {
		name   string
		policy warmup.Policy
		change func(l *warmup.Limiter)
		// after is the time after start at which the target is looked at.
		after time.Duration
		cold  bool
	}{
		{
			name:   "unknown",
			policy: policy,
			change: func(*warmup.Limiter) {},
		},
		{
			name:   "just registered",
			policy: policy,
			change: func(l *warmup.Limiter) { l.Registered(start, "desk-1", 1, 4*time.Second, policy) },
			after:  3 * time.Second,
			cold:   true,
		},
		{
			name:   "registered earlier",
			policy: policy,
			change: func(l *warmup.Limiter) { l.Registered(start, "desk-1", 1, 4*time.Second, policy) },
			after:  4 * time.Second,
		},
		{
			name: "no limit",
			change: func(l *warmup.Limiter) {
				l.Registered(start, "desk-1", 1, 4*time.Second, warmup.Policy{})
				l.Unreached(start, "desk-1", warmup.Policy{})
			},
		},
		{
			name:   "not reached for long",
			policy: policy,
			change: func(l *warmup.Limiter) { l.Unreached(start, "desk-1", policy) },
			after:  time.Hour,
			cold:   true,
		},
		{
			name:   "reached again lately",
			policy: policy,
			change: func(l *warmup.Limiter) {
				l.Unreached(start, "desk-1", policy)
				l.Reached(start+time.Second, "desk-1", start+500*time.Millisecond)
			},
			after: 10 * time.Second,
			cold:  true,
		},
		{
			name:   "reached again earlier",
			policy: policy,
			change: func(l *warmup.Limiter) {
				l.Unreached(start, "desk-1", policy)
				l.Reached(start+time.Second, "desk-1", start+500*time.Millisecond)
			},
			after: 11 * time.Second,
		},
		{
			name:   "not reached because of the links",
			policy: policy,
			change: func(l *warmup.Limiter) {
				l.Unreached(start, "desk-1", policy)
				l.Withdraw("desk-1")
			},
		},
		{
			name:   "answer of an attempt that began before",
			policy: policy,
			change: func(l *warmup.Limiter) {
				l.Unreached(start, "desk-1", policy)
				l.Reached(start+time.Second, "desk-1", start-time.Second)
			},
			after: time.Minute,
			cold:  true,
		},
		{
			name:   "renewed registration of the run that isn't reached",
			policy: policy,
			change: func(l *warmup.Limiter) {
				l.Registered(0, "desk-1", 1, 0, policy)
				l.Unreached(start, "desk-1", policy)
				l.Registered(start+time.Second, "desk-1", 1, 0, policy)
			},
			after: 2 * time.Second,
			cold:  true,
		},
		{
			name:   "registration of another run that is warm",
			policy: policy,
			change: func(l *warmup.Limiter) {
				l.Registered(0, "desk-1", 1, 0, policy)
				l.Unreached(start, "desk-1", policy)
				l.Registered(start+time.Second, "desk-1", 2, 0, policy)
			},
			after: 2 * time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := warmup.NewLimiter()
			tt.change(l)
			is.Equal(l.Cold(start+tt.after, "desk-1", tt.policy), tt.cold)
		})
	}
}

// Guards against instances that ask the keeper again all at once.
func TestRefusedInstancesAreSpread(t *testing.T) {
	is := is.New(t)
	l := warmup.NewLimiter()
	last := time.Duration(0)
	for range 2 {
		d := l.Take(start, "desk-1", policy)
		is.True(!d.Granted)
		is.True(d.RetryAfter > last)
		last = d.RetryAfter
	}
	is.True(last <= 2*time.Second)
}
