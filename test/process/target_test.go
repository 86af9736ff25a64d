package process_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// counts are the counters of one target, as its administration port reports them.
type counts struct {
	Name   string
	Counts struct {
		Arrived  uint64
		Executed uint64
		Crashes  uint64
	}
}

// arrived returns how many requests each target has received.
func (f *fleet) arrived() []int {
	f.t.Helper()
	var list []int
	for _, c := range f.counts() {
		list = append(list, int(c.Counts.Arrived))
	}
	return list
}

// counts returns the counters of all targets.
func (f *fleet) counts() []counts {
	f.t.Helper()
	_, body := fetch("http://" + f.targets.AdminAddress + "/targets")
	var list []counts
	is.New(f.t).NoErr(json.Unmarshal([]byte(body), &list))
	return list
}

// loadPercents waits for one second and returns what percentage of the requests
// in that second each target received.
func (f *fleet) loadPercents() []int {
	before := f.arrived()
	sleep(time.Second)
	after := f.arrived()
	sum := 0
	for n := range after {
		after[n] -= before[n]
		sum += after[n]
	}
	for n := range after {
		after[n] = after[n] * 100 / max(sum, 1)
	}
	return after
}

// loadPercent waits for one second and returns what percentage of the requests
// in that second target i received.
func (f *fleet) loadPercent(i int) int { return f.loadPercents()[i] }

// Percentages of the requests that one target of four receives.
const (
	maxEjectedPercent = 4  // an ejected target gets at most this
	minActivePercent  = 10 // a target that isn't ejected gets at least this
)

// maxDetectTime bounds the wait until a failing target gets at most
// maxEjectedPercent of the requests in one second.
const maxDetectTime = 13 * time.Second

// TestGrayTarget checks that the fleet ejects a target that fails half of its
// requests and passes its health check.
func TestGrayTarget(t *testing.T) {
	f := newFleet(t, 3, 4)
	load := startStream(http.MethodGet, "orchard", 200, newBalancer(f.instances...).pick)
	f.setTargetFaults(0, map[string]any{"GrayFraction": 0.5})
	took := within(t, maxDetectTime, "a gray target is ejected", func() bool { return f.loadPercent(0) <= maxEjectedPercent })
	t.Logf("ejected after %v", took)
	t.Logf("answers %v", tally(load.end()))
}

// TestGrayTargetComesBack checks that an ejected target receives requests again
// after it has recovered.
func TestGrayTargetComesBack(t *testing.T) {
	f := newFleet(t, 3, 4)
	load := startStream(http.MethodGet, "orchard", 200, newBalancer(f.instances...).pick)
	f.setTargetFaults(0, map[string]any{"GrayFraction": 0.5})
	within(t, maxDetectTime, "a gray target is ejected", func() bool { return f.loadPercent(0) <= maxEjectedPercent })
	f.setTargetFaults(0, map[string]any{})
	took := within(t, eventTimeout, "a recovered target gets requests again", func() bool { return f.loadPercent(0) >= minActivePercent })
	t.Logf("back after %v", took)
	t.Logf("answers %v", tally(load.end()))
}

// TestCapacityFloor makes one target after the other fail most of its requests,
// up to all of them. The fleet must keep at least half of the capacity in use,
// the service's Floor, and never refuse a request because no target is left.
func TestCapacityFloor(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 4)
	load := startStream(http.MethodGet, "orchard", 200, newBalancer(f.instances...).pick)
	for i := range 2 {
		f.setTargetFaults(i, map[string]any{"GrayFraction": 0.8})
		within(t, maxDetectTime, "a gray target is ejected", func() bool { return f.loadPercent(i) <= maxEjectedPercent })
	}
	for i := 2; i < len(f.targets.Targets); i++ {
		f.setTargetFaults(i, map[string]any{"GrayFraction": 0.8})
		sleep(4 * time.Second)
		active := 0
		percents := f.loadPercents()
		for _, percent := range percents {
			if percent >= minActivePercent {
				active++
			}
		}
		t.Logf("%d gray targets, %d in use, percentages %v", i+1, active, percents)
		is.True(active >= 2) // the floor is 50 percent
	}
	all := load.end()
	t.Logf("answers %v", tally(all))
	for _, s := range all {
		is.NoErr(s.err)
		is.True(s.status == http.StatusOK || s.status == http.StatusInternalServerError) // never refused because no target is left
	}
}

// TestLeavingTargets checks that two targets receive no new requests: one that
// announces itself that it drains, and one that is marked as leaving in the
// document.
func TestLeavingTargets(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 4)
	load := startStream(http.MethodPost, "orchard", 100, newBalancer(f.instances...).pick)
	f.setTargetFaults(0, map[string]any{"Drain": true})
	services := f.sections()["Services"].([]map[string]any)
	services[0]["Targets"].([]map[string]any)[1]["Leaving"] = true
	f.setSections(map[string]any{"Services": services})
	t.Logf("leaving target without requests after %v",
		within(t, maxApplyDelay, "a leaving target gets nothing new", func() bool { return f.loadPercent(1) == 0 }))
	t.Logf("draining target without requests %v later",
		within(t, maxApplyDelay, "a draining target gets nothing new", func() bool { return f.loadPercent(0) == 0 }))
	before := f.arrived()
	sleep(3 * time.Second)
	after := f.arrived()
	is.Equal(after[0], before[0])
	is.Equal(after[1], before[1])
	for _, s := range load.end() {
		is.NoErr(s.err)
		is.Equal(s.status, http.StatusOK)
	}
}

// TestPoisonousRequest resends a request that crashes its target through all
// instances. The quarantine must stop it after at most two crashes, and must not
// affect other requests.
func TestPoisonousRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 4)
	var all []sent
	for n := range 10 {
		id := fmt.Sprintf("poison-%d", n)
		a := f.instances[n%3].call(http.MethodGet, "/bookings/poison", keys["orchard"], "", "X-Crash", "1", "X-Execution", id)
		all = append(all, sent{
			id:         id,
			callResult: a,
		})
	}
	crashes := 0
	for _, c := range f.counts() {
		crashes += int(c.Counts.Crashes)
	}
	t.Logf("%d crashes, answers %v", crashes, tally(all))
	is.True(crashes >= 1)
	is.True(crashes <= 2)
	last := all[len(all)-1]
	is.Equal(last.status, http.StatusServiceUnavailable)
	is.Equal(last.outcome, "not-run")
	is.True(last.retryAfter != "")
	// Other requests are not affected.
	eventually(t, "another request is served", func() bool {
		return f.instances[0].call(http.MethodPost, "/bookings/7", keys["orchard"], "tanker").status == http.StatusOK
	})
}

// long enables the tests that wait for terms of a minute.
var long = flag.Bool("long", false, "run tests that wait for terms of a minute")

// TestRequestWithOneStrikeRunsAgain checks that a request with one strike is
// permitted to run again once its authority has been the authority for longer
// than any permit of a predecessor lasts.
func TestRequestWithOneStrikeRunsAgain(t *testing.T) {
	if !*long {
		t.Skip("waits for a term of a minute, see the flag -long")
	}
	is := is.New(t)
	f := newFleet(t, 3, 4)
	crashed := f.instances[0].call(http.MethodPost, "/bookings/struck", keys["orchard"], "", "X-Crash", "1")
	is.Equal(crashed.outcome, "unknown")
	took := within(t, 90*time.Second, "a request with one strike is served", func() bool {
		return f.instances[1].call(http.MethodPost, "/bookings/struck", keys["orchard"], "").status == http.StatusOK
	})
	t.Logf("served again after %v", took)
}
