package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/target"
)

// statusTarget answers each request with fixed bytes, and keeps the connection open.
type statusTarget struct {
	answer string
	// closes says that it closes the connection after the answer.
	closes bool
	asked  atomic.Int64
	// ended is the number of connections that the other side has closed.
	ended atomic.Int64
}

func (s *statusTarget) serve(c net.Conn) {
	buffer := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(buffer)
		if err != nil {
			s.ended.Add(1)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.asked.Add(1)
		_, _ = io.WriteString(c, s.answer)
		if s.closes {
			return
		}
	}
}

// outcomeRecorder records how the attempts at targets ended.
type outcomeRecorder struct {
	mu       sync.Mutex
	outcomes []target.Outcome
}

type recordedSlot struct {
	entry.Slot
	recorder *outcomeRecorder
}

// Release implements entry.Slot.
func (s recordedSlot) Release(r entry.AttemptResult) {
	s.recorder.mu.Lock()
	s.recorder.outcomes = append(s.recorder.outcomes, r.Outcome)
	s.recorder.mu.Unlock()
	s.Slot.Release(r)
}

// recordOutcomes has the outcomes of the environment's attempts recorded.
func (e *testEnv) recordOutcomes() *outcomeRecorder {
	recorder := &outcomeRecorder{}
	wrap := func(s entry.Slot) entry.Slot {
		return recordedSlot{
			Slot:     s,
			recorder: recorder,
		}
	}
	e.wrap.Store(&wrap)
	return recorder
}

// grantRetries grants all retries, and lets no attempt run beside another.
func (e *testEnv) grantRetries() {
	e.overdue = &overdueSettings{
		wait:    10 * timeout,
		granted: true,
	}
}

// invalidAnswers are answers whose status can't be that of a final answer.
func invalidAnswers() []struct{ name, answer, reason string } {
	const rest = "Content-Length: 4\r\n\r\ndone"
	const invalid = "answer-status-invalid"
	return []struct{ name, answer, reason string }{
		{"000", "HTTP/1.1 000 None\r\n" + rest, invalid},
		{"001", "HTTP/1.1 001 One\r\n" + rest, invalid},
		{"099", "HTTP/1.1 099 Some\r\n" + rest, invalid},
		{"+20", "HTTP/1.1 +20 Sign\r\n" + rest, invalid},
		{"100 with a body", "HTTP/1.1 100 Continue\r\n" + rest, invalid},
		{"103 with chunks", "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", invalid},
		{"199 with an empty body", "HTTP/1.1 199 Some\r\nContent-Length: 0\r\n\r\n", invalid},
		{"101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n", invalid},
		{"100 without end", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000), invalid},
		{"600", "HTTP/1.1 600 Some\r\n" + rest, invalid},
		{"799 marked as shed", "HTTP/1.1 799 Some\r\n" + entry.DefaultDialect().ShedHeader + ": true\r\n" + rest, invalid},
		{"999", "HTTP/1.1 999 Some\r\n" + rest, invalid},
		{"-01", "HTTP/1.1 -01 Sign\r\n" + rest, "answer-malformed"},
		{"1000", "HTTP/1.1 1000 Long\r\n" + rest, "answer-malformed"},
		{"20", "HTTP/1.1 20 Short\r\n" + rest, "answer-malformed"},
	}
}

// Guards against a status that no answer may have reaching the caller, or counting as the
// target's success, as a request that has not run or as a crash.
func TestAnswerWithInvalidStatusIsNoAnswer(t *testing.T) {
	for _, tt := range invalidAnswers() {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(tt.name+" "+method, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := &statusTarget{answer: tt.answer}
				e := newTestEnv(t, 1)
				e.document.Services[0].Targets[0].Address = serveConnections(t, s.serve)
				e.allowAttempts(1)
				e.server.client.Timeout = 2 * timeout // a caller that is given 101 reads without end
				recorder := e.recordOutcomes()
				got := e.call(method, "/bookings", "")
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(got.header.Get(entry.ReasonHeader), tt.reason)
				is.True(got.outcome() != entry.OutcomeNotRun)
				is.Equal(recorder.outcomes, []target.Outcome{target.Truncated})
				waitUntil(t, func() bool { return s.ended.Load() == s.asked.Load() })
			})
		}
	}
}

// Guards against an idempotent request that isn't retried after an answer with an invalid
// status, and against another request that is.
func TestInvalidStatusIsRetriedIfIdempotent(t *testing.T) {
	for _, tt := range invalidAnswers() {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := &statusTarget{answer: tt.answer}
			e := newTestEnv(t, 2)
			e.document.Services[0].Targets[0].Address = serveConnections(t, s.serve)
			e.allowAttempts(2)
			e.grantRetries()
			e.server.client.Timeout = 2 * timeout
			refused := 0
			for range 6 {
				is.Equal(e.call(http.MethodGet, "/bookings", "").status, http.StatusOK)
				if got := e.call(http.MethodPost, "/bookings", ""); got.status != http.StatusOK {
					is.Equal(got.status, http.StatusBadGateway)
					refused++
				}
			}
			is.True(s.asked.Load() >= int64(refused))
			is.True(s.asked.Load() > 0)
		})
	}
}

// Guards against a target that closes after an interim answer and counts as crashed by the
// request, and against interim answers that are taken for the final one.
func TestInterimAnswers(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	tests := []struct {
		name   string
		target *statusTarget
		status int
		reason string
	}{
		{"then closed", &statusTarget{answer: "HTTP/1.1 150 Some\r\n\r\n", closes: true}, http.StatusBadGateway, "answer-status-invalid"},
		{"then final", &statusTarget{answer: "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + final}, http.StatusOK, ""},
		{"then silent", &statusTarget{answer: "HTTP/1.1 102 Processing\r\n\r\n"}, http.StatusGatewayTimeout, "timeout"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := newTestEnv(t, 1)
			e.document.Services[0].Targets[0].Address = serveConnections(t, tt.target.serve)
			e.allowAttempts(1)
			began := time.Now()
			got := e.call(http.MethodPost, "/bookings", "")
			is.Equal(got.status, tt.status)
			is.Equal(got.header.Get(entry.ReasonHeader), tt.reason)
			is.True(time.Since(began) < 2*timeout)
		})
	}
}

// Guards against an instance that relays an invalid status, as builds do that don't check it.
func TestRelayedInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(status+" "+method, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				helper := serveConnections(t, func(c net.Conn) {
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					const header = "Dandelionmux-Relay"
					asked, _ := url.ParseQuery(r.Header.Get(header))
					result := url.Values{
						"Request":  asked["Request"],
						"Revision": {"1"},
						"Sent":     {"1"},
					}
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Some\r\n%s: %s\r\nContent-Length: 4\r\n\r\ndone", status, header, result.Encode())
				})
				e := newRelayEnv(t, 1, 1)
				e.allowAttempts(2)
				e.grantRetries()
				e.callers.Client().Timeout = 2 * timeout
				sound := e.relays.helpers[0]
				e.relays.helpers[0] = instance.Address(helper)
				if method == http.MethodGet {
					e.relays.helpers = append(e.relays.helpers, sound)
				}
				got := e.callRelayed(method, "/bookings", "")
				if method == http.MethodGet {
					is.Equal(got.status, http.StatusOK)
					return
				}
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(got.header.Get(entry.ReasonHeader), "answer-status-invalid")
				is.True(got.outcome() != entry.OutcomeNotRun)
			})
		}
	}
}
