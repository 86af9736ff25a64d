package share

import (
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

// Event is an input of a State: Tick, Received, StoreAnswer, MembersChanged,
// InstancesListed, DeclaredDead or Leave.
type Event interface{ event() }

// Tick says that the time which Next gave has come.
type Tick struct{}

// Received is a message from a peer.
type Received struct {
	From    instance.ID
	Message Message
}

// StoreAnswer is the outcome of a StoreCall.
type StoreAnswer struct {
	Number uint64
	Answer store.Answer
	// Err wraps store.ErrUnavailable or store.ErrOutcomeUnknown.
	Err error
}

// MembersChanged gives the instances believed alive, from heartbeats.
type MembersChanged struct {
	Members []instance.Info
}

// InstancesListed gives the platform's instance list, each time it was read,
// also when it is the same again. Unlike the members it serves as proof: an
// instance that runs is on it, but for the list's stated lag.
type InstancesListed struct {
	Instances []instance.Info
}

// DeclaredDead is an operator's word that nothing runs at the address any more.
type DeclaredDead struct {
	Address instance.Address
}

// Leave begins a graceful stop: everything borrowed is returned, and the shares
// held are handed over.
type Leave struct{}

func (Tick) event()            {}
func (Received) event()        {}
func (StoreAnswer) event()     {}
func (MembersChanged) event()  {}
func (InstancesListed) event() {}
func (DeclaredDead) event()    {}
func (Leave) event()           {}

// Effect is an output of a State: Send, StoreCall, BorrowedChanged or Decision.
type Effect interface{ effect() }

// Send asks for a message to be sent to a peer.
type Send struct {
	To      instance.Address
	Message Message
}

// StoreCall asks for a call to the store.
type StoreCall struct {
	Number uint64
	Call   store.Call
}

// BorrowedChanged tells the coordinator what it now has from one share: at each
// renewal, change and end.
type BorrowedChanged struct {
	Borrowed Borrowed
}

// Decision is a placement decision, for the log.
type Decision struct {
	Action Action
	Share  Number
	// Sequence is the share's after the decision.
	Sequence uint64
	// Peer is the other instance concerned, if any.
	Peer instance.Address
	// Shards is how many shards the decision moves, if it moves shards.
	Shards int
}

// Action is what a Decision decides.
type Action string

// The actions.
const (
	Claimed    Action = "claimed"
	Reclaimed  Action = "reclaimed"
	Renewed    Action = "renewed"
	Voided     Action = "voided"
	Dropped    Action = "dropped"
	HandedOver Action = "handed over"
	TakenOver  Action = "taken over"
	LentShards Action = "lent shards"
)

func (Send) effect()            {}
func (StoreCall) effect()       {}
func (BorrowedChanged) effect() {}
func (Decision) effect()        {}
