package membership

import (
	"math"
	"time"
)

const (
	// maxFlapPenalty is the maximum of the penalty. A penalty p multiplies the
	// timeouts of a run by 1+p.
	maxFlapPenalty = 7
	// flapPenaltyHalfLife is the time in which the penalty decays to half its
	// value.
	flapPenaltyHalfLife = 30 * time.Second
)

// flapPenalty grows with each refutation of a run and decays exponentially. It
// extends the run's timeouts: a slow instance refutes one suspicion after
// another, and would otherwise flap between dead and alive whenever a
// refutation came late.
type flapPenalty struct {
	value     float64
	updatedAt time.Duration
}

// increase adds one refutation.
func (p *flapPenalty) increase(now time.Duration) {
	p.value = min(p.current(now)+1, maxFlapPenalty)
	p.updatedAt = now
}

// current returns the decayed value at the time now.
func (p *flapPenalty) current(now time.Duration) float64 {
	halfLives := float64(now-p.updatedAt) / float64(flapPenaltyHalfLife)
	return p.value * math.Exp2(-halfLives)
}

// extend returns the duration d, multiplied by one plus the penalty.
func (p *flapPenalty) extend(now, d time.Duration) time.Duration {
	return d + time.Duration(p.current(now)*float64(d))
}
