package main

import (
	"net/http"
	"time"
)

// configApply is config_apply_ms.
const configApply = 2000 * time.Millisecond

// playPrefix adds a public route for another service below an existing route, and sends
// requests whose path the new route's prefix doesn't begin.
func playPrefix(l *lab, trouble bool) (bool, error) {
	users := []tenant{{
		name: "press",
		keys: []string{"key-of-press-xxxxxxxxxxxx"},
	}}
	desk := route{
		name:      "r-desk",
		host:      "desk.example",
		prefix:    "/desk/",
		kind:      "unsafe",
		service:   "desk",
		timeoutMs: 6000,
	}
	lobby := route{
		name:      "r-lobby",
		host:      "desk.example",
		prefix:    "/desk/lobby/",
		kind:      "safe",
		service:   "lobby",
		timeoutMs: 6000,
		public:    true,
	}
	services := []string{"desk", "lobby"}
	if err := l.configure(5, []route{desk}, services, users); err != nil {
		return false, err
	}
	for _, service := range services {
		if err := l.startServers(service, 3, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := l.startAll(1); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if trouble {
		if err := l.configure(8, []route{desk, lobby}, services, users); err != nil {
			return false, err
		}
	}
	time.Sleep(configApply + time.Second)
	client := newClient()
	defer client.CloseIdleConnections()
	sent := map[string]bool{}
	for n := range 30 {
		c := call{
			method:   http.MethodPost,
			host:     "desk.example",
			path:     "/desk/lobby",
			deadline: 6 * time.Second,
		}
		if n%2 == 0 {
			c.key = users[0].keys[0]
		}
		sent[l.send(client, l.instances[n%len(l.instances)], c).id] = true
	}
	atLobby, withoutTenant := 0, 0
	for _, r := range allRuns.all() {
		if sent[r.id] && r.server.service == "lobby" {
			atLobby++
		}
		if sent[r.id] && r.tenant == "" {
			withoutTenant++
		}
	}
	l.notef("of %d requests to /desk/lobby, which only /desk/ begins, %d ran at service lobby, and %d without a tenant", len(sent), atLobby, withoutTenant)
	return atLobby+withoutTenant == 0, nil
}
