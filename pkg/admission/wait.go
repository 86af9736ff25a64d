package admission

import (
	"math"
	"time"

	"dandelionmux/pkg/meter"
)

const (
	// Grants are counted over the last minGrantSpan or, if that is longer, the time in
	// which each slot becomes free grantRounds times. A rate follows from the first
	// minGrantRounds, but not before minRateSpan: slots that were taken together become
	// free together, so a shorter count would vary with their phase.
	minGrantSpan   = 2 * time.Second
	grantRounds    = 4
	minRateSpan    = 500 * time.Millisecond
	minGrantRounds = 2
	// minFloor keeps the time until a minimum share is due defined, in grants a second.
	minFloor = 1e-6
	// maxWait stands for a wait without end.
	maxWait = time.Hour
	// minServiceTime keeps rates finite.
	minServiceTime = time.Millisecond
)

// grantRate measures how fast slots become free while requests wait.
type grantRate struct {
	window *meter.Window
	span   time.Duration
	// active is set while requests wait, and also after all of them were refused or
	// withdrawn, until a slot is seen free or the span has passed: otherwise a queue
	// that was emptied by refusals would trust the nominal capacity again.
	active bool
	since  time.Duration
	// last is when the rate was last used while requests waited.
	last time.Duration
	// stopped is when the measurement was last ended.
	stopped time.Duration
}

// start begins a measurement unless one goes on. It begins anew if the service time has grown
// so much that the span no longer covers half of the rounds.
func (g *grantRate) start(now, serviceTime time.Duration) {
	span := max(minGrantSpan, grantRounds*serviceTime)
	if g.active && now-g.last < g.span && span <= 2*g.span {
		return
	}
	g.active = true
	g.since = now
	g.last = now
	g.span = span
	g.window = meter.NewWindow(g.span)
}

// stop ends the measurement: a slot is free for requests that don't wait.
func (g *grantRate) stop(now time.Duration) {
	if g.active {
		g.active = false
		g.stopped = now
	}
}

// resume goes on with a measurement that was ended at the same moment, by dequeuing an entry that
// is put back, or else begins one.
func (g *grantRate) resume(now, serviceTime time.Duration) {
	if g.window != nil && g.stopped == now {
		g.active = true
	}
	g.start(now, serviceTime)
}

// add counts grants.
func (g *grantRate) add(now time.Duration, n float64) {
	if g.active {
		g.window.Add(now, n)
	}
}

// correct returns the rate, or what the grants seen lately allow if that is lower. One
// standard deviation of the count is allowed for.
func (g *grantRate) correct(now time.Duration, rate float64, serviceTime time.Duration, waiting bool) float64 {
	if g.active && waiting {
		// The measurement is also begun anew if it was not used for its span, as when the
		// process stood still.
		g.start(now, serviceTime)
	}
	if !g.active || now-g.since < max(minRateSpan, minGrantRounds*serviceTime) || now-g.last >= g.span {
		return rate
	}
	if waiting {
		g.last = now
	}
	n := max(g.window.Sum(now), 0)
	return min(rate, (n+math.Sqrt(n)+1)/min(now-g.since, g.span).Seconds())
}

// slotRate returns the rate at which slots become free, and records the capacity.
func (q *Queue[T]) slotRate(now time.Duration, c Capacity) float64 {
	q.capacity = c
	rate := float64(max(c.Slots, 0)) / max(c.ServiceTime, minServiceTime).Seconds()
	return q.grants.correct(now, rate, c.ServiceTime, len(q.items) > 0)
}

// shares returns the share of each rank in the arrivals. The slice is reused by the next
// call.
func (q *Queue[T]) shares(now time.Duration) []float64 {
	q.shareScratch, q.latestScratch = q.shareScratch[:0], q.latestScratch[:0]
	all, latest := 0.0, 0.0
	for _, r := range q.ranks {
		q.shareScratch = append(q.shareScratch, r.arrivals.Sum(now))
		q.latestScratch = append(q.latestScratch, r.latest.Sum(now))
		all += q.shareScratch[len(q.shareScratch)-1]
		latest += q.latestScratch[len(q.latestScratch)-1]
	}
	for i := range q.shareScratch {
		q.shareScratch[i] = max(q.shareScratch[i]/max(all, 1), q.latestScratch[i]/max(latest, 1))
	}
	return q.shareScratch
}

// outlook is what a rank may expect.
type outlook struct {
	// urgent is the number of waiting entries of more urgent ranks.
	urgent int
	// rate is the rate of slots for the rank once these are served: what the arrivals of
	// more urgent ranks and the minimum shares of less urgent ones leave, at least its
	// own minimum share.
	rate float64
	// certain is the rate if no more urgent request arrives.
	certain float64
	// slotRate is the rate of slots for all ranks.
	slotRate float64
	// floor is the rate of the rank's minimum share, and credit what it is owed already.
	floor  float64
	credit float64
}

// outlook returns what a rank may expect if slots become free at a rate.
func (q *Queue[T]) outlook(now time.Duration, r *rank[T], slotRate float64) outlook {
	o := outlook{
		slotRate: slotRate,
		credit:   r.credit,
	}
	reserved, arriving := 0.0, 0.0
	shares := q.shares(now)
	for i, other := range q.ranks {
		share := minShare * shares[i] * slotRate
		switch {
		case other == r:
			o.floor = share
		case other.number < r.number:
			o.urgent += other.waiting
			arriving += max(other.arrivals.Sum(now)/arrivalSpan.Seconds(), other.latest.Sum(now)/latestSpan.Seconds())
		case other.waiting > 0:
			reserved += share
		}
	}
	o.certain = max(slotRate-reserved, o.floor)
	o.rate = max(slotRate-reserved-arriving, o.floor)
	return o
}

// wait returns the expected wait of an entry with a number of entries of its rank before
// it, if they are served at a rate in the order.
func (o outlook) wait(before, rate float64) time.Duration {
	// Half an interval passes on average until the first slot is free.
	ordered := (float64(o.urgent) + before + 0.5) / rate
	owed := max((before+1-o.credit)/max(o.floor, minFloor), 0.5/o.slotRate)
	seconds := min(ordered, owed)
	if !(seconds < maxWait.Seconds()) { // also without any rate
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// Expect returns the expected wait of an entry. It counts the entries that are served
// before it now, and those that are expected to arrive meanwhile and to go before it.
func (q *Queue[T]) Expect(now time.Duration, e Entry[T], c Capacity) time.Duration {
	r := q.rank(e.Rank)
	o := q.outlook(now, r, q.slotRate(now, c))
	// Entries with much time left keep a part of the slots, as ranks do: they are served
	// when they are as close to their deadlines as those that overtake them.
	rate := max(o.rate-r.overtaking(now, e.Organisation, e.Deadline-now), minShare*o.rate)
	before, room := r.before(e.Organisation, e.Deadline)
	// Later entries of other organisations go before it until each of these has had as
	// many turns.
	wait := o.wait(float64(before+room), rate)
	if rest := rate - r.othersRate(now, e.Organisation); rest > 0 {
		wait = min(wait, o.wait(float64(before), rest))
	}
	return wait
}

// Expire removes and returns the entries that can no longer be served, given what is
// certainly served before them, and those that were displaced. The caller calls it some
// times a second, and when the capacity shrinks. RetryAfter schedules their return.
func (q *Queue[T]) Expire(now time.Duration, c Capacity) []Entry[T] {
	rate := q.slotRate(now, c)
	q.scannedRate = max(q.scannedRate, rate)
	if len(q.items) <= fullScanLength || now-q.scannedAt >= scanInterval || rate < shrunkPart*q.scannedRate {
		q.scannedAt = now
		q.scannedRate = rate
		kept := 0
		for _, r := range q.ranks {
			o := q.outlook(now, r, rate)
			o.urgent = kept
			unservable, n := r.unservable(now, o, c)
			for _, i := range unservable {
				q.lapse(i)
			}
			kept += n
		}
	}
	expired := q.lapsed
	q.lapsed = nil
	return expired
}

// unservable returns the items that can't be served within their time, and the number of
// the others. It goes through the items in the order in which they are served, so that an
// item that is removed leaves its place to the next.
func (r *rank[T]) unservable(now time.Duration, o outlook, c Capacity) (unservable []*item[T], kept int) {
	type turn struct{ items []*item[T] }
	turns := make([]turn, 0, r.turns.Len())
	for e := r.turns.Front(); e != nil; e = e.Next() {
		turns = append(turns, turn{
			items: e.Value.(*organisation[T]).items,
		})
	}
	for len(turns) > 0 {
		left := turns[:0]
		for _, t := range turns {
			start := now + o.wait(float64(kept), o.certain)
			for len(t.items) > 0 && start+serviceTime(t.items[0].entry, c) > t.items[0].entry.Deadline {
				unservable = append(unservable, t.items[0])
				t.items = t.items[1:]
			}
			if len(t.items) > 0 {
				kept++
				t.items = t.items[1:]
			}
			if len(t.items) > 0 {
				left = append(left, t)
			}
		}
		turns = left
	}
	return unservable, kept
}
