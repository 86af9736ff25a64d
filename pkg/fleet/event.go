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

// Event is an input of State: Tick, Received, Broken, StoreAnswer, ListRead,
// DeclaredDead, Loaded, Rejected, Quota, Quarantine, Claim, Reported, Connected,
// Draining, Leave or Stop.
type Event interface{ event() }

// Tick says that the time that Next gave has come.
type Tick struct{}

// Received is a message from a run of a peer.
type Received struct {
	From    instance.ID
	Message Message
}

// Broken says that the connection to a peer failed.
type Broken struct {
	Address instance.Address
}

// Part names the part of a State that a store call belongs to.
type Part int

// The parts that call the store.
const (
	Revisions Part = iota
	Shares
)

// StoreAnswer is the outcome of a StoreCall.
type StoreAnswer struct {
	Part   Part
	Number uint64
	Answer store.Answer
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

// Quota is an event of traffic for the instance's quota holder: Acquire, Cancel,
// Low or Settled of package quota.
type Quota struct {
	Event quota.Event
}

// Quarantine is an event of traffic for the quarantine: Crashed,
// PermitRequested or RunEnded of package quarantine.
type Quarantine struct {
	Event quarantine.Event
}

// Claim is an event of traffic for the claims: Acquire, Done or Cancel of package
// claim.
type Claim struct {
	Event claim.Event
}

// Reported is what traffic saw of a service's targets.
type Reported struct {
	Report target.Report
}

// Connected says whether a target takes this instance's connections.
type Connected struct {
	Service string
	Target  string
	Reached bool
}

// Draining says that a target announced that it is leaving.
type Draining struct {
	Service string
	Target  string
}

// Leave begins a graceful stop: what is lent is returned and what is held is
// handed over. The instance goes on serving.
type Leave struct{}

// Stop says that the instance ends now. State sends its last messages.
type Stop struct{}

func (Tick) event()         {}
func (Received) event()     {}
func (Broken) event()       {}
func (StoreAnswer) event()  {}
func (ListRead) event()     {}
func (DeclaredDead) event() {}
func (Loaded) event()       {}
func (Rejected) event()     {}
func (Quota) event()        {}
func (Quarantine) event()   {}
func (Claim) event()        {}
func (Reported) event()     {}
func (Connected) event()    {}
func (Draining) event()     {}
func (Leave) event()        {}
func (Stop) event()         {}
