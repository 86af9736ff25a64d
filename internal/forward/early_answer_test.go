package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/internal/forward"
)

// Guards against bytes behind an answer that are taken for the answer to the next request on the
// connection: they were read with the answer, before that request was sent.
func TestBytesBehindAnAnswerAnswerNoRequest(t *testing.T) {
	const (
		callers = 8
		calls   = 500
	)
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
				}
			}()
		}
	}()
	client := forward.New()
	defer client.Close()
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for range calls {
				answered, ok := client.Do(t.Context(), forward.Attempt{
					Address: listener.Addr().String(),
					Request: newRequest(http.MethodGet, ""),
				}).(forward.Answered)
				if !ok {
					continue
				}
				body, err := io.ReadAll(answered.Response.Body)
				_ = answered.Response.Body.Close()
				if err == nil && len(body) > 0 {
					t.Errorf("answered with %q", body)
				}
			}
		})
	}
	running.Wait()
}
