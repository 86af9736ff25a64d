package revision

import (
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

// Effect is an output of State: Send, StoreCall, StoreCancel, Apply,
// NoticeChanged or Decided.
type Effect interface{ effect() }

// Send asks the caller to send a message to another instance. The message may be
// lost, delayed or duplicated.
type Send struct {
	To      instance.Address
	Message Message
}

// StoreCall asks the caller to make a call to the store, and to pass the result to
// State as a StoreAnswer of the same number.
type StoreCall struct {
	Number uint64
	Call   store.Call
}

// StoreCancel says that the answer to the StoreCall of this number isn't needed any
// more.
type StoreCancel struct {
	Number uint64
}

// Apply asks the caller to put a revision in force, and to answer with Applied or
// Rejected. There is at most one unanswered Apply, and each has a higher number than
// the one before.
type Apply struct {
	Head Head
	// Parts holds the contents of the parts by digest, all verified. The caller must
	// not modify them.
	Parts map[Digest][]byte
}

// NoticeChanged gives the notice that all messages of this instance must carry from
// now on.
type NoticeChanged struct {
	Notice Notice
}

// Decided reports a decision or an observation for the caller to log.
type Decided struct {
	Kind   DecisionKind
	Notice Notice
	// From is the peer concerned; empty for the store.
	From instance.Address
	// Reason gives details. It is empty for kinds other than Unfit, Lower, Forked,
	// Corrupt and Abandoned.
	Reason string
}

// DecisionKind is the kind of a decision. Its text is logged.
type DecisionKind int

// Values of DecisionKind.
const (
	// Learned means that a newer revision became known.
	Learned DecisionKind = iota
	// Complete means that this instance holds the head and all parts of a revision.
	Complete
	// InForce means that the caller applied the revision.
	InForce
	// Unfit means that the caller refused to apply the revision.
	Unfit
	// Lower means that the store returned a lower revision number than this instance
	// holds, or no head. Such a revision is never applied.
	Lower
	// Forked means that two different contents were seen under the same number. The
	// second is never applied.
	Forked
	// Corrupt means that content didn't match its digest or was malformed.
	Corrupt
	// Abandoned means that this instance gave up downloading the revision; Reason says
	// why.
	Abandoned
	// Watching means that this instance starts to watch the store.
	Watching
	// Unwatching means that this instance stops watching the store and leaves that to
	// others.
	Unwatching
	// LastResort means that this instance, which doesn't watch the store, reads it
	// because no peer helped in time.
	LastResort
)

// String returns the name of the kind in lower case, or "unknown".
func (k DecisionKind) String() string {
	names := [...]string{
		Learned:    "learned",
		Complete:   "complete",
		InForce:    "in-force",
		Unfit:      "unfit",
		Lower:      "lower",
		Forked:     "forked",
		Corrupt:    "corrupt",
		Abandoned:  "abandoned",
		Watching:   "watching",
		Unwatching: "unwatching",
		LastResort: "last-resort",
	}
	if k < 0 || int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

func (Send) effect()          {}
func (StoreCall) effect()     {}
func (StoreCancel) effect()   {}
func (Apply) effect()         {}
func (NoticeChanged) effect() {}
func (Decided) effect()       {}
