package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An organisation that sends far more requests than its share, or slow ones, could
// fill the slots of the targets and so delay or fail the requests of all others.
func TestOneOrganisationDoesNotHarmOthers(t *testing.T) {
	tests := []struct {
		slow bool
		seed uint64
	}{
		{seed: 1},
		{seed: 2},
		{seed: 3},
		{slow: true, seed: 1},
		{slow: true, seed: 2},
		{slow: true, seed: 3},
	}
	for _, tt := range tests {
		f := MeasureFairness(Fleet, tt.slow, tt.seed)
		t.Run(fmt.Sprintf("%s, seed %d", f.Name, tt.seed), func(t *testing.T) {
			is := is.New(t)
			t.Logf("%+v", f)
			is.True(f.MinSuccessRatio >= 0.99)
			is.True(f.MaxLatencyRatio <= 1.5)
			is.True(f.LongestQueue <= 100) // memory is bounded
		})
	}
}

// When every attempt fails, retries without a budget multiply the load on targets
// that are already down.
func TestRetriesDoNotAmplifyOutage(t *testing.T) {
	is := is.New(t)
	is.True(AttemptsInOutage(Fleet, 1) <= 1.1)
	is.True(AttemptsInOutage(Plain, 1) > 2.9) // the baseline makes three attempts for each request
}

// If the baseline kept the same bounds, the fairness test would show nothing about
// the policy.
func TestBaselineBreaksFairnessBounds(t *testing.T) {
	is := is.New(t)
	f := MeasureFairness(Plain, false, 1)
	t.Logf("%+v", f)
	is.True(f.MinSuccessRatio < 0.99 || f.MaxLatencyRatio > 1.5)
	is.True(time.Duration(0) < f.CalmP99)
}

// A request that crashes its target would, resent by its caller, crash one target
// after the other unless the quarantine stops it.
func TestPoisonRequestCrashesAtMostTwoTargets(t *testing.T) {
	is := is.New(t)
	is.True(PoisonCrashes(Fleet) <= 2)
	is.Equal(PoisonCrashes(Plain), 30)
}
