package quarantine

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// requestPermit begins to ask for a permit.
func (s *State) requestPermit(now time.Duration, e PermitRequested) []Effect {
	s.lastNumber++
	run := permitRun{
		number:        e.Number,
		requestNumber: s.lastNumber,
		fingerprint:   e.Fingerprint,
		outline:       e.Outline,
		waitDeadline:  now + e.Wait,
		term:          min(e.Term, maxPermitTerm),
	}
	effects, done := s.sendRequest(now, &run)
	if !done {
		s.runs = append(s.runs, run)
	}
	return effects
}

// sendRequest asks the authority for a permit, or decides itself if this instance is
// the authority. It reports whether the run is finished and must be removed.
func (s *State) sendRequest(now time.Duration, run *permitRun) ([]Effect, bool) {
	run.resendAt = now + resendInterval
	to, ok := s.directory.Coordinator(now, run.fingerprint)
	if !ok {
		return nil, false
	}
	run.authority = to
	run.sentAt = append(run.sentAt, now)
	m := PermitRequest{
		Number:      run.requestNumber,
		Attempt:     len(run.sentAt) - 1,
		Fingerprint: run.fingerprint,
		Term:        run.term,
	}
	if r := s.records[run.fingerprint]; r != nil {
		m.Strikes = r.messages(now, run.fingerprint)
	}
	if to != s.self.Address {
		return []Effect{Send{
			To:      to,
			Message: m,
		}}, false
	}
	return s.applyReply(now, run, s.answerRequest(now, s.self, m))
}

// handleReply takes in the authority's reply to a permit request.
func (s *State) handleReply(now time.Duration, from instance.Address, m PermitReply) []Effect {
	for _, k := range m.Strikes {
		s.addStrike(now, k)
	}
	i := s.findRun(m.Number)
	if i < 0 || s.runs[i].authority != from || s.runs[i].phase == releasing {
		return returnPermit(from, m)
	}
	run := &s.runs[i]
	if run.phase != waiting || m.Attempt < 0 || m.Attempt >= len(run.sentAt) {
		return nil
	}
	effects, done := s.applyReply(now, run, m)
	if done {
		s.removeRun(m.Number)
	}
	return effects
}

// returnPermit gives back a permit that came too late or from a former authority.
func returnPermit(from instance.Address, m PermitReply) []Effect {
	if m.Decision != Permitted {
		return nil
	}
	return []Effect{Send{
		To: from,
		Message: Release{
			Number:      m.Number,
			Fingerprint: m.Fingerprint,
			Result:      Inconclusive,
		},
	}}
}

// applyReply acts on a reply and reports whether the run is finished. Busy and
// NotAuthority leave it waiting. A permit's term counts from when the attempt that
// was answered was sent.
func (s *State) applyReply(now time.Duration, run *permitRun, m PermitReply) ([]Effect, bool) {
	switch m.Decision {
	case Permitted:
		run.phase = running
		run.until = run.sentAt[m.Attempt] + run.term - run.term*clockDriftPercent/100
		return []Effect{PermitAnswered{
			Number:   run.number,
			Decision: Permitted,
			Until:    run.until,
		}}, false
	case Denied:
		return []Effect{s.refusal(now, *run, Denied)}, true
	default:
		return nil, false
	}
}

// refusal returns the answer to a request that gets no permit.
func (s *State) refusal(now time.Duration, run permitRun, decision Decision) PermitAnswered {
	wait := minRetryAfter
	if r := s.records[run.fingerprint]; decision == Denied && r != nil {
		wait = max(wait, r.until-now)
	}
	return PermitAnswered{
		Number:     run.number,
		Decision:   decision,
		RetryAfter: wait + time.Duration(s.random.Int64N(int64(time.Second))),
	}
}

// endRun releases the permit of a run. The release is sent until it is acknowledged.
// If it never is, the permit lapses at the authority, and that counts as a strike.
func (s *State) endRun(now time.Duration, e RunEnded) []Effect {
	i := slices.IndexFunc(s.runs, func(a permitRun) bool {
		return a.number == e.Number && a.phase == running
	})
	if i < 0 {
		return nil
	}
	run := &s.runs[i]
	run.phase = releasing
	run.release = Release{
		Number:      run.requestNumber,
		Fingerprint: run.fingerprint,
		Result:      e.Result,
	}
	var effects []Effect
	if e.Result == TargetCrashed {
		effects = s.createStrike(now, run.number, run.fingerprint, run.outline, e.Target)
		k := Strike{
			Fingerprint: run.fingerprint,
			Outline:     run.outline,
			Origin:      s.self,
			Number:      s.lastNumber,
			Target:      e.Target,
			Remaining:   s.strikeTerm,
		}
		run.release.Strike = &k
	}
	return append(effects, s.sendRelease(now, i)...)
}

// sendRelease sends the release of the run at index i, or handles it if this
// instance is the authority.
func (s *State) sendRelease(now time.Duration, i int) []Effect {
	run := &s.runs[i]
	run.resendAt = now + resendInterval
	if run.authority != s.self.Address {
		return []Effect{Send{
			To:      run.authority,
			Message: run.release,
		}}
	}
	m := run.release
	s.removeRun(run.requestNumber)
	return s.endPermit(now, s.self, m)
}

// abandon releases the permit that may be on its way to a run whose wait has ended.
func (s *State) abandon(now time.Duration, i int) []Effect {
	run := &s.runs[i]
	if run.authority == "" || run.authority == s.self.Address {
		s.removeRun(run.requestNumber)
		return nil
	}
	run.phase = releasing
	run.until = now + run.term
	run.release = Release{
		Number:      run.requestNumber,
		Fingerprint: run.fingerprint,
		Result:      Inconclusive,
	}
	return s.sendRelease(now, i)
}

// tickRuns sends unanswered messages again, refuses runs that have waited too long for
// a permit, and removes runs whose permit or release time has passed.
func (s *State) tickRuns(now time.Duration) []Effect {
	var effects []Effect
	for i := len(s.runs) - 1; i >= 0; i-- {
		run := &s.runs[i]
		switch {
		case run.phase == waiting && now >= run.waitDeadline:
			effects = append(effects, s.refusal(now, *run, NoAnswer))
			effects = append(effects, s.abandon(now, i)...)
		case run.phase == waiting && now >= run.resendAt:
			more, done := s.sendRequest(now, run)
			effects = append(effects, more...)
			if done {
				s.removeRun(run.requestNumber)
			}
		case run.phase != waiting && now >= run.until:
			s.removeRun(run.requestNumber)
		case run.phase == releasing && now >= run.resendAt:
			effects = append(effects, s.sendRelease(now, i)...)
		}
	}
	return effects
}

// findRun returns the index of the run with the request number, or -1.
func (s *State) findRun(requestNumber uint64) int {
	return slices.IndexFunc(s.runs, func(a permitRun) bool {
		return a.requestNumber == requestNumber
	})
}

// removeRun deletes the run with the request number, if there is one.
func (s *State) removeRun(requestNumber uint64) {
	if i := s.findRun(requestNumber); i >= 0 {
		s.runs = slices.Delete(s.runs, i, i+1)
	}
}
