package target

import "time"

const (
	// bucketTerm is the length of one bucket of a series, seriesLength how many
	// it keeps.
	bucketTerm   = 500 * time.Millisecond
	seriesLength = 64
	// crashTerm is how long the reports of one crash may be apart.
	crashTerm = 250 * time.Millisecond
)

// windows are the lengths that are looked at, in buckets, the shortest first.
var windows = [...]int{2, 4, 8, 16, 32, 64}

// series is what was seen of one target over the last half minute.
type series struct {
	buckets [seriesLength]bucket
	// newest is the number of the newest bucket since the process began.
	newest int64
	// crash is when a crash was last counted.
	crash time.Duration
	// crashed is set once a crash was counted.
	crashed bool
}

// bucket is a series' part of half a second.
type bucket struct {
	cells    []Cell
	latency  Histogram
	attempts uint32
	failures uint32
}

// counts is a number of attempts with their failures.
type counts struct {
	attempts float64
	failures float64
}

// at moves the series to now and returns the newest bucket.
func (s *series) at(now time.Duration) *bucket {
	number := int64(now / bucketTerm)
	for n := max(s.newest+1, number-seriesLength+1); n <= number; n++ {
		s.buckets[n%seriesLength].reset()
	}
	s.newest = max(s.newest, number)
	return &s.buckets[s.newest%seriesLength]
}

// clear forgets everything.
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

// add takes in evidence.
func (s *series) add(now time.Duration, e TargetReport) {
	b := s.at(now)
	for _, c := range e.Cells {
		b.add(s.collapse(now, c))
	}
	b.latency.Merge(&e.Latency)
}

// collapse counts all crashes of a moment as one: a crash takes every request at
// the target with it.
func (s *series) collapse(now time.Duration, c Cell) Cell {
	if c.Crashes == 0 {
		return c
	}
	dropped := c.Crashes
	if !s.crashed || now-s.crash >= crashTerm {
		s.crashed = true
		s.crash = now
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

// last calls f for the newest n buckets. The series must have been moved to
// now.
func (s *series) last(n int, f func(*bucket)) {
	for i := range n {
		number := s.newest - int64(i)
		if number < 0 {
			return
		}
		f(&s.buckets[number%seriesLength])
	}
}

// back returns the bucket that is i before the newest, nil if there is none.
func (s *series) back(i int) *bucket {
	number := s.newest - int64(i)
	if number < 0 {
		return nil
	}
	return &s.buckets[number%seriesLength]
}

// weigh adds the bucket's attempts by stratum, times a weight.
func (b *bucket) weigh(m map[Stratum]counts, weight float64) {
	for _, c := range b.cells {
		sum := m[c.Stratum]
		sum.attempts += weight * float64(c.Attempts)
		sum.failures += weight * float64(c.Failures)
		m[c.Stratum] = sum
	}
}

// weighLatency adds the bucket's latencies, times a weight, in thousandths.
func (b *bucket) weighLatency(d *Histogram, weight float64) {
	const thousandths = 1000
	for i, n := range b.latency.Counts {
		if n > 0 {
			d.AddCount(i, uint32(thousandths*weight*float64(n)))
		}
	}
}

// total counts all attempts of the newest n buckets.
func (s *series) total(n int) counts {
	var sum counts
	s.last(n, func(b *bucket) {
		sum.attempts += float64(b.attempts)
		sum.failures += float64(b.failures)
	})
	return sum
}

// strata counts the attempts of the newest n buckets by stratum, into m.
func (s *series) strata(n int, m map[Stratum]counts) {
	s.last(n, func(b *bucket) {
		for _, c := range b.cells {
			sum := m[c.Stratum]
			sum.attempts += float64(c.Attempts)
			sum.failures += float64(c.Failures)
			m[c.Stratum] = sum
		}
	})
}

// latency sums the latencies of the newest n buckets into d.
func (s *series) latency(n int, d *Histogram) {
	s.last(n, func(b *bucket) {
		d.Merge(&b.latency)
	})
}
