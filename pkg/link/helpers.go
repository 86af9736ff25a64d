package link

import (
	"maps"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

const (
	// ReportPeriod is the time between two reports of an instance that doesn't reach some
	// services, and reportTerm how long a report counts, so that two may be lost.
	ReportPeriod = time.Second
	reportTerm   = 3 * time.Second
	// exclusionTerm is how long an instance isn't chosen after it has failed or declined
	// to help.
	exclusionTerm = 500 * time.Millisecond
	// maxCutOff is the number of instances that say one after the other that they don't
	// reach a service either, after which no instance is chosen for it for helplessTerm.
	// Otherwise each request to a service that is down would go to several instances.
	maxCutOff    = 4
	helplessTerm = time.Second
)

// Report says which services an instance doesn't reach.
type Report struct {
	// All is set if the instance seems to have no links at all.
	All      bool
	Services []string
}

// Helpers knows through which other instances requests can reach targets. It is not safe
// for concurrent use.
type Helpers struct {
	reports map[instance.Address]timedReport
	// excluded holds until when an instance isn't chosen, for all services (an empty name)
	// or for one.
	excluded map[exclusion]time.Duration
	// cutOff counts, by service, the instances in a row that don't reach it either, and
	// helpless holds until when none is chosen.
	cutOff   map[string]int
	helpless map[string]time.Duration
}

// timedReport is a report and when it expires.
type timedReport struct {
	Report
	expires time.Duration
}

// exclusion is an instance that isn't chosen for a service.
type exclusion struct {
	instance instance.Address
	service  string
}

// NewHelpers returns Helpers that exclude no instance.
func NewHelpers() *Helpers {
	return &Helpers{
		reports:  map[instance.Address]timedReport{},
		excluded: map[exclusion]time.Duration{},
		cutOff:   map[string]int{},
		helpless: map[string]time.Duration{},
	}
}

// Receive records a report of another instance, which replaces its last one.
func (h *Helpers) Receive(now time.Duration, from instance.Address, r Report) {
	if !r.All && len(r.Services) == 0 {
		delete(h.reports, from)
		return
	}
	h.reports[from] = timedReport{
		Report:  r,
		expires: now + reportTerm,
	}
}

// Answered records that an instance has reached the service.
func (h *Helpers) Answered(service string) { delete(h.cutOff, service) }

// Exclude records that an instance has failed or declined to help.
func (h *Helpers) Exclude(now time.Duration, a instance.Address) {
	h.excluded[exclusion{
		instance: a,
	}] = now + exclusionTerm
}

// CutOff records that an instance has answered that it doesn't reach the service either.
func (h *Helpers) CutOff(now time.Duration, a instance.Address, service string) {
	h.excluded[exclusion{
		instance: a,
		service:  service,
	}] = now + exclusionTerm
	h.cutOff[service]++
	if h.cutOff[service] >= maxCutOff {
		delete(h.cutOff, service)
		h.helpless[service] = now + helplessTerm
	}
}

// Choose returns the member through which a request to a service goes, and false if none
// seems to reach it. Members of the own zone are preferred. Among those of equal preference
// the request's key decides, so that requests spread over them.
func (h *Helpers) Choose(now time.Duration, self instance.Info, members []instance.Info, service string, key uint64) (instance.Address, bool) {
	if now < h.helpless[service] {
		return "", false
	}
	var best instance.Info
	var bestScore uint64
	for _, m := range members {
		if m.Address == self.Address || h.isExcluded(now, m.Address, service) {
			continue
		}
		score := instance.Score(key, m.Address)
		nearer := m.Zone == self.Zone && best.Zone != self.Zone
		farther := m.Zone != self.Zone && best.Zone == self.Zone
		if best.Address == "" || nearer || !farther && score > bestScore {
			best, bestScore = m, score
		}
	}
	return best.Address, best.Address != ""
}

// isExcluded reports whether an instance isn't to be chosen for a service.
func (h *Helpers) isExcluded(now time.Duration, a instance.Address, service string) bool {
	r, reported := h.reports[a]
	return reported && now < r.expires && (r.All || slices.Contains(r.Services, service)) ||
		now < h.excluded[exclusion{instance: a}] ||
		now < h.excluded[exclusion{instance: a, service: service}]
}

// Expire drops what no longer counts.
func (h *Helpers) Expire(now time.Duration) {
	maps.DeleteFunc(h.reports, func(_ instance.Address, r timedReport) bool { return now >= r.expires })
	maps.DeleteFunc(h.excluded, func(_ exclusion, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(h.helpless, func(_ string, until time.Duration) bool { return now >= until })
}
