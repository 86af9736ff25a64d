package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionmux/pkg/lease"
)

// TestLeaseEndsForBorrowerFirst draws clock rates that differ by up to the
// bound, and messages that are delayed for any time. In real time the lease
// must end for the borrower first, else a right could be lent to two borrowers.
func TestLeaseEndsForBorrowerFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drift := lease.Drift(rapid.Int64Range(0, 100_000).Draw(rt, "drift"))
		term := time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(rt, "term"))
		requestDelay := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "request delay"))
		responseDelay := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "response delay"))
		lenderDrift := rapid.Float64Range(0, float64(drift)/1e6).Draw(rt, "lender drift")
		// The borrower's clock shows real time, the lender's clock runs faster.
		borrowed := lease.Borrow(0, term, drift)
		lent := lease.Lend(0, term)
		end := requestDelay + time.Duration(float64(lent.Until)/(1+lenderDrift))
		if borrowed.Until > end {
			rt.Fatalf("borrowed until %v, lent until %v", borrowed.Until, end)
		}
		if arrived := requestDelay + responseDelay; borrowed.Live(arrived) && arrived >= end {
			rt.Fatalf("live at %v, ended at %v", arrived, end)
		}
	})
}

// If the time of a request that was never sent, or is no longer stored, were
// returned, a borrower would start a lease that no lender granted.
func TestRequestsReturnOnlyStoredRequests(t *testing.T) {
	is := is.New(t)
	var requests lease.Requests
	_, ok := requests.SentAt(0)
	is.True(!ok) // no request was sent
	for n := uint64(1); n <= 6; n++ {
		requests.RecordSent(10*n, time.Duration(n))
	}
	sent, ok := requests.SentAt(60)
	is.True(ok)
	is.Equal(sent, time.Duration(6))
	_, ok = requests.SentAt(10)
	is.True(!ok) // no longer stored
	_, ok = requests.SentAt(55)
	is.True(!ok) // never sent
	is.Equal(requests.Last(), uint64(60))
}

func BenchmarkBorrow(b *testing.B) {
	b.ReportAllocs()
	var requests lease.Requests
	live := 0
	for i := range b.N {
		now := time.Duration(i)
		requests.RecordSent(uint64(i+1), now)
		if sent, ok := requests.SentAt(uint64(i + 1)); ok && lease.Borrow(sent, time.Second, lease.DefaultDrift).Live(now) {
			live++
		}
	}
	if live != b.N {
		b.Fatal(live)
	}
}
