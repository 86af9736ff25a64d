package link

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// TestDelay is how long a first failure waits for a request to connect to the service
	// before a test does. A retry gets its grant and its connection within this time.
	TestDelay = 10 * time.Millisecond
	// minSuspects is the number of targets without a connection from which on a service is
	// Suspect, and minLost that from which on it is unreachable, unless it has fewer
	// targets.
	minSuspects = 2
	minLost     = 4
	// retestPeriod is the time between two tests of an unreachable service. A test may
	// meet a target that is down, so two have to fit into a second.
	retestPeriod = 250 * time.Millisecond
	// maxLostTests is the number of tests in a retestPeriod if no service is reachable.
	maxLostTests = 2
	// controlTests is the number of other services that are tested when one becomes
	// unreachable.
	controlTests = 2
	// testimonyTime is how long other instances have to testify that they reach a service.
	testimonyTime = 300 * time.Millisecond
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
	// Report is what the caller needs to report the failure.
	Report R
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

// Actions is what an instance has to do after a step.
type Actions[R any] struct {
	Tests []Test
	// Lost and Found are the services that have become unreachable and reachable again.
	// Other instances are to be asked about those in Lost.
	Lost  []string
	Found []string
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
	// doubtful holds the names of the services for which Step has something to do.
	doubtful map[string]struct{}
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
	// failed holds the targets that couldn't be connected to since the last contact.
	failed map[string]struct{}
	held   []Failure[R]
	// suspectedAt is when the first of failed and held was added; zero if both are empty.
	suspectedAt time.Duration
	// testing holds the targets of the tests that are running.
	testing map[string]struct{}

	unreachable bool
	// lostAt and foundAt are when the service last became unreachable and reachable again.
	lostAt     time.Duration
	foundAt    time.Duration
	nextTestAt time.Duration
	// testified is set if another instance reaches the service although this one doesn't.
	testified bool
}

// New returns a Monitor that believes all services to be reachable. random chooses the
// targets of tests.
func New[R any](random *rand.Rand) *Monitor[R] {
	return &Monitor[R]{
		random:   random,
		services: map[string]*service[R]{},
		doubtful: map[string]struct{}{},
	}
}

// Update sets the names of all services that have targets.
func (m *Monitor[R]) Update(names []string) { m.names = slices.Sorted(slices.Values(names)) }

// service returns the state of a service, which begins as reachable.
func (m *Monitor[R]) service(name string) *service[R] {
	s := m.services[name]
	if s == nil {
		s = &service[R]{
			failed:  map[string]struct{}{},
			testing: map[string]struct{}{},
		}
		m.services[name] = s
	}
	return s
}

// suspect notes that a service has to be looked at.
func (m *Monitor[R]) suspect(now time.Duration, name string) {
	m.doubtful[name] = struct{}{}
	if s := m.services[name]; s.suspectedAt == 0 {
		s.suspectedAt = now
	}
}

// Hold takes the failure of an attempt, until Step says whom it counts against.
func (m *Monitor[R]) Hold(f Failure[R]) {
	s := m.service(f.Service)
	if len(s.held) >= maxHeld {
		m.pending.Excused = append(m.pending.Excused, f)
		return
	}
	s.held = append(s.held, f)
	m.suspect(f.At, f.Service)
}

// ConnectFailed records that no connection to a target was established. began is when
// connecting began.
func (m *Monitor[R]) ConnectFailed(now, began time.Duration, name, target string) {
	s := m.service(name)
	if began < s.contactBegan {
		return // Another target has been connected to since.
	}
	s.failed[target] = struct{}{}
	m.suspect(now, name)
}

// ConnectSucceeded records that a connection to a target was established. began is when
// connecting began.
func (m *Monitor[R]) ConnectSucceeded(now, began time.Duration, name string) {
	s := m.service(name)
	s.contactBegan = max(s.contactBegan, began)
	m.contactBegan = max(m.contactBegan, began)
	m.contactAt = now
	if s.unreachable {
		m.find(now, name)
	}
	clear(s.failed)
	s.held = slices.DeleteFunc(s.held, func(f Failure[R]) bool {
		if f.At > began {
			return false
		}
		// An attempt that was under way while the links were lost may have failed for that.
		m.settle(f, f.Began >= s.foundAt)
		return true
	})
	if len(s.held) == 0 {
		s.suspectedAt = 0
		delete(m.doubtful, name)
		return
	}
	s.suspectedAt = s.held[0].At
}

// settle decides about a failure that is no longer held.
func (m *Monitor[R]) settle(f Failure[R], blamed bool) {
	if blamed {
		m.pending.Blamed = append(m.pending.Blamed, f)
	} else {
		m.pending.Excused = append(m.pending.Excused, f)
	}
}

// find records that a service is reachable again. The others are tested at once.
func (m *Monitor[R]) find(now time.Duration, name string) {
	s := m.services[name]
	s.unreachable = false
	s.foundAt = now
	m.pending.Found = append(m.pending.Found, name)
	for other := range m.doubtful {
		m.services[other].nextTestAt = now
	}
}

// EndTest records that a test has ended. It is called after ConnectSucceeded or
// ConnectFailed.
func (m *Monitor[R]) EndTest(t Test) { delete(m.service(t.Service).testing, t.Name) }

// Testify records that another instance reaches a service.
func (m *Monitor[R]) Testify(name string) {
	if s := m.service(name); s.unreachable {
		s.testified = true
	}
}

// State returns what the instance believes about its links to a service's targets.
func (m *Monitor[R]) State(name string) State {
	s := m.services[name]
	switch {
	case s != nil && s.unreachable, m.AllLost():
		return Unreachable
	case s != nil && len(s.failed) >= minSuspects:
		return Suspect
	default:
		return Reachable
	}
}

// Unreachable returns the names of the services that were found unreachable, sorted.
func (m *Monitor[R]) Unreachable() []string {
	var names []string
	for name := range m.doubtful {
		if m.services[name].unreachable {
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
	for name := range m.doubtful {
		if s := m.services[name]; s.unreachable {
			lost++
			lostAt = max(lostAt, s.lostAt)
		}
	}
	return lost > 0 && lost >= min(2, len(m.names)) && m.contactAt < lostAt
}

// ContactSince reports whether a connection to the service was begun at or after a time and
// established.
func (m *Monitor[R]) ContactSince(name string, at time.Duration) bool {
	s := m.services[name]
	return s != nil && s.contactBegan > 0 && s.contactBegan >= at
}

// Step decides what to do now. targets returns the targets of a service that take part in
// serving it.
func (m *Monitor[R]) Step(now time.Duration, targets func(service string) []Target) Actions[R] {
	allLost := m.AllLost()
	for _, name := range slices.Sorted(maps.Keys(m.doubtful)) {
		s := m.services[name]
		list := targets(name)
		switch {
		case len(list) == 0:
			m.forget(name)
		case allLost:
		case !s.unreachable:
			m.examine(now, name, list, targets)
		case now >= s.nextTestAt:
			s.nextTestAt = now + retestPeriod
			m.test(name, list, 1)
		}
	}
	if m.AllLost() && now >= m.nextLostTest {
		m.nextLostTest = now + retestPeriod
		m.testLost(targets)
	}
	m.settleHeld(now)
	actions := m.pending
	m.pending = Actions[R]{}
	return actions
}

// forget drops a service that has no targets any more.
func (m *Monitor[R]) forget(name string) {
	for _, f := range m.services[name].held {
		m.settle(f, false)
	}
	if m.services[name].unreachable {
		m.pending.Found = append(m.pending.Found, name)
	}
	delete(m.services, name)
	delete(m.doubtful, name)
}

// examine tests the targets of a suspected service, or finds that it is unreachable.
func (m *Monitor[R]) examine(now time.Duration, name string, list []Target, targets func(string) []Target) {
	s := m.services[name]
	failed := 0
	for _, t := range list {
		if _, ok := s.failed[t.Name]; ok {
			failed++
		}
	}
	needed := min(minLost, len(list))
	switch {
	case failed >= needed:
		m.lose(now, name, targets)
	case failed < minSuspects && now < s.suspectedAt+TestDelay:
	case failed == 0:
		m.test(name, list, 1-len(s.testing))
	default:
		m.test(name, list, needed-failed-len(s.testing))
	}
}

// lose records that a service is unreachable. Other services are tested, to know whether
// they are, too.
func (m *Monitor[R]) lose(now time.Duration, name string, targets func(string) []Target) {
	s := m.services[name]
	s.unreachable = true
	s.testified = false
	s.lostAt = now
	s.nextTestAt = now + retestPeriod
	m.pending.Lost = append(m.pending.Lost, name)
	others := slices.DeleteFunc(slices.Clone(m.names), func(other string) bool {
		return other == name || m.ContactSince(other, s.suspectedAt) || m.State(other) != Reachable
	})
	m.shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(controlTests, len(others))] {
		m.test(other, targets(other), 1-len(m.service(other).testing))
	}
}

// testLost asks for tests of any services while none is reachable.
func (m *Monitor[R]) testLost(targets func(string) []Target) {
	names := slices.Clone(m.names)
	m.shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:min(maxLostTests, len(names))] {
		m.test(name, targets(name), 1)
	}
}

// settleHeld decides about the failures that are held for unreachable services.
func (m *Monitor[R]) settleHeld(now time.Duration) {
	allLost := m.AllLost()
	for _, name := range slices.Sorted(maps.Keys(m.doubtful)) {
		s := m.services[name]
		if !s.unreachable && !allLost {
			continue
		}
		s.held = slices.DeleteFunc(s.held, func(f Failure[R]) bool {
			excused := s.testified || allLost
			if !excused && now < max(s.lostAt, f.At)+testimonyTime {
				return false
			}
			// The service has failed if another one can be connected to.
			m.settle(f, !excused && m.contactBegan >= f.At)
			return true
		})
	}
}

// test asks for up to number tests of a service's targets: at first those that haven't
// failed, are usable, and lie in zones that aren't tested yet.
func (m *Monitor[R]) test(name string, list []Target, number int) {
	s := m.service(name)
	rest := slices.Clone(list)
	m.shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	zones := map[string]int{}
	for range number {
		best, bestRank := -1, 0
		for i, t := range rest {
			if _, running := s.testing[t.Name]; running {
				continue
			}
			rank := zones[t.Zone]
			if !t.Usable {
				rank += len(list)
			}
			if _, failed := s.failed[t.Name]; failed {
				rank += 2 * len(list)
			}
			if best < 0 || rank < bestRank {
				best, bestRank = i, rank
			}
		}
		if best < 0 {
			return
		}
		chosen := rest[best]
		s.testing[chosen.Name] = struct{}{}
		zones[chosen.Zone]++
		m.pending.Tests = append(m.pending.Tests, Test{
			Service: name,
			Target:  chosen,
		})
	}
}

func (m *Monitor[R]) shuffle(n int, swap func(i, j int)) { m.random.Shuffle(n, swap) }
