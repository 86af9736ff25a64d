package membership

import (
	"time"

	"dandelionmux/pkg/instance"
)

// Effect is an output of State: Send, MembersChanged, NoticeReceived,
// Superseded or Decided.
type Effect interface{ effect() }

// Send requests that a message be sent. The message may be lost, delayed or
// duplicated.
type Send struct {
	To      instance.Address
	Message Message
}

// MembersChanged contains all members, including this instance and suspects,
// sorted by address. The slice isn't modified later and may be shared.
type MembersChanged struct {
	Members []instance.Info
}

// NoticeReceived reports a peer's notice that differs from this instance's own.
type NoticeReceived struct {
	From   instance.Address
	Notice Notice
}

// Superseded reports that the fleet knows a run at this instance's address with
// a higher incarnation. This process can no longer be a member and must end.
type Superseded struct {
	By instance.ID
}

// Decided reports a decision on a run, for the log.
type Decided struct {
	Kind DecisionKind
	// Subject is the run that the decision is about.
	Subject instance.ID
	// Duration is the time that a Suspected or SuspectedByPeer run has to
	// refute the suspicion, or how long a Paused process stood still. It is
	// zero for the other kinds.
	Duration time.Duration
}

// DecisionKind is the kind of a decision. Its texts are logged.
type DecisionKind int

// Kinds of decisions.
const (
	// Joined means that a run became a member.
	Joined DecisionKind = iota
	// Suspected means that this instance couldn't reach a run.
	Suspected
	// SuspectedByPeer means that another instance couldn't reach a run.
	SuspectedByPeer
	// Refuted means that a suspected run proved that it is alive.
	Refuted
	// Died means that a suspicion wasn't refuted in time.
	Died
	// Departed means that a run announced its end.
	Departed
	// Replaced means that a later run at the same address took this run's
	// place.
	Replaced
	// Paused means that this process itself stood still.
	Paused
)

// String returns the kind in lower case, or "unknown" for a value without a
// name.
func (k DecisionKind) String() string {
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
	if k < 0 || int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

func (Send) effect()           {}
func (MembersChanged) effect() {}
func (NoticeReceived) effect() {}
func (Superseded) effect()     {}
func (Decided) effect()        {}
