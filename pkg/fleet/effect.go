package fleet

import (
	"time"

	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/store"
	"dandelionmux/pkg/target"
)

// Effect is an output of State: Send, StoreCall, StoreCancel, Load, Admitted,
// Refused, PermitAnswered, ClaimAnswered, TargetWeightsChanged, StrikesChanged,
// TrustChanged, MembersChanged, Superseded, LeaveCompleted or Decided.
type Effect interface{ effect() }

// Send asks for a message to be sent to a peer. It may be lost.
type Send struct {
	To      instance.Address
	Message Message
}

// StoreCall asks for a call to the store.
type StoreCall struct {
	Component Component
	Number    uint64
	Call      store.Call
}

// StoreCancel says that the answer to a call isn't needed any more.
type StoreCancel struct {
	Component Component
	Number    uint64
}

// Load asks for a document to be decoded, checked and put in force, and for a
// Loaded or a Rejected. All parts are at hand, and are not to be changed.
type Load struct {
	Head  revision.Head
	Parts map[revision.Digest][]byte
}

// Admitted answers an Acquire of package quota.
type Admitted struct {
	Request uint64
	Token   quota.Token
}

// Refused answers an Acquire of package quota: the request has not run.
type Refused struct {
	quota.Refused
}

// PermitAnswered answers a PermitRequested event of package quarantine.
type PermitAnswered struct {
	quarantine.PermitAnswered
}

// ClaimAnswered answers an Acquire of package claim: with its Run, Duplicate or Refused.
type ClaimAnswered struct {
	Answer claim.Effect
}

// TargetWeightsChanged says how traffic is to use a service's targets from now on.
type TargetWeightsChanged struct {
	Service string
	Targets []target.WeightedTarget
}

// StrikesChanged carries the strikes that traffic must heed.
type StrikesChanged struct {
	Snapshot *quarantine.Snapshot
}

// TrustChanged says until when the document in force may be acted on.
type TrustChanged struct {
	Until time.Duration
}

// MembersChanged gives the instances believed alive, this one included, in
// order of their addresses.
type MembersChanged struct {
	Members []instance.Info
}

// Superseded says that a later run has this instance's address, so that this
// one must end.
type Superseded struct {
	By instance.ID
}

// LeaveCompleted says that a leaving instance has handed over all that it held.
type LeaveCompleted struct{}

// Decided is a decision for the log.
type Decided struct {
	// Component is the package that decided.
	Component string
	// Decision is what was decided, and Subject is what the decision is about.
	Decision string
	Subject  string
	// Detail says more, as alternating names and values.
	Detail []any
}

func (Send) effect()                 {}
func (StoreCall) effect()            {}
func (StoreCancel) effect()          {}
func (Load) effect()                 {}
func (Admitted) effect()             {}
func (Refused) effect()              {}
func (PermitAnswered) effect()       {}
func (ClaimAnswered) effect()        {}
func (TargetWeightsChanged) effect() {}
func (StrikesChanged) effect()       {}
func (TrustChanged) effect()         {}
func (MembersChanged) effect()       {}
func (Superseded) effect()           {}
func (LeaveCompleted) effect()       {}
func (Decided) effect()              {}
