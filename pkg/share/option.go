package share

import (
	"time"

	"dandelionmux/pkg/lease"
)

// Option changes how a State is made.
type Option func(*options)

type options struct {
	total       int
	term        time.Duration
	lendingTerm time.Duration
	bytesPerSec int
	listLag     time.Duration
	storeGap    time.Duration
	drift       lease.Drift
	region      bool
}

const (
	defaultTerm        = 10 * time.Second
	defaultLendingTerm = 800 * time.Millisecond
	defaultListLag     = 30 * time.Second
	defaultStoreGap    = 200 * time.Millisecond
	defaultBytesPerSec = 20_000
)

func defaults() options {
	return options{
		total:       DefaultTotal,
		term:        defaultTerm,
		lendingTerm: defaultLendingTerm,
		bytesPerSec: defaultBytesPerSec,
		listLag:     defaultListLag,
		storeGap:    defaultStoreGap,
		drift:       lease.DefaultDrift,
	}
}

// Total sets the number of shares, from 1 to MaxTotal. It must be the same in
// the whole fleet.
func Total(shares int) Option {
	return func(o *options) { o.total = min(max(shares, 1), MaxTotal) }
}

// Term sets the term of platform leases, of vouches and of promises, at least a
// second. It must be the same in the whole fleet.
func Term(term time.Duration) Option {
	return func(o *options) { o.term = max(term, time.Second) }
}

// LendingTerm sets the shortest term for which shards are lent. A large fleet
// lends for longer, see BytesPerSecond.
func LendingTerm(term time.Duration) Option {
	return func(o *options) { o.lendingTerm = max(term, minLendingTerm) }
}

// BytesPerSecond sets the traffic, sent and received, that asks and answers may
// cause on one instance in the calm. The lending term grows with the fleet to
// keep to it.
func BytesPerSecond(bytes int) Option {
	return func(o *options) { o.bytesPerSec = max(bytes, 1) }
}

// ListLag sets the instance list's stated lag: an instance that runs has been
// on the list within that time, unless it is younger.
func ListLag(lag time.Duration) Option {
	return func(o *options) { o.listLag = lag }
}

// MinStoreInterval sets the shortest time between two store calls other than renewals.
func MinStoreInterval(gap time.Duration) Option {
	return func(o *options) { o.storeGap = gap }
}

// Drift sets the bound on the drift between any two clocks.
func Drift(drift lease.Drift) Option {
	return func(o *options) { o.drift = drift }
}

// WithinRegion keeps each share's shards with the instances of the holder's
// region.
func WithinRegion() Option {
	return func(o *options) { o.region = true }
}
