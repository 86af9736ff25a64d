package warmup_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/warmup"
)

// policy has a bound of 13.55 requests in any one second.
var policy = warmup.Policy{Duration: 10 * time.Second, PerSecond: 3.7, Overage: 1.5, Slack: 8}

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
	first := func(time.Duration, int) int { return 0 }
	halves := func(_ time.Duration, i int) int { return i % 2 }
	replaced := func(now time.Duration, _ int) int { return int(now/(700*time.Millisecond)) % 2 }
	// The first instance doesn't know of the others, of which the latest is the keeper.
	latest := func(now time.Duration, i int) int {
		return min(int((now-start)/(2*time.Second)), i*instances, instances-1)
	}
	tests := []struct {
		name   string
		keeper func(now time.Duration, i int) int
		// learnsAfter is the time after start at which the first instance learns that the
		// target is cold, and each how much later the next does. The target has come back at
		// start, before any of them.
		learnsAfter, each time.Duration
		startsLate        bool // each instance starts when it learns
		// from is when requests begin to count.
		from time.Duration
	}{
		{name: "one keeper", keeper: first},
		{name: "two keepers", keeper: halves},
		{name: "keeper replaced again and again", keeper: replaced},
		{name: "instances that start late are keepers", keeper: latest, each: 2 * time.Second, startsLate: true},
		{
			name:        "usual load until told",
			keeper:      halves,
			learnsAfter: 2 * time.Second,
			each:        50 * time.Millisecond,
			// Requests that were sent before any instance could know can't be limited.
			from: start + 2*time.Second + (instances-1)*50*time.Millisecond,
		},
		{name: "keepers learn last", keeper: halves, learnsAfter: 2 * time.Second, each: -50 * time.Millisecond, from: start + 2*time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &fleet{limiters: make([]*warmup.Limiter, instances), keeper: tt.keeper}
			for now := start; now < start+12*time.Second; now += tick {
				for i := range f.limiters {
					learnsAt := start + tt.learnsAfter + time.Duration(i)*tt.each
					if f.limiters[i] == nil && (!tt.startsLate || now >= learnsAt) {
						f.limiters[i] = warmup.NewLimiter()
					}
					if now == learnsAt {
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

// takeAll asks for a permit at each tick from one time until another, and returns how many it gets.
func takeAll(l *warmup.Limiter, from, until time.Duration) int {
	granted := 0
	for now := from; now < until; now += tick {
		if l.Take(now, "desk-1", policy).Granted {
			granted++
		}
	}
	return granted
}

// Guards against a keeper that grants more than the target tolerates on average, or far less.
func TestKeeperGrantsRateOnAverage(t *testing.T) {
	is := is.New(t)
	granted := float64(takeAll(warmup.NewLimiter(), start, start+60*time.Second))
	is.True(granted <= 60*policy.PerSecond)
	is.True(granted >= 60*policy.PerSecond*0.9)
}

// change is something that a limiter learns.
type change func(l *warmup.Limiter, p warmup.Policy)

func registered(at time.Duration, incarnation int64, remaining time.Duration) change {
	return func(l *warmup.Limiter, p warmup.Policy) { l.Registered(at, "desk-1", incarnation, remaining, p) }
}

func unreached(l *warmup.Limiter, p warmup.Policy) { l.Unreached(start, "desk-1", p) }

// reached is an answer at one second after start of an attempt that began at a time.
func reached(began time.Duration) change {
	return func(l *warmup.Limiter, _ warmup.Policy) { l.Reached(start+time.Second, "desk-1", began) }
}

func withdrawn(l *warmup.Limiter, _ warmup.Policy) { l.Withdraw("desk-1") }

// Guards against permits in the first second after a keeper has learnt that a target is cold,
// when requests that were sent without one still count.
func TestKeeperGrantsNothingAtFirst(t *testing.T) {
	tests := []struct {
		name string
		// coldUntil is the end of an earlier time in which the target was cold.
		coldUntil time.Duration
		learn     change
	}{
		{name: "by a request for a permit"},
		{name: "by the registration", learn: registered(start, 2, 10*time.Second)},
		{name: "by a failure to reach it", learn: unreached},
		{name: "by a failure to reach it, after it was cold earlier", coldUntil: start, learn: unreached},
		{name: "by a request, after it was cold earlier", coldUntil: start - 61*time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := warmup.NewLimiter()
			takeAll(l, time.Second, tt.coldUntil)
			if tt.learn != nil {
				tt.learn(l, policy)
			}
			is.Equal(takeAll(l, start, start+time.Second), 0)
			is.True(takeAll(l, start+time.Second, start+3*time.Second) > 0)
		})
	}
}

// Guards against a target that is taken for warm too early, or for cold for ever.
func TestColdTarget(t *testing.T) {
	again := reached(start + 500*time.Millisecond)
	tests := []struct {
		name      string
		unlimited bool
		changes   []change
		// after is the time after start at which the target is looked at.
		after time.Duration
		cold  bool
	}{
		{name: "unknown"},
		{name: "just registered", changes: []change{registered(start, 1, 4*time.Second)}, after: 3 * time.Second, cold: true},
		{name: "registered earlier", changes: []change{registered(start, 1, 4*time.Second)}, after: 4 * time.Second},
		{name: "no limit", unlimited: true, changes: []change{registered(start, 1, 4*time.Second), unreached}},
		{name: "not reached for long", changes: []change{unreached}, after: time.Hour, cold: true},
		{name: "reached again lately", changes: []change{unreached, again}, after: 10 * time.Second, cold: true},
		{name: "reached again earlier", changes: []change{unreached, again}, after: 11 * time.Second},
		{name: "not reached because of the links", changes: []change{unreached, withdrawn}},
		{
			name:    "answer of an attempt that began before",
			changes: []change{unreached, reached(start - time.Second)},
			after:   time.Minute,
			cold:    true,
		},
		{
			name:    "renewed registration of the run that isn't reached",
			changes: []change{registered(0, 1, 0), unreached, registered(start+time.Second, 1, 0)},
			after:   2 * time.Second,
			cold:    true,
		},
		{
			name:    "registration of another run that is warm",
			changes: []change{registered(0, 1, 0), unreached, registered(start+time.Second, 2, 0)},
			after:   2 * time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, p := warmup.NewLimiter(), policy
			if tt.unlimited {
				p = warmup.Policy{}
			}
			for _, apply := range tt.changes {
				apply(l, p)
			}
			is.New(t).Equal(l.Cold(start+tt.after, "desk-1", p), tt.cold)
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
