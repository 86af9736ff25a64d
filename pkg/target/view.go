package target

import (
	"slices"
	"time"

	"dandelionmux/pkg/document"
)

const (
	// joinRampTime is how long the weight of a target rises after it has joined, and
	// returnRampTime how long it rises after an ejection or a refused connection.
	joinRampTime   = 30 * time.Second
	returnRampTime = 10 * time.Second
	// joinStartWeight and returnStartWeight are the weights at the start of these ramps.
	joinStartWeight   = 0.1
	returnStartWeight = 0.3
	// rampSteps is the number of steps of a ramp. It is small so that tables change rarely.
	rampSteps = 10
	// initialAvoidTime is how long a target is avoided after it has refused a connection. It
	// doubles with each further refusal, up to maxAvoidTime, until a connection is accepted.
	initialAvoidTime = time.Second
	maxAvoidTime     = 8 * time.Second
	// unreachableSeverity is the severity of unreachable targets, higher than any other.
	unreachableSeverity = 1e9
	// defaultFloor is the capacity floor, in percent, if the document specifies none.
	defaultFloor = 50
)

// View holds one instance's current view of one service's targets: the verdicts in force,
// the targets that refuse connections, and those that warm up. Create it with NewView. It
// is not safe for concurrent use.
type View struct {
	service        document.Service
	floor          int
	verdicts       Verdicts
	verdictsExpire time.Duration
	ramps          map[string]ramp
	avoided        map[string]avoidance
	ejected        map[string]bool
}

// ramp is the gradual rise of a target's weight from startWeight to 1.
type ramp struct {
	start       time.Duration
	duration    time.Duration
	startWeight float64
}

// avoidance records that a target has refused a connection. The target is avoided for
// duration, up to until.
type avoidance struct {
	until    time.Duration
	duration time.Duration
}

// ViewEvent is an input of View: Configured, Announced, ConnectionRefused,
// ConnectionAccepted or Tick.
type ViewEvent interface{ viewEvent() }

// Configured is the event that the service's configuration has been loaded or changed.
type Configured struct {
	Service document.Service
	// Floor is the policy's default floor, in percent.
	Floor int
}

// Announced is the event that an authority's verdicts have arrived.
type Announced struct {
	Verdicts Verdicts
}

// ConnectionRefused is the event that a target has refused a connection from this
// instance.
type ConnectionRefused struct {
	Target string
}

// ConnectionAccepted is the event that a target has accepted a connection from this
// instance.
type ConnectionAccepted struct {
	Target string
}

// Tick is the event that the time returned by Next has come.
type Tick struct{}

func (Configured) viewEvent()         {}
func (Announced) viewEvent()          {}
func (ConnectionRefused) viewEvent()  {}
func (ConnectionAccepted) viewEvent() {}
func (Tick) viewEvent()               {}

// NewView returns a view of a service. The floor is the policy's default, in percent. The
// initial targets count as warmed up, since nothing is known about their start.
func NewView(s document.Service, floor int) *View {
	return &View{
		service: s,
		floor:   effectiveFloor(s, floor),
		ramps:   map[string]ramp{},
		avoided: map[string]avoidance{},
		ejected: map[string]bool{},
	}
}

// effectiveFloor returns the service's floor, or else the policy's, or else defaultFloor,
// in percent and at most 100.
func effectiveFloor(s document.Service, floor int) int {
	switch {
	case s.Floor > 0:
		return min(s.Floor, 100)
	case floor > 0:
		return min(floor, 100)
	default:
		return defaultFloor
	}
}

// Handle processes one event. It reports whether the result of Targets may have changed.
func (v *View) Handle(now time.Duration, e ViewEvent) bool {
	switch e := e.(type) {
	case Configured:
		v.configure(now, e)
	case Announced:
		return v.applyVerdicts(now, e.Verdicts)
	case ConnectionRefused:
		a := v.avoided[e.Target]
		if now < a.until {
			return false
		}
		a.duration = min(max(2*a.duration, initialAvoidTime), maxAvoidTime)
		a.until = now + a.duration
		v.avoided[e.Target] = a
	case ConnectionAccepted:
		if _, ok := v.avoided[e.Target]; !ok {
			return false
		}
		delete(v.avoided, e.Target)
		v.ramps[e.Target] = ramp{
			start:       now,
			duration:    returnRampTime,
			startWeight: returnStartWeight,
		}
	case Tick:
		v.expire(now)
	}
	return true
}

// configure replaces the service. New targets and those with a new address ramp up.
func (v *View) configure(now time.Duration, c Configured) {
	known := map[string]document.Target{}
	for _, t := range v.service.Targets {
		known[t.Name] = t
	}
	for _, t := range c.Service.Targets {
		old, ok := known[t.Name]
		if !ok || old.Address != t.Address {
			v.ramps[t.Name] = ramp{
				start:       now,
				duration:    joinRampTime,
				startWeight: joinStartWeight,
			}
			delete(v.avoided, t.Name)
		}
		delete(known, t.Name)
	}
	for name := range known {
		delete(v.ramps, name)
		delete(v.avoided, name)
		delete(v.ejected, name)
	}
	v.service = c.Service
	v.floor = effectiveFloor(c.Service, c.Floor)
}

// applyVerdicts replaces the verdicts unless later ones are in force. It reports whether
// the list has changed.
func (v *View) applyVerdicts(now time.Duration, n Verdicts) bool {
	if now < v.verdictsExpire && !n.supersedes(v.verdicts) {
		return false
	}
	changed := now >= v.verdictsExpire || !slices.Equal(n.List, v.verdicts.List)
	v.verdicts = n
	v.verdictsExpire = now + n.Term
	v.updateEjected(now)
	return changed
}

// updateEjected updates the set of ejected targets and starts the ramp of those that are
// no longer ejected.
func (v *View) updateEjected(now time.Duration) {
	ejected := map[string]bool{}
	if now < v.verdictsExpire {
		for _, d := range v.verdicts.List {
			if d.Action == Eject {
				ejected[d.Target] = true
			}
		}
	}
	for name := range v.ejected {
		if !ejected[name] {
			v.ramps[name] = ramp{
				start:       now,
				duration:    returnRampTime,
				startWeight: returnStartWeight,
			}
		}
	}
	v.ejected = ejected
}

// expire removes verdicts and ramps that have ended.
func (v *View) expire(now time.Duration) {
	v.updateEjected(now)
	for name, r := range v.ramps {
		if now >= r.start+r.duration {
			delete(v.ramps, name)
		}
	}
}

// Next returns when the next Tick is due, or zero if none is.
func (v *View) Next(now time.Duration) time.Duration {
	var next time.Duration
	sooner := func(t time.Duration) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	if len(v.verdicts.List) > 0 {
		sooner(v.verdictsExpire)
	}
	for _, r := range v.ramps {
		step := r.duration / rampSteps
		sooner(r.start + ((now-r.start)/step+1)*step)
	}
	for _, a := range v.avoided {
		sooner(a.until)
	}
	return next
}

// Verdicts returns the latest verdicts, with which a new authority starts, and reports
// whether they are still in force.
func (v *View) Verdicts(now time.Duration) (Verdicts, bool) {
	return v.verdicts, now < v.verdictsExpire
}

// Targets returns the service's targets as they are to be used now, in the order of the
// configuration, with the capacity floor applied.
func (v *View) Targets(now time.Duration) []WeightedTarget {
	list := make([]WeightedTarget, len(v.service.Targets))
	index := map[string]int{}
	for i, t := range v.service.Targets {
		list[i] = v.baseTarget(now, t)
		index[t.Name] = i
	}
	var candidates []Candidate
	if now < v.verdictsExpire {
		candidates = v.markVerdicts(list, index)
	}
	for i, t := range v.service.Targets {
		if a, ok := v.avoided[t.Name]; ok && now < a.until {
			list[i].Reason = Unreachable
			list[i].SampleFraction = 0
			candidates = append(candidates, Candidate{
				Index:    i,
				Severity: unreachableSeverity,
			})
		}
	}
	v.applyFloor(list, candidates)
	return list
}

// baseTarget returns a target with its weight before verdicts are applied.
func (v *View) baseTarget(now time.Duration, t document.Target) WeightedTarget {
	s := WeightedTarget{
		Target: t,
		Weight: 1,
	}
	if t.Leaving {
		s.Weight = 0
		s.Reason = Leaving
		return s
	}
	if r, ok := v.ramps[t.Name]; ok && now < r.start+r.duration {
		step := float64((now - r.start) * rampSteps / r.duration)
		s.Weight = r.startWeight + (1-r.startWeight)*step/rampSteps
		s.Reason = Warming
	}
	return s
}

// markVerdicts applies the verdicts to the list except for the weights, and returns the
// candidates for ejection.
func (v *View) markVerdicts(list []WeightedTarget, index map[string]int) []Candidate {
	var candidates []Candidate
	for _, d := range v.verdicts.List {
		i, ok := index[d.Target]
		if !ok || list[i].Target.Leaving {
			continue
		}
		list[i].SampleFraction = d.SampleFraction
		list[i].Reason = d.Reason
		if d.Action == Watch {
			list[i].Watched = true
			continue
		}
		candidates = append(candidates, Candidate{
			Index:    i,
			Severity: d.Severity,
		})
	}
	return candidates
}

// applyFloor sets the weight of the candidates to zero as far as the floor allows, and
// marks the others as spared.
func (v *View) applyFloor(list []WeightedTarget, candidates []Candidate) {
	ejected := SelectEjections(list, v.floor, candidates)
	for _, c := range candidates {
		if slices.Contains(ejected, c.Index) {
			list[c.Index].Weight = 0
		} else if !list[c.Index].Target.Leaving {
			list[c.Index].Reason = SparedByFloor
			list[c.Index].SampleFraction = 0
		}
	}
}
