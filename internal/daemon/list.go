package daemon

import (
	"context"
	"time"

	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/instance"
)

const (
	// maxListInterval is how often the platform's instance list is read, if its
	// lag is long.
	maxListInterval = 2 * time.Second
	// minReadsPerLag is how often it is read within its lag at least. Without a
	// reading within the lag, the list proves nobody dead.
	minReadsPerLag = 4
)

// pollList gives the core the instance list until the context ends.
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

func (d *Daemon) readList(ctx context.Context) {
	entries, err := d.list.Entries(ctx)
	if err != nil {
		d.logger.Debug("instance list not read",
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
