package daemon

import (
	"context"
	"maps"
	"sync"
	"time"

	"dandelionmux/internal/dispatch"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/placement"
	"dandelionmux/pkg/target"
)

// publisher builds what request handling reads from the control state's output.
// It has a goroutine of its own, because building the target tables of hundreds
// of services takes longer than the control loop may be blocked.
type publisher struct {
	daemon *Daemon
	// dirty holds a value while the tables are out of date.
	dirty chan struct{}

	mu      sync.Mutex
	index   *document.Index
	members []instance.Info
	// targets holds the weights of each service's targets, by service name.
	targets map[string][]target.WeightedTarget
}

func newPublisher(d *Daemon) *publisher {
	return &publisher{
		daemon: d,
		dirty:  make(chan struct{}, 1),

		targets: map[string][]target.WeightedTarget{},
	}
}

// setMembers sets the live instances of the fleet, this one included.
func (p *publisher) setMembers(members []instance.Info) {
	p.mu.Lock()
	p.members = members
	p.mu.Unlock()
	p.markDirty()
}

// setTargets sets the weights of a service's targets.
func (p *publisher) setTargets(service string, targets []target.WeightedTarget) {
	p.mu.Lock()
	p.targets[service] = targets
	p.mu.Unlock()
	p.markDirty()
}

// setIndex makes a document the one that requests are served by, at once. The
// target tables follow.
func (p *publisher) setIndex(index *document.Index) {
	p.mu.Lock()
	p.index = index
	p.mu.Unlock()
	p.daemon.publish(func(s *entry.Snapshot) {
		s.Index = index
		s.KeyLocations = keyLocations(index.Document().Routes)
	})
	p.markDirty()
}

// markDirty makes run rebuild the tables.
func (p *publisher) markDirty() {
	select {
	case p.dirty <- struct{}{}:
	default:
	}
}

// run rebuilds the tables when they are out of date, until the context ends.
func (p *publisher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.dirty:
			p.publishServices()
		}
	}
}

// publishServices builds the target tables of all services and publishes them.
func (p *publisher) publishServices() {
	p.mu.Lock()
	index, instances := p.index, max(len(p.members), 1)
	targets := maps.Clone(p.targets)
	p.mu.Unlock()
	if index == nil {
		return
	}
	doc := index.Document()
	services := make([]dispatch.Service, 0, len(doc.Services))
	for _, s := range doc.Services {
		services = append(services, p.dispatchService(s, targets[s.Name], doc.Policy, instances))
	}
	p.daemon.dispatch.Publish(services)
}

// dispatchService builds the target table of one service. A target without a
// weight from control gets no requests.
func (p *publisher) dispatchService(s document.Service, targets []target.WeightedTarget, policy document.Policy, instances int) dispatch.Service {
	return dispatch.Service{
		Name:       s.Name,
		Definition: s,
		Table: placement.NewTable(p.daemon.dispatch.Table(s.Name), placement.Settings{
			Service:   s.Name,
			Targets:   targets,
			Instance:  p.daemon.self.Address,
			Zone:      p.daemon.settings.Zone,
			Instances: instances,
		}),
		QueueLength:  policy.QueueLength,
		QueueWait:    policy.QueueWait,
		RetryPercent: policy.RetryPercent,
	}
}

// keyLocations returns all distinct places where routes take a caller's key.
func keyLocations(routes []document.Route) []document.KeyLocation {
	seen := map[document.KeyLocation]bool{}
	var list []document.KeyLocation
	for _, r := range routes {
		if !r.Open && !seen[r.Key] {
			seen[r.Key] = true
			list = append(list, r.Key)
		}
	}
	return list
}

// publish changes the snapshot that requests are served by.
func (d *Daemon) publish(change func(*entry.Snapshot)) {
	d.snapshotMu.Lock()
	defer d.snapshotMu.Unlock()
	next := *d.snapshot.Load()
	change(&next)
	d.snapshot.Store(&next)
}

// toBootTime converts a time on the daemon's clock to one on the boot clock.
func (d *Daemon) toBootTime(t time.Duration) time.Duration { return d.startBootTime + t }
