package entry

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"dandelionmux/internal/forward"
)

// Limits of a Handler.
const (
	// DefaultTimeout bounds requests on routes without a timeout.
	DefaultTimeout = 30 * time.Second
	// DefaultMaxBodyBytes bounds a request's body where the policy does not.
	DefaultMaxBodyBytes = 1 << 20
	// DefaultMaxRequests bounds the requests in progress.
	DefaultMaxRequests = 4096
	// MaxBufferedBytes bounds all request bodies that are held together.
	MaxBufferedBytes = 256 << 20
	// writeSlack is how long after a request's deadline the last bytes of its
	// answer may take to a slow caller.
	writeSlack = 30 * time.Second
)

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	deps         Dependencies
	client       *forward.Client
	dialect      Dialect
	logger       *slog.Logger
	logDecisions bool
	maxRequests  int64
	registry     metrics.Registry
	meters       *meters

	running       atomic.Int64
	bufferedBytes atomic.Int64
	// idPrefix and sequence make attempt ids that no other run makes.
	idPrefix string
	sequence atomic.Uint64
}

// Option changes a Handler under construction.
type Option func(*Handler)

// WithLogger sets where decisions are logged.
func WithLogger(l *slog.Logger) Option {
	return func(h *Handler) { h.logger = l }
}

// WithDecisionLogging turns the line for each routing decision on or off.
func WithDecisionLogging(on bool) Option {
	return func(h *Handler) { h.logDecisions = on }
}

// WithMaximumRequests bounds the requests in progress.
func WithMaximumRequests(n int) Option {
	return func(h *Handler) { h.maxRequests = int64(n) }
}

// WithClient sets the client that sends attempts to targets.
func WithClient(c *forward.Client) Option {
	return func(h *Handler) { h.client = c }
}

// WithMetrics sets the registry of the counters.
func WithMetrics(r metrics.Registry) Option {
	return func(h *Handler) { h.registry = r }
}

// New returns a Handler on the given ports.
func New(ports Dependencies, options ...Option) *Handler {
	h := &Handler{
		deps:         ports,
		logger:       slog.New(slog.DiscardHandler),
		dialect:      DefaultDialect(),
		logDecisions: true,
		maxRequests:  DefaultMaxRequests,
		registry:     metrics.NewRegistry(),
		idPrefix:     strconv.FormatUint(rand.Uint64(), 36),
	}
	for _, o := range options {
		o(h)
	}
	h.meters = newMeters(h.registry)
	if h.client == nil {
		h.client = forward.New()
	}
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	running := h.running.Add(1)
	defer h.running.Add(-1)
	h.meters.running.Update(running)
	x := h.newExchange(w, r)
	if running > h.maxRequests {
		x.refuse(&Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "instance-full",
			RetryAfter: time.Second,
		})
		return
	}
	if err := x.serve(); err != nil {
		x.refuse(asRefusal(err))
	}
}

// newExchange makes the exchange of one request.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{
		handler:  h,
		writer:   w,
		request:  r,
		id:       h.requestID(r),
		began:    time.Now(),
		snapshot: h.deps.Snapshots.Current(),
	}
	if x.snapshot.Leaving {
		w.Header().Set("Connection", "close")
	}
	return x
}

// requestID names a request: with the caller's own id where the dialect has
// one, else with a fresh one.
func (h *Handler) requestID(r *http.Request) string {
	if h.dialect.ForwardCallerIDs {
		return r.Header.Get(h.dialect.RequestIDHeader)
	}
	return h.idPrefix + "-" + strconv.FormatUint(h.sequence.Add(1), 36)
}

// asRefusal turns any error of a step into a refusal. What is not known to
// have run nothing may have run.
func asRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{
		Status:     http.StatusBadGateway,
		Reason:     "internal",
		MayHaveRun: true,
		RetryAfter: time.Second,
	}
}
