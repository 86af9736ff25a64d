package quarantine

import (
	"bytes"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// judge answers an ask as the fingerprint's authority.
func (s *State) judge(now time.Duration, from instance.ID, m PermitRequest) PermitReply {
	for _, k := range m.Strikes {
		if k.Fingerprint == m.Fingerprint {
			s.note(now, k)
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
	reply.Decision = s.verdict(now, since, from, m, r)
	return reply
}

// verdict decides on a permit and notes it.
func (s *State) verdict(now, since time.Duration, from instance.ID, m PermitRequest, r *record) Decision {
	switch {
	case r == nil || m.Term <= 0 || m.Term > mostTerm:
		// The asker's strikes have lapsed on the way; let it look again.
		return Busy
	case r.standing(now) == Quarantined:
		return Denied
	case s.void[strikeKey{
		by:     from,
		number: m.Number,
	}] > now:
		// The asker is done; this ask is a copy, or its release overtook it.
		return Busy
	case now < since+mostTerm:
		// A predecessor's permit may still run.
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

// released takes a permit back and acknowledges.
func (s *State) released(now time.Duration, from instance.ID, m Release) []Effect {
	effects := []Effect{Send{
		To: from.Address,
		Message: ReleaseAck{
			Number: m.Number,
		},
	}}
	return append(effects, s.free(now, from, m)...)
}

// free ends a permit and acts on how its run went.
func (s *State) free(now time.Duration, from instance.ID, m Release) []Effect {
	if m.Strike != nil && m.Strike.Fingerprint == m.Fingerprint {
		s.note(now, *m.Strike)
	}
	r := s.records[m.Fingerprint]
	if len(s.void) < mostRecords {
		s.void[strikeKey{
			by:     from,
			number: m.Number,
		}] = now + mostTerm
	}
	if r == nil || r.permit.holder != from || r.permit.number != m.Number {
		return nil
	}
	r.permit = permit{}
	if m.Result != Succeeded || r.standing(now) != Suspect {
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

// lapse strikes the fingerprints whose permits ended without a release: their
// run may have crashed a target.
func (s *State) lapse(now time.Duration) []Effect {
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
		effects = append(effects, s.strike(now, 0, f, s.records[f].outline, "")...)
	}
	return effects
}
