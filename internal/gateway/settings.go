package gateway

import (
	"net"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/store"
	"dandelionmux/pkg/target"
)

// Settings are the settings of an instance.
type Settings struct {
	// Name is the instance's name in logs.
	Name string
	// Build names the build that runs, for logs and counters; empty if that isn't known.
	Build string
	Zone  string
	// Zones is the number of zones in the deployment.
	Zones int
	// EntryAddress serves callers, ReadyAddress the balancer's readiness checks,
	// PeerAddress other instances (TCP and UDP) and MetricsAddress the counters.
	// Each is "IP:port".
	EntryAddress   string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// Capacity is how much work the instance can do, in processor cores; zero if that isn't
	// known. Instances with more of it read the store for the others.
	Capacity float64
	// MemoryBytes is the memory that the process may use; zero if that isn't known. What it
	// holds for requests is bounded by a part of it.
	MemoryBytes int64
	// StoreAddress is the address of the platform's store, "IP:port".
	StoreAddress string
	// MinLeaseTerm is the shortest lease term that the store grants.
	MinLeaseTerm time.Duration
	// StopTimeout is the longest time that the process may take to exit after a stop
	// signal.
	StopTimeout time.Duration
	// MaxConfigurationAge is how long a configuration may be used after the last
	// confirmation that it is the newest.
	MaxConfigurationAge time.Duration
	// RetryRatio, BaseRetries and RetryWindow limit the retries to a service over the
	// whole fleet: within a RetryWindow to at most RetryRatio times the requests begun,
	// plus BaseRetries.
	RetryRatio  float64
	BaseRetries float64
	RetryWindow time.Duration
	// RateTolerance is what the fleet may grant beyond an organisation's rate.
	RateTolerance meter.Tolerance
	// WarmUpOverage and WarmUpSlack are the factor and the number of requests that a cold target
	// may get beyond its service's limit in one second. If WarmUpOverage isn't positive, cold
	// targets aren't limited.
	WarmUpOverage float64
	WarmUpSlack   float64
	// EvacuationTime is how long after an operator's request to evacuate a zone its targets may
	// still get requests; zero stands for MaxConfigurationAge.
	EvacuationTime time.Duration
}

// maxContentAge returns how long the content of the store may be used after the last
// confirmation that it is the newest.
func (s Settings) maxContentAge() time.Duration {
	if s.EvacuationTime > 0 {
		return min(s.MaxConfigurationAge, s.EvacuationTime)
	}
	return s.MaxConfigurationAge
}

// Check returns an error that names the first invalid setting, or nil.
func (s Settings) Check() error {
	for _, a := range []struct{ name, value string }{
		{"EntryAddress", s.EntryAddress},
		{"ReadyAddress", s.ReadyAddress},
		{"PeerAddress", s.PeerAddress},
		{"MetricsAddress", s.MetricsAddress},
		{"StoreAddress", s.StoreAddress},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return errors.Wrapf(err, "settings: %s", a.name)
		}
	}
	switch {
	case s.Zone == "":
		return errors.New("settings: Zone: must not be empty")
	case s.MaxConfigurationAge <= configurationAgeMargin:
		return errors.Errorf("settings: MaxConfigurationAge: %s is not more than %s", s.MaxConfigurationAge, configurationAgeMargin)
	case s.maxContentAge() <= configurationAgeMargin:
		return errors.Errorf("settings: EvacuationTime: %s is not more than %s", s.EvacuationTime, configurationAgeMargin)
	case s.StopTimeout <= 0:
		return errors.Errorf("settings: StopTimeout: %s is not more than zero", s.StopTimeout)
	case s.RetryWindow <= 0:
		return errors.Errorf("settings: RetryWindow: %s is not more than zero", s.RetryWindow)
	}
	return nil
}

// Adapters connect the gateway to the store, headers and formats of a deployment.
type Adapters struct {
	Store   store.Client
	Dialect entry.Dialect
	// ConfigurationKey is the store key of the operators' configuration, and
	// TargetPrefix the prefix of the keys of the targets' registrations.
	ConfigurationKey string
	TargetPrefix     string
	// EvacuationPrefix is the prefix of the keys that request the evacuation of the zone whose
	// name follows; empty if there are none.
	EvacuationPrefix string
	// DecodeConfiguration and DecodeTarget decode the values of these keys.
	DecodeConfiguration func(value []byte) (document.Document, error)
	DecodeTarget        func(key string, value []byte) (target.Registration, error)
}
