package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
)

// earlyTarget answers each request before it has read its body.
type earlyTarget struct {
	head string
	part int
	// end ends the connection, some time after the answer.
	end func(c *net.TCPConn)
	// arrived counts the requests of which the head has been read.
	arrived atomic.Int64
}

func (s *earlyTarget) serve(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	s.arrived.Add(1)
	_, _ = io.WriteString(c, s.head+strings.Repeat("x", s.part))
	s.end(c.(*net.TCPConn))
}

// resetAfter returns a function that resets a connection after a pause.
func resetAfter(pause time.Duration) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(pause)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// closeWriteAndRead ends its answer in order and reads the request for a while.
func closeWriteAndRead(c *net.TCPConn) {
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, _ = io.Copy(io.Discard, c)
}

// startUnframed returns an instance that relays answers without a length, directly or through
// another instance, and whose only target is served as given.
func startUnframed(t *testing.T, relayed bool, serve func(c net.Conn)) *callerServer {
	t.Helper()
	e := newRelayEnv(t, 1, 0)
	e.document.Services[0].Targets[0].Address = serveConnections(t, serve)
	e.document.Policy.MaximumBody = 32 << 20
	e.allowAttempts(1)
	e.addHelper(e.newHelper(entry.WithDialect(statusDialect())))
	return serveCallers(t, e.newHandler(e.relaysIf(relayed), entry.WithDialect(statusDialect())))
}

// Guards against a part of an answer that reaches the caller as a complete one: the target gives
// no length and resets the connection while the request is still being written, and the kernel
// reports the reset to that write, so that the read sees an ordinary end.
func TestAnswerToUnfinishedRequestIsNeverComplete(t *testing.T) {
	const (
		calls     = 12
		unframed  = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n"
		closing   = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nConnection: close\r\n\r\n"
		old       = "HTTP/1.0 200 OK\r\nX-Signature: s\r\n\r\n"
		shortPart = 700
	)
	soon := resetAfter(20 * time.Millisecond)
	tests := []struct {
		name   string
		head   string
		part   int
		end    func(c *net.TCPConn)
		upload int
		chunks bool
	}{
		{name: "reset", head: unframed, part: shortPart, end: soon, upload: 8 << 20},
		{name: "reset at once", head: unframed, part: shortPart, end: resetAfter(0), upload: 8 << 20},
		{name: "announced close", head: closing, part: shortPart, end: soon, upload: 8 << 20},
		{name: "HTTP/1.0", head: old, part: shortPart, end: soon, upload: 8 << 20},
		{name: "upload in chunks", head: unframed, part: shortPart, end: soon, upload: 8 << 20, chunks: true},
		{name: "longer part", head: unframed, part: 100 << 10, end: soon, upload: 20 << 20},
		{name: "upload in the kernel's buffer", head: unframed, part: shortPart, end: soon, upload: 64 << 10},
		{name: "no body", head: unframed, end: soon, upload: 8 << 20},
		{name: "closed in order, upload unread", head: unframed, part: shortPart, end: closeWriteAndRead, upload: 20 << 20},
	}
	for _, tt := range tests {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %v", tt.name, relayed), func(t *testing.T) {
				t.Parallel()
				target := &earlyTarget{head: tt.head, part: tt.part, end: tt.end}
				s := startUnframed(t, relayed, target.serve)
				for range calls {
					before := target.arrived.Load()
					var body io.Reader = strings.NewReader(strings.Repeat("u", tt.upload))
					if tt.chunks {
						body = io.MultiReader(body)
					}
					got := s.post(t, body)
					if got.err == nil && got.status < 300 {
						t.Errorf("%d with %d bytes", got.status, len(got.body))
					}
					if target.arrived.Load() > before && got.saysNotRun(statusDialect()) {
						t.Errorf("%d %s for a request that has arrived", got.status, got.outcome())
					}
				}
			})
		}
	}
}

// post sends a request that may not be repeated, with the key of orchard.
func (s *callerServer) post(t *testing.T, body io.Reader) callResult {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.address+"/bookings", body)
	is.New(t).NoErr(err)
	r.Header.Set("X-Api-Key", key)
	return do(s.client, r)
}

// Guards against whole answers without a length that are refused because the target answered
// before the write of the request's last byte had returned.
func TestUnframedAnswerToWholeRequestIsRelayed(t *testing.T) {
	const calls = 100
	for _, upload := range []int{0, 1, 4 << 10, 100 << 10, 3 << 20} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, relayed %v", upload, relayed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := startUnframed(t, relayed, func(c net.Conn) {
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\nwhole")
				})
				for range calls {
					got := s.post(t, strings.NewReader(strings.Repeat("u", upload)))
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusOK)
					is.Equal(got.body, "whole")
				}
			})
		}
	}
}
