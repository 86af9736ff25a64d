package gateway_test

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/standin"
)

// replaceInstance closes an instance and starts another one in its place.
func (f *testFleet) replaceInstance(i int, zone string) {
	f.instances[i].Close()
	f.startInstance(zone)
	last := len(f.instances) - 1
	f.instances[i] = f.instances[last]
	f.instances = f.instances[:last]
}

// arrivals returns the number of requests that have reached any target.
func (f *testFleet) arrivals() int {
	all := 0
	for _, s := range f.targets {
		all += int(s.Counts().Arrived)
	}
	return all
}

// Guards against a keeper of the retry budget that starts with an empty count and grants
// again what its predecessor has granted.
func TestReplacedInstancesStayWithinRetryBudget(t *testing.T) {
	const instances, rounds = 6, 10
	tests := []struct {
		name string
		// replacedTogether is the number of instances that are replaced at the same time.
		replacedTogether int
	}{
		{
			name:             "one after the other",
			replacedTogether: 1,
		},
		{
			name:             "all at once",
			replacedTogether: instances,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(t, instances, 3)
			for _, s := range f.targets {
				s.SetFaults(standin.TargetFaults{
					Shed: true,
				})
			}
			startedAt := time.Now()
			requests := 0
			sendAll := func() {
				for range rounds {
					for _, g := range f.instances {
						is.Equal(f.call(g, "/one/1", "key-1"), http.StatusServiceUnavailable)
						requests++
					}
				}
			}
			sendAll()
			for i := 0; i < instances; i += tt.replacedTogether {
				for j := range tt.replacedTogether {
					f.replaceInstance(i+j, "a")
				}
				f.awaitMembers()
				sendAll()
			}
			// The bound holds for each span of retryWindow, and the test may take longer.
			spans := math.Ceil(time.Since(startedAt).Seconds() / retryWindow.Seconds())
			repeated := f.arrivals() - requests
			t.Logf("%d requests, %d repeated", requests, repeated)
			is.True(float64(repeated) <= retryRatio*float64(requests)+baseRetries*spans)
		})
	}
}

// Guards against a retry budget that is used up by reads whose answers are overdue while no target
// has a slot for a further attempt, so that reads whose targets have crashed can't be retried.
func TestOverdueReadsOfAFullServiceSpendNoRetries(t *testing.T) {
	const reads = 16
	f := newTestFleet(t, 1, 2)
	for _, s := range f.targets {
		s.SetFaults(standin.TargetFaults{
			Hang: true,
		})
	}
	var calls sync.WaitGroup
	for i := range reads {
		calls.Go(func() { f.exchange(f.instances[0], http.MethodGet, "/one/1", fmt.Sprint(i)) })
	}
	calls.Wait()
	for line := range strings.Lines(f.log.String()) {
		if strings.Contains(line, `msg="retry asked for"`) && strings.Contains(line, "Outcome=timed-out") {
			t.Errorf("no target had room: %s", line)
		}
	}
}
