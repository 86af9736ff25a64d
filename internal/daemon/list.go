package daemon

import (
	"context"
	"time"

	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/instance"
)

const (
	// maxListInterval is the interval at which the platform's instance list is
	// read if its lag is long.
	maxListInterval = 2 * time.Second
	// minReadsPerLag is how many times the list is read within its lag, at
	// least. Without a reading within the lag, the list proves no instance
	// dead.
	minReadsPerLag = 4
)

// pollList passes the instance list to the control loop until the context ends.
func (d *Daemon) pollList(ctx context.Context) {
	ticker := time.NewTicker(min(maxListInterval, d.settings.ListLag/minReadsPerLag))
	defer ticker.Stop()
	for {
		d.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readList reads the instance list once. A failed reading is only logged.
func (d *Daemon) readList(ctx context.Context) {
	entries, odd, err := d.list.Entries(ctx)
	for _, err := range odd {
		d.logger.Debug("invalid entry of the instance list ignored",
			"Error", err)
	}
	if err != nil {
		d.logger.Debug("failed to read the instance list",
			"Error", err)
		return
	}
	infos := make([]instance.Info, len(entries))
	for i, e := range entries {
		infos[i] = e.Info
	}
	d.loop.Post(fleet.ListRead{
		Instances: infos,
	})
}
