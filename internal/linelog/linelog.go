// Package linelog writes log lines without ever making the caller wait.
//
// Lines go through a bounded queue to one goroutine that writes them. When the
// output is slow the queue fills. Routine records are left out from half of it on,
// so that refusals, failures and changes of belief find room; once it is full all
// further lines are dropped. Both are counted, and the counts are written once
// there is room again.
//
// # Usage
//
//	w := linelog.New(os.Stdout)
//	defer w.Close()
//	logger := slog.New(w.Handler(slog.NewTextHandler(w, nil), routine))
package linelog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// MaxQueuedLines is how many lines wait at most, about 200 KB.
const MaxQueuedLines = 1024

// closeTimeout bounds the wait for an output that stands still.
const closeTimeout = 100 * time.Millisecond

// Writer is an io.Writer that drops lines rather than wait. It is safe for
// concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	thinned atomic.Int64
	done    chan struct{}
	closing sync.Once
	stop    chan struct{}
}

// New returns a Writer to out. Close ends its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:   out,
		lines: make(chan []byte, MaxQueuedLines),
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

// Thinned is the number of routine records that were left out.
func (w *Writer) Thinned() int64 { return w.thinned.Load() }

// congested tells whether routine records are left out.
func (w *Writer) congested() bool { return len(w.lines) >= MaxQueuedLines/2 }

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
	var told lossCounts
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
			told = w.reportLosses(told)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// lossCounts are the lines that were lost.
type lossCounts struct{ dropped, thinned int64 }

// reportLosses writes how many lines were lost since it was last told.
func (w *Writer) reportLosses(told lossCounts) lossCounts {
	now := lossCounts{
		dropped: w.Dropped(),
		thinned: w.Thinned(),
	}
	if now == told || w.congested() {
		return told
	}
	_, _ = fmt.Fprintf(w.out, "level=WARN msg=%q Dropped=%d Thinned=%d\n", "log lines dropped",
		now.dropped-told.dropped, now.thinned-told.thinned)
	return now
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
