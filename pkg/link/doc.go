// Package link tells whether an instance's own network links to targets are lost.
//
// To an instance without links all targets seem to fail at once. If it reported that, one
// instance could eject the targets of a service for the whole fleet. A Monitor therefore
// holds each failure that a lost link may explain: a connection that wasn't established,
// that died, or on which no answer came. Such a failure counts against its target only
// once another connection to the service's targets has been established that was begun
// after the failure. Usually the next request does that; if none does, the Monitor asks
// for a test: a connection that is closed at once.
//
// Services are watched one by one, because a service's targets may be in a part of the
// network of their own. When several targets of a service can't be connected to and none
// can, the service is unreachable. Its requests then have to go through another instance,
// and tests go on until one succeeds. The failures that are held are excused if
// another instance testifies that it reaches the service, or if this one reaches no
// service at all. They count against the targets if neither is the case: then the
// service itself has failed.
//
// Answers on kept connections prove nothing, since these may live on while new ones
// fail.
//
// # Usage
//
//	m := link.New[report](random)
//	m.Update([]string{"desk", "mill"})
//	// Whenever connecting to a target has ended:
//	m.ConnectSucceeded(now, begunAt, "desk") // or ConnectFailed
//	// Whenever a request got no answer:
//	m.Hold(link.Failure[report]{Service: "desk", Target: "desk-1", ...})
//	// After each of these, after TestDelay, and several times a second:
//	actions := m.Step(now, testableTargets)
//	// Connect for actions.Tests and call ConnectSucceeded or ConnectFailed, then EndTest;
//	// ask other instances about actions.Lost and call Testify; report actions.Blamed.
//	if m.State("desk") == link.Unreachable {
//		// Send the request through another instance.
//	}
package link
