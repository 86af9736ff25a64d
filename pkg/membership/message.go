package membership

import "dandelionmux/pkg/instance"

// Bounds of a message.
const (
	// MaxRecords is how many records one message carries.
	MaxRecords = 64
	// MaxNameBytes is the longest address, zone or region, in bytes.
	MaxNameBytes = 64
	// BucketCount is how many groups of addresses are compared when the tables of
	// two instances differ.
	BucketCount = 32
)

// Message goes from one instance to another: Probe, Ack, Nack,
// ProbeRequest, Gossip, SyncDigests or SyncRecords. Each carries a Header.
type Message interface {
	message()
	header() Header
}

// Header is on every message.
type Header struct {
	// Sender is the sender's record of itself.
	Sender Record
	// Notice is the newest revision that the sender can serve.
	Notice Notice
	// TableDigest digests the sender's members, so that a receiver sees whether
	// the two differ.
	TableDigest uint64
	// Records are news of others, MaxRecords at most.
	Records []Record
}

// Notice names a revision. This package carries it and doesn't look inside.
type Notice struct {
	// Number is the revision's number; zero means none.
	Number uint64
	// Check is the beginning of the digest of the revision's head.
	Check uint64
}

// Probe asks for an Ack.
type Probe struct {
	Header Header
	// Number is chosen by the sender and comes back in the Ack.
	Number uint64
}

// Ack says that the subject is alive: the sender itself, or, as an answer to a
// ProbeRequest, the target that the sender probed on the receiver's behalf.
type Ack struct {
	Header  Header
	Number  uint64
	Subject instance.ID
}

// Nack answers a ProbeRequest whose target didn't answer the sender either. It
// tells the receiver that its own side isn't what failed.
type Nack struct {
	Header Header
	Number uint64
}

// ProbeRequest asks the receiver to probe the target and to pass the answer on.
type ProbeRequest struct {
	Header Header
	Number uint64
	Target instance.Address
}

// Gossip carries records at once instead of with the next probe.
type Gossip struct {
	Header Header
}

// SyncDigests carries a digest for each bucket of the sender's members.
type SyncDigests struct {
	Header  Header
	Digests [BucketCount]uint64
}

// SyncRecords carries the sender's records of buckets that differed.
type SyncRecords struct {
	Header Header
	// RequestedBuckets has a bit for each bucket that differed. The receiver sends its
	// own records of these back, with RequestedBuckets zero.
	RequestedBuckets uint32
}

func (Probe) message()        {}
func (Ack) message()          {}
func (Nack) message()         {}
func (ProbeRequest) message() {}
func (Gossip) message()       {}
func (SyncDigests) message()  {}
func (SyncRecords) message()  {}

func (m Probe) header() Header        { return m.Header }
func (m Ack) header() Header          { return m.Header }
func (m Nack) header() Header         { return m.Header }
func (m ProbeRequest) header() Header { return m.Header }
func (m Gossip) header() Header       { return m.Header }
func (m SyncDigests) header() Header  { return m.Header }
func (m SyncRecords) header() Header  { return m.Header }
