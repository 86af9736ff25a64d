package quota

import (
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// Event is an input of a Coordinator or a Holder.
type Event interface{ event() }

// Tick says that the time of Next has come. Both machines take it.
type Tick struct{}

// Received is a message from a peer. A Coordinator takes all messages but
// Answers that aren't for a relay; a Holder takes Answers without Origin, or
// with itself as Origin. See ForHolder.
type Received struct {
	From    instance.ID
	Message Message
}

// BorrowedChanged says what a Coordinator now holds of one share.
type BorrowedChanged struct {
	Borrowed share.Borrowed
}

// LimitsChanged gives a Coordinator the limits of a new configuration.
type LimitsChanged struct {
	Limits Limits
}

// Leave begins a Coordinator's graceful stop: it hands its buckets over and
// then says Left. Until then the instance must not return what it borrowed.
type Leave struct {
	// Successor tells who is next in rank for a shard; empty if nobody is.
	Successor func(share.Shard) instance.Address
}

// MembersChanged gives a Holder the instances that it believes alive.
type MembersChanged struct {
	Members []instance.Info
}

// Acquire asks a Holder for units, because the Allowance had none.
type Acquire struct {
	// Request is the caller's name for it, unique while it lasts.
	Request      uint64
	Organisation string
	// Units is what the request costs, one at least.
	Units int
	// Deadline is when the request is of no use any more; zero for never.
	Deadline time.Duration
}

// Cancel withdraws an Acquire, for example because the caller went away.
type Cancel struct {
	Request uint64
}

// Low tells a Holder that an organisation's allowance runs low, as Take said.
type Low struct {
	Organisation string
}

// Settled tells a Holder that a token was spent or returned, if its Prompt
// asks for it.
type Settled struct {
	Token Token
}

func (Tick) event()            {}
func (Received) event()        {}
func (BorrowedChanged) event() {}
func (LimitsChanged) event()   {}
func (Leave) event()           {}
func (MembersChanged) event()  {}
func (Acquire) event()         {}
func (Cancel) event()          {}
func (Low) event()             {}
func (Settled) event()         {}

// Effect is an output of a Coordinator or a Holder.
type Effect interface{ effect() }

// Send sends a message to a peer, which may be the instance itself.
type Send struct {
	To      instance.Address
	Message Message
}

// Admitted answers an Acquire. The token is spent just before the request's first
// byte goes to a target.
type Admitted struct {
	Request uint64
	Token   Token
}

// Refused answers an Acquire: the request has not run.
type Refused struct {
	Request uint64
	Reason  Reason
	// RetryAfter is when another attempt may succeed.
	RetryAfter time.Duration
}

// Left says that a leaving coordinator has nothing more to hand over.
type Left struct{}

func (Send) effect()     {}
func (Admitted) effect() {}
func (Refused) effect()  {}
func (Left) effect()     {}

// ForHolder tells whether a message that arrived at self is for its Holder, not
// its Coordinator.
func ForHolder(m Message, self instance.ID) bool {
	a, ok := m.(Answer)
	return ok && (a.Origin == instance.ID{} || a.Origin == self)
}
