package standin

import (
	"bufio"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// RawServer answers the first request of each connection with bytes of any kind.
type RawServer struct {
	listener net.Listener
	answer   func(c *net.TCPConn, r *http.Request)
	mu       sync.Mutex
	open     map[net.Conn]struct{}
}

// NewRawServer returns a server on a port of its own. It calls answer when the head of a request has
// been read, and closes the connection afterwards.
func NewRawServer(answer func(c *net.TCPConn, r *http.Request)) (*RawServer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &RawServer{
		listener: l,
		answer:   answer,
		open:     map[net.Conn]struct{}{},
	}
	go s.run()
	return s, nil
}

// Address returns the server's address.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Open returns the number of open connections.
func (s *RawServer) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Close closes the server and its connections.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.Close()
	}
}

func (s *RawServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c.(*net.TCPConn))
	}
}

func (s *RawServer) serve(c *net.TCPConn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, c)
	}()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.answer(c, r)
}
