package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionmux/pkg/lease"
)

// TestBorrowerEndsFirst draws clocks that differ by up to the bound, and
// messages that take any time: in real time the borrower's end comes first.
func TestBorrowerEndsFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drift := lease.Drift(rapid.Int64Range(0, 100_000).Draw(rt, "drift"))
		term := time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(rt, "term"))
		there := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "there"))
		back := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "back"))
		fast := rapid.Float64Range(0, float64(drift)/1e6).Draw(rt, "fast")
		// The borrower's clock is the reference, the lender's runs fast.
		borrowed := lease.Borrow(0, term, drift)
		lent := lease.Lend(0, term)
		end := there + time.Duration(float64(lent.Until)/(1+fast))
		if borrowed.Until > end {
			rt.Fatalf("borrowed until %v, lent until %v", borrowed.Until, end)
		}
		if arrived := there + back; borrowed.Live(arrived) && arrived >= end {
			rt.Fatalf("live at %v, ended at %v", arrived, end)
		}
	})
}

func TestAsksKnowOnlyWhatWasSent(t *testing.T) {
	is := is.New(t)
	var asks lease.Requests
	_, ok := asks.SentAt(0)
	is.True(!ok) // nothing was sent
	for n := uint64(1); n <= 6; n++ {
		asks.RecordSent(10*n, time.Duration(n))
	}
	sent, ok := asks.SentAt(60)
	is.True(ok)
	is.Equal(sent, time.Duration(6))
	_, ok = asks.SentAt(10)
	is.True(!ok) // too old
	_, ok = asks.SentAt(55)
	is.True(!ok) // never sent
	is.Equal(asks.Last(), uint64(60))
}

func BenchmarkBorrow(b *testing.B) {
	b.ReportAllocs()
	var asks lease.Requests
	live := 0
	for i := range b.N {
		now := time.Duration(i)
		asks.RecordSent(uint64(i+1), now)
		if sent, ok := asks.SentAt(uint64(i + 1)); ok && lease.Borrow(sent, time.Second, lease.DefaultDrift).Live(now) {
			live++
		}
	}
	if live != b.N {
		b.Fatal(live)
	}
}
