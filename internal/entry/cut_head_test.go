package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
)

// Guards against a target that stops in the midst of its answer's head and closes, and a caller
// that gets a whole answer with an empty or short body.
func TestAnswerThatEndsInItsHeadIsNoAnswer(t *testing.T) {
	heads := []struct {
		name string
		head string
	}{
		{"with length", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 12\r\nX-Last: value\r\n\r\n"},
		{"without length", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Last: value\r\n\r\n"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Signature: s\r\n\r\n"},
		{"bare line ends", "HTTP/1.1 200 OK\nX-Signature: s\nContent-Length: 0\n\n"},
	}
	for _, tt := range heads {
		for _, kept := range []bool{false, true} {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, kept %v, relayed %v", tt.name, kept, relayed), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					var cut string
					var mu sync.Mutex
					address := serveConnections(t, func(c net.Conn) {
						buffer := bufio.NewReader(c)
						for n := 0; ; n++ {
							r, err := http.ReadRequest(buffer)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, r.Body)
							if kept && n == 0 {
								_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nwhole")
								continue
							}
							mu.Lock()
							_, _ = io.WriteString(c, cut)
							mu.Unlock()
							return
						}
					})
					e := newRelayEnv(t, 1, 0)
					e.document.Services[0].Targets[0].Address = address
					e.allowAttempts(1)
					e.addHelper(e.newHelper(entry.WithDialect(statusDialect())))
					s := serveCallers(t, e.newHandler(e.relaysIf(relayed), entry.WithDialect(statusDialect())))
					for end := range len(tt.head) - 1 {
						mu.Lock()
						cut = tt.head[:end]
						mu.Unlock()
						for _, method := range []string{http.MethodGet, http.MethodPost} {
							r, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.address+"/bookings", nil)
							is.NoErr(err)
							r.Header.Set("X-Api-Key", key)
							got := do(s.client, r)
							if got.err == nil && got.status < 300 && got.body != "whole" {
								t.Errorf("%s, head cut after %q: %d %q", method, cut, got.status, got.body)
							}
						}
					}
				})
			}
		}
	}
}
