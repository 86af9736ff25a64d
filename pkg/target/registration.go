package target

import (
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
)

// Bounds of a Registration. Registrations beyond them come from another program.
const (
	// maxNameBytes bounds the names of a target, of its service and of its zone.
	maxNameBytes = 200
	maxSlots     = 1 << 20
	maxWarmup    = 24 * time.Hour
	// maxIncarnation is a time in the 23rd century, in Unix milliseconds. A later one would
	// hide all runs to come.
	maxIncarnation = 1e13
)

// ErrInvalid is the error of a registration that can't be that of a target.
var ErrInvalid = errors.New("not the registration of a target")

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

// Validate returns an error that wraps ErrInvalid unless r may be the registration of a target.
func (r Registration) Validate() error {
	t := r.Target
	switch {
	case r.Service == "" || len(r.Service) > maxNameBytes:
		return errors.Wrapf(ErrInvalid, "service of %d bytes", len(r.Service))
	case t.Name == "" || len(t.Name) > maxNameBytes:
		return errors.Wrapf(ErrInvalid, "name of %d bytes", len(t.Name))
	case len(t.Zone) > maxNameBytes:
		return errors.Wrapf(ErrInvalid, "zone of %d bytes", len(t.Zone))
	case !instance.Address(t.Address).IsValid():
		return errors.Wrapf(ErrInvalid, "address %.60q", t.Address)
	case t.Slots < 1 || t.Slots > maxSlots:
		return errors.Wrapf(ErrInvalid, "%d slots", t.Slots)
	case r.WarmupRemaining > maxWarmup:
		return errors.Wrapf(ErrInvalid, "warm-up of %s", r.WarmupRemaining)
	case r.Incarnation < 0 || r.Incarnation > maxIncarnation:
		return errors.Wrapf(ErrInvalid, "incarnation %d", r.Incarnation)
	}
	return nil
}
