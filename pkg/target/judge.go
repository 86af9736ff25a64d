package target

import "time"

// prior returns the long-run failure rates of strata, without what the target
// itself added lately.
func (a *Authority) prior(t *subject) func(Stratum) float64 {
	own := map[Stratum]counts{}
	t.series.strata(seriesLength, own)
	return func(s Stratum) float64 {
		n, o := a.strata[s], own[s]
		failures := max(n.failures-o.failures, 0)
		attempts := max(n.attempts-o.attempts, failures)
		return (failures + priorAttempts*usualFailures) / (attempts + priorAttempts)
	}
}

// peers calls f for all other targets at work.
func (a *Authority) peers(now time.Duration, name string, f func(*subject)) {
	for _, other := range a.order {
		t := a.targets[other]
		if other != name && !t.out {
			t.series.at(now)
			f(t)
		}
	}
}

// compareFailures looks at the targets that failed since the last time.
func (a *Authority) compareFailures(now time.Duration) []AuthorityEffect {
	var effects []AuthorityEffect
	var all *[len(windows)]map[Stratum]counts
	for _, name := range a.order {
		t := a.targets[name]
		if !t.suspect {
			continue
		}
		t.suspect = false
		t.series.at(now)
		if t.out || t.series.total(seriesLength).failures < leastFailures {
			continue
		}
		if all == nil {
			all = a.pool(now)
		}
		effects = append(effects, a.judgeFailures(now, name, t, all)...)
		a.failed = now
	}
	return effects
}

// pool counts the attempts at all targets at work, by window and stratum.
func (a *Authority) pool(now time.Duration) *[len(windows)]map[Stratum]counts {
	var all [len(windows)]map[Stratum]counts
	for i, n := range windows {
		all[i] = map[Stratum]counts{}
		a.peers(now, "", func(p *subject) { p.series.strata(n, all[i]) })
	}
	return &all
}

// judgeFailures compares one target's failures with its peers'.
func (a *Authority) judgeFailures(now time.Duration, name string, t *subject, all *[len(windows)]map[Stratum]counts) []AuthorityEffect {
	rate := t.series.rate()
	threshold := failureThreshold(rate)
	prior := a.prior(t)
	best, severity := 0.0, 0.0
	seen := float64(leastFailures - 1)
	for i, n := range windows {
		total := t.series.total(n)
		if total.failures <= seen {
			// A longer window with no more failures only adds successes.
			continue
		}
		seen = total.failures
		own := map[Stratum]counts{}
		t.series.strata(n, own)
		others, any := without(all[i], own)
		if !any {
			continue
		}
		expect := expectation{
			peers:  others,
			prior:  prior,
			common: cautiousRate(others),
			weight: priorAttempts,
		}
		score := failureScore(own, expect, threshold)
		if score >= threshold {
			expect.peers, _ = a.matched(now, name, t, n)
			expect.common = commonRate(expect.peers)
			expect.weight = matchedAttempts
			score = failureScore(own, expect, threshold)
		}
		if score > best {
			best = score
			severity = 1 + total.failures/total.attempts
		}
	}
	return a.accuse(now, name, t, accusation{
		reason:    Failing,
		score:     best,
		threshold: threshold,
		watch:     watchFailures,
		severity:  severity,
		rate:      rate,
	})
}

// matched counts the peers' attempts and latencies of the newest n buckets, each
// bucket weighted by the target's own part of it. A watched target gets more
// requests late in the window, and the service may have changed meanwhile; the
// weights make both alike.
func (a *Authority) matched(now time.Duration, name string, t *subject, n int) (map[Stratum]counts, Histogram) {
	strata := map[Stratum]counts{}
	var latency Histogram
	var sum, squares float64
	for i := range n {
		own := t.series.back(i)
		if own == nil {
			break
		}
		var others []*bucket
		a.peers(now, name, func(p *subject) {
			if b := p.series.back(i); b != nil {
				others = append(others, b)
			}
		})
		var attempts, latencies float64
		for _, b := range others {
			attempts += float64(b.attempts)
			latencies += float64(b.latency.Total)
		}
		weight := float64(own.attempts) / max(attempts, 1)
		sum += weight * attempts
		squares += weight * weight * attempts
		for _, b := range others {
			b.weigh(strata, weight)
			b.weighLatency(&latency, float64(own.latency.Total)/max(latencies, 1))
		}
	}
	// Counts as many as the weighted ones are worth.
	factor := sum / max(squares, 1e-9)
	for s, n := range strata {
		n.attempts *= factor
		n.failures *= factor
		strata[s] = n
	}
	return strata, latency
}

// without takes a part out of counts, and reports whether anything is left.
func without(all, part map[Stratum]counts) (map[Stratum]counts, bool) {
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

// compareLatencies compares all targets' latencies with their peers'.
func (a *Authority) compareLatencies(now time.Duration) []AuthorityEffect {
	var effects []AuthorityEffect
	sums := make(map[string]*[len(windows)]Histogram, len(a.order))
	var all [len(windows)]Histogram
	for _, name := range a.order {
		t := a.targets[name]
		t.series.at(now)
		if t.out || now < t.cold {
			continue
		}
		sum := &[len(windows)]Histogram{}
		for i, n := range windows {
			t.series.latency(n, &sum[i])
			all[i].Merge(&sum[i])
		}
		sums[name] = sum
	}
	for _, name := range a.order {
		if sums[name] != nil {
			effects = append(effects, a.judgeLatency(now, name, sums[name], &all)...)
		}
	}
	return effects
}

// judgeLatency compares one target's latencies with the rest.
func (a *Authority) judgeLatency(now time.Duration, name string, own, all *[len(windows)]Histogram) []AuthorityEffect {
	t := a.targets[name]
	best := accusation{
		reason:    Slow,
		threshold: 1,
		watch:     watchLatency,
		rate:      t.series.rate(),
	}
	for i, n := range windows {
		rest := all[i].without(&own[i])
		score, difference := latencyScore(&own[i], &rest, &a.long)
		if score < watchLatency {
			continue
		}
		// The window may mix two phases of the service, so its own
		// distribution counts too.
		threshold := latencyThreshold(best.rate, min(a.exponent, exponent(&rest)))
		if score >= threshold {
			_, peers := a.matched(now, name, t, n)
			score, difference = latencyScore(&own[i], &peers, &a.long)
		}
		if score/threshold > best.score/best.threshold {
			best.score = score
			best.threshold = threshold
			best.severity = slowSeverity * difference / bucketsPerDoubling
		}
	}
	if best.score == 0 {
		return nil
	}
	return a.accuse(now, name, t, best)
}
