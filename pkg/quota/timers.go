package quota

import (
	"container/heap"
	"time"
)

// timers is a queue of keys ordered by time. Keys that are no longer needed
// stay in it; the owner must ignore them when they are due.
type timers[K any] struct {
	entries timerHeap[K]
}

type timer[K any] struct {
	at  time.Duration
	key K
}

func (t *timers[K]) add(at time.Duration, key K) {
	heap.Push(&t.entries, timer[K]{
		at:  at,
		key: key,
	})
}

// next returns the earliest time; zero if there is none.
func (t *timers[K]) next() time.Duration {
	if len(t.entries) == 0 {
		return 0
	}
	return t.entries[0].at
}

// popDue removes and returns a key whose time has come; false if there is none.
func (t *timers[K]) popDue(now time.Duration) (key K, ok bool) {
	if len(t.entries) == 0 || t.entries[0].at > now {
		return key, false
	}
	return heap.Pop(&t.entries).(timer[K]).key, true
}

type timerHeap[K any] []timer[K]

func (h timerHeap[K]) Len() int           { return len(h) }
func (h timerHeap[K]) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap[K]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap[K]) Push(x any) {
	*h = append(*h, x.(timer[K]))
}

// Pop implements heap.Interface.
func (h *timerHeap[K]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
