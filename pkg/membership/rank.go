package membership

import (
	"slices"

	"dandelionmux/pkg/instance"
)

// Regions returns the distinct regions of the members, sorted.
func Regions(members []instance.Info) []string {
	var regions []string
	for _, m := range members {
		if !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

// InRegion returns the members of one region, in their order.
func InRegion(members []instance.Info, region string) []instance.Info {
	var kept []instance.Info
	for _, m := range members {
		if m.Region == region {
			kept = append(kept, m)
		}
	}
	return kept
}

// ExcludeLeaving returns the members that aren't leaving, in their order. If
// all are leaving, it returns all, so that every role still has an instance.
func ExcludeLeaving(members []instance.Info) []instance.Info {
	var kept []instance.Info
	for _, m := range members {
		if !m.Leaving {
			kept = append(kept, m)
		}
	}
	if len(kept) == 0 {
		return members
	}
	return kept
}

// TopRanked returns the first count members for the key by rendezvous hashing.
// Members of different zones come first: a second member of a zone is only
// returned once each zone has one.
func TopRanked(key uint64, members []instance.Info, count int) []instance.Info {
	var taken, others []instance.Info
	zones := map[string]bool{}
	for _, m := range instance.Rank(key, members) {
		if zones[m.Zone] {
			others = append(others, m)
			continue
		}
		zones[m.Zone] = true
		taken = append(taken, m)
	}
	taken = append(taken, others...)
	return taken[:min(count, len(taken))]
}

// TopRankedPerRegion returns the result of TopRanked for each region, in the
// order of the sorted regions. Leaving members are excluded as by
// ExcludeLeaving.
func TopRankedPerRegion(key uint64, members []instance.Info, count int) []instance.Info {
	var taken []instance.Info
	for _, region := range Regions(members) {
		candidates := ExcludeLeaving(InRegion(members, region))
		taken = append(taken, TopRanked(key, candidates, count)...)
	}
	return taken
}
