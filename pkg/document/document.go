package document

import "time"

// Document is the whole configuration at one revision.
type Document struct {
	// Revision increases with each accepted change; zero means that there is no
	// document yet.
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
	// KeyDigests are the digests of the valid keys. To withdraw a key, operators
	// remove its digest.
	KeyDigests []KeyDigest
	// Priority, if set, takes precedence over the priority of routes.
	Priority *int
}

// KeyDigest is the SHA-256 digest of a caller's key.
type KeyDigest [32]byte

// Rate is the rate limit of an organisation over the whole fleet, a token bucket.
// Requests of an organisation without a rate are refused on all routes that are
// not open.
type Rate struct {
	Organisation string
	// PerSecond is the sustained rate in cost units per second, above zero.
	PerSecond float64
	// Burst is the size of the bucket in cost units, at least one.
	Burst int
}

// Route assigns requests to a service. If several routes match a request, the
// one with the longest PathPrefix wins; among those, one that names the host.
type Route struct {
	// Name is unique among routes.
	Name string
	// Host is compared with the whole host of the request, without its port;
	// empty matches any host.
	Host string
	// PathPrefix begins with a slash. One that ends with a slash matches the paths that begin
	// with it, another one itself and the paths in which more elements follow.
	PathPrefix string
	// Methods are the methods that the route matches; empty means all.
	Methods []string
	// Service is the name of the service that serves the route; empty if Split
	// is set.
	Service string
	// Split divides the route's requests among services by weight.
	Split []WeightedService
	// Attempts is the maximum number of targets that one request may be sent to;
	// zero leaves the choice to the instance.
	Attempts int
	// Priority is the priority of the route's requests; zero is the most urgent.
	Priority int
	// Objective is the latency up to which an answer has its full value; zero
	// means that there is none.
	Objective time.Duration
	// Open is set if requests need no key. They belong to no organisation then.
	Open bool
	// Repeatable says whether a request may run more than once.
	Repeatable Repeatable
	// Timeout is the maximum time from the arrival of a request to the last byte
	// of its answer.
	Timeout time.Duration
	// Cost is the number of cost units that one request takes from its
	// organisation's bucket; zero counts as one.
	Cost int
	// Key says where requests carry the caller's key.
	Key KeyLocation
}

// WeightedService is one service of a split route.
type WeightedService struct {
	Service string
	// Weight is above zero. The service gets the fraction Weight / sum of all
	// weights of the requests.
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
	// Name is the name of the header, query parameter or cookie. An empty name
	// means X-Api-Key.
	Name string
}

// KeyPlace is the part of a request that carries the key.
type KeyPlace int

// Values of KeyPlace.
const (
	InHeader KeyPlace = iota
	InQuery
	InCookie
	// InBearer means the Authorization header with the scheme Bearer.
	InBearer
)

// Service is a group of targets that serve the same requests.
type Service struct {
	// Name is unique among services.
	Name    string
	Targets []Target
	// Floor is the minimum healthy capacity, in percent of the slots of all
	// targets that are not leaving. No target is ejected if that would take the
	// service below it. 0 means the floor of the policy.
	Floor int
	// WarmUp is how long a target is cold after it starts, and WarmUpPerSecond the number of
	// requests a second that it tolerates then. If either isn't positive, there is no limit.
	WarmUp          time.Duration
	WarmUpPerSecond float64
}

// Target is one server of a service.
type Target struct {
	// Name is unique within the service.
	Name string
	// Address is "IP:port".
	Address string
	Zone    string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Connections is the number of connections that the target accepts from the
	// whole fleet.
	Connections int
	// Leaving is set if the target is to get no new requests.
	Leaving bool
}

// Policy holds the settings that apply to the whole fleet.
type Policy struct {
	// Floor is the default of Service.Floor, in percent, from 1 to 100.
	Floor int
	// RetryPercent is the maximum number of retries, in percent of recent
	// successes.
	RetryPercent int
	// QueueLength is the maximum number of requests that wait for one service on
	// one instance.
	QueueLength int
	// QueueWait is the maximum time that a request waits for a slot.
	QueueWait time.Duration
	// StrikeTerm is the time for which a request that crashed targets is refused.
	StrikeTerm time.Duration
	// MaximumBody is the maximum size of a request's body, in bytes.
	MaximumBody int64
}

// Section is a part of the document that one team owns.
type Section string

// Sections of the document.
const (
	Organisations Section = "Organisations"
	Rates         Section = "Rates"
	Routes        Section = "Routes"
	Services      Section = "Services"
	PolicySection Section = "Policy"
)

// Sections lists all sections in the order of the document.
var Sections = []Section{Organisations, Rates, Routes, Services, PolicySection}
