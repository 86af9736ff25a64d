package quota

import "math"

// Limit bounds what an organisation may use over the whole fleet: over any time
// t at most Burst + PerSecond·t.
type Limit struct {
	// PerSecond is in cost units a second, above zero.
	PerSecond float64
	// Burst is in cost units, one at least.
	Burst int
}

// Limits looks up limits. Implementations never change; a new configuration is
// a new value, see LimitsChanged.
type Limits interface {
	// Limit returns an organisation's limit; false if it has none.
	Limit(organisation string) (Limit, bool)
}

// LimitMap holds limits by organisation.
type LimitMap map[string]Limit

// Limit implements Limits.
func (m LimitMap) Limit(organisation string) (Limit, bool) {
	l, ok := m[organisation]
	return l, ok
}

// portion is a part of a limit: some of all shares.
type portion struct {
	shares int
	total  int
	// deciding says that the share that breaks a tie is among them.
	deciding bool
}

// full tells whether the part is rounded up. At most one of all holders'
// parts is: the one above half, or the one of exactly half with the deciding
// share. So for a whole burst B the sum is at most ceil(x) + floor(B-x) = B.
func (p portion) roundsUp() bool {
	return 2*p.shares > p.total || 2*p.shares == p.total && p.deciding
}

// burst is the part of a burst, in whole units.
func (p portion) burst(burst int) int {
	part := burst * p.shares
	if p.roundsUp() {
		part += p.total - 1
	}
	return part / p.total
}

// rate is the part of a rate, in units a second.
func (p portion) rate(perSecond float64) float64 {
	return perSecond * float64(p.shares) / float64(p.total)
}

// usable tells whether the limit can be kept.
func (l Limit) valid() bool {
	return l.Burst > 0 && l.PerSecond > 0 && !math.IsInf(l.PerSecond, 0)
}
