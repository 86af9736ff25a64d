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

// Guards against an instance that misses a change of the configuration, or that goes on
// accepting a key or a path that the change removed.
func TestChangeIsInForceOnAllInstances(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 4, 2)
	for _, g := range f.instances {
		is.Equal(f.call(g, "/one/1", "key-1"), http.StatusOK)
		is.Equal(f.call(g, "/two/1", "key-1"), http.StatusNotFound)
		is.Equal(f.call(g, "/one/1", "key-2"), http.StatusUnauthorized)
	}
	f.configure(configuration{
		Revision: 2,
		Keys:     []string{"key-2"},
		Path:     "/two",
	})
	for _, g := range f.instances {
		f.await(func() bool { return f.call(g, "/two/1", "key-2") == http.StatusOK })
		is.Equal(f.call(g, "/one/1", "key-2"), http.StatusNotFound)
		is.Equal(f.call(g, "/two/1", "key-1"), http.StatusUnauthorized)
	}
}

// Each instance in turn gets no answers from the store, the zone's reader among them,
// while the store serves the others. A change must still reach all.
func TestChangeIsInForceWhileReaderIsCutOffFromStore(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 4, 2)
	for i, d := range f.clients {
		d.setBlocked(true)
		path := "/" + strings.Repeat("x", i+1)
		f.configure(configuration{
			Revision: uint64(i + 2),
			Keys:     []string{"key-1"},
			Path:     path,
		})
		for _, g := range f.instances {
			// This includes the blocked instance, which copies from another one.
			f.await(func() bool { return f.call(g, path, "key-1") == http.StatusOK })
		}
		d.setBlocked(false)
	}
	is.True(f.ready(f.instances[0]))
}

// No instance reaches the store, so none can confirm that a key is still valid. After a
// while all refuse every key, and once the store is back they accept it again.
func TestNoKeyIsAcceptedWithoutRecentConfirmation(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	for _, d := range f.clients {
		d.setBlocked(true)
	}
	for _, g := range f.instances {
		f.await(func() bool { return f.call(g, "/one/1", "key-1") == http.StatusServiceUnavailable })
		f.await(func() bool { return !f.ready(g) })
	}
	for _, d := range f.clients {
		d.setBlocked(false)
	}
	for _, g := range f.instances {
		f.await(func() bool { return f.call(g, "/one/1", "key-1") == http.StatusOK && f.ready(g) })
	}
}

// Guards against an undecodable registration, or a removal, that leaves requests going to
// a target that is gone.
func TestRemovedTargetAndInvalidEntryGetNoRequests(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, 2)
	f.memory.put(targetPrefix+"desk-z", []byte("bytes of another writer"), 0)
	f.memory.put(targetPrefix+"desk-a", nil, 0)
	for _, g := range f.instances {
		f.await(func() bool {
			before := f.targets[0].Counts().Arrived
			for range 20 {
				is.Equal(f.call(g, "/one/1", "key-1"), http.StatusOK)
			}
			return f.targets[0].Counts().Arrived == before
		})
	}
}

// The first instance that meets a failing target must keep the others from sending
// requests to it.
func TestFailureIsReportedToAllInstances(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, 3)
	f.targets[0].SetFaults(standin.TargetFaults{Death: standin.DeathBefore})
	before := f.targets[0].Counts().Arrived
	for range 40 {
		for _, g := range f.instances {
			is.Equal(f.call(g, "/one/1", "key-1"), http.StatusOK)
		}
	}
	// Without reports each instance would send 13 of its 40 requests there.
	is.True(f.targets[0].Counts().Arrived-before < 13)
}

// Guards against a stop that cuts off a request in progress, or that stays registered
// until its end, so that others go on sending decision requests to the instance.
func TestStopFinishesRequestsInProgress(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, 1)
	g := f.instances[0]
	f.targets[0].SetFaults(standin.TargetFaults{SlowFactor: 1500})
	status := make(chan int)
	go func() { status <- f.call(g, "/one/1", "key-1") }()
	f.await(func() bool { return f.targets[0].Counts().Arrived > 0 })
	stopped := make(chan error)
	go func() { stopped <- g.Stop(context.Background()) }()
	f.await(func() bool { return !f.ready(g) })
	is.Equal(<-status, http.StatusOK)
	is.NoErr(<-stopped)
	// The instance deregisters first, so that others stop sending decision requests
	// to it.
	f.await(func() bool { return strings.Contains(f.log.String(), "msg=\"member gone\"") })
	log := f.log.String()
	is.True(strings.Index(log, "msg=\"member gone\"") < strings.Index(log, "msg=stopped"))
	is.Equal(f.call(f.instances[1], "/one/1", "key-1"), http.StatusOK)
}

// Guards against instances that read the store themselves although another one is the
// zone's reader: each change would then cost a call of every instance.
func TestOnlyReaderWatchesStore(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 6, 1)
	count := func() (most, sum int) {
		for _, d := range f.clients {
			d.mu.Lock()
			most = max(most, d.calls)
			sum += d.calls
			d.mu.Unlock()
		}
		return most, sum
	}
	_, before := count()
	for i := range 100 {
		f.configure(configuration{
			Revision: uint64(i + 2),
			Keys:     []string{"key-1"},
			Path:     "/one",
		})
		time.Sleep(5 * time.Millisecond)
	}
	most, sum := count()
	// One call of each of the six instances for every change would be 600. Lease
	// renewals add some calls, and the reader may change once.
	is.True(sum-before < 200)
	is.True(most > 0)
}

// One organisation calls all instances of two zones above its rate. One instance must
// decide for all of them, and another one after that one was closed.
func TestOneKeeperPerRateInWholeFleet(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, 1)
	f.startInstance("b")
	f.startInstance("b")
	f.awaitMembers()
	f.configure(configuration{
		Revision: 2,
		Keys:     []string{"key-1"},
		Path:     "/one",
		Rate:     4,
	})
	callUntilRefused := func(members []*gateway.Gateway) {
		f.await(func() bool {
			refused := 0
			for _, g := range members {
				status := f.call(g, "/one/1", "key-1")
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
		callUntilRefused(f.instances)
	}
	before := f.log.String()
	is.Equal(len(keepers(before)), 1)
	for name := range keepers(before) {
		i, err := strconv.Atoi(name)
		is.NoErr(err)
		f.instances[i].Close()
		callUntilRefused(slices.Delete(slices.Clone(f.instances), i, i+1))
		is.True(!keepers(f.log.String()[len(before):])[name])
	}
}

// Guards against metrics that lack the gateway's own values, the counters of package entry
// or those of store calls, whose names contain a Go type.
func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, 1)
	is.Equal(f.call(f.instances[0], "/one/1", "key-1"), http.StatusOK)
	content := f.metrics(f.instances[0])
	for _, name := range []string{"Configuration.AgeMs ", "Entry.Answered.2xx 1\n", "Store.Answered.store.List ", "Targets.desk.Healthy ", "Targets.desk.Unavailable 0\n"} {
		is.True(strings.Contains(content, name))
	}
}

// Guards against targets that are ejected by all instances because they dropped idle
// connections, and against requests that are lost on such connections.
func TestDroppedIdleConnectionsLeaveTargetsInUse(t *testing.T) {
	const requests = 20 // to each instance
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(t, 2, 4)
			sendAll := func() (failed int) {
				for range requests {
					for _, g := range f.instances {
						if f.send(g, method, "/one/1", "key-1") != http.StatusOK {
							failed++
						}
					}
				}
				return failed
			}
			is.Equal(sendAll(), 0)
			for _, s := range f.targets {
				s.SetFaults(standin.TargetFaults{
					Death: standin.DeathReused,
				})
			}
			is.Equal(sendAll(), 0)
			for _, g := range f.instances {
				is.True(strings.Contains(f.metrics(g), "Targets.desk.Healthy 4\n"))
			}
		})
	}
}

// The id of a failed request must be enough to find the cause of the failure in the
// logs of all instances.
func TestLogsExplainFailedRequest(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, 1)
	f.targets[0].SetFaults(standin.TargetFaults{Death: standin.DeathDuring})
	is.Equal(f.call(f.instances[0], "/one/1", "key-1"), http.StatusBadGateway)
	f.configure(configuration{
		Revision: 2,
		Path:     "/one",
	})
	f.await(func() bool { return f.call(f.instances[1], "/one/1", "key-1") == http.StatusUnauthorized })
	// The first 401 may have the reason key-withdrawn, if the key was withdrawn while that
	// request was in progress. This one has unknown-key.
	is.Equal(f.call(f.instances[1], "/one/1", "key-1"), http.StatusUnauthorized)
	f.await(func() bool { return strings.Contains(f.log.String(), "Reason=unknown-key") })
	lines, err := story.Read(strings.NewReader(f.log.String()))
	is.NoErr(err)
	reasons := map[string][]string{}
	for _, l := range lines {
		if l.Message != "refused" {
			continue
		}
		for _, line := range story.ForRequest(l.Fields["Request"], lines) {
			reasons[l.Fields["Reason"]] = append(reasons[l.Fields["Reason"]], line.Message)
		}
	}
	for _, message := range []string{"placed", "target seen", "strike", "retry asked for", "refused"} {
		is.True(slices.Contains(reasons["target-connection-died"], message))
	}
	is.True(slices.Contains(reasons["unknown-key"], "refused"))
	is.True(strings.Contains(f.log.String(), "msg=\"configuration in force\" Instance=1 Revision=2"))
}
