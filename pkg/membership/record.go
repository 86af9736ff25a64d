package membership

import (
	"github.com/cespare/xxhash/v2"

	"dandelionmux/pkg/instance"
)

// Record describes the state of a run, as one instance sends it to another.
type Record struct {
	instance.Info
	// Version orders the records of one run. Only the run itself raises it: to
	// refute a suspicion, and to announce that it is leaving.
	Version uint64
	Status  Status
}

// Status is the state of a run in a Record.
type Status int

// Values of Status. Among records of the same version, the one with the higher
// status supersedes the other.
const (
	// Alive means that the run answered and isn't suspected.
	Alive Status = iota
	// Suspect means that an instance couldn't reach the run, directly or
	// through others. The run refutes the suspicion with a higher version.
	Suspect
	// Left means that the run announced its end. It is final.
	Left
)

// String returns the status in lower case, or "unknown" for a value without a
// name.
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

// supersedes reports whether r replaces old, a record of the same address.
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

// hash returns a hash of what all instances must agree on about a live run. The
// status is excluded, because a suspicion is temporary.
func (r Record) hash() uint64 {
	return instance.Hash("membership", xxhash.Sum64String(string(r.Address))^
		instance.Hash("run", r.Incarnation)^
		instance.Hash("version", r.Version))
}

// bucketOf returns the bucket of an address in a SyncDigests message.
func bucketOf(a instance.Address) int {
	return int(xxhash.Sum64String(string(a)) % BucketCount)
}
