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

// SnapshotSource gives the newest snapshot. It is safe for concurrent use.
type SnapshotSource interface {
	Current() *Snapshot
}

// Grant is the right to send one request within an organisation's rate.
type Grant interface {
	// Valid tells whether the right could be spent now. A request that waited
	// long for a target asks for another if it couldn't.
	Valid() bool
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

// ClaimResult is how a claimed request ended.
type ClaimResult struct {
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
	End(ClaimResult)
}

// Claims makes requests with an Idempotency-Key run at most once.
type Claims interface {
	// Claim returns the right to run, or a *Refusal as error.
	Claim(ctx context.Context, key ClaimKey) (Claim, error)
}

// AttemptResult is how an attempt ended, as the target's health sees it.
type AttemptResult struct {
	Outcome target.Outcome
	// Latency is from the attempt's begin to the end of its answer.
	Latency time.Duration
	// Misdirected is set if another target answered at the address.
	Misdirected bool
	// Draining is set if the target said that it is leaving.
	Draining bool
}

// Slot is a place for one attempt at a target.
type Slot interface {
	// Target is where the attempt goes.
	Target() document.Target
	// OverdueAfter is how long a repeatable request waits here before it is tried
	// elsewhere; zero leaves it to the handler.
	OverdueAfter() time.Duration
	// Release ends the attempt. It is called once.
	Release(AttemptResult)
}

// SlotRequest is what a request asks of Dispatch.
type SlotRequest struct {
	Organisation string
	Route        *document.Route
	Service      string
	// Cost is the request's weight in fair queueing, in units.
	Cost int
	// Repeatable requests may gather evidence about a suspected target.
	Repeatable bool
	// TriedTargets names targets that were tried already.
	TriedTargets []string
	// Deadline is when the request must have ended.
	Deadline time.Time
}

// Dispatcher chooses targets and lets requests wait for them in fair order.
type Dispatcher interface {
	// Acquire returns a slot, or a *Refusal as error.
	Acquire(ctx context.Context, want SlotRequest) (Slot, error)
	// Retry reports whether a failed attempt may be followed by another, and
	// pays for it from the service's budget.
	Retry(ctx context.Context, service string, failed retry.Attempt) bool
}

// RequestIdentity is what makes two requests the same.
type RequestIdentity struct {
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
	// Deadline is when a run must have ended; zero if only its deadline counts.
	Deadline() time.Time
	// Release ends the run. It is called once.
	Release(RunResult)
}

// RunResult is how a permitted run ended.
type RunResult struct {
	// CrashedTarget is the name of the target whose connection died while it ran
	// the request; empty if none did.
	CrashedTarget string
	// Answered is set if a whole answer came.
	Answered bool
}

// Quarantine keeps requests away that crash targets.
type Quarantine interface {
	// Acquire returns a permit if the request may run now, or a *Refusal as
	// error.
	Acquire(ctx context.Context, identity RequestIdentity) (Permit, error)
}

// Dependencies are what a Handler needs.
type Dependencies struct {
	Snapshots  SnapshotSource
	Admission  Admission
	Claims     Claims
	Dispatch   Dispatcher
	Quarantine Quarantine
}
