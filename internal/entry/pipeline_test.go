package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/internal/standin"
)

// pipelinedCaller sends requests without awaiting the answers.
type pipelinedCaller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (e *testEnv) dialPipelined() *pipelinedCaller {
	e.t.Helper()
	conn, err := net.Dial("tcp4", e.server.address)
	is.New(e.t).NoErr(err)
	e.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &pipelinedCaller{
		t:    e.t,
		conn: conn,
		in:   bufio.NewReader(conn),
	}
}

func (c *pipelinedCaller) send(method, path, execution string, headers ...string) {
	c.t.Helper()
	headers = append(headers, "Host: h", "X-Api-Key: "+key, standin.HeaderExecution+": "+execution, "Content-Length: 0")
	_, err := io.WriteString(c.conn, fmt.Sprintf("%s %s HTTP/1.1\r\n%s\r\n\r\n", method, path, strings.Join(headers, "\r\n")))
	is.New(c.t).NoErr(err)
}

func (c *pipelinedCaller) receive() callResult {
	c.t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return callResult{
			err: err,
		}
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	return callResult{
		status: r.StatusCode,
		header: r.Header,
		body:   string(body),
		err:    err,
	}
}

// Guards against pipelined reads that take as long as all before them together.
func TestPipelinedReadsRunTogether(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 3)
	for _, s := range env.targets {
		s.SetFaults(standin.TargetFaults{SlowFactor: 200})
	}
	c := env.dialPipelined()
	began := time.Now()
	for n := range 6 {
		c.send(http.MethodGet, "/bookings", fmt.Sprintf("e%d", n))
	}
	for range 6 {
		is.Equal(c.receive().status, http.StatusOK)
	}
	is.True(time.Since(began) < 6*200*time.Millisecond/2)
}

// Guards against a Retry-After that was true when a refusal was made, but not when it
// leaves behind a slow answer; and against deadlines that begin only then.
func TestRefusalBehindASlowAnswerIsTrueWhenItLeaves(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 1)
	env.targets[0].SetFaults(standin.TargetFaults{SlowFactor: 600})
	c := env.dialPipelined()
	c.send(http.MethodGet, "/bookings", "slow")
	waitUntil(t, func() bool { return env.executions("slow") == 1 })
	env.targets[0].SetFaults(standin.TargetFaults{Shed: true})
	c.send(http.MethodGet, "/bookings", "shed")
	first, second := c.receive(), c.receive()
	is.Equal(first.status, http.StatusOK)
	is.Equal(second.status, http.StatusServiceUnavailable)
	is.Equal(second.outcome(), entry.OutcomeNotRun)
	seconds, err := strconv.ParseFloat(second.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds <= 1)
	is.Equal(env.executions("shed"), 0)
}

// Guards against requests that run although their time was over while they waited behind a
// write.
func TestTimeOfAWaitingRequestGoesOn(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 2)
	for _, s := range env.targets {
		s.SetFaults(standin.TargetFaults{SlowFactor: 300})
	}
	c := env.dialPipelined()
	c.send(http.MethodPost, "/bookings", "write")
	c.send(http.MethodGet, "/bookings", "late", entry.TimeoutHeader+": 100")
	is.Equal(c.receive().status, http.StatusOK)
	late := c.receive()
	is.True(late.status >= http.StatusInternalServerError)
	is.Equal(late.outcome(), entry.OutcomeNotRun)
	is.Equal(env.executions("late"), 0)
}

// Guards against a key that was withdrawn while its request waited behind a write.
func TestKeyIsCheckedWhenAWaitingRequestStarts(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 1)
	env.targets[0].SetFaults(standin.TargetFaults{SlowFactor: 300})
	c := env.dialPipelined()
	c.send(http.MethodPost, "/bookings", "write")
	c.send(http.MethodGet, "/bookings", "read")
	waitUntil(t, func() bool { return env.executions("write") == 1 })
	env.document.Organisations[0].KeyDigests = nil
	env.publish()
	is.Equal(c.receive().status, http.StatusOK)
	is.Equal(c.receive().status, http.StatusUnauthorized)
	is.Equal(env.executions("read"), 0)
}

// Guards against writes that run ahead, and against more than one run of a pipelined
// write, when the caller's connection ends.
func TestPipelinedWritesRunOneByOne(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 3)
	for _, s := range env.targets {
		s.SetFaults(standin.TargetFaults{SlowFactor: 100})
	}
	c := env.dialPipelined()
	for n := range 3 {
		c.send(http.MethodPost, "/bookings", fmt.Sprintf("w%d", n))
	}
	is.Equal(c.receive().status, http.StatusOK)
	is.Equal(env.executions("w2"), 0)
	_ = c.conn.Close()
	time.Sleep(300 * time.Millisecond)
	is.Equal(env.executions("w0"), 1)
	is.True(env.executions("w1") <= 1)
	is.Equal(env.executions("w2"), 0)
}
