package zoneload

import (
	"maps"
	"time"
)

const (
	// defaultRoundTrip is assumed between zones until it has been measured.
	defaultRoundTrip = 20 * time.Millisecond
	// longestRoundTrip is the longest that is believed. An echo from before a restart at the
	// same address gives arbitrary times.
	longestRoundTrip = time.Second
	// smoothing is the divisor of a new sample's weight, as for TCP's (RFC 6298).
	smoothing = 8
	// staleAfter is the age from which an estimate counts only if it exceeds the default, and
	// from which the next sample replaces it.
	staleAfter = 10 * time.Second
	// forgottenAfter is the age at which estimates, echoes and reports are dropped.
	forgottenAfter = time.Minute
)

// Stamp is the part of a zone load message from which its receiver learns the round trip.
type Stamp struct {
	// Sent is when the message was sent, by its sender's clock.
	Sent time.Duration
	// Echo is the last Sent that the sender received from the receiver, by the receiver's
	// clock, or zero if there is none.
	Echo time.Duration
	// Held is the time between that receipt and the sending of this message.
	Held time.Duration
}

// RoundTrips estimates the round trips to other zones. Only differences of times of the same clock
// count, so that the instances' clocks needn't agree.
type RoundTrips struct {
	zones map[string]estimate
	peers map[string]echo
	swept time.Duration
}

type estimate struct {
	mean  time.Duration
	taken time.Duration
}

type echo struct {
	sent     time.Duration
	received time.Duration
}

// NewRoundTrips returns estimates without samples.
func NewRoundTrips() *RoundTrips {
	return &RoundTrips{
		zones: make(map[string]estimate),
		peers: make(map[string]echo),
	}
}

// Receive records the stamp of a message from a peer, an instance in a zone.
func (r *RoundTrips) Receive(now time.Duration, zone, peer string, s Stamp) {
	r.sweep(now)
	r.peers[peer] = echo{
		sent:     s.Sent,
		received: now,
	}
	if s.Echo <= 0 || s.Held < 0 {
		return
	}
	if sample := now - s.Echo - s.Held; sample >= 0 && sample <= longestRoundTrip {
		r.observe(now, zone, sample)
	}
}

func (r *RoundTrips) observe(now time.Duration, zone string, sample time.Duration) {
	e, known := r.zones[zone]
	if known && now-e.taken < staleAfter {
		sample = e.mean + (sample-e.mean)/smoothing
	}
	r.zones[zone] = estimate{
		mean:  sample,
		taken: now,
	}
}

// Stamp returns the stamp of a message that is sent to the peer now.
func (r *RoundTrips) Stamp(now time.Duration, peer string) Stamp {
	s := Stamp{
		Sent: now,
	}
	if e, ok := r.peers[peer]; ok {
		s.Echo = e.sent
		s.Held = now - e.received
	}
	return s
}

// Estimate returns the round trip to the zone.
func (r *RoundTrips) Estimate(now time.Duration, zone string) time.Duration {
	e, known := r.zones[zone]
	switch age := now - e.taken; {
	case !known || age >= forgottenAfter:
		return defaultRoundTrip
	case age >= staleAfter:
		return max(e.mean, defaultRoundTrip)
	default:
		return e.mean
	}
}

// sweep drops what is older than forgottenAfter, at most once in that time.
func (r *RoundTrips) sweep(now time.Duration) {
	if now-r.swept < forgottenAfter {
		return
	}
	r.swept = now
	maps.DeleteFunc(r.zones, func(_ string, e estimate) bool { return now-e.taken >= forgottenAfter })
	maps.DeleteFunc(r.peers, func(_ string, e echo) bool { return now-e.received >= forgottenAfter })
}
