package daemon

import (
	"io"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"dandelionmux/internal/operator"
)

// adminHandler returns the handler for liveness, readiness, metrics and status.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "live\n")
	})
	mux.HandleFunc("GET /ready", d.serveReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(d.registry, w)
	})
	mux.HandleFunc("GET "+operator.StatusPath, d.serveStatus)
	return mux
}

// serveReady tells the load balancer whether to send new connections.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	s := d.snapshot.Load()
	switch {
	case s.Leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case s.Index == nil:
		http.Error(w, "not ready: no document yet", http.StatusServiceUnavailable)
	case !s.Ready():
		http.Error(w, "not ready: the document may be out of date", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}
