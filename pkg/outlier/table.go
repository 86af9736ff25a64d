package outlier

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/target"
)

// Parameters of ejections. Gray failures last 2 to 30 s, and half of them longer than
// 6 s; docs/PLATFORM.md has the measurements.
const (
	// ejectionTime is how long a target gets no requests after a failure. It can be
	// short: a repeatable request that reaches a target too early costs one retry,
	// which takes milliseconds.
	ejectionTime = 3 * time.Second
	// probationTime is how long after the ejection a target gets no requests that may
	// not be repeated. probationSuccesses successes end it earlier. It can't be much
	// longer than the ejection: without repeatable requests nothing else shows that a
	// target has recovered.
	probationTime = 3 * time.Second
	// probationSuccesses is the number of successes that end a probation. One isn't
	// enough, because a failing target still answers a few percent of its requests.
	probationSuccesses = 2
	// minHealthyPercent is the least percentage of the targets that requests are
	// spread over. If fewer are healthy, targets on probation and then those that are
	// slow, full or returning server errors are added, even for requests that may not be
	// repeated: the healthy ones alone would be overloaded at more than twice their usual
	// load.
	minHealthyPercent = 40
	// minUsablePercent is the least percentage of the targets that stay in use even if
	// they have just failed. If so many fail, the cause may be overload, which using
	// fewer targets would make worse.
	minUsablePercent = 20
	// maxEjectedPercent is the most percentage of the targets that are ejected before none
	// is ejected for late answers or errors any more.
	maxEjectedPercent = 50
	// laterSuccesses is the number of successes, of attempts that began after the one for
	// which a target was ejected, that end the ejection. A target with a gray failure
	// answers a few percent of its requests.
	laterSuccesses = 2
	// spareSlotFactor is how many slots a target must have for each one in use to get a
	// request that may be in vain.
	spareSlotFactor = 2
	// shedPause is how long a target gets no requests after it has shed one.
	shedPause = 300 * time.Millisecond
	// errorWindow is how long a server error, a truncated answer or a timeout counts.
	errorWindow = 2 * time.Second
	// minErrors is the number of errors within errorWindow that eject a target while no
	// other target has any. errorFactor times the mean number of the other targets is
	// added: with the traffic of a target grows the number of requests that fail through
	// no fault of it, and a fault of all targets is a reason to eject none.
	minErrors   = 2
	errorFactor = 3
)

// Table holds what one instance knows about the targets of one service. It is not
// safe for concurrent use.
type Table struct {
	zone    string
	random  *rand.Rand
	targets map[string]*targetState
	// order holds the targets sorted by name, so that choices are reproducible under a
	// fixed seed.
	order []*targetState
	// maxSlots is the largest number of slots of a target.
	maxSlots int
	// errors holds the server errors and truncated answers that this instance saw, and
	// those and the timeouts that others reported, within errorWindow, oldest first. Those
	// of targets that were ejected meanwhile are included.
	errors []targetError
	// pending holds the requests in flight, and some that have ended since the last step,
	// at steppedAt.
	pending   []*Pending
	steppedAt time.Duration
	// rests holds until when targets rest, by name, also while they aren't in the list: their
	// registration may lapse and come back.
	rests map[string]targetRest
	// isEvacuated reports whether the targets of a zone get no requests, and isCold whether a
	// target warms up.
	isEvacuated func(zone string) bool
	isCold      func(now time.Duration, name string) bool
}

// targetRest is until when a target at an address rests.
type targetRest struct {
	address string
	until   time.Duration
}

// targetError is a server error, a truncated answer or a timeout of a target.
type targetError struct {
	target *targetState
	at     time.Duration
}

// targetState is a target with its load and its recent failures.
type targetState struct {
	document.Target
	warmUntil time.Duration
	// running is the number of this instance's requests in flight at the target, and
	// reported the number that it last sent to the other instances.
	running  int
	reported int
	// peerLoads is the load that other instances reported, by instance.
	peerLoads map[string]peerLoad
	// remote holds the slots granted to instances of other zones.
	remote []remoteGrant
	// others is the sum of peerLoads and remote from othersFrom until othersUntil. recount is
	// set if they have changed since.
	others      int
	othersFrom  time.Duration
	othersUntil time.Duration
	recount     bool
	// ejectedUntil is the end of the ejection and probationUntil the end of the
	// probation, which follows an ejection or a suspicion. successes counts the successes during the probation.
	ejectedUntil   time.Duration
	probationUntil time.Duration
	successes      int
	// failedBegan is when the attempt began for which the target was ejected last, and
	// laterSuccesses counts the successes of attempts that began after it.
	failedBegan    time.Duration
	laterSuccesses int
	// answersNeeded is how many more answers end the ejection of a target that seemed to have stopped
	// answering; zero if it was ejected for something else.
	answersNeeded int
	// lostRequests is set if a connection died or was refused during this ejection or
	// probation; it is false after only timeouts, truncated answers or server errors.
	lostRequests bool
	// pausedUntil is the end of the pause after a shed request.
	pausedUntil time.Duration
	// heldUntil is when this instance may next ask to use the target, which limits the
	// requests that it takes.
	heldUntil time.Duration
	// restUntil is until when the target wants no requests from this instance.
	restUntil time.Duration
	// errorCount is the number of the target's entries in Table.errors.
	errorCount int
	// evidence says how likely the target has stopped answering, by what this instance and
	// others of its zone have seen. unreported is this instance's part of it that hasn't
	// been reported.
	evidence   float64
	unreported float64
}

// peerLoad is the number of requests that another instance had in flight. It
// expires unless it is reported again.
type peerLoad struct {
	running int
	expires time.Duration
	// changedAt is when a grant or a release last changed it; zero if a report did.
	changedAt time.Duration
}

// Load is the number of requests that an instance has in flight at a target, and what it has
// seen of the target's answers since its last report.
type Load struct {
	Target  string
	Running int
	// Evidence is by how much likelier it has become that the target has stopped
	// answering, in nats.
	Evidence float64
}

// Request holds the properties of a request that affect the choice of a target.
type Request struct {
	Repeatable bool
	// Avoid holds the names of targets that were already tried.
	Avoid []string
	// Unfit holds the names of further targets that are not to be chosen.
	Unfit []string
	// OwnZone is set if only targets of the table's own zone are of use.
	OwnZone bool
	// Prefer holds the names of targets that are chosen before others, wherever they are.
	Prefer []string
	// Spare is set if the request is worth sending only to a sound target that has at most
	// half of its slots in use: it may be in vain, and a target that is busier soon has others
	// wait for it.
	Spare bool
}

// New returns an empty table for an instance in the given zone.
func New(zone string, random *rand.Rand) *Table {
	return &Table{
		zone:    zone,
		random:  random,
		targets: map[string]*targetState{},
		rests:   map[string]targetRest{},

		isEvacuated: func(string) bool { return false },
		isCold:      func(time.Duration, string) bool { return false },
	}
}

// SetEvacuated sets the function that reports whether the targets of a zone get no requests at
// all, not even if the others are too few. By default no zone is evacuated.
func (t *Table) SetEvacuated(isEvacuated func(zone string) bool) { t.isEvacuated = isEvacuated }

// SetCold sets the function that reports whether a target warms up, also if its registration doesn't say
// so. The load of such a target counts twice when slots are granted.
func (t *Table) SetCold(isCold func(now time.Duration, name string) bool) { t.isCold = isCold }

// outOfUse reports whether a target gets no requests until its registration or an operator says
// otherwise.
func (t *Table) outOfUse(s *targetState) bool { return s.Leaving || t.isEvacuated(s.Zone) }

// OnlyEvacuated reports whether there are targets, and all that aren't leaving are in evacuated
// zones.
func (t *Table) OnlyEvacuated() bool {
	evacuated := false
	for _, s := range t.order {
		if !t.outOfUse(s) {
			return false
		}
		evacuated = evacuated || !s.Leaving
	}
	return evacuated
}

// Update replaces the list of targets. A target that keeps its name and address
// also keeps its recorded state.
func (t *Table) Update(now time.Duration, list []target.Registration) {
	old := t.targets
	maps.DeleteFunc(t.rests, func(_ string, r targetRest) bool { return now >= r.until })
	for name, s := range old {
		if now < s.restUntil {
			t.rests[name] = targetRest{
				address: s.Address,
				until:   s.restUntil,
			}
		}
	}
	t.targets = make(map[string]*targetState, len(list))
	t.order, t.maxSlots = t.order[:0], 0
	for _, r := range list {
		s := old[r.Target.Name]
		if s == nil || s.Address != r.Target.Address {
			s = &targetState{}
			if asked := t.rests[r.Target.Name]; asked.address == r.Target.Address {
				s.restUntil = asked.until
			}
		}
		maps.DeleteFunc(s.peerLoads, func(_ string, p peerLoad) bool { return now >= p.expires })
		s.recount = true
		s.Target = r.Target
		s.warmUntil = now + r.WarmupRemaining
		t.targets[r.Target.Name] = s
		t.order = append(t.order, s)
		t.maxSlots = max(t.maxSlots, s.Slots)
	}
	slices.SortFunc(t.order, func(a, b *targetState) int { return cmp.Compare(a.Name, b.Name) })
}

// Choose selects a target and counts the request as in flight there until Done is
// called. It returns false if there is no target that may be used.
func (t *Table) Choose(now time.Duration, r Request) (document.Target, bool) {
	candidates := t.candidates(now, r)
	if len(candidates) == 0 && len(r.Avoid) > 0 && !r.Spare {
		// A target that was already tried is better than none.
		r.Avoid = nil
		candidates = t.candidates(now, r)
	}
	if len(candidates) == 0 {
		return document.Target{}, false
	}
	if preferred := named(candidates, r.Prefer); len(preferred) > 0 {
		candidates = preferred
	}
	s := t.lessLoaded(now, t.preferZone(now, candidates))
	s.running++
	return s.Target, true
}

// candidates returns the targets that the request may be sent to: the healthy
// ones, and those on probation if the request is repeatable and on its first
// attempt. If these are too few, targets on probation, then those that are slow, full
// or returning server errors, and finally those that lose requests are added, each
// group with the oldest failures first, because those are the likeliest to be over.
func (t *Table) candidates(now time.Duration, r Request) []*targetState {
	var healthy, onProbation, degraded, ejected []*targetState
	all := 0
	for _, s := range t.order {
		standing := t.standing(now, r, s)
		if standing > Foreign {
			all++
		}
		switch standing {
		case EjectedLost:
			ejected = append(ejected, s)
		case Ejected, Paused:
			degraded = append(degraded, s)
		case OnProbation:
			onProbation = append(onProbation, s)
		case Healthy:
			healthy = append(healthy, s)
		}
	}
	if r.Spare {
		return healthy
	}
	if r.Repeatable && len(r.Avoid) == 0 {
		healthy = append(healthy, onProbation...)
		onProbation = nil
	}
	healthy = fill(healthy, onProbation, percentOf(all, minHealthyPercent))
	healthy = fill(healthy, degraded, percentOf(all, minHealthyPercent))
	return fill(healthy, ejected, percentOf(all, minUsablePercent))
}

// HasSpare reports whether a request that is Spare could be sent, now that some targets were tried.
func (t *Table) HasSpare(now time.Duration, tried []string) bool {
	return len(t.candidates(now, Request{
		Repeatable: true,
		Avoid:      tried,
		Spare:      true,
	})) > 0
}

// Hold takes back the choice of a target that takes no more requests for now. The
// instance won't choose it before the given time, not even if the others are too few.
func (t *Table) Hold(until time.Duration, name string) {
	if s := t.targets[name]; s != nil {
		s.running = max(s.running-1, 0)
		s.heldUntil = until
	}
}

// EndHold lets a held target be chosen again.
func (t *Table) EndHold(name string) {
	if s := t.targets[name]; s != nil {
		s.heldUntil = 0
	}
}

// Rest records that a target wants no requests from this instance until the given time.
// That is no failure.
func (t *Table) Rest(until time.Duration, name string) {
	if s := t.targets[name]; s != nil {
		s.restUntil = max(s.restUntil, until)
	}
}

// MaySend reports whether a request may still be sent to a target that was chosen for it.
func (t *Table) MaySend(now time.Duration, name string) bool {
	s := t.targets[name]
	return s != nil && !t.outOfUse(s) && now >= s.restUntil
}

// Wait is how long no target takes a request.
type Wait struct {
	// Until is how long until the first of the targets that are held or rest may be
	// chosen again, and zero if none is.
	Until time.Duration
	// Resting is set if that one rests.
	Resting bool
}

// Wait returns how long until a target may be chosen that is held or rests now.
func (t *Table) Wait(now time.Duration) Wait {
	var least Wait
	for _, s := range t.order {
		d := max(s.heldUntil, s.restUntil) - now
		if d > 0 && !t.outOfUse(s) && (least.Until == 0 || d < least.Until) {
			least = Wait{
				Until:   d,
				Resting: s.restUntil > s.heldUntil,
			}
		}
	}
	return least
}

// named returns the targets whose names are in the list.
func named(targets []*targetState, names []string) []*targetState {
	var list []*targetState
	for _, s := range targets {
		if slices.Contains(names, s.Name) {
			list = append(list, s)
		}
	}
	return list
}

// percentOf returns the given percentage of all, rounded up and at least one.
func percentOf(all, percent int) int { return max((all*percent+99)/100, 1) }

// fill appends targets from more, oldest failure first, until the list holds the
// given number.
func fill(list, more []*targetState, number int) []*targetState {
	if len(list) >= number {
		return list
	}
	slices.SortFunc(more, func(a, b *targetState) int {
		return cmp.Compare(max(a.probationUntil, a.pausedUntil), max(b.probationUntil, b.pausedUntil))
	})
	return append(list, more[:min(number-len(list), len(more))]...)
}

// preferZone returns the candidates in the instance's own zone that have free
// slots. If there are none, it returns those in other zones, and if there are none
// of these either, the full ones of its own zone.
func (t *Table) preferZone(now time.Duration, candidates []*targetState) []*targetState {
	var free, full, remote []*targetState
	for _, s := range candidates {
		switch {
		case s.Zone != t.zone:
			remote = append(remote, s)
		case s.inUse(now) < s.Slots:
			free = append(free, s)
		default:
			full = append(full, s)
		}
	}
	switch {
	case len(free) > 0:
		return free
	case len(remote) > 0:
		return remote
	default:
		return full
	}
}

// lessLoaded returns the less loaded of two randomly chosen candidates.
func (t *Table) lessLoaded(now time.Duration, candidates []*targetState) *targetState {
	a := candidates[t.random.IntN(len(candidates))]
	for range 2 {
		b := candidates[t.random.IntN(len(candidates))]
		if b.load(now) < a.load(now) {
			a = b
		}
	}
	return a
}

// inUse returns the number of requests in flight at the target, including those
// that other instances have reported.
func (s *targetState) inUse(now time.Duration) int {
	return s.running + s.countOthers(now)
}

// load returns the fraction of the target's slots that would be in use with one
// more request. It is doubled while the target warms up.
func (s *targetState) load(now time.Duration) float64 {
	load := (float64(s.inUse(now)+1) + s.evidence) / float64(max(s.Slots, 1))
	if now < s.warmUntil {
		return 2 * load
	}
	return load
}

// Loads returns the instance's load to be sent to the other instances: all targets
// with requests in flight, and those whose last request has ended since the
// previous call.
func (t *Table) Loads() []Load {
	var list []Load
	for _, s := range t.order {
		if s.running > 0 || s.reported > 0 || math.Abs(s.unreported) >= minReportedEvidence {
			list = append(list, Load{
				Target:   s.Name,
				Running:  s.running,
				Evidence: s.unreported,
			})
			s.reported, s.unreported = s.running, 0
		}
	}
	return list
}

// ReceiveLoad records the load that another instance has reported. The load
// expires after the term.
func (t *Table) ReceiveLoad(now time.Duration, from string, l Load, term time.Duration) {
	s := t.targets[l.Target]
	if s == nil {
		return
	}
	t.addEvidence(s, l.Evidence)
	s.receiveLoad(now, from, peerLoad{
		running: l.Running,
		expires: now + term,
	})
}

// Done records the end of a request at a target. It reports whether the outcome
// should be sent to the other instances.
func (t *Table) Done(now time.Duration, name string, outcome target.Outcome) bool {
	s := t.targets[name]
	if s == nil {
		return false
	}
	s.running = max(s.running-1, 0)
	return t.recordOutcome(now, s, outcome)
}

// Observe records an outcome without the end of a request: a response that is overdue, or
// a failure whose cause wasn't known when Done was called. It reports whether the outcome
// should be sent to the other instances.
func (t *Table) Observe(now time.Duration, name string, outcome target.Outcome) bool {
	s := t.targets[name]
	return s != nil && t.recordOutcome(now, s, outcome)
}

// ReceiveOutcome records an outcome that another instance has observed.
func (t *Table) ReceiveOutcome(now time.Duration, name string, outcome target.Outcome) {
	s := t.targets[name]
	if s == nil {
		return
	}
	switch outcome {
	case target.Succeeded:
		s.recordSuccess(now)
	case target.Crashed:
		s.eject(now, true)
	case target.Disconnected:
		s.suspect(now)
	case target.Failed, target.Truncated, target.TimedOut:
		// The network link of the other instance may be the cause, so a timeout
		// there counts no more than one server error.
		t.recordError(now, s)
	}
}

// recordOutcome records an outcome that this instance has observed. It reports
// whether the other instances should be told. A refused connection is not sent on,
// because the network link of this instance may be the cause.
func (t *Table) recordOutcome(now time.Duration, s *targetState, outcome target.Outcome) bool {
	ejected := now < s.ejectedUntil
	switch outcome {
	case target.Succeeded:
		return s.recordSuccess(now)
	case target.Failed, target.Truncated:
		t.recordError(now, s)
		return true
	case target.Crashed:
		s.eject(now, true)
		return !ejected
	case target.TimedOut:
		if !t.mayEject(now, s) {
			return false
		}
		s.eject(now, false)
		return !ejected
	case target.Refused:
		s.eject(now, true)
	case target.Disconnected:
		return s.suspect(now)
	case target.Shed:
		s.pausedUntil = now + shedPause
	}
	return false
}

// FailureBegan records when the attempt began whose connection to a target has died.
func (t *Table) FailureBegan(now time.Duration, name string, began time.Duration) {
	if s := t.targets[name]; s != nil && now < s.ejectedUntil && s.lostRequests {
		s.failedBegan = max(s.failedBegan, began)
		s.laterSuccesses = 0
	}
}

// LaterSuccess records that an attempt which began at a time has succeeded. If its target has
// been ejected meanwhile because a connection had died under an earlier attempt, it may
// lose single answers only. If it seemed to have stopped answering, it was only slow once half of the
// requests that were in flight have been answered. LaterSuccess reports whether the success counts
// for that, so that the other instances should be told.
func (t *Table) LaterSuccess(now time.Duration, name string, began time.Duration) bool {
	s := t.targets[name]
	switch {
	case s == nil || now >= s.ejectedUntil:
		return false
	case s.answersNeeded > 0:
		if s.answersNeeded--; s.answersNeeded == 0 {
			s.ejectedUntil, s.probationUntil = now, now
		}
		return true
	case !s.lostRequests || began <= s.failedBegan:
		return false
	}
	s.laterSuccesses++
	if s.laterSuccesses >= laterSuccesses {
		s.lostRequests = false
		s.ejectedUntil, s.probationUntil = now, now
	}
	return true
}

// recordError records a failure that doesn't eject the target by itself. It ejects the
// target if that has had many more of them within errorWindow than the others. Failures
// during an ejection are of requests sent before it, and don't prolong it.
func (t *Table) recordError(now time.Duration, s *targetState) {
	if now < s.ejectedUntil {
		return
	}
	t.dropOldErrors(now)
	t.errors = append(t.errors, targetError{
		target: s,
		at:     now,
	})
	s.errorCount++
	mean := float64(len(t.errors)-s.errorCount) / float64(max(len(t.order)-1, 1))
	if float64(s.errorCount) >= minErrors+errorFactor*mean && t.mayEject(now, s) {
		s.eject(now, false)
	}
}

// mayEject reports whether a target may be ejected for late answers or errors, too. If
// most others have been, the cause is likelier to be their load, which using fewer of them
// makes worse. An ejection may always be prolonged.
func (t *Table) mayEject(now time.Duration, candidate *targetState) bool {
	if now < candidate.ejectedUntil {
		return true
	}
	all, out := 0, 1
	for _, s := range t.order {
		if t.outOfUse(s) {
			continue
		}
		all++
		if now < s.ejectedUntil {
			out++
		}
	}
	return out*100 <= all*maxEjectedPercent
}

// dropOldErrors removes the errors that are older than errorWindow.
func (t *Table) dropOldErrors(now time.Duration) {
	old := 0
	for old < len(t.errors) && now-t.errors[old].at > errorWindow {
		t.errors[old].target.errorCount--
		old++
	}
	t.errors = t.errors[old:]
}

// recordSuccess counts a success if the target is on probation, and reports
// whether it is.
func (s *targetState) recordSuccess(now time.Duration) bool {
	if now < s.ejectedUntil || now >= s.probationUntil {
		return false
	}
	s.successes++
	if s.successes >= probationSuccesses {
		s.probationUntil = now
	}
	return true
}

// suspect puts the target on probation without an ejection, and reports whether it was
// neither ejected nor on probation before.
func (s *targetState) suspect(now time.Duration) bool {
	if now < s.probationUntil {
		return false
	}
	s.lostRequests = false
	s.successes = 0
	s.probationUntil = now + probationTime
	return true
}

// eject ejects the target and starts its probation anew. A target that has lost
// requests is still treated as losing them if it is ejected meanwhile for timeouts or
// server errors.
func (s *targetState) eject(now time.Duration, lostRequests bool) {
	if lostRequests || now >= s.ejectedUntil {
		s.answersNeeded = 0
	}
	s.lostRequests = lostRequests || s.lostRequests && now < s.probationUntil
	s.successes = 0
	s.ejectedUntil = now + ejectionTime
	s.probationUntil = now + ejectionTime + probationTime
}

// Counts holds the number of a service's targets by state.
type Counts struct {
	Healthy     int
	OnProbation int
	// Unavailable counts targets that are ejected or paused after shedding a request.
	Unavailable int
	// Lost counts those of them that lost requests.
	Lost int
	// Held counts targets that may take no more requests of this instance for now, and
	// Resting those that want none.
	Held    int
	Resting int
	Leaving int
	// Evacuated counts targets in evacuated zones.
	Evacuated int
}

// Counts returns the number of targets in each state, for logs and metrics.
func (t *Table) Counts(now time.Duration) Counts {
	var c Counts
	for _, s := range t.order {
		switch {
		case s.Leaving:
			c.Leaving++
		case t.isEvacuated(s.Zone):
			c.Evacuated++
		case now < s.restUntil:
			c.Resting++
		case now < s.heldUntil:
			c.Held++
		case now < s.ejectedUntil || now < s.pausedUntil:
			c.Unavailable++
			if now < s.ejectedUntil && s.lostRequests {
				c.Lost++
			}
		case now < s.probationUntil:
			c.OnProbation++
		default:
			c.Healthy++
		}
	}
	return c
}

// Availability tells whether a target is in use.
type Availability struct {
	document.Target
	// Usable is unset while the target is ejected, on probation, pausing or held.
	Usable bool
}

// Availabilities returns the targets that are neither leaving nor in an evacuated zone, in the
// order of their names.
func (t *Table) Availabilities(now time.Duration) []Availability {
	list := make([]Availability, 0, len(t.order))
	for _, s := range t.order {
		if !t.outOfUse(s) {
			list = append(list, Availability{
				Target: s.Target,
				Usable: now >= max(s.ejectedUntil, s.probationUntil, s.pausedUntil, s.heldUntil, s.restUntil),
			})
		}
	}
	return list
}

// InUse returns the number of requests in flight at a target, including those that
// other instances have reported. It is used in logs.
func (t *Table) InUse(now time.Duration, name string) int {
	if s := t.targets[name]; s != nil {
		return s.inUse(now)
	}
	return 0
}

// Ejected reports whether a target is ejected, for logs and metrics.
func (t *Table) Ejected(now time.Duration, name string) bool {
	s := t.targets[name]
	return s != nil && now < s.ejectedUntil
}
