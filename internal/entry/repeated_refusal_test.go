package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/internal/standin"
)

// serveConnections has each connection to a new listener served, and returns its address.
func serveConnections(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// statusDialect is a dialect in which some statuses say that a request has not run.
func statusDialect() entry.Dialect {
	d := entry.DefaultDialect()
	d.ForwardCallerIDs = true
	d.StatusImpliesNotRun = true
	d.AllowUnframed = true
	d.SignatureHeader = "X-Signature"
	d.ExpectedTargetHeader = "X-Expected"
	return d
}

// repeatMoment is when a target sends an earlier refusal once more.
type repeatMoment int

const (
	// betweenRequests is shortly after the refusal.
	betweenRequests repeatMoment = iota
	// afterFirstByte is when the first byte of the next request arrives.
	afterFirstByte
	// inBody is when the head of the next request has been read, and its body hasn't.
	inBody
)

// repeatingRefuser is a target that refuses every second request of a connection, repeats the
// refusal, and runs the others.
type repeatingRefuser struct {
	moment repeatMoment
	status int
	// echoes says that refusals have the request's id.
	echoes bool
	// marked says that refusals have the header that says that the request has not run.
	marked  bool
	dialect entry.Dialect

	mu       sync.Mutex
	runs     map[string]int
	repeated int
}

func (s *repeatingRefuser) serve(c net.Conn) {
	buffer := bufio.NewReader(c)
	refusal := ""
	for n := 0; ; n++ {
		if _, err := buffer.Peek(1); err != nil {
			return
		}
		if s.moment == afterFirstByte {
			s.repeat(c, refusal)
		}
		r, err := http.ReadRequest(buffer)
		if err != nil {
			return
		}
		if s.moment == inBody {
			s.repeat(c, refusal)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if n%2 == 0 {
			refusal = s.refusal(r)
			_, _ = io.WriteString(c, refusal)
			if s.moment == betweenRequests {
				time.Sleep(time.Millisecond)
				s.repeat(c, refusal)
			}
			continue
		}
		refusal = ""
		s.mu.Lock()
		s.runs[r.Header.Get(standin.HeaderExecution)]++
		s.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\ndone",
			s.dialect.RequestIDHeader, r.Header.Get(s.dialect.RequestIDHeader))
	}
}

// refusal returns the refusal of a request.
func (s *repeatingRefuser) refusal(r *http.Request) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d Refused\r\n", s.status)
	if s.echoes {
		fmt.Fprintf(&b, "%s: %s\r\n", s.dialect.RequestIDHeader, r.Header.Get(s.dialect.RequestIDHeader))
	}
	if s.marked {
		fmt.Fprintf(&b, "%s: true\r\n", s.dialect.ShedHeader)
	}
	b.WriteString("Content-Length: 0\r\n\r\n")
	return b.String()
}

// repeat sends an earlier refusal, if there is one.
func (s *repeatingRefuser) repeat(c net.Conn, refusal string) {
	if refusal == "" {
		return
	}
	s.mu.Lock()
	s.repeated++
	s.mu.Unlock()
	_, _ = io.WriteString(c, refusal)
}

func (s *repeatingRefuser) ran(execution string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[execution]
}

// saysNotRun reports whether a caller of the dialect concludes that its request has not run.
func (a callResult) saysNotRun(d entry.Dialect) bool {
	if a.outcome() == entry.OutcomeNotRun {
		return true
	}
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return d.StatusImpliesNotRun
	}
	return false
}

// Guards against an earlier refusal that a target sends once more on a kept connection, and
// that is taken for the answer to the next request: its caller would be told that it has not
// run, or it would run at a second target.
func TestRepeatedRefusalSaysNothingOfTheNextRequest(t *testing.T) {
	const calls = 40
	moments := []struct {
		name   string
		moment repeatMoment
	}{
		{"between requests", betweenRequests},
		{"after the first byte", afterFirstByte},
		{"in the body", inBody},
	}
	forms := []struct {
		name   string
		status int
		echoes bool
		marked bool
		own    bool
	}{
		{"own dialect", http.StatusServiceUnavailable, false, true, true},
		{"own dialect, with id", http.StatusServiceUnavailable, true, true, true},
		{"503", http.StatusServiceUnavailable, false, true, false},
		{"503, with id", http.StatusServiceUnavailable, true, true, false},
		{"503, not marked", http.StatusServiceUnavailable, false, false, false},
		{"429", http.StatusTooManyRequests, false, true, false},
		{"429, not marked", http.StatusTooManyRequests, false, false, false},
		{"408, not marked", http.StatusRequestTimeout, false, false, false},
		{"421", http.StatusMisdirectedRequest, false, true, false},
		{"421, not marked", http.StatusMisdirectedRequest, false, false, false},
	}
	for _, m := range moments {
		for _, form := range forms {
			for _, way := range []string{"read", "write", "relayed read", "relayed write"} {
				t.Run(m.name+", "+form.name+", "+way, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					dialect := entry.DefaultDialect()
					if !form.own {
						dialect = statusDialect()
					}
					refuser := &repeatingRefuser{
						moment:  m.moment,
						status:  form.status,
						echoes:  form.echoes,
						marked:  form.marked,
						dialect: dialect,
						runs:    map[string]int{},
					}
					e := newRelayEnv(t, 2, 0)
					for i := range e.document.Services[0].Targets {
						e.document.Services[0].Targets[i].Address = serveConnections(t, refuser.serve)
					}
					e.publish()
					e.addHelper(e.newHelper(entry.WithDialect(dialect)))
					s := serveCallers(t, e.newHandler(e.relaysIf(strings.HasPrefix(way, "relayed")), entry.WithDialect(dialect)))
					method := http.MethodGet
					if strings.HasSuffix(way, "write") {
						method = http.MethodPost
					}
					for n := range calls {
						id := strconv.Itoa(n)
						r, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.address+"/bookings/"+id, strings.NewReader("tanker"))
						is.NoErr(err)
						r.Header.Set("X-Api-Key", key)
						r.Header.Set(standin.HeaderExecution, id)
						r.Header.Set(dialect.RequestIDHeader, id)
						got := do(s.client, r)
						time.Sleep(4 * time.Millisecond) // until the run has begun
						if refuser.ran(id) > 0 && got.saysNotRun(dialect) {
							t.Errorf("request %s ran and got %d %s", id, got.status, got.outcome())
						}
						if method == http.MethodPost && refuser.ran(id) > 1 {
							t.Errorf("write %s ran %d times", id, refuser.ran(id))
						}
					}
				})
			}
		}
	}
}
