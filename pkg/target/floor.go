package target

import (
	"cmp"
	"slices"
)

// Candidate is a target that may be taken out of use.
type Candidate struct {
	// Index is the target's index in the list given to SelectEjections.
	Index int
	// Severity orders the candidates: the highest is ejected first.
	Severity float64
}

// SelectEjections selects the candidates that may be taken out of use while the
// remaining capacity stays at or above the floor. It returns their indexes, the most
// severe first. The floor is a percentage of the slots of all targets that aren't
// leaving. The slots of a target count towards the remaining capacity by its weight.
func SelectEjections(targets []WeightedTarget, floor int, candidates []Candidate) []int {
	slots, remaining := 0, 0.0
	for _, t := range targets {
		if t.Target.Leaving {
			continue
		}
		slots += t.Target.Slots
		remaining += float64(t.Target.Slots) * t.Weight
	}
	required := float64(slots) * float64(floor) / 100
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(b.Severity, a.Severity),
			cmp.Compare(a.Index, b.Index),
		)
	})
	var selected []int
	for _, c := range sorted {
		t := targets[c.Index]
		if t.Target.Leaving || slices.Contains(selected, c.Index) {
			continue
		}
		after := remaining - float64(t.Target.Slots)*t.Weight
		if after < required {
			continue
		}
		remaining = after
		selected = append(selected, c.Index)
	}
	return selected
}
