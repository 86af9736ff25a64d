package target

import (
	"time"

	"dandelionmux/pkg/document"
)

// Registration is the description of a target that registers itself.
type Registration struct {
	Service string
	Target  document.Target
	// WarmupRemaining is how much longer the target is slow after its start.
	WarmupRemaining time.Duration
	// Incarnation is greater for each later run under the same name or at the same address.
	Incarnation int64
	// Sequence increases with each registration of one run.
	Sequence int64
}

// Supersedes reports whether r is at least as new as the other registration under the
// same name. A delayed registration therefore can't bring back a target that has
// since announced that it is leaving.
func (r Registration) Supersedes(other Registration) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence >= other.Sequence
}
