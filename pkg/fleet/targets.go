package fleet

import (
	"slices"
	"time"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
	"dandelionmux/pkg/target"
)

// drainTerm is how long a target that said it is leaving gets no new work
// before it is tried again.
const drainTerm = 30 * time.Second

// judge is what an instance keeps for one service: its view of the targets,
// and the authority while this instance is that.
type judge struct {
	service   document.Service
	floor     int
	shard     share.Shard
	view      *target.View
	authority *target.Authority
	// drained is until when targets count as leaving that said so themselves.
	drained map[string]time.Duration
	// due is when the view or the authority wants a tick; zero for never.
	due time.Duration
}

// judges are the services' judges by name.
type judges struct {
	services map[string]*judge
	// next is the earliest due.
	next time.Duration
}

// configureTargets takes in the services of a new document.
func (s *State) configureTargets(services []document.Service, floor int) {
	old := s.judges.services
	s.judges.services = make(map[string]*judge, len(services))
	for _, service := range services {
		j, ok := old[service.Name]
		if !ok {
			j = &judge{
				shard:   share.ShardOf("service", service.Name),
				view:    target.NewView(service, floor),
				drained: map[string]time.Duration{},
			}
		}
		j.service = service
		j.floor = floor
		s.judges.services[service.Name] = j
		s.configureJudge(j)
	}
}

// configureJudge gives the service to its view and its authority, with the
// targets that drain marked as leaving.
func (s *State) configureJudge(j *judge) {
	service := j.service
	if len(j.drained) > 0 {
		service.Targets = slices.Clone(service.Targets)
		for i, t := range service.Targets {
			if _, ok := j.drained[t.Name]; ok {
				service.Targets[i].Leaving = true
			}
		}
	}
	configured := target.Configured{
		Service: service,
		Floor:   j.floor,
	}
	j.view.Handle(s.now, configured)
	if j.authority != nil {
		s.takeAuthority(j, j.authority.Handle(s.now, configured))
	}
	s.serving(j)
}

// serving publishes how traffic is to use a service's targets.
func (s *State) serving(j *judge) {
	s.emit(TargetWeightsChanged{
		Service: j.service.Name,
		Targets: j.view.Targets(s.now),
	})
	s.judgeDue(j)
}

// judgeDue finds when a judge wants its next tick.
func (s *State) judgeDue(j *judge) {
	j.due = j.view.Next(s.now)
	if j.authority != nil {
		j.due = earliest(j.due, j.authority.Next())
	}
	for _, until := range j.drained {
		j.due = earliest(j.due, until)
	}
	s.judges.next = earliest(s.judges.next, j.due)
}

// tickJudges wakes the judges whose time has come.
func (s *State) tickJudges() {
	if !s.due(s.judges.next) {
		return
	}
	s.judges.next = 0
	for _, name := range sortedNames(s.judges.services) {
		j := s.judges.services[name]
		if s.due(j.due) {
			s.tickJudge(j)
		}
		s.judges.next = earliest(s.judges.next, j.due)
	}
}

func (s *State) tickJudge(j *judge) {
	if s.endDrains(j) {
		s.configureJudge(j)
	}
	if j.view.Handle(s.now, target.Tick{}) {
		s.serving(j)
	}
	if s.judging(j) {
		s.takeAuthority(j, j.authority.Handle(s.now, target.Tick{}))
	}
	s.judgeDue(j)
}

// endDrains forgets the targets whose drain has lasted long enough.
func (s *State) endDrains(j *judge) bool {
	ended := false
	for name, until := range j.drained {
		if s.now >= until {
			delete(j.drained, name)
			ended = true
		}
	}
	return ended
}

// judging makes sure that the judge has an authority if and only if this
// instance is the service's.
func (s *State) judging(j *judge) bool {
	_, ok := s.authority.Majority(j.shard)
	switch {
	case !ok:
		j.authority = nil
	case j.authority == nil:
		inherited, _ := j.view.Verdicts(s.now)
		j.authority = target.NewAuthority(s.now, s.self.ID, j.service, j.floor, inherited)
	}
	return ok
}

// report sends what traffic saw to the service's authority.
func (s *State) report(r target.Report) {
	j, ok := s.judges.services[r.Service]
	if !ok {
		return
	}
	if to, ok := s.first(j.shard); ok {
		s.send(to, TargetReport{
			Report: r,
		})
	}
}

// reported gives a report to the authority, if that is here.
func (s *State) reported(from instance.ID, r target.Report) {
	j, ok := s.judges.services[r.Service]
	if !ok || !s.judging(j) {
		return
	}
	s.takeAuthority(j, j.authority.Handle(s.now, target.Reported{
		From:   from,
		Report: r,
	}))
	s.judgeDue(j)
}

// announced takes verdicts in.
func (s *State) announced(v target.Verdicts) {
	j, ok := s.judges.services[v.Service]
	if !ok {
		return
	}
	if j.view.Handle(s.now, target.Announced{
		Verdicts: v,
	}) {
		s.serving(j)
	}
	s.judgeDue(j)
}

// connected takes in whether a target takes this instance's connections.
func (s *State) connected(e TargetReachability) {
	j, ok := s.judges.services[e.Service]
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
	if j.view.Handle(s.now, event) {
		s.serving(j)
	}
	s.judgeDue(j)
}

// draining takes in that a target says it is leaving.
func (s *State) draining(e TargetDraining) {
	j, ok := s.judges.services[e.Service]
	if !ok {
		return
	}
	_, known := j.drained[e.Target]
	j.drained[e.Target] = s.now + drainTerm
	if !known {
		s.configureJudge(j)
	}
	s.judgeDue(j)
}

// takeAuthority carries on what an authority put out.
func (s *State) takeAuthority(j *judge, effects []target.AuthorityEffect) {
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
				Detail:    []any{"Service", j.service.Name, "Reason", e.Reason, "Score", e.Score, "Threshold", e.Threshold},
			})
		}
	}
}

// sortedNames keeps the order of what follows the same in each run.
func sortedNames(services map[string]*judge) []string {
	names := make([]string, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
