// Package evacuation tracks the zones whose targets get no requests because an operator has
// requested that.
//
// An evacuation begins when its key is in the store and ends when the key is removed. If the
// store is set back to an earlier content that lacks the key, the evacuation stays in force for
// one minute, or until the key is written or removed: the operator has not ended it.
//
// Zones accesses neither the network nor the clock, and is not safe for concurrent use.
//
// # Usage
//
//	z := evacuation.New()
//	z.Begin(now, "mill")
//	if z.Evacuated(now, "mill") {
//		// Send nothing to targets of the zone.
//	}
//	z.End(now, "mill", setBack)
//	for _, zone := range z.Expire(now) {
//		// Log that the evacuation of the zone has ended.
//	}
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// lostTerm is how long an evacuation stays in force that the store has lost. Operators write
// again what was lost, and instances need no more than seconds to learn that.
const lostTerm = time.Minute

// Zones holds the evacuated zones.
type Zones struct {
	// until holds when each evacuation ends, or zero if that isn't known.
	until map[string]time.Duration
}

// New returns Zones without any evacuation.
func New() *Zones {
	return &Zones{
		until: map[string]time.Duration{},
	}
}

// Begin records that the store holds the key of a zone. It reports whether the zone was not
// evacuated before.
func (z *Zones) Begin(now time.Duration, zone string) bool {
	before := z.Evacuated(now, zone)
	z.until[zone] = 0
	return !before
}

// End records that the key of a zone is gone from the store. setBack says that the store was set
// back. End reports whether the evacuation has ended.
func (z *Zones) End(now time.Duration, zone string, setBack bool) bool {
	until, ok := z.until[zone]
	switch {
	case !ok:
		return false
	case !setBack:
		delete(z.until, zone)
		return true
	case until == 0:
		z.until[zone] = now + lostTerm
	}
	return false
}

// Evacuated reports whether the targets of a zone get no requests.
func (z *Zones) Evacuated(now time.Duration, zone string) bool {
	until, ok := z.until[zone]
	return ok && (until == 0 || now < until)
}

// Any reports whether any zone may be evacuated.
func (z *Zones) Any() bool { return len(z.until) > 0 }

// List returns the evacuated zones, sorted.
func (z *Zones) List(now time.Duration) []string {
	var list []string
	for _, zone := range slices.Sorted(maps.Keys(z.until)) {
		if z.Evacuated(now, zone) {
			list = append(list, zone)
		}
	}
	return list
}

// Expire forgets the evacuations that the store has lost for too long, and returns their zones,
// sorted.
func (z *Zones) Expire(now time.Duration) []string {
	var ended []string
	for _, zone := range slices.Sorted(maps.Keys(z.until)) {
		if !z.Evacuated(now, zone) {
			delete(z.until, zone)
			ended = append(ended, zone)
		}
	}
	return ended
}
