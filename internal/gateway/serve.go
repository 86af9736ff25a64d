package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
)

const (
	// balancerLag is how long after it isn't ready an instance may get new
	// connections: the balancer asks once a second and wants two misses.
	balancerLag = 2300 * time.Millisecond
	// exitReserve is left of Settings.StopTimeout for the exit itself.
	exitReserve = 300 * time.Millisecond
)

// serveReady tells the balancer whether the instance takes new connections.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.Current().Ready() && !g.leaving.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveMetrics writes all counters as text, one a line.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	if confirmedAt, ok := g.confirmedAt(); ok {
		_, _ = fmt.Fprintf(w, "Configuration.AgeMs %d\n", (boot.Now() - confirmedAt).Milliseconds())
	}
	members, targets := 0, 0
	g.state.withLock(func() { members, targets = g.state.roster.Len(), g.state.targets.Len() })
	_, _ = fmt.Fprintf(w, "Fleet.Members %d\nFleet.Targets %d\n", members, targets)
	g.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Count())
		case metrics.Gauge:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Value())
		}
	})
}

func (g *Gateway) confirmedAt() (at time.Duration, ok bool) {
	g.state.withLock(func() { at, ok = g.state.mirror.ConfirmedAt() })
	return at, ok
}

// Stop ends the instance gracefully: it turns unready, deregisters, serves on while new
// connections may still come, and lets requests in progress finish.
func (g *Gateway) Stop(ctx context.Context) error {
	g.leaving.Store(true)
	g.publish(func(s *entry.Snapshot) { s.Leaving = true })
	// The others stop asking this instance, and the call is over long before the
	// time for the stop is.
	g.deregister()
	ctx, cancel := context.WithTimeout(ctx, g.settings.StopTimeout-exitReserve)
	defer cancel()
	sleep(ctx, balancerLag)
	err := g.entry.Shutdown(ctx)
	g.logger.Info("stopped",
		slog.Bool("Cut", err != nil))
	g.Close()
	if err != nil {
		return errors.Wrap(err, "stop")
	}
	return nil
}

// Close ends the instance at once.
func (g *Gateway) Close() {
	g.cancel()
	for _, s := range g.servers {
		_ = s.Close()
	}
	_ = g.datagrams.Close()
	_ = g.tasks.Wait()
	g.peers.CloseIdleConnections()
}
