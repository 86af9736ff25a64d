package target

import (
	"cmp"
	"slices"
	"time"
)

// publish sends the list if it changed or is due again.
func (a *Authority) publish(now time.Duration) []AuthorityEffect {
	effects := a.settle(now)
	list := a.verdicts(now)
	changed := !slices.EqualFunc(list, a.list, alike)
	again := a.repeat != 0 && now >= a.repeat || a.renew != 0 && now >= a.renew
	if !changed && !again {
		return effects
	}
	if changed {
		a.list = list
		a.repeat = now + repeat
		a.silent = now + verdictTerm
	} else if now >= a.repeat {
		a.repeat = 0
	}
	a.renew = now + renewal
	if len(list) == 0 && now >= a.silent {
		a.renew = 0
	}
	a.number++
	v := Verdicts{
		Service:   a.view.service.Name,
		Epoch:     a.epoch,
		Number:    a.number,
		Authority: a.self,
		Term:      verdictTerm,
		List:      a.list,
	}
	a.view.Handle(now, Announced{
		Verdicts: v,
	})
	return append(effects, Announce{
		Verdicts: v,
	})
}

// alike compares verdicts, but for small changes of the sample.
func alike(v, w Verdict) bool {
	return v.Target == w.Target && v.Action == w.Action && v.Reason == w.Reason &&
		v.Severity == w.Severity && v.SampleFraction <= 2*w.SampleFraction && w.SampleFraction <= 2*v.SampleFraction
}

// settle decides which of the sick targets are out of work, under the floor.
func (a *Authority) settle(now time.Duration) []AuthorityEffect {
	var effects []AuthorityEffect
	base := make([]WeightedTarget, len(a.order))
	var candidates []Candidate
	for i, t := range a.view.service.Targets {
		base[i] = a.view.base(now, t)
		s := a.targets[t.Name]
		if !s.sick {
			continue
		}
		if !s.out && now-s.accused >= sparedTerm && now-s.since >= sparedTerm {
			effects = append(effects, a.forgive(now, t.Name, s))
			continue
		}
		candidates = append(candidates, Candidate{
			Index:    i,
			Severity: s.severity,
		})
	}
	out := SelectEjections(base, a.view.floor, candidates)
	for _, c := range candidates {
		name := a.order[c.Index]
		t := a.targets[name]
		was := t.out
		t.out = slices.Contains(out, c.Index)
		if was && !t.out || !t.out && t.since == now {
			t.accused = now
			effects = append(effects, a.decided(name, KeptByFloor, t.reason, accusation{}))
		}
		if t.out && !was {
			t.retry()
			t.series.clear()
		}
	}
	return effects
}

// verdicts lists what applies now, worst first.
func (a *Authority) verdicts(now time.Duration) []Verdict {
	total := 0.0
	for _, name := range a.order {
		t := a.targets[name]
		t.series.at(now)
		total += t.series.rate()
	}
	var list []Verdict
	for _, name := range a.order {
		t := a.targets[name]
		switch {
		case t.out:
			rate := probeRate
			if t.good >= trialGood {
				rate = trialRate
			}
			list = append(list, Verdict{
				Target:         name,
				Action:         Eject,
				Reason:         t.reason,
				Severity:       t.severity,
				SampleFraction: sample(rate, total),
			})
		case now < t.watched:
			list = append(list, Verdict{
				Target:         name,
				Action:         Watch,
				Reason:         Suspicious,
				SampleFraction: sample(watchRate-min(t.series.rate(), watchRate), total),
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

// sample is the fraction of a total rate that makes the rate wanted.
func sample(rate, total float64) float64 {
	if total <= 0 {
		return mostSample
	}
	return min(rate/total, mostSample)
}
