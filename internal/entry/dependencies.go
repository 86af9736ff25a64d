package entry

import (
	"context"
	"crypto/sha256"
	"time"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

// Snapshot is the configuration that requests are served by. It is immutable.
type Snapshot struct {
	// Index is the index of the document in force; nil before there is one.
	Index *document.Index
	// KeyLocations are the places where any route takes a caller's key.
	KeyLocations []document.KeyLocation
	// TrustedUntil is the time on the boot clock after which the document counts
	// as stale, unless a newer snapshot arrives before. The boot clock also runs
	// while the process is paused or the machine is suspended, so such a process
	// finds its document stale when it resumes.
	TrustedUntil time.Duration
	// Leaving is set during a graceful stop, at the end of which, at StopBy, the instance answers
	// no more. StopBy may be zero.
	Leaving bool
	StopBy  time.Time
}

// Ready reports whether the instance has a document that isn't stale, so that it
// may admit requests.
func (s *Snapshot) Ready() bool {
	return s.Index != nil && boot.Now() < s.TrustedUntil
}

// SnapshotSource gives the newest snapshot. It is safe for concurrent use.
type SnapshotSource interface {
	// Current returns the newest snapshot. It never returns nil.
	Current() *Snapshot
}

// Grant is the right to send one request within an organisation's rate.
type Grant interface {
	// Valid reports whether the grant could be spent now. A request whose grant
	// has lapsed while it waited for a target asks for another one.
	Valid() bool
	// Spend uses the grant, or returns a *Refusal if it has lapsed. It is called
	// at most once, just before the first byte is sent to a target.
	Spend() error
	// Return gives the unused grant back. It isn't called after Spend.
	Return()
}

// Admission decides whether a request is within its organisation's rate.
type Admission interface {
	// Admit returns a grant for the cost, in units, or a *Refusal as error.
	Admit(ctx context.Context, organisation string, cost int) (Grant, error)
}

// ClaimKey identifies a request that a caller may resend under the same
// Idempotency-Key.
type ClaimKey struct {
	Organisation string
	// Key is the value of the Idempotency-Key header.
	Key string
}

// ClaimResult tells how a claimed request ended.
type ClaimResult struct {
	// MayHaveRun is set unless it is certain that no target ran the request.
	MayHaveRun bool
	// Status is the HTTP status of the target's complete answer; zero if there
	// was no complete answer.
	Status int
}

// Claim is the exclusive right to run a request with an Idempotency-Key.
type Claim interface {
	// Check returns a *Refusal once the right has lapsed.
	Check() error
	// End releases the claim and records how the request ended. It is called
	// once.
	End(ClaimResult)
}

// Claims ensures that a request with an Idempotency-Key runs at most once.
type Claims interface {
	// Claim returns the right to run, or a *Refusal as error.
	Claim(ctx context.Context, key ClaimKey) (Claim, error)
}

// AttemptResult tells how an attempt ended, as evidence of the target's health.
type AttemptResult struct {
	Outcome target.Outcome
	// Latency is the time from the start of the attempt to the end of its
	// answer.
	Latency time.Duration
	// Reused is set if the attempt got no answer and its connection had served an
	// earlier attempt. Rested is then how long the connection had been idle.
	Reused bool
	Rested time.Duration
	// LostConnection is set if the connection to the target wasn't established, died, or
	// gave no answer in time. The instance's own network link may then be the cause.
	LostConnection bool
	// Misdirected is set if the answer came from another target at the same
	// address (status 421).
	Misdirected bool
	// Draining is set if the target announced that it is leaving.
	Draining bool
	// Limit is what the answer says about the requests that the target takes.
	Limit meter.TargetLimit
	// Rest is how long the target wants no requests from this instance; zero if it
	// didn't say so.
	Rest time.Duration
}

// Slot is a place for one attempt at a target.
type Slot interface {
	// Target returns the target of the attempt.
	Target() document.Target
	// OverdueAfter returns how long a repeatable request waits for this target's
	// answer before it is retried at another target. If it is zero, the handler
	// decides.
	OverdueAfter() time.Duration
	// OnUnresponsive has f called, once and in a goroutine of its own, if the answer is
	// overdue earlier because the target seems to have stopped answering.
	OnUnresponsive(f func())
	// MaySend reports whether the target still takes the attempt. It is called just
	// before the first byte is sent.
	MaySend() bool
	// Release gives the slot back and reports how the attempt ended. It is
	// called once.
	Release(AttemptResult)
}

// SlotRequest describes the slot that a request needs.
type SlotRequest struct {
	Organisation string
	Route        *document.Route
	Service      string
	// Cost is the request's weight in fair queueing, in units of the rate.
	Cost int
	// Repeatable is set if the request may run more than once. Such requests may
	// be sent to a suspected target to test it.
	Repeatable bool
	// TriedTargets are the names of the targets of earlier attempts, which are
	// to be avoided.
	TriedTargets []string
	// Counted is set if the request has been counted for the retry budget.
	Counted bool
	// Unreached is set if an earlier attempt didn't reach its target.
	Unreached bool
	// Beside is set if an earlier attempt is still in progress. Then only a target with room
	// is of use.
	Beside bool
	// Deadline is when the request must have ended.
	Deadline time.Time
	// Permit is the permit that the request runs with.
	Permit Permit
}

// Dispatcher chooses targets for requests. It may queue requests until a target
// has a free slot, and then serves organisations fairly.
type Dispatcher interface {
	// Acquire returns a slot, or a *Refusal as error.
	Acquire(ctx context.Context, request SlotRequest) (Slot, error)
	// Retry reports whether a failed attempt may be followed by another. If so,
	// it charges the service's retry budget.
	Retry(ctx context.Context, service string, failed retry.Attempt) bool
}

// RequestIdentity holds what the quarantine compares requests by, and the
// request's deadline.
type RequestIdentity struct {
	Organisation string
	Route        string
	Method       string
	// Path includes the query.
	Path string
	// BodyDigest returns the SHA-256 digest of the body.
	BodyDigest func() [sha256.Size]byte
	// Deadline is when the request must be answered. It isn't compared.
	Deadline time.Time
}

// Permit is the quarantine's permission to run a request.
type Permit interface {
	// Deadline returns when the run must have ended; zero if only the request's
	// own deadline applies.
	Deadline() time.Time
	// Suspect reports whether the request may have crashed a target before. It is then
	// sent on a new connection, so that a crash isn't taken for a dropped connection.
	Suspect() bool
	// Release ends the run and reports its result. It is called once.
	Release(RunResult)
}

// RunResult tells how a permitted run ended.
type RunResult struct {
	// CrashedTarget is the name of the target whose connection broke while it
	// may have been running the request; empty if none did.
	CrashedTarget string
	// Answered is set if a target gave a usable answer and none crashed. A server
	// error doesn't count, even if it is relayed to the caller: the target may have
	// failed before it ran the request.
	Answered bool
}

// Quarantine keeps requests that crash targets away from further targets.
type Quarantine interface {
	// Acquire returns a permit if the request may run now, or a *Refusal as
	// error.
	Acquire(ctx context.Context, identity RequestIdentity) (Permit, error)
}

// Relays chooses other instances, through which requests go while this one has no links to
// their targets.
type Relays interface {
	// Acquire returns the instance to which the next attempt is sent; nil if the attempt
	// goes to a target; or a *Refusal as error if no instance seems to reach the
	// targets.
	Acquire(ctx context.Context, request RelayRequest) (Relay, error)
}

// RelayRequest describes a request that may need another instance.
type RelayRequest struct {
	Service string
	Route   *document.Route
	// Relayed is set if another instance sent the request here. It is not sent on.
	Relayed bool
	// Tried are the instances through which earlier attempts went. Others are preferred.
	Tried []instance.Address
}

// Relay is a place for one attempt through another instance.
type Relay interface {
	// Instance returns the address of the other instance.
	Instance() instance.Address
	// OverdueAfter returns how long a repeatable request waits for the answer before it is
	// sent through another instance. If it is zero, the request waits to its deadline.
	OverdueAfter() time.Duration
	// Release ends the attempt. It is called once.
	Release(RelayResult)
}

// RelayResult tells how an attempt through another instance ended.
type RelayResult struct {
	Outcome RelayOutcome
	// LeavingTarget is the name of the target that answered, if it has announced in its
	// answer that it is leaving.
	LeavingTarget string
}

// RelayOutcome is the result of an attempt through another instance.
type RelayOutcome int

// Values of RelayOutcome.
const (
	// RelayAnswered is an answer of a target, or a refusal that another instance would
	// have given, too.
	RelayAnswered RelayOutcome = iota
	// RelayDeclined is a refusal to help now.
	RelayDeclined
	// RelayCutOff is the answer that the other instance has no links to the targets either.
	RelayCutOff
	// RelayFailed is a connection that wasn't established, or that died.
	RelayFailed
	// RelayAbandoned is an attempt that the caller or the deadline ended.
	RelayAbandoned
)

// Dependencies are the parts of the instance that a Handler uses.
type Dependencies struct {
	Snapshots SnapshotSource
	Admission Admission
	// Claims may be nil: then the header Idempotency-Key is forwarded and has no other meaning.
	Claims     Claims
	Dispatcher Dispatcher
	Quarantine Quarantine
	// Relays may be nil: then all requests go to targets directly.
	Relays Relays
}
