package warmup

import (
	"maps"
	"slices"
	"time"

	"dandelionmux/pkg/meter"
)

const (
	// PermitTerm is how long after a permit was asked for the request may be sent: the two
	// sendings of a decision request wait 200 ms, and connecting takes up to 150 ms.
	PermitTerm = 400 * time.Millisecond
	// grantSpan is the time within which a keeper grants at most half of the bound. Permits
	// that were granted in this time may be used within one second.
	grantSpan = time.Second + PermitTerm
	// learningTime is how long a keeper grants nothing after it has learnt that a target is
	// cold. Others may learn that up to PermitTerm later.
	learningTime = grantSpan
	// reportedTerm is how long a keeper that learns only from requests that a target is cold
	// relies on that. A request after a longer pause may be about another cold time. Shorter
	// terms would refuse most requests of a service with little traffic.
	reportedTerm = time.Minute
	// keepers is the number of instances that may consider themselves the keeper of a
	// target at a time.
	keepers = 2
	// maxBurst is the number of permits that are granted at once. With one, a permit would be lost
	// whenever the instance whose turn it is has no request.
	maxBurst = 2
	// minHold and maxHold bound how long a target is held after a refused permit. maxHold is short,
	// because a target that is no longer cold should get its full share soon.
	minHold = 200 * time.Millisecond
	maxHold = 2 * time.Second
)

// Policy is a service's warm-up limit.
type Policy struct {
	// Duration is how long a target is cold after it starts.
	Duration time.Duration
	// PerSecond is the number of requests a second that a cold target tolerates.
	PerSecond float64
	// Overage is the factor of PerSecond that the bound allows, and Slack the number of
	// requests that it allows in addition.
	Overage float64
	Slack   float64
}

// Limits reports whether there is a limit at all.
func (p Policy) Limits() bool { return p.Duration > 0 && p.PerSecond > 0 && p.Overage > 0 }

// Bound returns how many requests a cold target receives at most in any one second.
func (p Policy) Bound() float64 { return p.PerSecond*p.Overage + p.Slack }

// Limiter tracks which targets are cold, and keeps the budgets of those for which this instance
// is the keeper.
type Limiter struct {
	targets map[string]*targetState
}

// targetState is what is known of one target.
type targetState struct {
	// incarnation is that of the latest registration, and registeredUntil until when the
	// target is cold by it.
	incarnation     int64
	registeredUntil time.Duration
	// unreached is set after the target could not be reached, last at unreachedAt. reachedAt
	// is when it was reached again, or zero.
	unreached   bool
	unreachedAt time.Duration
	reachedAt   time.Duration
	// budget is nil until this instance is asked as the keeper.
	budget *budget
}

// budget is the budget of one target at its keeper.
type budget struct {
	level    float64
	filledAt time.Duration
	// blockedUntil is until when nothing is granted.
	blockedUntil time.Duration
	askedAt      time.Duration
	// granted holds when permits were granted within grantSpan, oldest first.
	granted []time.Duration
	// lastRetry is the latest time for which a retry of a refused request is scheduled.
	lastRetry time.Duration
}

// NewLimiter returns a Limiter that knows no target.
func NewLimiter() *Limiter {
	return &Limiter{
		targets: map[string]*targetState{},
	}
}

func (l *Limiter) state(target string) *targetState {
	s := l.targets[target]
	if s == nil {
		s = &targetState{}
		l.targets[target] = s
	}
	return s
}

// change changes what is known of a target, and reports whether the target is cold since.
func (l *Limiter) change(now time.Duration, target string, p Policy, f func(*targetState)) bool {
	s := l.state(target)
	before := s.cold(now, p)
	f(s)
	began := !before && s.cold(now, p)
	if began && s.budget != nil {
		s.budget.block(now)
	}
	return began
}

// Registered records a target's registration, by which it is cold for the remaining time. It
// reports whether the target is cold since.
func (l *Limiter) Registered(now time.Duration, target string, incarnation int64, remaining time.Duration, p Policy) bool {
	return l.change(now, target, p, func(s *targetState) {
		if incarnation != s.incarnation {
			s.unreached = false
		}
		s.incarnation = incarnation
		s.registeredUntil = now + max(remaining, 0)
	})
}

// Unreached records that a target could not be reached, or that a connection to it broke: it may
// come back cold. It reports whether the target is cold since.
func (l *Limiter) Unreached(now time.Duration, target string, p Policy) bool {
	return l.change(now, target, p, func(s *targetState) {
		s.unreached = true
		s.unreachedAt, s.reachedAt = now, 0
	})
}

// Withdraw takes back that a target could not be reached: the cause was not the target.
func (l *Limiter) Withdraw(target string) {
	if s := l.targets[target]; s != nil {
		s.unreached = false
	}
}

// Reached records that a target answered an attempt that began at a time. It reports whether the
// target was reached again by that, so that the other instances should be told.
func (l *Limiter) Reached(now time.Duration, target string, began time.Duration) bool {
	s := l.targets[target]
	if s == nil || !s.unreached || s.reachedAt > 0 || began <= s.unreachedAt {
		return false
	}
	s.reachedAt = now
	return true
}

// Cold reports whether a request to the target needs a permit.
func (l *Limiter) Cold(now time.Duration, target string, p Policy) bool {
	s := l.targets[target]
	return s != nil && s.cold(now, p)
}

func (s *targetState) cold(now time.Duration, p Policy) bool {
	if !p.Limits() {
		return false
	}
	return now < s.registeredUntil || s.unreached && (s.reachedAt == 0 || now < s.reachedAt+p.Duration)
}

// Take decides as the target's keeper whether it may get a request now. The keeper may not know
// yet that the target is cold.
func (l *Limiter) Take(now time.Duration, target string, p Policy) meter.Decision {
	s := l.state(target)
	switch {
	case s.budget == nil:
		// Another keeper may have granted permits until now.
		s.budget = &budget{}
		s.budget.block(now)
	case !s.cold(now, p) && now > s.budget.askedAt+reportedTerm:
		s.budget.block(now)
	}
	s.budget.askedAt = now
	return s.budget.take(now, p)
}

// Retain forgets all other targets.
func (l *Limiter) Retain(isTarget func(name string) bool) {
	maps.DeleteFunc(l.targets, func(name string, _ *targetState) bool { return !isTarget(name) })
}

// block lets the budget grant nothing for learningTime.
func (b *budget) block(now time.Duration) {
	b.blockedUntil = now + learningTime
	b.level, b.filledAt = 0, b.blockedUntil
}

func (b *budget) take(now time.Duration, p Policy) meter.Decision {
	b.granted = slices.DeleteFunc(b.granted, func(at time.Duration) bool { return now-at > grantSpan })
	if now > b.filledAt {
		b.level = min(b.level+p.PerSecond*(now-b.filledAt).Seconds(), maxBurst)
		b.filledAt = now
	}
	decision := meter.Decision{
		Granted:   now >= b.blockedUntil && b.level >= 1 && len(b.granted) < int(p.Bound()/keepers),
		PerSecond: p.PerSecond,
		Level:     b.level,
	}
	if decision.Granted {
		b.level--
		b.granted = append(b.granted, now)
	} else {
		decision.RetryAfter = b.scheduleRetry(now, p)
	}
	return decision
}

// scheduleRetry returns when a refused request may be tried again, after those already
// scheduled. If all came back at once, most would be refused again.
func (b *budget) scheduleRetry(now time.Duration, p Policy) time.Duration {
	interval := time.Duration(min(1/p.PerSecond, maxHold.Seconds()) * float64(time.Second))
	b.lastRetry = min(max(b.lastRetry, b.blockedUntil, now)+interval, now+maxHold)
	return max(b.lastRetry-now, minHold)
}
