package quarantine

import (
	"time"

	"dandelionmux/pkg/instance"
)

// Event is an input of State: Started, Crashed, Wanted, Ended, Received or
// Tick.
type Event interface{ event() }

// Started begins the instance's life: it recalls the strikes from peers.
type Started struct{}

// Crashed says that a target's connection died while a request ran that had no
// permit.
type Crashed struct {
	// Number is the caller's and comes back in Spread.
	Number      uint64
	Fingerprint Fingerprint
	Outline     Outline
	// Target is the target's address.
	Target string
}

// PermitRequested asks for a permit to run a suspect.
type PermitRequested struct {
	// Number is the caller's, unique among the open ones, and comes back in
	// Answered.
	Number      uint64
	Fingerprint Fingerprint
	Outline     Outline
	// Wait is how long the request can wait for the permit.
	Wait time.Duration
	// Term is how long the run may take at most.
	Term time.Duration
}

// RunEnded ends the run of a permit.
type RunEnded struct {
	// Number is that of the Wanted event.
	Number uint64
	Result Result
	// Target is the address of the target that crashed, if one did.
	Target string
}

// Received is a message from a peer.
type Received struct {
	From    instance.ID
	Message Message
}

// Tick says that the time named by Next has come.
type Tick struct{}

func (Started) event()         {}
func (Crashed) event()         {}
func (PermitRequested) event() {}
func (RunEnded) event()        {}
func (Received) event()        {}
func (Tick) event()            {}

// Effect is an output of State: Send, Spread, Answered, Ready or Changed.
type Effect interface{ effect() }

// Send asks for a message to be sent. It may be lost.
type Send struct {
	To      instance.Address
	Message Message
}

// StrikeSpread says that the strike of Crashed or Ended with this number was noted by
// all instances alive, or that the bound has passed. The caller is answered now
// and not before.
type StrikeSpread struct {
	Number uint64
	// Missing counts the instances that have not noted the strike.
	Missing int
}

// PermitAnswered ends a Wanted event. The request may run if Verdict is Permitted,
// and must then end before Until.
type PermitAnswered struct {
	Number   uint64
	Decision Decision
	Until    time.Duration
	// RetryAfter is set if the request must be refused.
	RetryAfter time.Duration
}

// Ready says that a started instance knows the strikes, or that no peer told it
// any in time. It should take traffic only now.
type Ready struct{}

// SnapshotChanged carries a new snapshot for traffic.
type SnapshotChanged struct {
	Snapshot *Snapshot
}

func (Send) effect()            {}
func (StrikeSpread) effect()    {}
func (PermitAnswered) effect()  {}
func (Ready) effect()           {}
func (SnapshotChanged) effect() {}
