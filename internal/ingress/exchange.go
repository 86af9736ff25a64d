package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/memory"
	"dandelionmux/pkg/pipeline"
)

// Arrival tells how a request reached the server.
type Arrival struct {
	// ReceivedAt is when the end of the request's head was read from the connection.
	ReceivedAt time.Time
	// Ahead is the number of earlier requests on the connection that hadn't been answered
	// when this one started.
	Ahead int
}

type arrivalKey struct{}

// ArrivalOf returns the arrival of a request that a Server received, by its context.
func ArrivalOf(ctx context.Context) (Arrival, bool) {
	a, ok := ctx.Value(arrivalKey{}).(*Arrival)
	if !ok {
		return Arrival{}, false
	}
	return *a, true
}

// AwaitTurn waits until a handler's answer may be written: until all earlier requests of the
// connection are answered. It returns at once if the connection has ended or w isn't a
// Server's.
func AwaitTurn(w http.ResponseWriter) {
	if own, ok := w.(*responseWriter); ok {
		_ = own.awaitTurn()
	}
}

// exchange is one request and its answer.
type exchange struct {
	conn *conn
	// id is the request's number in the connection's queue.
	id      pipeline.ID
	request *http.Request
	arrival *Arrival
	cancel  context.CancelFunc
	// turn is closed when the answer may be written.
	turn   chan struct{}
	writer *responseWriter
	// body is the request's body; nil if it has none.
	body *body
	// head is what is held for the request's head, or nil.
	head *memory.Holding
	// rejected is the status of a request that isn't given to the handler.
	rejected int
	// started is set once the request runs, begun once the head of its answer is written, and
	// ended once the answer has been written or given up. They are guarded by conn.mu.
	started bool
	begun   bool
	ended   bool
}

// newExchange returns the exchange of a request, whose body has not been read.
func (c *conn) newExchange(r *http.Request, received time.Time) *exchange {
	x := &exchange{
		conn: c,
		arrival: &Arrival{
			ReceivedAt: received,
		},
		turn: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.WithValue(c.ctx, arrivalKey{}, x.arrival))
	x.cancel = cancel
	x.request = r.WithContext(ctx)
	x.writer = &responseWriter{
		exchange: x,
		header:   http.Header{},
	}
	if r.Body != nil && r.Body != http.NoBody {
		x.body = &body{
			exchange:       x,
			source:         r.Body,
			awaitsContinue: r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") != "",
		}
		x.request.Body = x.body
	}
	return x
}

// drop ends the request's context and releases what is held for its head.
func (x *exchange) drop() {
	x.cancel()
	x.head.Close()
}

// run answers the request.
func (x *exchange) run() {
	defer x.conn.end(x)
	if x.callHandler() {
		x.writer.finish()
		return
	}
	// Answers before this one are complete once it is its turn.
	_ = x.writer.awaitTurn()
	x.writer.abort()
}

// callHandler reports whether the handler has returned normally.
func (x *exchange) callHandler() (ok bool) {
	defer func() {
		cause := recover()
		if err, aborted := cause.(error); aborted && errors.Is(err, http.ErrAbortHandler) {
			return
		}
		if cause != nil {
			x.conn.logPanic(x.request.Method, cause)
		}
	}()
	if x.rejected == http.StatusServiceUnavailable {
		x.conn.server.full.ServeHTTP(x.writer, x.request)
		return true
	}
	if x.rejected != 0 {
		x.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
		http.Error(x.writer, http.StatusText(x.rejected), x.rejected)
		return true
	}
	x.conn.server.handler.ServeHTTP(x.writer, x.request)
	return true
}
