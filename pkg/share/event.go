package share

import (
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

// Event is an input of a State: Tick, Received, StoreAnswer, MembersChanged,
// ListRead, DeclaredDead or Leave.
type Event interface{ event() }

// Tick says that the time that Next returned has come.
type Tick struct{}

// Received is a message that arrived from a peer.
type Received struct {
	From    instance.ID
	Message Message
}

// StoreAnswer is the outcome of the StoreCall with the same number.
type StoreAnswer struct {
	Number uint64
	Answer store.Answer
	// Err wraps store.ErrUnavailable or store.ErrOutcomeUnknown, or is nil.
	Err error
}

// MembersChanged gives the instances that are considered alive, according to
// their heartbeats.
type MembersChanged struct {
	Members []instance.Info
}

// ListRead gives the platform's list of instances. It is sent each time
// that the list was read, also if nothing changed. Unlike the members, the list
// proves which instances are gone: every running instance is on it, once the
// list's stated lag has passed.
type ListRead struct {
	Instances []instance.Info
}

// DeclaredDead is an operator's statement that no instance runs at the address
// any more.
type DeclaredDead struct {
	Address instance.Address
}

// Leave starts a graceful stop: everything borrowed is returned, and the held
// shares are handed over.
type Leave struct{}

func (Tick) event()           {}
func (Received) event()       {}
func (StoreAnswer) event()    {}
func (MembersChanged) event() {}
func (ListRead) event()       {}
func (DeclaredDead) event()   {}
func (Leave) event()          {}

// Effect is an output of a State: Send, StoreCall, BorrowedChanged or Decision.
type Effect interface{ effect() }

// Send requests that a message is sent to a peer.
type Send struct {
	To      instance.Address
	Message Message
}

// StoreCall requests a call to the store. Its outcome is reported as a
// StoreAnswer with the same number.
type StoreCall struct {
	Number uint64
	Call   store.Call
}

// BorrowedChanged says what this instance, as a coordinator, has now borrowed of
// one share.
// It is sent at each renewal, change and end.
type BorrowedChanged struct {
	Borrowed BorrowedShare
}

// Decision is a placement decision, to be logged.
type Decision struct {
	Action Action
	Share  Number
	// Sequence is the share's Sequence after the decision.
	Sequence uint64
	// Peer is the other instance concerned, or empty.
	Peer instance.Address
	// Shards is the size of the borrower's new set of shards, for LentShards.
	Shards int
}

// Action is the kind of a Decision.
type Action string

// The kinds of decisions.
const (
	// Claimed means that this instance became the first holder of a share.
	Claimed Action = "claimed"
	// Reclaimed means that a share was taken whose holder is gone.
	Reclaimed Action = "reclaimed"
	// Renewed means that a held share was recorded under a new Sequence.
	Renewed Action = "renewed"
	// Voided means that a write succeeded too late, so that its Sequence is
	// void.
	Voided Action = "voided"
	// Dropped means that a held share was given up without handing it over, for
	// example because another instance has reclaimed it.
	Dropped Action = "dropped"
	// HandedOver means that a held share was passed to a peer.
	HandedOver Action = "handed over"
	// TakenOver means that a share was received from a peer.
	TakenOver Action = "taken over"
	// LentShards means that the set of shards lent to a peer changed.
	LentShards Action = "lent shards"
)

func (Send) effect()            {}
func (StoreCall) effect()       {}
func (BorrowedChanged) effect() {}
func (Decision) effect()        {}
