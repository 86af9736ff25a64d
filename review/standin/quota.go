package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Bounds of the rule QUOTA.
const (
	quotaWindowS = 5
	quotaOverage = 0.1
	quotaSlack   = 20
)

// Traffic of the case quota.
const (
	quotaTenants = 24
	// hotTenants of them are hot at the same time.
	hotTenants     = 8
	quotaPerSecond = 30
	quotaBurst     = 30
	// hotFactor times its usual, quotaPerSecond / quotaX, is what a hot tenant sends.
	hotFactor = 8
	quotaX    = 1.6
	hotTime   = 6500 * time.Millisecond
	// rollSize instances get SIGTERM at a time, every rollGap.
	rollSize = 2
	rollGap  = 1600 * time.Millisecond
	// quotaPerZone is the number of instances in each zone.
	quotaPerZone = 12
	// settleTime is how long the installation is left alone after the last restart: longer
	// than stable_window_ms.
	settleTime = 4 * time.Second
)

// sentCall is a request of a tenant and when it was sent.
type sentCall struct {
	id     string
	tenant string
	at     time.Duration
}

// playQuota stops and starts all instances in turn, and then has one tenant after the other
// send many times its usual. All that counts is what the servers run.
func playQuota(l *lab, trouble bool) (bool, error) {
	tenants := make([]tenant, quotaTenants)
	for i := range tenants {
		tenants[i] = tenant{
			name:      fmt.Sprintf("tenant%d", i),
			keys:      []string{fmt.Sprintf("key-of-tenant-%d-%s", i, strings.Repeat("x", 20))},
			perSecond: quotaPerSecond,
			burst:     quotaBurst,
		}
	}
	if err := l.configure(5, deskRoutes(), []string{"desk"}, tenants); err != nil {
		return false, err
	}
	if err := l.startServers("desk", 12, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := l.startAll(quotaPerZone); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if trouble {
		if err := l.rollAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	l.noteMembers()
	var calls []sentCall
	for hot := range slices.Chunk(tenants, hotTenants) {
		var mu sync.Mutex
		var group sync.WaitGroup
		for _, t := range hot {
			group.Go(func() {
				sent := l.sendHot(t)
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, sent...)
			})
		}
		group.Wait()
	}
	time.Sleep(time.Second)
	return l.judgeQuota(calls, tenants), nil
}

// deskRoutes is a route for reads, and others that get no requests.
func deskRoutes() []route {
	list := []route{{
		name:      "r-desk",
		host:      "desk.example",
		prefix:    "/desk/",
		kind:      "safe",
		service:   "desk",
		timeoutMs: 6000,
	}}
	for i := range 40 {
		list = append(list, route{
			name:      fmt.Sprintf("r-idle-%d", i),
			host:      fmt.Sprintf("idle%d.example", i),
			prefix:    fmt.Sprintf("/idle%d/", i),
			kind:      "safe",
			service:   "desk",
			timeoutMs: 6000,
		})
	}
	return list
}

// rollAll stops and starts the instances in turn.
func (l *lab) rollAll() error {
	var group errgroup.Group
	order := rand.Perm(len(l.instances))
	for i, n := range order {
		p := l.instances[n]
		if i > 0 && i%rollSize == 0 {
			time.Sleep(rollGap)
		}
		group.Go(func() error {
			l.notef("SIGTERM to %s", p.name)
			p.end(syscall.SIGTERM)
			return p.start()
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return awaitReady(l.instances, 10*time.Second)
}

// noteMembers records how many members and targets each instance says it knows. That isn't
// judged.
func (l *lab) noteMembers() {
	for _, p := range l.instances {
		l.notef("%s says that it knows %d members and %d targets", p.name, p.counter("Fleet.Members"), p.counter("Fleet.Targets"))
	}
}

// counter returns one of the instance's own counters, or zero.
func (p *process) counter(name string) int {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", p.ip, metricsPort))
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if text, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.Atoi(text)
			return n
		}
	}
	return 0
}

// sendHot sends hotFactor times the usual of a tenant for hotTime, spread over all instances.
func (l *lab) sendHot(t tenant) []sentCall {
	client := newClient()
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var calls []sentCall
	var group sync.WaitGroup
	usual := float64(t.perSecond) / quotaX
	ticker := time.NewTicker(time.Duration(float64(time.Second) / (usual * hotFactor)))
	defer ticker.Stop()
	l.notef("%s sends %.0f requests a second", t.name, usual*hotFactor)
	end := time.Now().Add(hotTime)
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		p := l.instances[n%len(l.instances)]
		at := time.Since(l.began)
		group.Go(func() {
			r := l.send(client, p, call{
				method:   http.MethodGet,
				host:     "desk.example",
				path:     "/desk/1",
				key:      t.keys[0],
				deadline: 3 * time.Second,
			})
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, sentCall{
				id:     r.id,
				tenant: t.name,
				at:     at,
			})
		})
	}
	group.Wait()
	return calls
}

// judgeQuota reports whether no tenant got more than it may in any window.
func (l *lab) judgeQuota(calls []sentCall, tenants []tenant) bool {
	ranAt := map[string]time.Duration{}
	for _, r := range allRuns.all() {
		if _, again := ranAt[r.id]; !again {
			ranAt[r.id] = r.at
		}
	}
	held := true
	for _, t := range tenants {
		allowed := (float64(t.perSecond*quotaWindowS)+float64(t.burst))*(1+quotaOverage) + quotaSlack
		var own []sentCall
		for _, c := range calls {
			if _, ran := ranAt[c.id]; ran && c.tenant == t.name {
				own = append(own, c)
			}
		}
		sort.Slice(own, func(i, j int) bool { return own[i].at < own[j].at })
		most := 0
		for i, first := range own {
			n := 0
			for _, c := range own[i:] {
				if ranAt[c.id] <= first.at+quotaWindowS*time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		l.notef("%s: at most %d requests were sent and run in %d s; allowed %.0f", t.name, most, quotaWindowS, allowed)
		held = held && float64(most) <= allowed
	}
	return held
}
