package quota

import (
	"time"
)

// Option configures a Coordinator or a Holder. All instances of a fleet must
// use the same options.
type Option func(*options)

type options struct {
	totalShares  int
	leaseDrift   int64
	rateDrift    int64
	maxGrantTerm time.Duration
	// onDemandTerm is the longest term of a grant without prefetched units.
	onDemandTerm    time.Duration
	prefetchHorizon time.Duration
	maxQueueWait    time.Duration
	maxTakeoverWait time.Duration
	// recoveryTime is how long after borrowing shares a bucket may be low for
	// that reason.
	recoveryTime   time.Duration
	batchDelay     time.Duration
	answerTimeout  time.Duration
	maxQueueLength int
}

const (
	partsPerMillion = 1_000_000

	defaultTotalShares     = 64
	defaultLeaseDrift      = 10_000
	defaultRateDrift       = 1_000
	defaultMaxGrantTerm    = 400 * time.Millisecond
	defaultOnDemandTerm    = 150 * time.Millisecond
	defaultPrefetchHorizon = 200 * time.Millisecond
	defaultMaxQueueWait    = 20 * time.Millisecond
	defaultMaxTakeoverWait = 2 * time.Second
	defaultRecoveryTime    = 30 * time.Second
	defaultBatchDelay      = 200 * time.Microsecond
	defaultAnswerTimeout   = 50 * time.Millisecond
	defaultMaxQueueLength  = 4096
)

func newOptions(list []Option) options {
	o := options{
		totalShares:     defaultTotalShares,
		leaseDrift:      defaultLeaseDrift,
		rateDrift:       defaultRateDrift,
		maxGrantTerm:    defaultMaxGrantTerm,
		onDemandTerm:    defaultOnDemandTerm,
		prefetchHorizon: defaultPrefetchHorizon,
		maxQueueWait:    defaultMaxQueueWait,
		maxTakeoverWait: defaultMaxTakeoverWait,
		recoveryTime:    defaultRecoveryTime,
		batchDelay:      defaultBatchDelay,
		answerTimeout:   defaultAnswerTimeout,
		maxQueueLength:  defaultMaxQueueLength,
	}
	for _, set := range list {
		set(&o)
	}
	return o
}

// TotalShares sets the number of shares that package share lends. The default
// is 64.
func TotalShares(shares int) Option {
	return func(o *options) { o.totalShares = max(shares, 1) }
}

// LeaseDrift bounds the difference between the rates of two clocks, in parts
// per million. Grants are shortened by it. The default is 10,000.
func LeaseDrift(perMillion int64) Option {
	return func(o *options) { o.leaseDrift = perMillion }
}

// RateDrift bounds how much faster than true time a clock runs, in parts per
// million. Buckets are filled more slowly by it. The default is 1,000.
func RateDrift(perMillion int64) Option {
	return func(o *options) { o.rateDrift = perMillion }
}

// MaxGrantTerm sets the longest term of a grant. It should be below half the
// term for which shares are lent, or the ends of those loans cut grants short.
// The default is 400 ms.
func MaxGrantTerm(term time.Duration) Option {
	return func(o *options) { o.maxGrantTerm = term }
}

// PrefetchHorizon sets for how much time of recent usage a Holder prefetches
// units; zero disables it. It should be at most half of MaxGrantTerm. The
// default is 200 ms.
func PrefetchHorizon(horizon time.Duration) Option {
	return func(o *options) { o.prefetchHorizon = horizon }
}

// MaxQueueWait sets how long a Coordinator queues an item whose units will be
// available soon. Zero refuses it at once. The default is 20 ms.
func MaxQueueWait(wait time.Duration) Option {
	return func(o *options) { o.maxQueueWait = wait }
}

// MaxTakeoverWait bounds how long a request waits for a coordinator to be
// found, and for the empty bucket of a new coordinator to fill. The default is
// two seconds: a refusal within the rate costs a caller more than such a wait.
func MaxTakeoverWait(wait time.Duration) Option {
	return func(o *options) { o.maxTakeoverWait = wait }
}

// BatchDelay sets how long a Holder collects items and reports for one message.
// The default is 200 µs.
func BatchDelay(delay time.Duration) Option {
	return func(o *options) { o.batchDelay = delay }
}

// AnswerTimeout sets how long a Holder waits for an answer before it asks the
// next coordinator in rank. The default is 50 ms.
func AnswerTimeout(wait time.Duration) Option {
	return func(o *options) { o.answerTimeout = wait }
}

// MaxQueueLength bounds the requests that wait in one Holder, and the items
// that wait in one Coordinator. The default is 4096.
func MaxQueueLength(length int) Option {
	return func(o *options) { o.maxQueueLength = length }
}

// shorten returns the span reduced by the lease drift, so that on this clock it
// ends before the full span does on any other.
func (o *options) shorten(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 - float64(o.leaseDrift)/partsPerMillion))
}

// slowRate returns the rate reduced by the rate drift, as this clock may run
// fast.
func (o *options) slowRate(perSecond float64) float64 {
	return perSecond * (1 - float64(o.rateDrift)/partsPerMillion)
}
