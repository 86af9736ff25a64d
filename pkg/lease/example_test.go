package lease_test

import (
	"fmt"
	"time"

	"dandelionmux/pkg/lease"
)

func Example() {
	var asks lease.Requests
	asks.RecordSent(1, 100*time.Millisecond)

	// The lender answers, on its own clock, and lends for a second.
	lent := lease.Lend(7*time.Hour, time.Second)

	// The answer arrives late; the lease counts from the ask all the same.
	sent, _ := asks.SentAt(1)
	borrowed := lease.Borrow(sent, time.Second, lease.DefaultDrift)
	fmt.Println(borrowed.Until)
	fmt.Println(borrowed.Live(1090 * time.Millisecond))
	fmt.Println(lent.Ended(7*time.Hour + time.Second))
	// Output:
	// 1.09s
	// false
	// true
}
