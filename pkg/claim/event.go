package claim

import (
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// Event is an input of Claims.
type Event interface{ event() }

// Tick says that the time of Next has come.
type Tick struct{}

// Received is a message from a peer, or from the instance itself.
type Received struct {
	From    instance.ID
	Message Message
}

// BorrowedChanged says what is now held of one share.
type BorrowedChanged struct {
	Borrowed share.Borrowed
}

// MembersChanged gives the instances believed alive.
type MembersChanged struct {
	Members []instance.Info
}

// FirstRun says that the fleet has never run before, so nothing can have been
// lost: for example because no share was ever held.
type FirstRun struct{}

// Acquire asks whether a request may run.
type Acquire struct {
	// Request is the caller's number for it, never used again by this run of
	// the instance.
	Request uint64
	Key     Key
	// Deadline is when the request is of no use any more; zero for never.
	Deadline time.Duration
}

// Done says how a request ended that was let run. A request that didn't run
// after all, and never will, is told by NotRun.
type Done struct {
	Request uint64
	Outcome Outcome
	NotRun  bool
}

// Cancel withdraws an Acquire.
type Cancel struct {
	Request uint64
}

// Leave begins a graceful stop. All requests must be done.
type Leave struct{}

func (Tick) event()            {}
func (Received) event()        {}
func (BorrowedChanged) event() {}
func (MembersChanged) event()  {}
func (FirstRun) event()        {}
func (Acquire) event()         {}
func (Done) event()            {}
func (Cancel) event()          {}
func (Leave) event()           {}

// Effect is an output of Claims.
type Effect interface{ effect() }

// Send sends a message to a peer, which may be the instance itself.
type Send struct {
	To      instance.Address
	Message Message
}

// Run lets a request run, once.
type Run struct {
	Request uint64
}

// Duplicate says that another request has the key: this one must not run.
type Duplicate struct {
	Request uint64
	Outcome Outcome
}

// Refused says that a request must not run now. It hasn't.
type Refused struct {
	Request    uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Left says that all records were handed over.
type Left struct{}

func (Send) effect()      {}
func (Run) effect()       {}
func (Duplicate) effect() {}
func (Refused) effect()   {}
func (Left) effect()      {}

// Reason says why a request is refused.
type Reason int

// Values of Reason.
const (
	// NoAuthority means that nobody could vouch for the key in time.
	NoAuthority Reason = iota
	// TooManyClaims means that no more claims can be kept.
	TooManyClaims
	// TooFewInstances means that there are too few instances to keep a claim safely.
	TooFewInstances
)

// String returns the reason in lower case, for logs.
func (r Reason) String() string {
	switch r {
	case NoAuthority:
		return "no authority"
	case TooManyClaims:
		return "too many claims"
	case TooFewInstances:
		return "too few instances"
	}
	return "unknown"
}
