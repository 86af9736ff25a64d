package daemon

import (
	"encoding/json"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"dandelionmux/internal/operator"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/target"
)

// serveStatus serves Status as JSON.
func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(d.Status())
}

// Status returns what this instance knows of itself and the fleet.
func (d *Daemon) Status() operator.Status {
	snapshot := d.snapshot.Load()
	s := operator.Status{
		Address:       string(d.self.Address),
		Incarnation:   d.self.Incarnation,
		Zone:          d.self.Zone,
		Region:        d.self.Region,
		Version:       Version(),
		UptimeSeconds: d.clock().Seconds(),
		Trusted:       snapshot.Ready(),
		Ready:         snapshot.Ready() && !snapshot.Leaving,
		Leaving:       snapshot.Leaving,
		Ejections:     d.publisher.ejections(),
		Quarantines:   d.quarantines(),
	}
	d.loop.Inspect(func(now time.Duration, state *fleet.State) {
		s.Revision = state.Revision()
		s.StoreReachable = state.StoreReachable(now)
		s.Shards = state.ShardCount()
		for _, m := range state.Members() {
			s.Members = append(s.Members, operator.Member{
				Address:     string(m.Address),
				Incarnation: m.Incarnation,
				Zone:        m.Zone,
				Region:      m.Region,
				Leaving:     m.Leaving,
			})
		}
		for _, r := range state.UsableRights(now) {
			s.Shares = append(s.Shares, operator.Share{
				Number:   int(r.Share),
				Sequence: r.Sequence,
				Usable:   true,
			})
		}
	})
	return s
}

// ejections lists the targets that get no requests, except those that are
// leaving.
func (p *publisher) ejections() []operator.Ejection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []operator.Ejection
	for service, targets := range p.targets {
		for _, t := range targets {
			if t.Weight > 0 || t.Reason == target.Leaving {
				continue
			}
			list = append(list, operator.Ejection{
				Service: service,
				Target:  t.Target.Name,
				Reason:  string(t.Reason),
			})
		}
	}
	slices.SortFunc(list, func(a, b operator.Ejection) int {
		return strings.Compare(a.Service+"/"+a.Target, b.Service+"/"+b.Target)
	})
	return list
}

// quarantines lists the quarantined requests.
func (d *Daemon) quarantines() []operator.Quarantine {
	var list []operator.Quarantine
	for f, remaining := range d.loop.Quarantined() {
		list = append(list, operator.Quarantine{
			Fingerprint: f.String(),
			// A request is quarantined at two strikes; see quarantineStrikes in
			// package quarantine.
			Strikes:     2,
			SecondsLeft: remaining.Seconds(),
		})
	}
	slices.SortFunc(list, func(a, b operator.Quarantine) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// commit is the commit that was built. The build line of deploy/system.toml sets it.
var commit string

// Version returns the commit that was built, or the module's version if the build doesn't name
// it.
func Version() string {
	if commit != "" {
		return commit
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
