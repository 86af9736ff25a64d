package queue

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// leastQuantum is the least that a turn adds to a deficit, in slot time.
	leastQuantum = 10 * time.Millisecond
	// startingHold is the slot time assumed for an organisation not yet seen.
	startingHold = 25 * time.Millisecond
	// leastHold and mostHold bound the slot time that one request counts for.
	leastHold = time.Millisecond
	mostHold  = 30 * time.Second
	// holdWeight is the weight of a new sample in the average slot time.
	holdWeight = 0.1
	// baseSamples is how many slot times the base is the least of.
	baseSamples = 8
	// surplusFactor times the even part of the slot time makes an organisation
	// one with a surplus.
	surplusFactor = 1.75
	// usageTerm is the time constant of the slot time that organisations used.
	usageTerm = 20 * time.Second
	// The limit of surplus requests in flight grows by surplusGrowth of itself in
	// a second. It shrinks to surplusFall at a shed, not more often than each
	// fallPause, and to delayFall at an answer that took delayFactor times what
	// its organisation's requests take as a rule. Below one it spaces requests
	// out, by mostPause at most.
	surplusStart  = 2.0
	surplusLeast  = 1.0 / 64
	surplusMost   = 64.0
	surplusGrowth = 0.3
	surplusFall   = 0.5
	fallPause     = 100 * time.Millisecond
	delayFactor   = 7
	delayFall     = 0.9
	mostPause     = 10 * time.Second
	measurePause  = 50 * time.Millisecond
	// recently is how long an organisation counts as wanting slots after its
	// last request.
	recently = 5 * time.Second
	// leastRetryAfter is the shortest wait that a refusal asks for, and
	// mostRetryAfter the longest.
	leastRetryAfter = time.Second
	mostRetryAfter  = 30 * time.Second
)

// Request is one that waits.
type Request struct {
	// Number names the request; it is the caller's and unique in the queue.
	Number       uint64
	Organisation string
	// Cost is the route's cost in units; zero counts as one.
	Cost int
	// Deadline is when the wait must end, on the clock of now.
	Deadline time.Duration
}

// Refusal is a request that will not run.
type Refusal struct {
	Request Request
	Reason  Reason
	// RetryAfter is how long the caller should wait before it asks again.
	RetryAfter time.Duration
}

// Reason is why a request was refused.
type Reason uint8

// Values of Reason.
const (
	// Overflow says that the queue is full and the request's organisation has
	// the longest part of it.
	Overflow Reason = iota
	// Late says that the request can't finish before its deadline.
	Late
)

// String returns the reason's name as logs show it.
func (r Reason) String() string {
	if r == Late {
		return "late"
	}
	return "overflow"
}

// Queue is the fair queue of one service on one instance. Make it with New.
type Queue struct {
	length  int
	bound   int
	random  *rand.Rand
	tenants map[string]*tenant
	// turns is the ring of organisations that have requests waiting; the first
	// one's turn it is.
	turns []*tenant
	// running counts requests that were popped or started and not finished.
	running int
	// hold is the average slot time over all organisations, in nanoseconds.
	hold float64
	// base is the average over all requests of their organisation's base.
	base float64
	// swept is when idle organisations were last forgotten.
	swept time.Duration
	// due is no later than the first time at which a waiting request gets too
	// late; zero if none waits.
	due time.Duration
	// used is the slot time used lately by all, at the time of usedAt.
	used   float64
	usedAt time.Duration
	// fell is when a limit last shrank, and active counts the organisations
	// that wanted slots lately.
	fell   time.Duration
	active int
	// median is the median usage at the time of measured; usages is scratch.
	median   float64
	measured time.Duration
	usages   []float64
}

// tenant is one organisation's part of the queue.
type tenant struct {
	name    string
	waiting []waiter
	// deficit is slot time that the organisation may still use in this turn.
	deficit time.Duration
	// cost is the slot time of all that waits.
	cost    time.Duration
	running int
	// hold is the average slot time of a request of cost one, in nanoseconds.
	hold float64
	seen time.Duration
	// base is the least of the recent slot times, because a request that waits
	// at a target holds its slot no longer than others.
	base    float64
	recent  [baseSamples]float64
	samples int
	// used is the slot time used lately, at the time of usedAt; surplus counts
	// the requests in flight that began beyond the even part.
	used    float64
	usedAt  time.Duration
	surplus int
	// limit bounds the surplus requests in flight; last is when one began, and
	// grown when the limit last grew.
	limit float64
	last  time.Duration
	grown time.Duration
	// served is set once the running turn got its quantum.
	served bool
}

// waiter is a request with the slot time that it counted for when it came.
type waiter struct {
	request Request
	cost    time.Duration
}

// Option changes a Queue under construction.
type Option func(*Queue)

// WithMaxLength bounds the requests that wait; the default is 100.
func WithMaxLength(n int) Option {
	return func(q *Queue) {
		q.bound = max(n, 1)
	}
}

// WithRandom sets the source that spreads RetryAfter.
func WithRandom(r *rand.Rand) Option {
	return func(q *Queue) {
		q.random = r
	}
}

const defaultLength = 100

// New returns an empty queue.
func New(options ...Option) *Queue {
	q := &Queue{
		bound:   defaultLength,
		random:  rand.New(rand.NewPCG(0, 0)),
		tenants: map[string]*tenant{},
		hold:    float64(startingHold),
	}
	for _, o := range options {
		o(q)
	}
	return q
}

// Len returns how many requests wait.
func (q *Queue) Len() int {
	return q.length
}

// Push lets a request wait. It returns the requests refused for it, which may
// include itself.
func (q *Queue) Push(now time.Duration, r Request) []Refusal {
	t := q.tenant(now, r.Organisation)
	if t.late(now, r) {
		return []Refusal{q.refuse(r, Late)}
	}
	if len(t.waiting) == 0 {
		t.deficit = 0
		t.served = false
		q.turns = append(q.turns, t)
	}
	w := waiter{
		request: r,
		cost:    t.slotTime(r),
	}
	t.waiting = append(t.waiting, w)
	t.cost += w.cost
	q.length++
	q.expect(r.Deadline - w.cost)
	if q.length <= q.bound {
		return nil
	}
	return []Refusal{q.overflow()}
}

// overflow refuses the newest request of the organisation whose waiting
// requests cost the most.
func (q *Queue) overflow() Refusal {
	longest := q.turns[0]
	for _, t := range q.turns[1:] {
		if t.cost > longest.cost {
			longest = t
		}
	}
	last := len(longest.waiting) - 1
	r := longest.waiting[last].request
	q.remove(longest, last)
	return q.refuse(r, Overflow)
}

// Pop takes the next request to run, and reports false if none may run now. It
// also returns those that can't finish any more. Room is how many slots are
// free.
func (q *Queue) Pop(now time.Duration, room int) (Request, []Refusal, bool) {
	if room <= 0 {
		return Request{}, nil, false
	}
	var late []Refusal
	if now >= q.due && q.length > 0 {
		late = q.Expire(now)
	}
	// Each round of turns adds a quantum, so the loop ends: at least one
	// organisation is under its share while any other wants slots.
	for blocked := 0; blocked < len(q.turns); {
		t := q.turns[0]
		if !q.mayStart(now, t, room) {
			blocked++
			q.rotate(t)
			continue
		}
		if r, ok := q.take(now, t); ok {
			return r, late, true
		}
		blocked = 0
		q.rotate(t)
	}
	return Request{}, late, false
}

// take removes the organisation's first request if its deficit covers it.
func (q *Queue) take(now time.Duration, t *tenant) (Request, bool) {
	if !t.served {
		t.served = true
		t.deficit += max(leastQuantum, time.Duration(q.hold))
	}
	w := t.waiting[0]
	if w.cost > t.deficit {
		return Request{}, false
	}
	t.deficit -= w.cost
	q.remove(t, 0)
	q.start(now, t)
	return w.request, true
}

// rotate ends the turn of the first organisation in the ring.
func (q *Queue) rotate(t *tenant) {
	t.served = false
	copy(q.turns, q.turns[1:])
	q.turns[len(q.turns)-1] = t
}

// TryStart counts a request that runs without having waited. It reports false,
// and counts nothing, if the request must wait: others do already, or the
// organisation holds its share.
func (q *Queue) TryStart(now time.Duration, organisation string, room int) bool {
	t := q.tenant(now, organisation)
	if q.length > 0 || !q.mayStart(now, t, room) {
		return false
	}
	q.start(now, t)
	return true
}

// start counts a request that runs.
func (q *Queue) start(now time.Duration, t *tenant) {
	t.running++
	q.running++
	if q.over(now, t) {
		t.surplus++
		t.last = now
	}
}

// stop counts the end of a request.
func (q *Queue) stop(t *tenant) {
	t.running = max(t.running-1, 0)
	t.surplus = min(t.surplus, t.running)
}

// Finish ends a request that was popped or started and held a slot for the
// time given.
func (q *Queue) Finish(now time.Duration, organisation string, cost int, held time.Duration) {
	q.running = max(q.running-1, 0)
	t := q.tenants[organisation]
	if t == nil {
		return
	}
	q.stop(t)
	held = min(max(held, leastHold), mostHold)
	q.hold += holdWeight * (float64(held) - q.hold)
	sample := float64(held) / float64(max(cost, 1))
	t.hold += holdWeight * (sample - t.hold)
	// What a request used is what it takes when the targets have room. The time
	// that it waited at a target would hide who has the surplus.
	used := q.weigh(t) * float64(max(cost, 1))
	q.used = fade(q.used, now-q.usedAt) + used
	q.usedAt = now
	t.used = fade(t.used, now-t.usedAt) + used
	t.usedAt = now
	passed := min(now-t.grown, time.Second)
	t.grown = now
	t.limit = min(t.limit*(1+surplusGrowth*passed.Seconds()), surplusMost)
	if t.base > 0 && sample > delayFactor*t.base {
		q.restrain(now, delayFall)
	}
	t.learn(sample)
	q.base += holdWeight * (t.base - q.base)
}

// weigh is what one request of cost one counts for: its slot time, and more if
// that is longer than usual, because the waits that it causes grow with the
// square.
func (q *Queue) weigh(t *tenant) float64 {
	if t.base <= q.base || q.base == 0 {
		return t.base
	}
	return t.base * math.Sqrt(t.base/q.base)
}

// learn takes the slot time of a request of cost one into the base.
func (t *tenant) learn(sample float64) {
	t.recent[t.samples%baseSamples] = sample
	t.samples++
	t.base = sample
	for _, s := range t.recent[:min(t.samples, baseSamples)] {
		t.base = min(t.base, s)
	}
}

// FinishUnexecuted ends a request that was popped or started and that no target ran. If a
// target shed it, organisations with a surplus are held back.
func (q *Queue) FinishUnexecuted(now time.Duration, organisation string, byTarget bool) {
	q.running = max(q.running-1, 0)
	if t := q.tenants[organisation]; t != nil {
		q.stop(t)
	}
	if byTarget && now-q.fell >= fallPause {
		q.fell = now
		q.restrain(now, surplusFall)
	}
}

// restrain shrinks the limit of the organisation that used the most.
func (q *Queue) restrain(now time.Duration, factor float64) {
	var heaviest *tenant
	most := 0.0
	for _, t := range q.tenants {
		used := q.usage(now, t)
		if used > most || used == most && heaviest != nil && t.name < heaviest.name {
			heaviest, most = t, used
		}
	}
	if heaviest != nil {
		heaviest.limit = max(heaviest.limit*factor, surplusLeast)
	}
}

// usage is the slot time that an organisation used lately, with what runs.
func (q *Queue) usage(now time.Duration, t *tenant) float64 {
	return fade(t.used, now-t.usedAt) + float64(t.running)*q.weigh(t)
}

// fade is what is left of a usage after a while.
func fade(used float64, passed time.Duration) float64 {
	return used * math.Exp(-float64(passed)/float64(usageTerm))
}

// Cancel removes a waiting request whose caller gave up. It reports whether the
// request was there.
func (q *Queue) Cancel(organisation string, number uint64) bool {
	t := q.tenants[organisation]
	if t == nil {
		return false
	}
	for i, w := range t.waiting {
		if w.request.Number == number {
			q.remove(t, i)
			return true
		}
	}
	return false
}

// Expire refuses all requests that can't finish any more. The caller calls it
// at the time that Next names.
func (q *Queue) Expire(now time.Duration) []Refusal {
	var late []Refusal
	q.due = 0
	for i := len(q.turns) - 1; i >= 0; i-- {
		late = q.dropLate(now, q.turns[i], late)
	}
	q.sweep(now)
	return late
}

// NextExpiry returns when Expire is due; zero if nothing waits. It may be early.
func (q *Queue) NextExpiry() time.Duration {
	if q.length == 0 {
		return 0
	}
	return q.due
}

// expect brings the time for Expire forward.
func (q *Queue) expect(due time.Duration) {
	due = max(due, 1)
	if q.due == 0 || due < q.due {
		q.due = due
	}
}

// dropLate refuses the organisation's requests that can't finish any more.
func (q *Queue) dropLate(now time.Duration, t *tenant, late []Refusal) []Refusal {
	for i := len(t.waiting) - 1; i >= 0; i-- {
		r := t.waiting[i].request
		if t.late(now, r) {
			q.remove(t, i)
			late = append(late, q.refuse(r, Late))
			continue
		}
		q.expect(max(r.Deadline-t.slotTime(r), now+leastHold))
	}
	return late
}

// remove takes the request at index i out of the organisation's queue.
func (q *Queue) remove(t *tenant, i int) {
	t.cost -= t.waiting[i].cost
	t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
	q.length--
	if len(t.waiting) > 0 {
		return
	}
	t.cost = 0
	t.deficit = 0
	for n, other := range q.turns {
		if other == t {
			q.turns = append(q.turns[:n], q.turns[n+1:]...)
			return
		}
	}
}

// mayStart tells whether the organisation may take one more of room free
// slots. One with a surplus keeps to the limit while others want slots.
func (q *Queue) mayStart(now time.Duration, t *tenant, room int) bool {
	switch {
	case room <= 0:
		return false
	case !q.over(now, t):
		return true
	case t.limit >= 1:
		return t.surplus < int(t.limit)
	default:
		pause := time.Duration(t.hold * (1/t.limit - 1))
		return t.surplus == 0 && now >= t.last+min(pause, mostPause)
	}
}

// middle is the median usage of the organisations that want slots.
func (q *Queue) middle(now time.Duration) float64 {
	if now < q.measured+measurePause && q.measured != 0 {
		return q.median
	}
	q.measured = max(now, 1)
	q.usages = q.usages[:0]
	for _, t := range q.tenants {
		if now-t.seen < recently {
			q.usages = append(q.usages, q.usage(now, t))
		}
	}
	slices.Sort(q.usages)
	if len(q.usages) > 0 {
		q.median = q.usages[(len(q.usages)-1)/2]
	}
	return q.median
}

// over tells whether the organisation has used much more than is usual lately
// among those that want slots.
func (q *Queue) over(now time.Duration, t *tenant) bool {
	if q.active < 2 {
		return false
	}
	return q.usage(now, t) > surplusFactor*max(q.middle(now), q.base)
}

// refuse builds a refusal. The wait grows with the queue and is spread over as
// much again and a second more.
func (q *Queue) refuse(r Request, reason Reason) Refusal {
	drain := time.Duration(float64(q.length) * q.hold / float64(max(q.running, 1)))
	wait := min(max(drain, leastRetryAfter), mostRetryAfter/2)
	spread := min(wait+time.Second, mostRetryAfter-wait)
	return Refusal{
		Request:    r,
		Reason:     reason,
		RetryAfter: wait + time.Duration(q.random.Int64N(int64(spread))),
	}
}

// tenant finds or makes an organisation's part and notes that it wants slots.
func (q *Queue) tenant(now time.Duration, name string) *tenant {
	q.sweep(now)
	t := q.tenants[name]
	if t == nil {
		t = &tenant{
			name:  name,
			hold:  q.hold,
			limit: surplusStart,
		}
		q.tenants[name] = t
	}
	if now-t.seen >= recently || t.seen == 0 {
		q.active = q.count(now) + 1
	}
	t.seen = max(now, 1)
	return t
}

// count counts the organisations that wanted slots lately.
func (q *Queue) count(now time.Duration) int {
	n := 0
	for _, t := range q.tenants {
		if t.seen != 0 && now-t.seen < recently {
			n++
		}
	}
	return n
}

// sweep forgets organisations that have been idle, so that memory follows the
// organisations of the last seconds.
func (q *Queue) sweep(now time.Duration) {
	if now-q.swept < recently {
		return
	}
	q.swept = now
	q.active = q.count(now)
	for name, t := range q.tenants {
		if len(t.waiting) == 0 && t.running == 0 && now-t.seen >= 2*recently {
			delete(q.tenants, name)
		}
	}
}

// slotTime is how long the request is expected to hold a slot.
func (t *tenant) slotTime(r Request) time.Duration {
	return time.Duration(float64(max(r.Cost, 1)) * t.hold)
}

// late tells whether the request can't finish before its deadline. While none
// of the organisation's requests runs, the average may be outdated and can't be
// mended otherwise, so only the deadline itself counts.
func (t *tenant) late(now time.Duration, r Request) bool {
	if t.running == 0 {
		return now >= r.Deadline
	}
	return now+t.slotTime(r) > r.Deadline
}
