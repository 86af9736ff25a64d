package answercheck

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrRequestUnfinished says that a connection ended before its request was written whole.
var ErrRequestUnfinished = errors.New("connection ended before the request was written whole")

// Conn is a connection on which one request at a time is sent. Its reads check the answers. Like
// any net.Conn it may be used by several goroutines.
type Conn struct {
	net.Conn

	// writing has a value while bytes are being written.
	writing chan struct{}
	// writeFailed is set once a write has failed.
	writeFailed atomic.Bool

	mu       sync.Mutex // guards what follows
	request  requestScanner
	response responseChecker
	// requests counts the requests that have begun, and answered is the last one to which the
	// head of a final answer was read.
	requests, answered uint64
	// malformed is the error of all reads after the first one that failed with ErrMalformed.
	malformed error
}

// NewConn returns a Conn that reads from and writes to a connection that is not in use yet.
func NewConn(raw net.Conn) *Conn {
	return &Conn{
		Conn:    raw,
		writing: make(chan struct{}, 1),
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	c.scanRequest(b)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// scanRequest follows the request that is about to be written. What is read from then on answers
// it.
func (c *Conn) scanRequest(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request.isWhole() || !c.request.begun {
		c.request = requestScanner{}
		c.response = responseChecker{}
		c.requests++
	}
	c.request.scan(b)
	c.response.methodIsHead = c.request.methodIsHead
}

// Read implements net.Conn. Its error wraps ErrMalformed once a line has come that breaks the syntax,
// and is ErrRequestUnfinished in place of io.EOF if the request wasn't written whole.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if sound, malformed := c.checkResponse(b[:n]); malformed != nil {
		return sound, malformed
	}
	if errors.Is(err, io.EOF) && !c.requestWritten() {
		return n, ErrRequestUnfinished
	}
	return n, err
}

// checkResponse checks bytes that were read. It returns how many of them the caller gets, and the
// error of the first line that breaks the syntax.
func (c *Conn) checkResponse(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.malformed != nil {
		return 0, c.malformed
	}
	sound, err := c.response.check(b)
	c.malformed = err
	if c.response.hasFinalHead() {
		c.answered = c.requests
	}
	return sound, err
}

// lastWriteWait bounds the wait for a write of a request's last byte after the connection has ended.
// If the peer has read that byte, the write returns as soon as its goroutine runs.
const lastWriteWait = time.Second

// requestWritten reports whether the last request was written whole, or none was begun. It waits
// for a write of the request's last byte: the peer may have answered before that write returns.
func (c *Conn) requestWritten() bool {
	c.mu.Lock()
	whole := c.request.isWhole() || !c.request.begun
	c.mu.Unlock()
	if !whole {
		return false
	}
	timer := time.NewTimer(lastWriteWait)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		<-c.writing
		return !c.writeFailed.Load()
	case <-timer.C:
		return false
	}
}

// Malformed reports whether something was read that breaks the syntax. The HTTP client may have
// failed for another reason then.
func (c *Conn) Malformed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.malformed != nil
}

// Requests returns how many requests have begun.
func (c *Conn) Requests() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// Answered reports whether the head of the final answer to a request was read after that request
// had begun. The first request is 1. Otherwise an answer that the HTTP client has got consists of
// bytes that came before the request.
func (c *Conn) Answered(request uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered >= request
}
