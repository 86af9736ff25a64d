package meter

import (
	"maps"
	"time"
)

const (
	// targetBurstSpan is the time whose requests a limited target may get at once, or
	// minTargetBurst if that is more. A burst of one would be lost whenever the instance
	// whose turn it is has no request.
	targetBurstSpan = 500 * time.Millisecond
	minTargetBurst  = 2
	// MinTargetRate is the number of requests a second that a target gets even if its
	// limit is lower: only its answers tell that the limit has ended.
	MinTargetRate = 0.1
	// noKeeperHold is how long an instance leaves a limited target alone after its keeper
	// did not answer.
	noKeeperHold = time.Second
)

// LimitKind says whether a target limits the requests that it takes.
type LimitKind uint8

// Values of LimitKind.
const (
	// NotStated means that the answer says nothing.
	NotStated LimitKind = iota
	// Unlimited means that the target names no limit, or no longer.
	Unlimited
	// Limited means that the target names a limit.
	Limited
)

// TargetLimit is what a target's answer says about the requests that it takes.
type TargetLimit struct {
	Kind LimitKind
	// PerSecond is the number of requests a second that the target takes from all
	// instances together, at least zero. It is set if Kind is Limited.
	PerSecond float64
}

// TargetLimits holds the limits that targets have named, and enforces those that this
// instance keeps. A target has one keeper in the whole fleet. Every request to a limited
// target needs its permission, first attempts, retries and those on probation alike; a
// request without it goes to another target or is refused. An instance that reaches no
// keeper sends the target nothing: the limit is too small to be split. TargetLimits is not
// safe for concurrent use.
type TargetLimits struct {
	limits map[string]*namedLimit
}

// namedLimit is the limit of one target.
type namedLimit struct {
	perSecond float64
	// tokens is used by the target's keeper. It starts without units, because another
	// keeper may have granted them.
	tokens
}

// NewTargetLimits returns limits of no target.
func NewTargetLimits() *TargetLimits {
	return &TargetLimits{
		limits: map[string]*namedLimit{},
	}
}

// Update takes in what an answer says, or what another instance has reported of one. It
// reports whether that is news.
func (l *TargetLimits) Update(now time.Duration, target string, limit TargetLimit) bool {
	old := l.limits[target]
	switch {
	case limit.Kind == Unlimited:
		delete(l.limits, target)
		return old != nil
	case limit.Kind != Limited || old != nil && old.perSecond == limit.PerSecond:
		return false
	case old == nil:
		l.limits[target] = &namedLimit{
			perSecond: limit.PerSecond,
			tokens: tokens{
				filledAt: now,
			},
		}
	default:
		old.refill(now)
		old.perSecond = limit.PerSecond
	}
	return true
}

// Limit returns the limit of a target, of Kind Limited or Unlimited.
func (l *TargetLimits) Limit(target string) TargetLimit {
	if n := l.limits[target]; n != nil {
		return TargetLimit{
			Kind:      Limited,
			PerSecond: n.perSecond,
		}
	}
	return TargetLimit{
		Kind: Unlimited,
	}
}

// Take decides as the target's keeper whether it may get a request now. The limit is what
// the asking instance knows; it counts if the keeper knows of none.
func (l *TargetLimits) Take(now time.Duration, target string, limit TargetLimit) Decision {
	if l.limits[target] == nil {
		l.Update(now, target, limit)
	}
	n := l.limits[target]
	if n == nil {
		return Decision{
			Granted: true,
		}
	}
	n.refill(now)
	decision := Decision{
		Granted:   n.level >= 1,
		PerSecond: n.rate(),
		Level:     n.level,
	}
	if decision.Granted {
		n.level--
	} else {
		decision.RetryAfter = n.scheduleRetry(now, 1, n.rate())
	}
	return decision
}

// TakeWithoutKeeper decides while the target's keeper can't be reached.
func (l *TargetLimits) TakeWithoutKeeper() Decision {
	return Decision{
		RetryAfter: noKeeperHold,
	}
}

// Retain forgets the limits of all other targets.
func (l *TargetLimits) Retain(isTarget func(name string) bool) {
	maps.DeleteFunc(l.limits, func(name string, _ *namedLimit) bool { return !isTarget(name) })
}

// rate returns how many requests a second are granted.
func (n *namedLimit) rate() float64 { return max(n.perSecond, MinTargetRate) }

// refill adds the units that came in since the last call.
func (n *namedLimit) refill(now time.Duration) {
	n.fill(now, n.rate(), max(n.rate()*targetBurstSpan.Seconds(), minTargetBurst))
}
