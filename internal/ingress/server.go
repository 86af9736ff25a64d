package ingress

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"dandelionmux/pkg/memory"
	"dandelionmux/pkg/pipeline"
)

// Defaults and limits of a Server.
const (
	// DefaultHeaderTimeout is how long a request's head may take to arrive.
	DefaultHeaderTimeout = 10 * time.Second
	// DefaultIdleTimeout is how long a connection without requests is kept.
	DefaultIdleTimeout = time.Minute
	// DefaultMaxHeaderBytes bounds the size of a request's head.
	DefaultMaxHeaderBytes = 64 << 10
	// maxInProgress bounds the requests in progress on a connection.
	maxInProgress = 8
	// maxAhead bounds the requests that run ahead of earlier answers on all connections.
	// Each may hold the beginning of an answer.
	maxAhead = 256
	// leaveGrace is how long an idle connection stays open for requests that are on their
	// way when the server shuts down.
	leaveGrace = 200 * time.Millisecond
	// acceptGrace is how long connections that are already established are accepted when
	// the server shuts down.
	acceptGrace = 50 * time.Millisecond
	// maxAcceptPause bounds the pause after a connection couldn't be accepted.
	maxAcceptPause = time.Second
)

// Handler answers requests.
type Handler interface {
	http.Handler
	// Independent reports whether a request without a body may run beside others of its
	// connection.
	Independent(r *http.Request) bool
}

// Server serves the connections of a listener. Its methods may be called concurrently.
type Server struct {
	handler        Handler
	headerTimeout  time.Duration
	idleTimeout    time.Duration
	maxHeaderBytes int
	logger         *slog.Logger
	registry       metrics.Registry
	ahead          metrics.Counter
	malformed      metrics.Counter
	panics         metrics.Counter
	places         *pipeline.Places
	memory         *memory.Account
	full           http.Handler

	mu              sync.Mutex
	listener        net.Listener
	accepted        chan struct{} // closed when Serve accepts no more
	conns           map[*conn]struct{}
	leaving         bool
	givesUpBlocking bool
	stopping        bool
	ended           chan struct{} // receives when a connection has ended while the server stops
}

// Option configures a Server.
type Option func(*Server)

// WithHeaderTimeout sets how long a request's head may take to arrive. The default is
// DefaultHeaderTimeout.
func WithHeaderTimeout(d time.Duration) Option {
	return func(s *Server) { s.headerTimeout = d }
}

// WithIdleTimeout sets how long a connection without requests is kept. The default is
// DefaultIdleTimeout.
func WithIdleTimeout(d time.Duration) Option {
	return func(s *Server) { s.idleTimeout = d }
}

// WithMaxHeaderBytes bounds the size of a request's head, in bytes. The default is
// DefaultMaxHeaderBytes.
func WithMaxHeaderBytes(n int) Option {
	return func(s *Server) { s.maxHeaderBytes = n }
}

// WithMemory sets the account in which requests' heads are counted, and the handler that answers
// in place of requests whose heads find no room. It is given a request without the head. By
// default heads are counted nowhere.
func WithMemory(a *memory.Account, full http.Handler) Option {
	return func(s *Server) {
		s.memory = a
		s.full = full
	}
}

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *slog.Logger) Option {
	return func(s *Server) { s.logger = l }
}

// WithMetrics sets the registry of the server's counters. By default it is a new one.
func WithMetrics(r metrics.Registry) Option {
	return func(s *Server) { s.registry = r }
}

// New returns a Server for a handler.
func New(h Handler, options ...Option) *Server {
	s := &Server{
		handler:        h,
		headerTimeout:  DefaultHeaderTimeout,
		idleTimeout:    DefaultIdleTimeout,
		maxHeaderBytes: DefaultMaxHeaderBytes,
		logger:         slog.New(slog.DiscardHandler),
		registry:       metrics.NewRegistry(),
		places:         pipeline.NewPlaces(maxAhead),
		accepted:       make(chan struct{}),
		conns:          map[*conn]struct{}{},
		ended:          make(chan struct{}, 1),
	}
	for _, o := range options {
		o(s)
	}
	s.ahead = metrics.GetOrRegisterCounter("Ingress.Ahead", s.registry)
	s.malformed = metrics.GetOrRegisterCounter("Ingress.Malformed", s.registry)
	s.panics = metrics.GetOrRegisterCounter("Ingress.Panics", s.registry)
	return s
}

// Serve accepts connections until the server is closed, and returns http.ErrServerClosed
// then. It must be called once.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.accepted)
	s.mu.Lock()
	s.listener = l
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		_ = l.Close()
		return http.ErrServerClosed
	}
	pause := time.Duration(0)
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			pause = 0
			s.add(raw)
		case s.isStopping() || errors.Is(err, net.ErrClosed):
			return http.ErrServerClosed
		default:
			// Descriptors may be used up for a while.
			pause = min(max(2*pause, 5*time.Millisecond), maxAcceptPause)
			s.logger.Warn("accepting a connection failed",
				slog.String("Error", err.Error()))
			time.Sleep(pause)
		}
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// add serves a connection.
func (s *Server) add(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	leaving, givesUpBlocking, stopping := s.leaving, s.givesUpBlocking, s.stopping
	s.mu.Unlock()
	if leaving {
		c.leave()
	}
	if givesUpBlocking {
		c.giveUpBlocking()
	}
	if stopping {
		c.endIdle(leaveGrace)
	}
	go c.serve()
}

// remove forgets a connection that has ended.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	select {
	case s.ended <- struct{}{}:
	default:
	}
}

// list returns the open connections.
func (s *Server) list() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// Leave lets each connection end: with the answers to the requests that have been started
// on it or, if there are none, with the answer to its next request.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for _, c := range s.list() {
		c.leave()
	}
}

// GiveUpBlocking cancels, from now on, requests in progress that hold back answers to later
// ones of their connections. A handler then answers at once, and those answers follow. It is
// called shortly before Close, which would lose them.
func (s *Server) GiveUpBlocking() {
	s.mu.Lock()
	s.givesUpBlocking = true
	s.mu.Unlock()
	for _, c := range s.list() {
		c.giveUpBlocking()
	}
}

// Shutdown accepts no more connections, ends the open ones like Leave, closes idle ones
// and returns when all have ended. If ctx ends first, it returns its error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	s.stopAccepting()
	for _, c := range s.list() {
		c.endIdle(leaveGrace)
	}
	for {
		s.mu.Lock()
		left := len(s.conns)
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-s.ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// stopAccepting closes the listener, after accepting the connections that are established
// already: closing it would reset them.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.stopping = true
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return
	}
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); ok && d.SetDeadline(time.Now().Add(acceptGrace)) == nil {
		<-s.accepted
	}
	_ = l.Close()
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.stopping = true
	l := s.listener
	s.mu.Unlock()
	var err error
	if l != nil {
		err = l.Close()
	}
	for _, c := range s.list() {
		c.breakOff()
	}
	return err
}
