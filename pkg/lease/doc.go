// Package lease implements leases between two processes, a lender and a
// borrower, that are safe with drifting clocks and delayed messages.
//
// The borrower sends a request, and counts the lease from the time at which it
// sent the request, on its own monotonic clock, shortened by the bound on clock
// drift. The lender counts the full term from the time at which it responded.
// Since a message may be delayed for any time, a lease that is counted from the
// arrival of the response, or that the lender grants without a request, is
// unsafe. With this rule the lease ends for the borrower before it ends for the
// lender, whatever the network does, so the lender may lend the same right to
// another borrower once its own count has ended.
//
// A response repeats the number of its request; Requests stores when each
// request was sent.
//
// # Usage
//
//	requests.RecordSent(number, now)
//	// The response to the request with this number arrives with a term:
//	if sent, ok := requests.SentAt(number); ok {
//		borrowed = lease.Borrow(sent, term, drift)
//	}
//	if borrowed.Live(now) {
//		// The right may be used.
//	}
//
// The lender stores Lend(now, term) and lends the right to no other borrower
// before that lease has Ended.
package lease
