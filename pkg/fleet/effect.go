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

// Send requests that a message be sent to a peer. The message may be lost.
type Send struct {
	To      instance.Address
	Message Message
}

// StoreCall requests a call to the store, whose outcome is returned as a
// StoreAnswer with the same Component and Number.
type StoreCall struct {
	Component Component
	Number    uint64
	Call      store.Call
}

// StoreCancel reports that the answer to a StoreCall is no longer needed.
type StoreCancel struct {
	Component Component
	Number    uint64
}

// Load requests that a document be decoded, checked and put in force. The
// result is returned as Loaded or Rejected. Parts contains all parts of the
// document and must not be modified.
type Load struct {
	Head  revision.Head
	Parts map[revision.Digest][]byte
}

// Admitted answers an Acquire of package quota: the request may use the token.
type Admitted struct {
	Request uint64
	Token   quota.Token
}

// Refused answers an Acquire of package quota: the request was not admitted and
// has not run.
type Refused struct {
	quota.Refused
}

// PermitAnswered answers a PermitRequested event of package quarantine.
type PermitAnswered struct {
	quarantine.PermitAnswered
}

// ClaimAnswered answers an Acquire of package claim. Answer is a Run, Duplicate
// or Refused of that package.
type ClaimAnswered struct {
	Answer claim.Effect
}

// TargetWeightsChanged sets how traffic uses a service's targets from now on.
type TargetWeightsChanged struct {
	Service string
	Targets []target.WeightedTarget
}

// StrikesChanged contains the strikes that traffic must observe.
type StrikesChanged struct {
	Snapshot *quarantine.Snapshot
}

// TrustChanged sets the time until which the document in force may be used.
type TrustChanged struct {
	Until time.Duration
}

// MembersChanged contains the instances that are considered alive, including
// this one, sorted by address.
type MembersChanged struct {
	Members []instance.Info
}

// Superseded reports that a later run uses this instance's address. This
// process must end.
type Superseded struct {
	By instance.ID
}

// LeaveCompleted reports that a leaving instance has handed over everything
// that it held.
type LeaveCompleted struct{}

// Decided reports a decision, for the log.
type Decided struct {
	// Component is the name of the package that decided.
	Component string
	// Decision is what was decided, and Subject is what the decision is about.
	Decision string
	Subject  string
	// Detail contains alternating names and values of log attributes.
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
