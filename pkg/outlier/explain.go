package outlier

import (
	"slices"
	"time"

	"dandelionmux/pkg/document"
)

// Standing is what speaks for or against sending a request to a target.
type Standing int

// Standings, in the order in which they are looked at. The first three take a target out of the number
// of which a percentage is used; those up to Busy rule it out, and the following ones up to OnProbation do
// unless too few others are left.
const (
	Leaving Standing = iota
	Evacuated
	Foreign
	PassedOver
	Held
	Resting
	Busy
	EjectedLost
	Ejected
	Paused
	OnProbation
	Healthy
)

var standingNames = []string{
	Leaving:     "leaving",
	Evacuated:   "evacuated-zone",
	Foreign:     "other-zone",
	PassedOver:  "passed-over",
	Held:        "held",
	Resting:     "resting",
	Busy:        "busy",
	EjectedLost: "ejected-lost-requests",
	Ejected:     "ejected-errors",
	Paused:      "paused",
	OnProbation: "on-probation",
	Healthy:     "healthy",
}

// String returns the name that operators are told.
func (s Standing) String() string { return standingNames[s] }

// Candidate is a target as a request sees it.
type Candidate struct {
	document.Target
	Standing Standing
	// Usable is set if the request may be sent there: the target is healthy, or too few are.
	Usable bool
	Cold   bool
	InUse  int
}

// HasRoom reports whether a slot of the target is free.
func (c Candidate) HasRoom() bool { return c.InUse < c.Slots }

// Explain lists all targets in the order of their names, with the reason for or against sending the
// request there. It changes nothing.
func (t *Table) Explain(now time.Duration, r Request) []Candidate {
	usable := t.candidates(now, r)
	// A target that the request names has mostly been named for its state, which says more.
	unnamed := r
	unnamed.Avoid, unnamed.Unfit = nil, nil
	list := make([]Candidate, 0, len(t.order))
	for _, s := range t.order {
		standing := t.standing(now, unnamed, s)
		if standing == Healthy {
			standing = t.standing(now, r, s)
		}
		list = append(list, Candidate{
			Target:   s.Target,
			Standing: standing,
			Usable:   slices.Contains(usable, s),
			Cold:     t.isCold(now, s.Name),
			InUse:    s.inUse(now),
		})
	}
	return list
}

// standing classifies a target for a request.
func (t *Table) standing(now time.Duration, r Request, s *targetState) Standing {
	switch {
	case s.Leaving:
		return Leaving
	case t.isEvacuated(s.Zone):
		return Evacuated
	case t.isForeign(s, r):
		return Foreign
	case r.passesOver(s.Name):
		return PassedOver
	case now < s.heldUntil:
		return Held
	case now < s.restUntil:
		return Resting
	case r.Spare && spareSlotFactor*(s.inUse(now)+1) > s.Slots:
		return Busy
	case now < s.ejectedUntil && s.lostRequests:
		return EjectedLost
	case now < s.ejectedUntil:
		return Ejected
	case now < s.pausedUntil:
		return Paused
	case now < s.probationUntil:
		return OnProbation
	default:
		return Healthy
	}
}
