package target

import "github.com/cespare/xxhash/v2"

// Report is what one instance saw of one service's targets since its last
// report.
type Report struct {
	Service string
	// Number grows with each report of one run of an instance.
	Number uint64
	// Targets lists what changed.
	Targets []TargetReport
}

// TargetReport is what one instance saw of one target.
type TargetReport struct {
	// Target is the target's name.
	Target string
	// Cells counts attempts by organisation and route.
	Cells []Cell
	// Latency holds the latencies of the successes.
	Latency Histogram
	// Refused counts connections that the target refused.
	Refused uint32
}

// Cell counts the attempts of one organisation on one route.
type Cell struct {
	Stratum Stratum
	// Attempts includes the failures and crashes.
	Attempts uint32
	Failures uint32
	// Crashes counts connections that died before the answer. They may be one
	// crash that took several requests down.
	Crashes uint32
}

// Stratum is a group of requests that are compared only with each other. It
// holds hashes of the names; a collision only joins two groups.
type Stratum struct {
	Organisation uint32
	Route        uint32
}

// StratumOf returns the stratum of an organisation's requests on a route.
func StratumOf(organisation, route string) Stratum {
	return Stratum{
		Organisation: uint32(xxhash.Sum64String(organisation)),
		Route:        uint32(xxhash.Sum64String(route)),
	}
}
