package quota

import (
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// Event is an input of a Coordinator or a Holder.
type Event interface{ event() }

// Tick says that the time of Next has come, for a Coordinator or a Holder.
type Tick struct{}

// Received delivers a message from a peer. A Coordinator handles all messages
// except Answers for the Holder of its own instance. A Holder handles Answers
// whose field Holder is empty or its own instance. See ForHolder.
type Received struct {
	From    instance.ID
	Message Message
}

// BorrowedChanged gives a Coordinator the shards that one share now lends to this
// instance.
type BorrowedChanged struct {
	Borrowed share.BorrowedShare
}

// LimitsChanged gives a Coordinator the limits of a new configuration.
type LimitsChanged struct {
	Limits Limits
}

// Leave starts a Coordinator's graceful stop: it hands its buckets over and
// then returns Left. Until then the instance must not return the shares that it
// borrowed.
type Leave struct {
	// Successor returns the next in rank for a shard, or "" if there is none.
	Successor func(share.Shard) instance.Address
}

// MembersChanged gives a Holder the instances that this one takes to be alive.
type MembersChanged struct {
	Members []instance.Info
}

// Acquire asks a Holder for units because the Allowance has too few. Admitted
// or Refused answers it.
type Acquire struct {
	// Request is the caller's number for the request, unique among those that
	// wait.
	Request      uint64
	Organisation string
	// Units is the cost of the request, at least one.
	Units int
	// Deadline is when the request is refused at the latest; zero means no
	// deadline.
	Deadline time.Duration
}

// Cancel withdraws an Acquire, for example because the caller went away.
type Cancel struct {
	Request uint64
}

// Low tells a Holder that Take returned TakenLow for an organisation.
type Low struct {
	Organisation string
}

// Settled tells a Holder that a token was spent or returned. It must be sent if
// PromptReport returns true for the token.
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

// Admitted answers an Acquire. The token must be spent just before the first
// byte of the request goes to a target.
type Admitted struct {
	Request uint64
	Token   Token
}

// Refused answers an Acquire: the request has not run.
type Refused struct {
	Request uint64
	Reason  Reason
	// RetryAfter is the time after which another attempt may succeed.
	RetryAfter time.Duration
}

// Left says that a leaving coordinator has nothing more to hand over.
type Left struct{}

func (Send) effect()     {}
func (Admitted) effect() {}
func (Refused) effect()  {}
func (Left) effect()     {}

// ForHolder reports whether a message that arrived at self is for the Holder
// there, and not for the Coordinator.
func ForHolder(m Message, self instance.ID) bool {
	a, ok := m.(Answer)
	return ok && (a.Holder == instance.ID{} || a.Holder == self)
}
