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

// publisher makes what traffic reads out of what control knows. It has a
// goroutine of its own, because the tables of hundreds of services take longer
// to make than control may stand still.
type publisher struct {
	daemon *Daemon
	// dirty holds a value while the tables must be made anew.
	dirty chan struct{}

	mu      sync.Mutex
	index   *document.Index
	members []instance.Info
	// targets is how traffic is to use the targets, by service.
	targets map[string][]target.WeightedTarget
}

func newPublisher(d *Daemon) *publisher {
	return &publisher{
		daemon: d,
		dirty:  make(chan struct{}, 1),

		targets: map[string][]target.WeightedTarget{},
	}
}

// setMembers takes in who is alive.
func (p *publisher) setMembers(members []instance.Info) {
	p.mu.Lock()
	p.members = members
	p.mu.Unlock()
	p.markDirty()
}

// setTargets takes in how traffic is to use a service's targets.
func (p *publisher) setTargets(service string, targets []target.WeightedTarget) {
	p.mu.Lock()
	p.targets[service] = targets
	p.mu.Unlock()
	p.markDirty()
}

// setIndex puts a document in force for traffic at once. Tables follow.
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

func (p *publisher) markDirty() {
	select {
	case p.dirty <- struct{}{}:
	default:
	}
}

// run makes tables until the context ends.
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

// publishServices makes the publishServices of all services.
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

// dispatchService makes the table of one dispatchService. Targets that control has not judged
// yet get no work.
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

// keyLocations are all distinct places where routes take keys.
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

// publish changes the snapshot that traffic reads.
func (d *Daemon) publish(change func(*entry.Snapshot)) {
	d.snapshotMu.Lock()
	defer d.snapshotMu.Unlock()
	next := *d.snapshot.Load()
	change(&next)
	d.snapshot.Store(&next)
}

// toBootTime turns a time of the daemon's clock into a time of the boot clock.
func (d *Daemon) toBootTime(t time.Duration) time.Duration { return d.startBootTime + t }
