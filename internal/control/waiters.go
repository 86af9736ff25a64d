package control

import (
	"sync"
)

// waiters holds the channels of goroutines that wait for answers of the control
// state, by the number of the request. The zero value is ready for use.
type waiters[A any] struct {
	mu         sync.Mutex
	lastNumber uint64
	channels   map[uint64]chan A
}

// register returns a new number and the channel on which its answer arrives.
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

// deliver sends an answer to the goroutine that waits for it. It reports false
// if none does, so that the caller can give back a right that the answer
// carries.
func (w *waiters[A]) deliver(number uint64, answer A) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.channels[number]
	if ok {
		delete(w.channels, number)
		c <- answer
	}
	return ok
}

// remove ends a wait. It returns the answer if one arrived before.
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
