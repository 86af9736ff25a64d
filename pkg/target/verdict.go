package target

import (
	"time"

	"dandelionmux/pkg/instance"
)

// Verdict is the authority's judgement of one target.
type Verdict struct {
	// Target is the target's name.
	Target string
	Action Action
	Reason Reason
	// Severity orders ejections: where the floor binds, the least severe
	// serve on.
	Severity float64
	// SampleFraction is the fraction of the service's repeatable requests to send to
	// the target for evidence.
	SampleFraction float64
}

// Action is what a verdict asks for.
type Action uint8

// Values of Action.
const (
	// Eject takes the target out of work, but for samples.
	Eject Action = iota + 1
	// Watch keeps the target at work and sends it samples, and no request that
	// may not be repeated.
	Watch
)

// Verdicts is the whole list of a service's verdicts at one time. A later list
// replaces an earlier one.
type Verdicts struct {
	Service string
	// Epoch grows with each authority, Number with each list of one.
	Epoch     uint64
	Number    uint64
	Authority instance.ID
	// Term is how long the list holds without renewal.
	Term time.Duration
	List []Verdict
}

// after reports whether v replaces w.
func (v Verdicts) after(w Verdicts) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch > w.Epoch
	}
	if v.Authority != w.Authority {
		return v.Authority.Address > w.Authority.Address ||
			v.Authority.Address == w.Authority.Address && v.Authority.Incarnation > w.Authority.Incarnation
	}
	return v.Number > w.Number
}
