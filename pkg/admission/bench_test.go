package admission_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionmux/pkg/admission"
)

// benchmarkLength is the number of entries that wait at a service in the benchmarks.
const benchmarkLength = 5000

// filled returns a queue with entries of four ranks that are refilled by benchmarks.
func filled(organisations int) (*admission.Queue[int], func(now time.Duration, n int) admission.Entry[int], admission.Capacity) {
	capacity := admission.Capacity{Slots: 1000, ServiceTime: 100 * time.Millisecond}
	q := admission.New[int]()
	entry := func(now time.Duration, n int) admission.Entry[int] {
		return admission.Entry[int]{
			ID:           uint64(n),
			Rank:         n % 4,
			Organisation: fmt.Sprint("organisation-", n*7%organisations),
			Deadline:     now + time.Minute + time.Duration(n*7919%1000)*time.Millisecond,
		}
	}
	for n := range benchmarkLength {
		q.Arrived(start, n%4)
		q.Offer(start, entry(start, n), capacity)
	}
	return q, entry, capacity
}

// Guards against costs that grow with the number of waiting entries.
func BenchmarkOfferAndNext(b *testing.B) {
	for _, organisations := range []int{1, 50, 1000} {
		b.Run(fmt.Sprint(organisations, " organisations"), func(b *testing.B) {
			q, entry, capacity := filled(organisations)
			now := start
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += time.Millisecond
				e := entry(now, benchmarkLength+i)
				q.Arrived(now, e.Rank)
				q.Offer(now, e, capacity)
				q.Next(now)
			}
			if q.Len() < benchmarkLength-10 {
				b.Fatal("entries were refused: ", q.Len())
			}
		})
	}
}

// Nothing is refused here: each entry is looked at and stays.
func BenchmarkExpire(b *testing.B) {
	q, _, capacity := filled(50)
	for i := range b.N {
		// The capacity shrinks each second time, so that all entries are looked at.
		capacity.Slots = 500 + 500*(i%2)
		q.Expire(start, capacity)
	}
	if q.Len() != benchmarkLength {
		b.Fatal("entries were refused: ", q.Len())
	}
}

func BenchmarkSchedule(b *testing.B) {
	r := admission.NewReturns()
	now := start
	for i := range b.N {
		now += time.Millisecond
		r.Schedule(now, i%4, 20*time.Second, 100, 100)
	}
}
