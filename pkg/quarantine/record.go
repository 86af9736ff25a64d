package quarantine

import (
	"time"

	"dandelionmux/pkg/instance"
)

// limit is how many strikes quarantine a fingerprint.
const limit = 2

// strikeKey names a strike.
type strikeKey struct {
	by     instance.ID
	number uint64
}

// record is what is known of one fingerprint.
type record struct {
	outline Outline
	strikes []counted
	// until is when the last strike expires; all count until then.
	until time.Duration
	// cleared is set if a run has succeeded since the strike.
	cleared bool
	// permit is the one given out for the fingerprint, while this instance is
	// its authority.
	permit permit
}

// counted is one strike and the target that it cost.
type counted struct {
	key    strikeKey
	target string
}

// permit is an exclusive right to run a suspect.
type permit struct {
	holder instance.ID
	number uint64
	until  time.Duration
}

// add counts a strike once, and reports whether it is new. More than the limit
// needn't be kept.
func (r *record) add(now time.Duration, c counted, left time.Duration) bool {
	if now >= r.until {
		r.strikes = nil
		r.cleared = false
	}
	for _, old := range r.strikes {
		if old.key == c.key {
			return false
		}
	}
	if len(r.strikes) >= limit {
		return false
	}
	r.strikes = append(r.strikes, c)
	r.until = max(r.until, now+left)
	return true
}

// standing is the record's standing; strikes that have lapsed count for none.
func (r *record) standing(now time.Duration) Status {
	switch {
	case now >= r.until:
		return Free
	case len(r.strikes) >= limit:
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
			Origin:      c.key.by,
			Number:      c.key.number,
			Target:      c.target,
			Remaining:   r.until - now,
			Cleared:     r.cleared,
		})
	}
	return list
}
