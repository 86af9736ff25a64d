package link

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// TestDelay is how long after a failed connection requests may connect to other
	// targets of the service before tests do.
	TestDelay = 10 * time.Millisecond
	// minSuspects is the number of targets without a connection from which on a service is
	// Suspect.
	minSuspects = 2
	// minControls is the number of targets, chosen among those that haven't failed, that
	// decide whether a service is impaired, unless there are fewer. A request that crashes
	// several targets must not be taken for lost links.
	minControls = 3
	// resultTerm is how long the results of connecting are remembered after the last
	// failure, unless the service is impaired.
	resultTerm = 2 * time.Second
	// fullStepPeriod is the time between two looks at all services under examination.
	fullStepPeriod = 50 * time.Millisecond
	// clearedTerm is how long controls show that a service is reachable.
	clearedTerm = 500 * time.Millisecond
	// retestPeriod is the time between two tests of an impaired service. A test may
	// meet a target that is down, so several have to fit into a second.
	retestPeriod = 250 * time.Millisecond
	// seekPeriod is the time between two tests that seek any contact at all, so that a
	// failure can be settled.
	seekPeriod = 30 * time.Millisecond
	// maxLostTests is the number of tests in a retestPeriod if no service is reachable.
	maxLostTests = 2
	// controlTests is the number of other services that are tested when one becomes
	// unreachable.
	controlTests = 2
	// testimonyTime is how long other instances have to testify that they reach a target,
	// and maxQuestions the number of targets of an impaired service that they are asked
	// about.
	testimonyTime = 300 * time.Millisecond
	maxQuestions  = 3
	// contactTerm is how long a target counts as contacted, and maxContacts the number of
	// targets of a service from which on older contacts are forgotten.
	contactTerm = time.Second
	maxContacts = 256
	// maxHeld bounds the failures that are held for one service. Further ones are excused.
	maxHeld = 1024
)

// State is what an instance believes about its links to the targets of a service.
type State int

// Values of State.
const (
	// Reachable is the state unless connections fail.
	Reachable State = iota
	// Suspect means that tests are running. The state changes within their timeout.
	Suspect
	// PartlyReachable means that most targets can't be connected to, although other
	// instances reach them.
	PartlyReachable
	// Unreachable means that requests sent to the targets directly would fail.
	Unreachable
)

// Failure is the failure of an attempt at a target that a lost link may explain.
type Failure[R any] struct {
	Service string
	Target  string
	// Began and At are when the attempt began and failed.
	Began time.Duration
	At    time.Duration
	// Unconnected is set if the attempt failed because connecting did.
	Unconnected bool
	// Report is what the caller needs to report the failure.
	Report R
	// Excuse is why the failure was excused, if it was.
	Excuse Excuse
}

// Excuse is a reason why a failure doesn't count against its target.
type Excuse int

// Values of Excuse.
const (
	// NotExcused is set unless the failure was excused.
	NotExcused Excuse = iota
	// AllLinksLost means that the instance reaches no service.
	AllLinksLost
	// NoContactSince means that the instance has connected to no target at all since the
	// failure.
	NoContactSince
	// LinksRestored means that the attempt was in progress while links were lost.
	LinksRestored
	// ReachedByOthers means that another instance has connected to the target since.
	ReachedByOthers
	// TargetRemoved means that the target takes no part any more in serving its service.
	TargetRemoved
	// TooManyHeld means that too many failures were undecided.
	TooManyHeld
)

// String returns the excuse as it appears in logs.
func (e Excuse) String() string {
	switch e {
	case NotExcused:
		return "none"
	case AllLinksLost:
		return "all-links-lost"
	case NoContactSince:
		return "no-contact-since"
	case LinksRestored:
		return "links-restored"
	case ReachedByOthers:
		return "reached-by-others"
	case TargetRemoved:
		return "target-removed"
	case TooManyHeld:
		return "too-many-held"
	default:
		return "unknown"
	}
}

// Target is a target that can be tested.
type Target struct {
	Name    string
	Address string
	Zone    string
	// Usable is set unless the target is known to fail or to want no requests.
	Usable bool
}

// Test asks for a connection to a target that is closed as soon as it is established.
type Test struct {
	Service string
	Target
}

// Question asks other instances whether they reach a target.
type Question struct {
	Service string
	Target  string
}

// Actions is what an instance has to do after a step.
type Actions[R any] struct {
	Tests     []Test
	Questions []Question
	// Impaired are the services of which most targets can't be connected to any more, Lost
	// those of them that other instances reach, and Restored those that are no longer
	// impaired.
	Impaired []string
	Lost     []string
	Restored []string
	// Blamed are the failures that count against their targets, and Excused those that
	// don't.
	Blamed  []Failure[R]
	Excused []Failure[R]
}

// Monitor watches the links of one instance. It is not safe for concurrent use.
type Monitor[R any] struct {
	random *rand.Rand
	names  []string
	// services holds what is known of each service that requests were sent to.
	services map[string]*service[R]
	// examined holds the names of the services for which Step has something to do, and
	// urgent those for which it must not wait until nextFullStep.
	examined     map[string]struct{}
	urgent       map[string]struct{}
	nextFullStep time.Duration
	// contactBegan is the latest beginning of a connection to any target that was
	// established, and contactAt when one last was.
	contactBegan time.Duration
	contactAt    time.Duration
	// nextLostTest is when the next tests are due while no service is reachable.
	nextLostTest time.Duration
	pending      Actions[R]
}

// service is what a Monitor knows of the links to one service's targets.
type service[R any] struct {
	contactBegan time.Duration
	// contacts holds when each target was last connected to.
	contacts map[string]time.Duration
	// results holds the last result of connecting to each target since examinedSince, when
	// the examination of the service began. failedAt is when connecting last failed.
	results       map[string]result
	examinedSince time.Duration
	failedAt      time.Duration
	held          []Failure[R]
	// questions holds what other instances were last asked and answered about a target.
	questions map[string]question
	// testing holds the targets of the tests that are running, and whether they are
	// controls.
	testing map[string]bool

	// connected and failed are the numbers of targets by result, and controlsConnected and
	// controlsFailed those of the controls among them.
	connected         int
	failed            int
	controlsConnected int
	controlsFailed    int
	// cleared is set at clearedAt, once the controls have shown that the service is
	// reachable.
	cleared   bool
	clearedAt time.Duration
	// impaired is set from impairedAt to restoredAt.
	impaired   bool
	impairedAt time.Duration
	restoredAt time.Duration
	nextTestAt time.Duration
	nextSeekAt time.Duration
	// linkBack is set if a link that was lost has just come back.
	linkBack bool
	// testified is set if another instance reaches a target that this one doesn't.
	testified bool
}

// result is the last result of connecting to a target.
type result struct {
	connected bool
	// control is set if the target was tested as a control.
	control bool
	began   time.Duration
	at      time.Duration
}

// Testimony is what other instances say about a target that this one can't connect to.
type Testimony int

// Values of Testimony.
const (
	// Unknown means that none of those asked can tell.
	Unknown Testimony = iota
	// Reached means that one of them reaches the target.
	Reached
	// Unreached means that one of them can't connect to the target either, although it
	// connects to others, and that none reaches it.
	Unreached
)

// question is a question about a target.
type question struct {
	askedAt time.Duration
	// answered is set if all have answered, or one of them reaches the target.
	answered  bool
	testimony Testimony
}

// New returns a Monitor that believes all services to be reachable. random chooses the
// targets of tests.
func New[R any](random *rand.Rand) *Monitor[R] {
	return &Monitor[R]{
		random:   random,
		services: map[string]*service[R]{},
		examined: map[string]struct{}{},
		urgent:   map[string]struct{}{},
	}
}

// Update sets the names of all services that have targets.
func (m *Monitor[R]) Update(names []string) { m.names = slices.Sorted(slices.Values(names)) }

// service returns the state of a service, which begins as reachable.
func (m *Monitor[R]) service(name string) *service[R] {
	s := m.services[name]
	if s == nil {
		s = &service[R]{
			contacts:  map[string]time.Duration{},
			results:   map[string]result{},
			questions: map[string]question{},
			testing:   map[string]bool{},
		}
		m.services[name] = s
	}
	return s
}

// startExamination notes that Step has to look at a service.
func (m *Monitor[R]) startExamination(now time.Duration, name string) {
	if _, ok := m.examined[name]; !ok {
		m.examined[name] = struct{}{}
		m.services[name].examinedSince = now
	}
	m.urgent[name] = struct{}{}
}

// Hold takes the failure of an attempt, until Step says whom it counts against.
func (m *Monitor[R]) Hold(f Failure[R]) {
	s := m.service(f.Service)
	if len(s.held) >= maxHeld {
		m.excuse(f, TooManyHeld)
		return
	}
	s.held = append(s.held, f)
	m.startExamination(f.At, f.Service)
}

// ConnectFailed records that no connection to a target was established. began is when
// connecting began.
func (m *Monitor[R]) ConnectFailed(now, began time.Duration, name, target string) {
	s := m.service(name)
	m.startExamination(now, name)
	s.record(target, result{
		began: began,
		at:    now,
	})
	s.failedAt = now
}

// ConnectSucceeded records that a connection to a target was established. began is when
// connecting began.
func (m *Monitor[R]) ConnectSucceeded(now, began time.Duration, name, target string) {
	s := m.service(name)
	s.contactBegan = max(s.contactBegan, began)
	m.contactBegan = max(m.contactBegan, began)
	m.contactAt = now
	s.contact(now, target)
	if _, ok := m.examined[name]; !ok || began < s.examinedSince {
		return
	}
	m.urgent[name] = struct{}{}
	if s.impaired && !s.results[target].connected {
		s.linkBack = true
	}
	s.record(target, result{
		connected: true,
		began:     began,
		at:        now,
	})
}

// record notes the result of connecting to a target, unless a later one is known.
func (s *service[R]) record(target string, r result) {
	old, known := s.results[target]
	if known && r.began < old.began {
		return
	}
	r.control = s.testing[target] || known && old.control
	s.results[target] = r
	if known {
		s.count(old, -1)
	}
	s.count(r, 1)
}

// count adds to the numbers of results like r.
func (s *service[R]) count(r result, n int) {
	all, controls := &s.failed, &s.controlsFailed
	if r.connected {
		all, controls = &s.connected, &s.controlsConnected
	}
	*all += n
	if r.control {
		*controls += n
	}
}

// contact notes that a target has been connected to.
func (s *service[R]) contact(now time.Duration, target string) {
	s.contacts[target] = now
	if len(s.contacts) > maxContacts {
		maps.DeleteFunc(s.contacts, func(_ string, at time.Duration) bool { return now-at > contactTerm })
	}
}

// excuse decides that a failure doesn't count against its target.
func (m *Monitor[R]) excuse(f Failure[R], e Excuse) {
	f.Excuse = e
	m.pending.Excused = append(m.pending.Excused, f)
}

// EndTest records that a test has ended. It is called after ConnectSucceeded or
// ConnectFailed.
func (m *Monitor[R]) EndTest(t Test) { delete(m.service(t.Service).testing, t.Name) }

// Testify records what other instances have answered to a question.
func (m *Monitor[R]) Testify(q Question, t Testimony) {
	s := m.service(q.Service)
	asked, ok := s.questions[q.Target]
	if !ok {
		return
	}
	asked.answered = true
	asked.testimony = t
	s.questions[q.Target] = asked
	m.urgent[q.Service] = struct{}{}
	if t == Reached {
		m.testify(q.Service)
	}
}

// Controls returns tests of some other targets, which show whether this instance has any
// links when it can't connect to a target: one of the same service, and of controlTests other
// services.
func (m *Monitor[R]) Controls(t Test, targets func(service string) []Target) []Test {
	names := slices.DeleteFunc(slices.Clone(m.names), func(name string) bool { return name == t.Service })
	m.shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	names = append(names[:min(controlTests, len(names))], t.Service)
	var tests []Test
	for _, name := range names {
		list := slices.DeleteFunc(slices.Clone(targets(name)), func(other Target) bool { return other.Name == t.Name })
		if len(list) == 0 {
			continue
		}
		tests = append(tests, Test{
			Service: name,
			Target:  list[m.random.IntN(len(list))],
		})
	}
	return tests
}

// testify records that another instance reaches a target of a service that this one
// doesn't.
func (m *Monitor[R]) testify(name string) {
	if s := m.services[name]; s.impaired && !s.testified {
		s.testified = true
		m.pending.Lost = append(m.pending.Lost, name)
	}
}

// ask has other instances asked about a target.
func (m *Monitor[R]) ask(now time.Duration, service, target string) {
	m.services[service].questions[target] = question{
		askedAt: now,
	}
	m.pending.Questions = append(m.pending.Questions, Question{
		Service: service,
		Target:  target,
	})
}

// State returns what the instance believes about its links to a service's targets.
func (m *Monitor[R]) State(name string) State {
	s := m.services[name]
	switch {
	case m.AllLost(), s != nil && s.impaired && s.connected == 0:
		return Unreachable
	case s == nil:
		return Reachable
	case s.impaired && s.testified:
		return PartlyReachable
	case s.suspected() && s.failed >= minSuspects:
		return Suspect
	default:
		return Reachable
	}
}

// IsImpaired reports whether most links to a service are lost.
func (m *Monitor[R]) IsImpaired(name string) bool {
	s := m.services[name]
	return s != nil && s.impaired
}

// suspected reports whether controls have to show if the links to a service are lost.
func (s *service[R]) suspected() bool {
	return !s.impaired && !s.cleared && s.failed > s.connected
}

// Impaired returns the names of the services to which most links are lost, sorted.
func (m *Monitor[R]) Impaired() []string {
	var names []string
	for name := range m.examined {
		if m.services[name].impaired {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// AllLost reports whether the instance seems to have no links at all: two services, or the
// only one, are unreachable, and there has been no contact with any other since.
func (m *Monitor[R]) AllLost() bool {
	lost := 0
	var lostAt time.Duration
	for name := range m.examined {
		if s := m.services[name]; s.impaired && s.connected == 0 {
			lost++
			lostAt = max(lostAt, s.impairedAt)
		}
	}
	return lost > 0 && lost >= min(2, len(m.names)) && m.contactAt < lostAt
}

// AnyContactSince reports whether a connection to any target was begun at or after a time and
// established.
func (m *Monitor[R]) AnyContactSince(since time.Duration) bool { return m.contactBegan >= since }

// ContactSince reports whether a connection to the service was begun at or after a time and
// established.
func (m *Monitor[R]) ContactSince(name string, at time.Duration) bool {
	s := m.services[name]
	return s != nil && s.contactBegan > 0 && s.contactBegan >= at
}

// Connected reports whether the last connection to a target, since its service has been
// suspected, was established.
func (m *Monitor[R]) Connected(name, target string) bool {
	s := m.services[name]
	return s != nil && s.results[target].connected
}

// Contacted returns the targets of a service that the instance has lately connected to. A
// request goes to one of these if others couldn't be connected to.
func (m *Monitor[R]) Contacted(now time.Duration, name string) []string {
	s := m.services[name]
	if s == nil {
		return nil
	}
	var targets []string
	for target, at := range s.contacts {
		r, known := s.results[target]
		if now-at <= contactTerm || known && r.connected {
			targets = append(targets, target)
		}
	}
	slices.Sort(targets)
	return targets
}
