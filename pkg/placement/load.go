package placement

import (
	"math"
	"sync/atomic"
	"time"

	"dandelionmux/pkg/target"
)

const (
	// fastLatencyWeight, slowLatencyFallWeight and slowLatencyRiseWeight are the
	// weights of a new sample in the moving averages of latency.
	fastLatencyWeight     = 0.2
	slowLatencyFallWeight = 0.01
	slowLatencyRiseWeight = 0.002
	// failureLatencyFactor multiplies the larger of a failed attempt's latency and the
	// fast average. The result is recorded as the attempt's latency, so that a target
	// which fails fast doesn't attract requests.
	failureLatencyFactor = 4
	// shedDecrease multiplies the limit when the target sheds a request.
	shedDecrease = 0.7
	// slowdownDecrease multiplies the limit when the fast latency average exceeds
	// slowdownRatio times the slow one.
	slowdownDecrease = 0.9
	slowdownRatio    = 8.0
	// initialLimit is the limit of requests in flight of a new target.
	initialLimit = 2
	// minLatency is the least latency that cost counts.
	minLatency = 100 * time.Microsecond
	// maxLatency bounds the samples of the averages.
	maxLatency = 30 * time.Second
)

// load holds the counters of one target on this instance. It outlives tables.
// Averages are updated without a lock: of two concurrent samples one may be lost,
// which a moving average tolerates.
type load struct {
	inFlight atomic.Int64
	// limit, fastLatency and slowLatency hold the bits of float64 values. limit is
	// the maximum of inFlight; the others are moving averages in nanoseconds.
	limit       atomic.Uint64
	fastLatency atomic.Uint64
	slowLatency atomic.Uint64
	// restUntil is until when the target wants no requests from this instance, in
	// nanoseconds on the clock of Request.Now.
	restUntil atomic.Int64
}

// rests reports whether the target wants no requests now.
func (l *load) rests(now time.Duration) bool { return int64(now) < l.restUntil.Load() }

// newLoad returns the counters of a target that has had no requests yet.
func newLoad() *load {
	l := &load{}
	l.limit.Store(math.Float64bits(initialLimit))
	return l
}

// tryAcquire counts one more request in flight, and reports false if the limit or
// maxInFlight is reached.
func (l *load) tryAcquire(maxInFlight int) bool {
	limit := min(int64(maxInFlight), int64(loadFloat(&l.limit)))
	for {
		n := l.inFlight.Load()
		if n >= limit {
			return false
		}
		if l.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// cost returns the value by which pickFrom compares two targets; lower is better.
func (l *load) cost() float64 {
	latency := max(loadFloat(&l.fastLatency), float64(minLatency))
	return float64(l.inFlight.Load()+1) * latency
}

// release ends a request in flight and adjusts the limit and the averages to its
// outcome and latency. The limit stays between one and maxInFlight.
func (l *load) release(outcome target.Outcome, latency time.Duration, maxInFlight int) {
	n := l.inFlight.Add(-1) + 1
	limit := loadFloat(&l.limit)
	switch {
	case outcome.Inconclusive():
		return
	case outcome == target.Shed:
		limit *= shedDecrease
	case outcome != target.Succeeded:
		l.observeLatency(failureLatencyFactor * max(latency, time.Duration(loadFloat(&l.fastLatency))))
	default:
		l.observeLatency(latency)
		if loadFloat(&l.fastLatency) > slowdownRatio*loadFloat(&l.slowLatency) {
			limit *= slowdownDecrease
		} else if float64(n) >= math.Floor(limit) {
			limit += 1 / limit
		}
	}
	limit = min(max(limit, 1), float64(max(maxInFlight, 1)))
	l.limit.Store(math.Float64bits(limit))
}

// observeLatency adds a latency to both averages. The slow one falls faster than
// it rises, so that it stays near the target's latency with spare capacity.
func (l *load) observeLatency(latency time.Duration) {
	sample := float64(min(latency, maxLatency))
	updateAverage(&l.fastLatency, sample, fastLatencyWeight)
	weight := slowLatencyRiseWeight
	if sample < loadFloat(&l.slowLatency) {
		weight = slowLatencyFallWeight
	}
	updateAverage(&l.slowLatency, sample, weight)
}

// updateAverage moves a stored average towards the sample by weight. The first
// sample becomes the average.
func updateAverage(bits *atomic.Uint64, sample, weight float64) {
	old := loadFloat(bits)
	if old == 0 {
		bits.Store(math.Float64bits(sample))
		return
	}
	bits.Store(math.Float64bits(old + weight*(sample-old)))
}

// loadFloat returns the float64 value whose bits are stored.
func loadFloat(bits *atomic.Uint64) float64 {
	return math.Float64frombits(bits.Load())
}
