package membership

import (
	"time"

	"dandelionmux/pkg/instance"
)

// Effect is an output of State: Send, MembersChanged, NoticeReceived,
// Superseded or Decided.
type Effect interface{ effect() }

// Send asks for a message to be sent. It may be lost, late or doubled.
type Send struct {
	To      instance.Address
	Message Message
}

// MembersChanged gives all members, this instance and suspects included,
// sorted by address. The slice isn't changed later and may be shared.
type MembersChanged struct {
	Members []instance.Info
}

// NoticeReceived passes on a peer's notice that differs from this instance's own.
type NoticeReceived struct {
	From   instance.Address
	Notice Notice
}

// Superseded says that the fleet knows a run at this instance's address with
// a higher incarnation. This process can't be a member any more and must end.
type Superseded struct {
	By instance.ID
}

// Decided is a verdict to log.
type Decided struct {
	Kind DecisionKind
	// Subject is the run that the verdict is about.
	Subject instance.ID
	// Duration is how long a Suspected run has for its refutation, or how long a
	// Paused process stood still.
	Duration time.Duration
}

// DecisionKind is a kind of decision.
type DecisionKind int

// Values of Verdict.
const (
	// Joined means that a run became a member.
	Joined DecisionKind = iota
	// Suspected means that this instance couldn't reach a run.
	Suspected
	// SuspectedByPeer means that another instance couldn't reach a run.
	SuspectedByPeer
	// Refuted means that a suspected run showed that it is alive.
	Refuted
	// Died means that a suspicion wasn't refuted in time.
	Died
	// Departed means that a run said it ends.
	Departed
	// Replaced means that a later run at the address ended this one.
	Replaced
	// Paused means that this process itself stood still.
	Paused
)

// String is the verdict in lower case.
func (v DecisionKind) String() string {
	names := [...]string{
		Joined:          "joined",
		Suspected:       "suspected",
		SuspectedByPeer: "accused",
		Refuted:         "refuted",
		Died:            "died",
		Departed:        "departed",
		Replaced:        "replaced",
		Paused:          "paused",
	}
	if v < 0 || int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

func (Send) effect()           {}
func (MembersChanged) effect() {}
func (NoticeReceived) effect() {}
func (Superseded) effect()     {}
func (Decided) effect()        {}
