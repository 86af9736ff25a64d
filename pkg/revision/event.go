package revision

import (
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

// Event is an input of State: Tick, Members, Noticed, Received, StoreAnswer,
// Contact, Applied or Refused.
type Event interface{ event() }

// Tick says that the time State.Next asked for has come.
type Tick struct{}

// Members gives the members seen alive, this instance included.
type Members struct {
	Members []instance.Info
}

// Noticed is a notice that rode on another package's message.
type Noticed struct {
	From   instance.Address
	Notice Notice
}

// Received is a message from a peer.
type Received struct {
	From    instance.ID
	Message Message
}

// StoreAnswer answers the StoreCall of the same number.
type StoreAnswer struct {
	Number uint64
	Answer store.Answer
	// Err wraps store.ErrUnavailable or store.ErrOutcomeUnknown; Answer is nil then.
	Err error
}

// Contact says that this instance is in contact with the fleet now: it heard
// holders of more than half the shares within their term. It holds for this
// moment only, so that a process that stood still comes back without it.
type Contact struct{}

// Applied says that the revision of the last Apply is in force here.
type Applied struct {
	Number uint64
}

// Refused says that the revision of the last Apply can't be put in force
// here, now or later.
type Refused struct {
	Number uint64
	Reason string
}

func (Tick) event()        {}
func (Members) event()     {}
func (Noticed) event()     {}
func (Received) event()    {}
func (StoreAnswer) event() {}
func (Contact) event()     {}
func (Applied) event()     {}
func (Refused) event()     {}
