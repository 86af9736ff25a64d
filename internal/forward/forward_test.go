package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"dandelionmux/internal/forward"
)

// testTimeout limits how long a test waits for an expected event.
const testTimeout = 20 * time.Second

// faultPoint tells where in a request or response a target closes the connection.
type faultPoint int

const (
	atAccept faultPoint = iota
	afterHead
	afterBody
	insideAnswerHead
	insideAnswerBody
	noFault
)

// faultyTarget is a target on raw TCP that closes connections at its fault point
// and counts the requests whose whole header reached it.
type faultyTarget struct {
	listener net.Listener
	at       atomic.Int64
	requests atomic.Int64
}

func startFaultyTarget(t *testing.T) *faultyTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	b := &faultyTarget{
		listener: listener,
	}
	b.setFault(noFault)
	t.Cleanup(func() { _ = listener.Close() })
	go b.run()
	return b
}

func (b *faultyTarget) setFault(p faultPoint) { b.at.Store(int64(p)) }

func (b *faultyTarget) address() string { return b.listener.Addr().String() }

func (b *faultyTarget) run() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		if faultPoint(b.at.Load()) == atAccept {
			_ = c.Close()
			continue
		}
		go b.serve(c)
	}
}

func (b *faultyTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		b.requests.Add(1)
		at := faultPoint(b.at.Load())
		if at == afterHead {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
		switch at {
		case afterBody:
			return
		case insideAnswerHead:
			_, _ = io.WriteString(c, answer[:12])
			return
		case insideAnswerBody:
			_, _ = io.WriteString(c, answer[:len(answer)-2])
			return
		default:
			_, _ = io.WriteString(c, answer)
		}
	}
}

func newRequest(method, body string) *http.Request {
	r := &http.Request{
		Method: method,
		URL: &url.URL{
			Path: "/booking",
		},
		Header: http.Header{
			"Idempotency-Key": {"k"},
		},
	}
	if body != "" {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
	}
	return r
}

// readAnswer reads the response to its end and returns the attempt's error, if any.
func readAnswer(result forward.Result) error {
	switch r := result.(type) {
	case forward.Answered:
		_, err := io.ReadAll(r.Response.Body)
		_ = r.Response.Body.Close()
		return err
	case forward.Failed:
		return r.Err
	}
	return nil
}

// net/http may resend a request whose connection breaks, above all on a
// kept-alive connection. Wherever the target closes the connection, the request
// must reach it once and the failure must be reported as Sent.
func TestAttemptSendsOnceWhereverTheConnectionBreaks(t *testing.T) {
	points := []struct {
		name string
		at   faultPoint
	}{
		{"after the head", afterHead},
		{"after the body", afterBody},
		{"inside the answer's head", insideAnswerHead},
		{"inside the answer's body", insideAnswerBody},
	}
	requests := []struct{ method, body string }{
		{http.MethodPost, "tanker"},
		{http.MethodPost, ""},
		{http.MethodGet, ""},
		{http.MethodPut, strings.Repeat("x", 1<<20)},
	}
	for _, p := range points {
		for _, r := range requests {
			for _, warm := range []bool{false, true} {
				name := p.name + " " + r.method
				if warm {
					name += " on a kept-alive connection"
				}
				t.Run(name, func(t *testing.T) {
					is := is.New(t)
					b := startFaultyTarget(t)
					client := forward.New()
					defer client.Close()
					if warm {
						is.NoErr(readAnswer(client.Do(t.Context(), newAttempt(b, http.MethodGet, ""))))
					}
					before := b.requests.Load()
					b.setFault(p.at)
					result := client.Do(t.Context(), newAttempt(b, r.method, r.body))
					err := readAnswer(result)
					is.True(err != nil)
					is.Equal(b.requests.Load()-before, int64(1)) // sent once
					if f, ok := result.(forward.Failed); ok {
						is.Equal(f.Err.Stage, forward.Sent)
						is.Equal(f.Err.Reused, warm)
					}
				})
			}
		}
	}
}

func newAttempt(b *faultyTarget, method, body string) forward.Attempt {
	return forward.Attempt{
		Address: b.address(),
		Request: newRequest(method, body),
	}
}

// In even rounds the target closes the kept-alive connection after it has read the
// next request's head; in odd rounds it would close any new connection at once. In
// both, the request must reach the target at most once.
func TestPooledConnectionClosedByTargetSendsAtMostOnce(t *testing.T) {
	is := is.New(t)
	b := startFaultyTarget(t)
	client := forward.New()
	defer client.Close()
	const rounds = 200
	for i := range rounds {
		b.setFault(noFault)
		is.NoErr(readAnswer(client.Do(t.Context(), newAttempt(b, http.MethodGet, ""))))
		b.setFault(atAccept)
		before := b.requests.Load()
		if i%2 == 0 {
			b.setFault(afterHead)
		}
		_ = readAnswer(client.Do(t.Context(), newAttempt(b, http.MethodPost, "")))
		is.True(b.requests.Load()-before <= 1)
	}
}

// A failure may be reported as not sent only if no request reached the target.
// In each of these cases the attempt fails before the first byte.
func TestNotSentIsReportedOnlyIfNothingWasSent(t *testing.T) {
	tests := []struct {
		name  string
		do    func(t *testing.T, b *faultyTarget) forward.Result
		stage forward.Stage
	}{
		{
			name: "connection refused",
			do: func(t *testing.T, b *faultyTarget) forward.Result {
				_ = b.listener.Close()
				return forward.New().Do(t.Context(), newAttempt(b, http.MethodPost, "x"))
			},
			stage: forward.Unconnected,
		},
		{
			name: "gate refuses",
			do: func(t *testing.T, b *faultyTarget) forward.Result {
				a := newAttempt(b, http.MethodPost, "x")
				a.Gate = func() error { return errors.New("lapsed") }
				return forward.New().Do(t.Context(), a)
			},
			stage: forward.Gated,
		},
		{
			name: "caller gone before the connection",
			do: func(t *testing.T, b *faultyTarget) forward.Result {
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				return forward.New().Do(ctx, newAttempt(b, http.MethodPost, "x"))
			},
			stage: forward.Unconnected,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := startFaultyTarget(t)
			failed, ok := tt.do(t, b).(forward.Failed)
			is.True(ok)
			is.Equal(failed.Err.Stage, tt.stage)
			is.Equal(b.requests.Load(), int64(0))
		})
	}
}

// An attempt that is cancelled while the target works on it must be reported as
// Sent.
func TestCancelWhileTargetRunsIsReportedAsSent(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	target := &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-r.Context().Done()
		}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = target.Serve(listener) }()
	defer func() { _ = target.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	go func() {
		<-arrived
		cancel()
	}()
	failed, ok := forward.New().Do(ctx, forward.Attempt{
		Address: listener.Addr().String(),
		Request: newRequest(http.MethodPost, "x"),
	}).(forward.Failed)
	is.True(ok)
	is.Equal(failed.Err.Stage, forward.Sent)
	is.True(failed.Err.ContextDone)
}
