package zoneload

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// NeverReceived is the age of a report that was never received.
	NeverReceived = time.Duration(math.MaxInt64)

	// transit is by how much a report may be late without being discounted.
	transit = 50 * time.Millisecond
	// expiredAfter is the age at which a report says nothing any more: three calm intervals,
	// so that two lost messages don't count as silence.
	expiredAfter = 3 * calmInterval
	// probeInterval is the time between requests to a zone of which nothing is known.
	probeInterval = 250 * time.Millisecond
	// declinedPause is how long a zone gets nothing after it declined, unless it reports.
	declinedPause = 100 * time.Millisecond
	// answerLimit is the time after the round trip in which a request was declined or counted as
	// unanswered, which takes 25 ms and the way to the allocator.
	answerLimit = 50 * time.Millisecond
	// unansweredPause is how long a zone gets nothing after it declined twice in a row.
	unansweredPause = time.Second
)

// State is a Report with its age and what may still be sent to the zone.
type State struct {
	Report
	// Age is the time since the report was received, or NeverReceived.
	Age time.Duration
	// Free is what may still be sent to the zone.
	Free int
}

// Table holds the reports of other zones. It is not safe for concurrent use.
type Table struct {
	zone    string
	trips   *RoundTrips
	records map[key]*record
	swept   time.Duration
}

type key struct {
	service string
	zone    string
}

// New returns an empty table of an allocator in a zone.
func New(zone string, options ...Option) *Table {
	t := &Table{
		zone:    zone,
		trips:   NewRoundTrips(),
		records: make(map[key]*record),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Receive records a report. It replaces the one before.
func (t *Table) Receive(now time.Duration, r Report) {
	if r.Zone == t.zone {
		return
	}
	t.record(now, r.Service, r.Zone).receive(now, r, t.trips.Estimate(now, r.Zone))
}

// Vacated records a report that a zone sends because slots are free again after it has declined a
// request. It ends the pauses after requests that were declined.
func (t *Table) Vacated(now time.Duration, r Report) {
	if r.Zone == t.zone {
		return
	}
	t.Receive(now, r)
	t.record(now, r.Service, r.Zone).pausedUntil = now
}

// Sent records that one request was sent to a zone.
func (t *Table) Sent(now time.Duration, service, zone string) {
	t.record(now, service, zone).send(now)
}

// Declined records that a zone had no capacity after all, or did not answer in time.
func (t *Table) Declined(now time.Duration, service, zone string) {
	t.record(now, service, zone).decline(now, t.trips.Estimate(now, zone))
}

// Accepted records that a zone granted a slot. It is optional: a request counts as accepted that was
// neither declined nor unanswered after its round trip.
func (t *Table) Accepted(now time.Duration, service, zone string) {
	t.record(now, service, zone).declines = 0
}

// Zones returns the state of a service in the known zones except the table's own, in their order.
func (t *Table) Zones(now time.Duration, service string, known []string) []State {
	states := make([]State, 0, len(known))
	for _, zone := range known {
		if zone == t.zone {
			continue
		}
		states = append(states, t.state(now, service, zone))
	}
	return states
}

func (t *Table) state(now time.Duration, service, zone string) State {
	r, ok := t.records[key{service: service, zone: zone}]
	if !ok {
		r = &record{}
	}
	s := State{
		Report: r.report,
		Age:    r.age(now),
		Free:   r.free(now, t.trips.Estimate(now, zone)),
	}
	s.Service, s.Zone = service, zone
	return s
}

// Retain forgets the services and zones for which isKnown is false.
func (t *Table) Retain(isKnown func(service, zone string) bool) {
	maps.DeleteFunc(t.records, func(k key, _ *record) bool { return !isKnown(k.service, k.zone) })
}

// Len returns the number of services in zones that the table knows.
func (t *Table) Len() int {
	return len(t.records)
}

// record returns the record of a service in a zone, and drops those that were not used for
// forgottenAfter, at most once in that time.
func (t *Table) record(now time.Duration, service, zone string) *record {
	if now-t.swept >= forgottenAfter {
		t.swept = now
		maps.DeleteFunc(t.records, func(_ key, r *record) bool { return now-r.used >= forgottenAfter })
	}
	k := key{service: service, zone: zone}
	r, ok := t.records[k]
	if !ok {
		r = &record{}
		t.records[k] = r
	}
	r.used = now
	return r
}

// record is what is known of a service in one zone.
type record struct {
	report   Report
	heard    bool
	received time.Duration
	used     time.Duration
	// sent holds when the requests were sent that may still be there, oldest first.
	sent []time.Duration
	// included counts those of them that the report includes in its slots in use.
	included int
	// lastSent is when the last request was sent; wasSent says that there is one.
	lastSent time.Duration
	wasSent  bool
	// burst is what was sent since the zone last declined.
	burst burst
	// declines counts the bursts in a row of which nothing was accepted.
	declines int
	// declinedUntil ends with the next report, pausedUntil only with one that slots are free again.
	declinedUntil time.Duration
	pausedUntil   time.Duration
}

// burst counts the requests that were sent after the zone declined, and the declined among them. They
// end with the first that is sent after one was declined: those that were in flight together are one
// finding about the zone.
type burst struct {
	begun    time.Duration
	sent     int
	declined int
}

// receive records a report. A request that was sent less than a round trip ago had not arrived when
// the report was sent.
func (r *record) receive(now time.Duration, report Report, roundTrip time.Duration) {
	r.report = report
	r.heard = true
	r.received = now
	r.declinedUntil = now
	r.included = 0
	end := r.stay(roundTrip)
	r.sent = slices.DeleteFunc(r.sent, func(at time.Duration) bool { return now-at >= end })
	for _, at := range r.sent {
		if now-at >= roundTrip {
			r.included++
		}
	}
}

// stay returns how long a request counts that was sent to the zone: until it has ended, if it takes
// the mean time, or until a report includes it if that time isn't known.
func (r *record) stay(roundTrip time.Duration) time.Duration {
	return max(0, r.report.ServiceTime) + roundTrip
}

// send records a request. No more are kept than the zone has slots: that many leave none free.
func (r *record) send(now time.Duration) {
	if r.burst.sent == 0 || r.burst.declined > 0 {
		r.beginBurst(now)
	}
	r.burst.sent++
	r.lastSent = now
	r.wasSent = true
	r.sent = append(r.sent, now)
	if extra := len(r.sent) - max(1, r.report.Slots); extra > 0 {
		r.sent = slices.Delete(r.sent, 0, extra)
	}
}

func (r *record) beginBurst(now time.Duration) {
	if r.burst.sent > r.burst.declined {
		r.declines = 0
	}
	r.burst = burst{
		begun: now,
	}
}

// decline records a declined request. Only the first of a burst counts as one in a row, and only if
// the burst's first request can't have been accepted.
func (r *record) decline(now, roundTrip time.Duration) {
	r.burst.declined++
	if r.burst.declined == 1 {
		if now-r.burst.begun > roundTrip+answerLimit {
			r.declines = 0
		}
		r.declines++
	}
	if n := len(r.sent); n > 0 {
		r.sent = r.sent[:n-1]
	}
	r.declinedUntil = now + declinedPause
	if r.declines > 1 {
		r.pausedUntil = now + unansweredPause
	}
}

func (r *record) age(now time.Duration) time.Duration {
	if !r.heard {
		return NeverReceived
	}
	return now - r.received
}

// free returns how many requests may still be sent to the zone.
func (r *record) free(now, roundTrip time.Duration) int {
	if now < r.pausedUntil || now < r.declinedUntil {
		return 0
	}
	// The requests that the report includes may have ended before it: all that have ended together
	// leave no more slots than the zone has beyond its reserve.
	most := r.report.Slots - Reserve(r.report.Slots)
	spare := min(r.report.Spare()+r.included-r.pending(now, roundTrip), most)
	if n := int(math.Round(float64(spare) * r.discount(now))); n > 0 {
		return n
	}
	if spare > 0 || r.age(now) >= expiredAfter {
		return r.probe(now)
	}
	return 0
}

// pending counts the requests that were sent to the zone and are still there. Those that the report
// includes and that have ended since leave a free slot: if only what was sent since the report
// counted, a zone would get many requests after one report and few after the next.
func (r *record) pending(now, roundTrip time.Duration) int {
	if r.report.ServiceTime <= 0 {
		return len(r.sent)
	}
	count := 0
	for _, at := range r.sent {
		if now-at < r.stay(roundTrip) {
			count++
		}
	}
	return count
}

// discount returns the part of the report's free slots that counts: all until the next report is
// overdue, and half as much after each further interval.
func (r *record) discount(now time.Duration) float64 {
	interval := r.report.interval()
	overdue := r.age(now) - interval - transit
	if overdue <= 0 {
		return 1
	}
	return math.Exp2(-float64(overdue) / float64(interval))
}

// probe returns 1 if no request was sent to the zone for probeInterval, and else 0.
func (r *record) probe(now time.Duration) int {
	if r.wasSent && now-r.lastSent < probeInterval {
		return 0
	}
	return 1
}
