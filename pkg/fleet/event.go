package fleet

import (
	"time"

	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/store"
	"dandelionmux/pkg/target"
)

// Event is an input of State: Tick, Received, ConnectionFailed, StoreAnswer,
// ListRead, DeclaredDead, Loaded, Rejected, QuotaEvent, QuarantineEvent,
// ClaimEvent, Reported, TargetReachability, TargetDraining, Leave or Stop.
type Event interface{ event() }

// Tick says that the time that Next gave has come.
type Tick struct{}

// Received is a message from a run of a peer.
type Received struct {
	From    instance.ID
	Message Message
}

// ConnectionFailed says that the connection to a peer failed.
type ConnectionFailed struct {
	Address instance.Address
}

// Component names the part of a State that a store call belongs to.
type Component int

// The parts that call the store.
const (
	ComponentRevision Component = iota
	ComponentShare
)

// StoreAnswer is the outcome of a StoreCall.
type StoreAnswer struct {
	Component Component
	Number    uint64
	Answer    store.Answer
	// Err wraps store.ErrUnavailable or store.ErrOutcomeUnknown.
	Err error
}

// ListRead is a reading of the platform's instance list.
type ListRead struct {
	Instances []instance.Info
}

// DeclaredDead is an operator's word that nothing runs at the address any more.
type DeclaredDead struct {
	Address instance.Address
}

// Loaded says that the document of a Load is decoded, valid and in force.
type Loaded struct {
	Number uint64
	Limits quota.Limits
	// Services are those of the document, and Floor the policy's default.
	Services []document.Service
	Floor    int
	// StrikeTerm is how long a strike counts.
	StrikeTerm time.Duration
}

// Rejected says that the document of a Load can't be used.
type Rejected struct {
	Number uint64
	Reason string
}

// QuotaEvent is an event of traffic for the instance's quota holder: Acquire, Cancel,
// Low or Settled of package quota.
type QuotaEvent struct {
	Event quota.Event
}

// QuarantineEvent is an event of traffic for the quarantine: Crashed,
// PermitRequested or RunEnded of package quarantine.
type QuarantineEvent struct {
	Event quarantine.Event
}

// ClaimEvent is an event of traffic for the claims: Acquire, Done or Cancel of package
// claim.
type ClaimEvent struct {
	Event claim.Event
}

// Reported is what traffic saw of a service's targets.
type Reported struct {
	Report target.Report
}

// TargetReachability says whether a target takes this instance's connections.
type TargetReachability struct {
	Service   string
	Target    string
	Reachable bool
}

// TargetDraining says that a target announced that it is leaving.
type TargetDraining struct {
	Service string
	Target  string
}

// Leave begins a graceful stop: what is lent is returned and what is held is
// handed over. The instance goes on serving.
type Leave struct{}

// Stop says that the instance ends now. State sends its last messages.
type Stop struct{}

func (Tick) event()               {}
func (Received) event()           {}
func (ConnectionFailed) event()   {}
func (StoreAnswer) event()        {}
func (ListRead) event()           {}
func (DeclaredDead) event()       {}
func (Loaded) event()             {}
func (Rejected) event()           {}
func (QuotaEvent) event()         {}
func (QuarantineEvent) event()    {}
func (ClaimEvent) event()         {}
func (Reported) event()           {}
func (TargetReachability) event() {}
func (TargetDraining) event()     {}
func (Leave) event()              {}
func (Stop) event()               {}
