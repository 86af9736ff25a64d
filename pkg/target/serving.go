package target

import "dandelionmux/pkg/document"

// WeightedTarget is one target as an instance is to use it now.
type WeightedTarget struct {
	Target document.Target
	// Weight scales the target's share of new work, from 0 (none) to 1. It
	// rises while a target that joined cold warms up.
	Weight float64
	// SampleFraction is the fraction of the service's repeatable requests, from 0 to 1,
	// that go to this target before the usual choice. It gathers evidence about
	// a target that is suspected or may have recovered.
	SampleFraction float64
	// Suspected targets get no request that may not be repeated while another
	// target has room.
	Suspected bool
	// Reason says why the target isn't simply serving; empty if it is.
	Reason Reason
}

// Reason is why a target gets less than its full share, or kept it.
type Reason string

// Values of Reason.
const (
	Healthy     Reason = ""
	Leaving     Reason = "leaving"
	Warming     Reason = "warming"
	Failing     Reason = "failing"
	Slow        Reason = "slow"
	Unreachable Reason = "unreachable"
	Suspicious  Reason = "suspicious"
	// SparedByFloor targets are sick, but the floor keeps them at work.
	SparedByFloor Reason = "spared-by-floor"
)
