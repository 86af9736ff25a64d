package process_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRollingReplacement replaces all instances one after the other under load.
// Every request must be answered with status 200.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 4)
	old := f.instances
	members := newBalancer(old...)
	for i := range f.targets.Targets {
		// Requests must run longer than the balancer needs to notice a stop.
		f.setTargetFaults(i, map[string]any{"SlowFactor": 200})
	}
	load := startStream(http.MethodPost, "orchard", 30, members.pick)
	millLoad := startStream(http.MethodPost, "mill", 10, members.pick)
	for _, r := range old {
		replacement := f.startInstance(r.zone)
		f.awaitReady(replacement)
		members.add(replacement)
	}
	f.sleepUntilSharesVote()
	for _, r := range old {
		f.register(r, "leaving")
		r.signal(t, syscall.SIGTERM)
		members.remove(r)
		is.NoErr(r.wait(t))
		f.unregister(r)
	}
	all, millCalls := load.end(), millLoad.end()
	t.Logf("answers %v, of mill %v", tally(all), tally(millCalls))
	for _, s := range append(all, millCalls...) {
		is.NoErr(s.err)
		is.True(s.outcome != "unknown")
		is.Equal(s.status, http.StatusOK)
	}
	f.checkAtMostOnce(t, all)
}

// TestSecondSignalEndsAtOnce checks that an instance which waits for a hanging
// request after the first signal exits at the second one.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	f.setTargetFaults(0, map[string]any{"Hang": true})
	r := f.instances[0]
	answer := make(chan callResult, 1)
	id := newID()
	go func() { answer <- r.call(http.MethodPost, "/bookings/7", keys["orchard"], "tanker", "X-Execution", id) }()
	eventually(t, "the request runs", func() bool { return f.executions()[id] == 1 })
	r.signal(t, syscall.SIGTERM)
	eventually(t, "the instance reports that it isn't ready", func() bool {
		status, _ := fetch("http://" + r.AdminAddress + "/ready")
		return status == http.StatusServiceUnavailable
	})
	begun := time.Now()
	r.signal(t, syscall.SIGTERM)
	is.True(r.wait(t) != nil) // the exit code reports that a request was cut
	t.Logf("ended %v after the second signal", time.Since(begun))
	is.True(time.Since(begun) < callTimeout) // the request would have lasted that long
	got := <-answer
	is.True(!got.refused()) // it ran, so it must not be reported as not run
}
