package quarantine

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// wanted begins to ask for a permit.
func (s *State) wanted(now time.Duration, e PermitRequested) []Effect {
	s.number++
	a := ask{
		number:      e.Number,
		own:         s.number,
		fingerprint: e.Fingerprint,
		outline:     e.Outline,
		wait:        now + e.Wait,
		term:        min(e.Term, mostTerm),
	}
	effects, done := s.send(now, &a)
	if !done {
		s.asks = append(s.asks, a)
	}
	return effects
}

// send asks the coordinator, or judges itself if it is the one. It reports
// whether the ask is settled for good.
func (s *State) send(now time.Duration, a *ask) ([]Effect, bool) {
	a.resend = now + resend
	to, ok := s.directory.Coordinator(now, a.fingerprint)
	if !ok {
		return nil, false
	}
	a.to = to
	a.sent = append(a.sent, now)
	m := PermitRequest{
		Number:      a.own,
		Attempt:     len(a.sent) - 1,
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
	return s.settle(now, a, s.judge(now, s.self, m))
}

// replied takes in the authority's answer to an ask.
func (s *State) replied(now time.Duration, from instance.Address, m PermitReply) []Effect {
	for _, k := range m.Strikes {
		s.note(now, k)
	}
	i := s.find(m.Number)
	if i < 0 || s.asks[i].to != from || s.asks[i].phase == releasing {
		return decline(from, m)
	}
	a := &s.asks[i]
	if a.phase != waiting || m.Attempt < 0 || m.Attempt >= len(a.sent) {
		return nil
	}
	effects, done := s.settle(now, a, m)
	if done {
		s.drop(m.Number)
	}
	return effects
}

// decline gives back a permit that came too late or from a former authority.
func decline(from instance.Address, m PermitReply) []Effect {
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

// settle acts on a reply. Busy and Elsewhere leave the ask waiting. The permit
// counts from when the attempt that was answered went out.
func (s *State) settle(now time.Duration, a *ask, m PermitReply) ([]Effect, bool) {
	switch m.Decision {
	case Permitted:
		a.phase = running
		a.until = a.sent[m.Attempt] + a.term - a.term*driftShare/100
		return []Effect{PermitAnswered{
			Number:   a.number,
			Decision: Permitted,
			Until:    a.until,
		}}, false
	case Denied:
		return []Effect{s.refuse(now, *a, Denied)}, true
	default:
		return nil, false
	}
}

// refuse answers a request that gets no permit.
func (s *State) refuse(now time.Duration, a ask, v Decision) PermitAnswered {
	wait := leastRetryAfter
	if r := s.records[a.fingerprint]; v == Denied && r != nil {
		wait = max(wait, r.until-now)
	}
	return PermitAnswered{
		Number:     a.number,
		Decision:   v,
		RetryAfter: wait + time.Duration(s.random.Int64N(int64(time.Second))),
	}
}

// ended releases the permit of a run. The release is sent until it is
// acknowledged; if it never is, the permit lapses at the authority, and that
// counts as a strike.
func (s *State) ended(now time.Duration, e RunEnded) []Effect {
	i := slices.IndexFunc(s.asks, func(a ask) bool {
		return a.number == e.Number && a.phase == running
	})
	if i < 0 {
		return nil
	}
	a := &s.asks[i]
	a.phase = releasing
	a.release = Release{
		Number:      a.own,
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
			Number:      s.number,
			Target:      e.Target,
			Remaining:   s.term,
		}
		a.release.Strike = &k
	}
	return append(effects, s.release(now, i)...)
}

// release sends the release of the ask at index i, or takes it in itself.
func (s *State) release(now time.Duration, i int) []Effect {
	a := &s.asks[i]
	a.resend = now + resend
	if a.to != s.self.Address {
		return []Effect{Send{
			To:      a.to,
			Message: a.release,
		}}
	}
	m := a.release
	s.drop(a.own)
	return s.free(now, s.self, m)
}

// abandon gives back the permit that may be on its way to an ask whose wait
// has ended.
func (s *State) abandon(now time.Duration, i int) []Effect {
	a := &s.asks[i]
	if a.to == "" || a.to == s.self.Address {
		s.drop(a.own)
		return nil
	}
	a.phase = releasing
	a.until = now + a.term
	a.release = Release{
		Number:      a.own,
		Fingerprint: a.fingerprint,
		Result:      Inconclusive,
	}
	return s.release(now, i)
}

// tickAsks sends again what went unanswered and ends what waited too long.
func (s *State) tickAsks(now time.Duration) []Effect {
	var effects []Effect
	for i := len(s.asks) - 1; i >= 0; i-- {
		a := &s.asks[i]
		switch {
		case a.phase == waiting && now >= a.wait:
			effects = append(effects, s.refuse(now, *a, NoAnswer))
			effects = append(effects, s.abandon(now, i)...)
		case a.phase == waiting && now >= a.resend:
			more, done := s.send(now, a)
			effects = append(effects, more...)
			if done {
				s.drop(a.own)
			}
		case a.phase != waiting && now >= a.until:
			s.drop(a.own)
		case a.phase == releasing && now >= a.resend:
			effects = append(effects, s.release(now, i)...)
		}
	}
	return effects
}

func (s *State) find(own uint64) int {
	return slices.IndexFunc(s.asks, func(a ask) bool {
		return a.own == own
	})
}

func (s *State) drop(own uint64) {
	if i := s.find(own); i >= 0 {
		s.asks = slices.Delete(s.asks, i, i+1)
	}
}
