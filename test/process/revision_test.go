package process_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// inForce is the longest time from an accepted edit, or from the cut of an
// instance from everything, until every instance acts on it.
const inForce = 13 * time.Second

// newKey is the mill's key after the edit in the tests.
const newKey = "new-key-of-mill"

// withdraw replaces the mill's key by another one.
func (f *fleet) withdraw() {
	f.t.Helper()
	f.set(map[string]any{
		"Organisations": []map[string]any{
			{"Name": "orchard", "KeyDigests": []string{keyDigest(keys["orchard"])}},
			{"Name": "mill", "KeyDigests": []string{keyDigest(newKey)}},
		},
	})
}

// within polls until the condition holds and returns how long it took. It
// fails if that takes longer than the limit.
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

// TestWithdrawnKeyStops withdraws a key while the store is slow, and calls on
// connections that were open before.
func TestWithdrawnKeyStops(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1)
	connected := make([]*http.Client, len(f.instances))
	for i, r := range f.instances {
		connected[i] = newCaller()
		got := r.callBy(connected[i], http.MethodPost, "/bookings/7", keys["mill"], "tanker")
		is.Equal(got.status, http.StatusOK)
	}
	f.put("http://"+f.store.AdminAddress+"/faults", map[string]any{"Slow": "700ms"})
	f.withdraw()
	for i, r := range f.instances {
		took := within(t, inForce, "a withdrawn key is refused", func() bool {
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

// TestEditSurvivesRestartWithoutStore restarts instances while the store is
// away: they take the newest document from their peers.
func TestEditSurvivesRestartWithoutStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1)
	f.withdraw()
	for i, r := range f.instances {
		took := within(t, inForce, "an edit is in force", func() bool {
			return r.call(http.MethodPost, "/bookings/7", newKey, "tanker").status == http.StatusOK
		})
		t.Logf("instance %d: edit in force after %v", i, took)
	}
	// Until all shares are claimed the two that stay may hold too few to vouch.
	f.settle()
	f.put("http://"+f.store.AdminAddress+"/faults", map[string]any{"Outage": true})
	first := f.instances[0]
	first.signal(t, syscall.SIGKILL)
	_ = first.wait(t)
	again := f.startInstanceAt(first.PeerAddress, first.zone)
	f.awaitReady(again)
	for _, r := range f.instances[1:] {
		is.Equal(r.call(http.MethodPost, "/bookings/7", keys["mill"], "tanker").status, http.StatusUnauthorized)
		within(t, inForce, "the new key is good after the restart", func() bool {
			return r.call(http.MethodPost, "/bookings/7", newKey, "tanker").status == http.StatusOK
		})
	}
}

// TestCutOffInstanceStopsAdmitting leaves one instance alone with a store in
// outage, after the whole fleet served through the outage.
func TestCutOffInstanceStopsAdmitting(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1)
	f.settle()
	f.put("http://"+f.store.AdminAddress+"/faults", map[string]any{"Outage": true})
	served := startStream(http.MethodPost, "orchard", 20, newBalancer(f.instances...).pick)
	pass(inForce)
	for _, s := range served.end() {
		is.NoErr(s.err)
		is.Equal(s.status, http.StatusOK) // the fleet serves without the store
	}
	alone, thawed := f.instances[0], f.instances[1]
	busy := startStream(http.MethodPost, "orchard", 100, newBalancer(thawed).pick)
	pass(500 * time.Millisecond)
	for _, r := range f.instances[1:] {
		r.signal(t, syscall.SIGSTOP)
	}
	took := within(t, inForce, "an instance that is cut off stops admitting", func() bool {
		got := alone.call(http.MethodPost, "/bookings/7", keys["orchard"], "tanker")
		return got.status == http.StatusServiceUnavailable && got.outcome == "not-run" &&
			got.reason == "not-ready" && got.retryAfter != ""
	})
	t.Logf("alone: stopped admitting after %v", took)
	refused := startStream(http.MethodPost, "orchard", 50, newBalancer(alone).pick)
	pass(2 * time.Second)
	for _, s := range refused.end() {
		is.NoErr(s.err)
		is.True(s.refused()) // goes on refusing
	}
	busy.end() // what came too late waits in the frozen instance's sockets
	f.thawWithout(thawed, "orchard")
	f.instances[2].signal(t, syscall.SIGCONT)
	// All were out of contact for about a term, so their rights may have lapsed
	// and need the store.
	f.put("http://"+f.store.AdminAddress+"/faults", map[string]any{})
	eventually(t, "serves again in contact", func() bool {
		return alone.call(http.MethodPost, "/bookings/7", keys["orchard"], "tanker").status == http.StatusOK
	})
}

// thawWithout lets an instance go on that was frozen for longer than all its
// leases, with nobody to renew them. It must run nothing on what it held.
func (f *fleet) thawWithout(r *running, organisation string) {
	f.t.Helper()
	const waiting = 30
	before := f.executed()
	load := startStream(http.MethodPost, organisation, waiting, newBalancer(r).pick)
	pass(time.Second)
	r.signal(f.t, syscall.SIGCONT)
	pass(time.Second)
	for _, s := range load.end() {
		is.New(f.t).True(s.err != nil || s.refused())
	}
	is.New(f.t).Equal(f.executed(), before) // nothing ran on lapsed rights
}
