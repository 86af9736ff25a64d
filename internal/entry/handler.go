package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/forward"
	"dandelionmux/internal/ingress"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/keepalive"
	"dandelionmux/pkg/memory"
)

// Limits and defaults of a Handler.
const (
	// DefaultTimeout is the time limit of requests on routes without a timeout.
	DefaultTimeout = 30 * time.Second
	// DefaultMaxBodyBytes limits a request's body if the policy sets no limit.
	DefaultMaxBodyBytes = 1 << 20
	// DefaultMaxRequests limits the requests in progress.
	DefaultMaxRequests = 4096
	// DefaultMaxBytes limits what is held in memory for requests: bodies, also those that are
	// still coming in, and beginnings of answers.
	DefaultMaxBytes = 256 << 20
	// writeSlack is how long after a request's deadline its answer may still be
	// written to a slow caller.
	writeSlack = 30 * time.Second
)

// Handler is the http.Handler that serves callers. It is safe for concurrent use.
type Handler struct {
	deps         Dependencies
	client       *forward.Client
	dialect      Dialect
	logger       *slog.Logger
	logDecisions bool
	maxRequests  int64
	registry     metrics.Registry
	metrics      *requestMetrics

	running atomic.Int64
	// relayed is the number of requests of other instances among running.
	relayed atomic.Int64
	// memory counts bodies and beginnings of answers.
	memory *memory.Account
	// idPrefix is random and distinguishes the request ids of this process from
	// those of others; sequence numbers them.
	idPrefix string
	sequence atomic.Uint64

	// relayClient sends requests to other instances. relayRevision is the highest
	// revision of the document by which one of them has answered.
	relayClient   *forward.Client
	relayRevision atomic.Uint64

	// givenUp ends when the requests in progress are given up.
	givenUp context.Context
	giveUp  context.CancelFunc

	keepAliveMu sync.Mutex
	keepAlive   keepalive.Policy
}

// Option configures a Handler.
type Option func(*Handler)

// WithLogger sets the logger of decisions. By default nothing is logged.
func WithLogger(l *slog.Logger) Option {
	return func(h *Handler) { h.logger = l }
}

// WithDecisionLogging turns the log lines for each attempt and for the end of
// each request on or off. They are on by default.
func WithDecisionLogging(on bool) Option {
	return func(h *Handler) { h.logDecisions = on }
}

// WithMaxRequests limits the requests in progress. The default is
// DefaultMaxRequests.
func WithMaxRequests(n int) Option {
	return func(h *Handler) { h.maxRequests = int64(n) }
}

// WithMemory sets the account in which bodies and beginnings of answers are counted. By default it
// is a new one with a limit of DefaultMaxBytes.
func WithMemory(a *memory.Account) Option {
	return func(h *Handler) { h.memory = a }
}

// WithClient sets the client that sends attempts to targets.
func WithClient(c *forward.Client) Option {
	return func(h *Handler) { h.client = c }
}

// WithMetrics sets the registry of the handler's metrics.
func WithMetrics(r metrics.Registry) Option {
	return func(h *Handler) { h.registry = r }
}

// New returns a Handler that uses the given dependencies.
func New(deps Dependencies, options ...Option) *Handler {
	h := &Handler{
		deps:         deps,
		logger:       slog.New(slog.DiscardHandler),
		dialect:      DefaultDialect(),
		logDecisions: true,
		maxRequests:  DefaultMaxRequests,
		memory:       memory.NewAccount(DefaultMaxBytes),
		registry:     metrics.NewRegistry(),
		idPrefix:     strconv.FormatUint(rand.Uint64(), 36),
	}
	h.givenUp, h.giveUp = context.WithCancel(context.Background())
	for _, o := range options {
		o(h)
	}
	h.metrics = newRequestMetrics(h.registry)
	h.relayClient = forward.New(forward.WithDialTimeout(relayDialTimeout))
	if h.client == nil {
		h.client = forward.New()
	}
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	running := h.running.Add(1)
	defer h.running.Add(-1)
	h.metrics.running.Update(running)
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

// RefuseFull answers in place of a request for whose head there is no room.
func (h *Handler) RefuseFull(w http.ResponseWriter, r *http.Request) {
	h.newExchange(w, r).refuse(&Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "instance-full",
		RetryAfter: memoryRetryAfter,
	})
}

// GiveUp ends all requests that wait for an answer, now and from now on. Their callers are told
// whether a target may have run them. It is called shortly before the process ends, which would
// cut their connections.
func (h *Handler) GiveUp() { h.giveUp() }

// Independent implements ingress.Handler: requests that may be repeated may run beside
// others of their connection.
func (h *Handler) Independent(r *http.Request) bool {
	s := h.deps.Snapshots.Current()
	if s.Index == nil {
		return false
	}
	route := selectRoute(s.Index, r).Route
	return route != nil && route.MayRepeat(r.Method)
}

// selectRoute selects the route of a request.
func selectRoute(x *document.Index, r *http.Request) document.Selection {
	return x.Select(r.Host, receivedPath(r), r.Method)
}

// newExchange returns the exchange of a request that has just arrived.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{
		handler:  h,
		writer:   w,
		request:  r,
		id:       h.requestID(r),
		began:    time.Now(),
		snapshot: h.deps.Snapshots.Current(),
	}
	if arrival, ok := ingress.ArrivalOf(r.Context()); ok {
		x.began, x.ahead = arrival.ReceivedAt, arrival.Ahead
	}
	if x.snapshot.Leaving {
		w.Header().Set("Connection", "close")
	}
	return x
}

// mayReuseConnection reports whether an attempt may be sent on a kept connection.
func (h *Handler) mayReuseConnection(r keepalive.Request) bool {
	h.keepAliveMu.Lock()
	defer h.keepAliveMu.Unlock()
	return h.keepAlive.MayReuse(boot.Now(), r)
}

// recordDeadConnection records that a kept connection died without an answer, and
// reports whether the target may only have dropped it.
func (h *Handler) recordDeadConnection(elapsed time.Duration) bool {
	h.keepAliveMu.Lock()
	defer h.keepAliveMu.Unlock()
	return h.keepAlive.RecordDeath(boot.Now(), elapsed)
}

// requestID returns the caller's own request id if the dialect uses it, otherwise
// a new unique one.
func (h *Handler) requestID(r *http.Request) string {
	if h.dialect.ForwardCallerIDs {
		return r.Header.Get(h.dialect.RequestIDHeader)
	}
	return h.idPrefix + "-" + strconv.FormatUint(h.sequence.Add(1), 36)
}

// asRefusal returns the refusal in err. Any other error becomes a refusal that
// says that the request may have run, since the opposite isn't certain.
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
