package process_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// setTargetFaults replaces the faults that a target simulates; an empty map
// makes it healthy.
func (f *fleet) setTargetFaults(i int, faults map[string]any) {
	f.t.Helper()
	f.putJSON("http://"+f.targets.AdminAddress+"/targets/"+f.targets.Targets[i].Name+"/faults", faults)
}

// crashTarget makes a target crash, which cuts the requests that run in it.
func (f *fleet) crashTarget(i int) {
	response, err := http.Post("http://"+f.targets.AdminAddress+"/targets/"+f.targets.Targets[i].Name+"/crash", "", nil)
	if err == nil {
		_ = response.Body.Close()
	}
}

// TestAtMostOnce kills and freezes instances and crashes targets while requests
// that must not run twice are sent. It guards against retrying a request that a
// target may already have run.
func TestAtMostOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 4)
	members := newBalancer(f.instances...)
	load := startStream(http.MethodPost, "orchard", 200, members.pick)
	for i, death := range []string{"before", "during", "after"} {
		f.setTargetFaults(i, map[string]any{"Death": death, "SlowFactor": 10})
		f.crashTarget(3)
		sleep(500 * time.Millisecond)
		f.setTargetFaults(i, map[string]any{"SlowFactor": 10})
	}
	f.instances[2].signal(t, syscall.SIGSTOP)
	f.crashTarget(0)
	sleep(3 * time.Second)
	f.instances[2].signal(t, syscall.SIGCONT)
	f.crashTarget(1)
	sleep(time.Second)
	f.instances[1].signal(t, syscall.SIGKILL)
	f.unregister(f.instances[1])
	sleep(time.Second)
	all := load.end()
	t.Logf("answers %v", tally(all))
	is.True(f.checkAtMostOnce(t, all) > len(all)/4)
}

// keyedCall sends one request with an Idempotency-Key through successive
// instances, up to six times until one answers with status 200, and then once
// more in any case. It returns the results of all calls.
func keyedCall(members *balancer, n int, id string) []sent {
	const attempts = 6
	var all []sent
	for i := range attempts {
		a := members.pick(n+i).call(http.MethodPost, "/bookings/7", keys["orchard"], "tanker",
			"X-Execution", id, "Idempotency-Key", id)
		all = append(all, sent{
			id:         id,
			callResult: a,
		})
		if a.err == nil && a.status == http.StatusOK {
			// The last call, below, must not be answered with status 200 again.
			n += i + 1
			break
		}
	}
	a := members.pick(n).call(http.MethodPost, "/bookings/7", keys["orchard"], "tanker",
		"X-Execution", id, "Idempotency-Key", id)
	return append(all, sent{
		id:         id,
		callResult: a,
	})
}

// TestKeyedResends resends requests with an Idempotency-Key through other
// instances while instances die and freeze, among them the authorities of the
// keys. It guards against losing the record of a request that has run.
func TestKeyedResends(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, 3)
	for i := range f.targets.Targets {
		f.setTargetFaults(i, map[string]any{"SlowFactor": 25})
	}
	members := newBalancer(f.instances...)
	const requests = 240
	answers := make([][]sent, requests)
	var calls sync.WaitGroup
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	for n := range requests {
		<-ticker.C
		switch n {
		case requests / 4:
			f.instances[0].signal(t, syscall.SIGKILL)
		case requests / 2:
			f.instances[1].signal(t, syscall.SIGSTOP)
		case requests * 3 / 4:
			f.instances[1].signal(t, syscall.SIGCONT)
		}
		calls.Go(func() { answers[n] = keyedCall(members, n, fmt.Sprintf("keyed-%d", n)) })
	}
	calls.Wait()
	counts := f.executions()
	var all []sent
	for _, results := range answers {
		all = append(all, results...)
		checkKeyed(t, results, counts[results[0].id])
	}
	t.Logf("answers %v", tally(all))
	is.True(tally(all)["200  "] > requests/2)
}

// checkKeyed checks all results of one keyed request, which was sent several
// times and ran as often as ran says.
func checkKeyed(t *testing.T, all []sent, ran int) {
	t.Helper()
	complete := 0
	for _, s := range all {
		switch {
		case s.err != nil:
		case s.status == http.StatusOK:
			complete++
		case s.status == http.StatusConflict && s.firstRequest != "":
		case s.outcome == "not-run" && s.retryAfter != "":
		case s.outcome == "unknown":
		default:
			t.Errorf("%s: neither an answer nor an expected refusal: %+v", s.id, s.callResult)
		}
	}
	if ran > 1 || complete > 1 || complete > ran {
		t.Errorf("%s ran %d times, with %d complete answers: %v", all[0].id, ran, complete, tally(all))
	}
	// If there was only one call, its refusal covers the whole request.
	if all[0].refused() && len(all) == 1 && ran > 0 {
		t.Errorf("%s was reported as not run, but ran", all[0].id)
	}
}
