package document

import (
	"net/netip"
	"strings"
	"time"
)

// Limits of the document's values. All are inclusive.
const (
	maximumOrganisations       = 100_000
	maximumKeysPerOrganisation = 100
	maximumRoutes              = 50_000
	maximumServices            = 5_000
	maximumTargets             = 50_000

	maximumNameBytes       = 128
	maximumPathBytes       = 512
	maximumPathElements    = 32
	maximumHostBytes       = 253
	maximumMethodsPerRoute = 16
	maximumRatePerSecond   = 1_000_000
	maximumBurst           = 10_000_000
	maximumCost            = 1_000_000
	maximumSlots           = 10_000
	maximumConnections     = 100_000
	maximumQueueLength     = 100_000

	minimumTimeout    = time.Millisecond
	maximumTimeout    = time.Hour
	maximumQueueWait  = time.Minute
	minimumStrikeTerm = time.Second
	maximumStrikeTerm = 24 * time.Hour
	maximumBodyBytes  = 1 << 30
)

// Validate returns all problems of a document, section by section, and nil if the
// document is valid.
func Validate(d Document) []Problem {
	var problems []Problem
	n := collectNames(d)
	validateOrganisations(d.Organisations, newReporter(Organisations, &problems))
	validateRates(d.Rates, n, newReporter(Rates, &problems))
	validateRoutes(d.Routes, n, newReporter(Routes, &problems))
	validateServices(d.Services, newReporter(Services, &problems))
	validatePolicy(d.Policy, newReporter(PolicySection, &problems))
	return problems
}

// definedNames holds the names that entries of other sections may refer to.
type definedNames struct {
	organisations map[string]bool
	services      map[string]bool
}

func collectNames(d Document) definedNames {
	n := definedNames{
		organisations: make(map[string]bool, len(d.Organisations)),
		services:      make(map[string]bool, len(d.Services)),
	}
	for _, o := range d.Organisations {
		n.organisations[o.Name] = true
	}
	for _, s := range d.Services {
		n.services[s.Name] = true
	}
	return n
}

func validateOrganisations(list []Organisation, r reporter) {
	checkCount(r, "organisations", len(list), maximumOrganisations)
	seen := make(map[string]bool, len(list))
	holders := make(map[KeyDigest]string, len(list))
	for i, o := range list {
		r := r.forEntry(o.Name, i)
		checkName(r, "Name", o.Name, seen)
		if len(o.KeyDigests) > maximumKeysPerOrganisation {
			r.add("KeyDigests", "%d keys exceed the limit of %d", len(o.KeyDigests), maximumKeysPerOrganisation)
		}
		for _, d := range o.KeyDigests {
			if holder, ok := holders[d]; ok && holder == o.Name {
				r.add("KeyDigests", "%x appears twice", d)
			} else if ok {
				r.add("KeyDigests", "%x is also a key of organisation %q", d, holder)
			}
			holders[d] = o.Name
		}
	}
}

func validateRates(list []Rate, n definedNames, r reporter) {
	seen := make(map[string]bool, len(list))
	for i, v := range list {
		r := r.forEntry(v.Organisation, i)
		if !n.organisations[v.Organisation] {
			r.add("Organisation", "no organisation is named %q in section %s", truncate(v.Organisation, maximumNameBytes), Organisations)
		}
		if seen[v.Organisation] {
			r.add("Organisation", "the organisation already has another rate")
		}
		seen[v.Organisation] = true
		if !(v.PerSecond > 0 && v.PerSecond <= maximumRatePerSecond) {
			r.add("PerSecond", "%v is not above 0 and at most %d", v.PerSecond, maximumRatePerSecond)
		}
		checkRange(r, "Burst", int64(v.Burst), 1, maximumBurst)
	}
}

func validateServices(list []Service, r reporter) {
	checkCount(r, "services", len(list), maximumServices)
	seen := make(map[string]bool, len(list))
	addresses := map[string]string{}
	targets := 0
	for i, s := range list {
		r := r.forEntry(s.Name, i)
		checkName(r, "Name", s.Name, seen)
		checkRange(r, "Floor", int64(s.Floor), 0, 100)
		validateTargets(s, addresses, r)
		targets += len(s.Targets)
	}
	checkCount(r, "targets", targets, maximumTargets)
}

// validateTargets checks the targets of one service. The map addresses is shared by
// all services, since the slots of one server must not be counted twice.
func validateTargets(s Service, addresses map[string]string, r reporter) {
	seen := make(map[string]bool, len(s.Targets))
	for i, t := range s.Targets {
		r := r.forNestedEntry(t.Name, i)
		checkName(r, "Name", t.Name, seen)
		if a, err := netip.ParseAddrPort(t.Address); err != nil || a.Port() == 0 {
			r.add("Address", "%q is not an IP address and port such as 10.0.0.1:8080", truncate(t.Address, maximumNameBytes))
		} else if other, ok := addresses[a.String()]; ok {
			r.add("Address", "%s is also the address of %q", t.Address, other)
		} else {
			addresses[a.String()] = r.entry
		}
		checkName(r, "Zone", t.Zone, nil)
		checkRange(r, "Slots", int64(t.Slots), 1, maximumSlots)
		checkRange(r, "Connections", int64(t.Connections), 1, maximumConnections)
	}
}

func validatePolicy(p Policy, r reporter) {
	checkRange(r, "Floor", int64(p.Floor), 1, 100)
	checkRange(r, "RetryPercent", int64(p.RetryPercent), 0, 100)
	checkRange(r, "QueueLength", int64(p.QueueLength), 0, maximumQueueLength)
	checkDuration(r, "QueueWait", p.QueueWait, 0, maximumQueueWait)
	checkDuration(r, "StrikeTerm", p.StrikeTerm, minimumStrikeTerm, maximumStrikeTerm)
	checkRange(r, "MaximumBody", p.MaximumBody, 1, maximumBodyBytes)
}

func checkCount(r reporter, what string, count, limit int) {
	if count > limit {
		r.add("", "%d %s exceed the limit of %d", count, what, limit)
	}
}

func checkRange(r reporter, field string, value, low, high int64) {
	if value < low || value > high {
		r.add(field, "%d is not within %d to %d", value, low, high)
	}
}

func checkDuration(r reporter, field string, value, low, high time.Duration) {
	if value < low || value > high {
		r.add(field, "%v is not within %v to %v", value, low, high)
	}
}

// checkName checks the characters and length of a name and, unless seen is nil,
// that it is not in seen yet. Names appear in headers and log lines, so only plain
// characters are allowed.
func checkName(r reporter, field, name string, seen map[string]bool) {
	if name == "" {
		r.add(field, "it is missing")
		return
	}
	if len(name) > maximumNameBytes {
		r.add(field, "%d bytes exceed the limit of %d", len(name), maximumNameBytes)
	}
	if strings.IndexFunc(name, isNotNameCharacter) >= 0 {
		r.add(field, "%q has characters other than letters, digits, dot, underscore and hyphen", truncate(name, maximumNameBytes))
	}
	if seen == nil {
		return
	}
	if seen[name] {
		r.add(field, "%q appears twice", truncate(name, maximumNameBytes))
	}
	seen[name] = true
}

func isNotNameCharacter(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return false
	}
	return c != '.' && c != '_' && c != '-'
}
