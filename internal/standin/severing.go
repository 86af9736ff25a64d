package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// SeveringProxy passes TCP connections on to an address. Sever makes the open ones go silent for
// good, without a reset, while new ones work.
type SeveringProxy struct {
	listener net.Listener
	to       string
	accepted atomic.Int64
	mu       sync.Mutex
	open     []*severable
}

// severable is a connection of a proxy: both of its ends.
type severable struct {
	severed atomic.Bool
	ends    [2]net.Conn
}

// NewSeveringProxy returns a proxy on a port of its own.
func NewSeveringProxy(to string) (*SeveringProxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &SeveringProxy{
		listener: l,
		to:       to,
	}
	go p.run()
	return p, nil
}

// Address returns the proxy's address.
func (p *SeveringProxy) Address() string { return p.listener.Addr().String() }

// Accepted returns the number of connections accepted so far.
func (p *SeveringProxy) Accepted() int { return int(p.accepted.Load()) }

// Sever drops everything that is sent on the open connections from now on, their ends included.
func (p *SeveringProxy) Sever() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		c.severed.Store(true)
	}
}

// Close closes the proxy and its connections.
func (p *SeveringProxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		_ = c.ends[0].Close()
		_ = c.ends[1].Close()
	}
}

func (p *SeveringProxy) run() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		far, err := net.Dial("tcp4", p.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &severable{
			ends: [2]net.Conn{near, far},
		}
		p.mu.Lock()
		p.open = append(p.open, c)
		p.mu.Unlock()
		go c.pass(near, far)
		go c.pass(far, near)
	}
}

// pass passes bytes on until one side ends, and drops them once the connection is severed.
func (c *severable) pass(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if c.severed.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
