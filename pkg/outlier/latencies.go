package outlier

import (
	"cmp"
	"time"

	"dandelionmux/pkg/target"
)

// Parameters of the response timeout of a route.
const (
	// timeoutFactor times the mean latency of a route is its response timeout. About
	// one request in a hundred takes three to five times the mean on a healthy target,
	// and so exceeds the timeout unless minTimeout is longer.
	timeoutFactor = 3
	// overdueFactor times the expected latency of a route is how long a request waits
	// before another attempt is made beside it.
	overdueFactor = 2
	// minOverduePercent of the expected latency is the least time that a request waits.
	minOverduePercent = 150
	// minTimeout is the shortest response timeout.
	minTimeout = time.Second
	// minSamples is the number of answers needed before the mean latency is used.
	minSamples = 5
	// sampleWeight is the weight of a new sample in the moving average.
	sampleWeight = 0.1
	// defaultTimeout applies to a route without a latency objective until its mean
	// latency is known.
	defaultTimeout = 3 * time.Second
)

// Latencies tracks the mean latency of each route. It is not safe for concurrent
// use.
type Latencies struct {
	routes map[string]*runningMean
}

// runningMean is the arithmetic mean of the first samples and an exponentially
// weighted moving average from then on.
type runningMean struct {
	mean    time.Duration
	samples int
}

// NewLatencies returns a Latencies without any samples.
func NewLatencies() *Latencies {
	return &Latencies{
		routes: map[string]*runningMean{},
	}
}

// Add records the latency of one answer on a route.
func (l *Latencies) Add(route string, d time.Duration) {
	m := l.routes[route]
	if m == nil {
		m = &runningMean{}
		l.routes[route] = m
	}
	m.samples++
	if m.samples <= minSamples {
		m.mean += (d - m.mean) / time.Duration(m.samples)
		return
	}
	m.mean += time.Duration(sampleWeight * float64(d-m.mean))
}

// ResponseTimeout returns how long a request on the route may go unanswered before
// its target is considered too slow. Until enough answers have been recorded it
// returns the route's latency objective, or three seconds if the objective is zero.
func (l *Latencies) ResponseTimeout(route string, objective time.Duration) time.Duration {
	m := l.routes[route]
	if m == nil || m.samples < minSamples {
		return cmp.Or(objective, defaultTimeout)
	}
	return max(timeoutFactor*m.mean, minTimeout)
}

// Expected returns how long an answer on the route is expected to take, for the evidence
// that a target has stopped answering.
func (l *Latencies) Expected(route string, objective time.Duration) time.Duration {
	return l.ResponseTimeout(route, objective) / timeoutFactor
}

// Mean returns the mean latency of the route; zero until enough answers have been recorded.
func (l *Latencies) Mean(route string) time.Duration {
	m := l.routes[route]
	if m == nil || m.samples < minSamples {
		return 0
	}
	return m.mean
}

// OverdueAfter returns how long a request on the route waits for its answer before another
// attempt is made beside it. About one in ten waits longer at a sound target. If the route has a
// latency objective, that attempt begins early enough to be answered within it, unless retries
// are scarce.
func (l *Latencies) OverdueAfter(route string, objective time.Duration, scarce bool) time.Duration {
	expected := l.Expected(route, objective)
	overdue := overdueFactor * expected
	if objective > 0 && !scarce {
		overdue = min(overdue, max(objective-expected, expected*minOverduePercent/100))
	}
	return overdue
}

// LikelyWithin reports whether a request on the route is likely to be answered within a time. At
// a sound target about one in ten of those that may not be repeated takes longer than is assumed,
// and about one in four of the others, whose callers can ask again.
func (l *Latencies) LikelyWithin(route string, objective, left time.Duration, repeatable bool) bool {
	percent := overdueFactor * 100
	if repeatable {
		percent = minOverduePercent
	}
	return left >= l.Expected(route, objective)*time.Duration(percent)/100
}

// EffectiveOutcome returns the outcome to record for a target. A request that timed
// out before the route's response timeout had passed is returned as Cancelled,
// because its own short deadline says nothing about the target.
func EffectiveOutcome(o target.Outcome, latency, timeout time.Duration) target.Outcome {
	if o == target.TimedOut && latency < timeout {
		return target.Cancelled
	}
	return o
}
