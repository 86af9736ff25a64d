package answercheck_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/answercheck"
)

// eventTimeout limits how long a test waits for an expected event.
const eventTimeout = 10 * time.Second

// writeResult is what a scriptedConn does with a write.
type writeResult struct {
	err error
	// until, if set, delays the result until it is closed.
	until chan struct{}
}

// scriptedConn is a connection with results chosen by a test. All its reads find the end.
type scriptedConn struct {
	net.Conn
	results chan writeResult
	// begun gets a value when a write begins.
	begun chan struct{}
}

func newScriptedConn(results ...writeResult) *scriptedConn {
	c := &scriptedConn{
		results: make(chan writeResult, len(results)),
		begun:   make(chan struct{}, len(results)),
	}
	for _, r := range results {
		c.results <- r
	}
	return c
}

func (c *scriptedConn) Write(b []byte) (int, error) {
	r := <-c.results
	c.begun <- struct{}{}
	if r.until != nil {
		<-r.until
	}
	if r.err != nil {
		return 0, r.err
	}
	return len(b), nil
}

func (c *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

const (
	getHead     = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	uploadHead  = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n"
	chunkedHead = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// Guards against the end of a connection that is taken for the end of an answer although the
// request was not written whole: a reset that was reported to a write looks like that.
func TestEndBeforeRequestIsWritten(t *testing.T) {
	reset := writeResult{err: syscall.ECONNRESET}
	tests := []struct {
		name    string
		writes  []string
		results []writeResult
		want    error
	}{
		{name: "no request", want: io.EOF},
		{name: "without body", writes: []string{getHead}, want: io.EOF},
		{name: "in many parts", writes: strings.Split(uploadHead+"12345678", ""), want: io.EOF},
		{name: "body in the same write", writes: []string{uploadHead + "12345678"}, want: io.EOF},
		{name: "two requests", writes: []string{uploadHead + "12345678", getHead}, want: io.EOF},
		{name: "head unfinished", writes: []string{getHead[:len(getHead)-2]}, want: answercheck.ErrRequestUnfinished},
		{name: "long line, head unfinished", writes: []string{"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 100) + "\r\n"}, want: answercheck.ErrRequestUnfinished},
		{name: "long line, then a blank", writes: []string{strings.Repeat("x", 64) + "\n", "\r\n"}, want: io.EOF},
		{name: "no body", writes: []string{uploadHead}, want: answercheck.ErrRequestUnfinished},
		{name: "part of the body", writes: []string{uploadHead, "1234567"}, want: answercheck.ErrRequestUnfinished},
		{name: "second request unfinished", writes: []string{getHead, uploadHead, "1"}, want: answercheck.ErrRequestUnfinished},
		{name: "reset before the last part", writes: []string{uploadHead, "1234"}, results: []writeResult{{}, reset}, want: answercheck.ErrRequestUnfinished},
		{name: "reset in the last part", writes: []string{uploadHead, "1234", "5678"}, results: []writeResult{{}, {}, reset}, want: answercheck.ErrRequestUnfinished},
		{name: "reset in the head", writes: []string{getHead}, results: []writeResult{reset}, want: answercheck.ErrRequestUnfinished},
		{name: "in chunks", writes: []string{chunkedHead, "0\r\n\r\n"}, want: answercheck.ErrRequestUnfinished},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			results := tt.results
			if results == nil {
				results = make([]writeResult, len(tt.writes))
			}
			c := answercheck.NewConn(newScriptedConn(results...))
			for _, text := range tt.writes {
				_, _ = io.WriteString(c, text)
			}
			for range 2 {
				n, err := c.Read(make([]byte, 10))
				is.Equal(n, 0)
				is.Equal(err, tt.want)
			}
		})
	}
}

// Guards against a read that decides before the write of the last byte has returned, and against
// one that waits for it without end, or although more of the request is to follow.
func TestEndDuringWrite(t *testing.T) {
	tests := []struct {
		name    string
		writing string
		err     error
		// waits says that the read waits for the write, and returns that the write does so.
		waits, returns bool
		want           error
	}{
		{name: "last part, written", writing: "12345678", waits: true, returns: true, want: io.EOF},
		{name: "last part, reset", writing: "12345678", err: syscall.EPIPE, waits: true, returns: true, want: answercheck.ErrRequestUnfinished},
		{name: "last part, not taken", writing: "12345678", waits: true, want: answercheck.ErrRequestUnfinished},
		{name: "not the last part", writing: "1234", want: answercheck.ErrRequestUnfinished},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			returned := make(chan struct{})
			raw := newScriptedConn(writeResult{}, writeResult{err: tt.err, until: returned})
			c := answercheck.NewConn(raw)
			_, err := io.WriteString(c, uploadHead)
			is.NoErr(err)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = io.WriteString(c, tt.writing)
			}()
			<-raw.begun
			<-raw.begun
			read := make(chan error, 1)
			go func() {
				_, err := c.Read(make([]byte, 10))
				read <- err
			}()
			if tt.waits {
				select {
				case <-read:
					t.Fatal("decided before the write has returned")
				case <-time.After(50 * time.Millisecond):
				}
			}
			if tt.returns {
				close(returned)
			}
			select {
			case err := <-read:
				is.Equal(err, tt.want)
			case <-time.After(eventTimeout):
				t.Fatal("waits for the write")
			}
			if !tt.returns {
				close(returned)
			}
			<-written
		})
	}
}
