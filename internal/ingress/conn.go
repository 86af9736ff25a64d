package ingress

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"

	"dandelionmux/pkg/memory"
	"dandelionmux/pkg/pipeline"
)

const (
	// lingerTimeout is how long a connection is read after its last answer, and
	// maxLingerBytes how much. A connection that is closed with unread bytes is reset,
	// and the caller may lose the answer. A caller whose body was refused has some megabytes on
	// their way before it reads that.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 8 << 20
)

// longAgo is a deadline that interrupts a read.
var longAgo = time.Unix(1, 0)

// conn is one connection. Its serve goroutine reads requests; each request runs in a
// goroutine of its own.
type conn struct {
	server *Server
	raw    net.Conn
	source *source
	// buffer is read by the serve goroutine, and by the handler of an exclusive request
	// while its body is open.
	buffer *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// broken is closed when nothing more can be written.
	broken chan struct{}
	// changed tells the serve goroutine, while it isn't reading, that something changed.
	changed chan struct{}

	mu    sync.Mutex
	queue *pipeline.Queue
	// exchanges are the requests in queue, in the same order.
	exchanges []*exchange
	// reading is set while the serve goroutine awaits bytes; interrupted is set once that
	// has been ended by a deadline in the past.
	reading     bool
	interrupted bool
	// openBody is the body that a handler may be reading.
	openBody *body
	// idleUntil is when a connection without requests ends.
	idleUntil time.Time
	// leaving is set when the connection ends with its next answers, and givesUpBlocking when
	// requests that hold back later answers are given up.
	leaving         bool
	givesUpBlocking bool
	// isBroken is set when broken is closed.
	isBroken bool
	// lingers is set if the caller may not have received all answers when the connection
	// is closed.
	lingers bool
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{
		server: s,
		raw:    raw,
		source: &source{
			raw:     raw,
			left:    -1,
			account: s.memory,
		},
		broken:    make(chan struct{}),
		changed:   make(chan struct{}, 1),
		queue:     pipeline.New(s.places, maxInProgress),
		idleUntil: time.Now().Add(s.idleTimeout),
	}
	c.buffer = bufio.NewReaderSize(c.source, bufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads and starts requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.close()
	defer func() {
		if cause := recover(); cause != nil {
			c.logPanic("", cause)
			c.breakOff()
		}
	}()
	for c.awaitRequest() {
		r, head, err := c.readRequest()
		if err != nil {
			head.Close()
			c.reject(err)
			break
		}
		c.receive(r, head)
	}
	c.awaitAnswers()
}

// awaitRequest waits until the next request may be read and its first byte has arrived, and
// reports whether there is one. Meanwhile it notices when the caller leaves.
func (c *conn) awaitRequest() bool {
	for {
		c.mu.Lock()
		c.start()
		buffered := 0
		full := false
		if c.openBody == nil {
			buffered = c.buffer.Buffered()
			full = buffered == c.buffer.Size()
		}
		switch {
		case c.isBroken || c.queue.Sealed():
			c.mu.Unlock()
			return false
		case c.openBody != nil || full && !c.queue.MayReceive():
			c.mu.Unlock()
			<-c.changed
			continue
		case buffered > 0 && c.queue.MayReceive():
			_ = c.raw.SetReadDeadline(time.Now().Add(c.server.headerTimeout))
			c.mu.Unlock()
			return true
		}
		c.reading = true
		deadline := time.Time{}
		if c.queue.Len() == 0 {
			deadline = c.idleUntil
		}
		_ = c.raw.SetReadDeadline(deadline)
		c.mu.Unlock()
		_, err := c.buffer.Peek(buffered + 1)
		if !c.readingEnded(err) {
			return false
		}
	}
}

// readingEnded takes the result of awaiting bytes, and reports whether the connection goes
// on.
func (c *conn) readingEnded(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	interrupted := c.interrupted
	c.interrupted = false
	switch {
	case err == nil, interrupted && errors.Is(err, os.ErrDeadlineExceeded):
		return true
	case errors.Is(err, os.ErrDeadlineExceeded) && c.queue.Len() > 0:
		return true
	}
	c.queue.Drop()
	c.dropExchanges()
	c.cancel() // The caller has left, or the connection was idle.
	return false
}

// notify tells the serve goroutine that something changed. The caller holds mu.
func (c *conn) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
	if c.reading {
		c.interrupted = true
		_ = c.raw.SetReadDeadline(longAgo)
	}
}

// Errors of reading a request's head.
var (
	// errHeadTooLong says that it exceeds the limit.
	errHeadTooLong = errors.New("request head too long")
	// errNoRoom says that there is no memory for it.
	errNoRoom = errors.New("no room for the request's head")
)

// readRequest reads the head of the next request, and returns what is held for it.
func (c *conn) readRequest() (*http.Request, *memory.Holding, error) {
	buffered, _ := c.buffer.Peek(c.buffer.Buffered())
	c.source.beginHead(buffered)
	if c.source.noRoom {
		return nil, c.source.head, errNoRoom
	}
	c.source.left = c.server.maxHeaderBytes
	r, err := http.ReadRequest(c.buffer)
	c.source.left = -1
	switch {
	case c.source.noRoom:
		err = errNoRoom
	case c.source.exceeded:
		err = errHeadTooLong
	}
	return r, c.source.head, err
}

// receive starts a request, or lets it wait for those before it. head is what is held for it.
func (c *conn) receive(r *http.Request, head *memory.Holding) {
	r.RemoteAddr = c.raw.RemoteAddr().String()
	if status := unacceptable(r); status != 0 {
		head.Close()
		c.answerAndClose(status)
		return
	}
	kind := pipeline.Exclusive
	if mayRunAhead(r) && c.server.handler.Independent(r) {
		kind = pipeline.Independent
	}
	x := c.newExchange(r, c.source.arrivedAt(c.source.end-int64(c.buffer.Buffered())))
	x.head = head
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.raw.SetReadDeadline(time.Time{})
	if c.queue.Sealed() || c.isBroken {
		x.drop()
		return
	}
	c.enqueue(x, kind)
	if r.Close {
		c.queue.Seal()
	}
}

// enqueue adds a request. The caller holds mu.
func (c *conn) enqueue(x *exchange, kind pipeline.Kind) {
	x.id = c.queue.Receive(kind)
	c.exchanges = append(c.exchanges, x)
	if len(c.exchanges) == 1 {
		close(x.turn)
	}
}

// start starts the last request if it may run. Only the serve goroutine starts requests,
// while it doesn't use the buffer, from which their bodies are read. The caller holds mu.
func (c *conn) start() {
	if _, ok := c.queue.Start(); !ok {
		return
	}
	x := c.exchanges[len(c.exchanges)-1]
	x.started = true
	x.arrival.Ahead = len(c.exchanges) - 1
	if x.arrival.Ahead > 0 {
		c.server.ahead.Inc(1)
	}
	if c.openBody = x.body; x.body != nil {
		_ = c.raw.SetReadDeadline(time.Time{}) // notify may have interrupted a read
	}
	go x.run()
}

// dropExchanges forgets a request that the queue has dropped. The caller holds mu.
func (c *conn) dropExchanges() {
	for n := c.queue.Len(); len(c.exchanges) > n; {
		last := len(c.exchanges) - 1
		c.exchanges[last].drop()
		c.exchanges = c.exchanges[:last]
	}
}

// mayRunAhead reports whether a request has a method that changes nothing and no body.
func mayRunAhead(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return r.Body == http.NoBody && len(r.TransferEncoding) == 0
	}
	return false
}

// unacceptable returns the status with which a request is refused before it reaches the
// handler, or zero.
func unacceptable(r *http.Request) int {
	switch expect := r.Header.Get("Expect"); {
	case r.ProtoMajor != 1:
		return http.StatusHTTPVersionNotSupported
	case r.ProtoAtLeast(1, 1) && r.Host == "", !httpguts.ValidHostHeader(r.Host), !validHeader(r.Header):
		return http.StatusBadRequest
	case expect != "" && !strings.EqualFold(expect, "100-continue"):
		return http.StatusExpectationFailed
	}
	return 0
}

// validHeader reports whether all names and values of a header are well-formed.
func validHeader(h http.Header) bool {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return false
			}
		}
	}
	return true
}

// reject ends the connection after a request that couldn't be read. Unless the caller has
// left or stopped sending, it is told so.
func (c *conn) reject(err error) {
	switch {
	case errors.Is(err, errHeadTooLong):
		c.answerAndClose(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, errNoRoom):
		c.answerAndClose(http.StatusServiceUnavailable)
	case isNetworkError(err):
		c.mu.Lock()
		defer c.mu.Unlock()
		c.queue.Drop()
		c.dropExchanges()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	default:
		c.answerAndClose(http.StatusBadRequest)
	}
}

func isNetworkError(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.As(err, &network)
}

// answerAndClose answers a request that isn't run with a status, after those before it, and
// ends the connection.
func (c *conn) answerAndClose(status int) {
	c.server.malformed.Inc(1)
	x := c.newExchange(&http.Request{
		Method:     http.MethodGet,
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     http.Header{},
		Body:       http.NoBody,
		Close:      true,
	}, time.Now())
	x.rejected = status
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.raw.SetReadDeadline(time.Time{})
	if c.queue.Sealed() || c.isBroken {
		x.cancel()
		return
	}
	c.enqueue(x, pipeline.Exclusive)
	c.queue.Seal()
}

// end removes a request whose answer has been written. On a broken connection requests
// don't end in their order.
func (c *conn) end(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.drop()
	x.ended = true
	if c.openBody == x.body {
		c.openBody = nil
	}
	for len(c.exchanges) > 0 && c.exchanges[0].ended {
		c.queue.End()
		c.exchanges = c.exchanges[1:]
		if len(c.exchanges) > 0 {
			close(c.exchanges[0].turn)
		}
	}
	if len(c.exchanges) == 0 {
		c.idleUntil = time.Now().Add(c.server.idleTimeout)
	}
	c.notify()
}

// bodyRead lets the serve goroutine go on after a body has been read to its end.
func (c *conn) bodyRead(b *body) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openBody == b {
		c.openBody = nil
		_ = c.raw.SetReadDeadline(time.Time{})
		c.notify()
	}
}

// endsAfter reports whether the connection closes after the answer to x, which is about to
// be written. close says that this answer or its request asks for it.
func (c *conn) endsAfter(x *exchange, close bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.begun = true
	if close || c.leaving {
		c.queue.Drop()
		c.dropExchanges()
		c.notify()
	}
	c.lingers = c.queue.Last()
	return c.lingers
}

// leave lets the connection end with its next answers.
func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	if c.queue.Len() > 0 && !c.staysOpen() {
		c.queue.Drop()
		c.dropExchanges()
		c.notify()
	}
}

// staysOpen reports whether the answer to the last request that was started has told the caller
// that the connection stays open. Then the next answer ends it. The caller holds mu.
func (c *conn) staysOpen() bool {
	for _, x := range slices.Backward(c.exchanges) {
		if x.started {
			return x.begun && !c.queue.Sealed()
		}
	}
	return false
}

// setReady records that the answer to a request waits for its turn.
func (c *conn) setReady(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.SetReady(x.id)
	if c.givesUpBlocking {
		c.cancelBlocking()
	}
}

// giveUpBlocking gives up requests that hold back later answers, from now on.
func (c *conn) giveUpBlocking() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.givesUpBlocking = true
	c.cancelBlocking()
}

// cancelBlocking cancels the requests that hold back later answers. Their handlers still
// answer them. The caller holds mu.
func (c *conn) cancelBlocking() {
	blocking := c.queue.Blocking()
	for _, x := range c.exchanges {
		if slices.Contains(blocking, x.id) {
			x.cancel()
		}
	}
}

// endIdle ends the connection after a grace if it has no requests.
func (c *conn) endIdle(grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleUntil = time.Now().Add(grace)
	c.notify()
}

// breakOff ends the connection at once.
func (c *conn) breakOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopWriting()
	c.lingers = false
	_ = c.raw.Close()
}

// breakAnswer ends the connection in the midst of an answer. Earlier answers still reach
// the caller.
func (c *conn) breakAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = !c.isBroken
	c.stopWriting()
}

// stopWriting ends all requests. Nothing more is written. The caller holds mu.
func (c *conn) stopWriting() {
	if c.isBroken {
		return
	}
	c.isBroken = true
	close(c.broken)
	c.cancel()
	c.notify()
}

func (c *conn) mayWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isBroken
}

// awaitAnswers waits until all requests in progress have ended. It still notices when the
// caller leaves.
func (c *conn) awaitAnswers() {
	for {
		c.mu.Lock()
		c.start()
		left, open := c.queue.Len(), c.openBody != nil
		watch := left > 0 && !open && !c.isBroken && c.ctx.Err() == nil && c.buffer.Buffered() < c.buffer.Size()
		if watch {
			c.reading = true
			_ = c.raw.SetReadDeadline(time.Time{})
		}
		c.mu.Unlock()
		switch {
		case left == 0:
			return
		case !watch:
			<-c.changed
			continue
		}
		_, err := c.buffer.Peek(c.buffer.Buffered() + 1)
		c.mu.Lock()
		c.reading = false
		if err != nil && !c.interrupted {
			c.cancel()
		}
		c.interrupted = false
		c.mu.Unlock()
	}
}

// close closes the connection. If answers may still be on their way, it waits until the
// caller has closed it, too.
func (c *conn) close() {
	c.mu.Lock()
	linger := c.lingers
	c.mu.Unlock()
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok && linger && half.CloseWrite() == nil {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.raw, maxLingerBytes))
	}
	c.breakOff()
}

// logPanic logs a failure of the program itself, which ends only this connection.
func (c *conn) logPanic(method string, cause any) {
	c.server.panics.Inc(1)
	c.server.logger.Error("request failed unexpectedly",
		slog.String("Method", method),
		slog.Any("Error", cause),
		slog.String("Stack", string(debug.Stack())))
}
