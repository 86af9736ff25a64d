package claim

import "time"

// Option sets how Claims work. All instances of a fleet take the same options.
type Option func(*options)

type options struct {
	total      int
	copies     int
	zones      int
	limit      int
	retention  time.Duration
	settled    time.Duration
	wait       time.Duration
	answerWait time.Duration
}

const (
	defaultTotal      = 64
	defaultCopies     = 2
	defaultZones      = 1
	defaultLimit      = 50_000
	defaultRetention  = 15 * time.Minute
	defaultSettled    = 3 * time.Second
	defaultWait       = time.Second
	defaultAnswerWait = 100 * time.Millisecond
)

func newOptions(list []Option) options {
	o := options{
		total:      defaultTotal,
		copies:     defaultCopies,
		zones:      defaultZones,
		limit:      defaultLimit,
		retention:  defaultRetention,
		settled:    defaultSettled,
		wait:       defaultWait,
		answerWait: defaultAnswerWait,
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

// Copies sets on how many instances each claim is kept before its request may
// run, two at least. Fewer than so many may be lost within the retention
// without keyed requests being refused.
func Copies(count int) Option {
	return func(o *options) { o.copies = max(count, 2) }
}

// Zones sets over how many zones the copies of a claim spread. With two or
// more, any number of instances of one zone may be lost.
func Zones(count int) Option {
	return func(o *options) { o.zones = max(count, 1) }
}

// MaxRecords bounds the records that an instance keeps. New requests are refused
// beyond.
func MaxRecords(records int) Option {
	return func(o *options) { o.limit = records }
}

// Retention sets for how long a claim is kept at least. A key that is sent
// again later counts as new. The default is 15 minutes.
func Retention(retention time.Duration) Option {
	return func(o *options) { o.retention = retention }
}

// MinMemberAge sets how long an instance must have been a member before claims rely
// on it, so that its loss would be noticed by all. It should be above the time
// in which heartbeats spread a member.
func MinMemberAge(age time.Duration) Option {
	return func(o *options) { o.settled = age }
}

// MaxWait bounds how long a request waits for an authority.
func MaxWait(wait time.Duration) Option {
	return func(o *options) { o.wait = wait }
}
