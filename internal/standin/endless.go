package standin

import (
	"bytes"
	"io"
	"runtime"
	"sync/atomic"
	"time"
)

// repeatedBytes is the least size of the pieces in which an EndlessAnswer is sent.
const repeatedBytes = 32 << 10

// EndlessAnswer is an answer that begins with some bytes and then repeats others until its
// connection is closed.
type EndlessAnswer struct {
	head     string
	repeated []byte
	sent     atomic.Int64
}

// NewEndlessAnswer returns an answer with a beginning and what is repeated.
func NewEndlessAnswer(head, repeated string) *EndlessAnswer {
	return &EndlessAnswer{
		head:     head,
		repeated: bytes.Repeat([]byte(repeated), 1+repeatedBytes/len(repeated)),
	}
}

// Sent returns how many of the repeated bytes have been sent in all.
func (e *EndlessAnswer) Sent() int64 { return e.sent.Load() }

// Send sends the answer. replace, if set, changes its beginning. It returns the error that ended it.
func (e *EndlessAnswer) Send(w io.Writer, replace func(head string) string) error {
	head := e.head
	if replace != nil {
		head = replace(head)
	}
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for {
		n, err := w.Write(e.repeated)
		e.sent.Add(int64(n))
		if err != nil {
			return err
		}
	}
}

// heapSampling is the time between two looks at the size of the heap.
const heapSampling = 5 * time.Millisecond

// PeakHeap runs f, and returns the largest size of the heap that was seen meanwhile, in bytes.
func PeakHeap(f func()) uint64 {
	runtime.GC()
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() {
		var most uint64
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapInuse)
			select {
			case <-stop:
				peak <- most
				return
			case <-time.After(heapSampling):
			}
		}
	}()
	func() {
		defer close(stop)
		f()
	}()
	return <-peak
}
