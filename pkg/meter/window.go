package meter

import "time"

// parts is the number of pieces that a Window moves by.
const parts = 40

// Window counts events over the last span. Make it with NewWindow.
type Window struct {
	piece  time.Duration
	counts [parts]float64
	newest int64
}

// NewWindow returns an empty window over a span.
func NewWindow(span time.Duration) *Window {
	return &Window{
		piece: span / parts,
	}
}

// Add counts n events at a time.
func (w *Window) Add(now time.Duration, n float64) {
	w.move(now)
	w.counts[w.newest%parts] += n
}

// Sum is the number of events in the span before now.
func (w *Window) Sum(now time.Duration) float64 {
	w.move(now)
	sum := 0.0
	for _, c := range w.counts {
		sum += c
	}
	return sum
}

// move empties the pieces that the window enters anew.
func (w *Window) move(now time.Duration) {
	at := int64(now / w.piece)
	for n := max(w.newest+1, at-parts+1); n <= at; n++ {
		w.counts[n%parts] = 0
	}
	w.newest = max(w.newest, at)
}
