package share

import (
	"time"

	"dandelionmux/pkg/lease"
)

// Option configures a State.
type Option func(*options)

type options struct {
	total            int
	term             time.Duration
	lendingTerm      time.Duration
	bytesPerSecond   int
	listLag          time.Duration
	minStoreInterval time.Duration
	drift            lease.Drift
	withinRegion     bool
}

const (
	defaultTerm             = 10 * time.Second
	defaultLendingTerm      = 800 * time.Millisecond
	defaultListLag          = 30 * time.Second
	defaultMinStoreInterval = 200 * time.Millisecond
	defaultBytesPerSecond   = 20_000
)

func defaults() options {
	return options{
		total:            DefaultTotal,
		term:             defaultTerm,
		lendingTerm:      defaultLendingTerm,
		bytesPerSecond:   defaultBytesPerSecond,
		listLag:          defaultListLag,
		minStoreInterval: defaultMinStoreInterval,
		drift:            lease.DefaultDrift,
	}
}

// Total sets the total number of shares, which is clamped to 1 to MaxTotal. The
// default is DefaultTotal. The number must be the same in the whole fleet.
func Total(shares int) Option {
	return func(o *options) { o.total = min(max(shares, 1), MaxTotal) }
}

// Term sets the term of platform leases, confirmations and the validity of
// fences, at least a second. The default is 10 seconds. The term must be the
// same in the whole fleet.
func Term(term time.Duration) Option {
	return func(o *options) { o.term = max(term, time.Second) }
}

// LendingTerm sets the term for which shards are lent, at least 100
// milliseconds. The default is 800 milliseconds. In a large fleet the term is
// longer, see BytesPerSecond. A lender whose shares are usable for less lends
// for that time.
func LendingTerm(term time.Duration) Option {
	return func(o *options) { o.lendingTerm = max(term, minLendingTerm) }
}

// BytesPerSecond sets the traffic, sent and received, that lease requests and
// responses may cause at one instance while nothing changes. The lending term
// grows with the fleet to stay below it. The default is 20,000.
func BytesPerSecond(bytes int) Option {
	return func(o *options) { o.bytesPerSecond = max(bytes, 1) }
}

// ListLag sets the stated lag of the instance list: a running instance has been
// on the list within that time, unless it started later. The default is 30
// seconds.
func ListLag(lag time.Duration) Option {
	return func(o *options) { o.listLag = lag }
}

// MinStoreInterval sets the shortest time between two store calls other than
// those for the platform lease. The default is 200 milliseconds.
func MinStoreInterval(interval time.Duration) Option {
	return func(o *options) { o.minStoreInterval = interval }
}

// Drift sets the bound on the drift between any two clocks. The default is
// lease.DefaultDrift.
func Drift(drift lease.Drift) Option {
	return func(o *options) { o.drift = drift }
}

// WithinRegion lends the shards of each share only to instances in the holder's
// region, and hands shares over only within the region.
func WithinRegion() Option {
	return func(o *options) { o.withinRegion = true }
}
