package claim

import "time"

// Option configures Claims. All instances of a fleet must use the same options.
type Option func(*options)

type options struct {
	totalShares   int
	copies        int
	zones         int
	maxRecords    int
	retention     time.Duration
	minMemberAge  time.Duration
	maxWait       time.Duration
	answerTimeout time.Duration
}

const (
	defaultTotalShares   = 64
	defaultCopies        = 2
	defaultZones         = 1
	defaultMaxRecords    = 50_000
	defaultRetention     = 15 * time.Minute
	defaultMinMemberAge  = 3 * time.Second
	defaultMaxWait       = time.Second
	defaultAnswerTimeout = 100 * time.Millisecond
)

func newOptions(list []Option) options {
	o := options{
		totalShares:   defaultTotalShares,
		copies:        defaultCopies,
		zones:         defaultZones,
		maxRecords:    defaultMaxRecords,
		retention:     defaultRetention,
		minMemberAge:  defaultMinMemberAge,
		maxWait:       defaultMaxWait,
		answerTimeout: defaultAnswerTimeout,
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

// Copies sets the number of instances, at least two, that store each claim
// before its request may run. Keyed requests are still decided about while
// fewer instances than that are lost within the retention. The default is 2.
func Copies(count int) Option {
	return func(o *options) { o.copies = max(count, 2) }
}

// Zones sets the number of zones over which the copies of a claim are spread.
// With two or more, any number of instances of one zone may be lost. The
// default is 1.
func Zones(count int) Option {
	return func(o *options) { o.zones = max(count, 1) }
}

// MaxRecords bounds the records that an instance stores. Beyond it, an
// authority refuses new requests. The default is 50,000.
func MaxRecords(records int) Option {
	return func(o *options) { o.maxRecords = records }
}

// Retention sets for how long a claim is stored at least. A key that is sent
// again after that counts as new. The default is 15 minutes.
func Retention(retention time.Duration) Option {
	return func(o *options) { o.retention = retention }
}

// MinMemberAge sets how long an instance must have been a member before it may
// store copies, so that all members would notice its loss. It should exceed the
// time in which all members learn of a new one from heartbeats. The default is
// 3 seconds.
func MinMemberAge(age time.Duration) Option {
	return func(o *options) { o.minMemberAge = age }
}

// MaxWait bounds how long a request waits for an authority. The default is one
// second.
func MaxWait(wait time.Duration) Option {
	return func(o *options) { o.maxWait = wait }
}
