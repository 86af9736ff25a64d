package quarantine

import "time"

// Status says whether requests with a fingerprint may run.
type Status uint8

// Values of Status.
const (
	// Free means that requests run without a permit.
	Free Status = iota
	// Suspect means that requests run only with a permit.
	Suspect
	// Quarantined means that requests are refused.
	Quarantined
)

// Snapshot holds the fingerprints that are suspect or quarantined at one time;
// cleared ones are left out. It is immutable and safe for concurrent use; a nil
// Snapshot is empty.
type Snapshot struct {
	outlines map[Outline]struct{}
	entries  map[Fingerprint]entry
}

// entry is the status of a fingerprint and when it ends.
type entry struct {
	status Status
	until  time.Duration
}

// Empty reports whether no fingerprint is suspect or quarantined, so that no request
// need be digested.
func (s *Snapshot) Empty() bool {
	return s == nil || len(s.outlines) == 0
}

// HasOutline reports whether any fingerprint with the outline is suspect or
// quarantined, so that the request's body must be digested before it may run.
func (s *Snapshot) HasOutline(o Outline) bool {
	if s.Empty() {
		return false
	}
	_, ok := s.outlines[o]
	return ok
}

// Lookup returns the fingerprint's status and how long it lasts.
func (s *Snapshot) Lookup(now time.Duration, f Fingerprint) (Status, time.Duration) {
	if s == nil {
		return Free, 0
	}
	e, ok := s.entries[f]
	if !ok || now >= e.until {
		return Free, 0
	}
	return e.status, e.until - now
}

// Quarantined returns the quarantined fingerprints and how long each stays so.
func (s *Snapshot) Quarantined(now time.Duration) map[Fingerprint]time.Duration {
	if s == nil {
		return nil
	}
	list := map[Fingerprint]time.Duration{}
	for f, e := range s.entries {
		if e.status == Quarantined && now < e.until {
			list[f] = e.until - now
		}
	}
	return list
}
