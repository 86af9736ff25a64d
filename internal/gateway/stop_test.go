package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/standin"
)

// Guards against a stop that loses the answer to a pipelined request because an earlier one
// is at a target that doesn't answer.
func TestStopDeliversAnswerBehindATargetThatHangs(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, 1)
	f.startTargets("mill", 1)
	f.configure(configuration{
		Revision: 2,
		Keys:     []string{"key-1"},
		Path:     "/two",
		Timeout:  20 * time.Second,
	})
	f.await(func() bool { return f.call(f.instances[0], "/two/1", "key-1") == http.StatusOK })
	f.await(func() bool { return f.call(f.instances[0], "/mill/1", "key-1") == http.StatusOK })
	f.targets[0].SetFaults(standin.TargetFaults{
		Hang: true,
	})
	conn, err := net.Dial("tcp4", f.instances[0].EntryAddress())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(awaitTimeout))
	for _, path := range []string{"/two/hangs", "/mill/2"} {
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\nDandelionmux-Timeout-Ms: 30000\r\n\r\n", path)
		is.NoErr(err)
	}
	f.await(func() bool { return f.targets[1].Counts().Executed >= 2 })
	go func() { _ = f.instances[0].Stop(t.Context()) }()
	reader := bufio.NewReader(conn)
	for _, status := range []int{http.StatusGatewayTimeout, http.StatusOK} {
		r, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, r.Body)
		is.NoErr(err)
		_ = r.Body.Close()
		is.Equal(r.StatusCode, status)
	}
}
