package admission

import (
	"math"
	"time"

	"dandelionmux/pkg/meter"
)

const (
	// returnSlot is the precision with which returns are scheduled, and returnSlots the
	// number of slots, which cover a third of 76 s.
	returnSlot  = 50 * time.Millisecond
	returnSlots = 512
	// returnRanks is the number of ranks that are told apart; the less urgent ones count
	// as the last.
	returnRanks = 8
	// maxReturnPart is the part of a caller's time left after which it comes back at the
	// latest.
	maxReturnPart = 3
	// minReturnRate keeps waits finite, in returns a second.
	minReturnRate = 0.01
)

// Returns schedules the return of refused callers of a service. A promise counts until
// its time has come. It is not safe for concurrent use.
type Returns struct {
	// promised[n % returnSlots] counts the returns in the slot n, by rank.
	promised [returnSlots][returnRanks]uint16
	// oldest is the first slot that is not past.
	oldest int64
	// recent counts the promises made in the last latestSpan, by rank.
	recent [returnRanks]*meter.Window
}

// NewReturns returns an empty schedule.
func NewReturns() *Returns {
	r := &Returns{}
	for i := range r.recent {
		r.recent[i] = meter.NewWindow(latestSpan)
	}
	return r
}

// Schedule returns after which time a refused caller may come back: when the service is
// expected to have capacity for it, but no later than a third of its time left. The
// backlog is what waits before the caller, and perSecond the rate at which the service
// has capacity for the rank.
func (r *Returns) Schedule(now time.Duration, rank int, left time.Duration, backlog int, perSecond float64) time.Duration {
	rank = min(max(rank, 0), returnRanks-1)
	latest := max(left, 0) / maxReturnPart
	perSecond = max(perSecond, minReturnRate)
	r.advance(now)
	after := latest
	wait := float64(backlog) / perSecond
	if wait < latest.Seconds() {
		start := now + time.Duration(wait*float64(time.Second))
		urgentRate := r.urgentRate(now, rank)
		at, ok := r.find(start, now+latest, rank, perSecond, urgentRate, false)
		if !ok {
			// Returns of less urgent ranks were promised for all of this time. An urgent
			// caller comes back nevertheless; it will be served first.
			at, ok = r.find(start, now+latest, rank, perSecond, urgentRate, true)
		}
		if ok {
			after = min(max(at-now, 0), latest)
		}
	}
	r.recent[rank].Add(now, 1)
	slot := (now + after) / returnSlot
	if int64(slot) < r.oldest+returnSlots {
		r.promised[int64(slot)%returnSlots][rank]++
	}
	return after
}

// urgentRate returns the rate of the returns that were promised lately to more urgent
// ranks.
func (r *Returns) urgentRate(now time.Duration, rank int) float64 {
	n := 0.0
	for _, w := range r.recent[:rank] {
		n += w.Sum(now)
	}
	return n / latestSpan.Seconds()
}

// find returns the first time from start to end at which a return of the rank has room.
// Room is left for more urgent ranks at their rate. Promises to less urgent ranks are
// passed over if overbook is set.
func (r *Returns) find(start, end time.Duration, rank int, perSecond, urgentRate float64, overbook bool) (time.Duration, bool) {
	// A rank keeps its minimum share also while more urgent ranks take all capacity.
	own := max(perSecond-urgentRate, minShare*perSecond)
	first := int64((start + returnSlot - 1) / returnSlot)
	last := min(int64(end/returnSlot), r.oldest+returnSlots-1)
	for n := first; n <= last; n++ {
		urgent, others := r.at(n, rank, overbook)
		room := served(n, perSecond)
		if others < served(n, own) && urgent+others < room {
			part := (float64(urgent+others) + 0.5) / float64(room)
			return time.Duration((float64(n) + part) * float64(returnSlot)), true
		}
	}
	return 0, false
}

// served returns how many requests are served in a slot at a rate. The sum over slots
// follows the rate, also if that is below one for each slot.
func served(slot int64, perSecond float64) int {
	perSlot := perSecond * returnSlot.Seconds()
	return int(math.Floor(float64(slot+1)*perSlot) - math.Floor(float64(slot)*perSlot))
}

// at returns the returns promised for a slot: of more urgent ranks, and of all others or,
// if overbook is set, of the rank itself.
func (r *Returns) at(slot int64, rank int, overbook bool) (urgent, others int) {
	for i, n := range r.promised[slot%returnSlots] {
		switch {
		case i < rank:
			urgent += int(n)
		case i == rank || !overbook:
			others += int(n)
		}
	}
	return urgent, others
}

// advance clears the slots that are past.
func (r *Returns) advance(now time.Duration) {
	current := int64(now / returnSlot)
	for n := max(r.oldest, current-returnSlots); n < current; n++ {
		r.promised[n%returnSlots] = [returnRanks]uint16{}
	}
	r.oldest = max(r.oldest, current)
}
