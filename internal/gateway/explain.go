package gateway

import (
	"bytes"
	"cmp"
	"log/slog"
	"math"
	"net/http"
	"strings"
	"time"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/link"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/spillover"
	"dandelionmux/pkg/zoneload"
)

// explainPath is where the metrics listener tells operators where a request would go.
const explainPath = "/explain"

// explanation tells where a request would go now, and why. It changes no state.
type explanation struct {
	gateway      *Gateway
	now          time.Duration
	method       string
	organisation string
	rank         int
	// refusal is the reason for which the request is refused whatever the targets' state is.
	refusal string
	// undecided is set if the outcome depends on the caller's organisation, which wasn't given.
	undecided bool
	lines     *slog.Logger
	// outcomes holds what would happen at each service, which is told last.
	outcomes [][]any
}

// serveExplanation answers with one line of key=value pairs for each fact.
func (g *Gateway) serveExplanation(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var text bytes.Buffer
	x := &explanation{
		gateway:      g,
		now:          boot.Now(),
		method:       cmp.Or(query.Get("Method"), http.MethodGet),
		organisation: query.Get("Organisation"),
		lines: slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{
			ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
				if a.Key == slog.TimeKey || a.Key == slog.LevelKey {
					return slog.Attr{}
				}
				return a
			},
		})),
	}
	path, _, _ := strings.Cut(query.Get("Path"), "?")
	x.explain(query.Get("Host"), path)
	for _, o := range x.outcomes {
		x.lines.Info("outcome", o...)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(text.Bytes())
}

// conclude adds an outcome, in place of which a general refusal is told.
func (x *explanation) conclude(service, outcome string, more ...any) {
	switch {
	case x.refusal != "":
		outcome, more = "refused", []any{"Reason", x.refusal}
	case x.undecided:
		outcome, more = "undecided", []any{"Reason", "the organisation is missing"}
	}
	x.outcomes = append(x.outcomes, append([]any{"Service", service, "Outcome", outcome}, more...))
}

func (x *explanation) explain(host, path string) {
	s := x.gateway.Current()
	if s.Index == nil {
		x.lines.Info("instance", "Revision", 0, "Ready", false)
		x.refusal = "not-ready"
		x.conclude("", "")
		return
	}
	ready := s.Ready()
	x.lines.Info("instance", "Revision", s.Index.Revision(), "Ready", ready && !s.Leaving, "Leaving", s.Leaving)
	if !ready {
		x.refusal = "not-ready"
	}
	route := x.route(s.Index.Select(host, path, x.method))
	if route == nil {
		x.conclude("", "")
		return
	}
	x.caller(s, route)
	services := route.Split
	if route.Service != "" {
		services = []document.WeightedService{{
			Service: route.Service,
			Weight:  1,
		}}
	}
	x.gateway.state.withLock(func() {
		for _, weighted := range services {
			x.service(route, weighted)
		}
	})
}

// route tells the selected route, or why there is none.
func (x *explanation) route(s document.Selection) *document.Route {
	switch {
	case s.Refused != nil:
		other := ""
		if s.Other != nil {
			other = s.Other.Name
		}
		x.lines.Info("route", "Reason", "ambiguous-path", "Refused", s.Refused.Name, "Other", other)
		x.refusal = cmp.Or(x.refusal, "ambiguous-path")
	case s.Route == nil:
		x.lines.Info("route", "Reason", "no-route")
		x.refusal = cmp.Or(x.refusal, "no-route")
	default:
		x.lines.Info("route", "Route", s.Route.Name, "Prefix", s.Route.PathPrefix, "Open", s.Route.Open)
	}
	return s.Route
}

// caller tells the organisation and the rank of its requests.
func (x *explanation) caller(s *entry.Snapshot, route *document.Route) {
	if route.Open {
		x.organisation = ""
	}
	if x.organisation == "" && !route.Open {
		x.lines.Info("organisation", "Reason", "the route needs one")
		x.undecided = true
		return
	}
	exists := s.Index.HasOrganisation(x.organisation)
	x.rank = s.Index.Priority(x.organisation, route)
	x.lines.Info("organisation", "Organisation", x.organisation, "Exists", exists, "Rank", x.rank)
	if !route.Open && !exists {
		x.refusal = cmp.Or(x.refusal, "no-key")
	}
}

// service tells the state of a service and adds the outcome there. The caller must hold mu.
func (x *explanation) service(route *document.Route, weighted document.WeightedService) {
	g, st := x.gateway, x.gateway.state
	s := st.services[weighted.Service]
	x.lines.Info("service", "Service", weighted.Service, "Weight", weighted.Weight, "Known", s != nil)
	if s == nil {
		x.conclude(weighted.Service, "refused", "Reason", "no-target")
		return
	}
	var allocator instance.Address
	if st.isAllocated(s) && st.links.State(s.name) == link.Reachable {
		allocator = st.allocatorIn(g.self.Zone, s.name)
	}
	room := s.table.Room(x.now)
	x.lines.Info("allocation", "Allocated", allocator != "", "Allocator", string(allocator),
		"Own", allocator == g.self.Address, "LinksImpaired", st.links.IsImpaired(s.name))
	x.lines.Info("room", "Zone", g.self.Zone, "Targets", room.Targets, "Slots", room.Slots, "InUse", room.InUse, "Free", room.Free)
	var states []zoneload.State
	if allocator == g.self.Address {
		states = st.zoneStates(x.now, s.name)
	}
	for _, state := range states {
		age := any(state.Age)
		if state.Age == math.MaxInt64 {
			age = "never"
		}
		x.lines.Info("zone", "Zone", state.Zone, "Targets", state.Targets, "Slots", state.Slots, "InUse", state.InUse,
			"Waiting", state.Waiting, "Free", state.Free, "Age", age)
	}
	x.lines.Info("evacuated", "Zones", st.evacuated.List(x.now))
	wanted := outlier.Request{
		Repeatable: route.MayRepeat(x.method),
	}
	choice := s.table.Explain(x.now, wanted)
	if allocator == "" {
		x.choose(s, choice)
		return
	}
	wanted.OwnZone = true
	wanted.Unfit = s.table.Unfit(x.now, maxUnfitTargets)
	x.allocate(s, route, allocator, states, choice, s.table.Explain(x.now, wanted))
}

// choose tells what this instance chooses for itself.
func (x *explanation) choose(s *service, list []outlier.Candidate) {
	var free, remote, full []string
	for _, c := range list {
		switch {
		case !c.Usable:
		case c.Zone != x.gateway.self.Zone:
			remote = append(remote, c.Name)
		case c.HasRoom():
			free = append(free, c.Name)
		default:
			full = append(full, c.Name)
		}
	}
	x.targets(list, len(free) == 0)
	switch {
	case len(free) > 0:
		x.conclude(s.name, "granted", "Targets", free)
	case len(remote) > 0:
		x.conclude(s.name, "leaves", "Targets", remote)
	case len(full) > 0:
		x.conclude(s.name, "granted", "Targets", full, "Full", true)
	default:
		x.conclude(s.name, "refused", "Reason", s.noTargetReason(s.table.Wait(x.now)))
	}
}

// allocate tells what the zone's allocator answers, as far as this instance knows. choice is what the
// instance chooses from if the allocator declines. The caller must hold mu.
func (x *explanation) allocate(s *service, route *document.Route, allocator instance.Address, states []zoneload.State, choice, list []outlier.Candidate) {
	g, st := x.gateway, x.gateway.state
	own := allocator == g.self.Address
	if own && (x.now < st.startedAt+st.loadReportPeriod() || g.leaving.Load()) {
		x.choose(s, choice)
		return
	}
	var free []string
	waiting, ahead := 0, 0
	for _, c := range list {
		if c.Usable && c.HasRoom() {
			free = append(free, c.Name)
		}
	}
	if s.allocation != nil {
		waiting = s.allocation.queue.Len()
		for rank, n := range s.allocation.queue.Waiting() {
			if rank <= x.rank {
				ahead += n
			}
		}
	}
	switch {
	case len(free) > 0 && waiting == 0:
		x.targets(list, false)
		x.conclude(s.name, "granted", "Targets", free, "Allocator", string(allocator))
	case !own:
		x.targets(list, false)
		x.conclude(s.name, "undecided", "Reason", "the allocator knows", "Allocator", string(allocator))
	default:
		x.queue(s, route, states, choice, list, ahead)
	}
}

// queue tells what happens to a request that finds no free slot at this allocator. Its wait is estimated
// from the requests of its and more urgent ranks, since Queue.Expect updates measurements. The caller must
// hold mu.
func (x *explanation) queue(s *service, route *document.Route, states []zoneload.State, choice, list []outlier.Candidate, ahead int) {
	st := x.gateway.state
	room, remote := s.table.Room(x.now), remoteCapacity(states)
	slots := room.Slots + remote.Slots
	expected := s.latencies.Mean(route.Name)
	slotTime := cmp.Or(expected, remote.ServiceTime)
	if s.allocation != nil {
		slotTime = cmp.Or(s.allocation.slotTime, slotTime)
	}
	wait := time.Duration(ahead+1) * slotTime / time.Duration(max(slots, 1))
	left := cmp.Or(route.Timeout, entry.DefaultTimeout)
	decision := spillover.Decide(spillover.Home{
		Free:    room.Free,
		Waiting: ahead,
		Wait:    wait,
		Targets: room.Targets,
	}, spillover.Request{
		Left:        left,
		Objective:   route.Objective,
		ServiceTime: cmp.Or(expected, slotTime),
	}, st.spillZones(x.now, states))
	if leave, ok := decision.(spillover.Leave); ok {
		x.targets(choice, true)
		x.conclude(s.name, "leaves", "Zone", leave.Zone, "Reason", leave.Reason, "Gain", leave.Gain)
		return
	}
	if slots == 0 {
		x.choose(s, choice)
		return
	}
	x.targets(list, false)
	if wait+cmp.Or(expected, slotTime) > left {
		x.conclude(s.name, "refused", "Reason", noCapacity, "Wait", wait)
		return
	}
	x.conclude(s.name, "waits", "Ahead", ahead, "Wait", wait)
}

// targets tells the state of each target, also of other zones if the request may leave its own. The caller
// must hold mu.
func (x *explanation) targets(list []outlier.Candidate, leaves bool) {
	for _, c := range list {
		if c.Zone != x.gateway.self.Zone && !leaves {
			continue
		}
		limited := x.gateway.state.targetLimits.Limit(c.Name).Kind == meter.Limited
		state := c.Standing.String()
		switch {
		case c.Standing != outlier.Healthy:
		case !c.HasRoom():
			state = "full"
		case c.Cold:
			state = "cold"
		case limited:
			state = "limited"
		default:
			state = "free"
		}
		x.lines.Info("target", "Target", c.Name, "Zone", c.Zone, "State", state, "Usable", c.Usable,
			"Cold", c.Cold, "Limited", limited, "InUse", c.InUse, "Slots", c.Slots)
	}
}
