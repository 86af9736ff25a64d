package zoneload

import "time"

const (
	// shortInterval is the time between the reports of a zone that is short of slots.
	shortInterval = 250 * time.Millisecond
	// calmInterval is the time between the reports of a zone that is not.
	calmInterval = time.Second
	// reservedSlots is how many slots a zone has for each that it keeps for its own callers.
	reservedSlots = 20
	// shortSlots is the divisor of the slots below which a zone is short of free ones.
	shortSlots = 4
)

// Report is the state of a service in a zone, as seen by its allocator.
type Report struct {
	Service     string
	Zone        string
	Targets     int           // healthy targets
	Slots       int           // their slots
	InUse       int           // slots in use
	Waiting     int           // requests waiting for a slot
	ServiceTime time.Duration // mean time that a request holds a slot
}

// Spare returns how many requests of other zones the zone takes: its free slots, less those
// that its own waiting requests need, less its reserve.
func (r Report) Spare() int {
	return max(0, r.Slots-r.InUse-r.Waiting-Reserve(r.Slots))
}

// Reserve returns how many free slots a zone keeps for its own callers: one in 20, at least one.
func Reserve(slots int) int {
	return max(1, slots/reservedSlots)
}

// Due tells whether the allocator that sent its last report at a time should send r now. Active
// says that the service has traffic in the zone, or is used there by another zone.
func Due(now, last time.Duration, r Report, active bool) bool {
	if r.isShort() {
		return now-last >= shortInterval
	}
	return active && now-last >= calmInterval
}

// isShort tells whether fewer than a quarter of the slots are free or requests wait. A zone without
// slots is short only while requests wait.
func (r Report) isShort() bool {
	return r.Waiting > 0 || shortSlots*(r.Slots-r.InUse) < r.Slots
}

// interval is the time after which the next report is expected.
func (r Report) interval() time.Duration {
	if r.isShort() {
		return shortInterval
	}
	return calmInterval
}
