package lease_test

import (
	"fmt"
	"time"

	"dandelionmux/pkg/lease"
)

func Example() {
	var requests lease.Requests
	requests.RecordSent(1, 100*time.Millisecond)

	// The lender responds, at a time of its own clock, and lends for one second.
	lent := lease.Lend(7*time.Hour, time.Second)

	// The response may arrive at any time: the lease counts from the request.
	sent, _ := requests.SentAt(1)
	borrowed := lease.Borrow(sent, time.Second, lease.DefaultDrift)
	fmt.Println(borrowed.Until)
	fmt.Println(borrowed.Live(1090 * time.Millisecond))
	fmt.Println(lent.Ended(7*time.Hour + time.Second))
	// Output:
	// 1.09s
	// false
	// true
}
