package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"dandelionmux/internal/ingress"
)

// testTimeout bounds whatever a test waits for.
const testTimeout = 10 * time.Second

// echo is a Handler that answers with the path, and does what the query asks for first.
type echo struct {
	mu sync.Mutex
	// ran holds the paths of the requests in the order in which they started.
	ran []string
	// gates hold requests back until they are closed, by path.
	gates map[string]chan struct{}
	// cancelled receives the path of each request whose caller left.
	cancelled chan string
}

func newEcho(gated ...string) *echo {
	e := &echo{
		gates:     map[string]chan struct{}{},
		cancelled: make(chan string, 1000),
	}
	for _, path := range gated {
		e.gates[path] = make(chan struct{})
	}
	return e
}

// Independent implements ingress.Handler.
func (e *echo) Independent(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/write") }

// ServeHTTP implements http.Handler.
func (e *echo) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.ran = append(e.ran, r.URL.Path)
	e.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	if gate := e.gates[r.URL.Path]; gate != nil {
		select {
		case <-gate:
		case <-r.Context().Done():
			e.cancelled <- r.URL.Path
		}
	}
	switch r.URL.Query().Get("do") {
	case "panic":
		panic("handler failed")
	case "abort":
		panic(http.ErrAbortHandler)
	case "short":
		w.Header().Set("Content-Length", "1000")
	case "close":
		w.Header().Set("Connection", "close")
	case "long":
		for range 10 {
			_, _ = io.WriteString(w, strings.Repeat("0123456789", 1000))
		}
		return
	case "break":
		_, _ = io.WriteString(w, strings.Repeat("0123456789", 1000))
		panic(http.ErrAbortHandler)
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "empty":
		w.WriteHeader(http.StatusNoContent)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

// started returns the paths of the requests that have started.
func (e *echo) started() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.ran...)
}

// open lets a gated request go on.
func (e *echo) open(path string) { close(e.gates[path]) }

// served is a server under test.
type served struct {
	*ingress.Server
	t        *testing.T
	address  string
	registry metrics.Registry
	ended    chan error
	log      bytes.Buffer
}

func serve(t *testing.T, h ingress.Handler, options ...ingress.Option) *served {
	t.Helper()
	s := &served{
		t:        t,
		registry: metrics.NewRegistry(),
		ended:    make(chan error, 1),
	}
	options = append(options, ingress.WithMetrics(s.registry), ingress.WithLogger(slog.New(slog.NewTextHandler(&s.log, nil))))
	s.Server = ingress.New(h, options...)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	go func() { s.ended <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		<-s.ended
		s.awaitNoConnections()
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	return s
}

func (s *served) awaitNoConnections() {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		s.t.Errorf("connections left: %v", err)
	}
}

func (s *served) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.registry).Count()
}

// caller is a connection to a server under test.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (s *served) dial() *caller {
	s.t.Helper()
	raw, err := net.Dial("tcp4", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		_ = raw.(*net.TCPConn).SetLinger(0) // leaves no port in use
		_ = raw.Close()
	})
	_ = raw.SetDeadline(time.Now().Add(testTimeout))
	return &caller{
		t:      s.t,
		Conn:   raw,
		reader: bufio.NewReader(raw),
	}
}

// get returns the bytes of a GET request.
func get(path string, headers ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

// post returns the bytes of a POST request.
func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// received is an answer that a caller got. Its err tells that it wasn't complete.
type received struct {
	status int
	header http.Header
	body   string
	closes bool
	err    error
}

func (c *caller) receiveFor(method string) received {
	r, err := http.ReadResponse(c.reader, &http.Request{
		Method: method,
	})
	if err != nil {
		return received{
			err: err,
		}
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	return received{
		status: r.StatusCode,
		header: r.Header,
		body:   string(body),
		closes: r.Close,
		err:    err,
	}
}

func (c *caller) receive() received { return c.receiveFor(http.MethodGet) }

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

// Guards against pipelined requests that wait for the answers before them, and against
// answers that overtake each other.
func TestIndependentRequestsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	e := newEcho("/1", "/2")
	s := serve(t, e)
	c := s.dial()
	c.send(get("/1") + get("/2") + get("/3?do=busy") + get("/4?do=long"))
	eventually(t, "all four start", func() bool { return len(e.started()) == 4 })
	e.open("/2")
	time.Sleep(20 * time.Millisecond)
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.reader.Peek(1)
	is.True(err != nil) // nothing leaves before the first answer
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	e.open("/1")
	for n, status := range []int{http.StatusOK, http.StatusOK, http.StatusServiceUnavailable} {
		r := c.receive()
		is.NoErr(r.err)
		is.Equal(r.status, status)
		is.Equal(r.body, fmt.Sprintf("GET /%d ", n+1))
		is.True(!r.closes)
	}
	r := c.receive()
	is.NoErr(r.err)
	is.Equal(len(r.body), 100_000)
	is.Equal(s.counter("Ingress.Ahead"), int64(3))
}

// Guards against a write that runs beside other requests, and against requests that start
// behind it.
func TestWriteRunsAlone(t *testing.T) {
	is := is.New(t)
	e := newEcho("/1", "/write")
	s := serve(t, e)
	c := s.dial()
	c.send(get("/1") + post("/write", "body") + get("/3"))
	eventually(t, "the first starts", func() bool { return len(e.started()) == 1 })
	time.Sleep(30 * time.Millisecond)
	is.Equal(e.started(), []string{"/1"})
	e.open("/1")
	is.Equal(c.receive().body, "GET /1 ")
	eventually(t, "the write starts", func() bool { return len(e.started()) == 2 })
	time.Sleep(30 * time.Millisecond)
	is.Equal(e.started(), []string{"/1", "/write"})
	e.open("/write")
	is.Equal(c.receive().body, "POST /write body")
	is.Equal(c.receive().body, "GET /3 ")
}

// Guards against reads that run ahead of a GET whose route doesn't allow it.
func TestDependentReadRunsAlone(t *testing.T) {
	is := is.New(t)
	e := newEcho("/write")
	s := serve(t, e)
	c := s.dial()
	c.send(get("/write") + get("/2"))
	eventually(t, "the first starts", func() bool { return len(e.started()) == 1 })
	time.Sleep(30 * time.Millisecond)
	is.Equal(e.started(), []string{"/write"})
	e.open("/write")
	is.Equal(c.receive().body, "GET /write ")
	is.Equal(c.receive().body, "GET /2 ")
}

// Guards against a caller that starts more requests than its connection may have in
// progress.
func TestRequestsOfAConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	const requests = 30
	e := newEcho("/0")
	s := serve(t, e)
	c := s.dial()
	var all strings.Builder
	for n := range requests {
		all.WriteString(get(fmt.Sprintf("/%d", n)))
	}
	c.send(all.String())
	eventually(t, "eight start", func() bool { return len(e.started()) == 8 })
	time.Sleep(30 * time.Millisecond)
	is.Equal(len(e.started()), 8)
	e.open("/0")
	for n := range requests {
		r := c.receive()
		is.NoErr(r.err)
		is.Equal(r.body, fmt.Sprintf("GET /%d ", n))
	}
}

// Guards against callers that together take all memory with answers that wait.
func TestRequestsAheadAreBoundedOverAllConnections(t *testing.T) {
	is := is.New(t)
	const connections = 60
	e := newEcho("/0")
	s := serve(t, e)
	for range connections {
		c := s.dial()
		for range 8 {
			c.send(get("/0"))
		}
	}
	want := connections + 256
	eventually(t, "all places are taken", func() bool { return len(e.started()) == want })
	time.Sleep(30 * time.Millisecond)
	is.Equal(len(e.started()), want)
}

// Guards against an answer that breaks off and looks complete, alone or with the next
// answer's bytes as its rest.
func TestBrokenAnswerNeverLooksComplete(t *testing.T) {
	tests := []struct {
		name    string
		request string
	}{
		{"shorter than declared", get("/2?do=short")},
		{"in chunks", get("/2?do=break")},
		{"before its head", get("/2?do=abort")},
		{"failing handler", get("/2?do=panic")},
		{"without a length", "GET /2?do=break HTTP/1.0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, newEcho())
			c := s.dial()
			c.send(get("/1") + tt.request + get("/3"))
			first := c.receive()
			is.NoErr(first.err)
			is.Equal(first.body, "GET /1 ")
			is.True(c.receive().err != nil)
			rest, _ := io.ReadAll(c.reader)
			is.True(!bytes.Contains(rest, []byte("/3")))
		})
	}
}

// Guards against a process that ends because one handler fails.
func TestFailingHandlerEndsOnlyItsConnection(t *testing.T) {
	is := is.New(t)
	s := serve(t, newEcho())
	is.True(func() bool {
		c := s.dial()
		c.send(get("/1?do=panic"))
		return c.receive().err != nil
	}())
	c := s.dial()
	c.send(get("/2"))
	is.Equal(c.receive().body, "GET /2 ")
	is.Equal(s.counter("Ingress.Panics"), int64(1))
}

// Guards against a malformed request that is answered out of turn, or behind which requests
// run.
func TestMalformedRequestEndsTheConnectionInItsTurn(t *testing.T) {
	tests := []struct {
		name      string
		malformed string
		status    int
	}{
		{"no request", "nonsense\r\n\r\n", http.StatusBadRequest},
		{"two lengths", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
		{"unknown encoding", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: rot13\r\n\r\n", http.StatusBadRequest},
		{"no host", "GET /x HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"two hosts", "GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", http.StatusBadRequest},
		{"host with a space", "GET /x HTTP/1.1\r\nHost: a b\r\n\r\n", http.StatusBadRequest},
		{"space before the colon", "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc", http.StatusBadRequest},
		{"CR in a value", "GET /x HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n", http.StatusBadRequest},
		{"head too long", get("/x", "A: "+strings.Repeat("b", 80<<10)), http.StatusRequestHeaderFieldsTooLarge},
		{"HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", http.StatusHTTPVersionNotSupported},
		{"other expectation", get("/x", "Expect: wonders"), http.StatusExpectationFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEcho("/1")
			s := serve(t, e)
			c := s.dial()
			c.send(get("/1") + get("/2"))
			c.send(tt.malformed + get("/3"))
			time.Sleep(20 * time.Millisecond)
			e.open("/1")
			is.Equal(c.receive().body, "GET /1 ")
			is.Equal(c.receive().body, "GET /2 ")
			r := c.receive()
			is.NoErr(r.err)
			is.Equal(r.status, tt.status)
			is.True(r.closes)
			_, err := c.reader.ReadByte()
			is.Equal(err, io.EOF) // closed, not reset
			is.Equal(len(e.started()), 2)
			is.Equal(s.counter("Ingress.Malformed"), int64(1))
		})
	}
}

// Guards against requests that were sent to a target and are lost behind a closing answer,
// and against requests that are started behind one.
func TestOnlyTheLastStartedAnswerCloses(t *testing.T) {
	is := is.New(t)
	e := newEcho("/1", "/2")
	s := serve(t, e)
	c := s.dial()
	c.send(get("/1?do=close") + get("/2") + post("/write", "body") + get("/4"))
	eventually(t, "two start", func() bool { return len(e.started()) == 2 })
	e.open("/1")
	r := c.receive()
	is.Equal(r.body, "GET /1 ")
	is.True(!r.closes)
	e.open("/2")
	r = c.receive()
	is.Equal(r.body, "GET /2 ")
	is.True(r.closes)
	_, err := c.reader.ReadByte()
	is.Equal(err, io.EOF)
	started := e.started()
	slices.Sort(started)
	is.Equal(started, []string{"/1", "/2"})
}

// Guards against a planned stop that cuts off requests that were started or have just been
// accepted, and against one that starts more and more requests.
func TestStopAnswersWhatHasStarted(t *testing.T) {
	is := is.New(t)
	e := newEcho("/1", "/2")
	s := serve(t, e)
	busy, idle := s.dial(), s.dial()
	busy.send(get("/1") + get("/2") + post("/write", "body"))
	idle.send(get("/a"))
	is.Equal(idle.receive().body, "GET /a ")
	eventually(t, "three have started", func() bool { return len(e.started()) == 3 })
	s.Leave()
	busy.send(get("/5"))
	idle.send(get("/b"))
	r := idle.receive()
	is.Equal(r.body, "GET /b ") // an idle connection takes one more request
	is.True(r.closes)
	late := s.dial()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	time.Sleep(10 * time.Millisecond)
	late.send(get("/c"))
	r = late.receive()
	is.Equal(r.body, "GET /c ")
	is.True(r.closes)
	e.open("/2")
	e.open("/1")
	r = busy.receive()
	is.Equal(r.body, "GET /1 ")
	is.True(!r.closes)
	r = busy.receive()
	is.Equal(r.body, "GET /2 ")
	is.True(r.closes)
	_, err := busy.reader.ReadByte()
	is.Equal(err, io.EOF)
	_ = busy.Close()
	_ = late.Close()
	_ = idle.Close()
	is.NoErr(<-stopped)
	is.Equal(len(e.started()), 5)
	_, err = net.DialTimeout("tcp4", s.address, time.Second)
	is.True(err != nil)
}

// slowEnd is a Handler that returns only some time after its whole answer has been sent.
type slowEnd struct {
	started chan struct{}
	returns chan struct{}
}

// Independent implements ingress.Handler.
func (h *slowEnd) Independent(*http.Request) bool { return true }

// ServeHTTP implements http.Handler.
func (h *slowEnd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.started <- struct{}{}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.URL.Path)))
	_, _ = io.WriteString(w, r.URL.Path)
	_ = http.NewResponseController(w).Flush()
	<-h.returns
}

// Guards against a stop between the end of an answer and the end of its request, which closes
// the connection although the answer says that it stays open: the caller's next request, or one
// that it has already sent, would be lost.
func TestStopAfterAnAnswerTakesOneMoreRequest(t *testing.T) {
	for _, pipelined := range []bool{false, true} {
		t.Run(fmt.Sprintf("pipelined %v", pipelined), func(t *testing.T) {
			is := is.New(t)
			h := &slowEnd{
				started: make(chan struct{}, 2),
				returns: make(chan struct{}, 2),
			}
			s := serve(t, h)
			c := s.dial()
			c.send(get("/1"))
			r := c.receive()
			is.Equal(r.body, "/1")
			is.True(!r.closes)
			<-h.started
			if pipelined {
				c.send(get("/2"))
				<-h.started // the second runs ahead, and its answer waits
			}
			s.Leave()
			h.returns <- struct{}{}
			if !pipelined {
				c.send(get("/2"))
			}
			r = c.receive()
			is.Equal(r.body, "/2")
			is.True(r.closes)
			h.returns <- struct{}{}
			_, err := c.reader.ReadByte()
			is.Equal(err, io.EOF)
			_ = c.Close()
		})
	}
}

// Guards against an answer of a target that a stop loses because it waits for an earlier one
// that doesn't come.
func TestStopDeliversAnswersBehindOneThatIsNotReady(t *testing.T) {
	for _, readyFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("ready before %v", readyFirst), func(t *testing.T) {
			is := is.New(t)
			e := newEcho("/1", "/2", "/3", "/4")
			s := serve(t, e)
			c := s.dial()
			c.send(get("/1") + get("/2") + get("/3") + get("/4"))
			eventually(t, "four have started", func() bool { return len(e.started()) == 4 })
			s.Leave()
			if readyFirst {
				e.open("/3")
				time.Sleep(20 * time.Millisecond)
			}
			s.GiveUpBlocking()
			if !readyFirst {
				e.open("/3")
			}
			for _, path := range []string{"/1", "/2", "/3"} {
				is.Equal(c.receive().body, "GET "+path+" ")
			}
			is.Equal(len(e.cancelled), 2) // nothing waits for the last one
		})
	}
}

// Guards against an answer that the caller loses because its connection is reset: a
// connection that is closed with unread bytes is.
func TestLastAnswerIsNotLostByAReset(t *testing.T) {
	is := is.New(t)
	for range 20 {
		e := newEcho("/1")
		s := serve(t, e)
		c := s.dial()
		c.send(get("/1?do=close") + post("/write", strings.Repeat("x", 20_000)))
		eventually(t, "it starts", func() bool { return len(e.started()) == 1 })
		e.open("/1")
		time.Sleep(5 * time.Millisecond) // the answer and the close are under way
		c.send(strings.Repeat("y", 20_000))
		r := c.receive()
		is.NoErr(r.err)
		is.Equal(r.body, "GET /1 ")
		_, err := c.reader.ReadByte()
		is.Equal(err, io.EOF)
	}
}

// Guards against work for a caller that has left, also while further requests wait unread.
func TestRequestsOfACallerThatLeavesAreCancelled(t *testing.T) {
	tests := []struct {
		name     string
		requests string
		started  int
		leave    func(c *caller)
	}{
		{
			name:     "closes",
			requests: get("/1") + get("/2"),
			started:  2,
			leave:    func(c *caller) { _ = c.Close() },
		},
		{
			name:     "resets",
			requests: get("/1") + get("/2"),
			started:  2,
			leave: func(c *caller) {
				_ = c.Conn.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			},
		},
		{
			name:     "with a request behind a write",
			requests: post("/1", "body") + get("/2"),
			started:  1,
			leave:    func(c *caller) { _ = c.Close() },
		},
		{
			name:     "with a write behind a read",
			requests: get("/1") + post("/2", "body"),
			started:  1,
			leave:    func(c *caller) { _ = c.Close() },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEcho("/1", "/2")
			s := serve(t, e)
			c := s.dial()
			c.send(tt.requests)
			eventually(t, "they start", func() bool { return len(e.started()) == tt.started })
			tt.leave(c)
			for range tt.started {
				select {
				case <-e.cancelled:
				case <-time.After(testTimeout):
					t.Fatal("a request goes on")
				}
			}
			is.Equal(len(e.started()), tt.started)
		})
	}
}

// Guards against a slow caller that holds back others or its connection for ever.
func TestCallerThatReadsNoAnswersIsCutOff(t *testing.T) {
	is := is.New(t)
	h := handlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	})
	s := serve(t, h)
	c := s.dial()
	c.send(get("/1") + get("/2"))
	time.Sleep(300 * time.Millisecond)
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	_, err := io.Copy(io.Discard, c.reader)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
}

type handlerFunc func(w http.ResponseWriter, r *http.Request)

func (f handlerFunc) ServeHTTP(w http.ResponseWriter, r *http.Request) { f(w, r) }
func (f handlerFunc) Independent(*http.Request) bool                   { return true }

// Guards against a time limit that begins only when a request's turn has come.
func TestTimeOfARequestBeginsWithItsReceipt(t *testing.T) {
	is := is.New(t)
	arrivals := make(chan ingress.Arrival, 3)
	gate := make(chan struct{})
	h := handlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, ok := ingress.ArrivalOf(r.Context())
		is.True(ok)
		arrivals <- a
		if r.Method == http.MethodPost {
			<-gate
		}
		ingress.AwaitTurn(w)
	})
	s := serve(t, h)
	c := s.dial()
	c.send(post("/write", "body") + get("/2") + get("/3"))
	sentAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	close(gate)
	for range 3 {
		is.NoErr(c.receive().err)
	}
	is.Equal((<-arrivals).Ahead, 0)
	for range 2 {
		a := <-arrivals
		is.True(a.ReceivedAt.Before(sentAt.Add(50 * time.Millisecond)))
	}
}

// Guards against differences to what callers of net/http's server see.
func TestAnswersAreFramedLikeThoseOfNetHTTP(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		request string
	}{
		{"short", http.MethodGet, get("/1")},
		{"long", http.MethodGet, get("/1?do=long")},
		{"no content", http.MethodGet, get("/1?do=empty")},
		{"HEAD", http.MethodHead, "HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"HEAD of a long answer", http.MethodHead, "HEAD /1?do=long HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"HTTP/1.0", http.MethodGet, "GET /1 HTTP/1.0\r\n\r\n"},
		{"long HTTP/1.0", http.MethodGet, "GET /1?do=long HTTP/1.0\r\n\r\n"},
		{"HTTP/1.0 that keeps the connection", http.MethodGet, "GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"},
		{"caller closes", http.MethodGet, get("/1", "Connection: close")},
		{"handler closes", http.MethodGet, get("/1?do=close")},
		{"body in chunks", http.MethodPost, "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"chunks and a length", http.MethodPost, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			reference := &http.Server{
				Handler: newEcho(),
			}
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			go func() { _ = reference.Serve(l) }()
			defer func() { _ = reference.Close() }()
			s := serve(t, newEcho())
			answers := map[string]received{}
			for name, address := range map[string]string{"net/http": l.Addr().String(), "ingress": s.address} {
				raw, err := net.Dial("tcp4", address)
				is.NoErr(err)
				_ = raw.SetDeadline(time.Now().Add(testTimeout))
				c := &caller{
					t:      t,
					Conn:   raw,
					reader: bufio.NewReader(raw),
				}
				c.send(tt.request)
				r := c.receiveFor(tt.method)
				is.NoErr(r.err)
				r.header.Del("Content-Type") // net/http guesses it
				r.header.Del("Date")
				answers[name] = r
				_ = raw.Close()
			}
			is.Equal(answers["ingress"], answers["net/http"])
		})
	}
}

// Guards against callers that wait in vain for a sign to send a body, and against bodies
// that are taken for requests.
func TestBodiesOfRequests(t *testing.T) {
	t.Run("the caller awaits a sign", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, newEcho())
		c := s.dial()
		c.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
		line, err := c.reader.ReadString('\n')
		is.NoErr(err)
		is.Equal(line, "HTTP/1.1 100 Continue\r\n")
		_, _ = c.reader.ReadString('\n')
		c.send("body" + get("/2"))
		is.Equal(c.receive().body, "POST /1 body")
		is.Equal(c.receive().body, "GET /2 ")
	})
	unread := handlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})
	t.Run("a short body is not read", func(t *testing.T) {
		is := is.New(t)
		c := serve(t, unread).dial()
		c.send(post("/1", get("/hidden")) + get("/2"))
		is.Equal(c.receive().body, "/1")
		is.Equal(c.receive().body, "/2")
	})
	t.Run("a long body is not read", func(t *testing.T) {
		is := is.New(t)
		c := serve(t, unread).dial()
		go func() { _, _ = io.WriteString(c.Conn, post("/1", strings.Repeat("x", 600<<10))+get("/2")) }()
		r := c.receive()
		is.NoErr(r.err)
		is.Equal(r.body, "/1")
		is.True(r.closes)
	})
	t.Run("the sign is not given", func(t *testing.T) {
		is := is.New(t)
		c := serve(t, unread).dial()
		c.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
		r := c.receive()
		is.Equal(r.body, "/1")
		is.True(r.closes)
	})
}

// Guards against connections that are kept for ever.
func TestConnectionsWithoutRequestsEnd(t *testing.T) {
	tests := []struct {
		name string
		send string
	}{
		{"nothing", ""},
		{"a part of a head", "GET /1 HTTP/1.1\r\n"},
		{"a request, then nothing", get("/1")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, newEcho(), ingress.WithIdleTimeout(50*time.Millisecond), ingress.WithHeaderTimeout(50*time.Millisecond))
			c := s.dial()
			c.send(tt.send)
			began := time.Now()
			_, err := io.ReadAll(c.reader)
			is.NoErr(err)
			is.True(time.Since(began) < testTimeout/2)
		})
	}
}

// FuzzSplits guards against requests that are understood differently depending on how their
// bytes arrive: it compares them with the same requests sent one at a time.
func FuzzSplits(f *testing.F) {
	f.Add("a b c", uint64(1))
	f.Add("P4:body a P0: b", uint64(7))
	f.Add("a C3:abc b X c", uint64(3))
	f.Add("a P70:"+strings.Repeat("x", 70)+" K c", uint64(99))
	f.Fuzz(func(t *testing.T, plan string, seed uint64) {
		requests := planned(plan)
		if len(requests) == 0 || len(requests) > 12 {
			t.Skip()
		}
		s := serve(t, newEcho())
		var want []string
		single := s.dial()
		for _, r := range requests {
			single.send(r)
			answer := single.receive()
			want = append(want, fmt.Sprint(answer.status, answer.body))
			if answer.closes || answer.err != nil {
				break
			}
		}
		c := s.dial()
		_ = c.Conn.(*net.TCPConn).SetNoDelay(true)
		go func() {
			rest := strings.Join(requests, "")
			for random := seed; len(rest) > 0; random = random*6364136223846793005 + 1442695040888963407 {
				n := min(1+int(random>>33)%40, len(rest))
				if _, err := io.WriteString(c.Conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
				if random>>60 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
		}()
		for n, w := range want {
			answer := c.receive()
			if got := fmt.Sprint(answer.status, answer.body); got != w {
				t.Fatalf("answer %d of %q: %s, one at a time %s", n, plan, got, w)
			}
		}
	})
}

// planned returns the requests of a plan: P is a POST with a length, C one in chunks, X is
// malformed, K closes, and everything else is a path.
func planned(plan string) []string {
	var all []string
	for n, word := range strings.Fields(plan) {
		_, body, _ := strings.Cut(word, ":")
		switch word[0] {
		case 'P':
			all = append(all, post(fmt.Sprintf("/%d", n), body))
		case 'C':
			if body == "" {
				body = "x"
			}
			all = append(all, fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", n, len(body), body))
		case 'X':
			all = append(all, "GET /x HTTP/1.1\r\nbad line\r\n\r\n")
		case 'K':
			all = append(all, get(fmt.Sprintf("/%d?do=close", n)))
		default:
			all = append(all, get("/"+url.PathEscape(word)))
		}
	}
	return all
}
