package entry

import (
	"context"
	"time"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

// Snapshot is what the traffic path knows of the fleet. It is never changed.
type Snapshot struct {
	// Index is of the document in force; nil before there is one.
	Index *document.Index
	// KeyLocations are all places where some route takes a key.
	KeyLocations []document.KeyLocation
	// TrustedUntil is when the document can't be trusted any more, on the boot
	// clock, unless a newer snapshot comes before. A process that was paused or
	// suspended finds it past.
	TrustedUntil time.Duration
	// Leaving is set during a graceful stop.
	Leaving bool
}

// Ready reports whether the instance may admit requests now.
func (s *Snapshot) Ready() bool {
	return s.Index != nil && boot.Now() < s.TrustedUntil
}

// Snapshots gives the newest snapshot. It is safe for concurrent use.
type Snapshots interface {
	Current() *Snapshot
}

// Grant is the right to send one request within an organisation's rate.
type Grant interface {
	// Live tells whether the right could be spent now. A request that waited
	// long for a target asks for another if it couldn't.
	Live() bool
	// Spend uses the right, or returns a *Refusal if it has lapsed. It is
	// called just before the first byte goes out, once at most.
	Spend() error
	// Return gives the right back. It isn't called after Spend.
	Return()
}

// Admission decides whether a request is within its organisation's rate.
type Admission interface {
	// Admit returns a grant, or a *Refusal as error.
	Admit(ctx context.Context, organisation string, cost int) (Grant, error)
}

// ClaimKey names a request that callers may send again under the same
// Idempotency-Key.
type ClaimKey struct {
	Organisation string
	Key          string
}

// Ending is how a claimed request ended.
type Ending struct {
	// Ran is false only if nothing can have run.
	Ran bool
	// Status is the HTTP status of the target's whole answer; zero if it is
	// unknown how the request ended.
	Status int
}

// Claim is the exclusive right to run a keyed request.
type Claim interface {
	// Check returns an error once the right has lapsed.
	Check() error
	// End tells how the request ended. It is called once.
	End(Ending)
}

// Claims makes requests with an Idempotency-Key run at most once.
type Claims interface {
	// Claim returns the right to run, or a *Refusal as error.
	Claim(ctx context.Context, key ClaimKey) (Claim, error)
}

// Ended is how an attempt ended, as the target's health sees it.
type Ended struct {
	Outcome target.Outcome
	// Latency is from the attempt's begin to the end of its answer.
	Latency time.Duration
	// Elsewhere is set if another target answered at the address.
	Elsewhere bool
	// Draining is set if the target said that it is leaving.
	Draining bool
}

// Slot is a place for one attempt at a target.
type Slot interface {
	// Target is where the attempt goes.
	Target() document.Target
	// Patience is how long a repeatable request waits here before it is tried
	// elsewhere; zero leaves it to the handler.
	Patience() time.Duration
	// Done ends the attempt. It is called once.
	Done(Ended)
}

// Want is what a request asks of Dispatch.
type Want struct {
	Organisation string
	Route        *document.Route
	Service      string
	// Cost is the request's weight in fair queueing, in units.
	Cost int
	// Repeatable requests may gather evidence about a suspected target.
	Repeatable bool
	// Avoid names targets that were tried already.
	Avoid []string
	// Deadline is when the request must have ended.
	Deadline time.Time
}

// Dispatch chooses targets and lets requests wait for them in fair order.
type Dispatch interface {
	// Acquire returns a slot, or a *Refusal as error.
	Acquire(ctx context.Context, want Want) (Slot, error)
	// Retry reports whether a failed attempt may be followed by another, and
	// pays for it from the service's budget.
	Retry(ctx context.Context, service string, failed retry.Attempt) bool
}

// Identity is what makes two requests the same.
type Identity struct {
	Organisation string
	Route        string
	Method       string
	// Path includes the query.
	Path string
	Body []byte
	// Deadline is when the request must have ended.
	Deadline time.Time
}

// Permit is leave to run a request that may be one that crashes targets.
type Permit interface {
	// Until is when a run must have ended; zero if only its deadline counts.
	Until() time.Time
	// Leave ends the run. It is called once.
	Leave(Run)
}

// Run is how a permitted run ended.
type Run struct {
	// Crashed is the name of the target whose connection died while it ran
	// the request; empty if none did.
	Crashed string
	// Answered is set if a whole answer came.
	Answered bool
}

// Strikes keeps requests away that crash targets.
type Strikes interface {
	// Enter returns a permit if the request may run now, or a *Refusal as
	// error.
	Enter(ctx context.Context, identity Identity) (Permit, error)
}

// Ports are what a Handler needs.
type Ports struct {
	Snapshots Snapshots
	Admission Admission
	Claims    Claims
	Dispatch  Dispatch
	Strikes   Strikes
}
