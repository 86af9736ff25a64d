package quarantine

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// requestPermit begins to ask for a permit.
func (s *State) requestPermit(now time.Duration, e PermitRequested) []Effect {
	s.lastNumber++
	a := permitRun{
		number:        e.Number,
		requestNumber: s.lastNumber,
		fingerprint:   e.Fingerprint,
		outline:       e.Outline,
		waitDeadline:  now + e.Wait,
		term:          min(e.Term, maxPermitTerm),
	}
	effects, done := s.sendRequest(now, &a)
	if !done {
		s.runs = append(s.runs, a)
	}
	return effects
}

// sendRequest asks the authority for a permit, or decides itself if this instance is
// the authority. It reports whether the run is finished and must be removed.
func (s *State) sendRequest(now time.Duration, a *permitRun) ([]Effect, bool) {
	a.resendAt = now + resendInterval
	to, ok := s.directory.Coordinator(now, a.fingerprint)
	if !ok {
		return nil, false
	}
	a.authority = to
	a.sentAt = append(a.sentAt, now)
	m := PermitRequest{
		Number:      a.requestNumber,
		Attempt:     len(a.sentAt) - 1,
		Fingerprint: a.fingerprint,
		Term:        a.term,
	}
	if r := s.records[a.fingerprint]; r != nil {
		m.Strikes = r.messages(now, a.fingerprint)
	}
	if to != s.self.Address {
		return []Effect{Send{
			To:      to,
			Message: m,
		}}, false
	}
	return s.applyReply(now, a, s.answerRequest(now, s.self, m))
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
	a := &s.runs[i]
	if a.phase != waiting || m.Attempt < 0 || m.Attempt >= len(a.sentAt) {
		return nil
	}
	effects, done := s.applyReply(now, a, m)
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
func (s *State) applyReply(now time.Duration, a *permitRun, m PermitReply) ([]Effect, bool) {
	switch m.Decision {
	case Permitted:
		a.phase = running
		a.until = a.sentAt[m.Attempt] + a.term - a.term*clockDriftPercent/100
		return []Effect{PermitAnswered{
			Number:   a.number,
			Decision: Permitted,
			Until:    a.until,
		}}, false
	case Denied:
		return []Effect{s.refusal(now, *a, Denied)}, true
	default:
		return nil, false
	}
}

// refusal returns the answer to a request that gets no permit.
func (s *State) refusal(now time.Duration, a permitRun, v Decision) PermitAnswered {
	wait := minRetryAfter
	if r := s.records[a.fingerprint]; v == Denied && r != nil {
		wait = max(wait, r.until-now)
	}
	return PermitAnswered{
		Number:     a.number,
		Decision:   v,
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
	a := &s.runs[i]
	a.phase = releasing
	a.release = Release{
		Number:      a.requestNumber,
		Fingerprint: a.fingerprint,
		Result:      e.Result,
	}
	var effects []Effect
	if e.Result == TargetCrashed {
		effects = s.strike(now, a.number, a.fingerprint, a.outline, e.Target)
		k := Strike{
			Fingerprint: a.fingerprint,
			Outline:     a.outline,
			Origin:      s.self,
			Number:      s.lastNumber,
			Target:      e.Target,
			Remaining:   s.strikeTerm,
		}
		a.release.Strike = &k
	}
	return append(effects, s.sendRelease(now, i)...)
}

// sendRelease sends the release of the run at index i, or handles it if this
// instance is the authority.
func (s *State) sendRelease(now time.Duration, i int) []Effect {
	a := &s.runs[i]
	a.resendAt = now + resendInterval
	if a.authority != s.self.Address {
		return []Effect{Send{
			To:      a.authority,
			Message: a.release,
		}}
	}
	m := a.release
	s.removeRun(a.requestNumber)
	return s.endPermit(now, s.self, m)
}

// abandon releases the permit that may be on its way to a run whose wait has ended.
func (s *State) abandon(now time.Duration, i int) []Effect {
	a := &s.runs[i]
	if a.authority == "" || a.authority == s.self.Address {
		s.removeRun(a.requestNumber)
		return nil
	}
	a.phase = releasing
	a.until = now + a.term
	a.release = Release{
		Number:      a.requestNumber,
		Fingerprint: a.fingerprint,
		Result:      Inconclusive,
	}
	return s.sendRelease(now, i)
}

// tickRuns sends unanswered messages again and ends runs that waited too long.
func (s *State) tickRuns(now time.Duration) []Effect {
	var effects []Effect
	for i := len(s.runs) - 1; i >= 0; i-- {
		a := &s.runs[i]
		switch {
		case a.phase == waiting && now >= a.waitDeadline:
			effects = append(effects, s.refusal(now, *a, NoAnswer))
			effects = append(effects, s.abandon(now, i)...)
		case a.phase == waiting && now >= a.resendAt:
			more, done := s.sendRequest(now, a)
			effects = append(effects, more...)
			if done {
				s.removeRun(a.requestNumber)
			}
		case a.phase != waiting && now >= a.until:
			s.removeRun(a.requestNumber)
		case a.phase == releasing && now >= a.resendAt:
			effects = append(effects, s.sendRelease(now, i)...)
		}
	}
	return effects
}

// findRun returns the index of the run with the request number, or -1.
func (s *State) findRun(own uint64) int {
	return slices.IndexFunc(s.runs, func(a permitRun) bool {
		return a.requestNumber == own
	})
}

// removeRun deletes the run with the request number, if there is one.
func (s *State) removeRun(own uint64) {
	if i := s.findRun(own); i >= 0 {
		s.runs = slices.Delete(s.runs, i, i+1)
	}
}
