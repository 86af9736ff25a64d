package admission

import (
	"math"
	"time"
)

const (
	// minShare is the part of its proportional share that a rank with waiting entries
	// gets at least. It is above the quarter that is promised, since some of the granted
	// requests fail.
	minShare = 0.3
	// maxCredit is the number of grants that a rank may be owed. It lets a rank whose
	// callers have less time than passes between two of its grants take its turn when one
	// of them comes, and keeps a rank that was idle from holding up others.
	maxCredit = 2
	// dueCredit is what a rank must be owed to be served before its turn: one grant, less
	// the error of sums of shares.
	dueCredit = 1 - 1e-6
	// offerMargin is the factor of the expected wait that must fit in a caller's time for
	// it to be queued. It covers the error of the estimate, so that fewer requests are
	// refused after they have waited.
	offerMargin = 1.25
	// fullScanLength is the length up to which each Expire looks at all entries. Above,
	// it does so once per scanInterval, unless the capacity has shrunk.
	fullScanLength = 256
	scanInterval   = 50 * time.Millisecond
	// shrunkPart is the part of the former rate below which the capacity has shrunk.
	shrunkPart = 0.9
	// maxPayments is the number of latest grants of which PutBack restores what the rank
	// is owed.
	maxPayments = 64
	// maxRanks bounds the number of ranks that are told apart, against messages with
	// arbitrary ranks. Entries of a further rank count as of the next less urgent one.
	maxRanks = 32
)

// Queue holds waiting requests. It is not safe for concurrent use. Make it with New.
type Queue[T any] struct {
	options options
	returns *Returns
	items   map[uint64]*item[T]
	// ranks holds the ranks in order, the most urgent first.
	ranks []*rank[T]
	// lapsed holds entries that were found to be unservable, or displaced, between two
	// calls of Expire. They no longer count as queued.
	lapsed   []Entry[T]
	sequence int64
	grants   grantRate
	// capacity is the latest that the caller stated.
	capacity Capacity
	// payments holds the latest grants, which PutBack may undo.
	payments    [maxPayments]payment
	nextPayment int
	// lastDeadline is the latest deadline since the queue was empty.
	lastDeadline time.Duration
	scannedAt    time.Duration
	scannedRate  float64
	// shareScratch and latestScratch are buffers for shares.
	shareScratch, latestScratch []float64
}

// payment is how much of what a rank was owed is paid by a grant.
type payment struct {
	id   uint64
	paid float64
}

// item is an entry with its place in the queue.
type item[T any] struct {
	entry        Entry[T]
	sequence     int64
	rank         *rank[T]
	organisation *organisation[T]
}

// New returns an empty queue.
func New[T any](opts ...Option) *Queue[T] {
	o := options{
		maxLength: defaultMaxLength,
	}
	for _, option := range opts {
		option(&o)
	}
	return &Queue[T]{
		options: o,
		returns: NewReturns(),
		items:   map[uint64]*item[T]{},
	}
}

// Arrived counts a request of the rank for the minimum share. The caller calls it once
// for each request of the service, whether it has to wait or not.
func (q *Queue[T]) Arrived(now time.Duration, rank int) {
	r := q.rank(rank)
	r.arrivals.Add(now, 1)
	r.latest.Add(now, 1)
}

// Served counts a request of the rank that got a slot without waiting.
func (q *Queue[T]) Served(now time.Duration, rank int) {
	if len(q.items) == 0 {
		q.grants.stop(now)
	}
	q.granted(now, q.rank(rank))
}

// Offer queues an entry, or refuses it if it can't be served within its time. An entry
// that is less urgent may be displaced by it; the next Expire returns that one. An entry
// that is offered again while it waits keeps its place.
func (q *Queue[T]) Offer(now time.Duration, e Entry[T], c Capacity) Verdict {
	if c.Slots <= 0 || q.items[e.ID] == nil {
		// The new verdict replaces that of an entry that Expire has yet to return.
		q.Remove(e.ID)
	}
	expected := q.Expect(now, e, c)
	left := e.Deadline - now
	switch {
	case c.Slots <= 0:
		return q.refuse(now, e, c, ReasonNoCapacity)
	case q.items[e.ID] != nil:
		return Waits{
			Expected: expected,
		}
	case float64(expected)*offerMargin+float64(serviceTime(e, c)) > float64(left):
		return q.refuse(now, e, c, ReasonLate)
	case len(q.items) >= q.bound(now, e, c) && !q.displace(e):
		return q.refuse(now, e, c, ReasonFull)
	}
	if len(q.items) == 0 {
		q.grants.start(now, c.ServiceTime)
		q.lastDeadline = 0
	}
	q.lastDeadline = max(q.lastDeadline, e.Deadline)
	q.rank(e.Rank).queued(now, left, e.Organisation)
	q.sequence++
	q.push(e, q.sequence)
	return Waits{
		Expected: expected,
	}
}

// refuse returns a refusal of the entry.
func (q *Queue[T]) refuse(now time.Duration, e Entry[T], c Capacity, reason string) Refused {
	return Refused{
		Reason:     reason,
		RetryAfter: q.RetryAfter(now, e, c),
	}
}

// RetryAfter schedules the return of the caller of an entry that is refused. Refused
// has it already; the caller uses this for entries that Expire returns.
func (q *Queue[T]) RetryAfter(now time.Duration, e Entry[T], c Capacity) time.Duration {
	r := q.rank(e.Rank)
	o := q.outlook(now, r, q.slotRate(now, c))
	before, _ := r.before(e.Organisation, e.Deadline)
	return q.returns.Schedule(now, e.Rank, e.Deadline-now, o.urgent+before, o.rate)
}

// bound returns how many entries may wait: what the service can serve within the longest
// time left.
func (q *Queue[T]) bound(now time.Duration, e Entry[T], c Capacity) int {
	longest := max(q.lastDeadline, e.Deadline) - now
	n := q.slotRate(now, c) * longest.Seconds()
	return min(int(math.Ceil(n)), q.options.maxLength)
}

// displace takes an entry out of a full queue for another one, and reports false if the
// other one has to be refused.
func (q *Queue[T]) displace(e Entry[T]) bool {
	o := q.displaced(e)
	if o == nil {
		return false
	}
	q.lapse(o.items[len(o.items)-1])
	return true
}

// displaced returns the organisation that gives up its last entry for another one: that
// with the most entries in the least urgent rank, if that is less urgent; or in the same
// rank, if it has more than the other's organisation would have then; or the other's
// organisation itself, if its last entry is due later than the other. A rank that is owed
// a grant and has no entry gets a place from the most urgent rank, so that it keeps its
// minimum share.
func (q *Queue[T]) displaced(e Entry[T]) *organisation[T] {
	var last, first *rank[T]
	for _, r := range q.ranks {
		if r.waiting > 0 {
			last = r
			if first == nil {
				first = r
			}
		}
	}
	own := q.rank(e.Rank)
	switch {
	case last == nil:
		return nil
	case last.number > own.number:
		return last.longest()
	case own.waiting == 0 && own.credit >= dueCredit:
		return first.longest()
	case own.waiting == 0:
		return nil
	}
	length := 0
	same := own.organisations[e.Organisation]
	if same != nil {
		length = len(same.items)
	}
	if o := own.longest(); len(o.items) > length+1 {
		return o
	}
	if length > 0 && same.items[length-1].entry.Deadline > e.Deadline {
		return same
	}
	return nil
}

// Next dequeues the next entry to serve. The caller calls it when a slot is free. An
// entry that can't be served within its time any more is passed over and left to Expire.
func (q *Queue[T]) Next(now time.Duration) (Entry[T], bool) {
	for {
		r := q.nextRank()
		if r == nil {
			q.grants.stop(now)
			return Entry[T]{}, false
		}
		i := r.first()
		if now+serviceTime(i.entry, q.capacity) > i.entry.Deadline {
			q.lapse(i)
			continue
		}
		q.take(i)
		r.endTurn(i.organisation)
		q.payments[q.nextPayment] = payment{
			id:   i.entry.ID,
			paid: q.granted(now, r),
		}
		q.nextPayment = (q.nextPayment + 1) % len(q.payments)
		if len(q.items) == 0 {
			q.grants.stop(now)
		}
		return i.entry, true
	}
}

// nextRank returns the rank that is served next, or nil if nothing waits: the one that
// is owed most, if any is owed a grant, otherwise the most urgent.
func (q *Queue[T]) nextRank() *rank[T] {
	var next *rank[T]
	for _, r := range q.ranks {
		switch {
		case r.waiting == 0:
		case next == nil, r.credit >= dueCredit && r.credit > next.credit:
			next = r
		}
	}
	return next
}

// granted counts a grant of the rank, which adds to what other ranks are owed. It returns
// how much of what the rank was owed is paid by it.
func (q *Queue[T]) granted(now time.Duration, to *rank[T]) float64 {
	q.grants.add(now, 1)
	shares := q.shares(now)
	paid := 0.0
	for i, r := range q.ranks {
		r.credit += minShare * shares[i]
		if r == to {
			paid = min(r.credit, 1)
			r.credit -= paid
		}
		r.credit = min(r.credit, maxCredit)
	}
	return paid
}

// PutBack returns an entry that Next has dequeued to its place, because no free slot
// suits it.
func (q *Queue[T]) PutBack(now time.Duration, e Entry[T]) {
	if len(q.items) == 0 {
		q.grants.resume(now, serviceTime(e, q.capacity))
	}
	q.lastDeadline = max(q.lastDeadline, e.Deadline)
	q.push(e, 0)
	r := q.rank(e.Rank)
	r.turns.MoveToFront(q.items[e.ID].organisation.turn)
	q.takeBack(now, r, e.ID)
}

// takeBack undoes a grant that granted has counted.
func (q *Queue[T]) takeBack(now time.Duration, from *rank[T], id uint64) {
	q.grants.add(now, -1)
	for i, p := range q.payments {
		if p.id != id {
			continue
		}
		q.payments[i] = payment{}
		shares := q.shares(now)
		from.credit += p.paid
		for n, r := range q.ranks {
			r.credit = min(max(r.credit-minShare*shares[n], 0), maxCredit)
		}
		return
	}
}

// Remove removes an entry whose caller gave up, and reports whether it was queued.
func (q *Queue[T]) Remove(id uint64) bool {
	i := q.items[id]
	if i != nil {
		q.take(i)
		return true
	}
	for n, e := range q.lapsed {
		if e.ID == id {
			q.lapsed = append(q.lapsed[:n], q.lapsed[n+1:]...)
			return true
		}
	}
	return false
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return len(q.items) }

// Waiting returns the number of entries by rank.
func (q *Queue[T]) Waiting() map[int]int {
	counts := map[int]int{}
	for _, r := range q.ranks {
		if r.waiting > 0 {
			counts[r.number] = r.waiting
		}
	}
	return counts
}

// push puts an entry in its place.
func (q *Queue[T]) push(e Entry[T], sequence int64) {
	r := q.rank(e.Rank)
	i := &item[T]{
		entry:        e,
		sequence:     sequence,
		rank:         r,
		organisation: r.organisation(e.Organisation),
	}
	q.items[e.ID] = i
	r.add(i)
}

// take takes an item out of the queue.
func (q *Queue[T]) take(i *item[T]) {
	delete(q.items, i.entry.ID)
	i.rank.remove(i)
}

// lapse takes an item out of the queue and leaves it to Expire.
func (q *Queue[T]) lapse(i *item[T]) {
	q.take(i)
	q.lapsed = append(q.lapsed, i.entry)
}

// rank returns the state of a rank, which it creates if there is none.
func (q *Queue[T]) rank(number int) *rank[T] {
	at := 0
	for ; at < len(q.ranks) && q.ranks[at].number <= number; at++ {
		if q.ranks[at].number == number {
			return q.ranks[at]
		}
	}
	if len(q.ranks) == maxRanks {
		return q.ranks[min(at, maxRanks-1)]
	}
	r := newRank[T](number)
	q.ranks = append(q.ranks, nil)
	copy(q.ranks[at+1:], q.ranks[at:])
	q.ranks[at] = r
	return r
}

// serviceTime returns the entry's expected time at a target.
func serviceTime[T any](e Entry[T], c Capacity) time.Duration {
	if e.ServiceTime > 0 {
		return e.ServiceTime
	}
	return c.ServiceTime
}
