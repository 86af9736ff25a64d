package spillover

import "time"

const (
	// tripsAway is how many round trips a request takes that leaves: one for the slot request,
	// which is forwarded and whose response goes directly to the instance that waits, and one
	// for the request itself.
	tripsAway = 2
	// equalGain is the difference of gains below which zones count as equal. Round trips
	// between zones vary by as much from one report to the next.
	equalGain = 2 * time.Millisecond
	// minimumGain is the least gain that is worth the price of traffic between zones, as a
	// fraction of the request's objective.
	minimumGain = 0.1
)

// Reasons of decisions, for logs and metrics.
const (
	ReasonFreeSlot  = "free-slot"     // stays: there is a free slot at home
	ReasonNoZone    = "no-zone"       // stays: no other zone has a free slot
	ReasonNoTime    = "no-time"       // stays: its time left doesn't allow the way
	ReasonSmallGain = "small-gain"    // stays: it would gain too little
	ReasonNoTargets = "no-targets"    // leaves: the home zone has no usable target
	ReasonUnserved  = "unserved"      // leaves: its time would end before it is served at home
	ReasonLate      = "late"          // leaves: it would miss its objective at home
	ReasonSooner    = "served-sooner" // leaves: the gain is worth the price
)

// Home is the state of the service in the home zone.
type Home struct {
	Free    int           // free slots
	Waiting int           // requests queued ahead, for logs: Wait includes them
	Wait    time.Duration // expected wait for a slot
	Targets int           // usable targets
}

// Request is what is known of the request.
type Request struct {
	Left        time.Duration // until the caller gives up
	Objective   time.Duration // in which it should be answered, from now; zero if there is none
	ServiceTime time.Duration // expected time at a target
}

// Zone is another zone.
type Zone struct {
	Name      string
	Free      int // how many requests may still be sent there
	RoundTrip time.Duration
}

// Decision is Stay or Leave.
type Decision interface{ decision() }

// Stay keeps the request in its zone.
type Stay struct{ Reason string }

// Leave sends it to another zone.
type Leave struct {
	Zone string
	// Gain is by how much sooner it is served. For a request that isn't served at home at all,
	// it is the time that is left after it was served.
	Gain   time.Duration
	Reason string
}

func (Stay) decision()  {}
func (Leave) decision() {}

// Decide decides where a request goes that finds no free slot in its zone.
func Decide(h Home, r Request, zones []Zone, list ...Option) Decision {
	if h.Free > 0 && h.Targets > 0 {
		return Stay{Reason: ReasonFreeSlot}
	}
	o := newOptions(list)
	free := withFree(zones)
	if len(free) == 0 {
		return Stay{Reason: ReasonNoZone}
	}
	free = inTime(free, r)
	if len(free) == 0 {
		return Stay{Reason: ReasonNoTime}
	}
	best := choose(free, o.draw)
	return weigh(h, r, best)
}

// weigh compares the home zone with another that serves the request in time.
func weigh(h Home, r Request, z Zone) Decision {
	home := h.Wait + r.ServiceTime
	there := timeAt(z, r)
	leave := Leave{
		Zone: z.Name,
		Gain: home - there,
	}
	objective := r.Objective
	if objective <= 0 {
		objective = r.Left
	}
	switch {
	case h.Targets <= 0:
		leave.Gain = r.Left - there
		leave.Reason = ReasonNoTargets
	case home > r.Left:
		leave.Gain = r.Left - there
		leave.Reason = ReasonUnserved
	case home > objective && there <= objective:
		leave.Reason = ReasonLate
	case leave.Gain > 0 && float64(leave.Gain) >= minimumGain*float64(objective):
		leave.Reason = ReasonSooner
	default:
		return Stay{Reason: ReasonSmallGain}
	}
	return leave
}

// timeAt returns when the request would be served in the other zone.
func timeAt(z Zone, r Request) time.Duration {
	return tripsAway*z.RoundTrip + r.ServiceTime
}

func withFree(zones []Zone) []Zone {
	var list []Zone
	for _, z := range zones {
		if z.Free > 0 {
			list = append(list, z)
		}
	}
	return list
}

func inTime(zones []Zone, r Request) []Zone {
	var list []Zone
	for _, z := range zones {
		if timeAt(z, r) <= r.Left {
			list = append(list, z)
		}
	}
	return list
}

// choose returns one of the nearest zones, which have the best gain: with the probability of its part
// of their free slots, so that what allocators send together fits, or the one with the most free
// slots if there is no draw.
func choose(zones []Zone, draw float64) Zone {
	near := nearest(zones)
	if draw < 0 {
		return freest(near)
	}
	total := 0
	for _, z := range near {
		total += z.Free
	}
	at := int(draw * float64(total))
	for _, z := range near {
		if at < z.Free {
			return z
		}
		at -= z.Free
	}
	return near[len(near)-1]
}

func nearest(zones []Zone) []Zone {
	shortest := zones[0].RoundTrip
	for _, z := range zones {
		shortest = min(shortest, z.RoundTrip)
	}
	var list []Zone
	for _, z := range zones {
		if tripsAway*(z.RoundTrip-shortest) < equalGain {
			list = append(list, z)
		}
	}
	return list
}

func freest(zones []Zone) Zone {
	best := zones[0]
	for _, z := range zones {
		if z.Free > best.Free {
			best = z
		}
	}
	return best
}
