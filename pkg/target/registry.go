package target

import (
	"slices"
	"strings"
	"time"
)

// reregisterTerm is how long a registration that lapsed around an outage of the
// store may take to come back. Targets that live and reach the store register
// again within two seconds of its return.
const reregisterTerm = 2 * time.Second

// Registry holds the targets that have registered themselves. Its methods must
// not be called at the same time.
type Registry struct {
	targets map[string]Registration
	// missing are registrations that lapsed around an outage, with the time at
	// which they are given up.
	missing map[string]time.Duration
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		targets: map[string]Registration{},
		missing: map[string]time.Duration{},
	}
}

// Put takes a registration in, unless it is older than the one that is held. It
// reports whether it was taken.
func (r *Registry) Put(reg Registration) bool {
	name := reg.Target.Name
	if old, ok := r.targets[name]; ok && !reg.Supersedes(old) {
		return false
	}
	r.targets[name] = reg
	delete(r.missing, name)
	return true
}

// Remove forgets a target whose registration is gone. Around an outage of the
// store the registration may only have lapsed, so the target is kept for a
// while, unless it had said that it is leaving.
func (r *Registry) Remove(now time.Duration, name string, outage bool) {
	reg, ok := r.targets[name]
	if !ok {
		return
	}
	if outage && !reg.Target.Leaving {
		if _, since := r.missing[name]; !since {
			r.missing[name] = now + reregisterTerm
		}
		return
	}
	delete(r.targets, name)
	delete(r.missing, name)
}

// Expire forgets the missing targets that didn't come back. It reports whether
// there were any.
func (r *Registry) Expire(now time.Duration) bool {
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

// Len is the number of targets.
func (r *Registry) Len() int { return len(r.targets) }

// Services lists the targets by service, in order of their names.
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
