package target

import (
	"cmp"
	"slices"
)

// Candidate is a target that may be taken out of work.
type Candidate struct {
	// Index is the target's place in the list given to Keep.
	Index int
	// Severity orders the candidates.
	Severity float64
}

// SelectEjections decides which candidates may be out of work under the floor, and returns
// their indexes, worst first. The floor is in percent of the slots of all targets
// that are not leaving; what is left counts by its weight.
func SelectEjections(targets []WeightedTarget, floor int, candidates []Candidate) []int {
	slots, left := 0, 0.0
	for _, t := range targets {
		if t.Target.Leaving {
			continue
		}
		slots += t.Target.Slots
		left += float64(t.Target.Slots) * t.Weight
	}
	need := float64(slots) * float64(floor) / 100
	worst := slices.Clone(candidates)
	slices.SortFunc(worst, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(b.Severity, a.Severity),
			cmp.Compare(a.Index, b.Index),
		)
	})
	var out []int
	for _, c := range worst {
		t := targets[c.Index]
		if t.Target.Leaving || slices.Contains(out, c.Index) {
			continue
		}
		after := left - float64(t.Target.Slots)*t.Weight
		if after < need {
			continue
		}
		left = after
		out = append(out, c.Index)
	}
	return out
}
