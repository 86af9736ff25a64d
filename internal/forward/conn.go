package forward

import (
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// errSealed is what a write to a sealed connection returns.
var errSealed = errors.New("connection sealed")

// conn is a connection to a target that serves one sending at a time.
type conn struct {
	net.Conn

	mu     sync.Mutex
	owner  *attemptState
	sealed bool
}

// Write sends bytes for the owner. The first bytes of a sending pass its gate.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	if err := c.checkGate(); err != nil {
		c.sealed = true
		return 0, err
	}
	return c.Conn.Write(b)
}

// checkGate lets the owner's first bytes through its gate.
func (c *conn) checkGate() error {
	s := c.owner
	if s == nil || s.sent.Load() {
		return nil
	}
	if s.gate != nil {
		if err := s.gate(); err != nil {
			s.gateErr.Store(&err)
			return err
		}
	}
	s.sent.Store(true)
	return nil
}

// assign makes a sending the owner. A sending that has written elsewhere gets a
// sealed connection, so that it never writes twice.
func (c *conn) assign(s *attemptState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = s
	if s.sent.Load() {
		c.sealed = true
	}
}

// seal stops all further writes. It waits for a write that is under way, which
// a deadline cuts short.
func (c *conn) seal() {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
}
