package target

import "dandelionmux/pkg/document"

// WeightedTarget is a target with the share of requests that an instance is to send to
// it now.
type WeightedTarget struct {
	Target document.Target
	// Weight scales the target's share of new requests, from 0 (none) to 1. It rises
	// gradually while a target warms up after it has joined or returned.
	Weight float64
	// SampleFraction is the fraction of the service's repeatable requests, from 0 to 1, that
	// are sent to this target before the usual choice is made. They show whether a watched
	// target is failing or an ejected one has recovered.
	SampleFraction float64
	// Watched is set if the target has a Watch verdict: requests that may not be repeated
	// should go to other targets while these have free capacity.
	Watched bool
	// Reason is why the target isn't simply in use, or empty if it is.
	Reason Reason
}

// Reason is why a target gets less than its full share of requests, or why it keeps its
// share although it is unhealthy.
type Reason string

// Values of Reason.
const (
	Healthy     Reason = ""
	Leaving     Reason = "leaving"
	Warming     Reason = "warming"
	Failing     Reason = "failing"
	Slow        Reason = "slow"
	Unreachable Reason = "unreachable"
	// Suspicious is the reason of targets with a Watch verdict.
	Suspicious Reason = "suspicious"
	// SparedByFloor marks unhealthy targets that the capacity floor keeps in use. The
	// authority logs them as kept-by-floor.
	SparedByFloor Reason = "spared-by-floor"
)
