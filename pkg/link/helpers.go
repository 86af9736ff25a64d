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
	// maxCutOff is the number of instances, of at least minCutOffZones zones unless there
	// are fewer, that say one after the other that they don't reach a service either,
	// after which no instance is chosen for it for helplessTerm. Otherwise each request to
	// a service that is down would go to several instances.
	maxCutOff      = 4
	minCutOffZones = 3
	helplessTerm   = time.Second
	// maxRemembered bounds the instances that are remembered for that.
	maxRemembered = 16
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
	// suspect holds until when instances of other zones are preferred, because one of the
	// zone doesn't reach the service. A zone may lose its links as a whole.
	suspect map[serviceInZone]time.Duration
	// cutOff holds, by service, the instances in a row that don't reach it either, and
	// helpless until when none is chosen.
	cutOff   map[string][]instance.Info
	helpless map[string]time.Duration
}

// serviceInZone names a service as the instances of a zone reach it.
type serviceInZone struct {
	zone    string
	service string
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
		suspect:  map[serviceInZone]time.Duration{},
		cutOff:   map[string][]instance.Info{},
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
// zones is the number of zones.
func (h *Helpers) CutOff(now time.Duration, a instance.Info, service string, zones int) {
	h.excluded[exclusion{
		instance: a.Address,
		service:  service,
	}] = now + exclusionTerm
	h.suspect[serviceInZone{
		zone:    a.Zone,
		service: service,
	}] = now + exclusionTerm
	// Several requests may have gone through an instance before its first answer.
	list := slices.DeleteFunc(h.cutOff[service], func(m instance.Info) bool { return m.Address == a.Address })
	list = append(list, a)
	h.cutOff[service] = list[max(len(list)-maxRemembered, 0):]
	seen := map[string]struct{}{}
	for _, m := range h.cutOff[service] {
		seen[m.Zone] = struct{}{}
	}
	if len(h.cutOff[service]) >= maxCutOff && len(seen) >= min(zones, minCutOffZones) {
		delete(h.cutOff, service)
		h.helpless[service] = now + helplessTerm
	}
}

// Choose returns the member through which a request to a service goes, and false if none
// seems to reach it. Members of the own zone are preferred, unless one of them has just
// answered that it doesn't reach the service. Among those of equal preference the request's
// key decides, so that requests spread over them.
func (h *Helpers) Choose(now time.Duration, self instance.Info, members []instance.Info, service string, key uint64) (instance.Info, bool) {
	if now < h.helpless[service] {
		return instance.Info{}, false
	}
	var best instance.Info
	var bestScore uint64
	bestRank := 0
	for _, m := range members {
		if m.Address == self.Address || h.isExcluded(now, m.Address, service) {
			continue
		}
		rank := h.rank(now, self, m, service)
		score := instance.Score(key, m.Address)
		if best.Address == "" || rank < bestRank || rank == bestRank && score > bestScore {
			best, bestScore, bestRank = m, score, rank
		}
	}
	return best, best.Address != ""
}

// rank returns how much a member is preferred; less is better.
func (h *Helpers) rank(now time.Duration, self, m instance.Info, service string) int {
	rank := 0
	if m.Zone != self.Zone {
		rank = 1
	}
	if now < h.suspect[serviceInZone{zone: m.Zone, service: service}] {
		rank += 2
	}
	return rank
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
	maps.DeleteFunc(h.suspect, func(_ serviceInZone, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(h.helpless, func(_ string, until time.Duration) bool { return now >= until })
}
