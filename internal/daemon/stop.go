package daemon

import (
	"context"
	"time"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/fleet"
)

// handoverTimeout bounds the wait for peers that take the rights over. What
// nobody takes is claimed by others once its lease has lapsed.
const handoverTimeout = 5 * time.Second

// Stop ends the instance gracefully. It turns unready and goes on serving for
// the balancer's lag; requests in progress finish; rights are handed over; and
// all that within the context. It returns an error if something was cut short.
func (d *Daemon) Stop(ctx context.Context) error {
	d.publish(func(s *entry.Snapshot) { s.Leaving = true })
	d.awaitBalancer(ctx)
	err := d.servers[0].Shutdown(ctx)
	d.loop.Post(fleet.Leave{})
	d.awaitHandover(ctx)
	d.loop.Post(fleet.Stop{})
	// An answered question shows that the last messages were queued.
	d.loop.Inspect(func(time.Duration, *fleet.State) {})
	d.Close()
	return wrap("stop", err)
}

// Close ends the instance at once.
func (d *Daemon) Close() {
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.cancel()
	d.peers.Close()
	_ = d.tasks.Wait()
	d.store.Close()
	d.list.Close()
}

// awaitBalancer gives the balancer its lag to notice the leave.
func (d *Daemon) awaitBalancer(ctx context.Context) {
	timer := time.NewTimer(d.settings.BalancerLag)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitHandover waits until all rights are handed over.
func (d *Daemon) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	select {
	case <-d.handedOver:
	case <-ctx.Done():
		d.logger.Warn("stopped before all rights were handed over")
	}
}
