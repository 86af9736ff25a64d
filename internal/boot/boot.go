// Package boot reads the clock that goes on while the machine is suspended.
//
// Go's monotonic clock stands still during a suspend, but leases in the store
// and the trust that other processes put in a proof don't. Whatever bounds a
// right is counted on this clock.
//
// # Usage
//
//	sent := boot.Now()
//	answer, err := client.Do(ctx, call)
//	lease := sent + term
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the machine was started, suspends included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease is safe.
		panic("boot: no boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
