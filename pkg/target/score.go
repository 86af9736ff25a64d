package target

import (
	"math"
	"time"
)

const (
	// usualFailures is the least failure rate that the rule expects of a
	// healthy target.
	usualFailures = 0.01
	// priorAttempts is the weight, in attempts, of the long-run rate beside the
	// peers' in a window.
	priorAttempts = 10
	// matchedAttempts is the same where the peers are weighted to match the
	// target's requests in time, which leaves few of them in each stratum.
	matchedAttempts = 100
	// hours is the time over which the rule may raise one false alarm.
	hours = 10_000 * time.Hour
	// organisationShare is the part of the threshold that one organisation's
	// evidence may bring; alone it must reach aloneFactor thresholds.
	organisationShare = 0.75
	aloneFactor       = 2
	// leastFailures is the least number of failures that is looked at.
	leastFailures = 2
)

// alternatives are the parts of the good answers that a sick target turns into
// failures, as the rule supposes.
var alternatives = [...]float64{0.1, 0.25, 0.5, 0.9}

// failureThreshold is the score at which a target with the rate, in attempts a
// second, is ejected for failures. See the package's comment.
func failureThreshold(rate float64) float64 {
	looks := usualFailures * max(rate, 1) * hours.Seconds()
	return math.Log(looks * float64(len(windows)*len(alternatives)))
}

// expectation is what a healthy target's failure rates would be.
type expectation struct {
	// peers counts the peers' attempts in the window.
	peers map[Stratum]counts
	// prior gives the long-run failure rate of a stratum, common the rate over
	// all strata in the window. They count as many attempts as weight says.
	prior  func(Stratum) float64
	common float64
	weight float64
}

// failureScore compares the strata of one target with its peers in the same
// window. One organisation's evidence is capped by a part of the threshold,
// unless it alone is enough for several.
func failureScore(own map[Stratum]counts, e expectation, threshold float64) float64 {
	best := 0.0
	for _, part := range alternatives {
		byOrganisation := map[uint32]float64{}
		for s, n := range own {
			byOrganisation[s.Organisation] += evidence(n, e.rate(s), part)
		}
		capped, full := 0.0, 0.0
		for _, score := range byOrganisation {
			capped += min(score, organisationShare*threshold)
			full += score
		}
		best = max(best, capped, full/aloneFactor)
	}
	return best
}

// rate is the failure rate of a healthy target in a stratum.
func (e expectation) rate(s Stratum) float64 {
	n := e.peers[s]
	prior := max(e.prior(s), e.common)
	rate := (n.failures + e.weight*prior) / (n.attempts + e.weight)
	return min(max(rate, usualFailures), 0.99)
}

// commonRate is the peers' failure rate over all strata. It tells a service that
// fails as a whole, also where each stratum alone has few requests.
func commonRate(peers map[Stratum]counts) float64 {
	sum := total(peers)
	return sum.failures / max(sum.attempts, 1)
}

// cautiousRate is the same less a deviation, so that a single failure of a peer
// doesn't excuse one of the target's.
func cautiousRate(peers map[Stratum]counts) float64 {
	sum := total(peers)
	return (sum.failures - math.Sqrt(sum.failures)) / max(sum.attempts, 1)
}

func total(m map[Stratum]counts) counts {
	var sum counts
	for _, n := range m {
		sum.attempts += n.attempts
		sum.failures += n.failures
	}
	return sum
}

// evidence is the log-likelihood ratio of the counts, between a failure rate
// raised by part and the expected one.
func evidence(n counts, expected, part float64) float64 {
	raised := expected + part*(1-expected)
	return n.failures*math.Log(raised/expected) +
		(n.attempts-n.failures)*math.Log((1-raised)/(1-expected))
}

const (
	// tolerance is how many buckets a target may be slower than its peers
	// before it counts against it: 2^(2/4) or 1.4 times.
	tolerance = 2
	// slowDifference is the least difference of the mean buckets of a slow
	// target and its peers: 2^(3/4) or 1.7 times.
	slowDifference = 3
	// priorLatencies is the weight, in latencies, of the long run beside the
	// peers' in a window.
	priorLatencies = 4
	// leastPeerLatencies and leastLatencies are how many a window must have.
	leastPeerLatencies = 30
	leastLatencies     = 3
	// leastExponent and mostExponent bound what the tolerance may do to the
	// threshold, and exponentMargin allows for errors of the distribution.
	leastExponent  = 0.5
	mostExponent   = 2.2
	exponentMargin = 0.9
)

// ranks are the peers' quantiles that bound the classes of latency, and
// rankScores what one latency of each class adds to the score: the logarithm of
// how much likelier it is at a target twice as slow as the tolerance allows.
var (
	ranks      = [...]float64{0.5, 0.75, 0.9, 0.97}
	rankScores = [...]float64{-1.39, -0.27, 0.45, 1.13, 2.05}
)

// latencyThreshold is the score at which a target is ejected as slow. The score
// of a healthy target reaches h with a probability of at most
// exp(-h·exponent).
func latencyThreshold(rate, exponent float64) float64 {
	looks := max(rate, 1) * hours.Seconds()
	return math.Log(looks*float64(len(windows))) / (exponentMargin * exponent)
}

// exponent is the positive root w of E[exp(w·score)] = 1, where the score is that
// of one latency drawn from the service's own distribution. The narrower the
// distribution, the more the tolerance helps.
func exponent(long *Histogram) float64 {
	if long.Total == 0 {
		return leastExponent
	}
	var parts [len(rankScores)]float64
	rank := newRanking(long, &Histogram{})
	for i, n := range long.Counts {
		parts[class(rank.at(i-tolerance))] += float64(n) / float64(long.Total)
	}
	low, high := leastExponent, mostExponent
	for high-low > 0.01 {
		middle := (low + high) / 2
		sum := 0.0
		for i, p := range parts {
			sum += p * math.Exp(middle*rankScores[i])
		}
		if sum > 1 {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// latencyScore compares latencies of one target with those of its peers in the
// same window, and with the long run. It is zero where too few are known or the
// target isn't slow on the whole.
func latencyScore(own, peers, long *Histogram) (score, difference float64) {
	if own.Total < leastLatencies || peers.Total < leastPeerLatencies {
		return 0, 0
	}
	difference = own.mean() - peers.mean()
	if difference < slowDifference {
		return 0, difference
	}
	rank := newRanking(peers, long)
	for i, n := range own.Counts {
		if n > 0 {
			score += float64(n) * rankScores[class(rank.at(i-tolerance))]
		}
	}
	return score, difference
}

// class is the class of latency that a rank among the peers falls into.
func class(rank float64) int {
	for i, edge := range ranks {
		if rank < edge {
			return i
		}
	}
	return len(ranks)
}

// ranking tells the part of a distribution that lies below a bucket's middle.
type ranking [BucketCount]float64

// newRanking mixes the window's latencies with the long run's.
func newRanking(window, long *Histogram) *ranking {
	var r ranking
	weight := 0.0
	if long.Total > 0 {
		weight = priorLatencies / float64(long.Total)
	}
	total := float64(window.Total) + weight*float64(long.Total)
	sum := 0.0
	for i := range r {
		n := float64(window.Counts[i]) + weight*float64(long.Counts[i])
		r[i] = (sum + n/2) / max(total, 1)
		sum += n
	}
	return &r
}

func (r *ranking) at(bucket int) float64 {
	return r[min(max(bucket, 0), BucketCount-1)]
}

// mean is the mean bucket, a logarithm of the geometric mean.
func (d *Histogram) mean() float64 {
	sum := 0.0
	for i, n := range d.Counts {
		sum += float64(i) * float64(n)
	}
	return sum / float64(max(d.Total, 1))
}
