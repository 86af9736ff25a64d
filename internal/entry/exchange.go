package entry

import (
	"context"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/document"
)

// exchange is one request on its way through the steps.
type exchange struct {
	handler  *Handler
	writer   http.ResponseWriter
	request  *http.Request
	id       string
	began    time.Time
	snapshot *Snapshot

	// out is the request as targets get it, without its body.
	out          *http.Request
	route        *document.Route
	service      string
	organisation string
	keyDigest    document.KeyDigest
	body         []byte
	deadline     time.Time
	repeatable   bool

	grant  Grant
	claim  Claim
	permit Permit

	// sentAttempts counts the attempts that may have reached a target.
	sentAttempts int
	// retryGranted is set once a retry was granted for the attempt under way.
	retryGranted atomic.Bool
	// triedTargets names the targets of earlier attempts.
	triedTargets []string
	// grantSpent is set once the grant was grantSpent.
	grantSpent bool
	// mayHaveRun is set unless it is certain that no attempt mayHaveRun.
	mayHaveRun bool
	// answered is set once a whole answer came, or the answer was passed on.
	answered bool
	// headSent is set once the answer's head went to the caller.
	headSent bool
}

// serve takes the request through all steps. The error is a *Refusal for the
// caller.
func (x *exchange) serve() error {
	if err := x.findRoute(); err != nil {
		return err
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	ctx, cancel := x.context()
	defer cancel()
	if err := x.readBody(); err != nil {
		return err
	}
	defer x.releaseBody()
	if err := x.admit(ctx); err != nil {
		return err
	}
	defer x.returnGrant()
	return x.runAdmitted(ctx)
}

// runAdmitted runs an admitted request under its claim and its strikes.
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
		return x.withEarlierAttempts(err)
	}
	return x.relay(a)
}

// findRoute checks that the instance may admit and finds the route.
func (x *exchange) findRoute() error {
	s := x.snapshot
	if !s.Ready() {
		return &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "not-ready",
			RetryAfter: time.Second,
		}
	}
	r := x.request
	route := s.Index.Match(r.Host, r.URL.Path, r.Method)
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

// authenticate finds the organisation of the caller's key and takes the key
// out of what targets get.
func (x *exchange) authenticate() error {
	x.out = outgoing(x.request)
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

// context bounds the request by its route's timeout and the caller's.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if asked, ok := x.callerTimeout(); ok && asked < timeout {
		timeout = asked
	}
	x.deadline = x.began.Add(timeout)
	parent := x.request.Context()
	if x.needsClaim() {
		// A keyed request runs to its end, so that its caller can learn the end
		// by sending it again.
		parent = context.WithoutCancel(parent)
	}
	return context.WithDeadline(context.WithValue(parent, requestKey{}, x.id), x.deadline)
}

// needsClaim tells whether the request is claimed before it runs.
func (x *exchange) needsClaim() bool {
	return !x.repeatable && x.request.Header.Get("Idempotency-Key") != ""
}

// readBody holds the whole body, so that a slow caller takes no target's slot,
// and an attempt can be sent again where that is safe.
func (x *exchange) readBody() error {
	if x.request.Body == nil || x.request.Body == http.NoBody {
		return nil
	}
	control := http.NewResponseController(x.writer)
	_ = control.SetReadDeadline(x.deadline)
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	limit := x.snapshot.Index.Policy().MaximumBody
	if limit <= 0 {
		limit = DefaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, limit))
	if err != nil {
		return bodyRefusal(err)
	}
	if x.handler.bufferedBytes.Add(int64(len(body))) > MaxBufferedBytes {
		x.handler.bufferedBytes.Add(-int64(len(body)))
		return &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "instance-full",
			RetryAfter: time.Second,
		}
	}
	x.body = body
	return nil
}

func (x *exchange) releaseBody() {
	x.handler.bufferedBytes.Add(-int64(len(x.body)))
}

func bodyRefusal(err error) *Refusal {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &Refusal{
			Status: http.StatusRequestEntityTooLarge,
			Reason: "body-too-large",
		}
	}
	return &Refusal{
		Status: http.StatusBadRequest,
		Reason: "body-not-read",
	}
}

// admit takes the request's cost from its organisation's rate.
func (x *exchange) admit(ctx context.Context) error {
	if x.route.Open {
		return nil
	}
	grant, err := x.handler.deps.Admission.Admit(ctx, x.organisation, x.route.CostUnits())
	if err != nil {
		return err
	}
	x.grant = grant
	return nil
}

// returnGrant gives tokens back that were not used.
func (x *exchange) returnGrant() {
	if x.grant != nil && !x.grantSpent {
		x.grant.Return()
	}
}

// acquirePermit asks whether the request is one that crashes targets.
func (x *exchange) acquirePermit(ctx context.Context) error {
	permit, err := x.handler.deps.Quarantine.Acquire(ctx, RequestIdentity{
		Organisation: x.organisation,
		Route:        x.route.Name,
		Method:       x.request.Method,
		Path:         x.out.URL.RequestURI(),
		Body:         x.body,
		Deadline:     x.deadline,
	})
	if err != nil {
		return err
	}
	x.permit = permit
	return nil
}

// releasePermit ends the permit, with the target that crashed if one did.
func (x *exchange) releasePermit(crashed string) {
	if x.permit == nil {
		return
	}
	x.permit.Release(RunResult{
		CrashedTarget: crashed,
		Answered:      x.answered && crashed == "",
	})
	x.permit = nil
}

// takeClaim claims a keyed request.
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

// endClaim tells how a claimed request ended. A status of zero means that no
// whole answer came.
func (x *exchange) endClaim(status int) {
	if x.claim == nil {
		return
	}
	x.claim.End(ClaimResult{
		Ran:    x.mayHaveRun,
		Status: status,
	})
	x.claim = nil
}

// refuse ends the request without a target's answer. Once the answer has begun,
// the caller's connection is cut instead, so that the answer can't look whole.
func (x *exchange) refuse(r *Refusal) {
	x.handler.meters.refused(r)
	x.logEnd("refused", r.Reason, r.statusFor(x.handler.dialect))
	if x.headSent {
		panic(http.ErrAbortHandler)
	}
	r.write(x.writer, x.handler.dialect)
}

// callerTimeout is the bound that the caller set.
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
