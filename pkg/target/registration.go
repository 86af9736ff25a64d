package target

import (
	"time"

	"dandelionmux/pkg/document"
)

// Registration is what a target says of itself where it registers on its own.
type Registration struct {
	Service string
	Target  document.Target
	// WarmupRemaining is how much longer the target is slow after its start.
	WarmupRemaining time.Duration
	// Incarnation is larger for each later run under the same name.
	Incarnation int64
	// Sequence grows with each registration of one run.
	Sequence int64
}

// Supersedes tells whether r is newer than the other registration under the
// same name. A registration that was delayed on its way doesn't bring a target
// back that has said since that it is leaving.
func (r Registration) Supersedes(other Registration) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence >= other.Sequence
}
