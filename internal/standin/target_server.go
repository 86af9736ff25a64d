package standin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrListen reports that a stand-in can't listen at its address.
var ErrListen = errors.New("can't listen")

const readHeaderTimeout = 10 * time.Second

// TargetServer runs a Target on its own socket, so that it can crash like a
// process: all connections break, new ones are refused for the downtime, and
// then it warms up again.
type TargetServer struct {
	*Target
	downtime time.Duration

	mu      sync.Mutex
	address string
	// listener is that of server, which may not serve it yet.
	listener net.Listener
	server   *http.Server
	closed   bool
	restart  *time.Timer
}

// ServeTarget starts a target at address, such as "127.0.0.1:0" for a free
// port. The error wraps ErrListen.
func ServeTarget(name, address string, downtime time.Duration, options ...TargetOption) (*TargetServer, error) {
	s := &TargetServer{
		downtime: downtime,
		address:  address,
	}
	options = append(options, TargetCrashFunc(s.Crash))
	s.Target = NewTarget(name, options...)
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the address of the target, "IP:port".
func (s *TargetServer) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Crash breaks all connections at once and refuses new ones for the downtime.
func (s *TargetServer) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.server == nil {
		return
	}
	s.stop()
	s.server = nil
	s.restart = time.AfterFunc(s.downtime, s.restartAfterCrash)
}

// Close stops the target.
func (s *TargetServer) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.restart != nil {
		s.restart.Stop()
	}
	if s.server != nil {
		s.stop()
	}
}

// stop breaks all connections and refuses new ones. The caller holds mu.
func (s *TargetServer) stop() {
	_ = s.listener.Close()
	_ = s.server.Close()
}

// restartAfterCrash listens again at the same address. If another process uses
// the port, it tries again after another downtime, at least one second.
func (s *TargetServer) restartAfterCrash() {
	s.ResetWarmUp()
	if s.listen() == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.restart = time.AfterFunc(max(s.downtime, time.Second), s.restartAfterCrash)
	}
}

func (s *TargetServer) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(ErrListen, "%s: %v", s.address, err)
	}
	s.address = listener.Addr().String()
	s.listener = listener
	s.server = &http.Server{
		Handler:           s.Target,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          discardLogger(),
		ConnContext:       withServedCount,
	}
	server := s.server
	go func() { _ = server.Serve(listener) }()
	return nil
}
