package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/gateway"
	"dandelionmux/internal/standin"
)

const (
	// restStart is how long after a target has asked for rest it must get nothing more.
	restStart = 500 * time.Millisecond
	// restTime is the rest that targets ask for, and restSeconds the same as they say it.
	restTime    = 2 * time.Second
	restSeconds = "2"
)

// rest makes targets turn away all requests and ask for rest.
func (f *testFleet) rest(targets ...int) {
	for _, i := range targets {
		f.targets[i].SetFaults(standin.TargetFaults{
			Shed:       true,
			RetryAfter: restSeconds,
		})
	}
}

// wake ends the faults of all targets.
func (f *testFleet) wake() {
	for _, s := range f.targets {
		s.SetFaults(standin.TargetFaults{})
	}
}

// awaitRest sends requests to an instance until it has been turned away by each of the
// targets.
func (f *testFleet) awaitRest(g *gateway.Gateway, method string, targets ...int) {
	f.t.Helper()
	f.await(func() bool {
		f.send(g, method, "/one/1", "key-1")
		for _, i := range targets {
			if f.targets[i].Counts().Shed == 0 {
				return false
			}
		}
		return true
	})
}

// arrivedAt returns the number of requests that have reached some targets.
func (f *testFleet) arrivedAt(targets ...int) uint64 {
	var all uint64
	for _, i := range targets {
		all += f.targets[i].Counts().Arrived
	}
	return all
}

// Guards against requests to a target that has asked an instance for rest: by retries, on
// kept connections, and because too few other targets are left.
func TestRestingTargetGetsNoRequests(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		targets int
		resting []int
	}{
		{
			name:    "reads",
			method:  http.MethodGet,
			targets: 4,
			resting: []int{0},
		},
		{
			name:    "writes",
			method:  http.MethodPost,
			targets: 4,
			resting: []int{0},
		},
		{
			name:    "reads, few targets left",
			method:  http.MethodGet,
			targets: 5,
			resting: []int{0, 1, 2, 3},
		},
		{
			name:    "writes, few targets left",
			method:  http.MethodPost,
			targets: 5,
			resting: []int{0, 1, 2, 3},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newTestFleet(t, 1, tt.targets)
			for range 20 {
				f.send(f.instances[0], tt.method, "/one/1", "key-1")
			}
			f.rest(tt.resting...)
			began := time.Now()
			f.awaitRest(f.instances[0], tt.method, tt.resting...)
			time.Sleep(restStart)
			before := f.arrivedAt(tt.resting...)
			for time.Since(began) < restTime-100*time.Millisecond {
				is.Equal(f.send(f.instances[0], tt.method, "/one/1", "key-1"), http.StatusOK)
				time.Sleep(5 * time.Millisecond)
			}
			is.Equal(f.arrivedAt(tt.resting...), before)
		})
	}
}

// Guards against a rest that counts as a failure, so that the target stays unused longer
// than it asked for.
func TestRestIsNoFailure(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, 2)
	f.rest(0)
	f.awaitRest(f.instances[0], http.MethodPost, 0)
	f.wake()
	time.Sleep(restTime)
	is.True(strings.Contains(f.metrics(f.instances[0]), "Targets.desk.Healthy 2\n"))
	before := f.arrivedAt(0)
	for range 40 {
		is.Equal(f.send(f.instances[0], http.MethodPost, "/one/1", "key-1"), http.StatusOK)
	}
	is.True(f.arrivedAt(0) > before)
}

// Guards against other instances that leave out a target because it has asked one of them
// for rest.
func TestRestIsOfOneInstance(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, 2)
	f.rest(0)
	f.awaitRest(f.instances[0], http.MethodPost, 0)
	f.wake()
	before := f.arrivedAt(0)
	for range 40 {
		is.Equal(f.send(f.instances[1], http.MethodPost, "/one/1", "key-1"), http.StatusOK)
	}
	is.True(f.arrivedAt(0) > before)
}

// Guards against requests that wait or are sent although all targets of their service
// rest, and against callers that are all told to come back at the same time.
func TestRequestsAreRefusedAtOnceWhileAllTargetsRest(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, 3)
	f.rest(0, 1, 2)
	began := time.Now()
	f.awaitRest(f.instances[0], http.MethodPost, 0, 1, 2)
	f.wake()
	time.Sleep(restStart)
	before := f.arrivedAt(0, 1, 2)
	waits := map[string]bool{}
	for time.Since(began) < restTime-200*time.Millisecond {
		out := f.exchange(f.instances[0], http.MethodPost, "/one/1", "")
		is.Equal(out.status, http.StatusServiceUnavailable)
		is.True(out.took < 100*time.Millisecond)
		wait, err := strconv.ParseFloat(out.retryAfter, 64)
		is.NoErr(err)
		is.True(wait > 0 && wait <= 2*restTime.Seconds())
		waits[out.retryAfter] = true
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(f.arrivedAt(0, 1, 2), before)
	is.True(len(waits) > 1)
	f.await(func() bool { return f.send(f.instances[0], http.MethodPost, "/one/1", "key-1") == http.StatusOK })
}
