package target

import (
	"slices"
	"time"

	"dandelionmux/pkg/document"
)

const (
	// rampTerm is how long a target that joined cold warms up, returnTerm how
	// long one that returns does.
	rampTerm   = 30 * time.Second
	returnTerm = 10 * time.Second
	// rampStart and returnStart are the first weights.
	rampStart   = 0.1
	returnStart = 0.3
	// rampSteps is how many steps a ramp takes, so that tables change rarely.
	rampSteps = 10
	// avoidTerm is how long a target that refused a connection is avoided at
	// first; it doubles up to mostAvoidTerm while it goes on refusing.
	avoidTerm     = time.Second
	mostAvoidTerm = 8 * time.Second
	// unreachableSeverity puts unreachable targets before all others.
	unreachableSeverity = 1e9
	// defaultFloor is used where the document names none.
	defaultFloor = 50
)

// View is what one instance makes of the verdicts on one service. Make it with
// NewView. It is not safe for concurrent use.
type View struct {
	service  document.Service
	floor    int
	verdicts Verdicts
	until    time.Duration
	ramps    map[string]ramp
	avoided  map[string]avoidance
	out      map[string]bool
}

// ramp is a target that warms up.
type ramp struct {
	start time.Duration
	term  time.Duration
	first float64
}

// avoidance is a target that refuses connections.
type avoidance struct {
	until time.Duration
	term  time.Duration
}

// ViewEvent is an input of View: Configured, Announced, Unreached, Reached or
// Tick.
type ViewEvent interface{ viewEvent() }

// Configured brings the service as the document has it.
type Configured struct {
	Service document.Service
	// Floor is the policy's default, in percent.
	Floor int
}

// Announced brings an authority's verdicts.
type Announced struct {
	Verdicts Verdicts
}

// ConnectionRefused says that a target refused a connection from this instance.
type ConnectionRefused struct {
	Target string
}

// ConnectionAccepted says that a target took a connection from this instance.
type ConnectionAccepted struct {
	Target string
}

// Tick says that the time named by Next has come.
type Tick struct{}

func (Configured) viewEvent()         {}
func (Announced) viewEvent()          {}
func (ConnectionRefused) viewEvent()  {}
func (ConnectionAccepted) viewEvent() {}
func (Tick) viewEvent()               {}

// NewView returns the view of a service as first seen. Its targets count as
// warm, because nothing tells otherwise.
func NewView(s document.Service, floor int) *View {
	return &View{
		service: s,
		floor:   floorOf(s, floor),
		ramps:   map[string]ramp{},
		avoided: map[string]avoidance{},
		out:     map[string]bool{},
	}
}

// floorOf is the floor that holds for a service.
func floorOf(s document.Service, floor int) int {
	switch {
	case s.Floor > 0:
		return min(s.Floor, 100)
	case floor > 0:
		return min(floor, 100)
	default:
		return defaultFloor
	}
}

// Handle takes in one event. It reports whether Serving may have changed.
func (v *View) Handle(now time.Duration, e ViewEvent) bool {
	switch e := e.(type) {
	case Configured:
		v.configure(now, e)
	case Announced:
		return v.announce(now, e.Verdicts)
	case ConnectionRefused:
		a := v.avoided[e.Target]
		if now < a.until {
			return false
		}
		a.term = min(max(2*a.term, avoidTerm), mostAvoidTerm)
		a.until = now + a.term
		v.avoided[e.Target] = a
	case ConnectionAccepted:
		if _, ok := v.avoided[e.Target]; !ok {
			return false
		}
		delete(v.avoided, e.Target)
		v.ramps[e.Target] = ramp{
			start: now,
			term:  returnTerm,
			first: returnStart,
		}
	case Tick:
		v.expire(now)
	}
	return true
}

// configure takes in a changed service; targets that are new ramp up.
func (v *View) configure(now time.Duration, c Configured) {
	known := map[string]document.Target{}
	for _, t := range v.service.Targets {
		known[t.Name] = t
	}
	for _, t := range c.Service.Targets {
		old, ok := known[t.Name]
		if !ok || old.Address != t.Address {
			v.ramps[t.Name] = ramp{
				start: now,
				term:  rampTerm,
				first: rampStart,
			}
			delete(v.avoided, t.Name)
		}
		delete(known, t.Name)
	}
	for name := range known {
		delete(v.ramps, name)
		delete(v.avoided, name)
		delete(v.out, name)
	}
	v.service = c.Service
	v.floor = floorOf(c.Service, c.Floor)
}

// announce takes in verdicts, unless it knows later ones that still hold.
func (v *View) announce(now time.Duration, n Verdicts) bool {
	if now < v.until && !n.after(v.verdicts) {
		return false
	}
	changed := now >= v.until || !slices.Equal(n.List, v.verdicts.List)
	v.verdicts = n
	v.until = now + n.Term
	v.turn(now)
	return changed
}

// turn starts the ramp of targets that are no longer ejected.
func (v *View) turn(now time.Duration) {
	out := map[string]bool{}
	if now < v.until {
		for _, d := range v.verdicts.List {
			if d.Action == Eject {
				out[d.Target] = true
			}
		}
	}
	for name := range v.out {
		if !out[name] {
			v.ramps[name] = ramp{
				start: now,
				term:  returnTerm,
				first: returnStart,
			}
		}
	}
	v.out = out
}

// expire ends verdicts and ramps whose time is over.
func (v *View) expire(now time.Duration) {
	v.turn(now)
	for name, r := range v.ramps {
		if now >= r.start+r.term {
			delete(v.ramps, name)
		}
	}
}

// Next returns when a Tick is due; zero if none is.
func (v *View) Next(now time.Duration) time.Duration {
	var next time.Duration
	sooner := func(t time.Duration) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	if len(v.verdicts.List) > 0 {
		sooner(v.until)
	}
	for _, r := range v.ramps {
		step := r.term / rampSteps
		sooner(r.start + ((now-r.start)/step+1)*step)
	}
	for _, a := range v.avoided {
		sooner(a.until)
	}
	return next
}

// Verdicts returns the verdicts in force, for a new authority to begin with,
// and false if none are.
func (v *View) Verdicts(now time.Duration) (Verdicts, bool) {
	return v.verdicts, now < v.until
}

// Targets returns the service's targets as they are to be used now, in the
// document's order, with the floor kept.
func (v *View) Targets(now time.Duration) []WeightedTarget {
	list := make([]WeightedTarget, len(v.service.Targets))
	index := map[string]int{}
	for i, t := range v.service.Targets {
		list[i] = v.base(now, t)
		index[t.Name] = i
	}
	var candidates []Candidate
	if now < v.until {
		candidates = v.judge(list, index)
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
	v.keep(list, candidates)
	return list
}

// base is a target as the document and its ramp have it.
func (v *View) base(now time.Duration, t document.Target) WeightedTarget {
	s := WeightedTarget{
		Target: t,
		Weight: 1,
	}
	if t.Leaving {
		s.Weight = 0
		s.Reason = Leaving
		return s
	}
	if r, ok := v.ramps[t.Name]; ok && now < r.start+r.term {
		step := float64((now - r.start) * rampSteps / r.term)
		s.Weight = r.first + (1-r.first)*step/rampSteps
		s.Reason = Warming
	}
	return s
}

// judge notes the verdicts in the list and returns the ejections.
func (v *View) judge(list []WeightedTarget, index map[string]int) []Candidate {
	var candidates []Candidate
	for _, d := range v.verdicts.List {
		i, ok := index[d.Target]
		if !ok || list[i].Target.Leaving {
			continue
		}
		list[i].SampleFraction = d.SampleFraction
		list[i].Reason = d.Reason
		if d.Action == Watch {
			list[i].Suspected = true
			continue
		}
		candidates = append(candidates, Candidate{
			Index:    i,
			Severity: d.Severity,
		})
	}
	return candidates
}

// keep takes the candidates out of work as far as the floor allows.
func (v *View) keep(list []WeightedTarget, candidates []Candidate) {
	out := SelectEjections(list, v.floor, candidates)
	for _, c := range candidates {
		if slices.Contains(out, c.Index) {
			list[c.Index].Weight = 0
		} else if !list[c.Index].Target.Leaving {
			list[c.Index].Reason = SparedByFloor
			list[c.Index].SampleFraction = 0
		}
	}
}
