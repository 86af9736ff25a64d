package target

import "time"

const (
	// intervalLength is the time covered by one interval of a series, and seriesLength
	// the number of intervals.
	intervalLength = 500 * time.Millisecond
	seriesLength   = 64
	// crashWindow is the time within which crashes are counted as one, since instances
	// report the same crash at different times.
	crashWindow = 250 * time.Millisecond
)

// windows are the lengths over which targets are compared, in intervals, in ascending
// order.
var windows = [...]int{2, 4, 8, 16, 32, 64}

// series holds the reports on one target over the last 32 seconds.
type series struct {
	intervals [seriesLength]interval
	// newest is the number of the newest interval, counted from time zero.
	newest int64
	// lastCrash is when a crash was last counted. It is valid if hasCrashed is set.
	lastCrash time.Duration
	// hasCrashed is set once a crash was counted.
	hasCrashed bool
}

// interval holds the reports of one intervalLength.
type interval struct {
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

// advance moves the series to now, clearing intervals that are too old, and returns the
// newest interval.
func (s *series) advance(now time.Duration) *interval {
	number := int64(now / intervalLength)
	for n := max(s.newest+1, number-seriesLength+1); n <= number; n++ {
		s.intervals[n%seriesLength].reset()
	}
	s.newest = max(s.newest, number)
	return &s.intervals[s.newest%seriesLength]
}

// clear discards all reports.
func (s *series) clear() {
	for i := range s.intervals {
		s.intervals[i].reset()
	}
}

func (v *interval) reset() {
	v.cells = v.cells[:0]
	v.latency = Histogram{}
	v.attempts = 0
	v.failures = 0
}

// add adds a report to the newest interval.
func (s *series) add(now time.Duration, r TargetReport) {
	v := s.advance(now)
	for _, c := range r.Cells {
		v.add(s.collapseCrashes(now, c))
	}
	v.latency.Merge(&r.Latency)
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

func (v *interval) add(c Cell) {
	v.attempts += c.Attempts
	v.failures += c.Failures
	for i := range v.cells {
		if v.cells[i].Stratum == c.Stratum {
			v.cells[i].Attempts += c.Attempts
			v.cells[i].Failures += c.Failures
			return
		}
	}
	v.cells = append(v.cells, c)
}

// eachRecent calls f for the newest n intervals, the newest first. The caller must have
// called advance.
func (s *series) eachRecent(n int, f func(*interval)) {
	for i := range n {
		number := s.newest - int64(i)
		if number < 0 {
			return
		}
		f(&s.intervals[number%seriesLength])
	}
}

// recent returns the interval i places before the newest, or nil if there is none.
func (s *series) recent(i int) *interval {
	number := s.newest - int64(i)
	if number < 0 {
		return nil
	}
	return &s.intervals[number%seriesLength]
}

// addWeighted adds the interval's attempts, multiplied by the weight, to m by stratum.
func (v *interval) addWeighted(m map[Stratum]counts, weight float64) {
	for _, c := range v.cells {
		sum := m[c.Stratum]
		sum.attempts += weight * float64(c.Attempts)
		sum.failures += weight * float64(c.Failures)
		m[c.Stratum] = sum
	}
}

// addWeightedLatency adds the interval's latencies, multiplied by the weight, to h. The
// counts are in thousandths, because histograms hold integers.
func (v *interval) addWeightedLatency(h *Histogram, weight float64) {
	const thousandths = 1000
	for i, n := range v.latency.Counts {
		if n > 0 {
			h.AddCount(i, uint32(thousandths*weight*float64(n)))
		}
	}
}

// total returns the number of attempts and failures in the newest n intervals.
func (s *series) total(n int) counts {
	var sum counts
	s.eachRecent(n, func(v *interval) {
		sum.attempts += float64(v.attempts)
		sum.failures += float64(v.failures)
	})
	return sum
}

// addCounts adds the attempts in the newest n intervals to m by stratum.
func (s *series) addCounts(n int, m map[Stratum]counts) {
	s.eachRecent(n, func(v *interval) {
		for _, c := range v.cells {
			sum := m[c.Stratum]
			sum.attempts += float64(c.Attempts)
			sum.failures += float64(c.Failures)
			m[c.Stratum] = sum
		}
	})
}

// addLatencies adds the latencies in the newest n intervals to h.
func (s *series) addLatencies(n int, h *Histogram) {
	s.eachRecent(n, func(v *interval) {
		h.Merge(&v.latency)
	})
}
