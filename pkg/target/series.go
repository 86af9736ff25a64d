package target

import "time"

const (
	// bucketLength is the time covered by one bucket of a series, and seriesLength the
	// number of buckets.
	bucketLength = 500 * time.Millisecond
	seriesLength = 64
	// crashWindow is the time within which crashes are counted as one, since instances
	// report the same crash at different times.
	crashWindow = 250 * time.Millisecond
)

// windows are the lengths over which targets are compared, in buckets, in ascending
// order.
var windows = [...]int{2, 4, 8, 16, 32, 64}

// series holds the reports on one target over the last 32 seconds.
type series struct {
	buckets [seriesLength]bucket
	// newest is the number of the newest bucket, counted from time zero.
	newest int64
	// lastCrash is when a crash was last counted. It is valid if hasCrashed is set.
	lastCrash time.Duration
	// hasCrashed is set once a crash was counted.
	hasCrashed bool
}

// bucket holds the reports of one bucketLength.
type bucket struct {
	cells    []Cell
	latency  Histogram
	attempts uint32
	failures uint32
}

// counts is a number of attempts and of the failures among them.
type counts struct {
	attempts float64
	failures float64
}

// advance moves the series to now, clearing buckets that are too old, and returns the
// newest bucket.
func (s *series) advance(now time.Duration) *bucket {
	number := int64(now / bucketLength)
	for n := max(s.newest+1, number-seriesLength+1); n <= number; n++ {
		s.buckets[n%seriesLength].reset()
	}
	s.newest = max(s.newest, number)
	return &s.buckets[s.newest%seriesLength]
}

// clear discards all reports.
func (s *series) clear() {
	for i := range s.buckets {
		s.buckets[i].reset()
	}
}

func (b *bucket) reset() {
	b.cells = b.cells[:0]
	b.latency = Histogram{}
	b.attempts = 0
	b.failures = 0
}

// add adds a report to the newest bucket.
func (s *series) add(now time.Duration, r TargetReport) {
	b := s.advance(now)
	for _, c := range r.Cells {
		b.add(s.collapseCrashes(now, c))
	}
	b.latency.Merge(&r.Latency)
}

// collapseCrashes counts all crashes within crashWindow as one, because a crash of the
// target ends all requests that it is running.
func (s *series) collapseCrashes(now time.Duration, c Cell) Cell {
	if c.Crashes == 0 {
		return c
	}
	dropped := c.Crashes
	if !s.hasCrashed || now-s.lastCrash >= crashWindow {
		s.hasCrashed = true
		s.lastCrash = now
		dropped--
	}
	c.Attempts -= min(dropped, c.Attempts)
	c.Failures -= min(dropped, c.Failures)
	return c
}

func (b *bucket) add(c Cell) {
	b.attempts += c.Attempts
	b.failures += c.Failures
	for i := range b.cells {
		if b.cells[i].Stratum == c.Stratum {
			b.cells[i].Attempts += c.Attempts
			b.cells[i].Failures += c.Failures
			return
		}
	}
	b.cells = append(b.cells, c)
}

// eachRecent calls f for the newest n buckets, the newest first. The caller must have
// called advance.
func (s *series) eachRecent(n int, f func(*bucket)) {
	for i := range n {
		number := s.newest - int64(i)
		if number < 0 {
			return
		}
		f(&s.buckets[number%seriesLength])
	}
}

// recent returns the bucket i places before the newest, or nil if there is none.
func (s *series) recent(i int) *bucket {
	number := s.newest - int64(i)
	if number < 0 {
		return nil
	}
	return &s.buckets[number%seriesLength]
}

// addWeighted adds the bucket's attempts, multiplied by the weight, to m by stratum.
func (b *bucket) addWeighted(m map[Stratum]counts, weight float64) {
	for _, c := range b.cells {
		sum := m[c.Stratum]
		sum.attempts += weight * float64(c.Attempts)
		sum.failures += weight * float64(c.Failures)
		m[c.Stratum] = sum
	}
}

// addWeightedLatency adds the bucket's latencies, multiplied by the weight, to h. The
// counts are in thousandths, because histograms hold integers.
func (b *bucket) addWeightedLatency(h *Histogram, weight float64) {
	const thousandths = 1000
	for i, n := range b.latency.Counts {
		if n > 0 {
			h.AddCount(i, uint32(thousandths*weight*float64(n)))
		}
	}
}

// total returns the number of attempts and failures in the newest n buckets.
func (s *series) total(n int) counts {
	var sum counts
	s.eachRecent(n, func(b *bucket) {
		sum.attempts += float64(b.attempts)
		sum.failures += float64(b.failures)
	})
	return sum
}

// addCounts adds the attempts in the newest n buckets to m by stratum.
func (s *series) addCounts(n int, m map[Stratum]counts) {
	s.eachRecent(n, func(b *bucket) {
		for _, c := range b.cells {
			sum := m[c.Stratum]
			sum.attempts += float64(c.Attempts)
			sum.failures += float64(c.Failures)
			m[c.Stratum] = sum
		}
	})
}

// addLatencies adds the latencies in the newest n buckets to h.
func (s *series) addLatencies(n int, h *Histogram) {
	s.eachRecent(n, func(b *bucket) {
		h.Merge(&b.latency)
	})
}
