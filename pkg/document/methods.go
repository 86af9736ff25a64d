package document

import (
	"crypto/sha256"
	"net/http"
	"time"
)

// Headers that carry keys.
const (
	defaultKeyHeader = "X-Api-Key"
	bearerHeader     = "Authorization"
)

// DigestKey returns the digest of a caller's key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// MayRepeat reports whether a request with the given method may run more than once.
func (r Route) MayRepeat(method string) bool {
	switch r.Repeatable {
	case Always:
		return true
	case Never:
		return false
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// PickService returns the name of the service for one request: Service, or one of
// Split with a probability proportional to its weight. The draw is a random number,
// uniform in [0, 1).
func (r Route) PickService(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	sum := 0
	for _, p := range r.Split {
		sum += p.Weight
	}
	rest := draw * float64(sum)
	for _, p := range r.Split {
		if rest < float64(p.Weight) {
			return p.Service
		}
		rest -= float64(p.Weight)
	}
	return r.Split[len(r.Split)-1].Service
}

// CostUnits returns the number of cost units that one request takes from its
// organisation's bucket, at least one.
func (r Route) CostUnits() int {
	return max(r.Cost, 1)
}

// FieldName returns the name of the header, query parameter or cookie that carries
// the key.
func (k KeyLocation) FieldName() string {
	if k.Place == InBearer {
		return bearerHeader
	}
	if k.Name == "" {
		return defaultKeyHeader
	}
	return k.Name
}

// EffectiveFloor returns the floor of a service in percent: its own, or the
// policy's if it has none.
func (p Policy) EffectiveFloor(s Service) int {
	if s.Floor != 0 {
		return s.Floor
	}
	return p.Floor
}

// DefaultPolicy returns the policy that applies until operators write the section
// Policy.
func DefaultPolicy() Policy {
	return Policy{
		Floor:        70,
		RetryPercent: 10,
		QueueLength:  128,
		QueueWait:    time.Second,
		StrikeTerm:   10 * time.Minute,
		MaximumBody:  8 << 20,
	}
}
