package outlier

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/target"
)

// Terms of ejections. Gray failures were measured to last for 2 to 30 s, half of
// them longer than 6 s; see docs/PLATFORM.md for the runs.
const (
	// ejection is how long a target that failed gets no work. A repeatable
	// request that tries it too soon costs a retry, which takes milliseconds.
	ejection = 3 * time.Second
	// probation is how long after that it gets no request that may not be
	// repeated, unless it serves others well before.
	probation = 9 * time.Second
	// probationSuccesses end a probation. A failing target still answers a few
	// requests in a hundred, so one doesn't.
	probationSuccesses = 2
	// soundPercent of the targets take the requests that may not be repeated,
	// even if some of them are on probation: with fewer the others would be
	// overrun at twice the usual load.
	soundPercent = 40
	// leastPercent of the targets are in use even if they have just failed: when
	// so many fail they may be overrun, and fewer would only make it worse.
	leastPercent = 20
	// shedPause is how long a target that shed a request gets no other one.
	shedPause = 300 * time.Millisecond
	// errorSpan is within which two server errors eject a target.
	errorSpan = 2 * time.Second
)

// Table is what one instance knows of one service's targets. Its methods must
// not be called at the same time.
type Table struct {
	zone    string
	random  *rand.Rand
	targets map[string]*state
	// order holds the targets by name, so that choices repeat under one seed.
	order []*state
}

// state is one target with what was seen of it.
type state struct {
	document.Target
	warmUntil time.Duration
	// running counts the instance's own requests there, and told what the others
	// were last told of it.
	running int
	told    int
	// others is what others have running there.
	others map[string]heard
	// outUntil ends the ejection, and doubtUntil the probation after it, in which
	// successes counts the requests that went well.
	outUntil   time.Duration
	doubtUntil time.Duration
	successes  int
	// losing says that the target was ejected because it lost requests, not only
	// for being slow or full.
	losing bool
	// shedUntil ends the pause after a shed request.
	shedUntil time.Duration
	// failedAt is the time of the last weak sign of a failure; zero if there was
	// none.
	failedAt time.Duration
}

// heard is what another instance had running, until when that counts.
type heard struct {
	running int
	until   time.Duration
}

// Load is how many requests an instance has running at a target.
type Load struct {
	Target  string
	Running int
}

// Request is what a choice depends on.
type Request struct {
	Repeatable bool
	// Avoid names targets that were tried already.
	Avoid []string
}

// New returns an empty table of an instance in a zone.
func New(zone string, random *rand.Rand) *Table {
	return &Table{
		zone:    zone,
		random:  random,
		targets: map[string]*state{},
	}
}

// Update replaces the targets. What is known of those that stay is kept.
func (t *Table) Update(now time.Duration, list []target.Registration) {
	old := t.targets
	t.targets = make(map[string]*state, len(list))
	t.order = t.order[:0]
	for _, r := range list {
		s := old[r.Target.Name]
		if s == nil || s.Address != r.Target.Address {
			s = &state{}
		}
		maps.DeleteFunc(s.others, func(_ string, h heard) bool { return now >= h.until })
		s.Target = r.Target
		s.warmUntil = now + r.WarmupRemaining
		t.targets[r.Target.Name] = s
		t.order = append(t.order, s)
	}
	slices.SortFunc(t.order, func(a, b *state) int { return cmp.Compare(a.Name, b.Name) })
}

// Choose picks a target and counts the request there until Done. It reports
// false if there is none.
func (t *Table) Choose(now time.Duration, r Request) (document.Target, bool) {
	candidates := t.candidates(now, r)
	if len(candidates) == 0 && len(r.Avoid) > 0 {
		// A target that was tried is better than none.
		r.Avoid = nil
		candidates = t.candidates(now, r)
	}
	if len(candidates) == 0 {
		return document.Target{}, false
	}
	s := t.lighter(now, t.near(now, candidates))
	s.running++
	return s.Target, true
}

// candidates are the targets that the request may go to: the sound ones, those
// on probation as far as it may try them, and where that leaves too few, the slow
// and full ones, which lose nothing, and then those whose failures are the oldest,
// which are the likeliest to be over.
func (t *Table) candidates(now time.Duration, r Request) []*state {
	var sound, doubtful, slow, out []*state
	all := 0
	for _, s := range t.order {
		if s.Leaving {
			continue
		}
		all++
		switch {
		case slices.Contains(r.Avoid, s.Name):
		case now < s.outUntil && s.losing:
			out = append(out, s)
		case now < s.outUntil || now < s.shedUntil:
			slow = append(slow, s)
		case now < s.doubtUntil:
			doubtful = append(doubtful, s)
		default:
			sound = append(sound, s)
		}
	}
	if r.Repeatable && len(r.Avoid) == 0 {
		sound = append(sound, doubtful...)
		doubtful = nil
	}
	sound = fill(sound, doubtful, share(all, soundPercent))
	sound = fill(sound, slow, share(all, soundPercent))
	return fill(sound, out, share(all, leastPercent))
}

// share is a percentage of all targets, one at least.
func share(all, percent int) int { return max((all*percent+99)/100, 1) }

// fill adds targets up to a number, those whose failures are the oldest first.
func fill(list, more []*state, number int) []*state {
	if len(list) >= number {
		return list
	}
	slices.SortFunc(more, func(a, b *state) int {
		return cmp.Compare(max(a.doubtUntil, a.shedUntil), max(b.doubtUntil, b.shedUntil))
	})
	return append(list, more[:min(number-len(list), len(more))]...)
}

// near keeps to the targets of the instance's own zone that have free slots. If
// there is none, the work goes to other zones.
func (t *Table) near(now time.Duration, candidates []*state) []*state {
	var free, own, far []*state
	for _, s := range candidates {
		switch {
		case s.Zone != t.zone:
			far = append(far, s)
		case s.inUse(now) < s.Slots:
			free = append(free, s)
		default:
			own = append(own, s)
		}
	}
	switch {
	case len(free) > 0:
		return free
	case len(far) > 0:
		return far
	default:
		return own
	}
}

// lighter picks the less busy of two random candidates.
func (t *Table) lighter(now time.Duration, candidates []*state) *state {
	a := candidates[t.random.IntN(len(candidates))]
	b := candidates[t.random.IntN(len(candidates))]
	if b.load(now) < a.load(now) {
		return b
	}
	return a
}

// inUse is how many requests run at the target, as far as the instance knows.
func (s *state) inUse(now time.Duration) int {
	all := s.running
	for _, h := range s.others {
		if now < h.until {
			all += h.running
		}
	}
	return all
}

// load is how much of the target's room is in use, with one request more.
func (s *state) load(now time.Duration) float64 {
	load := float64(s.inUse(now)+1) / float64(max(s.Slots, 1))
	if now < s.warmUntil {
		return 2 * load
	}
	return load
}

// Loads lists what the instance has running, for the others: all targets in use,
// and those that are in use no more since the last call.
func (t *Table) Loads() []Load {
	var list []Load
	for _, s := range t.order {
		if s.running > 0 || s.told > 0 {
			list = append(list, Load{
				Target:  s.Name,
				Running: s.running,
			})
			s.told = s.running
		}
	}
	return list
}

// ReceiveLoad takes in what another instance has running. It counts for the term.
func (t *Table) ReceiveLoad(now time.Duration, from string, l Load, term time.Duration) {
	s := t.targets[l.Target]
	if s == nil {
		return
	}
	if s.others == nil {
		s.others = map[string]heard{}
	}
	if l.Running <= 0 {
		delete(s.others, from)
		return
	}
	s.others[from] = heard{
		running: l.Running,
		until:   now + term,
	}
}

// Done ends a request at a target. It reports whether the other instances should
// learn of the outcome.
func (t *Table) Done(now time.Duration, name string, outcome target.Outcome) bool {
	s := t.targets[name]
	if s == nil {
		return false
	}
	s.running = max(s.running-1, 0)
	return s.saw(now, outcome)
}

// Overdue takes in that a request still runs at a target though it should have
// ended. It reports whether the other instances should learn of it.
func (t *Table) Overdue(now time.Duration, name string) bool {
	s := t.targets[name]
	return s != nil && s.saw(now, target.TimedOut)
}

// ReceiveOutcome takes in what another instance saw.
func (t *Table) ReceiveOutcome(now time.Duration, name string, outcome target.Outcome) {
	s := t.targets[name]
	if s == nil {
		return
	}
	switch outcome {
	case target.Succeeded:
		s.succeeded(now)
	case target.Crashed, target.Truncated:
		s.eject(now, true)
	case target.Failed, target.TimedOut:
		// The other instance's own link may be cut, so a late answer there is as
		// weak a sign as one server error.
		s.doubt(now)
	}
}

// saw takes in an outcome of the instance's own. It reports whether it is news
// for others: that no connection was had may be due to the instance's link.
func (s *state) saw(now time.Duration, outcome target.Outcome) bool {
	out := now < s.outUntil
	switch outcome {
	case target.Succeeded:
		return s.succeeded(now)
	case target.Failed:
		s.doubt(now)
		return true
	case target.Crashed, target.Truncated:
		s.eject(now, true)
		return !out
	case target.TimedOut:
		s.eject(now, false)
		return !out
	case target.Refused:
		s.eject(now, true)
	case target.Shed:
		s.shedUntil = now + shedPause
	}
	return false
}

// doubt counts a weak sign of a failure. Two within errorSpan eject.
func (s *state) doubt(now time.Duration) {
	if s.failedAt != 0 && now-s.failedAt <= errorSpan {
		s.eject(now, false)
	}
	s.failedAt = max(now, 1)
}

// succeeded counts a success of a target on probation, which it reports.
func (s *state) succeeded(now time.Duration) bool {
	if now < s.outUntil || now >= s.doubtUntil {
		return false
	}
	s.successes++
	if s.successes >= probationSuccesses {
		s.doubtUntil = now
	}
	return true
}

func (s *state) eject(now time.Duration, losing bool) {
	s.losing = losing || s.losing && now < s.doubtUntil
	s.successes = 0
	s.outUntil = now + ejection
	s.doubtUntil = now + ejection + probation
}

// Counts are how many of a service's targets are in which state.
type Counts struct {
	Healthy     int
	OnProbation int
	Unavailable int
	Leaving     int
}

// Counts tells how the targets stand, for logs and metrics.
func (t *Table) Counts(now time.Duration) Counts {
	var c Counts
	for _, s := range t.order {
		switch {
		case s.Leaving:
			c.Leaving++
		case now < s.outUntil || now < s.shedUntil:
			c.Unavailable++
		case now < s.doubtUntil:
			c.OnProbation++
		default:
			c.Healthy++
		}
	}
	return c
}

// InUse is how many requests run at a target, as far as the instance knows, for
// logs.
func (t *Table) InUse(now time.Duration, name string) int {
	if s := t.targets[name]; s != nil {
		return s.inUse(now)
	}
	return 0
}

// Ejected reports whether a target is out, for logs and metrics.
func (t *Table) Ejected(now time.Duration, name string) bool {
	s := t.targets[name]
	return s != nil && now < s.outUntil
}
