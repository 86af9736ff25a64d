package gateway_test

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// linkState says what becomes of an instance's connections to targets.
type linkState int

const (
	// linksUp lets everything pass.
	linksUp linkState = iota
	// linksSilent loses all packets: connecting hangs, and so do the open connections,
	// until the links are up again.
	linksSilent
	// linksReset resets the open connections and refuses new ones.
	linksReset
	// linksClosed lets open connections go on, while connecting hangs.
	linksClosed
)

// testLinks are the links of one instance to all targets. They are up at first.
type testLinks struct {
	mu    sync.Mutex
	state linkState
	// changed is closed and replaced when the state changes.
	changed chan struct{}
	open    map[*linkConn]struct{}
}

func newTestLinks() *testLinks {
	return &testLinks{
		changed: make(chan struct{}),
		open:    map[*linkConn]struct{}{},
	}
}

// set changes the state of the links.
func (l *testLinks) set(s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	if s == linksReset {
		for c := range l.open {
			_ = c.Conn.Close()
		}
	}
}

// now returns the state, and a channel that is closed when it changes.
func (l *testLinks) now() (linkState, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// dial connects to a target if the links allow it.
func (l *testLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		state, changed := l.now()
		switch state {
		case linksUp:
			raw, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c := &linkConn{
				Conn:   raw,
				links:  l,
				closed: make(chan struct{}),
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.open[c] = struct{}{}
			return c, nil
		case linksReset:
			return nil, syscall.ECONNREFUSED
		default:
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}

// linkConn is a connection over testLinks. While these are silent, what is written or
// received waits, as it would for retransmissions.
type linkConn struct {
	net.Conn
	links  *testLinks
	once   sync.Once
	closed chan struct{}
}

// awaitLinks waits until the links are not silent, or the connection is closed.
func (c *linkConn) awaitLinks() {
	for {
		state, changed := c.links.now()
		if state != linksSilent {
			return
		}
		select {
		case <-changed:
		case <-c.closed:
			return
		}
	}
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.awaitLinks()
	return n, err
}

// Write implements net.Conn. The caller doesn't wait for the links.
func (c *linkConn) Write(b []byte) (int, error) {
	if state, _ := c.links.now(); state == linksSilent {
		held := append([]byte(nil), b...)
		go func() {
			c.awaitLinks()
			_, _ = c.Conn.Write(held)
		}()
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.links.mu.Lock()
	delete(c.links.open, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}
