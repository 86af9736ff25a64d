package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
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
	// ended is the number of connections that are no longer in use.
	ended atomic.Int64
}

func (s *statusTarget) serve(c net.Conn) {
	defer s.ended.Add(1)
	buffer := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(buffer)
		if err != nil {
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

// Guards against a status that no answer may have reaching the caller, or counting as the
// target's success, as a request that has not run or as a crash; against an idempotent request
// that isn't retried after it, and against another request that is.
func TestAnswerWithInvalidStatusIsNoAnswer(t *testing.T) {
	const rest, invalid, malformed = "Content-Length: 4\r\n\r\ndone", "answer-status-invalid", "answer-malformed"
	tests := []struct {
		name, answer, reason string
		closes               bool
	}{
		{name: "099", answer: "099 Some\r\n" + rest, reason: invalid},
		{name: "000", answer: "000 None\r\n" + rest, reason: invalid},
		{name: "000 without a length", answer: "000\r\n\r\ndone", closes: true, reason: invalid},
		{name: "+20", answer: "+20 Sign\r\n" + rest, reason: invalid},
		{name: "103 with chunks", answer: "103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", reason: invalid},
		{name: "199 with an empty body", answer: "199 Some\r\nContent-Length: 0\r\n\r\n", reason: invalid},
		{name: "150, then closed", answer: "150 Some\r\n\r\n", closes: true, reason: invalid},
		{name: "101", answer: "101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n", reason: invalid},
		{name: "100 without end", answer: strings.Repeat("100 Continue\r\n\r\nHTTP/1.1 ", 1000), reason: invalid},
		{name: "600", answer: "600 Some\r\n" + rest, reason: invalid},
		{name: "799 marked as shed", answer: "799 Some\r\n" + entry.DefaultDialect().ShedHeader + ": true\r\n" + rest, reason: invalid},
		{name: "-01", answer: "-01 Sign\r\n" + rest, reason: malformed},
		{name: "1000", answer: "1000 Long\r\n" + rest, reason: malformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			checkBrokenAnswer(t, entry.DefaultDialect(), &statusTarget{answer: "HTTP/1.1 " + tt.answer, closes: tt.closes}, tt.reason)
		})
	}
}

// checkBrokenAnswer checks that what a target sends reaches no caller, counts once as the target's
// fault, and is never taken for a request that has not run; and that reads are tried elsewhere.
func checkBrokenAnswer(t *testing.T, dialect entry.Dialect, broken *statusTarget, reason string) {
	t.Helper()
	is := is.New(t)
	start := func(targets int) (*testEnv, *statusTarget) {
		s := &statusTarget{answer: broken.answer, closes: broken.closes}
		e := newOverdueEnv(t, targets, 10*timeout)
		e.document.Services[0].Targets[0].Address = serveConnections(t, s.serve)
		e.allowAttempts(targets)
		e.server = serveCallers(t, entry.New(e.dependencies(), entry.WithDialect(dialect)))
		e.server.client.Timeout = 2 * timeout // a caller that is given 101 reads without end
		return e, s
	}
	e, s := start(1)
	outcomes := make(chan target.Outcome, 1)
	wrap := func(s entry.Slot) entry.Slot { return outcomeSlot{Slot: s, outcomes: outcomes} }
	e.wrap.Store(&wrap)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		got := e.call(method, "/bookings", "")
		is.Equal(got.status, http.StatusBadGateway)
		is.Equal(got.header.Get(entry.ReasonHeader), reason)
		is.True(got.outcome() != entry.OutcomeNotRun)
		is.Equal(<-outcomes, target.Truncated)
		is.Equal(len(outcomes), 0)
		waitUntil(t, func() bool { return s.ended.Load() == s.asked.Load() })
	}
	e, s = start(2)
	refused := int64(0)
	for range 6 {
		is.Equal(e.call(http.MethodGet, "/bookings", "").status, http.StatusOK)
		if got := e.call(http.MethodPost, "/bookings", ""); got.status != http.StatusOK {
			is.Equal(got.status, http.StatusBadGateway)
			refused++
		}
	}
	is.True(s.asked.Load() >= refused)
	is.True(s.asked.Load() > 0)
}

// Guards against interim answers that are taken for the final one.
func TestInterimAnswers(t *testing.T) {
	tests := []struct {
		name, answer, reason string
		status               int
	}{
		{name: "then final", answer: "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", status: http.StatusOK},
		{name: "then silent", answer: "HTTP/1.1 102 Processing\r\n\r\n", status: http.StatusGatewayTimeout, reason: "timeout"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := &statusTarget{answer: tt.answer}
			e := newTestEnv(t, 1)
			e.document.Services[0].Targets[0].Address = serveConnections(t, s.serve)
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
	for _, status := range []string{"099", "101", "600"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			got := checkBrokenRelayedAnswer(t, "HTTP/1.1 "+status+" Some\r\nContent-Length: 4\r\n\r\ndone")
			is.New(t).Equal(got.header.Get(entry.ReasonHeader), "answer-status-invalid")
		})
	}
}

// checkBrokenRelayedAnswer checks that what another instance sends reaches no caller and is never
// taken for a request that has not run, and that reads go through others. It returns what the
// caller of a request got that may not be repeated. The fields of an answer to an instance are
// added to the answer's first head.
func checkBrokenRelayedAnswer(t *testing.T, answer string) callResult {
	t.Helper()
	is := is.New(t)
	e := newRelayEnv(t, 1, 1)
	e.allowAttempts(2)
	e.overdue = &overdueSettings{wait: 10 * timeout, granted: true}
	e.callers.Client().Timeout = 2 * timeout
	sound := e.relays.helpers[0]
	e.relays.helpers[0] = instance.Address(serveConnections(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		const header = "Dandelionmux-Relay"
		asked, _ := url.ParseQuery(r.Header.Get(header))
		result := url.Values{"Request": asked["Request"], "Revision": {"1"}, "Sent": {"1"}}
		marked := fmt.Sprintf("\r\n%s: %s\r\n\r\n", header, result.Encode())
		_, _ = io.WriteString(c, strings.Replace(answer, "\r\n\r\n", marked, 1))
	}))
	got := e.callRelayed(http.MethodPost, "/bookings", "")
	is.Equal(got.status, http.StatusBadGateway)
	is.True(got.outcome() != entry.OutcomeNotRun)
	e.relays.helpers, e.relays.next = append(e.relays.helpers, sound), 0
	is.Equal(e.callRelayed(http.MethodGet, "/bookings", "").status, http.StatusOK)
	return got
}
