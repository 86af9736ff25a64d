// Package link tells whether an instance's own network links to targets are lost.
//
// To an instance without links all targets seem to fail at once. If it reported that, one
// instance could eject the targets of a service for the whole fleet. A Monitor therefore
// holds each failure that a lost link may explain: a connection that wasn't established,
// that died, or on which no answer came. It asks for a test of the target: a connection
// that is closed at once. If that is established, the failure counts against the target.
//
// If it isn't, either the target is down or the link to it is lost. Other instances can
// tell: if one of them reaches the target, the failure is excused; if one of them can't connect
// to it either, although it reaches others, the failure counts, even where this instance has no
// links at all. A connection that
// wasn't established needs no such testimony, since it only keeps this instance from using
// the target; it counts as soon as any other target of the service has been connected to.
//
// Services are watched one by one, because a service's targets may be in a part of the
// network of their own. When most targets of a service can't be connected to, it is
// impaired, and others are asked about some of these targets. If one of them reaches any,
// links are lost, and the service's requests go through another instance; if none does,
// the targets have failed. Tests go on until most targets can be connected to. An instance
// that reaches no service at all blames no target by what it sees itself.
//
// Answers on kept connections prove nothing, since these may live on while new ones
// fail.
//
// # Usage
//
//	m := link.New[report](random)
//	m.Update([]string{"desk", "mill"})
//	// Whenever connecting to a target has ended:
//	m.ConnectSucceeded(now, begunAt, "desk", "desk-1") // or ConnectFailed
//	// Whenever a request got no answer:
//	m.Hold(link.Failure[report]{Service: "desk", Target: "desk-1", ...})
//	// After each of these, after TestDelay, and several times a second:
//	actions := m.Step(now, testableTargets)
//	// Connect for actions.Tests and call ConnectSucceeded or ConnectFailed, then EndTest;
//	// ask other instances about actions.Questions and call Testify; report
//	// actions.Blamed.
//	if m.State("desk") == link.Unreachable {
//		// Send the request through another instance.
//	}
package link
