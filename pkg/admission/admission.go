// Package admission orders the requests that wait for a slot of a service.
package admission

import "time"

// Entry is a request that waits for a slot.
type Entry[T any] struct {
	ID           uint64
	Rank         int
	Organisation string
	// Deadline is when the response is due, on the clock of now.
	Deadline time.Duration
	// ServiceTime is the expected time at a target.
	ServiceTime time.Duration
	Value       T
}

// Capacity is the capacity of a service in the zone.
type Capacity struct {
	Slots       int
	ServiceTime time.Duration
}

// Verdict is the result of an offer: Waits or Refused.
type Verdict interface{ verdict() }

// Waits means that the request is queued.
type Waits struct{ Expected time.Duration }

// Refused means that the request can't be served within its time.
type Refused struct {
	Reason     string
	RetryAfter time.Duration
}

func (Waits) verdict()   {}
func (Refused) verdict() {}

// Option configures a Queue.
type Option func(*options)

type options struct{}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue[T any] struct{ entries []Entry[T] }

// New returns an empty queue.
func New[T any](...Option) *Queue[T] { return &Queue[T]{} }

// Arrived counts a request of the rank for the minimum share.
func (q *Queue[T]) Arrived(time.Duration, int) {}

// Served counts a request of the rank that got a slot without waiting.
func (q *Queue[T]) Served(time.Duration, int) {}

// Expect returns the expected wait of an entry.
func (q *Queue[T]) Expect(time.Duration, Entry[T], Capacity) time.Duration { return 0 }

// Offer queues an entry or refuses it.
func (q *Queue[T]) Offer(_ time.Duration, e Entry[T], _ Capacity) Verdict {
	q.entries = append(q.entries, e)
	return Waits{}
}

// Next dequeues the next entry to serve.
func (q *Queue[T]) Next(time.Duration) (Entry[T], bool) {
	if len(q.entries) == 0 {
		return Entry[T]{}, false
	}
	e := q.entries[0]
	q.entries = q.entries[1:]
	return e, true
}

// PutBack returns an entry to its place because no slot was suitable.
func (q *Queue[T]) PutBack(_ time.Duration, e Entry[T]) { q.entries = append([]Entry[T]{e}, q.entries...) }

// Expire removes and returns the entries that can no longer be served.
func (q *Queue[T]) Expire(time.Duration, Capacity) []Entry[T] { return nil }

// Remove removes an entry and reports whether it was queued.
func (q *Queue[T]) Remove(id uint64) bool {
	for i, e := range q.entries {
		if e.ID == id {
			q.entries = append(q.entries[:i:i], q.entries[i+1:]...)
			return true
		}
	}
	return false
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Waiting returns the number of entries by rank.
func (q *Queue[T]) Waiting() map[int]int {
	counts := map[int]int{}
	for _, e := range q.entries {
		counts[e.Rank]++
	}
	return counts
}

// Returns schedules the return of refused callers.
type Returns struct{}

// NewReturns returns an empty schedule.
func NewReturns() *Returns { return &Returns{} }

// Schedule returns after which time a refused caller may come back.
func (r *Returns) Schedule(_ time.Duration, _ int, left time.Duration, _ int, _ float64) time.Duration {
	return left / 3
}
