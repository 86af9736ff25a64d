package gateway

import (
	"log/slog"
	"time"

	"dandelionmux/internal/entry"
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
			go sl.onUnresponsive()
			sl.onUnresponsive = nil
		}
	}
}

// OnUnresponsive implements entry.Slot.
func (sl *slot) OnUnresponsive(f func()) {
	sl.gateway.state.withLock(func() { sl.onUnresponsive = f })
}

var _ entry.Slot = (*slot)(nil)

// unresponsiveTarget is a target that seems to have stopped answering.
type unresponsiveTarget struct {
	targetName
	// reporter is set if this instance is the one of its zone that tells the others.
	reporter bool
}

// findUnresponsive, which is called every tick, ejects the targets that seem to have
// stopped answering.
func (g *Gateway) findUnresponsive(now time.Duration) {
	var found []unresponsiveTarget
	st := g.state
	st.withLock(func() {
		for name, s := range st.services {
			reachable := st.links.State(name) == link.Reachable
			for _, targetID := range s.table.Step(now, reachable) {
				s.inFlight.notify(targetID)
				found = append(found, unresponsiveTarget{
					targetName: targetName{
						service: name,
						target:  targetID,
					},
					reporter: st.roster.ZoneKeeper("unresponsive", targetID, st.unresponsive) == g.self.Address,
				})
			}
		}
	})
	for _, u := range found {
		g.count("Target.Unresponsive")
		g.logger.Info("target unresponsive",
			slog.String("Service", u.service),
			slog.String("Target", u.target))
		if u.reporter {
			g.sendToFleet(failureReport{
				Service:      u.service,
				Target:       u.target,
				Outcome:      target.TimedOut,
				Unresponsive: true,
			})
		}
	}
}
