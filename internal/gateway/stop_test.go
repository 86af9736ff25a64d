package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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

// lateCall is what became of a request that was sent to an instance that is stopping.
type lateCall struct {
	sentAt  time.Duration
	method  string
	status  int
	outcome string
	took    time.Duration
}

// Guards against requests that come late in a planned stop, are passed on and cut at its end
// without an answer, against answers that say "not run" although a target has begun, and against
// refusals of what can be finished.
func TestLateRequestsOfAStopAreFinishedOrRefused(t *testing.T) {
	const (
		stopTime = 6 * time.Second
		spacing  = 100 * time.Millisecond
		targets  = 8
		// refusalTime is the time within which what can't be served is refused.
		refusalTime  = 300 * time.Millisecond
		settlingTime = 300 * time.Millisecond
	)
	for _, work := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3200 * time.Millisecond, 4500 * time.Millisecond} {
		t.Run(work.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newTestFleet(t, 3, 0)
			var servers []*standin.TargetServer
			for i := range targets {
				name := fmt.Sprintf("desk-%d", i)
				s, err := standin.ServeTarget(name, "127.0.0.1:0", time.Second, standin.TargetWorkTime(work))
				is.NoErr(err)
				t.Cleanup(s.Close)
				servers = append(servers, s)
				f.memory.put(targetPrefix+name, []byte(s.Address()), 0)
			}
			g := f.instances[0]
			f.await(func() bool { return strings.Contains(f.metrics(g), fmt.Sprintf("Fleet.Targets %d\n", targets)) })
			var warm sync.WaitGroup
			for range targets {
				warm.Go(func() { is.Equal(f.call(g, "/one/1", "key-1"), http.StatusOK) })
			}
			warm.Wait()
			executed := func() (n int) {
				for _, s := range servers {
					n += int(s.Counts().Executed)
				}
				return n
			}
			// Attempts beside the warm-up requests, whose answers are overdue after 2 s, may begin until
			// they are cancelled. One that began after the count was taken for a lost request.
			time.Sleep(settlingTime)
			before := executed()

			beganAt := time.Now()
			calls := make(chan lateCall, 1000)
			var callers sync.WaitGroup
			call := func(client *http.Client, method string) {
				sentAt := time.Now()
				r, err := http.NewRequest(method, "http://"+g.EntryAddress()+"/one/1", nil)
				is.NoErr(err)
				r.Header.Set("Authorization", "Bearer key-1")
				late := lateCall{
					sentAt: sentAt.Sub(beganAt),
					method: method,
				}
				if response, err := client.Do(r); err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					is.NoErr(err)
					_ = response.Body.Close()
					late.status, late.outcome = response.StatusCode, response.Header.Get("Dandelionmux-Outcome")
				}
				late.took = time.Since(sentAt)
				calls <- late
			}
			go func() { _ = g.Stop(t.Context()) }()
			for i := 0; time.Since(beganAt) < stopTime; i++ {
				callers.Go(func() {
					transport := &http.Transport{}
					defer transport.CloseIdleConnections()
					call(&http.Client{Transport: transport}, []string{http.MethodPost, http.MethodGet}[i%2])
				})
				time.Sleep(spacing)
			}
			callers.Wait()
			close(calls)
			answered, statuses := 0, map[int]int{}
			for c := range calls {
				statuses[c.status]++
				switch {
				case c.status == http.StatusServiceUnavailable:
					if c.outcome != "not-run" || c.took > refusalTime && c.sentAt+c.took < stopTime-time.Second {
						t.Errorf("refused: %+v", c)
					}
					if c.sentAt+4*work < stopTime-time.Second {
						t.Errorf("refused although there was time: %+v", c)
					}
				case c.status != 0:
					answered++
				}
			}
			t.Logf("requests by status, 0 for none: %v", statuses)
			if lost := executed() - before - answered; lost != 0 {
				t.Errorf("%d of the requests that targets began got no answer", lost)
			}
		})
	}
}

// Guards against connections that are cut without an answer at the end of a stop, because their
// request is at a target that doesn't answer or its body never comes.
func TestEndOfStopAnswersWhatIsInProgress(t *testing.T) {
	tests := []struct {
		name    string
		request string
		began   bool
		status  int
		outcome string
	}{
		{
			name:    "write at a target that hangs",
			request: "POST /one/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\nContent-Length: 1\r\n\r\na",
			began:   true,
			status:  http.StatusGatewayTimeout,
			outcome: "unknown",
		},
		{
			name:    "read at a target that hangs",
			request: "GET /one/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\n\r\n",
			began:   true,
			status:  http.StatusGatewayTimeout,
			outcome: "unknown",
		},
		{
			name:    "body that stops half-way",
			request: "POST /one/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\nContent-Length: 100\r\n\r\na",
			status:  http.StatusServiceUnavailable,
			outcome: "not-run",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newTestFleet(t, 1, 1)
			f.configure(configuration{
				Revision: 2,
				Keys:     []string{"key-1"},
				Path:     "/one",
				Timeout:  time.Minute,
			})
			f.await(func() bool { return strings.Contains(f.log.String(), "Revision=2") })
			f.targets[0].SetFaults(standin.TargetFaults{
				Hang: true,
			})
			conn, err := net.Dial("tcp4", f.instances[0].EntryAddress())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(awaitTimeout))
			_, err = io.WriteString(conn, tt.request)
			is.NoErr(err)
			if tt.began {
				f.await(func() bool { return f.targets[0].Counts().Executed == 1 })
			} else {
				time.Sleep(100 * time.Millisecond)
			}
			go func() { _ = f.instances[0].Stop(t.Context()) }()
			r, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_ = r.Body.Close()
			is.Equal(r.StatusCode, tt.status)
			is.Equal(r.Header.Get("Dandelionmux-Outcome"), tt.outcome)
		})
	}
}
