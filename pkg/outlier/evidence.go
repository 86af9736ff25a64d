package outlier

import (
	"math"
	"time"
)

// Parameters of the evidence that a target has stopped answering. Evidence is the logarithm
// of a likelihood ratio: how much likelier the requests at the target look as they do if it
// leaves hungPart of them unanswered than if it answers all, at times that are distributed
// exponentially around the route's mean.
const (
	hungPart = 0.75
	// maxEvidence bounds the evidence of one request, since some requests take several
	// times the mean of their route.
	maxEvidence = 3
	// ejectionEvidence ejects a target. othersFactor times what the other targets have on
	// average is added, so that a service that slows down as a whole loses no target.
	ejectionEvidence = 6.5
	othersFactor     = 2
	// probationEvidence ejects a target on probation, which has just failed.
	probationEvidence = 3
	// maxTotalEvidence bounds a target's evidence, so that it ends with the fault.
	maxTotalEvidence = 10
	// evidenceDecay is the part of a target's evidence that is left after a second, so that
	// reports that were lost do no harm for long.
	evidenceDecay = 0.7
	// minReportedEvidence is the least change of evidence that is reported for itself.
	minReportedEvidence = 0.1
	// maxStep bounds the time by which requests at targets age between two steps. While
	// the instance stands still it can't see answers.
	maxStep = 150 * time.Millisecond
)

// answerEvidence is the evidence of an answer.
var answerEvidence = math.Log(1 - hungPart)

// Pending is a request in flight at a target.
type Pending struct {
	target *targetState
	// mean is the mean latency of the request's route, and age how long it has been in
	// flight.
	mean time.Duration
	age  time.Duration
	// evidence is what the request has contributed so far. It contributes nothing any more
	// once it is settled: its target has been ejected for it.
	evidence float64
	settled  bool
	ended    bool
}

// pendingEvidence returns the evidence of a request that has been in flight for a number of
// its route's mean latencies.
func pendingEvidence(means float64) float64 {
	return min(math.Log(hungPart*math.Exp(min(means, 10))+1-hungPart), maxEvidence)
}

// Ending tells how a pending request ended.
type Ending int

const (
	// Answered is an answer, or a connection that died: the target has done something.
	Answered Ending = iota
	// GivenUp is a request that was ended without an answer.
	GivenUp
	// Withdrawn is a request that says nothing about the target.
	Withdrawn
)

// Begin records that a request has been sent to a target. mean is the mean latency of its
// route.
func (t *Table) Begin(name string, mean time.Duration) *Pending {
	p := &Pending{
		target: t.targets[name],
		mean:   max(mean, time.Millisecond),
	}
	if p.target != nil {
		t.pending = append(t.pending, p)
	}
	return p
}

// End records how a request that Begin returned has ended.
func (t *Table) End(p *Pending, e Ending) {
	if p.target == nil || p.ended {
		return
	}
	p.ended = true
	if p.settled {
		return
	}
	change := 0.0
	switch e {
	case Answered:
		change = answerEvidence - p.evidence
	case Withdrawn:
		change = -p.evidence
	case GivenUp:
	}
	t.addEvidence(p.target, change)
	p.target.unreported += change
}

// addEvidence changes a target's evidence, which is never negative: what an unresponsive
// target answered before its fault began says nothing about it.
func (t *Table) addEvidence(s *targetState, change float64) {
	s.evidence = min(max(s.evidence+change, 0), maxTotalEvidence)
}

// Step lets the requests in flight age, and ejects the targets that seem to have stopped
// answering. It returns their names. reachable is unset while the instance's own links to
// the targets may be lost: then its requests say nothing.
func (t *Table) Step(now time.Duration, reachable bool) []string {
	elapsed := time.Duration(0)
	if t.steppedAt > 0 {
		elapsed = min(max(now-t.steppedAt, 0), maxStep)
	}
	t.steppedAt = now
	left := math.Pow(evidenceDecay, elapsed.Seconds())
	for _, s := range t.order {
		s.evidence *= left
	}
	list := t.pending[:0]
	for _, p := range t.pending {
		if p.ended {
			continue
		}
		list = append(list, p)
		if p.settled {
			continue
		}
		p.age += time.Duration(float64(elapsed) * p.target.share(now))
		evidence := 0.0
		if reachable {
			evidence = pendingEvidence(float64(p.age) / float64(p.mean))
		}
		change := evidence - p.evidence
		p.evidence = evidence
		t.addEvidence(p.target, change)
		p.target.unreported += change
	}
	clear(t.pending[len(list):])
	t.pending = list
	total, used := 0.0, 0
	for _, s := range t.order {
		if now >= s.ejectedUntil {
			total += s.evidence
			used++
		}
	}
	var ejected []string
	for _, s := range t.order {
		if t.unresponsive(now, s, (total-s.evidence)/float64(max(used-1, 1))) && t.mayEject(now, s) {
			t.ejectUnresponsive(now, s)
			ejected = append(ejected, s.Name)
		}
	}
	return ejected
}

// share returns the part of a slot that each request at the target has: one, unless there
// are more requests than slots, most of which wait.
func (s *targetState) share(now time.Duration) float64 {
	return min(float64(max(s.Slots, 1))/float64(max(s.inUse(now), 1)), 1)
}

// ReceiveUnresponsive records that another instance has found a target to have stopped
// answering.
func (t *Table) ReceiveUnresponsive(now time.Duration, name string) {
	if s := t.targets[name]; s != nil {
		t.ejectUnresponsive(now, s)
	}
}

// ejectUnresponsive ejects a target. The evidence begins anew with the requests that it gets
// from now on.
func (t *Table) ejectUnresponsive(now time.Duration, s *targetState) {
	s.eject(now, false)
	if s.answersNeeded == 0 && !s.lostRequests {
		s.answersNeeded = max((s.inUse(now)+1)/2, laterSuccesses)
	}
	s.evidence = 0
	for _, p := range t.pending {
		if p.target == s {
			p.settled = true
		}
	}
}

// unresponsive reports whether a target is to be ejected because it seems to have stopped
// answering. others is the mean evidence of the other targets in use.
func (t *Table) unresponsive(now time.Duration, s *targetState, others float64) bool {
	switch {
	case now >= s.ejectedUntil && now < s.probationUntil:
		return s.evidence >= probationEvidence+othersFactor*others
	default:
		return s.evidence >= ejectionEvidence+othersFactor*others
	}
}
