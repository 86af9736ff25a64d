package membership_test

import (
	"flag"
	"testing"
	"time"

	"dandelionmux/pkg/membership"
)

var measureFlag = flag.Bool("measure", false, "print the cost and speed at each size")

// TestMeasure prints the figures in docs/CAPACITY.md. It checks no bounds; the
// tests of detection and of bandwidth do.
func TestMeasure(t *testing.T) {
	if !*measureFlag {
		t.Skip("needs -measure")
	}
	for _, size := range []int{3, 40, 150, 540} {
		for _, loss := range []float64{0, 0.01, 0.05} {
			measure(t, size, loss)
		}
	}
}

// measure prints the cost and the detection times of a fleet of one size, at
// one rate of message loss.
func measure(t *testing.T, size int, loss float64) {
	f := newFleet(1)
	f.loss = loss
	f.startAll(size)
	joined, ok := f.until(time.Minute, f.converged)
	const settling = time.Minute
	f.run(settling)
	f.countBytes, f.messages, f.bytes = true, 0, 0
	clear(f.decisions)
	const calm = 20 * time.Second
	f.run(calm)
	per := float64(size) * calm.Seconds()
	t.Logf("n=%d loss=%.0f%%: joined in %v (%v); sent per instance: %.1f messages/s, %.0f B/s; suspected %d, died %d in %v",
		size, 100*loss, joined, ok, float64(f.messages)/per, float64(f.bytes)/per,
		f.decisions[membership.Suspected], f.decisions[membership.Died], calm)
	f.countBytes = false
	const deaths = 20
	var worst, sum time.Duration
	for i := range deaths {
		n := f.node(i % size)
		n.dead = true
		took, ok := f.until(30*time.Second, f.converged)
		if !ok {
			t.Logf("not detected by all in %v", took)
		}
		worst, sum = max(worst, took), sum+took
		f.start(i%size, n.id.Incarnation+1)
		f.until(30*time.Second, f.converged)
	}
	t.Logf("n=%d loss=%.0f%%: death detected by all in %v on average, %v at most, of %d deaths", size, 100*loss, sum/deaths, worst, deaths)
}
