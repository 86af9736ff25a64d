package membership

import "dandelionmux/pkg/instance"

// Bounds of a message.
const (
	// MaxRecords is the maximum number of records in one message.
	MaxRecords = 64
	// MaxNameBytes is the maximum length of an address, zone or region, in
	// bytes.
	MaxNameBytes = 64
	// BucketCount is the number of buckets of addresses whose digests are
	// compared when the tables of two instances differ.
	BucketCount = 32
)

// Message is a message from one instance to another: Probe, Ack, Nack,
// ProbeRequest, Gossip, SyncDigests or SyncRecords. Each contains a Header.
type Message interface {
	message()
	header() Header
}

// Header is the common part of all messages.
type Header struct {
	// Sender is the sender's record of itself.
	Sender Record
	// Notice is the newest revision that the sender can serve.
	Notice Notice
	// TableDigest is a digest of the sender's live members, by which a receiver
	// detects that its table differs.
	TableDigest uint64
	// Records are recently changed records of other runs, MaxRecords at most.
	Records []Record
}

// Notice identifies a revision. This package transports notices without
// interpreting them.
type Notice struct {
	// Number is the revision's number; zero means none.
	Number uint64
	// Check is the beginning of the digest of the revision's head.
	Check uint64
}

// Probe requests an Ack.
type Probe struct {
	Header Header
	// Number is chosen by the sender and comes back in the Ack.
	Number uint64
}

// Ack reports that the subject is alive. The subject is the sender itself or,
// in the answer to a ProbeRequest, the target that the sender probed on the
// receiver's behalf.
type Ack struct {
	Header  Header
	Number  uint64
	Subject instance.ID
}

// Nack answers a ProbeRequest whose target didn't answer the sender either. It
// shows the receiver that its own connection isn't the cause.
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

// Gossip passes its header's records on at once instead of with the next probe.
type Gossip struct {
	Header Header
}

// SyncDigests contains the digest of each bucket of the sender's live members.
type SyncDigests struct {
	Header  Header
	Digests [BucketCount]uint64
}

// SyncRecords contains the sender's records of the buckets that differ.
type SyncRecords struct {
	Header Header
	// RequestedBuckets is a bit set of the buckets whose records the receiver
	// is to send back; zero requests none.
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
