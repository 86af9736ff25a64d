package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/source"
)

const (
	// freezePerZone is the number of instances in each zone, and frozenInstances how many of
	// one zone freeze: fewer than one in ten of all.
	freezePerZone   = 7
	frozenInstances = 2
	// freezeTime is how long they stand still.
	freezeTime = 3500 * time.Millisecond
	// changeDelay is how long after the beginning of the freeze the configuration changes.
	changeDelay = 20 * time.Millisecond
	// freezeRounds is how often they do. The pause between is longer than twice
	// stable_window_ms, and up to freezeSpread longer.
	freezeRounds = 7
	freezePause  = 7 * time.Second
	freezeSpread = 700 * time.Millisecond
	// freezePeriod is the time between two requests to the same instance.
	freezePeriod = 25 * time.Millisecond
)

// playFreeze freezes the two instances of a zone that would read the store for it, the first in
// order, and moves a route to another service at that moment. Without the trouble nothing
// freezes.
func playFreeze(l *lab, trouble bool) (bool, error) {
	press := tenant{
		name: "press",
		keys: []string{"key-of-press-xxxxxxxxxxxx"},
	}
	services := []string{"desk", "hall"}
	routes := deskRoutes()
	if err := l.configure(5, routes, services, []tenant{press}); err != nil {
		return false, err
	}
	for _, service := range services {
		if err := l.startServers(service, 6, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := l.startAll(freezePerZone); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	frozen := l.readingOrder(0)[:frozenInstances]
	var calm []*process
	for _, p := range l.instances {
		if p != frozen[0] && p != frozen[1] {
			calm = append(calm, p)
		}
	}
	stop := make(chan struct{})
	sent := l.askAllTheWhile(calm, press.keys[0], stop)
	var moves []move
	for n := range freezeRounds {
		time.Sleep(freezePause + rand.N(freezeSpread))
		if trouble {
			for _, p := range frozen {
				l.notef("%s freezes", p.name)
				p.signal(syscall.SIGSTOP)
			}
		}
		time.Sleep(changeDelay)
		old := routes[0].service
		routes[0].service = services[(n+1)%len(services)]
		if err := l.configure(8+n, routes, services, []tenant{press}); err != nil {
			return false, err
		}
		moves = append(moves, move{
			from: old,
			at:   time.Since(l.began),
		})
		time.Sleep(freezeTime - changeDelay)
		for _, p := range frozen {
			p.signal(syscall.SIGCONT)
		}
	}
	time.Sleep(time.Second)
	close(stop)
	return l.judgeFreeze(<-sent, moves), nil
}

// move is a confirmed configuration that moves the route away from a service.
type move struct {
	from string
	at   time.Duration
}

// readingOrder returns the instances of a zone in the order in which they read the store for it.
func (l *lab) readingOrder(zone int) []*process {
	var members []source.Member
	processes := map[instance.Address]*process{}
	for i, p := range l.instances {
		if i%len(zoneNames) != zone {
			continue
		}
		address := instance.Address(fmt.Sprintf("%s:%d", p.ip, firstPeerPort))
		processes[address] = p
		members = append(members, source.Member{
			Info: instance.Info{
				ID: instance.ID{
					Address: address,
				},
				Zone: zoneNames[zone],
			},
		})
	}
	var list []*process
	for _, m := range source.Order(zoneNames[zone], members) {
		list = append(list, processes[m.Address])
	}
	return list
}

// askAllTheWhile sends requests to each of the instances until stop. The channel gives when each
// was sent.
func (l *lab) askAllTheWhile(list []*process, key string, stop chan struct{}) chan map[string]time.Duration {
	out := make(chan map[string]time.Duration, 1)
	sent := map[string]time.Duration{}
	var mu sync.Mutex
	var group sync.WaitGroup
	client := newClient()
	for _, p := range list {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(freezePeriod):
				}
				at := time.Since(l.began)
				r := l.send(client, p, call{
					method:   http.MethodGet,
					host:     "desk.example",
					path:     "/desk/1",
					key:      key,
					deadline: 3 * time.Second,
				})
				mu.Lock()
				sent[r.id] = at
				mu.Unlock()
			}
		})
	}
	go func() {
		group.Wait()
		client.CloseIdleConnections()
		out <- sent
	}()
	return out
}

// judgeFreeze reports whether no request ran at an old service that was sent too late.
func (l *lab) judgeFreeze(sent map[string]time.Duration, moves []move) bool {
	held := true
	all := allRuns.all()
	for i, m := range moves {
		until := m.at + time.Hour
		if i+1 < len(moves) {
			until = moves[i+1].at
		}
		late := 0
		last := time.Duration(0)
		for _, r := range all {
			at, ok := sent[r.id]
			if !ok || r.server.service != m.from || at < m.at || r.at >= until {
				continue
			}
			last = max(last, at-m.at)
			if at > m.at+configApply {
				late++
			}
		}
		l.notef("change %d: the last request that ran at the old service was sent %.3f s after the confirmation; %d were sent over %s after it", i+1, last.Seconds(), late, configApply)
		held = held && late == 0
	}
	return held
}
