package ingress_test

import (
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/internal/ingress"
	"dandelionmux/pkg/memory"
)

// Load: many heads of the allowed size, with as many lines as fit, that stop before their end.
// Guards against an instance that holds them without a bound, and against small requests and
// single large heads that are refused.
func TestHeadsStayWithinTheMemory(t *testing.T) {
	const (
		callers     = 200
		limit       = 16 << 20
		callerBytes = 64 << 10 // what a caller's connection takes besides
	)
	is := is.New(t)
	account := memory.NewAccount(limit)
	full := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	s := serve(t, newEcho(), ingress.WithMemory(account, full))
	var head strings.Builder
	head.WriteString("GET /1 HTTP/1.1\r\nHost: h\r\n")
	for n := 0; head.Len() < 60<<10; n++ {
		head.WriteString(strings.Repeat("a", 1+n/1000) + string(rune('a'+n%26)) + string(rune('a'+n/26%26)) + ":\r\n")
	}
	single := s.dial()
	single.send(head.String() + "\r\n")
	is.Equal(single.receive().status, http.StatusOK)
	eventually(t, "its room is given back", func() bool { now, _ := account.Used(); return now == 0 })

	before := heapBytes()
	var clients []*caller
	for range callers {
		c := s.dial()
		_, _ = c.Write([]byte(head.String()))
		clients = append(clients, c)
	}
	refused := func() int { return int(s.counter("Ingress.Malformed")) }
	eventually(t, "heads are refused", func() bool { return refused() > callers/2 })
	held := heapBytes() - before
	now, peak := account.Used()
	t.Logf("%d of %d refused, %d KB held, %d KB of the account, %d KB at most", refused(), callers, held>>10, now>>10, peak>>10)
	is.True(peak <= limit)
	is.True(held < limit+callers*callerBytes)
	c := s.dial()
	c.send(get("/2"))
	is.Equal(c.receive().status, http.StatusOK)
	statuses := map[int]int{}
	for _, c := range clients[len(clients)-10:] {
		r := c.receive()
		statuses[r.status]++
		is.True(r.closes)
	}
	is.Equal(statuses[http.StatusServiceUnavailable], 10)
	for _, c := range clients {
		_ = c.Close()
	}
	eventually(t, "all room is given back", func() bool { now, _ := account.Used(); return now == 0 })
}

// heapBytes returns the size of the objects in use.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
