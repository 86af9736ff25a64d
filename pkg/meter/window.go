package meter

import "time"

// windowSlots is the number of pieces that a Window moves by.
const windowSlots = 40

// Window counts events over the last span. Make it with NewWindow.
type Window struct {
	slotLength time.Duration
	counts     [windowSlots]float64
	newest     int64
}

// NewWindow returns an empty window over a span.
func NewWindow(span time.Duration) *Window {
	return &Window{
		slotLength: span / windowSlots,
	}
}

// Add counts n events at a time.
func (w *Window) Add(now time.Duration, n float64) {
	w.advance(now)
	w.counts[w.newest%windowSlots] += n
}

// Sum is the number of events in the span before now.
func (w *Window) Sum(now time.Duration) float64 {
	w.advance(now)
	sum := 0.0
	for _, c := range w.counts {
		sum += c
	}
	return sum
}

// advance empties the pieces that the window enters anew.
func (w *Window) advance(now time.Duration) {
	at := int64(now / w.slotLength)
	for n := max(w.newest+1, at-windowSlots+1); n <= at; n++ {
		w.counts[n%windowSlots] = 0
	}
	w.newest = max(w.newest, at)
}
