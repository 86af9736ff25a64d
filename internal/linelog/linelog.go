// Package linelog writes log lines without ever making the caller wait.
//
// Lines go through a bounded queue to one goroutine that writes them. When the
// output stands still the queue fills, further lines are dropped and counted,
// and the count is written once there is room again.
//
// # Usage
//
//	w := linelog.New(os.Stdout)
//	defer w.Close()
//	logger := slog.New(slog.NewTextHandler(w, nil))
package linelog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Lines is how many lines wait at most, about 200 KB.
const Lines = 1024

// closeTimeout bounds the wait for an output that stands still.
const closeTimeout = 100 * time.Millisecond

// Writer is an io.Writer that drops lines rather than wait. It is safe for
// concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
	stop    chan struct{}
}

// New returns a Writer to out. Close ends its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:   out,
		lines: make(chan []byte, Lines),
		done:  make(chan struct{}),
		stop:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line. It never fails: what has no room is counted.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that were lost.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, unless the output stands still.
func (w *Writer) Close() {
	w.closing.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	told := int64(0)
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
			told = w.tell(told)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// tell writes how many lines were dropped since it was last told.
func (w *Writer) tell(told int64) int64 {
	dropped := w.dropped.Load()
	if dropped == told || len(w.lines) > Lines/2 {
		return told
	}
	_, _ = fmt.Fprintf(w.out, "level=WARN msg=%q Dropped=%d\n", "log lines dropped", dropped-told)
	return dropped
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}
