package process_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxApplyDelay is the longest time from an accepted edit until every instance
// applies it, and from the isolation of an instance until it stops admitting
// requests.
const maxApplyDelay = 13 * time.Second

// newKey is the key of organisation mill after replaceMillKey.
const newKey = "new-key-of-mill"

// replaceMillKey withdraws mill's key and gives mill newKey instead.
func (f *fleet) replaceMillKey() {
	f.t.Helper()
	f.setSections(map[string]any{
		"Organisations": []map[string]any{
			{"Name": "orchard", "KeyDigests": []string{keyDigest(keys["orchard"])}},
			{"Name": "mill", "KeyDigests": []string{keyDigest(newKey)}},
		},
	})
}

// within polls until the condition holds and returns how long that took. It
// fails the test if the condition doesn't hold within the limit.
func within(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	begun := time.Now()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		if time.Since(begun) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		<-ticker.C
	}
	return time.Since(begun)
}

// TestWithdrawnKeyStops withdraws a key while the store is slow. The key must be
// refused also on connections that were opened before the edit.
func TestWithdrawnKeyStops(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1)
	connected := make([]*http.Client, len(f.instances))
	for i, r := range f.instances {
		connected[i] = newClient()
		got := r.callBy(connected[i], http.MethodPost, "/bookings/7", keys["mill"], "tanker")
		is.Equal(got.status, http.StatusOK)
	}
	f.putJSON("http://"+f.store.AdminAddress+"/faults", map[string]any{"Slow": "700ms"})
	f.replaceMillKey()
	for i, r := range f.instances {
		took := within(t, maxApplyDelay, "a withdrawn key is refused", func() bool {
			got := r.callBy(connected[i], http.MethodPost, "/bookings/7", keys["mill"], "tanker")
			is.True(got.reused) // a connection from before the edit
			return got.status == http.StatusUnauthorized && got.outcome == "not-run"
		})
		t.Logf("instance %d: withdrawn key refused after %v", i, took)
	}
	for _, r := range f.instances {
		id := newID()
		got := r.call(http.MethodPost, "/bookings/7", keys["mill"], "tanker", "X-Execution", id)
		is.Equal(got.status, http.StatusUnauthorized)
		is.Equal(f.executions()[id], 0)
		is.Equal(r.call(http.MethodPost, "/bookings/7", newKey, "tanker").status, http.StatusOK)
	}
}

// TestEditSurvivesRestartWithoutStore restarts an instance while the store is
// unreachable. It must take the newest document from its peers, and not admit
// requests by an older one.
func TestEditSurvivesRestartWithoutStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1)
	f.replaceMillKey()
	for i, r := range f.instances {
		took := within(t, maxApplyDelay, "an edit is in force", func() bool {
			return r.call(http.MethodPost, "/bookings/7", newKey, "tanker").status == http.StatusOK
		})
		t.Logf("instance %d: edit in force after %v", i, took)
	}
	// Until all shares are claimed, the two remaining instances may hold too few
	// of them for a majority that confirms rights.
	f.sleepUntilSharesVote()
	f.putJSON("http://"+f.store.AdminAddress+"/faults", map[string]any{"Outage": true})
	first := f.instances[0]
	first.signal(t, syscall.SIGKILL)
	_ = first.wait(t)
	restarted := f.startInstanceAt(first.PeerAddress, first.zone)
	f.awaitReady(restarted)
	for _, r := range f.instances[1:] {
		is.Equal(r.call(http.MethodPost, "/bookings/7", keys["mill"], "tanker").status, http.StatusUnauthorized)
		within(t, maxApplyDelay, "the new key is accepted after the restart", func() bool {
			return r.call(http.MethodPost, "/bookings/7", newKey, "tanker").status == http.StatusOK
		})
	}
}

// TestCutOffInstanceStopsAdmitting first checks that the fleet serves during an
// outage of the store. Then it freezes all instances but one. That one reaches
// neither the store nor a peer and must stop admitting. A frozen instance that
// continues after its leases have ended must not use them.
func TestCutOffInstanceStopsAdmitting(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1)
	f.sleepUntilSharesVote()
	f.putJSON("http://"+f.store.AdminAddress+"/faults", map[string]any{"Outage": true})
	served := startStream(http.MethodPost, "orchard", 20, newBalancer(f.instances...).pick)
	sleep(maxApplyDelay)
	for _, s := range served.end() {
		is.NoErr(s.err)
		is.Equal(s.status, http.StatusOK) // the fleet serves without the store
	}
	isolated, frozen := f.instances[0], f.instances[1]
	busy := startStream(http.MethodPost, "orchard", 100, newBalancer(frozen).pick)
	sleep(500 * time.Millisecond)
	for _, r := range f.instances[1:] {
		r.signal(t, syscall.SIGSTOP)
	}
	took := within(t, maxApplyDelay, "an instance that is cut off stops admitting", func() bool {
		got := isolated.call(http.MethodPost, "/bookings/7", keys["orchard"], "tanker")
		return got.status == http.StatusServiceUnavailable && got.outcome == "not-run" &&
			got.reason == "not-ready" && got.retryAfter != ""
	})
	t.Logf("isolated instance stopped admitting after %v", took)
	refused := startStream(http.MethodPost, "orchard", 50, newBalancer(isolated).pick)
	sleep(2 * time.Second)
	for _, s := range refused.end() {
		is.NoErr(s.err)
		is.True(s.refused()) // goes on refusing
	}
	busy.end() // late requests still wait in the frozen instance's sockets
	f.resumeAfterLapse(frozen, "orchard")
	f.instances[2].signal(t, syscall.SIGCONT)
	// No instance had contact with others for about a term, so their rights may
	// have ended, and only the store can renew them.
	f.putJSON("http://"+f.store.AdminAddress+"/faults", map[string]any{})
	eventually(t, "the instance serves again once it has contact", func() bool {
		return isolated.call(http.MethodPost, "/bookings/7", keys["orchard"], "tanker").status == http.StatusOK
	})
}

// resumeAfterLapse continues an instance that was frozen for longer than its
// leases last, while no other instance can renew them. It checks that the
// instance runs neither waiting nor new requests under the ended leases.
func (f *fleet) resumeAfterLapse(r *instance, organisation string) {
	f.t.Helper()
	const perSecond = 30
	before := f.executed()
	load := startStream(http.MethodPost, organisation, perSecond, newBalancer(r).pick)
	sleep(time.Second)
	r.signal(f.t, syscall.SIGCONT)
	sleep(time.Second)
	for _, s := range load.end() {
		is.New(f.t).True(s.err != nil || s.refused())
	}
	is.New(f.t).Equal(f.executed(), before) // nothing ran under ended leases
}
