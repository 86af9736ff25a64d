package target

import (
	"math"
	"time"
)

const (
	// minFailureRate is the lowest failure rate that is expected of a healthy target.
	minFailureRate = 0.01
	// priorAttempts is the weight, in attempts, of the long-run failure rate relative to
	// the peers' attempts in a window.
	priorAttempts = 10
	// matchedPriorAttempts is this weight if the peers' attempts are matched to the
	// target's in time, which leaves few of them in each stratum.
	matchedPriorAttempts = 100
	// falseAlarmPeriod is the time in which at most one false alarm is expected for a
	// target.
	falseAlarmPeriod = 10_000 * time.Hour
	// maxOrganisationShare is the greatest part of the threshold that the failures of one
	// organisation's requests contribute beside those of others. On their own they must
	// score the threshold times singleOrganisationFactor.
	maxOrganisationShare     = 0.75
	singleOrganisationFactor = 2
	// minFailures is the least number of failures for which a score is computed.
	minFailures = 2
)

// alternatives are the fractions of successes that a failing target is assumed to turn
// into failures. Each gives a hypothesis to test against.
var alternatives = [...]float64{0.1, 0.25, 0.5, 0.9}

// failureThreshold returns the score at which a target is ejected for failures. rate
// is the target's attempts a second. The package comment explains the bound.
func failureThreshold(rate float64) float64 {
	evaluations := minFailureRate * max(rate, 1) * falseAlarmPeriod.Seconds()
	return math.Log(evaluations * float64(len(windows)*len(alternatives)))
}

// expectation holds the failure rates that are expected of a healthy target.
type expectation struct {
	// peers counts the peers' attempts in the window.
	peers map[Stratum]counts
	// prior returns the long-run failure rate of a stratum, and overall is the failure
	// rate over all strata in the window. The higher of both weighs as much as priorWeight
	// attempts.
	prior       func(Stratum) float64
	overall     float64
	priorWeight float64
}

// failureScore returns the score of a target's failures, by stratum, against its peers'
// in the same window, for the alternative that fits best. It is the greater of two sums
// over the organisations: one with each contribution capped at maxOrganisationShare of
// the threshold, and one without a cap but divided by singleOrganisationFactor.
func failureScore(own map[Stratum]counts, e expectation, threshold float64) float64 {
	best := 0.0
	for _, part := range alternatives {
		byOrganisation := map[uint32]float64{}
		for s, n := range own {
			byOrganisation[s.Organisation] += logLikelihoodRatio(n, e.rate(s), part)
		}
		capped, uncapped := 0.0, 0.0
		for _, score := range byOrganisation {
			capped += min(score, maxOrganisationShare*threshold)
			uncapped += score
		}
		best = max(best, capped, uncapped/singleOrganisationFactor)
	}
	return best
}

// rate returns the expected failure rate of a healthy target in a stratum.
func (e expectation) rate(s Stratum) float64 {
	n := e.peers[s]
	prior := max(e.prior(s), e.overall)
	rate := (n.failures + e.priorWeight*prior) / (n.attempts + e.priorWeight)
	return min(max(rate, minFailureRate), 0.99)
}

// overallRate returns the peers' failure rate over all strata. It shows a service that
// fails as a whole even where each stratum has few requests.
func overallRate(peers map[Stratum]counts) float64 {
	sum := sumCounts(peers)
	return sum.failures / max(sum.attempts, 1)
}

// lowOverallRate returns the overall rate less one standard deviation of the number of
// failures, so that a single failure of a peer doesn't excuse one of the target.
func lowOverallRate(peers map[Stratum]counts) float64 {
	sum := sumCounts(peers)
	return (sum.failures - math.Sqrt(sum.failures)) / max(sum.attempts, 1)
}

// sumCounts returns the sum over all strata.
func sumCounts(m map[Stratum]counts) counts {
	var sum counts
	for _, n := range m {
		sum.attempts += n.attempts
		sum.failures += n.failures
	}
	return sum
}

// logLikelihoodRatio returns the log-likelihood ratio of the counts, between a failure
// rate raised by the given part of the successes and the expected failure rate.
func logLikelihoodRatio(n counts, expected, part float64) float64 {
	raised := expected + part*(1-expected)
	return n.failures*math.Log(raised/expected) +
		(n.attempts-n.failures)*math.Log((1-raised)/(1-expected))
}

const (
	// toleratedBuckets is how many buckets a target may be slower than its peers before it
	// counts against it: a factor of 2^(2/4), or 1.4.
	toleratedBuckets = 2
	// minSlowDifference is the least difference, in buckets, between the mean of a slow
	// target and that of its peers: a factor of 2^(3/4), or 1.7.
	minSlowDifference = 3
	// priorLatencies is the weight, in latencies, of the long-run distribution relative to
	// the peers' latencies in a window.
	priorLatencies = 4
	// minPeerLatencies and minLatencies are the least numbers of latencies of the peers and
	// of the target that a window must hold.
	minPeerLatencies = 30
	minLatencies     = 3
	// minExponent and maxExponent bound the result of exponent, and with it the effect of
	// the tolerance on the threshold. Only the fraction exponentMargin of it is used, to
	// allow for errors of the estimated distribution.
	minExponent    = 0.5
	maxExponent    = 2.2
	exponentMargin = 0.9
)

// classEdges are the quantiles of the peers' latencies that separate the latency
// classes. classScores is what one latency of each class adds to the score: the
// logarithm of how much likelier that class is at a target twice as slow as
// tolerated than at a healthy one.
var (
	classEdges  = [...]float64{0.5, 0.75, 0.9, 0.97}
	classScores = [...]float64{-1.39, -0.27, 0.45, 1.13, 2.05}
)

// latencyThreshold returns the score at which a target is ejected as slow. rate is the
// target's attempts a second. The score of a healthy target reaches h with a
// probability of at most exp(-h·exponent).
func latencyThreshold(rate, exponent float64) float64 {
	evaluations := max(rate, 1) * falseAlarmPeriod.Seconds()
	return math.Log(evaluations*float64(len(windows))) / (exponentMargin * exponent)
}

// exponent returns the positive root w of E[exp(w·score)] = 1, between minExponent and
// maxExponent, where score is that of one latency drawn from the service's own
// distribution. The narrower the distribution, the greater the exponent, since
// toleratedBuckets then covers more of it.
func exponent(longRun *Histogram) float64 {
	if longRun.Total == 0 {
		return minExponent
	}
	var parts [len(classScores)]float64
	quantile := newQuantiles(longRun, &Histogram{})
	for i, n := range longRun.Counts {
		parts[latencyClass(quantile.at(i-toleratedBuckets))] += float64(n) / float64(longRun.Total)
	}
	low, high := minExponent, maxExponent
	for high-low > 0.01 {
		middle := (low + high) / 2
		sum := 0.0
		for i, p := range parts {
			sum += p * math.Exp(middle*classScores[i])
		}
		if sum > 1 {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// latencyScore returns the score of a target's latencies against those of its peers in
// the same window and the long-run distribution, and the difference of their means in
// buckets. The score is zero if there are too few latencies or the difference is less
// than minSlowDifference.
func latencyScore(own, peers, longRun *Histogram) (score, difference float64) {
	if own.Total < minLatencies || peers.Total < minPeerLatencies {
		return 0, 0
	}
	difference = own.meanBucket() - peers.meanBucket()
	if difference < minSlowDifference {
		return 0, difference
	}
	quantile := newQuantiles(peers, longRun)
	for i, n := range own.Counts {
		if n > 0 {
			score += float64(n) * classScores[latencyClass(quantile.at(i-toleratedBuckets))]
		}
	}
	return score, difference
}

// latencyClass returns the class of a latency at the given quantile of the peers'
// latencies.
func latencyClass(quantile float64) int {
	for i, edge := range classEdges {
		if quantile < edge {
			return i
		}
	}
	return len(classEdges)
}

// quantiles holds, for each bucket, the fraction of a distribution below the bucket's
// middle.
type quantiles [BucketCount]float64

// newQuantiles returns the quantiles of the window's latencies mixed with the long-run
// ones.
func newQuantiles(window, longRun *Histogram) *quantiles {
	var q quantiles
	weight := 0.0
	if longRun.Total > 0 {
		weight = priorLatencies / float64(longRun.Total)
	}
	total := float64(window.Total) + weight*float64(longRun.Total)
	sum := 0.0
	for i := range q {
		n := float64(window.Counts[i]) + weight*float64(longRun.Counts[i])
		q[i] = (sum + n/2) / max(total, 1)
		sum += n
	}
	return &q
}

// at returns the quantile of a bucket; an index out of range is clamped.
func (q *quantiles) at(bucket int) float64 {
	return q[min(max(bucket, 0), BucketCount-1)]
}

// meanBucket returns the mean bucket index, which is a logarithm of the geometric mean
// of the latencies.
func (h *Histogram) meanBucket() float64 {
	sum := 0.0
	for i, n := range h.Counts {
		sum += float64(i) * float64(n)
	}
	return sum / float64(max(h.Total, 1))
}
