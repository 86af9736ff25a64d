package target

import "time"

// accusation is evidence against a target.
type accusation struct {
	reason    Reason
	score     float64
	threshold float64
	watch     float64
	severity  float64
	rate      float64
}

// accuse holds the target for sick if the evidence suffices, or watches it.
func (a *Authority) accuse(now time.Duration, name string, t *subject, c accusation) []AuthorityEffect {
	if c.score >= c.threshold {
		t.accused = now
		t.severity = max(c.severity, t.severity*0.5)
		if t.sick {
			return nil
		}
		return []AuthorityEffect{a.condemn(now, name, t, c)}
	}
	if c.score < c.watch || c.rate >= watchRate || t.sick {
		return nil
	}
	fresh := now >= t.watched
	t.watched = now + watchTerm
	t.reason = c.reason
	if !fresh {
		return nil
	}
	return []AuthorityEffect{a.decided(name, Watched, c.reason, c)}
}

// condemn holds a target for sick. Whether it leaves work is for the floor to
// say.
func (a *Authority) condemn(now time.Duration, name string, t *subject, c accusation) AuthorityEffect {
	if t.returned != 0 && now-t.returned < flapTerm {
		t.flaps++
	} else {
		t.flaps = 0
	}
	out := leastOut
	if t.flaps > 0 {
		out = min(flapOut<<min(t.flaps-1, 10), mostOut)
	}
	t.sick = true
	t.reason = c.reason
	t.since = now
	t.hold = now + out
	t.retry()
	t.watched = 0
	d := a.decided(name, Ejected, c.reason, c)
	d.MinEjectionTime = out
	return d
}

func (a *Authority) decided(name string, k DecisionKind, r Reason, c accusation) Decided {
	return Decided{
		Service:   a.view.service.Name,
		Target:    name,
		Kind:      k,
		Reason:    r,
		Score:     c.score,
		Threshold: c.threshold,
	}
}

// sampled takes in what an ejected target did with its samples.
func (a *Authority) sampled(now time.Duration, e TargetReport, t *subject) []AuthorityEffect {
	var peers Histogram
	a.peers(now, e.Target, func(p *subject) {
		if now >= p.cold {
			p.series.latency(seriesLength, &peers)
		}
	})
	t.slow += slow(&e.Latency, &peers, &a.long)
	if failures(e) > 0 || t.slow > slowSamples {
		t.retry()
		return nil
	}
	t.good += int(e.Latency.Total)
	t.samples.Merge(&e.Latency)
	if t.good < returnGood || now < t.hold {
		return nil
	}
	if peers.Total >= leastPeerLatencies && t.samples.mean()-peers.mean() >= slowDifference {
		t.retry()
		return nil
	}
	return []AuthorityEffect{a.forgive(now, e.Target, t)}
}

// retry begins the samples of an ejected target anew.
func (t *subject) retry() {
	t.good = 0
	t.slow = 0
	t.samples = Histogram{}
}

// slow counts the samples that were slower than most that the peers do.
func slow(samples, peers, long *Histogram) int {
	if peers.Total < leastPeerLatencies {
		return 0
	}
	rank := newRanking(peers, long)
	over := 0
	for i, n := range samples.Counts {
		if n > 0 && rank.at(i-tolerance) >= slowRank {
			over += int(n)
		}
	}
	return over
}

// forgive lets a target return.
func (a *Authority) forgive(now time.Duration, name string, t *subject) AuthorityEffect {
	t.sick = false
	t.out = false
	t.retry()
	t.severity = 0
	t.returned = now
	t.cold = now + returnCold
	t.series.clear()
	return a.decided(name, Returned, t.reason, accusation{})
}

// rate is the target's attempts a second over the last seconds.
func (s *series) rate() float64 {
	return s.total(rateWindow).attempts / (rateWindow * bucketTerm).Seconds()
}

// without returns what is left of the digest when a part is taken out.
func (d *Histogram) without(part *Histogram) Histogram {
	rest := *d
	for i, n := range part.Counts {
		rest.Counts[i] -= n
	}
	rest.Total -= part.Total
	return rest
}
