package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/answercheck"
)

// Defaults and limits of a Client.
const (
	// DefaultDialTimeout limits how long establishing a connection may take.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is how long an idle connection is kept.
	DefaultIdleTimeout = 30 * time.Second
	// MaxIdleConnsPerTarget is the maximum number of idle connections that are
	// kept to one target.
	MaxIdleConnsPerTarget = 8
	// MaxResponseHeaderBytes limits the size of a response's header.
	MaxResponseHeaderBytes = answercheck.MaxHeadBytes
	// MaxInterimResponses limits the responses with status 100 to 199 before the final one.
	// net/http leaves that to clients that look at them.
	MaxInterimResponses = 16
)

// Client sends attempts over kept-alive connections. It is safe for concurrent
// use.
type Client struct {
	transport *http.Transport
	// newConnections serves the attempts that need a new connection.
	newConnections *http.Transport
	dialTimeout    time.Duration
	dialContext    DialContext
}

// DialContext establishes a connection, like net.Dialer.DialContext.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Client.
type Option func(*Client)

// WithIdleTimeout sets how long an idle connection is kept. The default is
// DefaultIdleTimeout.
func WithIdleTimeout(d time.Duration) Option {
	return func(c *Client) { c.transport.IdleConnTimeout = d }
}

// WithDialTimeout limits how long establishing a connection may take. The
// default is DefaultDialTimeout.
func WithDialTimeout(d time.Duration) Option {
	return func(c *Client) { c.dialTimeout = d }
}

// WithDialContext sets how connections are established. The default is a net.Dialer.
func WithDialContext(dial DialContext) Option {
	return func(c *Client) { c.dialContext = dial }
}

// New returns a Client with the given options.
func New(options ...Option) *Client {
	c := &Client{
		dialTimeout: DefaultDialTimeout,
		dialContext: new(net.Dialer).DialContext,
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
	c.newConnections = c.transport.Clone()
	c.newConnections.DisableKeepAlives = true
	return c
}

// Close closes the idle connections. Attempts in progress continue.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	raw, err := c.dialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: answercheck.NewConn(raw),
	}, nil
}

// Attempt describes one attempt to send a request to a target.
type Attempt struct {
	// Address is the target's address, "IP:port".
	Address string
	// Request is the request to send. Its ContentLength is the length of its body. Do
	// changes it: the host of its URL is replaced by Address.
	Request *http.Request
	// NewConnection sends the request on a connection of its own, which is closed after
	// the answer. If a reused connection breaks, it can't be told whether the target has
	// read the request or had dropped the connection before.
	NewConnection bool
	// Gate, if set, is called just before the first byte is written. If it
	// returns an error, nothing is sent and the attempt fails with that error.
	Gate func() error
}

// Result is the outcome of an attempt: Answered or Failed.
type Result interface{ result() }

// Answered is the result of an attempt whose response header has arrived.
type Answered struct {
	// Response is the target's response. The caller reads and closes its body.
	Response *http.Response
	// Reused is as in Error.
	Reused bool
	// Malformed tells, after the body couldn't be read, whether the target sent something that
	// is no response.
	Malformed func() bool
	// CloseConn closes the connection, so that bytes still in flight on it can't
	// be taken for the response to a later request.
	CloseConn func()
}

// Failed is the result of an attempt that got no response.
type Failed struct {
	// Err describes the failure.
	Err *Error
}

func (Answered) result() {}
func (Failed) result()   {}

// Stage tells how far a failed attempt got.
type Stage int

// Stages of a failed attempt.
const (
	// Unconnected means that there was no connection to the target.
	Unconnected Stage = iota
	// Gated means that the attempt's gate returned an error, so nothing was sent.
	Gated
	// Unsent means that there was a connection but no byte was written to it.
	Unsent
	// Sent means that at least one byte may have reached the target.
	Sent
)

// String returns the stage's name for logs and reasons of refusals.
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

// Error describes a failed attempt.
type Error struct {
	Stage Stage
	// ContextDone is set if the attempt's context had ended when the attempt
	// failed: its deadline passed or the caller went away.
	ContextDone bool
	// Reused is set if the attempt's connection had served an earlier attempt. Rested
	// is then how long it had been idle.
	Reused bool
	Rested time.Duration
	// Malformed is set if the target sent something that is no response.
	Malformed bool
	// Interim is set if Malformed is and the last response had a status from 100 to 199.
	Interim bool
	cause   error
}

// Error implements error.
func (e *Error) Error() string {
	return "attempt failed, " + e.Stage.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// attemptState is the state of an attempt in progress.
type attemptState struct {
	gate func() error
	// conn is the connection that the attempt got last; nil before the first.
	conn atomic.Pointer[conn]
	// reused and rested describe the connection that the request was sent on, as in
	// Error. They are written before conn is stored.
	reused bool
	rested time.Duration
	// sent is set before the first byte is written, and answered after the first byte of
	// the response was read.
	sent     atomic.Bool
	answered atomic.Bool
	// request is the number of the request on its connection, stored before sent.
	request atomic.Uint64
	// interim counts the responses with status 100 to 199.
	interim atomic.Int64
	// gateErr is the error that the gate returned, if it did.
	gateErr atomic.Pointer[error]
}

// Do sends the attempt's request at most once. It returns when the response
// header has arrived or the attempt has failed. Unless the attempt failed, ctx
// also covers the reading of the response's body.
func (c *Client) Do(ctx context.Context, a Attempt) Result {
	s := &attemptState{
		gate: a.Gate,
	}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			assigned := info.Conn.(*conn)
			assigned.assign(s)
			if !s.sent.Load() { // net/http tries another connection after a reset
				s.reused, s.rested = info.Reused, info.IdleTime
			}
			s.conn.Store(assigned)
		},
		GotFirstResponseByte: func() { s.answered.Store(true) },
		Got1xxResponse:       s.checkInterim,
	}
	out := a.Request.WithContext(httptrace.WithClientTrace(ctx, trace))
	out.URL.Scheme = "http"
	out.URL.Host = a.Address
	// Without GetBody the transport can't resend the body.
	out.GetBody = nil
	transport := c.transport
	if a.NewConnection {
		transport = c.newConnections
	}
	response, err := transport.RoundTrip(out)
	if err == nil && !s.isAnswered() {
		_ = response.Body.Close()
		err = errEarlyAnswer
	}
	if err != nil {
		return Failed{
			Err: s.classifyFailure(ctx, err),
		}
	}
	return Answered{
		Response:  response,
		Reused:    s.reused,
		CloseConn: s.closeConn,
		Malformed: s.conn.Load().Malformed,
	}
}

// errEarlyAnswer says that an answer consists of bytes that came before the request, such as those
// behind the answer to the connection's last request.
var errEarlyAnswer = errors.New("answer before the request")

// isAnswered reports whether the response's header was read after the request had begun.
func (s *attemptState) isAnswered() bool {
	return s.sent.Load() && s.conn.Load().Answered(s.request.Load())
}

// errInterim says that a target's interim response can't be followed by a final one.
var errInterim = errors.New("interim response as the final one")

// checkInterim counts a response with status 100 to 199. One with a body is meant as the final
// response, since an interim one has none.
func (s *attemptState) checkInterim(_ int, header textproto.MIMEHeader) error {
	framed := header.Get("Content-Length") != "" || header.Get("Transfer-Encoding") != ""
	if s.interim.Add(1) > MaxInterimResponses || framed {
		return errInterim
	}
	return nil
}

// classifyFailure seals the attempt's connection and then returns how far the
// attempt got.
func (s *attemptState) classifyFailure(ctx context.Context, cause error) *Error {
	failure := &Error{
		Stage:       Unconnected,
		ContextDone: ctx.Err() != nil,
		cause:       errors.Wrap(cause, "round trip"),
	}
	assigned := s.conn.Load()
	if assigned == nil {
		return failure
	}
	assigned.seal()
	failure.Reused, failure.Rested = s.reused, s.rested
	switch {
	case s.sent.Load():
		failure.Stage = Sent
		failure.Malformed = (s.answered.Load() || assigned.Malformed()) && !failure.ContextDone
		failure.Interim = failure.Malformed && s.interim.Load() > 0
	case s.gateErr.Load() != nil:
		failure.Stage = Gated
		failure.cause = *s.gateErr.Load()
	default:
		failure.Stage = Unsent
	}
	return failure
}

// closeConn seals the connection on which the response arrived.
func (s *attemptState) closeConn() {
	if assigned := s.conn.Load(); assigned != nil {
		assigned.seal()
	}
}
