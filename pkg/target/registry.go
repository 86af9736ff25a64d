package target

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// reregistrationTimeout is how long a target is kept whose registration expired
// around an outage of the store. Targets that are running and can reach the store
// register again within two seconds of its return.
const reregistrationTimeout = 2 * time.Second

// departureTerm is how long a target that has left is remembered. A store that was set
// back shows what it held some seconds earlier.
const departureTerm = time.Minute

// announcementTerm is how long a target's announcement that it is leaving holds. Targets
// leave within seconds of it.
const announcementTerm = 10 * time.Minute

// Registry holds the targets that have registered themselves. It is not safe for
// concurrent use.
type Registry struct {
	targets map[string]Registration
	// departed holds the last registrations of targets that have left, with the time at
	// which they are forgotten.
	departed map[string]departure
	// announced holds the runs of targets that have announced in their answers that they
	// are leaving, with the time at which that is forgotten.
	announced map[string]announcement
	// missing holds the targets whose registration expired around an outage, with the
	// time at which they are removed.
	missing map[string]time.Duration
}

// departure is the last registration of a target that has left.
type departure struct {
	Registration
	until time.Duration
}

// announcement says that one run of a target is leaving.
type announcement struct {
	incarnation int64
	until       time.Duration
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		targets:   map[string]Registration{},
		departed:  map[string]departure{},
		announced: map[string]announcement{},
		missing:   map[string]time.Duration{},
	}
}

// Put stores a registration unless it is older than the stored one, or no newer than the
// last one of a target that has left. It reports whether it was stored.
func (r *Registry) Put(reg Registration) bool {
	name := reg.Target.Name
	if old, ok := r.targets[name]; ok && !reg.Supersedes(old) {
		return false
	}
	if old, ok := r.departed[name]; ok && old.Supersedes(reg) {
		return false
	}
	delete(r.departed, name)
	if a, ok := r.announced[name]; ok && a.incarnation == reg.Incarnation {
		reg.Target.Leaving = true
	}
	r.targets[name] = reg
	delete(r.missing, name)
	return true
}

// Announce records that a run of a target has announced that it is leaving, which its
// registration may not say yet. It reports whether that is news.
func (r *Registry) Announce(now time.Duration, name string, incarnation int64) bool {
	reg, ok := r.targets[name]
	if !ok || reg.Incarnation != incarnation {
		return false
	}
	r.announced[name] = announcement{
		incarnation: incarnation,
		until:       now + announcementTerm,
	}
	news := !reg.Target.Leaving
	reg.Target.Leaving = true
	r.targets[name] = reg
	return news
}

// Incarnation returns the incarnation of a target, and zero if there is no such target.
func (r *Registry) Incarnation(name string) int64 { return r.targets[name].Incarnation }

// Service returns the service of a target, and an empty name if there is no such target.
func (r *Registry) Service(name string) string { return r.targets[name].Service }

// Ended reports whether a run of a target has ended: its registration is gone, or a later run
// has registered under its name or at its address.
func (r *Registry) Ended(name string, incarnation int64) bool {
	reg, ok := r.targets[name]
	if !ok || reg.Incarnation > incarnation {
		return true
	}
	for _, other := range r.targets {
		if other.Target.Address == reg.Target.Address && other.Incarnation > incarnation {
			return true
		}
	}
	return false
}

// Remove removes a target whose registration is gone. If that happened around an
// outage of the store, the registration may merely have expired; the target is then
// kept for reregistrationTimeout, unless it was leaving.
func (r *Registry) Remove(now time.Duration, name string, outage bool) {
	reg, ok := r.targets[name]
	if !ok {
		return
	}
	if outage && !reg.Target.Leaving {
		if _, missing := r.missing[name]; !missing {
			r.missing[name] = now + reregistrationTimeout
		}
		return
	}
	delete(r.targets, name)
	delete(r.missing, name)
	r.departed[name] = departure{
		Registration: reg,
		until:        now + departureTerm,
	}
}

// Expire removes the missing targets that haven't registered again in time. It reports
// whether there were any.
func (r *Registry) Expire(now time.Duration) bool {
	maps.DeleteFunc(r.departed, func(_ string, d departure) bool { return now >= d.until })
	maps.DeleteFunc(r.announced, func(_ string, a announcement) bool { return now >= a.until })
	changed := false
	for name, until := range r.missing {
		if now >= until {
			delete(r.targets, name)
			delete(r.missing, name)
			changed = true
		}
	}
	return changed
}

// Has reports whether there is a target with the name, including missing ones.
func (r *Registry) Has(name string) bool {
	_, ok := r.targets[name]
	return ok
}

// Len returns the number of targets, including missing ones.
func (r *Registry) Len() int { return len(r.targets) }

// Services returns the registrations by service, sorted by target name.
func (r *Registry) Services() map[string][]Registration {
	services := map[string][]Registration{}
	for _, reg := range r.targets {
		services[reg.Service] = append(services[reg.Service], reg)
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b Registration) int {
			return strings.Compare(a.Target.Name, b.Target.Name)
		})
	}
	return services
}
