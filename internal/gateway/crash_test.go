package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/gateway"
)

// crashHeader names the request that crashes its target.
const crashHeader = "X-Test-Crash"

// strikeSettleTime is how long it may take until strikes are known to instances that start.
const strikeSettleTime = 1500 * time.Millisecond

// crashRun is how long a request runs until it crashes its target.
const crashRun = 80 * time.Millisecond

// crashTargets are targets that requests with crashHeader crash.
type crashTargets struct {
	fleet    *testFleet
	downtime time.Duration
	// renamed is set if other targets take the places of crashed ones.
	renamed bool

	mu sync.Mutex
	// arrivals holds when each request reached a target.
	arrivals map[string][]time.Time
	started  int
	closed   bool
}

// crashTarget is one start of a target.
type crashTarget struct {
	targets *crashTargets
	name    string
	address string
	server  *http.Server
	once    sync.Once
}

// startCrashTargets starts a number of targets of the service desk.
func (f *testFleet) startCrashTargets(number int, downtime time.Duration, renamed bool) *crashTargets {
	s := &crashTargets{
		fleet:    f,
		downtime: downtime,
		renamed:  renamed,
		arrivals: map[string][]time.Time{},
	}
	for range number {
		s.start("", "127.0.0.1:0")
	}
	f.t.Cleanup(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closed = true
	})
	return s
}

// start starts a target, with a name of its own if name is empty, and registers it.
func (s *crashTargets) start(name, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		time.AfterFunc(s.downtime, func() { s.start(name, address) })
		return
	}
	s.started++
	if name == "" {
		name = fmt.Sprintf("desk-%d", s.started)
	}
	t := &crashTarget{
		targets: s,
		name:    name,
		address: listener.Addr().String(),
	}
	t.server = &http.Server{
		Handler:           t,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = t.server.Serve(listener) }()
	s.fleet.t.Cleanup(func() { _ = t.server.Close() })
	registration := fmt.Sprintf("%s %d", t.address, s.started)
	s.fleet.memory.put(targetPrefix+name, []byte(registration), 0)
}

// ServeHTTP implements http.Handler.
func (t *crashTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(crashRun)
	name := r.Header.Get(crashHeader)
	if name == "" {
		w.Header().Set("Content-Length", "0")
		return
	}
	s := t.targets
	s.mu.Lock()
	s.arrivals[name] = append(s.arrivals[name], time.Now())
	s.mu.Unlock()
	t.once.Do(t.crash)
	panic(http.ErrAbortHandler)
}

// crash ends the target, which starts again after the downtime.
func (t *crashTarget) crash() {
	s := t.targets
	_ = t.server.Close()
	name := t.name
	if s.renamed {
		name = ""
	}
	time.AfterFunc(s.downtime, func() {
		if s.renamed {
			s.fleet.memory.put(targetPrefix+t.name, nil, 0)
		}
		s.start(name, t.address)
	})
}

// late returns how often a request has reached a target in all, and how often once
// quarantineTime had passed since it crashed the target number crashLimit.
func (s *crashTargets) late(name string) (all, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.arrivals[name]
	slices.SortFunc(list, time.Time.Compare)
	for _, at := range list[min(crashLimit, len(list)):] {
		if at.Sub(list[crashLimit-1]) > quarantineTime {
			late++
		}
	}
	return len(list), late
}

// sendNamed sends a request that crashes its targets.
func (f *testFleet) sendNamed(g *gateway.Gateway, method, name string) {
	r, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+g.EntryAddress()+"/one/"+name, nil)
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer key-1")
	r.Header.Set(crashHeader, name)
	if response, err := http.DefaultClient.Do(r); err == nil {
		_ = response.Body.Close()
	}
}

// Guards against requests that go on crashing targets because crashes are taken for lost
// links while several of them end most targets of a service.
func TestSeveralCrashingRequestsAreRefusedByAllInstances(t *testing.T) {
	tests := []struct {
		name     string
		method   string
		requests int
		targets  int
		downtime time.Duration
		// renamed is set if other targets take the places of crashed ones.
		renamed bool
		// others is the number of targets of another service.
		others int
		// cut are the instances without links.
		cut []int
	}{
		{
			name:     "writes and targets that start again",
			method:   http.MethodPost,
			requests: 8,
			targets:  10,
			downtime: 2 * time.Second,
			others:   4,
		},
		{
			name:     "reads and few targets that others replace",
			method:   http.MethodGet,
			requests: 6,
			targets:  6,
			downtime: 2 * time.Second,
			renamed:  true,
		},
		{
			name:     "reads and instances without links",
			method:   http.MethodGet,
			requests: 12,
			targets:  8,
			downtime: time.Second,
			cut:      []int{0, 3},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newTestFleet(t, 2, 0)
			f.startTargets("mill", tt.others)
			targets := f.startCrashTargets(tt.targets, tt.downtime, tt.renamed)
			for _, zone := range crashTestZones[len(f.instances):] {
				f.startInstance(zone)
			}
			f.awaitMembers()
			for _, i := range tt.cut {
				f.links[i].set([]linkState{linksReset, linksSilent}[i%2])
			}
			f.sendForAWhile(tt.method, tt.requests, tt.others > 0)
			for i := range tt.requests {
				all, late := targets.late(crashName(i))
				t.Logf("%s: %d arrivals, %d late", crashName(i), all, late)
				if late > maxLateArrivals {
					f.logLines("strike", "quarantine", "excused", "links", "impaired", "cleared")
				}
				is.True(late <= maxLateArrivals)
			}
		})
	}
}

// crashName returns the name of one of the requests that crash targets.
func crashName(i int) string { return fmt.Sprint("crash-", i) }

// sendForAWhile sends a number of crashing requests again and again, to all instances in
// turn, and reads beside them, also to the other service if there is one.
func (f *testFleet) sendForAWhile(method string, requests int, others bool) {
	const (
		duration  = 15 * time.Second
		minPause  = 90 * time.Millisecond
		maxPause  = 250 * time.Millisecond
		readPause = 10 * time.Millisecond
	)
	group := sync.WaitGroup{}
	defer group.Wait()
	until := time.Now().Add(duration)
	for i := range requests {
		pause := minPause + (maxPause-minPause)*time.Duration(i)/time.Duration(requests)
		group.Go(func() {
			for n := i; time.Now().Before(until); n++ {
				f.sendNamed(f.instances[n%len(f.instances)], method, crashName(i))
				time.Sleep(pause)
			}
		})
	}
	group.Go(func() {
		for n := 0; time.Now().Before(until); n++ {
			g := f.instances[n%len(f.instances)]
			f.call(g, "/one/read", "key-1")
			if others {
				f.call(g, "/mill/read", "key-1")
			}
			time.Sleep(readPause)
		}
	})
}

// Guards against an innocent read that all callers send and that is refused to the whole
// fleet because instances lose their links while it runs there.
func TestReadInProgressWhileLinksAreLostIsNotRefused(t *testing.T) {
	for _, shape := range linkShapes {
		t.Run(shape.name, func(t *testing.T) {
			t.Parallel()
			const (
				cuts    = 5
				cutTime = 600 * time.Millisecond
			)
			is := is.New(t)
			f := newTestFleet(t, 2, 0)
			f.startTargets("mill", 4)
			f.startCrashTargets(6, time.Second, false)
			for _, zone := range crashTestZones[len(f.instances):] {
				f.startInstance(zone)
			}
			f.awaitMembers()
			ended := make(chan struct{})
			group := sync.WaitGroup{}
			for _, g := range f.instances {
				for range 3 {
					group.Go(func() {
						for {
							select {
							case <-ended:
								return
							default:
								f.call(g, "/one/read", "key-1")
							}
						}
					})
				}
			}
			for i := range cuts {
				cut := []*testLinks{f.links[i%len(f.links)], f.links[(i+3)%len(f.links)]}
				for _, l := range cut {
					l.set(shape.state)
				}
				time.Sleep(cutTime)
				for _, l := range cut {
					l.set(linksUp)
				}
				time.Sleep(cutTime)
			}
			close(ended)
			group.Wait()
			if strings.Contains(f.log.String(), "request quarantined") {
				f.logLines("strike", "quarantine", "excused", "links", "impaired", "cleared")
			}
			is.True(!strings.Contains(f.log.String(), "request quarantined"))
			for _, g := range f.instances {
				is.Equal(f.call(g, "/one/read", "key-1"), http.StatusOK)
			}
		})
	}
}

// Guards against a request that has crashed two targets and begins anew when all instances are
// replaced one after the other: it then ends two more than are allowed.
func TestStrikesOutliveReplacementOfAllInstances(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, 0)
	targets := f.startCrashTargets(8, 10*time.Second, false)
	f.startInstance("b")
	f.awaitMembers()
	f.await(func() bool { return f.ready(f.instances[2]) })
	for range crashLimit - 1 {
		f.sendNamed(f.instances[0], http.MethodPost, "crash")
	}
	all, _ := targets.late("crash")
	is.Equal(all, crashLimit-1)
	time.Sleep(strikeSettleTime)
	for i, zone := range []string{"a", "a", "b"} {
		f.replaceInstance(i, zone)
		f.awaitMembers()
		time.Sleep(strikeSettleTime)
	}
	for range 4 {
		for _, g := range f.instances {
			f.sendNamed(g, http.MethodPost, "crash")
			time.Sleep(strikeSettleTime / 10)
		}
	}
	all, _ = targets.late("crash")
	if all != crashLimit {
		f.logLines("strike", "quarantine")
	}
	is.Equal(all, crashLimit)
}
