package fake

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Timeline runs functions in the order of their virtual times.
type Timeline struct {
	// Random is the source of all random decisions on the timeline.
	Random *rand.Rand

	now          time.Duration
	events       events
	lastSequence uint64
}

// NewTimeline returns a timeline at time zero whose Random has the seed.
func NewTimeline(seed uint64) *Timeline {
	return &Timeline{
		Random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Now returns the virtual time.
func (l *Timeline) Now() time.Duration { return l.now }

// At schedules f for a virtual time, or for now if that time has passed.
func (l *Timeline) At(at time.Duration, f func()) {
	l.lastSequence++
	heap.Push(&l.events, event{
		at:       max(at, l.now),
		sequence: l.lastSequence,
		run:      f,
	})
}

// After schedules f to run after a delay.
func (l *Timeline) After(delay time.Duration, f func()) { l.At(l.now+delay, f) }

// Every schedules f to run once per interval, without end.
func (l *Timeline) Every(interval time.Duration, f func()) {
	l.After(interval, func() {
		f()
		l.Every(interval, f)
	})
}

// Run advances the virtual time by d and runs the functions that are due.
func (l *Timeline) Run(d time.Duration) {
	end := l.now + d
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// RunUntil advances the virtual time in steps until the condition is true, and
// returns the time that it took. It returns false if the condition isn't true
// within the limit.
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

// RandomDuration returns a random duration in [low, high), or low if the range
// is empty.
func (l *Timeline) RandomDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(l.Random.Int64N(int64(high-low)))
}

// event is a scheduled function.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// events is a heap ordered by time, and by sequence among equal times.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
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
