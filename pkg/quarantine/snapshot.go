package quarantine

import "time"

// Status is what an instance knows of a fingerprint.
type Status uint8

// Values of Standing.
const (
	// Free requests run without asking.
	Free Status = iota
	// Suspect requests run only with a permit.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// Snapshot is the strikes known at one time. It is immutable and safe for
// concurrent use; nil knows none.
type Snapshot struct {
	outlines map[Outline]struct{}
	entries  map[Fingerprint]standing
}

type standing struct {
	standing Status
	until    time.Duration
}

// Empty reports whether no fingerprint has strikes, so that nothing need be
// digested.
func (s *Snapshot) Empty() bool {
	return s == nil || len(s.outlines) == 0
}

// HasOutline reports whether any fingerprint with the outline has strikes, so
// that the request's body must be digested before it may run.
func (s *Snapshot) HasOutline(o Outline) bool {
	if s.Empty() {
		return false
	}
	_, ok := s.outlines[o]
	return ok
}

// Lookup returns the fingerprint's standing and how long it lasts.
func (s *Snapshot) Lookup(now time.Duration, f Fingerprint) (Status, time.Duration) {
	if s == nil {
		return Free, 0
	}
	e, ok := s.entries[f]
	if !ok || now >= e.until {
		return Free, 0
	}
	return e.standing, e.until - now
}

// Quarantined lists the fingerprints that are refused, with how long still.
func (s *Snapshot) Quarantined(now time.Duration) map[Fingerprint]time.Duration {
	if s == nil {
		return nil
	}
	list := map[Fingerprint]time.Duration{}
	for f, e := range s.entries {
		if e.standing == Quarantined && now < e.until {
			list[f] = e.until - now
		}
	}
	return list
}
