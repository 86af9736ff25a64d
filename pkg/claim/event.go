package claim

import (
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// Event is an input of Claims.
type Event interface{ event() }

// Tick tells Claims that the time of Next has come.
type Tick struct{}

// Received delivers a message from a peer, or from the instance itself.
type Received struct {
	From    instance.ID
	Message Message
}

// BorrowedChanged gives the shards of one share that this instance now holds.
type BorrowedChanged struct {
	Borrowed share.BorrowedShare
}

// MembersChanged gives the instances that this one takes to be alive.
type MembersChanged struct {
	Members []instance.Info
}

// FirstRun says that the fleet has never run before, for example because no
// share was ever held. So no claim can have been lost.
type FirstRun struct{}

// Acquire asks whether a request may run. Run, Duplicate or Refused answers it.
type Acquire struct {
	// Request is the caller's number for the request. It is never used again by
	// this run of the instance.
	Request uint64
	Key     Key
	// Deadline is when the request is refused at the latest; zero means no
	// deadline.
	Deadline time.Duration
}

// Done reports how a request ended after Run. NotRun says that the request
// didn't run after all and never will.
type Done struct {
	Request uint64
	Outcome Outcome
	NotRun  bool
}

// Cancel withdraws an Acquire.
type Cancel struct {
	Request uint64
}

// Leave starts a graceful stop. It must come after all requests are done.
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

// Duplicate says that another request has claimed the key, so this one must not
// run. Outcome is what is known of the other request.
type Duplicate struct {
	Request uint64
	Outcome Outcome
}

// Refused says that a request has not run and must not run now.
type Refused struct {
	Request    uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Left says that all records were handed over after Leave.
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
	// NoAuthority means that no authority could decide about the key in time.
	NoAuthority Reason = iota
	// TooManyClaims means that the authority stores as many claims as it may.
	TooManyClaims
	// TooFewInstances means that there are too few instances to store the
	// copies of a claim.
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
