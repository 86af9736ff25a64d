package target

import (
	"time"

	"dandelionmux/pkg/instance"
)

// Verdict is the authority's decision on one target.
type Verdict struct {
	// Target is the target's name.
	Target string
	Action Action
	Reason Reason
	// Severity orders ejections. If the floor doesn't allow all of them, the targets with the
	// lowest severity stay in use.
	Severity float64
	// SampleFraction is the fraction of the service's repeatable requests to send to the
	// target as samples, from 0 to 1.
	SampleFraction float64
}

// Action is what instances do with the target of a verdict.
type Action uint8

// Values of Action.
const (
	// Eject takes the target out of use except for samples.
	Eject Action = iota + 1
	// Watch keeps the target in use, sends it samples, and keeps requests that may not be
	// repeated away from it.
	Watch
)

// Verdicts is the complete list of a service's verdicts at one time. A later list
// replaces an earlier one.
type Verdicts struct {
	Service string
	// Epoch increases with each new authority, and Number with each list of one authority.
	Epoch  uint64
	Number uint64
	// Authority is the instance that issued the list.
	Authority instance.ID
	// Term is how long the list is valid without renewal.
	Term time.Duration
	List []Verdict
}

// supersedes reports whether v replaces w. If two authorities share an epoch, the one
// with the greater instance ID takes precedence.
func (v Verdicts) supersedes(w Verdicts) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch > w.Epoch
	}
	if v.Authority != w.Authority {
		return v.Authority.Address > w.Authority.Address ||
			v.Authority.Address == w.Authority.Address && v.Authority.Incarnation > w.Authority.Incarnation
	}
	return v.Number > w.Number
}
