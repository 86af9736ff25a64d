package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 1500 * time.Millisecond

// run is one run of a request at a server.
type run struct {
	id     string
	tenant string
	server string
	method string
	path   string
	at     time.Time
	work   time.Duration
}

// server is a sound server of a service.
type server struct {
	lab     *lab
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	born    int64
	// padding is added to each answer.
	padding string

	mu      sync.Mutex
	busy    int
	runs    []run
	state   string
	stopped bool
}

// startServer starts a server and registers it.
func (l *lab) startServer(id, service, zone string, slots int, work time.Duration) *server {
	listener := mustListen("127.0.0.1:0")
	s := &server{
		lab:     l,
		id:      id,
		service: service,
		zone:    zone,
		address: listener.Addr().String(),
		slots:   slots,
		work:    work,
		born:    time.Now().UnixMilli(),
		state:   "ready",
	}
	web := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: time.Minute,
		IdleTimeout:       10 * time.Second,
	}
	go func() { _ = web.Serve(listener) }()
	go s.register()
	return s
}

// register writes the server's entry, again with each heartbeat.
func (s *server) register() {
	for seq := 1; ; seq++ {
		s.mu.Lock()
		stopped, state := s.stopped, s.state
		s.mu.Unlock()
		if stopped {
			return
		}
		content, err := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
			"state": state, "warmup_left_ms": 0, "seq": seq, "born": s.born,
		})
		if err == nil {
			s.lab.store.put("servers/"+s.id, content)
		}
		time.Sleep(heartbeat)
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Dandelionmux-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Dandelionmux-Request-Id")
	w.Header().Set("Dandelionmux-Request-Id", id)
	if expected := r.Header.Get("Dandelionmux-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	work, ok := s.begin(r, id)
	if !ok {
		w.Header().Set("Dandelionmux-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	body := fmt.Sprintf("answer to %s by %s\n%s", id, s.id, s.padding)
	w.Header().Set("Dandelionmux-Upstream-Signature", fmt.Sprintf("%s.%d", id, len(body)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// begin begins to run a request, unless all slots are taken, and returns how long it takes.
func (s *server) begin(r *http.Request, id string) (work time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.slots {
		return 0, false
	}
	s.busy++
	s.runs = append(s.runs, run{
		id:     id,
		tenant: r.Header.Get("Dandelionmux-Tenant"),
		server: s.id,
		method: r.Method,
		path:   r.URL.Path,
		at:     time.Now(),
		work:   s.work,
	})
	return s.work, true
}

// setWork changes how long requests take that begin from now on.
func (s *server) setWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = d
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

// allRuns returns the runs at several servers.
func allRuns(servers []*server) []run {
	var all []run
	for _, s := range servers {
		s.mu.Lock()
		all = append(all, s.runs...)
		s.mu.Unlock()
	}
	return all
}
