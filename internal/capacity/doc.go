// Package capacity measures how the cost of the control plane grows with the
// fleet.
//
// It runs the control states of many instances in one process on virtual time,
// with the fakes of package fake, and encodes and decodes every message. The
// messages and bytes are therefore those that a network would carry, and the
// processor time, divided by instances and virtual seconds, is what one instance
// spends on its decisions and codecs. It leaves out system calls and wake-ups,
// which are measured apart over real connections (see docs/CAPACITY.md).
//
// # Usage
//
//	for _, size := range []int{40, 80, 160, 320} {
//		r := capacity.Measure(capacity.Plan{
//			Instances: size,
//			Seconds:   10,
//		})
//		fmt.Println(r)
//	}
package capacity
