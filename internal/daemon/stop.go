package daemon

import (
	"context"
	"time"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/fleet"
)

// handoverTimeout bounds the wait for peers to take over this instance's
// rights. Others claim a right that nobody took over once its lease has
// expired.
const handoverTimeout = 5 * time.Second

// answerReserve is the time before the end of a stop at which the requests in progress are given
// up, so that their callers get an answer before the connections are cut.
const answerReserve = 250 * time.Millisecond

// Stop ends the instance gracefully: it reports that it isn't ready, continues
// to serve for the balancer's lag, finishes the requests in progress and hands
// over its rights. If the context ends first, the rest is cut short. It returns
// an error if requests were cut short.
func (d *Daemon) Stop(ctx context.Context) error {
	var stopBy time.Time
	if end, ok := ctx.Deadline(); ok {
		stopBy = end.Add(-answerReserve)
		giveUp := time.AfterFunc(time.Until(stopBy), d.handler.GiveUp)
		defer giveUp.Stop()
	}
	d.publish(func(s *entry.Snapshot) { s.Leaving, s.StopBy = true, stopBy })
	d.callers.Leave()
	d.awaitBalancer(ctx)
	err := d.callers.Shutdown(ctx)
	d.loop.Post(fleet.Leave{})
	d.awaitHandover(ctx)
	d.loop.Post(fleet.Stop{})
	// Messages are queued in order, so when Inspect returns, Stop has been
	// handled and the last messages to peers are queued.
	d.loop.Inspect(func(time.Duration, *fleet.State) {})
	d.Close()
	return wrap("stop", err)
}

// Close ends the instance at once and waits for its goroutines.
func (d *Daemon) Close() {
	_ = d.callers.Close()
	_ = d.admin.Close()
	d.cancel()
	d.peers.Close()
	_ = d.tasks.Wait()
	d.store.Close()
	d.list.Close()
}

// awaitBalancer waits for the time in which the load balancer notices that this
// instance is leaving.
func (d *Daemon) awaitBalancer(ctx context.Context) {
	timer := time.NewTimer(d.settings.BalancerLag)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitHandover waits until all rights are handed over, for handoverTimeout at
// most.
func (d *Daemon) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	select {
	case <-d.handedOver:
	case <-ctx.Done():
		d.logger.Warn("stopped before all rights were handed over")
	}
}
