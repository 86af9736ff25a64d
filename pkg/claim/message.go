package claim

import (
	"crypto/sha256"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// Key is the digest of an organisation and its Idempotency-Key.
type Key [sha256.Size]byte

// KeyOf digests the name that an organisation gave to a request. Different
// organisations' names never meet.
func KeyOf(organisation, name string) Key {
	of := sha256.Sum256([]byte(organisation))
	return sha256.Sum256(append(of[:], name...))
}

// Shard is the shard whose authority decides about the key.
func (k Key) Shard() share.Shard {
	return share.ShardOf("key", string(k[:]))
}

// Outcome is what is known of the one run of a request.
type Outcome struct {
	State State
	// Status is the answer's HTTP status, if State is Ended.
	Status int
}

// State is how far a request has come.
type State int

// Values of State.
const (
	// Running means that the request may be running now.
	Running State = iota
	// Ended means that it ran and its answer's status is known.
	Ended
	// Unknown means that it may have run, and nobody knows how it ended.
	Unknown
)

// Record is one claim: the right of one request to run.
type Record struct {
	Key Key
	// Claimant is the instance that may run the request.
	Claimant instance.ID
	// Request is the claimant's number for it.
	Request uint64
	Outcome Outcome
	// Remaining is for how long the record must still be kept.
	Remaining time.Duration
}

// Loss is an instance that went without handing over its records.
type Loss struct {
	ID   instance.ID
	Zone string
	// Remaining is for how long it must still be counted.
	Remaining time.Duration
}

// Message is what instances send each other. Messages may be lost, late,
// doubled or reordered.
type Message interface{ message() }

// Claim asks a key's authority to let a request run.
type Claim struct {
	// Number is echoed; it differs for each attempt.
	Number uint64
	// Request is the same for all attempts for one request.
	Request uint64
	Key     Key
}

// Decision answers a Claim.
type Decision struct {
	Number  uint64
	Request uint64
	Key     Key
	Result  Result
	// Outcome is what is known of the other request, for Known.
	Outcome Outcome
}

// Result is what a Decision says.
type Result int

// Values of Result.
const (
	// Granted lets the request run.
	Granted Result = iota
	// AlreadyClaimed says that another request has the key.
	AlreadyClaimed
	// NotAuthority says that the instance can't decide, or not yet.
	NotAuthority
	// Full says that no more claims can be kept.
	Full
	// TooFewReplicas says that too few instances are there to keep a claim.
	TooFewReplicas
)

// Finish says how a request ended.
type Finish struct {
	Key     Key
	Request uint64
	// Claimant is set when an authority passes the message on.
	Claimant instance.ID
	Outcome  Outcome
}

// Release says that a request hasn't run and never will.
type Release struct {
	Key      Key
	Request  uint64
	Claimant instance.ID
}

// Copy gives records to keep.
type Copy struct {
	Number  uint64
	Records []Record
}

// Copied says that records are kept.
type Copied struct {
	Number uint64
	// AlreadyHeld are those that the instance had before.
	AlreadyHeld []Key
}

// Collect asks for all records of shards. Whoever answers gives up its open
// claims there, so that no older verdict counts any more.
type Collect struct {
	Number uint64
	Shards []share.Shard
}

// Collected answers a Collect.
type Collected struct {
	Number  uint64
	Records []Record
	// Losses are the instances lost within the retention.
	Losses []Loss
	// LossesKnownFor is for how long back the sender knows of all losses.
	LossesKnownFor time.Duration
}

// Departed says that the sender has handed over all that it kept.
type Departed struct{}

func (Claim) message()     {}
func (Decision) message()  {}
func (Finish) message()    {}
func (Release) message()   {}
func (Copy) message()      {}
func (Copied) message()    {}
func (Collect) message()   {}
func (Collected) message() {}
func (Departed) message()  {}
