package lease

import "time"

// maxOpenRequests is how many requests can be open at once. Responses to older
// requests count as lost.
const maxOpenRequests = 4

// Requests stores when the newest requests to one lender were sent. The zero
// value is ready to use.
type Requests struct {
	numbers [maxOpenRequests]uint64
	sentAt  [maxOpenRequests]time.Duration
	// next is the index that the next request is stored at.
	next int
	last uint64
}

// RecordSent records that the request with the given number is sent at the time
// now, which is a reading of the borrower's monotonic clock. A borrower must use
// increasing numbers, and each of them once.
func (r *Requests) RecordSent(number uint64, now time.Duration) {
	r.numbers[r.next] = number
	r.sentAt[r.next] = now
	r.next = (r.next + 1) % maxOpenRequests
	r.last = number
}

// Last returns the number of the newest request, or zero if none was sent.
func (r *Requests) Last() uint64 {
	return r.last
}

// SentAt returns when the request with the given number was sent. It returns
// false if no such request was sent, or if it is no longer stored.
func (r *Requests) SentAt(number uint64) (time.Duration, bool) {
	for i, n := range r.numbers {
		if n == number && number != 0 {
			return r.sentAt[i], true
		}
	}
	return 0, false
}
