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
	// balancerLag is how long the balancer may still send new connections to an
	// instance that is not ready: it checks once a second and needs two failed checks.
	balancerLag = 2300 * time.Millisecond
	// exitReserve is the part of Settings.StopTimeout that is left for the exit of the
	// process.
	exitReserve = 300 * time.Millisecond
	// answerReserve is the time before that in which the requests that are given up are answered,
	// and answers leave that were held back by earlier requests of their connections.
	answerReserve = 250 * time.Millisecond
	// relayedPollPeriod is the time between two looks at the requests of other instances
	// during a stop.
	relayedPollPeriod = 10 * time.Millisecond
)

// serveReady tells the balancer whether the instance takes new connections.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.Current().Ready() && !g.leaving.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveOperators serves the metrics listener.
func (g *Gateway) serveOperators(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == explainPath {
		g.serveExplanation(w, r)
		return
	}
	g.serveMetrics(w, r)
}

// serveMetrics writes all counters and gauges as text, one a line.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	if confirmedAt, ok := g.confirmedAt(); ok {
		_, _ = fmt.Fprintf(w, "Configuration.AgeMs %d\n", (boot.Now() - confirmedAt).Milliseconds())
	}
	members, targets := 0, 0
	g.state.withLock(func() { members, targets = g.state.roster.Len(), g.state.targets.Len() })
	_, _ = fmt.Fprintf(w, "Fleet.Members %d\nFleet.Targets %d\n", members, targets)
	for build, number := range g.state.buildCounts() {
		_, _ = fmt.Fprintf(w, "Fleet.Build.%s %d\n", build, number)
	}
	for _, s := range g.state.targetCounts(boot.Now()) {
		_, _ = fmt.Fprintf(w, "Targets.%[1]s.Healthy %[2]d\nTargets.%[1]s.OnProbation %[3]d\n"+
			"Targets.%[1]s.Unavailable %[4]d\nTargets.%[1]s.Held %[5]d\nTargets.%[1]s.Resting %[6]d\nTargets.%[1]s.Leaving %[7]d\n"+
			"Targets.%[1]s.Evacuated %[8]d\n",
			s.service, s.Healthy, s.OnProbation, s.Unavailable, s.Held, s.Resting, s.Leaving, s.Evacuated)
	}
	g.writeZoneMetrics(w, boot.Now())
	for _, s := range g.state.slotCounts(boot.Now()) {
		_, _ = fmt.Fprintf(w, "Allocation.%[1]s.Slots %[2]d\nAllocation.%[1]s.InUse %[3]d\nAllocation.%[1]s.Waiting %[4]d\n",
			s.service, s.Slots, s.InUse, s.waiting)
	}
	g.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Count())
		case metrics.Gauge:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Value())
		}
	})
}

// confirmedAt returns the time of the mirror's last confirming read, and false if there
// was none yet.
func (g *Gateway) confirmedAt() (at time.Duration, ok bool) {
	g.state.withLock(func() { at, ok = g.state.mirror.ConfirmedAt() })
	return at, ok
}

// Stop ends the instance gracefully: it reports that it is not ready, deregisters,
// serves new connections as long as the balancer may send some, and waits for requests
// in progress. Requests that aren't likely to be answered in time are refused at once, and those
// that aren't in the end are told so. It returns an error if requests were cut off because
// Settings.StopTimeout was over or ctx ended.
func (g *Gateway) Stop(ctx context.Context) error {
	g.leaving.Store(true)
	answerTime := g.settings.StopTimeout - exitReserve - answerReserve
	g.publish(func(s *entry.Snapshot) { s.Leaving, s.StopBy = true, time.Now().Add(answerTime) })
	g.callers.Leave()
	// keepMembership then revokes the lease, so that other instances stop sending
	// decision requests here. The revocation takes much less time than the stop.
	g.deregister()
	ctx, cancel := context.WithTimeout(ctx, g.settings.StopTimeout-exitReserve)
	defer cancel()
	giveUp := time.AfterFunc(answerTime, g.contained(func() {
		g.entry.GiveUp()
		g.callers.GiveUpBlocking()
	}))
	defer giveUp.Stop()
	sleep(ctx, balancerLag)
	err := g.shutdown(ctx)
	g.logger.Info("stopped",
		slog.Bool("Cut", err != nil))
	g.Close()
	if err != nil {
		return errors.Wrap(err, "stop")
	}
	return nil
}

// shutdown waits for the requests of callers and for those that other instances sent. The
// latter send no more, since the instance declines them.
func (g *Gateway) shutdown(ctx context.Context) error {
	if err := g.callers.Shutdown(ctx); err != nil {
		return err
	}
	for g.entry.RelayedRequests() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, relayedPollPeriod)
	}
	return nil
}

// Close ends the instance without waiting for requests: it cuts off those in progress,
// revokes the registration if the store answers within catchUpTimeout, and waits for the
// instance's goroutines.
func (g *Gateway) Close() {
	g.cancel()
	_ = g.callers.Close()
	for _, s := range g.servers {
		_ = s.Close()
	}
	_ = g.datagrams.Close()
	_ = g.tasks.Wait()
	g.peerClient.CloseIdleConnections()
}
