package gateway

import (
	"log/slog"
	"time"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/link"
	"dandelionmux/pkg/target"
)

// inFlight holds the attempts in flight at each target of a service. It is guarded by
// localState.mu.
type inFlight map[string]map[*slot]struct{}

func (f inFlight) add(sl *slot) {
	if f[sl.target.Name] == nil {
		f[sl.target.Name] = map[*slot]struct{}{}
	}
	f[sl.target.Name][sl] = struct{}{}
}

func (f inFlight) remove(sl *slot) {
	delete(f[sl.target.Name], sl)
	if len(f[sl.target.Name]) == 0 {
		delete(f, sl.target.Name)
	}
}

// notify tells the attempts at a target that it seems to have stopped answering.
func (f inFlight) notify(name string) {
	for sl := range f[name] {
		if sl.onUnresponsive != nil {
			go sl.gateway.contain(sl.onUnresponsive)
			sl.onUnresponsive = nil
		}
	}
}

// notifyAll tells the attempts at all targets that these seem to have stopped answering.
func (f inFlight) notifyAll() {
	for name := range f {
		f.notify(name)
	}
}

// OnUnresponsive implements entry.Slot.
func (sl *slot) OnUnresponsive(f func()) {
	sl.gateway.state.withLock(func() { sl.onUnresponsive = f })
}

var _ entry.Slot = (*slot)(nil)

// unresponsiveReportPeriod is the least time between two reports to all instances that a
// target seems to have stopped answering.
const unresponsiveReportPeriod = time.Second

// findUnresponsive, which is called every tick, ejects the targets that seem to have
// stopped answering.
func (g *Gateway) findUnresponsive(now time.Duration) {
	var found []targetName
	st := g.state
	st.withLock(func() {
		for name, s := range st.services {
			reachable := st.links.State(name) == link.Reachable
			for _, targetID := range s.table.Step(now, reachable) {
				s.inFlight.notify(targetID)
				found = append(found, targetName{
					service: name,
					target:  targetID,
				})
			}
		}
	})
	for _, t := range found {
		g.count("Target.Unresponsive")
		g.logger.Info("target unresponsive",
			slog.String("Service", t.service),
			slog.String("Target", t.target))
		g.reportUnresponsive(now, failureReport{
			Service:      t.service,
			Target:       t.target,
			Outcome:      target.TimedOut,
			Unresponsive: true,
		})
	}
}

// handleUnresponsive ejects a target that seems to have stopped answering by what another
// instance has seen, and tells all instances if that is for this one to do.
func (g *Gateway) handleUnresponsive(now time.Duration, m failureReport) {
	g.state.withLock(func() {
		if s := g.state.services[m.Service]; s != nil {
			s.table.ReceiveUnresponsive(now, m.Target)
			s.inFlight.notify(m.Target)
		}
	})
	if reporter, due := g.unresponsiveReporter(now, m); due && reporter == g.self.Address && !m.Forward {
		g.sendToFleet(m)
	}
}

// reportUnresponsive has all instances told that a target seems to have stopped answering.
// All instances of a zone find that out at about the same time. One of them tells the
// fleet, the others tell that one.
func (g *Gateway) reportUnresponsive(now time.Duration, m failureReport) {
	switch reporter, due := g.unresponsiveReporter(now, m); {
	case !due:
	case reporter == g.self.Address:
		g.sendToFleet(m)
	default:
		g.send(reporter, m)
	}
}

// unresponsiveReporter returns the instance of the zone that tells the fleet of a target,
// and whether that is due again.
func (g *Gateway) unresponsiveReporter(now time.Duration, m failureReport) (reporter instance.Address, due bool) {
	g.state.withLock(func() {
		reporter = g.state.roster.ZoneKeeper("unresponsive", m.Target, g.state.unresponsive)
		if s := g.state.services[m.Service]; s != nil && now >= s.unresponsiveReportAt[m.Target] {
			s.unresponsiveReportAt[m.Target] = now + unresponsiveReportPeriod
			due = true
		}
	})
	return reporter, due
}
