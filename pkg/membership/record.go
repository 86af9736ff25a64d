package membership

import (
	"github.com/cespare/xxhash/v2"

	"dandelionmux/pkg/instance"
)

// Record is what one instance tells another of a third, or of itself.
type Record struct {
	instance.Info
	// Version orders what is said of one run. Only the run itself raises it:
	// to refute a suspicion and to say that it is leaving.
	Version uint64
	Status  Status
}

// Status is a state of a run in a Record.
type Status int

// Values of Status. At one version, a later one supersedes an earlier one.
const (
	// Alive means that the run was heard of and that nobody disputes it.
	Alive Status = iota
	// Suspect means that somebody couldn't reach the run, directly or through
	// others. The run refutes it with a higher version.
	Suspect
	// Left means that the run said it ends. It is final.
	Left
)

// String is the status in lower case.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Left:
		return "left"
	}
	return "unknown"
}

// supersedes tells whether r is news to who knows old of the same address.
func (r Record) supersedes(old Record) bool {
	switch {
	case r.Incarnation != old.Incarnation:
		return r.Incarnation > old.Incarnation
	case old.Status == Left:
		return false
	case r.Status == Left:
		return true
	case r.Version != old.Version:
		return r.Version > old.Version
	}
	return r.Status > old.Status
}

// hash mixes what two instances must agree on of a run that is in the fleet.
// Suspicion is left out, because it passes.
func (r Record) hash() uint64 {
	return instance.Hash("membership", xxhash.Sum64String(string(r.Address))^
		instance.Hash("run", r.Incarnation)^
		instance.Hash("version", r.Version))
}

// bucketOf spreads addresses over the buckets of a Digests message.
func bucketOf(a instance.Address) int {
	return int(xxhash.Sum64String(string(a)) % BucketCount)
}
