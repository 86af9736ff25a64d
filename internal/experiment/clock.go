package experiment

import (
	"container/heap"
	"time"
)

// clock is a virtual clock. It runs functions in order of their time, and those
// of the same time in the order in which they were added.
type clock struct {
	now   time.Duration
	steps steps
	// lastSequence is the sequence number of the step added last.
	lastSequence uint64
}

// step is a function to run at a virtual time.
type step struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// steps is a heap of steps, ordered by time, then by sequence.
type steps []step

func (s steps) Len() int      { return len(s) }
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s steps) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].sequence < s[j].sequence
}

// Push appends a step, as container/heap demands.
func (s *steps) Push(x any) { *s = append(*s, x.(step)) }

// Pop removes the last step and returns it, as container/heap demands.
func (s *steps) Pop() any {
	all := *s
	last := all[len(all)-1]
	*s = all[:len(all)-1]
	return last
}

// after schedules run at the time d from now.
func (c *clock) after(d time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.steps, step{
		at:       c.now + d,
		sequence: c.lastSequence,
		run:      run,
	})
}

// runUntil runs all steps up to the time end, and sets the clock to it.
func (c *clock) runUntil(end time.Duration) {
	for len(c.steps) > 0 && c.steps[0].at <= end {
		s := heap.Pop(&c.steps).(step)
		c.now = s.at
		s.run()
	}
	c.now = end
}
