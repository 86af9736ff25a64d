package target

import "time"

// assessment is the result of comparing a target with its peers.
type assessment struct {
	reason Reason
	// score is the target's score. From threshold on the target is considered
	// unhealthy, and from watchThreshold on it is watched.
	score          float64
	threshold      float64
	watchThreshold float64
	severity       float64
	// rate is the target's rate of attempts a second.
	rate float64
}

// applyAssessment marks a target as unhealthy if its score reaches the threshold. If
// the score only reaches watchThreshold and the target gets few requests, it is
// watched.
func (a *Authority) applyAssessment(now time.Duration, name string, t *targetState, c assessment) []AuthorityEffect {
	if c.score >= c.threshold {
		t.lastEvidence = now
		// The severity falls by at most half per assessment.
		t.severity = max(c.severity, t.severity*0.5)
		if t.unhealthy {
			return nil
		}
		return []AuthorityEffect{a.markUnhealthy(now, name, t, c)}
	}
	if c.score < c.watchThreshold || c.rate >= watchRate || t.unhealthy {
		return nil
	}
	wasUnwatched := now >= t.watchedUntil
	t.watchedUntil = now + watchPeriod
	t.reason = c.reason
	if !wasUnwatched {
		return nil
	}
	return []AuthorityEffect{a.newDecision(name, Watched, c.reason, c)}
}

// markUnhealthy marks a target as unhealthy and sets its earliest return. Whether the
// target is taken out of use is up to applyFloor.
func (a *Authority) markUnhealthy(now time.Duration, name string, t *targetState, c assessment) AuthorityEffect {
	if t.returnedAt != 0 && now-t.returnedAt < flapWindow {
		t.flaps++
	} else {
		t.flaps = 0
	}
	ejectionTime := minEjectionTime
	if t.flaps > 0 {
		ejectionTime = min(flapEjectionTime<<min(t.flaps-1, 10), maxEjectionTime)
	}
	t.unhealthy = true
	t.reason = c.reason
	t.unhealthySince = now
	t.earliestReturn = now + ejectionTime
	t.resetSamples()
	t.watchedUntil = 0
	d := a.newDecision(name, Ejected, c.reason, c)
	d.MinEjectionTime = ejectionTime
	return d
}

// newDecision returns a decision on a target for the log.
func (a *Authority) newDecision(name string, k DecisionKind, r Reason, c assessment) Decided {
	return Decided{
		Service:   a.view.service.Name,
		Target:    name,
		Kind:      k,
		Reason:    r,
		Score:     c.score,
		Threshold: c.threshold,
	}
}

// recordSamples records the outcomes of samples sent to an ejected target and
// reinstates it after enough successes.
func (a *Authority) recordSamples(now time.Duration, r TargetReport, t *targetState) []AuthorityEffect {
	var peers Histogram
	a.eachPeer(now, r.Target, func(p *targetState) {
		if now >= p.coldUntil {
			p.series.addLatencies(seriesLength, &peers)
		}
	})
	t.slowSamples += countSlow(&r.Latency, &peers, &a.longRunLatency)
	if countFailures(r) > 0 || t.slowSamples > maxSlowSamples {
		t.resetSamples()
		return nil
	}
	t.goodSamples += int(r.Latency.Total)
	t.sampleLatencies.Merge(&r.Latency)
	if t.goodSamples < returnSamples || now < t.earliestReturn {
		return nil
	}
	if peers.Total >= minPeerLatencies && t.sampleLatencies.meanBucket()-peers.meanBucket() >= minSlowDifference {
		t.resetSamples()
		return nil
	}
	return []AuthorityEffect{a.reinstate(now, r.Target, t)}
}

// resetSamples discards the samples, so that the count of successes restarts.
func (t *targetState) resetSamples() {
	t.goodSamples = 0
	t.slowSamples = 0
	t.sampleLatencies = Histogram{}
}

// countSlow returns how many samples, after toleratedBuckets are subtracted, reach the
// quantile slowQuantile of the peers' latencies. It returns zero if the peers have too
// few answers.
func countSlow(samples, peers, longRun *Histogram) int {
	if peers.Total < minPeerLatencies {
		return 0
	}
	quantile := newQuantiles(peers, longRun)
	count := 0
	for i, n := range samples.Counts {
		if n > 0 && quantile.at(i-toleratedBuckets) >= slowQuantile {
			count += int(n)
		}
	}
	return count
}

// reinstate ends the ejection of a target.
func (a *Authority) reinstate(now time.Duration, name string, t *targetState) AuthorityEffect {
	t.unhealthy = false
	t.ejected = false
	t.resetSamples()
	t.severity = 0
	t.returnedAt = now
	t.coldUntil = now + returnColdPeriod
	t.series.clear()
	return a.newDecision(name, Returned, t.reason, assessment{})
}

// rate returns the target's attempts a second over the newest rateIntervals
// intervals.
func (s *series) rate() float64 {
	return s.total(rateIntervals).attempts / (rateIntervals * intervalLength).Seconds()
}

// without returns the histogram less the counts of part, which must be contained
// in it.
func (h *Histogram) without(part *Histogram) Histogram {
	rest := *h
	for i, n := range part.Counts {
		rest.Counts[i] -= n
	}
	rest.Total -= part.Total
	return rest
}
