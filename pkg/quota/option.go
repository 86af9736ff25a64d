package quota

import (
	"time"
)

// Option sets how a Coordinator or a Holder works. All instances of a fleet
// take the same options.
type Option func(*options)

type options struct {
	totalShares     int
	leaseDrift      int64
	rateDrift       int64
	maxGrantTerm    time.Duration
	onDemandTerm    time.Duration
	prefetchHorizon time.Duration
	maxQueueWait    time.Duration
	maxTakeoverWait time.Duration
	recoveryTime    time.Duration
	batchDelay      time.Duration
	answerTimeout   time.Duration
	maxQueueLength  int
}

const (
	million = 1_000_000

	defaultTotalShares     = 64
	defaultLeaseDrift      = 10_000
	defaultRateDrift       = 1_000
	defaultMaxGrantTerm    = 400 * time.Millisecond
	defaultOnDemandTerm    = 150 * time.Millisecond
	defaultPrefetchHorizon = 200 * time.Millisecond
	defaultMaxQueueWait    = 20 * time.Millisecond
	defaultMaxTakeoverWait = time.Second
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

// TotalShares sets the number of shares. The default is 64.
func TotalShares(shares int) Option {
	return func(o *options) { o.totalShares = max(shares, 1) }
}

// LeaseDrift bounds how far the rates of two clocks differ, in parts per
// million: grants are shortened by it. The default is 10,000.
func LeaseDrift(perMillion int64) Option {
	return func(o *options) { o.leaseDrift = perMillion }
}

// RateDrift bounds how much faster than true time a clock runs, in parts per
// million: buckets are filled more slowly by it. The default is 1,000.
func RateDrift(perMillion int64) Option {
	return func(o *options) { o.rateDrift = perMillion }
}

// MaxGrantTerm sets how long a grant lives at most. It should be below half the term of
// the delegations, or grants are cut short by them.
func MaxGrantTerm(term time.Duration) Option {
	return func(o *options) { o.maxGrantTerm = term }
}

// PrefetchHorizon sets for how much of the recent use a Holder asks in advance; zero
// for no advance. It should be at most half the Term.
func PrefetchHorizon(horizon time.Duration) Option {
	return func(o *options) { o.prefetchHorizon = horizon }
}

// MaxQueueWait sets how long a Coordinator lets an item wait for units that are
// about to be there. Zero refuses at once.
func MaxQueueWait(patience time.Duration) Option {
	return func(o *options) { o.maxQueueWait = patience }
}

// MaxTakeoverWait bounds how long a request waits for a coordinator to be found,
// and for the empty bucket of a new coordinator to fill.
func MaxTakeoverWait(wait time.Duration) Option {
	return func(o *options) { o.maxTakeoverWait = wait }
}

// BatchDelay sets how long a Holder collects asks for one message.
func BatchDelay(delay time.Duration) Option {
	return func(o *options) { o.batchDelay = delay }
}

// AnswerTimeout sets how long a Holder waits for an answer before it asks the next
// coordinator in rank.
func AnswerTimeout(wait time.Duration) Option {
	return func(o *options) { o.answerTimeout = wait }
}

// MaxQueueLength bounds the requests that wait in one Holder, and the items that
// wait in one Coordinator.
func MaxQueueLength(length int) Option {
	return func(o *options) { o.maxQueueLength = length }
}

// shorten makes a span counted on one clock end before the same span counted
// on another.
func (o *options) shorten(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 - float64(o.leaseDrift)/million))
}

// slow is the rate at which a bucket fills if this clock may run fast.
func (o *options) slowRate(perSecond float64) float64 {
	return perSecond * (1 - float64(o.rateDrift)/million)
}
