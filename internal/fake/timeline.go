package fake

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Timeline runs functions in order of their virtual times.
type Timeline struct {
	// Random is the source of all chance on the timeline.
	Random *rand.Rand

	now    time.Duration
	events events
	order  uint64
}

// NewTimeline returns a timeline at time zero.
func NewTimeline(seed uint64) *Timeline {
	return &Timeline{
		Random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Now is the virtual time.
func (l *Timeline) Now() time.Duration { return l.now }

// At runs f at a time, or now if that is past.
func (l *Timeline) At(at time.Duration, f func()) {
	l.order++
	heap.Push(&l.events, event{
		at:    max(at, l.now),
		order: l.order,
		run:   f,
	})
}

// After runs f after a delay.
func (l *Timeline) After(delay time.Duration, f func()) { l.At(l.now+delay, f) }

// Every runs f at each interval, for ever.
func (l *Timeline) Every(interval time.Duration, f func()) {
	l.After(interval, func() {
		f()
		l.Every(interval, f)
	})
}

// Run lets the time pass.
func (l *Timeline) Run(d time.Duration) {
	end := l.now + d
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// RunUntil lets the time pass in steps until the condition holds, and returns how
// long it took. It reports false if the condition does not hold in time.
func (l *Timeline) RunUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	const step = 20 * time.Millisecond
	start := l.now
	for l.now-start < limit {
		if condition() {
			return l.now - start, true
		}
		l.Run(step)
	}
	return limit, condition()
}

// RandomDuration draws a duration from low up to high.
func (l *Timeline) RandomDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(l.Random.Int64N(int64(high-low)))
}

// event is one function to run.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// events is a heap by time, and by order among equals.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
