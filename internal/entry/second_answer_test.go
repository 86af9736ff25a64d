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

// repeatingTarget is a target that sends a second copy of each answer.
type repeatingTarget struct {
	// late has the copy sent when the connection is in use again; otherwise it follows
	// after pause.
	late   bool
	pause  time.Duration
	reused atomic.Int64
}

func (s *repeatingTarget) serve(c net.Conn) {
	buffer := bufio.NewReader(c)
	second := ""
	for {
		r, err := http.ReadRequest(buffer)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if second != "" {
			s.reused.Add(1)
			if s.late {
				_, _ = io.WriteString(c, second)
			}
		}
		body := "answer to " + r.URL.Path
		second = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			entry.DefaultDialect().RequestIDHeader, r.Header.Get(entry.DefaultDialect().RequestIDHeader), len(body), body)
		_, _ = io.WriteString(c, second)
		if !s.late {
			time.Sleep(s.pause)
			_, _ = io.WriteString(c, second)
		}
	}
}

// Guards against a second copy of an answer that comes late, on a connection that is in use
// again, and reaches the next caller.
func TestSecondAnswerReachesNobody(t *testing.T) {
	tests := []struct {
		name   string
		target *repeatingTarget
	}{
		{"once the connection is in use again", &repeatingTarget{late: true}},
		{"at once", &repeatingTarget{}},
		{"after a pause", &repeatingTarget{pause: 5 * time.Millisecond}},
	}
	for _, tt := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(tt.name+" "+method, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(t, 1)
				env.document.Services[0].Targets[0].Address = serveConnections(t, tt.target.serve)
				env.publish()
				served := 0
				for n := range 60 {
					path := fmt.Sprint("/bookings/", n)
					got := env.call(method, path, "")
					if got.status == http.StatusOK && got.err == nil {
						is.True(strings.HasSuffix(got.body, path))
						served++
					}
					time.Sleep(time.Duration(n%7) * time.Millisecond)
				}
				is.True(served > 0)
			})
		}
	}
	is.New(t).True(tests[0].target.reused.Load() > 0)
}
