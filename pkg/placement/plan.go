package placement

import "math"

// reservedDeviations is the number of standard deviations, of the connections that
// rendezvous hashing happens to give to one target, that Plan reserves below the
// target's connection limit.
const reservedDeviations = 5

// preferredMinSubset is the subset size up to which Plan opens one connection to each
// target, and above which it opens two, if an instance can't connect to all targets.
// Three targets leave two to choose from and one spare.
const preferredMinSubset = 3

// Plan divides the connections that one target accepts among the instances. It
// returns the number of a service's targets that each instance connects to, and
// the number of connections that the instance opens to each of them. Both are at
// least 1. The parameter slots is the number of requests that one target runs at
// a time.
//
// The mean number of connections plus five standard deviations stays within
// connections. That isn't possible where even one target for each instance is too
// many; Fits reports this.
func Plan(instances, targets, connections, slots int) (subset, perTarget int) {
	if fitsSubset(instances, targets, targets, 1, connections) {
		perTarget = max(1, min(slots, connections/max(1, instances)))
		return max(1, targets), perTarget
	}
	for subset = targets - 1; subset > preferredMinSubset; subset-- {
		if fitsSubset(instances, targets, subset, 2, connections) {
			return subset, 2
		}
	}
	for subset = min(preferredMinSubset, targets); subset > 1; subset-- {
		if fitsSubset(instances, targets, subset, 1, connections) {
			return subset, 1
		}
	}
	return 1, 1
}

// Fits reports whether the result of Plan stays within the number of connections that
// each target accepts.
func Fits(instances, targets, connections, slots int) bool {
	subset, perTarget := Plan(instances, targets, connections, slots)
	return fitsSubset(instances, targets, subset, perTarget, connections)
}

// fitsSubset reports whether the bound of Plan holds for the given subset size. If
// the subset contains all targets, the number of connections has no deviation.
func fitsSubset(instances, targets, subset, perTarget, connections int) bool {
	if targets == 0 {
		return true
	}
	fraction := float64(subset) / float64(targets)
	mean := float64(instances) * fraction
	deviation := math.Sqrt(mean * (1 - fraction))
	return (mean+reservedDeviations*deviation)*float64(perTarget) <= float64(connections)
}
