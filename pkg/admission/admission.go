package admission

import "time"

// Entry is a request that waits for a slot.
type Entry[T any] struct {
	// ID identifies the request. The caller chooses it; it must be unique in the queue.
	ID uint64
	// Rank is the urgency; 0 is the most urgent.
	Rank         int
	Organisation string
	// Deadline is when the response is due, on the clock of now.
	Deadline time.Duration
	// ServiceTime is the expected time at a target; zero means that of the Capacity.
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
type Waits struct {
	// Expected is the time until the request is expected to get a slot.
	Expected time.Duration
}

// Refused means that the request is not queued.
type Refused struct {
	// Reason is ReasonNoCapacity, ReasonLate or ReasonFull.
	Reason     string
	RetryAfter time.Duration
}

// Values of Refused.Reason.
const (
	// ReasonNoCapacity means that the service has no slots at all.
	ReasonNoCapacity = "no-capacity"
	// ReasonLate means that the request can't be served within its time.
	ReasonLate = "late"
	// ReasonFull means that the queue has its maximum length and that nothing less
	// urgent waits.
	ReasonFull = "queue-full"
)

func (Waits) verdict()   {}
func (Refused) verdict() {}

// Option configures a Queue.
type Option func(*options)

type options struct {
	maxLength int
}

// defaultMaxLength bounds memory only: the time left of callers bounds the queue long
// before, unless a service has thousands of slots.
const defaultMaxLength = 10_000

// WithMaxLength sets how many entries may wait; the default is 10,000.
func WithMaxLength(n int) Option {
	return func(o *options) {
		o.maxLength = max(n, 1)
	}
}
