package target

import "github.com/cespare/xxhash/v2"

// Report holds what one instance has recorded for one service's targets since its
// previous report.
type Report struct {
	Service string
	// Number increases with each report of one run of an instance.
	Number uint64
	// Targets holds the targets for which something was recorded.
	Targets []TargetReport
}

// TargetReport holds what one instance has recorded for one target.
type TargetReport struct {
	// Target is the target's name.
	Target string
	// Cells counts the attempts by organisation and route.
	Cells []Cell
	// Latency counts the latencies of the successes.
	Latency Histogram
	// Refused is the number of connections that the target refused.
	Refused uint32
}

// Cell counts the attempts of one organisation on one route.
type Cell struct {
	Stratum Stratum
	// Attempts includes failures and crashes.
	Attempts uint32
	Failures uint32
	// Crashes counts connections that died before the answer, and is included in
	// Failures. One crash of the target may take several requests with it.
	Crashes uint32
}

// Stratum identifies a group of requests that are compared only with each other: one
// organisation's requests on one route. It holds hashes of the names; a collision
// merely joins two groups.
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
