package standin

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// errConnectionEnded reports that a connection ended before the answer to a request.
var errConnectionEnded = errors.New("connection ended before the answer")

// pipelinedTransport is an http.RoundTripper that sends up to depth requests on a connection
// before the first of them is answered. It is for requests without a body.
type pipelinedTransport struct {
	depth int
	dial  func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string][]*pipelinedConn
}

// pipelinedConn is a connection of a pipelinedTransport, with the requests in progress in the
// order in which they were sent. They are guarded by pipelinedTransport.mu.
type pipelinedConn struct {
	raw     net.Conn
	pending []*pipelinedCall
}

// pipelinedCall is a request in progress. done receives its answer or its error.
type pipelinedCall struct {
	request *http.Request
	done    chan pipelinedResult
}

type pipelinedResult struct {
	response *http.Response
	err      error
}

func newPipelinedTransport(depth int, dial func(ctx context.Context, network, address string) (net.Conn, error)) *pipelinedTransport {
	return &pipelinedTransport{
		depth: depth,
		dial:  dial,
		conns: map[string][]*pipelinedConn{},
	}
}

// RoundTrip implements http.RoundTripper. When the context of a request ends its connection
// is closed, with all requests on it.
func (p *pipelinedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c, call, err := p.send(r)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-call.done:
		return result.response, result.err
	case <-r.Context().Done():
		p.remove(r.URL.Host, c)
		return nil, r.Context().Err()
	}
}

// send writes a request on a connection that has room, or on a new one.
func (p *pipelinedTransport) send(r *http.Request) (*pipelinedConn, *pipelinedCall, error) {
	call := &pipelinedCall{
		request: r,
		done:    make(chan pipelinedResult, 1),
	}
	var head bytes.Buffer
	if err := r.Write(&head); err != nil {
		return nil, nil, errors.Wrap(err, "write request")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	host := r.URL.Host
	var c *pipelinedConn
	for _, other := range p.conns[host] {
		if len(other.pending) < p.depth {
			c = other
			break
		}
	}
	if c == nil {
		raw, err := p.dial(r.Context(), "tcp", host)
		if err != nil {
			return nil, nil, err
		}
		c = &pipelinedConn{
			raw: raw,
		}
		p.conns[host] = append(p.conns[host], c)
		go p.receive(host, c)
	}
	c.pending = append(c.pending, call)
	if _, err := c.raw.Write(head.Bytes()); err != nil {
		_ = c.raw.Close()
	}
	return c, call, nil
}

// receive reads the answers on a connection, each to its end, until it ends.
func (p *pipelinedTransport) receive(host string, c *pipelinedConn) {
	defer p.remove(host, c)
	buffer := bufio.NewReader(c.raw)
	for {
		if _, err := buffer.Peek(1); err != nil {
			return
		}
		p.mu.Lock()
		if len(c.pending) == 0 {
			p.mu.Unlock()
			return // an answer to no request
		}
		call := c.pending[0]
		p.mu.Unlock()
		response, err := http.ReadResponse(buffer, call.request)
		if err != nil {
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return
		}
		response.Body = io.NopCloser(bytes.NewReader(body))
		p.mu.Lock()
		if len(c.pending) > 0 && c.pending[0] == call {
			c.pending = c.pending[1:]
		}
		p.mu.Unlock()
		call.done <- pipelinedResult{
			response: response,
		}
		if response.Close {
			return
		}
	}
}

// remove closes a connection. The requests on it fail.
func (p *pipelinedTransport) remove(host string, c *pipelinedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.raw.Close()
	for i, other := range p.conns[host] {
		if other == c {
			p.conns[host] = append(p.conns[host][:i], p.conns[host][i+1:]...)
			break
		}
	}
	for _, call := range c.pending {
		call.done <- pipelinedResult{
			err: errConnectionEnded,
		}
	}
	c.pending = nil
}

// CloseIdleConnections closes all connections without requests.
func (p *pipelinedTransport) CloseIdleConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.conns {
		for _, c := range list {
			if len(c.pending) == 0 {
				_ = c.raw.Close()
			}
		}
	}
}
