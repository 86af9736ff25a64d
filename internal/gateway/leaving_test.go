package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/standin"
)

// leavingTime is how long after an answer that announces the target's leave requests may
// still reach the target.
const leavingTime = 500 * time.Millisecond

// registerTarget registers a target once more, in the given incarnation.
func (f *testFleet) registerTarget(i, incarnation int) {
	f.memory.put(targetPrefix+f.targets[i].Name(), []byte(f.targets[i].Address()+" "+strconv.Itoa(incarnation)), 0)
}

// Guards against requests to a target whose answers say that it is leaving, at the instance
// that got such an answer and at others, also if the store says that it is ready, and
// against a later run of the target that gets no requests.
func TestTargetThatAnnouncesItsLeaveGetsNoRequests(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newTestFleet(t, 2, 3)
			f.startInstance("b")
			f.awaitMembers()
			f.targets[0].SetFaults(standin.TargetFaults{Drain: true})
			f.await(func() bool {
				f.send(f.instances[0], method, "/one/1", "key-1")
				return f.arrivedAt(0) > 0
			})
			time.Sleep(leavingTime)
			before := f.arrivedAt(0)
			sendAll := func() {
				for range 40 {
					for _, g := range f.instances {
						is.Equal(f.send(g, method, "/one/1", "key-1"), http.StatusOK)
					}
				}
			}
			sendAll()
			is.Equal(f.arrivedAt(0), before)
			f.registerTarget(0, 0)
			time.Sleep(leavingTime)
			sendAll()
			is.Equal(f.arrivedAt(0), before)
			f.targets[0].SetFaults(standin.TargetFaults{})
			f.registerTarget(0, 1)
			f.await(func() bool {
				sendAll()
				return f.arrivedAt(0) > before
			})
		})
	}
}

// Guards against requests to a target that announces its leave because no other is left.
func TestLastTargetThatAnnouncesItsLeaveGetsNoRequests(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, 1)
	f.targets[0].SetFaults(standin.TargetFaults{Drain: true})
	is.Equal(f.send(f.instances[0], http.MethodPost, "/one/1", "key-1"), http.StatusOK)
	is.Equal(f.send(f.instances[0], http.MethodPost, "/one/1", "key-1"), http.StatusServiceUnavailable)
	is.Equal(f.arrivedAt(0), uint64(1))
}
