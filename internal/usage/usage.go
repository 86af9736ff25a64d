// Package usage reads the processor time that this process has used.
//
// # Usage
//
//	before := usage.ProcessorTime()
//	work()
//	spent := usage.ProcessorTime() - before
package usage

import (
	"syscall"
	"time"
)

// ProcessorTime returns the user and system time that all threads of this process have
// used so far, or zero if the system call fails.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
