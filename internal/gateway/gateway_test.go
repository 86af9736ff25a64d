package gateway_test

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/gateway"
	"dandelionmux/internal/standin"
	"dandelionmux/internal/story"
)

func TestChangeIsInForceOnAllInstances(t *testing.T) {
	is := is.New(t)
	w := newTestFleet(t, 4, 2)
	for _, g := range w.instances {
		is.Equal(w.call(g, "/one/1", "key-1"), http.StatusOK)
		is.Equal(w.call(g, "/two/1", "key-1"), http.StatusNotFound)
		is.Equal(w.call(g, "/one/1", "key-2"), http.StatusUnauthorized)
	}
	w.configure(configuration{
		Revision: 2,
		Keys:     []string{"key-2"},
		Path:     "/two",
	})
	for _, g := range w.instances {
		w.await(func() bool { return w.call(g, "/two/1", "key-2") == http.StatusOK })
		is.Equal(w.call(g, "/one/1", "key-2"), http.StatusNotFound)
		is.Equal(w.call(g, "/two/1", "key-1"), http.StatusUnauthorized)
	}
}

// The store hears nothing from the instance that reads it for the zone, and
// serves the others.
func TestChangeIsInForceWhileTheReaderIsTurnedAway(t *testing.T) {
	is := is.New(t)
	w := newTestFleet(t, 4, 2)
	for i, d := range w.clients {
		d.setBlocked(true)
		path := "/" + strings.Repeat("x", i+1)
		w.configure(configuration{
			Revision: uint64(i + 2),
			Keys:     []string{"key-1"},
			Path:     path,
		})
		for _, g := range w.instances {
			// Also the one that is turned away: it copies from the others.
			w.await(func() bool { return w.call(g, path, "key-1") == http.StatusOK })
		}
		d.setBlocked(false)
	}
	is.True(w.ready(w.instances[0]))
}

// The store is away from everybody: nobody can prove that a key still holds, so
// after a while no key is taken, and once the store is back all are.
func TestNoKeyIsTakenWithoutAFreshProof(t *testing.T) {
	w := newTestFleet(t, 3, 1)
	for _, d := range w.clients {
		d.setBlocked(true)
	}
	for _, g := range w.instances {
		w.await(func() bool { return w.call(g, "/one/1", "key-1") == http.StatusServiceUnavailable })
		w.await(func() bool { return !w.ready(g) })
	}
	for _, d := range w.clients {
		d.setBlocked(false)
	}
	for _, g := range w.instances {
		w.await(func() bool { return w.call(g, "/one/1", "key-1") == http.StatusOK && w.ready(g) })
	}
}

func TestLeavingTargetGetsNothingAndAForeignEntryNeither(t *testing.T) {
	is := is.New(t)
	w := newTestFleet(t, 2, 2)
	w.memory.put(targetPrefix+"desk-z", []byte("bytes of another writer"), 0)
	w.memory.put(targetPrefix+"desk-a", nil, 0)
	for _, g := range w.instances {
		w.await(func() bool {
			before := w.targets[0].Counts().Arrived
			for range 20 {
				is.Equal(w.call(g, "/one/1", "key-1"), http.StatusOK)
			}
			return w.targets[0].Counts().Arrived == before
		})
	}
}

// The first instance that meets a failing target spares all others.
func TestFailureIsToldToAll(t *testing.T) {
	is := is.New(t)
	w := newTestFleet(t, 3, 3)
	w.targets[0].SetFaults(standin.TargetFaults{Death: standin.DeathBefore})
	before := w.targets[0].Counts().Arrived
	for range 40 {
		for _, g := range w.instances {
			is.Equal(w.call(g, "/one/1", "key-1"), http.StatusOK)
		}
	}
	// 13 of 40 from each instance would have gone there.
	is.True(w.targets[0].Counts().Arrived-before < 13)
}

func TestStopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	w := newTestFleet(t, 2, 1)
	g := w.instances[0]
	w.targets[0].SetFaults(standin.TargetFaults{SlowFactor: 1500})
	status := make(chan int)
	go func() { status <- w.call(g, "/one/1", "key-1") }()
	w.await(func() bool { return w.targets[0].Counts().Arrived > 0 })
	stopped := make(chan error)
	go func() { stopped <- g.Stop(context.Background()) }()
	w.await(func() bool { return !w.ready(g) })
	is.Equal(<-status, http.StatusOK)
	is.NoErr(<-stopped)
	// It deregisters first, so that nobody asks it for what ends with it.
	w.await(func() bool { return strings.Contains(w.log.String(), "msg=\"member gone\"") })
	log := w.log.String()
	is.True(strings.Index(log, "msg=\"member gone\"") < strings.Index(log, "msg=stopped"))
	is.Equal(w.call(w.instances[1], "/one/1", "key-1"), http.StatusOK)
}

func TestOnlyTheZonesReaderCallsTheStore(t *testing.T) {
	is := is.New(t)
	w := newTestFleet(t, 6, 1)
	count := func() (most, sum int) {
		for _, d := range w.clients {
			d.mu.Lock()
			most = max(most, d.calls)
			sum += d.calls
			d.mu.Unlock()
		}
		return most, sum
	}
	_, before := count()
	for i := range 100 {
		w.configure(configuration{
			Revision: uint64(i + 2),
			Keys:     []string{"key-1"},
			Path:     "/one",
		})
		time.Sleep(5 * time.Millisecond)
	}
	most, sum := count()
	// A call by each of six for every change would be 600. Leases are renewed
	// besides, and the reader may change once.
	is.True(sum-before < 200)
	is.True(most > 0)
}

// One organisation calls all instances of two zones beyond its rate: one instance
// decides for all of them, and another when that one has died.
func TestOneKeeperForTheWholeFleet(t *testing.T) {
	is := is.New(t)
	w := newTestFleet(t, 2, 1)
	w.startInstance("b")
	w.startInstance("b")
	w.awaitMembers()
	w.configure(configuration{
		Revision: 2,
		Keys:     []string{"key-1"},
		Path:     "/one",
		Rate:     4,
	})
	press := func(members []*gateway.Gateway) {
		w.await(func() bool {
			refused := 0
			for _, g := range members {
				status := w.call(g, "/one/1", "key-1")
				is.True(status == http.StatusOK || status == http.StatusTooManyRequests)
				if status == http.StatusTooManyRequests {
					refused++
				}
			}
			return refused == len(members)
		})
	}
	keepers := func(log string) map[string]bool {
		names := map[string]bool{}
		for _, line := range strings.Split(log, "\n") {
			if _, tail, ok := strings.Cut(line, "msg=\"rate used up\" Instance="); ok {
				name, _, _ := strings.Cut(tail, " ")
				names[name] = true
			}
		}
		return names
	}
	for range 5 {
		press(w.instances)
	}
	before := w.log.String()
	is.Equal(len(keepers(before)), 1)
	for name := range keepers(before) {
		i, err := strconv.Atoi(name)
		is.NoErr(err)
		w.instances[i].Close()
		press(slices.Delete(slices.Clone(w.instances), i, i+1))
		is.True(!keepers(w.log.String()[len(before):])[name])
	}
}

func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	w := newTestFleet(t, 1, 1)
	is.Equal(w.call(w.instances[0], "/one/1", "key-1"), http.StatusOK)
	content := w.metrics(w.instances[0])
	for _, name := range []string{"Configuration.AgeMs ", "Entry.Answered.2xx 1\n", "Store.Answered.store.List "} {
		is.True(strings.Contains(content, name))
	}
}

// From the id of a failed request alone, the logs of all instances tell its cause.
func TestStoryOfAFailedRequest(t *testing.T) {
	is := is.New(t)
	w := newTestFleet(t, 3, 1)
	w.targets[0].SetFaults(standin.TargetFaults{Death: standin.DeathDuring})
	is.Equal(w.call(w.instances[0], "/one/1", "key-1"), http.StatusBadGateway)
	w.configure(configuration{
		Revision: 2,
		Path:     "/one",
	})
	w.await(func() bool { return w.call(w.instances[1], "/one/1", "key-1") == http.StatusUnauthorized })
	// The key was withdrawn from under the first, if that was on its way.
	is.Equal(w.call(w.instances[1], "/one/1", "key-1"), http.StatusUnauthorized)
	w.await(func() bool { return strings.Contains(w.log.String(), "Reason=unknown-key") })
	lines, err := story.Read(strings.NewReader(w.log.String()))
	is.NoErr(err)
	reasons := map[string][]string{}
	for _, l := range lines {
		if l.Message != "refused" {
			continue
		}
		for _, told := range story.ForRequest(l.Fields["Request"], lines) {
			reasons[l.Fields["Reason"]] = append(reasons[l.Fields["Reason"]], told.Message)
		}
	}
	for _, message := range []string{"placed", "target seen", "strike", "retry asked for", "refused"} {
		is.True(slices.Contains(reasons["target-connection-died"], message))
	}
	is.True(slices.Contains(reasons["unknown-key"], "refused"))
	is.True(strings.Contains(w.log.String(), "msg=\"configuration in force\" Instance=1 Revision=2"))
}
