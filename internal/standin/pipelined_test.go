package standin_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/standin"
)

// groupServer answers the requests of a connection in groups, none before the whole group
// has arrived.
type groupServer struct {
	// maxGroup bounds a group. groupTime is how long requests that complete it are awaited.
	maxGroup  int
	groupTime time.Duration
	// closeAfter is the number of answers on a connection, the last of which closes it; no
	// bound if zero.
	closeAfter int
	largest    atomic.Int64
}

// start serves and returns the URL.
func (g *groupServer) start(t *testing.T) string {
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
			go g.serve(c)
		}
	}()
	return "http://" + l.Addr().String()
}

func (g *groupServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	buffer := bufio.NewReader(c)
	for sent := 0; ; {
		var ids []string
		for len(ids) < g.maxGroup {
			if len(ids) > 0 {
				_ = c.SetReadDeadline(time.Now().Add(g.groupTime))
				if _, err := buffer.Peek(1); err != nil {
					break
				}
			}
			_ = c.SetReadDeadline(time.Time{})
			r, err := http.ReadRequest(buffer)
			if err != nil {
				return
			}
			ids = append(ids, r.Header.Get(standin.HeaderExecution))
		}
		g.largest.Store(max(g.largest.Load(), int64(len(ids))))
		for _, id := range ids {
			sent++
			closing := ""
			if sent == g.closeAfter {
				closing = "Connection: close\r\n"
			}
			body := fmt.Sprintf(`{"Execution":%q}`, id)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", closing, len(body), body)
			if sent == g.closeAfter {
				return
			}
		}
	}
}

// Guards against a load that sends each request only after the answer before it, or takes an
// answer for that of another request.
func TestPipelinedLoad(t *testing.T) {
	const (
		depth    = 4
		requests = 40
	)
	for _, closeAfter := range []int{0, 3} {
		t.Run(fmt.Sprint("close after ", closeAfter), func(t *testing.T) {
			is := is.New(t)
			server := groupServer{
				maxGroup:   2 * depth,
				groupTime:  50 * time.Millisecond,
				closeAfter: closeAfter,
			}
			s, err := standin.Load{
				Entries: []string{server.start(t)},
				Callers: []standin.Caller{{
					Organisation: "orchard",
					PerSecond:    1000,
				}},
				Pipeline: depth,
				Count:    requests,
				Duration: 5 * time.Second,
				Timeout:  2 * time.Second,
			}.Run(t.Context())
			is.NoErr(err)
			is.Equal(server.largest.Load(), int64(depth))
			is.Equal(s.All.Wrong, 0)
			is.Equal(s.All.Whole+s.All.Failed, requests)
			is.Equal(s.All.Failed > 0, closeAfter > 0)
		})
	}
}
