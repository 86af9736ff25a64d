package process_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The rate of organisation mill, as in the document.
const (
	millRate  = 20.0 // requests a second
	millBurst = 10   // requests
)

// executed returns how many requests all targets together ran.
func (f *fleet) executed() int {
	sum := 0
	for _, n := range f.executions() {
		sum += n
	}
	return sum
}

// loadWithFault sends requests of organisation mill until fault returns, and
// checks every 100 ms that no more of them ran since the start than mill's rate
// and burst allow. No request may be running when it is called. It returns the
// results of all calls.
func (f *fleet) loadWithFault(name string, perSecond int, pick func(n int) *instance, fault func()) []sent {
	f.t.Helper()
	before, begun := f.executed(), time.Now()
	check := func() {
		ran := f.executed() - before
		if allowed := millBurst + millRate*time.Since(begun).Seconds(); float64(ran) > allowed {
			f.t.Errorf("%s: %d ran after %v, %.1f allowed", name, ran, time.Since(begun), allowed)
		}
	}
	load := startStream(http.MethodPost, "mill", perSecond, pick)
	faulted := make(chan struct{})
	go func() {
		defer close(faulted)
		fault()
	}()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for faulting := true; faulting; check() {
		select {
		case <-faulted:
			faulting = false
		case <-ticker.C:
		}
	}
	all := load.end()
	check()
	f.t.Logf("%s: %d ran in %v, answers %v", name, f.executed()-before, time.Since(begun), tally(all))
	f.checkAtMostOnce(f.t, all)
	return all
}

// uneven returns a pick function that sends more than four of five calls to the
// first instance.
func uneven(instances []*instance) func(n int) *instance {
	return func(n int) *instance {
		if n%5 > 0 {
			return instances[0]
		}
		return instances[(n/5)%len(instances)]
	}
}

// TestQuotaWithoutFaults checks that a fleet without faults refuses nothing
// below the rate, although the load is uneven, and enforces the rate above it.
func TestQuotaWithoutFaults(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, 2)
	for _, r := range f.instances {
		eventually(t, "an instance admits a request of mill", func() bool {
			return r.call(http.MethodPost, "/bookings/7", keys["mill"], "tanker").status == http.StatusOK
		})
	}
	sleep(time.Second)
	for _, s := range f.loadWithFault("below the rate", 18, uneven(f.instances), func() { sleep(8 * time.Second) }) {
		is.NoErr(s.err)
		is.Equal(s.status, http.StatusOK)
	}
	over := 0
	for _, s := range f.loadWithFault("over the rate", 100, uneven(f.instances), func() { sleep(4 * time.Second) }) {
		is.NoErr(s.err)
		if s.status != http.StatusOK {
			over++
			is.True(s.refused())
			is.True(s.retryAfter != "")
		}
	}
	is.True(over > 0)
}

// TestQuotaUnderFaults checks that the fleet never exceeds the rate while
// instances die, freeze and restart and the store is unreachable, and that it
// still admits requests afterwards.
func TestQuotaUnderFaults(t *testing.T) {
	f := newFleet(t, 4, 2)
	members := newBalancer(f.instances...)
	killed, frozen := f.instances[3], f.instances[2]
	f.loadWithFault("kill", 100, members.pick, func() {
		sleep(time.Second)
		killed.signal(t, syscall.SIGKILL)
		sleep(3 * time.Second)
	})
	members.remove(killed)
	f.loadWithFault("freeze", 100, members.pick, func() {
		sleep(time.Second)
		frozen.signal(t, syscall.SIGSTOP)
		sleep(3 * time.Second)
		frozen.signal(t, syscall.SIGCONT)
		sleep(time.Second)
	})
	_ = killed.wait(t)
	members.add(f.startInstanceAt(killed.PeerAddress, killed.zone))
	f.loadWithFault("restart", 100, members.pick, func() { sleep(3 * time.Second) })
	f.loadWithFault("store outage", 100, members.pick, func() {
		f.putJSON("http://"+f.store.AdminAddress+"/faults", map[string]any{"Outage": true})
		sleep(3 * time.Second)
		frozen.signal(t, syscall.SIGSTOP)
		sleep(2 * time.Second)
		frozen.signal(t, syscall.SIGCONT)
		sleep(time.Second)
	})
	last := f.loadWithFault("store back", 10, members.pick, func() {
		f.putJSON("http://"+f.store.AdminAddress+"/faults", map[string]any{})
		sleep(2 * time.Second)
	})
	is.New(t).True(tally(last)["200  "] > 0) // the quota is not lost for good
}
