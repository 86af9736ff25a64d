package control

import (
	"sync"
)

// waiters are goroutines that wait for answers of the control state, by
// number.
type waiters[A any] struct {
	mu         sync.Mutex
	lastNumber uint64
	channels   map[uint64]chan A
}

// register makes a number and the channel that its answer comes on.
func (w *waiters[A]) register() (uint64, <-chan A) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.channels == nil {
		w.channels = map[uint64]chan A{}
	}
	w.lastNumber++
	c := make(chan A, 1)
	w.channels[w.lastNumber] = c
	return w.lastNumber, c
}

// deliver gives an deliver to who waits for it. It reports false if nobody does,
// so that a right in the deliver can be given back.
func (w *waiters[A]) deliver(number uint64, a A) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.channels[number]
	if ok {
		delete(w.channels, number)
		c <- a
	}
	return ok
}

// remove stops waiting. It returns the answer if that came meanwhile.
func (w *waiters[A]) remove(number uint64, c <-chan A) (a A, arrived bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.channels, number)
	select {
	case a = <-c:
		return a, true
	default:
		return a, false
	}
}
