package quarantine

import (
	"time"

	"dandelionmux/pkg/instance"
)

// Event is an input of State: Started, Crashed, PermitRequested, RunEnded, Received
// or Tick.
type Event interface{ event() }

// Started begins the instance's life: it asks peers for the strikes that they know.
type Started struct{}

// Crashed says that a target's connection died while a request without a permit ran
// there.
type Crashed struct {
	// Number is chosen by the caller and comes back in StrikeSpread.
	Number      uint64
	Fingerprint Fingerprint
	Outline     Outline
	// Target is the target's address.
	Target string
}

// PermitRequested asks for a permit to run a suspect.
type PermitRequested struct {
	// Number is chosen by the caller, unique among its open requests, and comes back
	// in PermitAnswered.
	Number      uint64
	Fingerprint Fingerprint
	Outline     Outline
	// Wait is how long the request can wait for the permit.
	Wait time.Duration
	// Term is how long the run may take at most.
	Term time.Duration
}

// RunEnded says that a run with a permit has ended.
type RunEnded struct {
	// Number is that of the PermitRequested event.
	Number uint64
	Result Result
	// Target is the address of the target that crashed, if one did.
	Target string
}

// Received carries a message from a peer.
type Received struct {
	From    instance.ID
	Message Message
}

// Tick says that the time returned by Next has come.
type Tick struct{}

func (Started) event()         {}
func (Crashed) event()         {}
func (PermitRequested) event() {}
func (RunEnded) event()        {}
func (Received) event()        {}
func (Tick) event()            {}

// Effect is an output of State: Send, StrikeSpread, PermitAnswered, Ready or
// SnapshotChanged.
type Effect interface{ effect() }

// Send asks for a message to be sent. It may be lost.
type Send struct {
	To      instance.Address
	Message Message
}

// StrikeSpread says that the strike of Crashed or RunEnded with this number was
// acknowledged by all live instances, or that the time for it has passed. An
// instance that holds the caller's answer back until the strike has spread sends it
// now. StrikeSpread is also emitted, with Missing zero, if a limit prevented the strike
// of a Crashed event, and with Number zero for the strike of a lapsed permit.
type StrikeSpread struct {
	Number uint64
	// Missing is the number of instances that haven't acknowledged the strike.
	Missing int
}

// PermitAnswered answers a PermitRequested event. The request may run if Decision is
// Permitted, and must then end before Until.
type PermitAnswered struct {
	Number   uint64
	Decision Decision
	Until    time.Duration
	// RetryAfter is set if the request must be refused.
	RetryAfter time.Duration
}

// Ready says that a started instance knows the strikes, or that no peer sent any in
// time. The instance should accept requests only from now on.
type Ready struct{}

// SnapshotChanged carries a new snapshot for request handling.
type SnapshotChanged struct {
	Snapshot *Snapshot
}

func (Send) effect()            {}
func (StrikeSpread) effect()    {}
func (PermitAnswered) effect()  {}
func (Ready) effect()           {}
func (SnapshotChanged) effect() {}
