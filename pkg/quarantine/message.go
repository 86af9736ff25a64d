package quarantine

import (
	"time"

	"dandelionmux/pkg/instance"
)

// Message is a message between instances: Strike, StrikeAck, PermitRequest,
// PermitReply, Release, ReleaseAck, StrikeCleared, StrikesRequest or StrikesReply.
type Message interface{ message() }

// Strike says that a target's connection died while the request ran.
type Strike struct {
	Fingerprint Fingerprint
	Outline     Outline
	// Origin is the instance that made the strike. Origin and Number identify the
	// strike, so that it counts once.
	Origin instance.ID
	Number uint64
	// Target is the target's address. It is empty if a permit lapsed.
	Target string
	// Remaining is how long the strike still counts, from when it was sent.
	Remaining time.Duration
	// Cleared is set if a run has succeeded since.
	Cleared bool
}

// StrikeAck acknowledges a Strike that the receiver sent.
type StrikeAck struct {
	Number uint64
}

// PermitRequest asks the authority for a permit to run a suspect.
type PermitRequest struct {
	// Number identifies the request, and Attempt counts from zero how often it was
	// sent. The reply repeats both.
	Number      uint64
	Attempt     int
	Fingerprint Fingerprint
	// Strikes are the strikes that the sender knows.
	Strikes []Strike
	// Term is how long the permit is requested for.
	Term time.Duration
}

// PermitReply answers a PermitRequest.
type PermitReply struct {
	Number      uint64
	Attempt     int
	Fingerprint Fingerprint
	Decision    Decision
	// Strikes are the strikes that the authority knows.
	Strikes []Strike
}

// Decision is the answer to a permit request.
type Decision uint8

// Values of Decision.
const (
	// Permitted means that the run is the only one in the fleet for the requested
	// term.
	Permitted Decision = iota + 1
	// Busy means that no permit can be granted now: another run has it, an earlier
	// authority may have granted one, the request has already ended, no strike is
	// known, or the term is out of range.
	Busy
	// Denied means that the fingerprint is quarantined.
	Denied
	// NotAuthority means that the receiver of the request is not the authority.
	NotAuthority
	// NoAnswer is set by the requester if no authority answered in time.
	NoAnswer
)

// Release gives a permit back to the authority.
type Release struct {
	Number      uint64
	Fingerprint Fingerprint
	Result      Result
	// Strike is set if the run crashed a target.
	Strike *Strike
}

// Result is how a permitted run ended.
type Result uint8

// Values of Result.
const (
	// Succeeded means that a whole answer came. It clears the fingerprint.
	Succeeded Result = iota + 1
	// Inconclusive means that the run ended without a crash and without a whole
	// answer, or never began.
	Inconclusive
	// TargetCrashed means that the run crashed a target.
	TargetCrashed
)

// ReleaseAck acknowledges a Release.
type ReleaseAck struct {
	Number uint64
}

// StrikeCleared says that a run of the fingerprint succeeded after its strike.
type StrikeCleared struct {
	Fingerprint Fingerprint
}

// StrikesRequest asks for all strikes. An instance sends it when it starts.
type StrikesRequest struct{}

// StrikesReply answers a StrikesRequest.
type StrikesReply struct {
	Strikes []Strike
}

func (Strike) message()         {}
func (StrikeAck) message()      {}
func (PermitRequest) message()  {}
func (PermitReply) message()    {}
func (Release) message()        {}
func (ReleaseAck) message()     {}
func (StrikeCleared) message()  {}
func (StrikesRequest) message() {}
func (StrikesReply) message()   {}
