package membership

import "dandelionmux/pkg/instance"

// Event is an input of State: Tick, ListRead, Received, ConnectionFailed,
// NoticeChanged, Leave or Stop.
type Event interface{ event() }

// Tick reports that the time that State.Next returned has come.
type Tick struct{}

// ListRead contains the platform's instance list. The list may show instances
// that have ended and lack new ones, so its addresses are only tried.
type ListRead struct {
	Instances []instance.Address
}

// Received contains a message from a peer. From is the run at the other end of
// the connection.
type Received struct {
	From    instance.ID
	Message Message
}

// ConnectionFailed reports that the connection to a peer failed. The peer is
// probed at once, so that a killed process is detected sooner.
type ConnectionFailed struct {
	Address instance.Address
}

// NoticeChanged sets the notice that all messages carry from now on.
type NoticeChanged struct {
	Notice Notice
}

// Leave reports that this instance began a graceful stop. It remains a member,
// marked as leaving, until Stop.
type Leave struct{}

// Stop reports that this instance ends now. State sends its last messages and
// ignores all later events.
type Stop struct{}

func (Tick) event()             {}
func (ListRead) event()         {}
func (Received) event()         {}
func (ConnectionFailed) event() {}
func (NoticeChanged) event()    {}
func (Leave) event()            {}
func (Stop) event()             {}
