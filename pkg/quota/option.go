package quota

import (
	"time"
)

// Option sets how a Coordinator or a Holder works. All instances of a fleet
// take the same options.
type Option func(*options)

type options struct {
	total        int
	leaseDrift   int64
	rateDrift    int64
	term         time.Duration
	shortTerm    time.Duration
	horizon      time.Duration
	patience     time.Duration
	takeoverWait time.Duration
	recovery     time.Duration
	batch        time.Duration
	answerWait   time.Duration
	queueLength  int
}

const (
	million = 1_000_000

	defaultTotal        = 64
	defaultLeaseDrift   = 10_000
	defaultRateDrift    = 1_000
	defaultTerm         = 400 * time.Millisecond
	defaultShortTerm    = 150 * time.Millisecond
	defaultHorizon      = 200 * time.Millisecond
	defaultPatience     = 20 * time.Millisecond
	defaultTakeoverWait = time.Second
	defaultRecovery     = 30 * time.Second
	defaultBatch        = 200 * time.Microsecond
	defaultAnswerWait   = 50 * time.Millisecond
	defaultQueueLength  = 4096
)

func newOptions(list []Option) options {
	o := options{
		total:        defaultTotal,
		leaseDrift:   defaultLeaseDrift,
		rateDrift:    defaultRateDrift,
		term:         defaultTerm,
		shortTerm:    defaultShortTerm,
		horizon:      defaultHorizon,
		patience:     defaultPatience,
		takeoverWait: defaultTakeoverWait,
		recovery:     defaultRecovery,
		batch:        defaultBatch,
		answerWait:   defaultAnswerWait,
		queueLength:  defaultQueueLength,
	}
	for _, set := range list {
		set(&o)
	}
	return o
}

// TotalShares sets the number of shares. The default is 64.
func TotalShares(shares int) Option {
	return func(o *options) { o.total = max(shares, 1) }
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
	return func(o *options) { o.term = term }
}

// PrefetchHorizon sets for how much of the recent use a Holder asks in advance; zero
// for no advance. It should be at most half the Term.
func PrefetchHorizon(horizon time.Duration) Option {
	return func(o *options) { o.horizon = horizon }
}

// MaxQueueWait sets how long a Coordinator lets an item wait for units that are
// about to be there. Zero refuses at once.
func MaxQueueWait(patience time.Duration) Option {
	return func(o *options) { o.patience = patience }
}

// MaxTakeoverWait bounds how long a request waits for a coordinator to be found,
// and for the empty bucket of a new coordinator to fill.
func MaxTakeoverWait(wait time.Duration) Option {
	return func(o *options) { o.takeoverWait = wait }
}

// BatchDelay sets how long a Holder collects asks for one message.
func BatchDelay(delay time.Duration) Option {
	return func(o *options) { o.batch = delay }
}

// AnswerTimeout sets how long a Holder waits for an answer before it asks the next
// coordinator in rank.
func AnswerTimeout(wait time.Duration) Option {
	return func(o *options) { o.answerWait = wait }
}

// MaxQueueLength bounds the requests that wait in one Holder, and the items that
// wait in one Coordinator.
func MaxQueueLength(length int) Option {
	return func(o *options) { o.queueLength = length }
}

// shorten makes a span counted on one clock end before the same span counted
// on another.
func (o *options) shorten(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 - float64(o.leaseDrift)/million))
}

// slow is the rate at which a bucket fills if this clock may run fast.
func (o *options) slow(perSecond float64) float64 {
	return perSecond * (1 - float64(o.rateDrift)/million)
}
