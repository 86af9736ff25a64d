package meter

import "time"

// windowSlots is the number of slots that a Window's span is divided into.
const windowSlots = 40

// Window counts events over the last span, to the precision of one slot. Make it
// with NewWindow.
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

// Add counts n events at the time now.
func (w *Window) Add(now time.Duration, n float64) {
	w.advance(now)
	w.counts[w.newest%windowSlots] += n
}

// AddOver counts n events that were spread evenly over a time that ends now. Those older
// than the span aren't counted.
func (w *Window) AddOver(now time.Duration, n float64, over time.Duration) {
	w.advance(now)
	slots := int64(over/w.slotLength) + 1
	for i := range min(slots, windowSlots, w.newest+1) {
		w.counts[(w.newest-i)%windowSlots] += n / float64(slots)
	}
}

// Sum returns the number of events in the span before now.
func (w *Window) Sum(now time.Duration) float64 {
	w.advance(now)
	sum := 0.0
	for _, c := range w.counts {
		sum += c
	}
	return sum
}

// advance moves the window to now and clears the slots that it reuses.
func (w *Window) advance(now time.Duration) {
	at := int64(now / w.slotLength)
	for n := max(w.newest+1, at-windowSlots+1); n <= at; n++ {
		w.counts[n%windowSlots] = 0
	}
	w.newest = max(w.newest, at)
}
