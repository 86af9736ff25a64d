package document

import (
	"encoding/hex"
	"time"
)

// The JSON encodings of the sections' entries. Their fields are named as those of
// the types in document.go.
type (
	wireOrganisation struct {
		Name       string
		KeyDigests []string
	}
	wireRate struct {
		Organisation string
		PerSecond    float64
		Burst        int
	}
	wireRoute struct {
		Name       string
		Host       string
		PathPrefix string
		Methods    []string
		Service    string
		Open       bool
		Repeatable string
		Timeout    string
		Cost       int
		Key        wireKeyLocation
	}
	wireKeyLocation struct {
		Place string
		Name  string
	}
	wireService struct {
		Name    string
		Floor   int
		Targets []wireTarget
	}
	wireTarget struct {
		Name        string
		Address     string
		Zone        string
		Slots       int
		Connections int
		Leaving     bool
	}
	wirePolicy struct {
		Floor        int
		RetryPercent int
		QueueLength  int
		QueueWait    string
		StrikeTerm   string
		MaximumBody  int64
	}
)

// repeatableNames and placeNames are the texts of the enumerations, indexed by
// value.
var (
	repeatableNames = []string{"ByMethod", "Always", "Never"}
	placeNames      = []string{"Header", "Query", "Cookie", "Bearer"}
)

func toWireOrganisation(o Organisation) wireOrganisation {
	return wireOrganisation{
		Name: o.Name,
		KeyDigests: mapSlice(o.KeyDigests, func(d KeyDigest) string {
			return hex.EncodeToString(d[:])
		}),
	}
}

func (w wireOrganisation) toOrganisation(index int, r reporter) Organisation {
	r = r.forEntry(w.Name, index)
	o := Organisation{
		Name: w.Name,
	}
	for _, text := range w.KeyDigests {
		var d KeyDigest
		if n, err := hex.Decode(d[:], []byte(truncate(text, 2*len(d)))); err != nil || n != len(d) || len(text) != 2*len(d) {
			r.add("KeyDigests", "%q is not a SHA-256 digest of 64 hexadecimal digits; dandelionctl key prints one", truncate(text, 80))
			continue
		}
		o.KeyDigests = append(o.KeyDigests, d)
	}
	return o
}

func toWireRate(r Rate) wireRate { return wireRate(r) }

func (w wireRate) toRate(int, reporter) Rate { return Rate(w) }

func toWireRoute(r Route) wireRoute {
	return wireRoute{
		Name:       r.Name,
		Host:       r.Host,
		PathPrefix: r.PathPrefix,
		Methods:    r.Methods,
		Service:    r.Service,
		Open:       r.Open,
		Repeatable: enumText(repeatableNames, int(r.Repeatable)),
		Timeout:    r.Timeout.String(),
		Cost:       r.Cost,
		Key: wireKeyLocation{
			Place: enumText(placeNames, int(r.Key.Place)),
			Name:  r.Key.Name,
		},
	}
}

func (w wireRoute) toRoute(index int, r reporter) Route {
	r = r.forEntry(w.Name, index)
	return Route{
		Name:       w.Name,
		Host:       w.Host,
		PathPrefix: w.PathPrefix,
		Methods:    w.Methods,
		Service:    w.Service,
		Open:       w.Open,
		Repeatable: Repeatable(parseEnum(repeatableNames, w.Repeatable, "Repeatable", r)),
		Timeout:    parseDuration(w.Timeout, "Timeout", r),
		Cost:       w.Cost,
		Key: KeyLocation{
			Place: KeyPlace(parseEnum(placeNames, w.Key.Place, "Key.Place", r)),
			Name:  w.Key.Name,
		},
	}
}

func toWireService(s Service) wireService {
	return wireService{
		Name:  s.Name,
		Floor: s.Floor,
		Targets: mapSlice(s.Targets, func(t Target) wireTarget {
			return wireTarget(t)
		}),
	}
}

func (w wireService) toService(int, reporter) Service {
	return Service{
		Name:  w.Name,
		Floor: w.Floor,
		Targets: mapSlice(w.Targets, func(t wireTarget) Target {
			return Target(t)
		}),
	}
}

func toWirePolicy(p Policy) wirePolicy {
	return wirePolicy{
		Floor:        p.Floor,
		RetryPercent: p.RetryPercent,
		QueueLength:  p.QueueLength,
		QueueWait:    p.QueueWait.String(),
		StrikeTerm:   p.StrikeTerm.String(),
		MaximumBody:  p.MaximumBody,
	}
}

func (w wirePolicy) toPolicy(r reporter) Policy {
	return Policy{
		Floor:        w.Floor,
		RetryPercent: w.RetryPercent,
		QueueLength:  w.QueueLength,
		QueueWait:    parseDuration(w.QueueWait, "QueueWait", r),
		StrikeTerm:   parseDuration(w.StrikeTerm, "StrikeTerm", r),
		MaximumBody:  w.MaximumBody,
	}
}

// enumText returns the text of an enumeration's value, or an empty text if the
// value is out of range, which Validate reports.
func enumText(names []string, value int) string {
	if value < 0 || value >= len(names) {
		return ""
	}
	return names[value]
}

// parseEnum returns the enumeration value with the given text. An empty text
// means the first value.
func parseEnum(names []string, text, field string, r reporter) int {
	if text == "" {
		return 0
	}
	for i, n := range names {
		if n == text {
			return i
		}
	}
	r.add(field, "%q is none of %v", truncate(text, 80), names)
	return 0
}

// parseDuration parses a duration. An empty text means zero.
func parseDuration(text, field string, r reporter) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.add(field, "%q is not a duration such as \"2s\" or \"150ms\"", truncate(text, 80))
	}
	return d
}

// truncate returns at most the first length bytes of a text, for use in a message.
func truncate(text string, length int) string {
	if len(text) > length {
		return text[:length]
	}
	return text
}
