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

// Settings is what an instance is told at its start.
type Settings struct {
	// Name is for logs.
	Name string
	Zone string
	// Zones is the number of zones of the deployment.
	Zones int
	// EntryAddress is where callers connect, ReadyAddress where the balancer asks
	// whether the instance takes connections, PeerAddress where other instances
	// connect (TCP and UDP), MetricsAddress where counters are read: "IP:port".
	EntryAddress   string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// StoreAddress is the platform's store, "IP:port".
	StoreAddress string
	// MinLeaseTerm is the shortest lease that the store gives.
	MinLeaseTerm time.Duration
	// StopTimeout is how long after a stop signal the process may live.
	StopTimeout time.Duration
	// MaxConfigurationAge is how long a configuration may be acted on after the last proof
	// that it is the newest.
	MaxConfigurationAge time.Duration
	// RetryRatio and RetryMinimum bound repeated sendings to a service in
	// RetryWindow, over the whole fleet.
	RetryRatio  float64
	MinRetries  float64
	RetryWindow time.Duration
	// RateTolerance is what the fleet may give out beyond a rate.
	RateTolerance meter.Tolerance
}

// Check returns what is wrong with the settings, or nil.
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
		return errors.New("settings: Zone: missing")
	case s.MaxConfigurationAge <= configurationAgeMargin:
		return errors.Errorf("settings: Trust: want more than %s", configurationAgeMargin)
	case s.StopTimeout <= 0:
		return errors.New("settings: StopTimeout: want more than zero")
	case s.RetryWindow <= 0:
		return errors.New("settings: RetryWindow: want more than zero")
	}
	return nil
}

// Adapters translate between a deployment and the product.
type Adapters struct {
	Store   store.Client
	Dialect entry.Dialect
	// ConfigurationKey holds the operators' configuration in the store, and
	// TargetPrefix begins the keys of targets' registrations.
	ConfigurationKey string
	TargetPrefix     string
	// DecodeConfiguration and Target decode their values.
	DecodeConfiguration func(value []byte) (document.Document, error)
	DecodeTarget        func(key string, value []byte) (target.Registration, error)
}
