package daemon

import (
	"context"
	"time"

	"dandelionmux/internal/dispatch"
	"dandelionmux/pkg/fleet"
)

// reportInterval is how often the reports on targets are collected.
const reportInterval = 100 * time.Millisecond

// pollReports passes the dispatcher's reports on targets to the control loop
// until the context ends.
func (d *Daemon) pollReports(ctx context.Context) {
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

// handleConnectionEvent implements dispatch.Observer.
func (d *Daemon) handleConnectionEvent(event dispatch.ConnectionEvent) {
	if event.Leaving {
		d.loop.TryPost(fleet.TargetDraining{
			Service: event.Service,
			Target:  event.Target,
		})
		return
	}
	d.loop.TryPost(fleet.TargetReachability{
		Service:   event.Service,
		Target:    event.Target,
		Reachable: !event.Refused,
	})
}
