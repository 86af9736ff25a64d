package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/memory"
	"dandelionmux/pkg/retry"
)

// Load: many callers that don't read their long answers. Guards against an instance that holds
// the beginning of each, without a bound, and against answers that are refused because there is
// no room for it.
func TestUnreadAnswersStayWithinTheMemory(t *testing.T) {
	const (
		callers     = 300
		limit       = 4 << 20
		answerBytes = 16 << 20
		// callerBytes is what the connections of a caller may take besides, the target's end included.
		callerBytes = 56 << 10
	)
	is := is.New(t)
	env := newTestEnv(t, 1)
	var arrived atomic.Int64
	content := make([]byte, answerBytes)
	long := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set(entry.RequestIDHeader, r.Header.Get(entry.RequestIDHeader))
		w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
		_, _ = w.Write(content)
	}))
	defer long.Close()
	account := memory.NewAccount(limit)
	s := serveCallers(t, entry.New(entry.Dependencies{
		Snapshots: env,
		Admission: env.admission,
		Claims:    env.claims,
		Dispatcher: unlimited{
			target: document.Target{
				Name:    "desk-a",
				Address: long.Listener.Addr().String(),
			},
		},
		Quarantine: env.quarantine,
	}, entry.WithMemory(account)))
	before := heapBytes()
	for range callers {
		conn, err := net.Dial("tcp4", s.address)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, err = fmt.Fprintf(conn, "GET /bookings HTTP/1.1\r\nHost: a\r\nX-Api-Key: %s\r\n\r\n", key)
		is.NoErr(err)
	}
	waitUntil(t, func() bool { return arrived.Load() == callers })
	time.Sleep(timeout / 4) // until the answers' beginnings have been read
	held := heapBytes() - before
	_, peak := account.Used()
	t.Logf("%d KB held for %d callers, %d KB of the account", held>>10, callers, peak>>10)
	is.True(peak > limit/2)
	is.True(peak <= limit)
	is.True(held < limit+callers*callerBytes)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.address+"/bookings", nil)
	is.NoErr(err)
	r.Header.Set("X-Api-Key", key)
	response := do(s.client, r)
	is.Equal(response.status, http.StatusOK) // served, whatever is held
	is.Equal(len(response.body), answerBytes)
}

// unlimited has one target, which takes any number of requests.
type unlimited struct{ target document.Target }

// Acquire implements entry.Dispatcher.
func (u unlimited) Acquire(context.Context, entry.SlotRequest) (entry.Slot, error) {
	return unlimitedSlot(u), nil
}

// Retry implements entry.Dispatcher.
func (unlimited) Retry(context.Context, string, retry.Attempt) bool { return false }

// unlimitedSlot is a slot at the target.
type unlimitedSlot struct{ target document.Target }

func (s unlimitedSlot) Target() document.Target   { return s.target }
func (unlimitedSlot) OverdueAfter() time.Duration { return 0 }
func (unlimitedSlot) OnUnresponsive(func())       {}
func (unlimitedSlot) MaySend() bool               { return true }
func (unlimitedSlot) Release(entry.AttemptResult) {}

// heapBytes returns the size of the objects in use.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
