package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxUnframedBytes is how much of an answer without a declared length is held back,
	// so that a short one gets its length.
	maxUnframedBytes = 2 << 10
	// writeBufferBytes is the size of the buffer for writing an answer.
	writeBufferBytes = 4 << 10
	// defaultWriteTimeout bounds writing an answer whose handler sets no deadline.
	defaultWriteTimeout = 30 * time.Second
)

// errBroken says that the connection has ended.
var errBroken = errors.New("connection broken")

// writers holds buffers that aren't in use.
var writers = sync.Pool{
	New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) },
}

// framing tells how the caller finds the end of an answer.
type framing int

const (
	undecided framing = iota
	noBody
	byLength
	byChunks
	// byClose ends the answer with the connection.
	byClose
)

// responseWriter writes the answer of one exchange, in its turn. It is not safe for
// concurrent use.
type responseWriter struct {
	exchange *exchange
	header   http.Header
	status   int
	framing  framing
	// held is the beginning of the body before the framing is decided.
	held []byte
	// left is how many bytes of a declared length are still to be written.
	left     int64
	out      *bufio.Writer
	chunks   io.WriteCloser
	deadline time.Time
	err      error
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// SetReadDeadline sets the deadline for reading the request's body. It has no effect once
// the body has been read.
func (w *responseWriter) SetReadDeadline(t time.Time) error {
	c := w.exchange.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := w.exchange.body; b == nil || c.openBody != b {
		return nil
	}
	return c.raw.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline for writing the answer.
func (w *responseWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	if w.out == nil {
		return nil
	}
	return w.exchange.conn.raw.SetWriteDeadline(t)
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.framing == undecided && w.declaredLength() < 0 && len(w.held)+len(p) <= maxUnframedBytes {
		w.held = append(w.held, p...)
		return len(p), nil
	}
	if err := w.sendHead(false); err != nil {
		return 0, err
	}
	return w.writeBody(p)
}

// FlushError implements the flushing of http.ResponseController.
func (w *responseWriter) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if err := w.sendHead(false); err != nil {
		return err
	}
	return w.fail(w.out.Flush())
}

// awaitTurn waits until all earlier answers have been written.
func (w *responseWriter) awaitTurn() error {
	w.exchange.conn.setReady(w.exchange)
	select {
	case <-w.exchange.turn:
	case <-w.exchange.conn.broken:
	}
	if !w.exchange.conn.mayWrite() {
		// Bytes behind an answer that was broken off could be taken for its rest.
		return w.fail(errBroken)
	}
	return w.err
}

// fail remembers an error, after which nothing more is written on the connection.
func (w *responseWriter) fail(err error) error {
	if err != nil && w.err == nil {
		w.err = err
		w.exchange.conn.breakAnswer()
	}
	return err
}

// begin prepares the connection for writing, in the exchange's turn.
func (w *responseWriter) begin() error {
	if w.out != nil {
		return w.err
	}
	if err := w.awaitTurn(); err != nil {
		return err
	}
	if w.deadline.IsZero() {
		w.deadline = time.Now().Add(defaultWriteTimeout)
	}
	_ = w.exchange.conn.raw.SetWriteDeadline(w.deadline)
	w.out = writers.Get().(*bufio.Writer)
	w.out.Reset(w.exchange.conn.raw)
	return nil
}

// writeContinue tells the caller to send the request's body, unless the answer has begun.
func (w *responseWriter) writeContinue() error {
	if w.framing != undecided {
		return nil
	}
	if err := w.begin(); err != nil {
		return err
	}
	_, _ = w.out.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	return w.fail(w.out.Flush())
}

// declaredLength returns the length that the handler has declared, or -1.
func (w *responseWriter) declaredLength() int64 {
	n, err := strconv.ParseInt(textproto.TrimString(w.header.Get("Content-Length")), 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// sendHead writes the status and the header, unless that has been done. complete says that
// the held part of the body is all of it.
func (w *responseWriter) sendHead(complete bool) error {
	if w.framing != undecided {
		return w.err
	}
	if err := w.begin(); err != nil {
		return err
	}
	r := w.exchange.request
	w.decideFraming(complete)
	asksToClose := headerHasToken(w.header, "Connection", "close") || r.Close || w.framing == byClose
	if b := w.exchange.body; b != nil && !b.discard() {
		asksToClose = true
	}
	closes := w.exchange.conn.endsAfter(w.exchange, asksToClose)
	w.header.Del("Connection")
	switch {
	case closes && r.ProtoAtLeast(1, 1):
		w.header.Set("Connection", "close")
	case !closes && !r.ProtoAtLeast(1, 1):
		w.header.Set("Connection", "keep-alive")
	}
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	_, _ = fmt.Fprintf(w.out, "HTTP/1.%d %03d %s\r\n", min(r.ProtoMinor, 1), w.status, http.StatusText(w.status))
	_ = w.header.Write(w.out)
	_, _ = w.out.WriteString("\r\n")
	held := w.held
	w.held = nil
	if _, err := w.writeBody(held); err != nil {
		return err
	}
	return w.err
}

// decideFraming chooses how the caller finds the end of the answer, and sets the header
// accordingly.
func (w *responseWriter) decideFraming(complete bool) {
	length := w.declaredLength()
	if length < 0 {
		w.header.Del("Content-Length")
	}
	w.header.Del("Transfer-Encoding")
	switch {
	case w.status == http.StatusNoContent || w.status == http.StatusNotModified:
		w.framing = noBody
		if w.status == http.StatusNoContent {
			w.header.Del("Content-Length")
		}
	case w.exchange.request.Method == http.MethodHead:
		w.framing = noBody
		if complete && length < 0 && len(w.held) > 0 {
			w.header.Set("Content-Length", strconv.Itoa(len(w.held)))
		}
	case length >= 0:
		w.framing, w.left = byLength, length
	case complete:
		w.framing, w.left = byLength, int64(len(w.held))
		w.header.Set("Content-Length", strconv.Itoa(len(w.held)))
	case w.exchange.request.ProtoAtLeast(1, 1):
		w.framing = byChunks
		w.header.Set("Transfer-Encoding", "chunked")
		w.chunks = httputil.NewChunkedWriter(w.out)
	default:
		w.framing = byClose
	}
}

// writeBody writes a part of the body, after the head.
func (w *responseWriter) writeBody(p []byte) (int, error) {
	if len(p) == 0 || w.err != nil {
		return 0, w.err
	}
	var n int
	var err error
	switch w.framing {
	case noBody:
		return len(p), nil
	case byLength:
		if int64(len(p)) > w.left {
			return 0, http.ErrContentLength
		}
		n, err = w.out.Write(p)
		w.left -= int64(n)
	case byChunks:
		n, err = w.chunks.Write(p)
	default:
		n, err = w.out.Write(p)
	}
	return n, w.fail(err)
}

// finish completes the answer after the handler has returned. An answer that is shorter
// than it declared is broken off.
func (w *responseWriter) finish() {
	w.WriteHeader(http.StatusOK)
	if w.sendHead(true) != nil {
		return
	}
	if w.framing == byLength && w.left > 0 {
		w.abort()
		return
	}
	if w.chunks != nil {
		_ = w.chunks.Close()
		_, _ = w.out.WriteString("\r\n")
	}
	_ = w.fail(w.out.Flush())
	w.out.Reset(nil)
	writers.Put(w.out)
}

// abort ends the connection, so that the answer can't be taken for a complete one.
func (w *responseWriter) abort() {
	c := w.exchange.conn
	if w.framing != byClose {
		c.breakAnswer()
		return
	}
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.breakOff()
}

// headerHasToken reports whether a header lists a token.
func headerHasToken(h http.Header, name, token string) bool {
	for _, line := range h.Values(name) {
		for item := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(item), token) {
				return true
			}
		}
	}
	return false
}
