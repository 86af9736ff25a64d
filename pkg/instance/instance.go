package instance

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Address is an instance's peer address, "IP:port". It identifies the instance
// and is unique in the fleet at any one time.
type Address string

// IsValid reports whether a is the address of one host, as an IP, and a port from 1 to 65535.
func (a Address) IsValid() bool {
	parsed, err := netip.ParseAddrPort(string(a))
	return err == nil && parsed.Port() > 0 && !parsed.Addr().IsUnspecified() && !parsed.Addr().IsMulticast()
}

// ID identifies one run of an instance.
type ID struct {
	// Address is the address on which the run listens for its peers.
	Address Address
	// Incarnation increases with each run at the same address. Zero means that
	// the run is unknown.
	Incarnation uint64
}

// Info describes one run of an instance.
type Info struct {
	ID
	// Zone is the availability zone, from the instance's settings.
	Zone string
	// Region is the region, from the instance's settings.
	Region string
	// Leaving is set once the instance has begun a graceful stop.
	Leaving bool
}

// Hash returns the key that Rank takes for an object of the given kind and
// number, such as shard 17. All instances must compute the same keys.
func Hash(kind string, number uint64) uint64 {
	return mix(xxhash.Sum64String(kind) ^ mix(number))
}

// Rank returns the members in the order of their rendezvous scores for the key,
// highest first. It does not modify members. The order depends only on the
// addresses, so a restarted instance keeps its rank, and the loss of one member
// moves only that member's keys.
func Rank(key uint64, members []Info) []Info {
	type scored struct {
		info  Info
		score uint64
	}
	order := make([]scored, len(members))
	for i, m := range members {
		order[i] = scored{
			info:  m,
			score: Score(key, m.Address),
		}
	}
	slices.SortFunc(order, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.info.Address, b.info.Address)
	})
	ranked := make([]Info, len(order))
	for i, s := range order {
		ranked[i] = s.info
	}
	return ranked
}

// Score returns the rendezvous score of an address for a key.
func Score(key uint64, address Address) uint64 {
	return mix(key ^ xxhash.Sum64String(string(address)))
}

// mix is the 64-bit finaliser of MurmurHash3: each bit of x affects all bits of
// the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
