package target

import (
	"sync"
	"time"

	"dandelionmux/pkg/document"
)

const (
	// reportInterval is the least time between reports while nothing urgent happens.
	reportInterval = time.Second
	// urgentReportDelay is the time after a flush until urgent changes are reported.
	urgentReportDelay = 100 * time.Millisecond
	// overdueCheckInterval is the time between checks for attempts that hang.
	overdueCheckInterval = 250 * time.Millisecond
	// overdueFactor times the service's mean latency is when an attempt becomes overdue,
	// but not before minOverdueTime.
	overdueFactor  = 10
	minOverdueTime = 250 * time.Millisecond
	// slowFactor times the mean latency is when a success becomes urgent to report.
	slowFactor = 3
	// sampleWeight is the weight of a new sample in the mean latency.
	sampleWeight = 0.02
	// maxCells bounds the number of strata counted for one target between two reports.
	maxCells = 256
)

// Recorder counts the outcomes of one instance's attempts at one service's targets.
// It is safe for concurrent use; each target has its own lock. Create it with
// NewRecorder.
type Recorder struct {
	service string
	mutex   sync.RWMutex
	tallies map[string]*tally
	order   []string
	number  uint64
	// lastFlush is when Flush was last called, and lastReport when it last returned a
	// report.
	lastFlush  time.Duration
	lastReport time.Duration
	// meanLatency is the service's mean latency of successes.
	meanLatency runningMean
}

// runningMean is an exponentially weighted moving average, guarded by its own lock.
type runningMean struct {
	mutex sync.Mutex
	value float64
}

// tally holds what has been recorded for one target since the last report, and its
// attempts in flight.
type tally struct {
	mutex    sync.Mutex
	report   TargetReport
	changed  bool
	urgent   bool
	inFlight []inFlightAttempt
	serial   uint64
}

// inFlightAttempt is an attempt that hasn't ended. overdue is set once it has been
// counted as a failure.
type inFlightAttempt struct {
	serial  uint64
	start   time.Duration
	stratum Stratum
	overdue bool
}

// Attempt identifies an attempt in flight. The zero value identifies none.
type Attempt struct {
	tally  *tally
	serial uint64
}

// NewRecorder returns a recorder for the targets of a service.
func NewRecorder(s document.Service) *Recorder {
	r := &Recorder{
		service: s.Name,
		tallies: map[string]*tally{},
	}
	r.Configure(s)
	return r
}

// Configure replaces the list of targets and keeps the counts of those that remain.
func (r *Recorder) Configure(s document.Service) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	old := r.tallies
	r.tallies = make(map[string]*tally, len(s.Targets))
	r.order = r.order[:0]
	for _, t := range s.Targets {
		kept := old[t.Name]
		if kept == nil {
			kept = &tally{
				report: TargetReport{
					Target: t.Name,
				},
			}
		}
		r.tallies[t.Name] = kept
		r.order = append(r.order, t.Name)
	}
}

// Begin records the start of an attempt at the named target. It returns the zero
// Attempt if the target is unknown.
func (r *Recorder) Begin(now time.Duration, name, organisation, route string) Attempt {
	r.mutex.RLock()
	t := r.tallies[name]
	r.mutex.RUnlock()
	if t == nil {
		return Attempt{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.serial++
	t.inFlight = append(t.inFlight, inFlightAttempt{
		serial:  t.serial,
		start:   now,
		stratum: StratumOf(organisation, route),
	})
	return Attempt{
		tally:  t,
		serial: t.serial,
	}
}

// End records the outcome of an attempt. It reports whether there is something to be
// reported before the usual interval has passed.
func (r *Recorder) End(now time.Duration, a Attempt, outcome Outcome) bool {
	if a.tally == nil {
		return false
	}
	t := a.tally
	t.mutex.Lock()
	defer t.mutex.Unlock()
	o, ok := t.remove(a.serial)
	if !ok {
		return false
	}
	if outcome == Refused {
		t.report.Refused++
		t.changed = true
		t.urgent = true
		return true
	}
	if o.overdue || outcome.Inconclusive() || outcome == Shed {
		return false
	}
	t.count(o.stratum, outcome)
	if outcome == Succeeded {
		latency := now - o.start
		t.report.Latency.Add(latency)
		if mean := r.meanLatency.observe(latency); latency > slowFactor*mean {
			t.urgent = true
		}
	}
	return t.urgent
}

// Flush returns a report of what has changed since the last one, which the caller
// sends to the service's authority. It returns false if nothing has changed or the
// changes aren't due yet.
func (r *Recorder) Flush(now time.Duration) (Report, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	limit := max(minOverdueTime, overdueFactor*r.meanLatency.duration())
	urgent := false
	for _, name := range r.order {
		urgent = r.tallies[name].markOverdue(now, limit) || urgent
	}
	r.lastFlush = now
	if !urgent && now-r.lastReport < reportInterval {
		return Report{}, false
	}
	report := Report{
		Service: r.service,
	}
	for _, name := range r.order {
		if e, ok := r.tallies[name].flush(); ok {
			report.Targets = append(report.Targets, e)
		}
	}
	if len(report.Targets) == 0 {
		return Report{}, false
	}
	r.lastReport = now
	r.number++
	report.Number = r.number
	return report, true
}

// Next returns when Flush is due, or zero if nothing is in flight or to be reported.
func (r *Recorder) Next() time.Duration {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	var next time.Duration
	sooner := func(t time.Duration) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, t := range r.tallies {
		t.mutex.Lock()
		switch {
		case t.urgent:
			sooner(r.lastFlush + urgentReportDelay)
		case len(t.inFlight) > 0:
			sooner(r.lastFlush + overdueCheckInterval)
		case t.changed:
			sooner(r.lastReport + reportInterval)
		}
		t.mutex.Unlock()
	}
	return next
}

// markOverdue counts attempts that have been in flight for at least the limit as
// failures. It reports whether the tally is urgent to report.
func (t *tally) markOverdue(now, limit time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i := range t.inFlight {
		o := &t.inFlight[i]
		if !o.overdue && now-o.start >= limit {
			o.overdue = true
			t.count(o.stratum, TimedOut)
		}
	}
	return t.urgent
}

// flush returns the tally's counts and resets them, and returns false if there are
// none.
func (t *tally) flush() (TargetReport, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.changed {
		return TargetReport{}, false
	}
	e := t.report
	t.report = TargetReport{
		Target: e.Target,
	}
	t.changed = false
	t.urgent = false
	return e, true
}

// remove removes an attempt from those in flight.
func (t *tally) remove(serial uint64) (inFlightAttempt, bool) {
	for i, o := range t.inFlight {
		if o.serial != serial {
			continue
		}
		last := len(t.inFlight) - 1
		t.inFlight[i] = t.inFlight[last]
		t.inFlight = t.inFlight[:last]
		return o, true
	}
	return inFlightAttempt{}, false
}

// count adds one attempt to the counts of its stratum.
func (t *tally) count(s Stratum, outcome Outcome) {
	t.changed = true
	c := t.cell(s)
	c.Attempts++
	if !outcome.Failure() {
		return
	}
	t.urgent = true
	c.Failures++
	if outcome == Crashed {
		c.Crashes++
	}
}

// cell returns the cell of a stratum, which it adds if necessary. Once there are
// maxCells, further strata share the last cell.
func (t *tally) cell(s Stratum) *Cell {
	cells := t.report.Cells
	for i := range cells {
		if cells[i].Stratum == s {
			return &cells[i]
		}
	}
	if len(cells) >= maxCells {
		return &cells[len(cells)-1]
	}
	t.report.Cells = append(cells, Cell{
		Stratum: s,
	})
	return &t.report.Cells[len(cells)]
}

// observe adds a latency and returns the mean.
func (a *runningMean) observe(d time.Duration) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.value == 0 {
		a.value = float64(d)
	}
	a.value += sampleWeight * (float64(d) - a.value)
	return time.Duration(a.value)
}

// duration returns the mean.
func (a *runningMean) duration() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return time.Duration(a.value)
}
