// Package boot reads the system's boot-time clock, which also counts the time while the
// machine is suspended.
//
// Go's monotonic clock stops during a suspend, but leases in the store and
// confirmations that other processes rely on continue to age. Every limit on how long
// a right may be used is therefore measured with this clock.
//
// # Usage
//
//	sent := boot.Now()
//	answer, err := client.Do(ctx, call)
//	leaseEnd := sent + term
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, including time in suspend. It panics
// if the system has no boot-time clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it a lease may be used after
		// its end.
		panic("boot: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
