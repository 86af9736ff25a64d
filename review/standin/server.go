package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server stands in for one server of a service.
type server struct {
	lab     *lab
	id      string
	service string
	zone    string
	address string
	born    int64
	work    time.Duration
	http    *http.Server
}

// serverSlots is how many requests a server says that it runs at a time.
const serverSlots = 6

// ran is a run of a request at a server.
type ran struct {
	at     time.Duration
	id     string
	server *server
	method string
	uri    string
	tenant string
}

// runs collects what the servers have run.
type runs struct {
	mu   sync.Mutex
	list []ran
}

var allRuns runs

func (r *runs) add(one ran) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
}

// all returns what has run so far.
func (r *runs) all() []ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ran(nil), r.list...)
}

// startServers starts as many servers of a service, spread over the zones.
func (l *lab) startServers(service string, number int, work time.Duration) error {
	for i := range number {
		if err := l.startServer(service, zoneNames[i%len(zoneNames)], work); err != nil {
			return err
		}
	}
	return nil
}

// startServer starts a server and registers it.
func (l *lab) startServer(service, zone string, work time.Duration) error {
	n := len(l.servers) + 1
	listener, err := net.Listen("tcp4", l.address(64, n, 8305))
	if err != nil {
		return err
	}
	s := &server{
		lab:     l,
		id:      fmt.Sprintf("i-%s-%d", service, n),
		service: service,
		zone:    zone,
		address: listener.Addr().String(),
		born:    time.Now().UnixMilli(),
		work:    work,
	}
	s.http = &http.Server{
		Handler:     s,
		IdleTimeout: 10 * time.Second,
	}
	l.servers = append(l.servers, s)
	go func() { _ = s.http.Serve(listener) }()
	s.register()
	return nil
}

// register writes the server's entry.
func (s *server) register() {
	entry, _ := json.Marshal(map[string]any{
		"service":        s.service,
		"address":        s.address,
		"zone":           s.zone,
		"version":        "v1",
		"slots":          serverSlots,
		"state":          "ready",
		"warmup_left_ms": 0,
		"seq":            1,
		"born":           s.born,
	})
	s.lab.store.put("servers/"+s.id, entry)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Dandelionmux-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Dandelionmux-Request-Id")
	w.Header().Set("Dandelionmux-Request-Id", id)
	if want := r.Header.Get("Dandelionmux-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.lab.logf("run %s at %s (%s): %s %s, tenant %q, %d bytes", id, s.id, s.service, r.Method, r.RequestURI, r.Header.Get("Dandelionmux-Tenant"), len(body))
	allRuns.add(ran{
		at:     time.Since(s.lab.began),
		id:     id,
		server: s,
		method: r.Method,
		uri:    r.RequestURI,
		tenant: r.Header.Get("Dandelionmux-Tenant"),
	})
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.lab.logf("run %s at %s: its connection has ended", id, s.id)
		return
	}
	answer := []byte(s.id + " " + id + "\n")
	digest := sha256.Sum256(answer)
	w.Header().Set("Dandelionmux-Upstream-Signature", hex.EncodeToString(digest[:8]))
	_, _ = w.Write(answer)
}
