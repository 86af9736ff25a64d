package entry

import (
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// latencyBounds are the upper bounds of the latency buckets. A further bucket
// counts the answers that took longer.
var latencyBounds = [...]time.Duration{
	time.Millisecond,
	2 * time.Millisecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	25 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	250 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	5 * time.Second,
}

// requestMetrics counts attempts, answers and refusals. Apart from one gauge it uses
// only counters, because they take no lock.
type requestMetrics struct {
	registry metrics.Registry
	running  metrics.Gauge
	attempts metrics.Counter
	latency  [len(latencyBounds) + 1]metrics.Counter
	// named maps names to counters, which are created at first use.
	named sync.Map
}

func newRequestMetrics(r metrics.Registry) *requestMetrics {
	m := &requestMetrics{
		registry: r,
		running:  metrics.GetOrRegisterGauge("Entry.Running", r),
		attempts: metrics.GetOrRegisterCounter("Entry.Attempts", r),
	}
	for i := range m.latency {
		name := "Entry.Latency.Above"
		if i < len(latencyBounds) {
			name = "Entry.Latency.Below." + latencyBounds[i].String()
		}
		m.latency[i] = metrics.GetOrRegisterCounter(name, r)
	}
	return m
}

// answered counts a target's answer that was relayed to the caller completely.
func (m *requestMetrics) answered(status int, took time.Duration) {
	m.count("Entry.Answered." + strconv.Itoa(status/100) + "xx")
	i := 0
	for i < len(latencyBounds) && took > latencyBounds[i] {
		i++
	}
	m.latency[i].Inc(1)
}

// refused counts a refusal by outcome and reason.
func (m *requestMetrics) refused(r *Refusal) {
	m.count("Entry.Refused." + r.outcome() + "." + r.Reason)
}

// count increments the named counter.
func (m *requestMetrics) count(name string) {
	c, ok := m.named.Load(name)
	if !ok {
		c, _ = m.named.LoadOrStore(name, metrics.GetOrRegisterCounter(name, m.registry))
	}
	c.(metrics.Counter).Inc(1)
}
