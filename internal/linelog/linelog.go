// Package linelog writes log lines without blocking the caller.
//
// Lines pass through a bounded queue to a goroutine that writes them. If the output
// is slow, the queue fills. While at least half of it is full, routine records are
// dropped, so that room remains for refusals, failures and changes of the fleet's
// state; while it is full, all lines are dropped. Both losses are counted, and the
// counts are written once there is room again.
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

// MaxQueuedLines is the maximum number of queued lines, which take about 200 KB.
const MaxQueuedLines = 1024

// closeTimeout limits how long Close waits for an output that blocks.
const closeTimeout = 100 * time.Millisecond

// Writer is an io.Writer that queues lines for an output and drops them if the
// queue is full. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// dropped counts the lines that found the queue full.
	dropped atomic.Int64
	// thinned counts the routine records dropped while the queue was at least half
	// full.
	thinned atomic.Int64
	done    chan struct{}
	closing sync.Once
	stop    chan struct{}
}

// New returns a Writer to out and starts its goroutine, which Close stops.
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

// Write queues a copy of one line, or drops and counts the line if the queue is
// full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Thinned returns the number of routine records dropped while the queue was at least
// half full.
func (w *Writer) Thinned() int64 { return w.thinned.Load() }

// congested reports whether at least half of the queue is full, so that routine
// records are dropped.
func (w *Writer) congested() bool { return len(w.lines) >= MaxQueuedLines/2 }

// Close writes the queued lines and stops the goroutine. If the output blocks, it
// returns after 100 ms. It doesn't close the output.
func (w *Writer) Close() {
	w.closing.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// run writes the queued lines until the Writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	var reported lossCounts
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
			reported = w.reportLosses(reported)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// lossCounts holds the numbers of lines and routine records lost so far.
type lossCounts struct{ dropped, thinned int64 }

// reportLosses writes how many lines were lost in addition to those reported, unless
// the queue is congested. It returns the counts reported so far.
func (w *Writer) reportLosses(reported lossCounts) lossCounts {
	now := lossCounts{
		dropped: w.Dropped(),
		thinned: w.Thinned(),
	}
	if now == reported || w.congested() {
		return reported
	}
	_, _ = fmt.Fprintf(w.out, "level=WARN msg=%q Dropped=%d Thinned=%d\n", "log lines dropped",
		now.dropped-reported.dropped, now.thinned-reported.thinned)
	return now
}

// drain writes the lines that are left in the queue.
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
