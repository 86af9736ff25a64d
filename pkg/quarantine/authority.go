package quarantine

import (
	"bytes"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// answerRequest answers a permit request as the fingerprint's authority.
func (s *State) answerRequest(now time.Duration, from instance.ID, m PermitRequest) PermitReply {
	for _, k := range m.Strikes {
		if k.Fingerprint == m.Fingerprint {
			s.addStrike(now, k)
		}
	}
	reply := PermitReply{
		Number:      m.Number,
		Attempt:     m.Attempt,
		Fingerprint: m.Fingerprint,
	}
	since, ok := s.directory.AuthoritySince(now, m.Fingerprint)
	if !ok {
		reply.Decision = NotAuthority
		return reply
	}
	r := s.records[m.Fingerprint]
	if r != nil {
		reply.Strikes = r.messages(now, m.Fingerprint)
	}
	reply.Decision = s.decide(now, since, from, m, r)
	return reply
}

// decide decides on a permit request and records the permit if it grants one.
func (s *State) decide(now, since time.Duration, from instance.ID, m PermitRequest, r *record) Decision {
	switch {
	case r == nil || m.Term <= 0 || m.Term > maxPermitTerm:
		// No strikes are known any more, so the requester has to check the
		// fingerprint again; or the term is out of range.
		return Busy
	case r.status(now) == Quarantined:
		return Denied
	case s.endedRequests[strikeKey{
		origin: from,
		number: m.Number,
	}] > now:
		// The requester is done: this is a copy of its request, or the release
		// arrived before the request.
		return Busy
	case now < since+maxPermitTerm:
		// A permit of an earlier authority may still be in use.
		return Busy
	case r.permit.until > now && (r.permit.holder != from || r.permit.number != m.Number):
		return Busy
	}
	r.permit = permit{
		holder: from,
		number: m.Number,
		until:  now + m.Term,
	}
	return Permitted
}

// handleRelease takes a permit back and acknowledges the release.
func (s *State) handleRelease(now time.Duration, from instance.ID, m Release) []Effect {
	effects := []Effect{Send{
		To: from.Address,
		Message: ReleaseAck{
			Number: m.Number,
		},
	}}
	return append(effects, s.endPermit(now, from, m)...)
}

// endPermit ends a permit and acts on how its run ended.
func (s *State) endPermit(now time.Duration, from instance.ID, m Release) []Effect {
	if m.Strike != nil && m.Strike.Fingerprint == m.Fingerprint {
		s.addStrike(now, *m.Strike)
	}
	r := s.records[m.Fingerprint]
	if len(s.endedRequests) < maxRecords {
		s.endedRequests[strikeKey{
			origin: from,
			number: m.Number,
		}] = now + maxPermitTerm
	}
	if r == nil || r.permit.holder != from || r.permit.number != m.Number {
		return nil
	}
	r.permit = permit{}
	if m.Result != Succeeded || r.status(now) != Suspect {
		return nil
	}
	s.clear(m.Fingerprint)
	var effects []Effect
	for _, to := range s.directory.Peers(now) {
		effects = append(effects, Send{
			To: to,
			Message: StrikeCleared{
				Fingerprint: m.Fingerprint,
			},
		})
	}
	return effects
}

// strikeLapsedPermits adds a strike for each permit that ended without a release,
// because its run may have crashed a target.
func (s *State) strikeLapsedPermits(now time.Duration) []Effect {
	var lapsed []Fingerprint
	for f, r := range s.records {
		if r.permit.until != 0 && now >= r.permit.until {
			r.permit = permit{}
			lapsed = append(lapsed, f)
		}
	}
	slices.SortFunc(lapsed, func(f, g Fingerprint) int {
		return bytes.Compare(f[:], g[:])
	})
	var effects []Effect
	for _, f := range lapsed {
		effects = append(effects, s.createStrike(now, 0, f, s.records[f].outline, "")...)
	}
	return effects
}
