package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/instance"
)

// Guards against bytes without end that come through another instance, or from whatever has its
// address, and fill the memory, hold a caller longer than its route allows, or look complete.
func TestRelayedAnswerWithoutEndIsBounded(t *testing.T) {
	const maxControlBytes = 32 << 20
	tests := []struct{ name, head, repeated string }{
		{name: "no line ends", repeated: "x"},
		{name: "fields of the head", head: "HTTP/1.1 200 OK\r\n", repeated: "X-More: 1\r\n"},
		{name: "interim heads", repeated: "HTTP/1.1 102 Processing\r\n\r\n"},
		{name: "body without a length", head: "HTTP/1.1 200 OK\r\nMARK\r\n\r\n", repeated: "x"},
		{name: "chunks", head: "HTTP/1.1 200 OK\r\nMARK\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "4\r\nxxxx\r\n"},
		{name: "size of a chunk", head: "HTTP/1.1 200 OK\r\nMARK\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "0"},
		{name: "trailer", head: "HTTP/1.1 200 OK\r\nMARK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "X-More: 1\r\n"},
	}
	for _, tt := range tests {
		for _, from := range []string{"target", "instance"} {
			t.Run(tt.name+", from "+from, func(t *testing.T) {
				is := is.New(t)
				endless := standin.NewEndlessAnswer(tt.head, tt.repeated)
				s, err := standin.NewRawServer(func(c *net.TCPConn, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					const header = "Dandelionmux-Relay"
					asked, _ := url.ParseQuery(r.Header.Get(header))
					result := url.Values{"Request": asked["Request"], "Revision": {"1"}, "Sent": {"1"}}
					mark := fmt.Sprintf("X-Signature: s\r\n%s: %s", header, result.Encode())
					_ = endless.Send(c, func(head string) string { return strings.Replace(head, "MARK", mark, 1) })
				})
				is.NoErr(err)
				t.Cleanup(s.Close)
				e := newRelayEnv(t, 1, 0)
				e.allowAttempts(1)
				if from == "target" {
					e.document.Services[0].Targets[0].Address = s.Address()
					e.publish()
					e.addHelper(e.newHelper(entry.WithDialect(statusDialect())))
				} else {
					e.relays.helpers = append(e.relays.helpers, instance.Address(s.Address()))
				}
				callers := serveCallers(t, e.newHandler(e.relays, entry.WithDialect(statusDialect())))
				var got callResult
				began := time.Now()
				most := standin.PeakHeap(func() { got = callers.discard(t) })
				took := time.Since(began)
				t.Logf("status %d, %v, after %s, heap %d KB, %d KB sent", got.status, got.err, took.Round(time.Millisecond), most>>10, endless.Sent()>>10)
				is.True(got.err != nil || got.status == http.StatusBadGateway)
				is.True(took <= timeout+time.Second)
				is.True(most <= maxControlBytes)
				waitUntil(t, func() bool { return s.Open() == 0 })
			})
		}
	}
}

// discard sends a request that may not be repeated, and doesn't keep the body of the answer.
func (s *callerServer) discard(t *testing.T) callResult {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.address+"/bookings", nil)
	is.New(t).NoErr(err)
	r.Header.Set("X-Api-Key", key)
	response, err := s.client.Do(r)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return callResult{
		status: response.StatusCode,
		header: response.Header,
		err:    err,
	}
}
