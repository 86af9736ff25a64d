package linelog_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"dandelionmux/internal/linelog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// blockedOutput is an output whose writes block until open is closed.
type blockedOutput struct {
	open chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (g *blockedOutput) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

func (g *blockedOutput) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

func routine(r slog.Record) bool { return r.Message == "answered" }

func newLogger(out io.Writer) (*linelog.Writer, *slog.Logger) {
	w := linelog.New(out)
	return w, slog.New(w.Handler(slog.NewTextHandler(w, nil), routine)).With(slog.String("Zone", "a"))
}

// The output blocks during a burst of requests. Logging must not block, and of the
// records only routine ones may be dropped.
func TestRefusalsAreKeptWhileOutputBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{
		open: make(chan struct{}),
	}
	w, logger := newLogger(out)
	const answered, refused = 5000, 400
	for i := range answered {
		logger.Info("answered")
		if i%(answered/refused) == 0 {
			logger.Info("refused")
		}
	}
	is.True(w.Thinned() > 0)
	is.Equal(w.Dropped(), int64(0))
	close(out.open)
	for until := time.Now().Add(10 * time.Second); !strings.Contains(out.String(), "log lines dropped"); {
		if time.Now().After(until) {
			t.Fatal("the dropped records were not reported in time")
		}
		time.Sleep(time.Millisecond)
	}
	w.Close()
	log := out.String()
	is.True(strings.Count(log, "msg=refused Zone=a") >= refused)
	is.Equal(strings.Count(log, "msg=answered")+int(w.Thinned()), answered)
}

// Records that aren't routine must not make the queue grow without limit either.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{
		open: make(chan struct{}),
	}
	w, logger := newLogger(out)
	for range 3 * linelog.MaxQueuedLines {
		logger.Info("refused")
	}
	is.True(w.Dropped() >= 2*linelog.MaxQueuedLines-1) // one is being written
	close(out.open)
	w.Close()
}

func TestCloseDoesNotWaitForBlockedOutput(t *testing.T) {
	out := &blockedOutput{
		open: make(chan struct{}),
	}
	w, logger := newLogger(out)
	logger.Info("refused")
	closed := make(chan struct{})
	go func() {
		w.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("Close did not return in time")
	}
	close(out.open)
}

// BenchmarkRefusedWhileBlocked measures what logging a line costs its caller while
// the output blocks and the queue is full.
func BenchmarkRefusedWhileBlocked(b *testing.B) {
	benchmark(b, "refused")
}

// BenchmarkAnsweredWhileBlocked measures the same for a routine line.
func BenchmarkAnsweredWhileBlocked(b *testing.B) {
	benchmark(b, "answered")
}

func benchmark(b *testing.B, message string) {
	out := &blockedOutput{
		open: make(chan struct{}),
	}
	w, logger := newLogger(out)
	for range linelog.MaxQueuedLines + 1 {
		logger.Info("refused")
	}
	b.ReportAllocs()
	for b.Loop() {
		logger.Info(message,
			slog.String("Request", "9c41d07be2a35f68"),
			slog.String("Organisation", "orchard"),
			slog.String("Route", "route"),
			slog.String("Service", "desk"),
			slog.Int("Status", 200),
			slog.Duration("Took", 300*time.Millisecond))
	}
	close(out.open)
	w.Close()
}
