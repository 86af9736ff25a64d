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

// Tick reports that the time that Next returned has come.
type Tick struct{}

// Received contains a message from a peer. From is the run at the other end of
// the connection.
type Received struct {
	From    instance.ID
	Message Message
}

// ConnectionFailed reports that the connection to a peer failed.
type ConnectionFailed struct {
	Address instance.Address
}

// Component identifies the component of a State that a store call belongs to.
type Component int

// The components that call the store.
const (
	ComponentRevision Component = iota
	ComponentShare
)

// StoreAnswer contains the outcome of a StoreCall.
type StoreAnswer struct {
	Component Component
	Number    uint64
	Answer    store.Answer
	// Err is nil, or wraps store.ErrUnavailable or store.ErrOutcomeUnknown.
	Err error
}

// ListRead contains the platform's instance list.
type ListRead struct {
	Instances []instance.Info
}

// DeclaredDead is an operator's declaration that no process runs at the address
// any more.
type DeclaredDead struct {
	Address instance.Address
}

// Loaded reports that the document of a Load is decoded, valid and in force.
type Loaded struct {
	Number uint64
	Limits quota.Limits
	// Services are the services of the document, and Floor is the default of
	// its policy, in percent.
	Services []document.Service
	Floor    int
	// StrikeTerm is the time for which a strike counts.
	StrikeTerm time.Duration
}

// Rejected reports that the document of a Load can't be used.
type Rejected struct {
	Number uint64
	Reason string
}

// QuotaEvent is an event from traffic for this instance's quota holder:
// Acquire, Cancel, Low or Settled of package quota.
type QuotaEvent struct {
	Event quota.Event
}

// QuarantineEvent is an event from traffic for the quarantine: Crashed,
// PermitRequested or RunEnded of package quarantine.
type QuarantineEvent struct {
	Event quarantine.Event
}

// ClaimEvent is an event from traffic for the claims: Acquire, Done or Cancel
// of package claim.
type ClaimEvent struct {
	Event claim.Event
}

// Reported contains what traffic observed of a service's targets.
type Reported struct {
	Report target.Report
}

// TargetReachability reports whether a target accepts this instance's
// connections.
type TargetReachability struct {
	Service   string
	Target    string
	Reachable bool
}

// TargetDraining reports that a target announced that it is leaving.
type TargetDraining struct {
	Service string
	Target  string
}

// Leave begins a graceful stop: the instance returns what it has borrowed, and
// hands over the shares, quota buckets and claims that it holds. It continues
// to serve.
type Leave struct{}

// Stop reports that the instance ends now. State sends its last messages.
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
