package lease

import "time"

// remembered is how many asks can be open at once; answers to earlier ones
// count as lost.
const remembered = 4

// Requests remembers when the newest asks to one lender were sent. The zero value
// is ready for use.
type Requests struct {
	numbers [remembered]uint64
	sent    [remembered]time.Duration
	next    int
	last    uint64
}

// RecordSent notes that an ask is sent now. Numbers grow, and are never used twice
// by one borrower.
func (a *Requests) RecordSent(number uint64, now time.Duration) {
	a.numbers[a.next] = number
	a.sent[a.next] = now
	a.next = (a.next + 1) % remembered
	a.last = number
}

// Last returns the number of the newest ask, zero if there was none.
func (a *Requests) Last() uint64 {
	return a.last
}

// SentAt returns when the ask with the number was sent. It is false for a number
// that wasn't sent, or is too old to be known.
func (a *Requests) SentAt(number uint64) (time.Duration, bool) {
	for i, n := range a.numbers {
		if n == number && number != 0 {
			return a.sent[i], true
		}
	}
	return 0, false
}
