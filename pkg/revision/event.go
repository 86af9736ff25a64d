package revision

import (
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

// Event is an input of State: Tick, MembersChanged, NoticeReceived, Received,
// StoreAnswer, Contact, Applied or Rejected.
type Event interface{ event() }

// Tick says that the time returned by State.Next has come.
type Tick struct{}

// MembersChanged gives the members that are seen alive, this instance included.
type MembersChanged struct {
	Members []instance.Info
}

// NoticeReceived is a notice that another package's message carried.
type NoticeReceived struct {
	From   instance.Address
	Notice Notice
}

// Received is a message from another instance.
type Received struct {
	From    instance.ID
	Message Message
}

// StoreAnswer is the answer to the StoreCall of the same number.
type StoreAnswer struct {
	Number uint64
	Answer store.Answer
	// Err is nil if the call succeeded. Otherwise it wraps store.ErrUnavailable or
	// store.ErrOutcomeUnknown, and Answer is nil.
	Err error
}

// Contact says that this instance is in contact with the fleet now: the store answered
// a call, or the holders of more than half the shares answered a request, within the
// last term of the shares. State counts it as contact at the time of the event only, so
// trust that ended during a pause of the process doesn't come back without a new
// contact.
type Contact struct{}

// Applied says that the revision of the last Apply is in force on this instance.
type Applied struct {
	Number uint64
}

// Rejected says that the revision of the last Apply can't be put in force on this
// instance, now or later.
type Rejected struct {
	Number uint64
	Reason string
}

func (Tick) event()           {}
func (MembersChanged) event() {}
func (NoticeReceived) event() {}
func (Received) event()       {}
func (StoreAnswer) event()    {}
func (Contact) event()        {}
func (Applied) event()        {}
func (Rejected) event()       {}
