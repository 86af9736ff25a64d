package quarantine

import (
	"time"

	"dandelionmux/pkg/instance"
)

// quarantineStrikes is the number of strikes that quarantine a fingerprint.
const quarantineStrikes = 2

// strikeKey identifies a strike or a permit request by the instance that made it and
// the instance's own number.
type strikeKey struct {
	origin instance.ID
	number uint64
}

// record is what an instance knows of one fingerprint.
type record struct {
	outline Outline
	strikes []countedStrike
	// until is when the last strike expires; all strikes count until then.
	until time.Duration
	// cleared is set if a run has succeeded since the strike.
	cleared bool
	// permit is the one granted for the fingerprint while this instance is its
	// authority.
	permit permit
}

// countedStrike is one strike and the target that crashed.
type countedStrike struct {
	key    strikeKey
	target string
}

// permit is the exclusive right to run a suspect.
type permit struct {
	holder instance.ID
	number uint64
	until  time.Duration
}

// add counts a strike once and reports whether it is new. Strikes beyond
// quarantineStrikes change nothing and aren't kept.
func (r *record) add(now time.Duration, c countedStrike, left time.Duration) bool {
	if now >= r.until {
		r.strikes = nil
		r.cleared = false
	}
	for _, old := range r.strikes {
		if old.key == c.key {
			return false
		}
	}
	if len(r.strikes) >= quarantineStrikes {
		return false
	}
	r.strikes = append(r.strikes, c)
	r.until = max(r.until, now+left)
	return true
}

// status returns the record's status. Lapsed strikes don't count.
func (r *record) status(now time.Duration) Status {
	switch {
	case now >= r.until:
		return Free
	case len(r.strikes) >= quarantineStrikes:
		return Quarantined
	case len(r.strikes) == 1 && !r.cleared:
		return Suspect
	default:
		return Free
	}
}

// messages returns the record's strikes as messages.
func (r *record) messages(now time.Duration, f Fingerprint) []Strike {
	if now >= r.until {
		return nil
	}
	var list []Strike
	for _, c := range r.strikes {
		list = append(list, Strike{
			Fingerprint: f,
			Outline:     r.outline,
			Origin:      c.key.origin,
			Number:      c.key.number,
			Target:      c.target,
			Remaining:   r.until - now,
			Cleared:     r.cleared,
		})
	}
	return list
}
