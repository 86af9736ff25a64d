package entry

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dandelionmux/internal/ingress"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/memory"
)

// exchange is the state of one request and its answer.
type exchange struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	id      string
	began   time.Time
	// ahead is the number of earlier requests of the connection that weren't answered when
	// this one started.
	ahead    int
	snapshot *Snapshot

	// out is the request as it is sent to targets, without its body.
	out          *http.Request
	route        *document.Route
	service      string
	organisation string
	keyDigest    document.KeyDigest
	body         requestBody
	deadline     time.Time
	repeatable   bool

	// grantMu guards grant and grantSpent while attempts run beside each other.
	grantMu sync.Mutex
	grant   Grant
	claim   Claim
	permit  Permit

	// sentAttempts counts the failed attempts that were sent. Those that didn't reach
	// their target don't count; unreached is set if there were any. If another instance sent
	// the request here, the attempts that are not its share count too.
	sentAttempts int
	unreached    bool
	// triedTargets are the names of the targets of all attempts so far, and sentTargets
	// those of the attempts that sentAttempts counts.
	triedTargets []string
	sentTargets  []string
	// counted is set once the request counts for the retry budget.
	counted bool
	// relayed is set if another instance sent the request here.
	relayed *relayedRequest
	// leavingTarget is the target that answered, if it has announced that it is leaving.
	leavingTarget string
	// relays counts the attempts through other instances, and triedInstances are these.
	relays         int
	triedInstances []instance.Address
	// grantSpent is set once the grant has been spent.
	grantSpent bool
	// mayHaveRun is set unless it is certain that no target ran the request.
	mayHaveRun bool
	// answered is set once an attempt gave a usable answer that is no server error. It
	// stays unset if a fallback is relayed.
	answered bool
	// headSent is set once the answer's header was written to the caller.
	headSent bool
	// answering is set once there is an answer for the caller.
	answering atomic.Bool
	// heldMu guards held, the room taken by answers while attempts run beside each other, and
	// ended, which is set once the request has ended.
	heldMu sync.Mutex
	held   []*memory.Holding
	ended  bool
	// linksLost is set once an attempt ended because this instance has lost its links.
	linksLost atomic.Bool
}

// serve performs all steps of the request. Its error wraps the *Refusal that the
// caller gets.
func (x *exchange) serve() error {
	if err := x.findRoute(); err != nil {
		return err
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	ctx, cancel := x.context()
	defer cancel()
	held := x.handler.memory.Open(x.organisation)
	defer held.Close()
	defer x.closeAnswers()
	if err := x.readBody(held); err != nil {
		return err
	}
	if err := x.admit(ctx); err != nil {
		return err
	}
	defer x.returnGrant()
	return x.runAdmitted(ctx)
}

// openAnswer returns what is held for an answer until the request ends. If it has ended, there
// is no room for one.
func (x *exchange) openAnswer() *memory.Holding {
	held := x.handler.memory.Open(x.organisation)
	x.heldMu.Lock()
	defer x.heldMu.Unlock()
	if x.ended {
		held.Close()
		return held
	}
	x.held = append(x.held, held)
	return held
}

// closeAnswers releases what is held for the request's answers. An attempt that goes on gets no
// more.
func (x *exchange) closeAnswers() {
	x.heldMu.Lock()
	defer x.heldMu.Unlock()
	x.ended = true
	for _, held := range x.held {
		held.Close()
	}
}

// runAdmitted runs an admitted request with a permit of the quarantine and, if it
// needs one, a claim.
func (x *exchange) runAdmitted(ctx context.Context) error {
	if err := x.acquirePermit(ctx); err != nil {
		return err
	}
	defer func() { x.releasePermit("") }()
	if err := x.takeClaim(ctx); err != nil {
		return err
	}
	defer func() { x.endClaim(0) }()
	a, err := x.run(ctx)
	if err != nil {
		return x.refusalAfterAttempts(err)
	}
	return x.relay(a)
}

// findRoute checks that the instance is ready and finds the request's route.
func (x *exchange) findRoute() error {
	s := x.snapshot
	if !s.Ready() {
		return &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "not-ready",
			RetryAfter: time.Second,
			Elsewhere:  true,
		}
	}
	if x.relayed != nil && s.Index.Revision() < x.relayed.revision {
		return &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "older-configuration",
			RetryAfter: time.Second,
			Elsewhere:  true,
		}
	}
	r := x.request
	selection := selectRoute(s.Index, r)
	if selection.Refused != nil {
		x.logAmbiguousPath(selection)
		return &Refusal{
			Status: http.StatusNotFound,
			Reason: "ambiguous-path",
		}
	}
	route := selection.Route
	if route == nil {
		return &Refusal{
			Status: http.StatusNotFound,
			Reason: "no-route",
		}
	}
	x.route = route
	x.service = route.PickService(rand.Float64())
	x.repeatable = route.MayRepeat(r.Method)
	return nil
}

// authenticate finds the organisation of the caller's key and removes keys from
// the request that targets get. They are removed from the places of all routes,
// because callers may send them in the wrong place.
func (x *exchange) authenticate() error {
	x.out = forwardableRequest(x.request)
	key, present := takeKey(x.out, x.route.Key)
	for _, l := range x.snapshot.KeyLocations {
		takeKey(x.out, l)
	}
	takeKey(x.out, document.KeyLocation{})
	if x.route.Open {
		return nil
	}
	refusal := &Refusal{
		Status: http.StatusUnauthorized,
		Reason: "no-key",
	}
	if !present {
		return refusal
	}
	x.keyDigest = sha256.Sum256([]byte(key))
	organisation, ok := x.snapshot.Index.Organisation(x.keyDigest)
	if !ok {
		refusal.Reason = "unknown-key"
		return refusal
	}
	x.organisation = organisation
	x.out.Header.Set(x.handler.dialect.OrganisationHeader, organisation)
	return nil
}

// context returns the request's context. Its deadline is the smaller one of the
// route's timeout and the caller's.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if asked, ok := x.callerTimeout(); ok && asked < timeout {
		timeout = asked
	}
	x.deadline = x.began.Add(timeout)
	if s := x.handler.deps.Snapshots.Current(); !s.StopBy.IsZero() && s.StopBy.Before(x.deadline) {
		x.deadline = s.StopBy
	}
	parent := x.request.Context()
	if x.needsClaim() {
		// A claimed request isn't cancelled when its caller disconnects, so that
		// the caller can learn how it ended by resending it.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(context.WithValue(parent, requestIDKey{}, x.id), x.deadline)
	ignore := context.AfterFunc(x.handler.givenUp, func() {
		if !x.answering.Load() {
			cancel()
		}
	})
	return ctx, func() {
		ignore()
		cancel()
	}
}

// needsClaim reports whether the request must be claimed before it runs: it has an
// Idempotency-Key and may not be repeated otherwise.
func (x *exchange) needsClaim() bool {
	return x.handler.deps.Claims != nil && !x.repeatable && x.relayed == nil && x.request.Header.Get("Idempotency-Key") != ""
}

// admit takes the request's cost from its organisation's rate.
func (x *exchange) admit(ctx context.Context) error {
	if x.route.Open || x.relayed != nil {
		return nil
	}
	grant, err := x.handler.deps.Admission.Admit(ctx, x.organisation, x.route.CostUnits())
	if err != nil {
		return err
	}
	x.grant = grant
	return nil
}

// returnGrant gives the grant back if it wasn't spent.
func (x *exchange) returnGrant() {
	x.grantMu.Lock()
	defer x.grantMu.Unlock()
	if x.grant != nil && !x.grantSpent {
		x.grant.Return()
	}
}

// acquirePermit asks the quarantine whether the request may run.
func (x *exchange) acquirePermit(ctx context.Context) error {
	permit, err := x.handler.deps.Quarantine.Acquire(ctx, RequestIdentity{
		Organisation: x.organisation,
		Route:        x.route.Name,
		Method:       x.request.Method,
		Path:         escapedURI(x.out.URL),
		BodyDigest:   x.body.digest,
		Deadline:     x.deadline,
	})
	if err != nil {
		return err
	}
	x.permit = permit
	return nil
}

// releasePermit releases the permit, if there is one. The argument is the name of
// the target that crashed, or empty.
func (x *exchange) releasePermit(crashedTarget string) {
	if x.permit == nil {
		return
	}
	x.permit.Release(RunResult{
		CrashedTarget: crashedTarget,
		Answered:      x.answered && crashedTarget == "",
	})
	x.permit = nil
}

// takeClaim claims the request if it needs a claim.
func (x *exchange) takeClaim(ctx context.Context) error {
	if !x.needsClaim() {
		return nil
	}
	claim, err := x.handler.deps.Claims.Claim(ctx, ClaimKey{
		Organisation: x.organisation,
		Key:          x.request.Header.Get("Idempotency-Key"),
	})
	if err != nil {
		return err
	}
	x.claim = claim
	return nil
}

// endClaim ends the claim, if there is one. A status of zero means that there was
// no complete answer.
func (x *exchange) endClaim(status int) {
	if x.claim == nil {
		return
	}
	x.claim.End(ClaimResult{
		MayHaveRun: x.mayHaveRun,
		Status:     status,
	})
	x.claim = nil
}

// refuse ends the request with a refusal. If a target's answer has already been
// sent in part, refuse aborts the caller's connection instead, so that the answer
// can't be taken for a complete one.
func (x *exchange) refuse(r *Refusal) {
	madeAt := time.Now()
	if !x.headSent {
		ingress.AwaitTurn(x.writer)
	}
	x.countRefusal(r)
	x.logEnd("refused", r.Reason, r.statusFor(x.handler.dialect))
	if x.headSent {
		panic(http.ErrAbortHandler)
	}
	x.addRelayResult(r.Elsewhere && !r.MayHaveRun)
	r.after(time.Since(madeAt)).write(x.writer, x.handler.dialect)
}

// callerTimeout returns the timeout that the caller set, and whether it set a
// valid one.
func (x *exchange) callerTimeout() (time.Duration, bool) {
	text := x.request.Header.Get(x.handler.dialect.TimeoutHeader)
	if text == "" {
		return 0, false
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
