package membership

import "dandelionmux/pkg/instance"

// Event is an input of State: Tick, ListRead, Received, ConnectionFailed,
// NoticeChanged, Leave or Stop.
type Event interface{ event() }

// Tick says that the time State.Next asked for has come.
type Tick struct{}

// ListRead is a reading of the platform's instance list. It may show instances
// that are gone and miss new ones, so it only says whom to try.
type ListRead struct {
	Instances []instance.Address
}

// Received is a message from a peer. From is the run that the connection
// belongs to.
type Received struct {
	From    instance.ID
	Message Message
}

// ConnectionFailed says that the connection to a peer failed. The peer is probed at
// once, which finds a killed process sooner.
type ConnectionFailed struct {
	Address instance.Address
}

// NoticeChanged gives the notice that all messages carry from now on.
type NoticeChanged struct {
	Notice Notice
}

// Leave says that this instance began a graceful stop. It stays a member,
// marked as leaving, until Stop.
type Leave struct{}

// Stop says that this instance ends now. State sends its last messages and
// does nothing more.
type Stop struct{}

func (Tick) event()             {}
func (ListRead) event()         {}
func (Received) event()         {}
func (ConnectionFailed) event() {}
func (NoticeChanged) event()    {}
func (Leave) event()            {}
func (Stop) event()             {}
