package target

import "time"

// longRunFailureRate returns a function that returns the long-run failure rate of a
// stratum, without the target's own recent attempts.
func (a *Authority) longRunFailureRate(t *targetState) func(Stratum) float64 {
	own := map[Stratum]counts{}
	t.series.addCounts(seriesLength, own)
	return func(s Stratum) float64 {
		n, o := a.longRunCounts[s], own[s]
		failures := max(n.failures-o.failures, 0)
		attempts := max(n.attempts-o.attempts, failures)
		return (failures + priorAttempts*minFailureRate) / (attempts + priorAttempts)
	}
}

// eachPeer calls f for each target in use other than the named one.
func (a *Authority) eachPeer(now time.Duration, name string, f func(*targetState)) {
	for _, other := range a.order {
		t := a.targets[other]
		if other != name && !t.ejected {
			t.series.advance(now)
			f(t)
		}
	}
}

// compareFailures compares the targets that have failed since the last comparison
// with their peers.
func (a *Authority) compareFailures(now time.Duration) []AuthorityEffect {
	var effects []AuthorityEffect
	var all *[len(windows)]map[Stratum]counts
	for _, name := range a.order {
		t := a.targets[name]
		if !t.failuresPending {
			continue
		}
		t.failuresPending = false
		t.series.advance(now)
		if t.ejected || t.series.total(seriesLength).failures < minFailures {
			continue
		}
		if all == nil {
			all = a.poolCounts(now)
		}
		effects = append(effects, a.checkFailures(now, name, t, all)...)
		a.lastFailureCheck = now
	}
	return effects
}

// poolCounts counts the attempts at all targets in use by window and stratum.
func (a *Authority) poolCounts(now time.Duration) *[len(windows)]map[Stratum]counts {
	var all [len(windows)]map[Stratum]counts
	for i, n := range windows {
		all[i] = map[Stratum]counts{}
		a.eachPeer(now, "", func(p *targetState) { p.series.addCounts(n, all[i]) })
	}
	return &all
}

// checkFailures compares one target's failures with those of its peers, in each
// window, and acts on the highest score.
func (a *Authority) checkFailures(now time.Duration, name string, t *targetState, all *[len(windows)]map[Stratum]counts) []AuthorityEffect {
	rate := t.series.rate()
	threshold := failureThreshold(rate)
	prior := a.longRunFailureRate(t)
	best, severity := 0.0, 0.0
	shorterFailures := float64(minFailures - 1)
	for i, n := range windows {
		total := t.series.total(n)
		if total.failures <= shorterFailures {
			// A longer window without more failures only adds successes, which
			// lower the score.
			continue
		}
		shorterFailures = total.failures
		own := map[Stratum]counts{}
		t.series.addCounts(n, own)
		others, any := subtractCounts(all[i], own)
		if !any {
			continue
		}
		expect := expectation{
			peers:       others,
			prior:       prior,
			overall:     lowOverallRate(others),
			priorWeight: priorAttempts,
		}
		score := failureScore(own, expect, threshold)
		if score >= threshold {
			expect.peers, _ = a.matchedPeers(now, name, t, n)
			expect.overall = overallRate(expect.peers)
			expect.priorWeight = matchedPriorAttempts
			score = failureScore(own, expect, threshold)
		}
		if score > best {
			best = score
			severity = 1 + total.failures/total.attempts
		}
	}
	return a.applyAssessment(now, name, t, assessment{
		reason:         Failing,
		score:          best,
		threshold:      threshold,
		watchThreshold: watchFailureScore,
		severity:       severity,
		rate:           rate,
	})
}

// matchedPeers counts the peers' attempts and latencies in the newest n intervals.
// Each interval is weighted by the target's own share of its attempts. A watched target
// gets more requests late in the window, and the service may have changed meanwhile;
// the weights give both sides the same distribution over time.
func (a *Authority) matchedPeers(now time.Duration, name string, t *targetState, n int) (map[Stratum]counts, Histogram) {
	strata := map[Stratum]counts{}
	var latency Histogram
	var sum, squares float64
	for i := range n {
		own := t.series.recent(i)
		if own == nil {
			break
		}
		var others []*interval
		a.eachPeer(now, name, func(p *targetState) {
			if v := p.series.recent(i); v != nil {
				others = append(others, v)
			}
		})
		var attempts, latencies float64
		for _, v := range others {
			attempts += float64(v.attempts)
			latencies += float64(v.latency.Total)
		}
		weight := float64(own.attempts) / max(attempts, 1)
		sum += weight * attempts
		squares += weight * weight * attempts
		for _, v := range others {
			v.addWeighted(strata, weight)
			v.addWeightedLatency(&latency, float64(own.latency.Total)/max(latencies, 1))
		}
	}
	// Scales the counts to the effective sample size of the weighted ones.
	factor := sum / max(squares, 1e-9)
	for s, n := range strata {
		n.attempts *= factor
		n.failures *= factor
		strata[s] = n
	}
	return strata, latency
}

// subtractCounts returns all less part, by stratum, and reports whether any attempts
// are left.
func subtractCounts(all, part map[Stratum]counts) (map[Stratum]counts, bool) {
	rest := make(map[Stratum]counts, len(all))
	left := 0.0
	for s, n := range all {
		n.attempts -= part[s].attempts
		n.failures -= part[s].failures
		rest[s] = n
		left += n.attempts
	}
	return rest, left > 0
}

// compareLatencies compares the latencies of each target in use with those of its
// peers.
func (a *Authority) compareLatencies(now time.Duration) []AuthorityEffect {
	var effects []AuthorityEffect
	sums := make(map[string]*[len(windows)]Histogram, len(a.order))
	var all [len(windows)]Histogram
	for _, name := range a.order {
		t := a.targets[name]
		t.series.advance(now)
		if t.ejected || now < t.coldUntil {
			continue
		}
		sum := &[len(windows)]Histogram{}
		for i, n := range windows {
			t.series.addLatencies(n, &sum[i])
			all[i].Merge(&sum[i])
		}
		sums[name] = sum
	}
	for _, name := range a.order {
		if sums[name] != nil {
			effects = append(effects, a.checkLatency(now, name, sums[name], &all)...)
		}
	}
	return effects
}

// checkLatency compares one target's latencies with the rest of all, in each window,
// and acts on the highest score in proportion to its threshold.
func (a *Authority) checkLatency(now time.Duration, name string, own, all *[len(windows)]Histogram) []AuthorityEffect {
	t := a.targets[name]
	best := assessment{
		reason:         Slow,
		threshold:      1,
		watchThreshold: watchLatencyScore,
		rate:           t.series.rate(),
	}
	for i, n := range windows {
		rest := all[i].without(&own[i])
		score, difference := latencyScore(&own[i], &rest, &a.longRunLatency)
		if score < watchLatencyScore {
			continue
		}
		// The service's latency may have changed within the window, so the
		// exponent of the window's own distribution counts too.
		threshold := latencyThreshold(best.rate, min(a.exponent, exponent(&rest)))
		if score >= threshold {
			_, peers := a.matchedPeers(now, name, t, n)
			score, difference = latencyScore(&own[i], &peers, &a.longRunLatency)
		}
		if score/threshold > best.score/best.threshold {
			best.score = score
			best.threshold = threshold
			best.severity = slowSeverityFactor * difference / bucketsPerDoubling
		}
	}
	if best.score == 0 {
		return nil
	}
	return a.applyAssessment(now, name, t, best)
}
