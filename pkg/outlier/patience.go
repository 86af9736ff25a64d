package outlier

import (
	"cmp"
	"time"

	"dandelionmux/pkg/target"
)

// Limits of patience with a target.
const (
	// patienceFactor times the usual latency of a route is too long. One request
	// in a hundred takes three to five times as long by itself.
	patienceFactor = 3
	// patienceLeast is the shortest patience.
	patienceLeast = time.Second
	// usualSamples is how many answers make a usual latency.
	usualSamples = 5
	// usualWeight is the weight of a new sample in the average.
	usualWeight = 0.1
	// unknownPatience holds for routes without an objective while their usual
	// latency isn't known.
	unknownPatience = 3 * time.Second
)

// Latencies keeps the usual latency of each route. Its methods must not be called
// at the same time.
type Latencies struct {
	routes map[string]*usual
}

// usual is a running average of latencies.
type usual struct {
	mean    time.Duration
	samples int
}

// NewLatencies returns one that knows no route.
func NewLatencies() *Latencies {
	return &Latencies{
		routes: map[string]*usual{},
	}
}

// Add takes in how long an answer of a route took.
func (l *Latencies) Add(route string, d time.Duration) {
	u := l.routes[route]
	if u == nil {
		u = &usual{}
		l.routes[route] = u
	}
	u.samples++
	if u.samples <= usualSamples {
		u.mean += (d - u.mean) / time.Duration(u.samples)
		return
	}
	u.mean += time.Duration(usualWeight * float64(d-u.mean))
}

// ResponseTimeout is how long an answer of a route may take until its target is suspect.
// While too little is known it is the route's objective, zero for none: an answer
// that comes after it is late whatever is usual.
func (l *Latencies) ResponseTimeout(route string, objective time.Duration) time.Duration {
	u := l.routes[route]
	if u == nil || u.samples < usualSamples {
		return cmp.Or(objective, unknownPatience)
	}
	return max(patienceFactor*u.mean, patienceLeast)
}

// EffectiveOutcome is what an attempt's outcome says of its target: a request whose own
// time ended before the patience with the target says nothing by ending.
func EffectiveOutcome(o target.Outcome, latency, patience time.Duration) target.Outcome {
	if o == target.TimedOut && latency < patience {
		return target.Cancelled
	}
	return o
}
