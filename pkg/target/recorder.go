package target

import (
	"sync"
	"time"

	"dandelionmux/pkg/document"
)

const (
	// reportInterval is the time between reports when nothing fails.
	reportInterval = time.Second
	// urgentInterval is the least time between reports.
	urgentInterval = 100 * time.Millisecond
	// overdueCheck is how often hanging attempts are looked for.
	overdueCheck = 250 * time.Millisecond
	// overdueFactor times the service's usual latency makes an attempt overdue,
	// but not before leastOverdue.
	overdueFactor = 10
	leastOverdue  = 250 * time.Millisecond
	// slowFactor times the usual latency makes a success urgent to report.
	slowFactor = 3
	// usualWeight is the weight of a new sample in the usual latency.
	usualWeight = 0.02
	// mostCells bounds the strata kept for one target between two reports.
	mostCells = 256
)

// Recorder collects one instance's evidence about one service. It is safe for
// concurrent use; each target has a lock of its own. Make it with NewRecorder.
type Recorder struct {
	service string
	mutex   sync.RWMutex
	tallies map[string]*tally
	order   []string
	number  uint64
	// flushed is when Flush was last called, reported when it made a report.
	flushed  time.Duration
	reported time.Duration
	// usual is the service's average latency of successes.
	usual average
}

// average is a running mean that its own lock guards.
type average struct {
	mutex sync.Mutex
	value float64
}

// tally is what was seen of one target since the last report.
type tally struct {
	mutex    sync.Mutex
	evidence TargetReport
	changed  bool
	urgent   bool
	open     []opened
	serial   uint64
}

// opened is an attempt in flight.
type opened struct {
	serial  uint64
	start   time.Duration
	stratum Stratum
	overdue bool
}

// Attempt names an attempt in flight. The zero value names none.
type Attempt struct {
	tally  *tally
	serial uint64
}

// NewRecorder returns a recorder for a service.
func NewRecorder(s document.Service) *Recorder {
	r := &Recorder{
		service: s.Name,
		tallies: map[string]*tally{},
	}
	r.Configure(s)
	return r
}

// Configure takes in a changed list of targets.
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
				evidence: TargetReport{
					Target: t.Name,
				},
			}
		}
		r.tallies[t.Name] = kept
		r.order = append(r.order, t.Name)
	}
}

// Begin notes that an attempt has begun.
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
	t.open = append(t.open, opened{
		serial:  t.serial,
		start:   now,
		stratum: StratumOf(organisation, route),
	})
	return Attempt{
		tally:  t,
		serial: t.serial,
	}
}

// End notes what became of an attempt. It reports whether a report should go
// out soon.
func (r *Recorder) End(now time.Duration, a Attempt, outcome Outcome) bool {
	if a.tally == nil {
		return false
	}
	t := a.tally
	t.mutex.Lock()
	defer t.mutex.Unlock()
	o, ok := t.take(a.serial)
	if !ok {
		return false
	}
	if outcome == Refused {
		t.evidence.Refused++
		t.changed = true
		t.urgent = true
		return true
	}
	if o.overdue || outcome == Cancelled || outcome == Shed {
		return false
	}
	t.count(o.stratum, outcome)
	if outcome == Succeeded {
		latency := now - o.start
		t.evidence.Latency.Add(latency)
		if usual := r.usual.observe(latency); latency > slowFactor*usual {
			t.urgent = true
		}
	}
	return t.urgent
}

// Flush returns what changed, and false if nothing did. The caller sends the
// report to the service's authority.
func (r *Recorder) Flush(now time.Duration) (Report, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	limit := max(leastOverdue, overdueFactor*r.usual.duration())
	urgent := false
	for _, name := range r.order {
		urgent = r.tallies[name].hang(now, limit) || urgent
	}
	r.flushed = now
	if !urgent && now-r.reported < reportInterval {
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
	r.reported = now
	r.number++
	report.Number = r.number
	return report, true
}

// Next returns when Flush is due; zero if nothing is in flight or to report.
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
			sooner(r.flushed + urgentInterval)
		case len(t.open) > 0:
			sooner(r.flushed + overdueCheck)
		case t.changed:
			sooner(r.reported + reportInterval)
		}
		t.mutex.Unlock()
	}
	return next
}

// hang counts the attempts that have been in flight for longer than the limit
// as failures. It reports whether the tally should be reported at once.
func (t *tally) hang(now, limit time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i := range t.open {
		o := &t.open[i]
		if !o.overdue && now-o.start >= limit {
			o.overdue = true
			t.count(o.stratum, TimedOut)
		}
	}
	return t.urgent
}

// flush takes the evidence out of the tally.
func (t *tally) flush() (TargetReport, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.changed {
		return TargetReport{}, false
	}
	e := t.evidence
	t.evidence = TargetReport{
		Target: e.Target,
	}
	t.changed = false
	t.urgent = false
	return e, true
}

// take removes an attempt from those in flight.
func (t *tally) take(serial uint64) (opened, bool) {
	for i, o := range t.open {
		if o.serial != serial {
			continue
		}
		last := len(t.open) - 1
		t.open[i] = t.open[last]
		t.open = t.open[:last]
		return o, true
	}
	return opened{}, false
}

// count adds one attempt to its cell.
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

// cell finds or makes a stratum's cell. Past the bound, strata share the last.
func (t *tally) cell(s Stratum) *Cell {
	cells := t.evidence.Cells
	for i := range cells {
		if cells[i].Stratum == s {
			return &cells[i]
		}
	}
	if len(cells) >= mostCells {
		return &cells[len(cells)-1]
	}
	t.evidence.Cells = append(cells, Cell{
		Stratum: s,
	})
	return &t.evidence.Cells[len(cells)]
}

// observe takes a latency in and returns the average.
func (a *average) observe(d time.Duration) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.value == 0 {
		a.value = float64(d)
	}
	a.value += usualWeight * (float64(d) - a.value)
	return time.Duration(a.value)
}

func (a *average) duration() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return time.Duration(a.value)
}
