package link

import (
	"maps"
	"slices"
	"time"
)

// Step decides what to do now. targets returns the targets of a service that take part in
// serving it.
func (m *Monitor[R]) Step(now time.Duration, targets func(service string) []Target) Actions[R] {
	allLost := m.AllLost()
	names := m.due(now)
	for _, name := range names {
		list := targets(name)
		if len(list) == 0 {
			m.forget(name)
			continue
		}
		m.prune(name, list)
		if !allLost {
			m.examine(now, name, list, targets)
		}
	}
	allLost = m.AllLost()
	if allLost && now >= m.nextLostTest {
		m.nextLostTest = now + retestPeriod
		m.testLost(targets)
	}
	for _, name := range names {
		if _, ok := m.examined[name]; ok {
			m.settleHeld(now, name, allLost)
			m.endExamination(now, name)
		}
	}
	actions := m.pending
	m.pending = Actions[R]{}
	return actions
}

// due returns the services to look at now: all under examination from time to time, and else
// those for which something has happened or is undecided.
func (m *Monitor[R]) due(now time.Duration) []string {
	set := m.urgent
	if now >= m.nextFullStep {
		m.nextFullStep = now + fullStepPeriod
		set = m.examined
	}
	names := slices.Sorted(maps.Keys(set))
	clear(m.urgent)
	return slices.DeleteFunc(names, func(name string) bool {
		_, ok := m.examined[name]
		return !ok
	})
}

// forget drops a service that has no targets any more.
func (m *Monitor[R]) forget(name string) {
	s := m.services[name]
	for _, f := range s.held {
		m.excuse(f, TargetRemoved)
	}
	if s.impaired {
		m.pending.Restored = append(m.pending.Restored, name)
	}
	delete(m.services, name)
	delete(m.examined, name)
}

// prune drops what is known of targets that are gone or leaving.
func (m *Monitor[R]) prune(name string, list []Target) {
	s := m.services[name]
	listed := make(map[string]struct{}, len(list))
	for _, t := range list {
		listed[t.Name] = struct{}{}
	}
	for target, r := range s.results {
		if _, ok := listed[target]; !ok {
			delete(s.results, target)
			s.count(r, -1)
		}
	}
	s.held = slices.DeleteFunc(s.held, func(f Failure[R]) bool {
		_, ok := listed[f.Target]
		if !ok {
			m.excuse(f, TargetRemoved)
		}
		return !ok
	})
}

// examine judges a service by the results of connecting to its targets, and tests
// more of them as needed.
func (m *Monitor[R]) examine(now time.Duration, name string, list []Target, targets func(string) []Target) {
	s := m.services[name]
	if s.cleared && now >= s.clearedAt+clearedTerm {
		s.reset()
		s.examinedSince = now
	}
	switch {
	case s.impaired:
		m.retest(now, name, list)
	case s.suspected() && (s.failed >= minSuspects || now >= s.examinedSince+TestDelay):
		m.judge(now, name, list, targets)
	}
	m.testHeld(name, list)
	m.seekContact(now, name, list, targets)
	if len(s.held) > 0 || s.suspected() {
		m.urgent[name] = struct{}{}
	}
}

// judge decides by the controls whether most links to a service are lost, or tests more of
// them.
func (m *Monitor[R]) judge(now time.Duration, name string, list []Target, targets func(string) []Target) {
	s := m.services[name]
	controls := s.controlsConnected + s.controlsFailed
	unknown := len(list) - s.connected - s.failed
	switch needed := min(minControls, controls+unknown); {
	case controls < needed:
		m.test(name, list, needed-controls-len(s.testing))
	case s.controlsFailed > s.controlsConnected, s.connected == 0:
		m.impair(now, name, targets)
	default:
		s.cleared = true
		s.clearedAt = now
	}
}

// retest tests an impaired service from time to time, and records when most links are
// back.
func (m *Monitor[R]) retest(now time.Duration, name string, list []Target) {
	s := m.services[name]
	switch {
	case s.connected >= s.failed:
		m.restore(now, name)
	case s.linkBack: // so are others, probably
		s.linkBack = false
		m.test(name, list, minControls-len(s.testing))
	case now >= s.nextTestAt:
		s.nextTestAt = now + retestPeriod
		m.test(name, list, 1-len(s.testing))
	}
}

// testHeld tests the targets of the failures that are held, unless that has been done
// since.
func (m *Monitor[R]) testHeld(name string, list []Target) {
	s := m.services[name]
	for _, f := range s.held {
		_, running := s.testing[f.Target]
		if f.Unconnected || running || s.results[f.Target].began >= f.At {
			continue
		}
		i := slices.IndexFunc(list, func(t Target) bool { return t.Name == f.Target })
		if i >= 0 {
			m.issue(name, list[i], false)
		}
	}
}

// seekContact tests other targets if a failure can't be settled because this instance has
// connected to none since.
func (m *Monitor[R]) seekContact(now time.Duration, name string, list []Target, targets func(string) []Target) {
	s := m.services[name]
	for _, f := range s.held {
		r := s.results[f.Target]
		contactBegan := m.contactBegan
		if f.Unconnected {
			contactBegan = s.contactBegan
		}
		untested := r.connected || r.began < f.At
		if contactBegan >= f.At || untested && !f.Unconnected || now < max(s.nextSeekAt, f.At+TestDelay) {
			continue
		}
		s.nextSeekAt = now + seekPeriod
		if t := list[m.random.IntN(len(list))]; len(s.testing) == 0 {
			m.issue(name, t, false)
		}
		if s.impaired {
			m.testOthers(f.At, name, targets)
		}
	}
}

// testOthers tests some services, other than the named one, that haven't been connected to
// since a time.
func (m *Monitor[R]) testOthers(since time.Duration, name string, targets func(string) []Target) {
	others := slices.DeleteFunc(slices.Clone(m.names), func(other string) bool {
		return other == name || m.ContactSince(other, since) || m.State(other) != Reachable
	})
	m.shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(controlTests, len(others))] {
		m.test(other, targets(other), 1-len(m.service(other).testing))
	}
}

// impair records that most links to a service are lost. Other services are tested, to know
// whether theirs are, too.
func (m *Monitor[R]) impair(now time.Duration, name string, targets func(string) []Target) {
	s := m.services[name]
	s.impaired = true
	s.testified = false
	s.impairedAt = now
	s.nextTestAt = now + retestPeriod
	m.pending.Impaired = append(m.pending.Impaired, name)
	m.askAboutFailed(now, name)
	m.testOthers(s.examinedSince, name, targets)
}

// askAboutFailed asks about some targets that can't be connected to.
func (m *Monitor[R]) askAboutFailed(now time.Duration, name string) {
	s := m.services[name]
	number := 0
	for _, target := range slices.Sorted(maps.Keys(s.results)) {
		if s.results[target].connected || number >= maxQuestions {
			continue
		}
		number++
		switch asked, ok := s.questions[target]; {
		case !ok:
			m.ask(now, name, target)
		case asked.testimony == Reached:
			m.testify(name)
		}
	}
}

// restore records that the links to a service are back. Other services are tested at once.
func (m *Monitor[R]) restore(now time.Duration, name string) {
	s := m.services[name]
	s.impaired = false
	s.linkBack = false
	s.restoredAt = now
	s.examinedSince = now
	s.reset()
	m.pending.Restored = append(m.pending.Restored, name)
	for other := range m.examined {
		m.services[other].nextTestAt = now
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

// settleHeld decides about the failures that are held for a service, as far as possible.
func (m *Monitor[R]) settleHeld(now time.Duration, name string, allLost bool) {
	s := m.services[name]
	var rest []Failure[R]
	for _, f := range s.held {
		settled, excuse := m.verdict(now, s, f, allLost)
		switch {
		case !settled:
			rest = append(rest, f)
		case excuse == NotExcused:
			m.pending.Blamed = append(m.pending.Blamed, f)
		default:
			m.excuse(f, excuse)
		}
	}
	s.held = rest
}

// verdict reports whether a failure is settled, and why it is excused unless it counts against
// its target.
func (m *Monitor[R]) verdict(now time.Duration, s *service[R], f Failure[R], allLost bool) (settled bool, e Excuse) {
	if f.Unconnected {
		return m.unconnectedVerdict(now, s, f, allLost)
	}
	r, known := s.results[f.Target]
	tested := known && r.began >= f.At
	switch {
	case allLost:
		// Its own tests show nothing now, but others can tell.
	case !tested:
		return false, NotExcused
	case r.connected && f.Began < s.restoredAt:
		return true, LinksRestored
	case r.connected:
		return true, NotExcused
	}
	return m.askedVerdict(now, s, f, allLost)
}

// unconnectedVerdict is the verdict about a connection that wasn't established.
func (m *Monitor[R]) unconnectedVerdict(now time.Duration, s *service[R], f Failure[R], allLost bool) (settled bool, e Excuse) {
	switch {
	case allLost:
		return true, AllLinksLost
	case f.Began < s.restoredAt:
		return true, LinksRestored
	case s.impaired && s.testified:
		return true, ReachedByOthers
	case s.impaired:
		return now >= max(s.impairedAt, f.At)+testimonyTime, NotExcused
	default:
		return s.contactBegan >= f.At, NotExcused
	}
}

// askedVerdict is the verdict about a failure whose target this instance can't connect to.
// Others are asked about the target unless they have been.
func (m *Monitor[R]) askedVerdict(now time.Duration, s *service[R], f Failure[R], allLost bool) (settled bool, e Excuse) {
	asked := s.questions[f.Target]
	over := now >= asked.askedAt+testimonyTime
	switch {
	case asked.askedAt < f.At:
		m.ask(now, f.Service, f.Target)
		return false, NotExcused
	case asked.testimony == Reached:
		return true, ReachedByOthers
	case asked.testimony == Unreached:
		return true, NotExcused
	case allLost:
		return asked.answered || over, AllLinksLost
	case m.contactBegan >= f.At:
		return asked.answered || over, NotExcused
	default:
		// Without contact to any target this instance is no witness.
		return over, NoContactSince
	}
}

// endExamination forgets the results of a service that has turned out to be reachable, or to
// which connecting has not failed for a while.
func (m *Monitor[R]) endExamination(now time.Duration, name string) {
	s := m.services[name]
	over := s.cleared || !s.suspected() && now >= s.failedAt+resultTerm
	if over && !s.impaired && len(s.held) == 0 && len(s.testing) == 0 {
		s.reset()
		delete(m.examined, name)
	}
}

// reset forgets all results.
func (s *service[R]) reset() {
	clear(s.results)
	clear(s.questions)
	s.connected, s.failed, s.controlsConnected, s.controlsFailed = 0, 0, 0, 0
	s.cleared = false
}

// test asks for up to number tests of a service's targets, as controls. The first are those
// that haven't been connected to during the examination, are usable, and lie in zones that
// aren't tested yet; then those whose last result is the oldest.
func (m *Monitor[R]) test(name string, list []Target, number int) {
	s := m.service(name)
	zones := map[string]int{}
	rest := slices.Clone(list)
	m.shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	for range number {
		best := -1
		for i, t := range rest {
			if _, running := s.testing[t.Name]; running {
				continue
			}
			if best < 0 || s.precedes(t, rest[best], zones) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		zones[rest[best].Zone]++
		m.issue(name, rest[best], true)
	}
}

// precedes reports whether a is to be tested before b. zones counts the tests so far.
func (s *service[R]) precedes(a, b Target, zones map[string]int) bool {
	ra, rb := s.results[a.Name], s.results[b.Name]
	switch {
	case ra.connected != rb.connected:
		return !ra.connected
	case ra.at != rb.at:
		return ra.at < rb.at
	case a.Usable != b.Usable:
		return a.Usable
	default:
		return zones[a.Zone] < zones[b.Zone]
	}
}

// issue asks for a test of a target, as a control or because it has failed.
func (m *Monitor[R]) issue(name string, t Target, control bool) {
	m.service(name).testing[t.Name] = control
	m.pending.Tests = append(m.pending.Tests, Test{
		Service: name,
		Target:  t,
	})
}

func (m *Monitor[R]) shuffle(n int, swap func(i, j int)) { m.random.Shuffle(n, swap) }
