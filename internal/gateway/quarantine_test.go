package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/gateway"
	"dandelionmux/internal/standin"
)

const (
	// crashLimit is the number of crashed targets after which a request must be refused,
	// and maxLateArrivals the number of times that it may still reach a target once
	// quarantineTime has passed since then.
	crashLimit      = 3
	maxLateArrivals = 3
	quarantineTime  = 3 * time.Second
)

// crashTestZones are the zones of the instances.
var crashTestZones = []string{"a", "a", "b", "b", "c", "c"}

// sendCrashing sends a request that crashes its target, always the same one, and returns
// the status, or zero if there was no answer.
func (f *testFleet) sendCrashing(g *gateway.Gateway, method string) int {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+g.EntryAddress()+"/one/crash", nil)
	is.New(f.t).NoErr(err)
	r.Header.Set("Authorization", "Bearer key-1")
	r.Header.Set(standin.HeaderCrash, "1")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// crashes returns the number of times that a target has crashed.
func (f *testFleet) crashes() int {
	all := 0
	for _, s := range f.targets {
		all += int(s.Counts().Crashes)
	}
	return all
}

// quarantined returns the keys of the quarantined requests that the store holds.
func (f *testFleet) quarantined() []string {
	entries, _ := f.memory.content()
	var keys []string
	for key := range entries {
		if strings.HasPrefix(key, "dandelionmux/quarantine/") {
			keys = append(keys, key)
		}
	}
	return keys
}

// Guards against a request that goes on crashing targets because the instance that gets it
// doesn't know of the crashes that others have seen.
func TestCrashingRequestIsRefusedByAllInstances(t *testing.T) {
	tests := []struct {
		name   string
		method string
		// before is called with the fleet before the request is sent for the first time,
		// and after once the request has crashed crashLimit targets.
		before func(f *testFleet)
		after  func(f *testFleet)
	}{
		{
			name:   "write at instances of all zones",
			method: http.MethodPost,
		},
		{
			name:   "read at instances of all zones",
			method: http.MethodGet,
		},
		{
			name:   "read on kept connections",
			method: http.MethodGet,
			before: func(f *testFleet) {
				for range 20 {
					for _, g := range f.instances {
						f.call(g, "/one/1", "key-1")
					}
				}
			},
		},
		{
			name:   "write at instances that were started since",
			method: http.MethodPost,
			after: func(f *testFleet) {
				for i, zone := range crashTestZones {
					f.replaceInstance(i, zone)
				}
				f.awaitMembers()
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newTestFleet(t, 2, 12)
			for _, zone := range crashTestZones[len(f.instances):] {
				f.startInstance(zone)
			}
			f.awaitMembers()
			if tt.before != nil {
				tt.before(f)
			}
			for i := 0; f.crashes() < crashLimit; i++ {
				f.sendCrashing(f.instances[i%len(f.instances)], tt.method)
			}
			time.Sleep(quarantineTime)
			if tt.after != nil {
				tt.after(f)
			}
			before := f.arrivals()
			for range 4 {
				for _, g := range f.instances {
					f.sendCrashing(g, tt.method)
				}
			}
			t.Logf("%d arrivals after %d crashes", f.arrivals()-before, crashLimit)
			if f.arrivals()-before > maxLateArrivals {
				f.logLines("strike", "quarantine", "excused", "links", "impaired", "target not reached")
			}
			is.True(f.arrivals()-before <= maxLateArrivals)
			is.Equal(f.sendCrashing(f.instances[0], tt.method), http.StatusServiceUnavailable)
		})
	}
}

// Guards against a quarantine that instances started later don't find because the store has
// lost it.
func TestQuarantineIsStoredAgainAfterStoreWasSetBack(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, 6)
	entries, counter := f.memory.content()
	for i := 0; f.crashes() < crashLimit; i++ {
		f.sendCrashing(f.instances[i%len(f.instances)], http.MethodPost)
	}
	isStored := func() bool { return len(f.quarantined()) == 1 }
	f.await(isStored)
	f.memory.setBack(entries, counter)
	is.True(!isStored())
	f.await(isStored)
}

// Guards against a request that operators can't let pass again.
func TestQuarantineEndsWhenItsKeyIsDeleted(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, 6)
	for i := 0; f.crashes() < crashLimit; i++ {
		f.sendCrashing(f.instances[i%len(f.instances)], http.MethodPost)
	}
	// An instance that doesn't know yet that it is stored would store it again.
	f.await(func() bool { return strings.Count(f.log.String(), "msg=\"quarantine changed\"") == len(f.instances) })
	is.Equal(f.sendCrashing(f.instances[0], http.MethodPost), http.StatusServiceUnavailable)
	f.memory.put(f.quarantined()[0], nil, 0)
	for _, g := range f.instances {
		f.await(func() bool { return f.send(g, http.MethodPost, "/one/crash", "key-1") == http.StatusOK })
	}
}
