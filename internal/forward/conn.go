package forward

import (
	"sync"

	"github.com/go-faster/errors"

	"dandelionmux/internal/answercheck"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = errors.New("write to a sealed connection")

// conn wraps a connection to a target and serves one attempt at a time. Once it
// is sealed, no further byte is written to it.
type conn struct {
	*answercheck.Conn

	mu     sync.Mutex
	owner  *attemptState // the attempt that writes now; nil before the first
	sealed bool
}

// Write sends bytes for the owner, after the owner's gate has allowed its first
// byte. A gate that returns an error seals the connection.
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

// checkGate calls the owner's gate before its first byte and records that the
// owner has begun to send. The caller holds mu.
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
	s.request.Store(c.Requests() + 1)
	s.sent.Store(true)
	return nil
}

// assign makes s the owner. If s has already written to another connection, this
// one is sealed, so that the request is never sent twice.
func (c *conn) assign(s *attemptState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = s
	if s.sent.Load() {
		c.sealed = true
	}
}

// seal closes the connection and prevents further writes. Closing interrupts a
// write in progress, and seal waits for it to return.
func (c *conn) seal() {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
}
