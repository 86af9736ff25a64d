package claim

import (
	"crypto/sha256"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// Key is the digest of an organisation and its Idempotency-Key.
type Key [sha256.Size]byte

// KeyOf returns the key of the name that an organisation gave to a request.
// Keys of different organisations never collide.
func KeyOf(organisation, name string) Key {
	of := sha256.Sum256([]byte(organisation))
	return sha256.Sum256(append(of[:], name...))
}

// Shard returns the shard whose authority decides about the key.
func (k Key) Shard() share.Shard {
	return share.ShardOf("key", string(k[:]))
}

// Outcome is what is known of the single run of a request.
type Outcome struct {
	State State
	// Status is the HTTP status of the response, if State is Ended.
	Status int
}

// State is the progress of a request.
type State int

// Values of State.
const (
	// Running means that the request may be running now.
	Running State = iota
	// Ended means that the request ran and the status of its response is known.
	Ended
	// Unknown means that the request may have run, and its end is not known.
	Unknown
)

// Record is one claim: the right of one request to run.
type Record struct {
	Key Key
	// Claimant is the instance that may run the request.
	Claimant instance.ID
	// Request is the claimant's number for the request.
	Request uint64
	Outcome Outcome
	// Remaining is how much longer the record must be stored.
	Remaining time.Duration
}

// Loss is an instance that was lost before it handed over its records.
type Loss struct {
	ID   instance.ID
	Zone string
	// Remaining is how much longer the loss must be counted.
	Remaining time.Duration
}

// Message is what instances send each other. Messages may be lost, delayed,
// duplicated or reordered.
type Message interface{ message() }

// Claim asks the authority of a key whether a request may run.
type Claim struct {
	// Number identifies the attempt. The decision repeats it.
	Number uint64
	// Request identifies the request. It is the same for all its attempts.
	Request uint64
	Key     Key
}

// Decision answers a Claim.
type Decision struct {
	Number  uint64
	Request uint64
	Key     Key
	Result  Result
	// Outcome is what is known of the other request, if Result is
	// AlreadyClaimed.
	Outcome Outcome
}

// Result is what a Decision says.
type Result int

// Values of Result.
const (
	// Granted means that the request may run.
	Granted Result = iota
	// AlreadyClaimed means that another request has claimed the key.
	AlreadyClaimed
	// NotAuthority means that the instance can't decide, or not yet.
	NotAuthority
	// Full means that the authority stores as many claims as it may.
	Full
	// TooFewReplicas means that there are too few instances to store the copies
	// of a claim.
	TooFewReplicas
)

// Finish tells how a request ended. The claimant sends it to the authority,
// which forwards it to the replicas.
type Finish struct {
	Key     Key
	Request uint64
	// Claimant is set if an authority forwards the message.
	Claimant instance.ID
	Outcome  Outcome
}

// Release says that a request hasn't run and never will.
type Release struct {
	Key     Key
	Request uint64
	// Claimant is set if an authority forwards the message.
	Claimant instance.ID
}

// Copy gives records to an instance that is to store them.
type Copy struct {
	Number  uint64
	Records []Record
}

// Copied confirms that the records of a Copy are stored.
type Copied struct {
	Number uint64
	// AlreadyHeld lists the keys whose records the instance had before.
	AlreadyHeld []Key
}

// Collect asks for all records of shards. The receiver also makes its pending
// attempts in those shards invalid, so that no decision of an earlier authority
// takes effect.
type Collect struct {
	Number uint64
	Shards []share.Shard
}

// Collected answers a Collect.
type Collected struct {
	Number  uint64
	Records []Record
	// Losses lists the instances lost within the retention.
	Losses []Loss
	// LossesKnownFor is how far back the sender knows all losses.
	LossesKnownFor time.Duration
}

// Departed says that the sender has handed over all its records.
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
