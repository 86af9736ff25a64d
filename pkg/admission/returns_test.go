package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/admission"
)

// Guards against callers that are refused together and come back together, more than are
// served then.
func TestReturnsAreSpread(t *testing.T) {
	tests := []struct {
		name      string
		perSecond float64
		refused   int
		backlog   int
		// between is the time between two refusals.
		between time.Duration
	}{
		{name: "at once, fast service", perSecond: 100, refused: 300, backlog: 20},
		{name: "at once, slow service", perSecond: 2, refused: 10, backlog: 3},
		{name: "slot by slot", perSecond: 18, refused: 60, between: 20 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := admission.NewReturns()
			steps := map[int]int{} // returns in steps of 200 ms
			last := time.Duration(0)
			for i := range tt.refused {
				at := time.Duration(i) * tt.between
				back := at + r.Schedule(start+at, 1, time.Minute, tt.backlog, tt.perSecond)
				is.True(back >= last) // later callers get later times
				is.True(back.Seconds() >= float64(tt.backlog)/tt.perSecond)
				last = back
				steps[int(back/(200*ms))]++
			}
			for step, n := range steps {
				t.Logf("step %d: %d", step, n)
				is.True(float64(n) <= 0.2*tt.perSecond+2)
			}
			// Nor later than the service has capacity for them.
			is.True(last.Seconds() <= float64(tt.backlog+tt.refused)/tt.perSecond*1.1+0.3)
		})
	}
}

// Guards against a return that comes too late for the caller.
func TestReturnIsWithinAThirdOfTheTimeLeft(t *testing.T) {
	is := is.New(t)
	r := admission.NewReturns()
	for _, left := range []time.Duration{3 * time.Second, 30 * ms, 0, -time.Second, 10 * time.Minute} {
		for _, perSecond := range []float64{0, 0.5, 1000} {
			for range 100 {
				after := r.Schedule(start, 0, left, 5, perSecond)
				is.True(after >= 0 && after <= max(left, 0)/3)
			}
		}
	}
	is.Equal(r.Schedule(start, 0, 3*time.Second, 1000, 10), time.Second) // no capacity by then
}

// Guards against urgent callers that come back after less urgent ones.
func TestUrgentCallersReturnFirst(t *testing.T) {
	is := is.New(t)
	r := admission.NewReturns()
	var urgent, other time.Duration // sums
	for i := range 100 {
		now := start + time.Duration(i)*100*ms
		// Two urgent and three other callers are refused for every four slots.
		for n := range 5 {
			if n < 2 {
				urgent += r.Schedule(now, 0, 30*time.Second, 0, 40)
			} else {
				other += r.Schedule(now, 1, 30*time.Second, 0, 40)
			}
		}
	}
	t.Logf("urgent after %v, others after %v", urgent/200, other/300)
	is.True(urgent/200 < 500*ms)
	is.True(other/300 > urgent/200)

	// All of an urgent caller's time is promised to less urgent ones.
	r = admission.NewReturns()
	for range 100 {
		r.Schedule(start, 3, 30*time.Second, 0, 10)
	}
	is.True(r.Schedule(start, 0, 3*time.Second, 0, 10) < 200*ms)
}

// Guards against promises that count after their time.
func TestPastReturnsAreForgotten(t *testing.T) {
	is := is.New(t)
	r := admission.NewReturns()
	first := r.Schedule(start, 0, time.Minute, 0, 10)
	for range 100 {
		r.Schedule(start, 0, time.Minute, 0, 10)
	}
	is.True(r.Schedule(start, 0, time.Minute, 0, 10) > 9*time.Second)
	is.True(r.Schedule(start+11*time.Second, 0, time.Minute, 0, 10) <= first+200*ms)
}
