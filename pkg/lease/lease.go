package lease

import "time"

// Drift is an upper bound on the difference between the rates of any two
// clocks, in parts per million.
type Drift int64

// DefaultDrift is one per cent, far above the drift of working clocks.
const DefaultDrift Drift = 10_000

const partsPerMillion = 1_000_000

// Shorten returns the time for which a borrower may use a lease of the given
// term: the term less the drift, which is rounded up.
func (d Drift) Shorten(term time.Duration) time.Duration {
	quotient := term / partsPerMillion * time.Duration(d)
	remainder := (term%partsPerMillion*time.Duration(d) + partsPerMillion - 1) / partsPerMillion
	return term - quotient - remainder
}

// Borrowed is the borrower's view of a lease. The zero value has ended.
type Borrowed struct {
	// Until is the end of the lease, exclusive, on the borrower's monotonic
	// clock.
	Until time.Duration
}

// Borrow returns the borrower's view of a lease for a request that was sent at
// the given time and was granted the given term. sentAt is a reading of the
// borrower's monotonic clock.
func Borrow(sentAt, term time.Duration, drift Drift) Borrowed {
	return Borrowed{
		Until: sentAt + drift.Shorten(term),
	}
}

// Live reports whether the borrower may use the right at the given time.
func (b Borrowed) Live(now time.Duration) bool {
	return now < b.Until
}

// Extend returns the lease that ends later. Both must be for the same right.
func (b Borrowed) Extend(other Borrowed) Borrowed {
	return Borrowed{
		Until: max(b.Until, other.Until),
	}
}

// Lent is the lender's view of a lease. The zero value has ended.
type Lent struct {
	// Until is the end of the lease, on the lender's monotonic clock.
	Until time.Duration
}

// Lend returns the lender's view of a lease that is granted for the given term
// by a response at the given time. respondedAt is a reading of the lender's
// monotonic clock.
func Lend(respondedAt, term time.Duration) Lent {
	return Lent{
		Until: respondedAt + term,
	}
}

// Ended reports whether the right may be lent to another borrower.
func (l Lent) Ended(now time.Duration) bool {
	return now >= l.Until
}

// Extend returns the lease that ends later. Both must be for the same right and
// the same borrower.
func (l Lent) Extend(other Lent) Lent {
	return Lent{
		Until: max(l.Until, other.Until),
	}
}
