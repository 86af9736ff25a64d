package target

import (
	"cmp"
	"slices"
	"time"
)

// publish sends the verdicts to all instances if they have changed or are due to be
// sent again.
func (a *Authority) publish(now time.Duration) []AuthorityEffect {
	effects := a.applyFloor(now)
	list := a.currentVerdicts(now)
	changed := !slices.EqualFunc(list, a.published, nearlyEqual)
	due := a.nextRepeat != 0 && now >= a.nextRepeat || a.nextRenewal != 0 && now >= a.nextRenewal
	if !changed && !due {
		return effects
	}
	if changed {
		a.published = list
		a.nextRepeat = now + repeatDelay
		a.sendEmptyUntil = now + verdictTerm
	} else if now >= a.nextRepeat {
		a.nextRepeat = 0
	}
	a.nextRenewal = now + renewalInterval
	if len(list) == 0 && now >= a.sendEmptyUntil {
		a.nextRenewal = 0
	}
	a.number++
	v := Verdicts{
		Service:   a.view.service.Name,
		Epoch:     a.epoch,
		Number:    a.number,
		Authority: a.self,
		Term:      verdictTerm,
		List:      a.published,
	}
	a.view.Handle(now, Announced{
		Verdicts: v,
	})
	return append(effects, Announce{
		Verdicts: v,
	})
}

// nearlyEqual reports whether two verdicts are equal up to a factor of two between
// their sample fractions.
func nearlyEqual(v, w Verdict) bool {
	return v.Target == w.Target && v.Action == w.Action && v.Reason == w.Reason &&
		v.Severity == w.Severity && v.SampleFraction <= 2*w.SampleFraction && w.SampleFraction <= 2*v.SampleFraction
}

// applyFloor decides which unhealthy targets are ejected, so that the capacity
// stays at or above the floor. It reinstates targets that the floor has kept in use and
// that have recovered.
func (a *Authority) applyFloor(now time.Duration) []AuthorityEffect {
	var effects []AuthorityEffect
	base := make([]WeightedTarget, len(a.order))
	var candidates []Candidate
	for i, t := range a.view.service.Targets {
		base[i] = a.view.baseTarget(now, t)
		s := a.targets[t.Name]
		if !s.unhealthy {
			continue
		}
		if !s.ejected && now-s.lastEvidence >= sparedRecoveryTime && now-s.unhealthySince >= sparedRecoveryTime {
			effects = append(effects, a.reinstate(now, t.Name, s))
			continue
		}
		severity := s.severity
		if !s.ejected {
			severity *= sparedSeverityFactor
		}
		candidates = append(candidates, Candidate{
			Index:    i,
			Severity: severity,
		})
	}
	ejected := SelectEjections(base, a.view.floor, candidates)
	for _, c := range candidates {
		name := a.order[c.Index]
		t := a.targets[name]
		wasEjected := t.ejected
		t.ejected = slices.Contains(ejected, c.Index)
		if wasEjected && !t.ejected || !t.ejected && t.unhealthySince == now {
			t.lastEvidence = now
			effects = append(effects, a.newDecision(name, KeptByFloor, t.reason, assessment{}))
		}
		if t.ejected && !wasEjected {
			t.resetSamples()
			t.series.clear()
		}
	}
	return effects
}

// currentVerdicts returns the verdicts that apply now: ejections, the most severe
// first, then watched targets.
func (a *Authority) currentVerdicts(now time.Duration) []Verdict {
	total := 0.0
	for _, name := range a.order {
		t := a.targets[name]
		t.series.advance(now)
		total += t.series.rate()
	}
	var list []Verdict
	for _, name := range a.order {
		t := a.targets[name]
		switch {
		case t.ejected:
			rate := probeRate
			if t.goodSamples >= trialSamples {
				rate = trialRate
			}
			list = append(list, Verdict{
				Target:         name,
				Action:         Eject,
				Reason:         t.reason,
				Severity:       t.severity,
				SampleFraction: sampleFraction(rate, total),
			})
		case now < t.watchedUntil:
			list = append(list, Verdict{
				Target:         name,
				Action:         Watch,
				Reason:         Suspicious,
				SampleFraction: sampleFraction(watchRate-min(t.series.rate(), watchRate), total),
			})
		}
	}
	slices.SortStableFunc(list, func(v, w Verdict) int {
		return cmp.Or(
			cmp.Compare(v.Action, w.Action),
			cmp.Compare(w.Severity, v.Severity),
		)
	})
	return list
}

// sampleFraction returns the fraction of total, in attempts a second, that yields
// the rate, at most maxSampleFraction.
func sampleFraction(rate, total float64) float64 {
	if total <= 0 {
		return maxSampleFraction
	}
	return min(rate/total, maxSampleFraction)
}
