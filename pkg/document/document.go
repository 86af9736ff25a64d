package document

import "time"

// Document is the whole configuration at one revision.
type Document struct {
	// Revision grows with each accepted change; zero means no document.
	Revision      uint64
	Organisations []Organisation
	Rates         []Rate
	Routes        []Route
	Services      []Service
	Policy        Policy
}

// Organisation is a tenant with its keys.
type Organisation struct {
	// Name is unique among organisations.
	Name string
	// KeyDigests are the digests of the keys in force. A withdrawn key's digest
	// is removed.
	KeyDigests []KeyDigest
	// Priority, if set, goes before the priority of routes.
	Priority *int
}

// KeyDigest is the SHA-256 digest of a caller's key.
type KeyDigest [32]byte

// Rate limits an organisation over the whole fleet. An organisation without a
// rate is refused on all routes that are not open.
type Rate struct {
	Organisation string
	// PerSecond is in cost units a second, above zero.
	PerSecond float64
	// Burst is in cost units, one at least.
	Burst int
}

// Route leads requests to a service. The longest matching PathPrefix wins;
// among equals, a route that names the host wins.
type Route struct {
	// Name is unique among routes.
	Name string
	// Host is matched in full, without port; empty matches any.
	Host string
	// PathPrefix begins with a slash and matches whole path elements.
	PathPrefix string
	// Methods limits the route to these; empty means all.
	Methods []string
	// Service is the name of the service that serves the route; empty if Split
	// is set.
	Service string
	// Split divides the route's requests among services by weight.
	Split []WeightedService
	// Attempts bounds the targets that one request may be sent to; zero leaves
	// it to the instance.
	Attempts int
	// Priority ranks the route's requests; zero is the most urgent.
	Priority int
	// Objective is the latency within which an answer is worth the most; zero
	// means none.
	Objective time.Duration
	// Open routes need no key and have no organisation.
	Open bool
	// Repeatable tells whether a request may run more than once.
	Repeatable Repeatable
	// Timeout bounds a request from its arrival to the answer's last byte.
	Timeout time.Duration
	// Cost is what one request takes from its organisation's bucket, in units;
	// zero counts as one.
	Cost int
	// Key says where callers put their key.
	Key KeyLocation
}

// WeightedService is one service of a split route.
type WeightedService struct {
	Service string
	// Weight is the service's part of the sum of all weights, above zero.
	Weight int
}

// Repeatable says whether requests of a route may run more than once.
type Repeatable int

// Values of Repeatable.
const (
	// ByMethod makes GET, HEAD and OPTIONS repeatable, and no others.
	ByMethod Repeatable = iota
	// Always makes every method repeatable.
	Always
	// Never makes no method repeatable.
	Never
)

// KeyLocation says where a request carries its key. The zero value is the
// header X-Api-Key.
type KeyLocation struct {
	Place KeyPlace
	// Name is of the header, query parameter or cookie; empty means X-Api-Key.
	Name string
}

// KeyPlace is a part of a request that may carry a key.
type KeyPlace int

// Values of KeyPlace.
const (
	InHeader KeyPlace = iota
	InQuery
	InCookie
	// InBearer is the Authorization header with the scheme Bearer.
	InBearer
)

// Service is a group of targets that serve the same requests.
type Service struct {
	// Name is unique among services.
	Name    string
	Targets []Target
	// Floor is the healthy capacity, in percent of all slots not leaving, below
	// which no ejection may take the service; 0 takes the policy's.
	Floor int
}

// Target is one server of a service.
type Target struct {
	// Name is unique in its service.
	Name string
	// Address is "IP:port".
	Address string
	Zone    string
	// Slots is how many requests the target runs at a time.
	Slots int
	// Connections is how many connections the target takes from the whole fleet.
	Connections int
	// Leaving targets get no new work.
	Leaving bool
}

// Policy holds what applies to the whole fleet.
type Policy struct {
	// Floor is the default of Service.Floor, in percent from 1 to 100.
	Floor int
	// RetryPercent bounds retries, in percent of recent successes.
	RetryPercent int
	// QueueLength bounds the requests that wait for one service on one
	// instance.
	QueueLength int
	// QueueWait bounds how long a request waits for a slot.
	QueueWait time.Duration
	// StrikeTerm is how long a request that crashed targets stays refused.
	StrikeTerm time.Duration
	// MaximumBody bounds a request's body, in bytes.
	MaximumBody int64
}

// Section is a part of the document that one team owns.
type Section string

// The sections.
const (
	Organisations Section = "Organisations"
	Rates         Section = "Rates"
	Routes        Section = "Routes"
	Services      Section = "Services"
	PolicySection Section = "Policy"
)

// Sections lists all sections in the order of the document.
var Sections = []Section{Organisations, Rates, Routes, Services, PolicySection}
