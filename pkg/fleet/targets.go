package fleet

import (
	"slices"
	"time"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
	"dandelionmux/pkg/target"
)

// drainDuration is how long a target that announced that it is leaving gets no
// new requests before it is tried again.
const drainDuration = 30 * time.Second

// serviceState is the health state of one service's targets: this instance's
// view of the targets and, while this instance is the service's authority, the
// authority's state.
type serviceState struct {
	service   document.Service
	floor     int
	shard     share.Shard
	view      *target.View
	authority *target.Authority
	// drainUntil contains, by name, the targets that announced that they are
	// leaving, and until when they count as leaving.
	drainUntil map[string]time.Duration
	// nextTick is the time at which the view or the authority needs a tick;
	// zero means never.
	nextTick time.Duration
}

// services contains the state of each service by name.
type services struct {
	byName map[string]*serviceState
	// nextTick is the earliest nextTick of all services.
	nextTick time.Duration
}

// configureServices applies the services of a new document.
func (s *State) configureServices(services []document.Service, floor int) {
	old := s.services.byName
	s.services.byName = make(map[string]*serviceState, len(services))
	for _, service := range services {
		svc, ok := old[service.Name]
		if !ok {
			svc = &serviceState{
				shard:      share.ShardOf("service", service.Name),
				view:       target.NewView(service, floor),
				drainUntil: map[string]time.Duration{},
			}
		}
		svc.service = service
		svc.floor = floor
		s.services.byName[service.Name] = svc
		s.configureService(svc)
	}
}

// configureService passes the configuration to the service's view and
// authority, with draining targets marked as leaving.
func (s *State) configureService(svc *serviceState) {
	service := svc.service
	if len(svc.drainUntil) > 0 {
		service.Targets = slices.Clone(service.Targets)
		for i, t := range service.Targets {
			if _, ok := svc.drainUntil[t.Name]; ok {
				service.Targets[i].Leaving = true
			}
		}
	}
	configured := target.Configured{
		Service: service,
		Floor:   svc.floor,
	}
	svc.view.Handle(s.now, configured)
	if svc.authority != nil {
		s.handleAuthorityEffects(svc, svc.authority.Handle(s.now, configured))
	}
	s.publishWeights(svc)
}

// publishWeights emits how traffic uses the service's targets.
func (s *State) publishWeights(svc *serviceState) {
	s.emit(TargetWeightsChanged{
		Service: svc.service.Name,
		Targets: svc.view.Targets(s.now),
	})
	s.scheduleService(svc)
}

// scheduleService updates the time of the service's next tick.
func (s *State) scheduleService(svc *serviceState) {
	svc.nextTick = svc.view.Next(s.now)
	if svc.authority != nil {
		svc.nextTick = earliestNonZero(svc.nextTick, svc.authority.Next())
	}
	for _, until := range svc.drainUntil {
		svc.nextTick = earliestNonZero(svc.nextTick, until)
	}
	s.services.nextTick = earliestNonZero(s.services.nextTick, svc.nextTick)
}

// tickServices wakes the services whose next tick is due, in the order of their
// names.
func (s *State) tickServices() {
	if !s.due(s.services.nextTick) {
		return
	}
	s.services.nextTick = 0
	for _, name := range sortedNames(s.services.byName) {
		svc := s.services.byName[name]
		if s.due(svc.nextTick) {
			s.tickService(svc)
		}
		s.services.nextTick = earliestNonZero(s.services.nextTick, svc.nextTick)
	}
}

// tickService wakes one service.
func (s *State) tickService(svc *serviceState) {
	if s.endDrains(svc) {
		s.configureService(svc)
	}
	if svc.view.Handle(s.now, target.Tick{}) {
		s.publishWeights(svc)
	}
	if s.ensureAuthority(svc) {
		s.handleAuthorityEffects(svc, svc.authority.Handle(s.now, target.Tick{}))
	}
	s.scheduleService(svc)
}

// endDrains removes the targets whose drain has ended, and reports whether
// there were any.
func (s *State) endDrains(svc *serviceState) bool {
	ended := false
	for name, until := range svc.drainUntil {
		if s.now >= until {
			delete(svc.drainUntil, name)
			ended = true
		}
	}
	return ended
}

// ensureAuthority creates the service's authority if this instance has become
// it, and removes it if it no longer is. It reports whether this instance is
// the authority.
func (s *State) ensureAuthority(svc *serviceState) bool {
	_, ok := s.borrowed.Majority(svc.shard)
	switch {
	case !ok:
		svc.authority = nil
	case svc.authority == nil:
		inherited, _ := svc.view.Verdicts(s.now)
		svc.authority = target.NewAuthority(s.now, s.self.ID, svc.service, svc.floor, inherited)
	}
	return ok
}

// sendReport sends what traffic observed to the service's authority.
func (s *State) sendReport(r target.Report) {
	svc, ok := s.services.byName[r.Service]
	if !ok {
		return
	}
	if to, ok := s.topRanked(svc.shard); ok {
		s.send(to, TargetReport{
			Report: r,
		})
	}
}

// handleReport passes a report to the service's authority, if that is this
// instance.
func (s *State) handleReport(from instance.ID, r target.Report) {
	svc, ok := s.services.byName[r.Service]
	if !ok || !s.ensureAuthority(svc) {
		return
	}
	s.handleAuthorityEffects(svc, svc.authority.Handle(s.now, target.Reported{
		From:   from,
		Report: r,
	}))
	s.scheduleService(svc)
}

// handleVerdicts passes an authority's verdicts to the service's view.
func (s *State) handleVerdicts(v target.Verdicts) {
	svc, ok := s.services.byName[v.Service]
	if !ok {
		return
	}
	if svc.view.Handle(s.now, target.Announced{
		Verdicts: v,
	}) {
		s.publishWeights(svc)
	}
	s.scheduleService(svc)
}

// handleReachability passes a change of a target's reachability to the
// service's view.
func (s *State) handleReachability(e TargetReachability) {
	svc, ok := s.services.byName[e.Service]
	if !ok {
		return
	}
	var event target.ViewEvent = target.ConnectionRefused{
		Target: e.Target,
	}
	if e.Reachable {
		event = target.ConnectionAccepted{
			Target: e.Target,
		}
	}
	if svc.view.Handle(s.now, event) {
		s.publishWeights(svc)
	}
	s.scheduleService(svc)
}

// handleDraining marks a target that announced that it is leaving.
func (s *State) handleDraining(e TargetDraining) {
	svc, ok := s.services.byName[e.Service]
	if !ok {
		return
	}
	_, known := svc.drainUntil[e.Target]
	svc.drainUntil[e.Target] = s.now + drainDuration
	if !known {
		s.configureService(svc)
	}
	s.scheduleService(svc)
}

// handleAuthorityEffects turns the effects of a service's authority into
// effects of State.
func (s *State) handleAuthorityEffects(svc *serviceState, effects []target.AuthorityEffect) {
	for _, e := range effects {
		switch e := e.(type) {
		case target.Announce:
			for _, m := range s.members {
				s.send(m.Address, TargetVerdicts{
					Verdicts: e.Verdicts,
				})
			}
		case target.Decided:
			s.emit(Decided{
				Component: "target",
				Decision:  string(e.Kind),
				Subject:   e.Target,
				Detail:    []any{"Service", svc.service.Name, "Reason", e.Reason, "Score", e.Score, "Threshold", e.Threshold},
			})
		}
	}
}

// sortedNames returns the names in sorted order, so that the order of effects
// is the same in each run.
func sortedNames(services map[string]*serviceState) []string {
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
