package daemon

import (
	"context"
	"time"

	"dandelionmux/internal/dispatch"
	"dandelionmux/pkg/fleet"
)

// reportInterval is how often traffic is asked what it saw of targets.
const reportInterval = 100 * time.Millisecond

// report gives the core what traffic saw, until the context ends.
func (d *Daemon) report(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, r := range d.dispatch.FlushReports() {
			d.loop.TryPost(fleet.Reported{
				Report: r,
			})
		}
	}
}

// observe gives the core what traffic learns of a target's connections.
func (d *Daemon) observe(c dispatch.ConnectionEvent) {
	if c.Leaving {
		d.loop.TryPost(fleet.TargetDraining{
			Service: c.Service,
			Target:  c.Target,
		})
		return
	}
	d.loop.TryPost(fleet.TargetReachability{
		Service:   c.Service,
		Target:    c.Target,
		Reachable: !c.Refused,
	})
}
