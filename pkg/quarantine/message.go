package quarantine

import (
	"time"

	"dandelionmux/pkg/instance"
)

// Message is what instances tell each other: Strike, Noted, Ask, Reply,
// Release, Released, Cleared, Recall or Recalled.
type Message interface{ message() }

// Strike says that a target's connection died while the request ran.
type Strike struct {
	Fingerprint Fingerprint
	Outline     Outline
	// Origin and Number name the strike, so that it counts once.
	Origin instance.ID
	Number uint64
	// Target is the address of the target; empty if a permit lapsed.
	Target string
	// Remaining is how long the strike still counts, from when it was sent.
	Remaining time.Duration
	// Cleared is set if a run has succeeded since.
	Cleared bool
}

// StrikeAck acknowledges a Strike of the receiver.
type StrikeAck struct {
	Number uint64
}

// PermitRequest asks the authority for a permit to run a suspect.
type PermitRequest struct {
	// Number names the ask and Attempt counts its sendings from zero; the
	// reply echoes both.
	Number      uint64
	Attempt     int
	Fingerprint Fingerprint
	// Strikes are those that the asker knows.
	Strikes []Strike
	// Term is how long the permit is asked for.
	Term time.Duration
}

// PermitReply answers an Ask.
type PermitReply struct {
	Number      uint64
	Attempt     int
	Fingerprint Fingerprint
	Decision    Decision
	// Strikes are those that the authority knows.
	Strikes []Strike
}

// Decision is the authority's answer to an Ask.
type Decision uint8

// Values of Verdict.
const (
	// Permitted runs are the only ones in the fleet for the term asked for.
	Permitted Decision = iota + 1
	// Busy says that another run has the permit, or that an earlier
	// authority may have given one.
	Busy
	// Denied says that the fingerprint is quarantined.
	Denied
	// NotAuthority says that the instance asked is not the authority.
	NotAuthority
	// NoAnswer is set by the asker when no authority answered in time.
	NoAnswer
)

// Release gives a permit back.
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
	// Succeeded runs clear the fingerprint.
	Succeeded Result = iota + 1
	// Inconclusive runs ended without a crash and without a whole answer, or
	// never began.
	Inconclusive
	// TargetCrashed runs crashed a target.
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

// StrikesRequest asks for all strikes, by an instance that has just started.
type StrikesRequest struct{}

// StrikesReply answers a Recall.
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
