package quota

import "math"

// Limit bounds what an organisation may use over the whole fleet: at most Burst
// + PerSecond·t over any t seconds.
type Limit struct {
	// PerSecond is the rate in cost units a second, above zero.
	PerSecond float64
	// Burst is in cost units, at least one.
	Burst int
}

// Limits looks up limits. An implementation must not change after it was given
// to a Coordinator; a new configuration is a new value, see LimitsChanged.
type Limits interface {
	// Limit returns the limit of an organisation, and false if it has none.
	Limit(organisation string) (Limit, bool)
}

// LimitMap holds limits by organisation.
type LimitMap map[string]Limit

// Limit implements Limits.
func (m LimitMap) Limit(organisation string) (Limit, bool) {
	l, ok := m[organisation]
	return l, ok
}

// portion is the part of a limit that some of all shares stand for.
type portion struct {
	shares int
	total  int
	// tieBreaker says that the share that breaks a tie is among them.
	tieBreaker bool
}

// roundsUp reports whether the portion of a burst is rounded up. At most one
// holder rounds up: the one with more than half the shares, or the one with
// exactly half and the tie-breaking share. So for a whole burst B the sum over
// all holders is at most ceil(x) + floor(B-x) = B.
func (p portion) roundsUp() bool {
	return 2*p.shares > p.total || 2*p.shares == p.total && p.tieBreaker
}

// burst returns the portion of a burst, in whole units.
func (p portion) burst(burst int) int {
	part := burst * p.shares
	if p.roundsUp() {
		part += p.total - 1
	}
	return part / p.total
}

// rate returns the portion of a rate, in units a second.
func (p portion) rate(perSecond float64) float64 {
	return perSecond * float64(p.shares) / float64(p.total)
}

// valid reports whether the limit can be enforced.
func (l Limit) valid() bool {
	return l.Burst > 0 && l.PerSecond > 0 && !math.IsInf(l.PerSecond, 0)
}
