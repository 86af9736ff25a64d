package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Defaults of a Client.
const (
	// DefaultDialTimeout bounds the setting up of a connection.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is how long an unused connection is kept.
	DefaultIdleTimeout = 30 * time.Second
	// MaxIdleConnsPerTarget is how many unused connections are kept to one target.
	MaxIdleConnsPerTarget = 8
	// MaxResponseHeaderBytes bounds the head of an answer.
	MaxResponseHeaderBytes = 64 << 10
)

// Client sends attempts over kept-alive connections. It is safe for concurrent
// use.
type Client struct {
	transport *http.Transport
	dialer    net.Dialer
}

// Option changes a Client under construction.
type Option func(*Client)

// WithIdleTimeout sets how long an unused connection is kept.
func WithIdleTimeout(d time.Duration) Option {
	return func(c *Client) { c.transport.IdleConnTimeout = d }
}

// WithDialTimeout bounds the setting up of a connection.
func WithDialTimeout(d time.Duration) Option {
	return func(c *Client) { c.dialer.Timeout = d }
}

// New returns a Client.
func New(options ...Option) *Client {
	c := &Client{
		dialer: net.Dialer{
			Timeout: DefaultDialTimeout,
		},
	}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		IdleConnTimeout:        DefaultIdleTimeout,
		MaxIdleConnsPerHost:    MaxIdleConnsPerTarget,
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close ends the unused connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: raw,
	}, nil
}

// Attempt is one sending of a request to a target.
type Attempt struct {
	// Address is the target's "IP:port".
	Address string
	// Request is what goes out. Its URL's host is replaced by Address.
	Request *http.Request
	// Gate, if set, is asked just before the first byte goes out. An error
	// stops the attempt with nothing sent.
	Gate func() error
}

// Result is the outcome of an attempt: Answered or Failed.
type Result interface{ result() }

// Answered says that the head of an answer came.
type Answered struct {
	// Response has a body that the caller reads and closes.
	Response *http.Response
	// CloseConn closes the connection, so that nothing that it may still carry is
	// taken for the answer to a later request.
	CloseConn func()
}

// Failed says that no answer came.
type Failed struct {
	// Err is of this package.
	Err *Error
}

func (Answered) result() {}
func (Failed) result()   {}

// Stage is how far a failed attempt came.
type Stage int

// Stages of a failure.
const (
	// Unconnected means that no connection was had.
	Unconnected Stage = iota
	// Gated means that the gate refused.
	Gated
	// Unsent means that a connection was had and no byte was written.
	Unsent
	// Sent means that at least a byte may have reached the target.
	Sent
)

// String names the stage for logs.
func (s Stage) String() string {
	switch s {
	case Unconnected:
		return "unconnected"
	case Gated:
		return "gated"
	case Unsent:
		return "unsent"
	default:
		return "sent"
	}
}

// Error is the failure of an attempt.
type Error struct {
	Stage Stage
	// ContextDone is set if the attempt's context ended: deadline or caller gone.
	ContextDone bool
	cause       error
}

// Error implements error.
func (e *Error) Error() string {
	return "attempt failed, " + e.Stage.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// attemptState is the state of one attempt under way.
type attemptState struct {
	gate    func() error
	conn    atomic.Pointer[conn]
	sent    atomic.Bool
	gateErr atomic.Pointer[error]
}

// Do sends the attempt once. It returns when the head of the answer is there
// or the attempt has failed.
func (c *Client) Do(ctx context.Context, a Attempt) Result {
	s := &attemptState{
		gate: a.Gate,
	}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			taken := info.Conn.(*conn)
			taken.assign(s)
			s.conn.Store(taken)
		},
	}
	out := a.Request.WithContext(httptrace.WithClientTrace(ctx, trace))
	out.URL.Scheme = "http"
	out.URL.Host = a.Address
	// Without GetBody the transport can't replay a body.
	out.GetBody = nil
	response, err := c.transport.RoundTrip(out) //nolint:bodyclose // The caller of Do closes it.
	if err != nil {
		return Failed{
			Err: s.classifyFailure(ctx, err),
		}
	}
	return Answered{
		Response:  response,
		CloseConn: s.closeConn,
	}
}

// classifyFailure seals the connection and then tells how far the sending came.
func (s *attemptState) classifyFailure(ctx context.Context, cause error) *Error {
	failure := &Error{
		Stage:       Unconnected,
		ContextDone: ctx.Err() != nil,
		cause:       errors.Wrap(cause, "round trip"),
	}
	taken := s.conn.Load()
	if taken == nil {
		return failure
	}
	taken.seal()
	switch {
	case s.sent.Load():
		failure.Stage = Sent
	case s.gateErr.Load() != nil:
		failure.Stage = Gated
		failure.cause = *s.gateErr.Load()
	default:
		failure.Stage = Unsent
	}
	return failure
}

// closeConn seals the connection that the answer came on.
func (s *attemptState) closeConn() {
	if taken := s.conn.Load(); taken != nil {
		taken.seal()
	}
}
