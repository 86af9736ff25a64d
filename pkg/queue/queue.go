package queue

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minQuantum is the smallest slot time that a turn adds to a deficit.
	minQuantum = 10 * time.Millisecond
	// initialSlotTime is the average slot time before any request has finished.
	initialSlotTime = 25 * time.Millisecond
	// minSlotTime and maxSlotTime bound the slot time that is accounted for one
	// request.
	minSlotTime = time.Millisecond
	maxSlotTime = 30 * time.Second
	// slotTimeWeight is the weight of a new sample in the moving averages of
	// slot times and baselines.
	slotTimeWeight = 0.1
	// baselineSamples is the number of recent slot times whose minimum is the
	// baseline.
	baselineSamples = 8
	// surplusFactor is the multiple of the median usage above which an
	// organisation has a surplus.
	surplusFactor = 1.75
	// usageTimeConstant is the time constant of the exponential decay of usage.
	usageTimeConstant = 20 * time.Second

	// An organisation's limit of surplus requests in flight starts at
	// initialSurplusLimit and stays within minSurplusLimit and maxSurplusLimit.
	// When one of the organisation's requests finishes, the limit grows by the
	// fraction surplusGrowthPerSecond times the seconds since the last growth, at
	// most one second. When a target sheds a request, the limit of the organisation
	// with the highest usage is multiplied by shedDecrease, at most once per
	// minShedDecreaseInterval. When an answer takes longer than slowAnswerFactor
	// times its organisation's baseline, the limit of the organisation with the
	// highest usage is multiplied by slowAnswerDecrease. A limit below one means a
	// pause between surplus requests, of at most maxSurplusPause.
	initialSurplusLimit     = 2.0
	minSurplusLimit         = 1.0 / 64
	maxSurplusLimit         = 64.0
	surplusGrowthPerSecond  = 0.3
	shedDecrease            = 0.5
	minShedDecreaseInterval = 100 * time.Millisecond
	slowAnswerFactor        = 7
	slowAnswerDecrease      = 0.9
	maxSurplusPause         = 10 * time.Second

	// medianUsageTTL is how long a computed median usage is reused.
	medianUsageTTL = 50 * time.Millisecond
	// activeWindow is how long an organisation counts as active after its last
	// request.
	activeWindow = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound Refusal.RetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Request is a request that waits in the queue.
type Request struct {
	// Number identifies the request. The caller chooses it; it must be unique in
	// the queue.
	Number       uint64
	Organisation string
	// Cost is the cost of the request's route in units; zero counts as one.
	Cost int
	// Deadline is when the request must have finished, on the monotonic clock whose
	// time the caller passes as now to Queue's methods.
	Deadline time.Duration
}

// Refusal is a request that the queue refused to run.
type Refusal struct {
	Request Request
	Reason  Reason
	// RetryAfter is how long the caller should wait before it tries again, from
	// one to 30 seconds.
	RetryAfter time.Duration
}

// Reason is why a request was refused.
type Reason uint8

// Values of Reason.
const (
	// Overflow means that the queue was full and that, of all organisations, the
	// request's had the highest total expected slot time of waiting requests.
	Overflow Reason = iota
	// Late means that the request can't finish before its deadline.
	Late
)

// String returns the reason's name as it appears in logs.
func (r Reason) String() string {
	if r == Late {
		return "late"
	}
	return "overflow"
}

// Queue is the fair queue of one service on one instance. Create it with New.
type Queue struct {
	length        int
	maxLength     int
	random        *rand.Rand
	organisations map[string]*organisationState
	// turns holds the organisations that have requests waiting, in round-robin
	// order. It is the turn of the first one.
	turns []*organisationState
	// running is the number of requests that were returned by Pop or admitted by
	// TryStart and haven't finished.
	running int
	// averageSlotTime is the moving average of slot times over the requests of all
	// organisations, in nanoseconds per request, not per unit of cost.
	averageSlotTime float64
	// averageBaseline is the moving average, over all requests, of their
	// organisations' baselines, in nanoseconds.
	averageBaseline float64
	// lastSweep is when idle organisations were last removed.
	lastSweep time.Duration
	// nextExpiry estimates when the first waiting request becomes too late, from the
	// slot time that was expected when the estimate was made; zero if there is none.
	nextExpiry time.Duration
	// used is the decayed usage of all organisations at the time usedAt, in
	// nanoseconds of slot time.
	used   float64
	usedAt time.Duration
	// lastShedDecrease is when a shed last decreased a limit.
	lastShedDecrease time.Duration
	// activeOrganisations is the number of organisations with a request in the last
	// activeWindow.
	activeOrganisations int
	// medianUsage is the median usage of the active organisations at the time
	// medianUpdated. usageScratch is a buffer that is reused to compute it.
	medianUsage   float64
	medianUpdated time.Duration
	usageScratch  []float64
}

// organisationState holds the waiting requests of one organisation and the
// accounting of its slot time.
type organisationState struct {
	name    string
	waiting []waitingRequest
	// deficit is the slot time that the organisation may still use. It carries over to
	// the next turn while requests wait.
	deficit time.Duration
	// waitingSlotTime is the total expected slot time of the waiting requests.
	waitingSlotTime time.Duration
	running         int
	// slotTime is the moving average of slot time per unit of cost, in
	// nanoseconds.
	slotTime float64
	// lastSeen is when the organisation last sent a request; zero if never.
	lastSeen time.Duration
	// baseline is the minimum of recentSlotTimes, in nanoseconds: the slot time
	// per unit of cost without the time that a request waited at a busy target.
	baseline        float64
	recentSlotTimes [baselineSamples]float64
	samples         int
	// used is the organisation's decayed usage at the time usedAt, in nanoseconds
	// of slot time.
	used   float64
	usedAt time.Duration
	// surplus is the number of requests in flight that started while the
	// organisation had a surplus. Which of its requests these are isn't recorded, so
	// they are taken to be the last to end.
	surplus int
	// limit is the maximum of surplus. Below one it spaces surplus requests out.
	limit float64
	// lastSurplusStart is when a surplus request last started, and limitUpdated
	// when the limit last grew.
	lastSurplusStart time.Duration
	limitUpdated     time.Duration
	// quantumAdded is set once the current turn has added its quantum.
	quantumAdded bool
}

// waitingRequest is a request and the slot time that was expected for it when it
// was pushed.
type waitingRequest struct {
	request  Request
	slotTime time.Duration
}

// Option changes a Queue under construction.
type Option func(*Queue)

// WithMaxLength sets how many requests may wait; the default is 100.
func WithMaxLength(n int) Option {
	return func(q *Queue) {
		q.maxLength = max(n, 1)
	}
}

// WithRandom sets the random source that spreads RetryAfter. The queue uses it
// without a lock. By default it has a fixed seed.
func WithRandom(r *rand.Rand) Option {
	return func(q *Queue) {
		q.random = r
	}
}

const defaultMaxLength = 100

// New returns an empty queue.
func New(options ...Option) *Queue {
	q := &Queue{
		maxLength:       defaultMaxLength,
		random:          rand.New(rand.NewPCG(0, 0)),
		organisations:   map[string]*organisationState{},
		averageSlotTime: float64(initialSlotTime),
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

// Push adds a request to its organisation's queue. It returns the requests that
// are refused because of that, which may include r itself: r if it can't finish
// before its deadline, or, if the total length exceeds its maximum, the newest
// request of the organisation whose waiting requests have the highest total expected
// slot time.
func (q *Queue) Push(now time.Duration, r Request) []Refusal {
	o := q.activateOrganisation(now, r.Organisation)
	if o.isLate(now, r) {
		return []Refusal{q.refuse(r, Late)}
	}
	if len(o.waiting) == 0 {
		o.deficit = 0
		o.quantumAdded = false
		q.turns = append(q.turns, o)
	}
	w := waitingRequest{
		request:  r,
		slotTime: o.expectedSlotTime(r),
	}
	o.waiting = append(o.waiting, w)
	o.waitingSlotTime += w.slotTime
	q.length++
	q.scheduleExpiry(r.Deadline - w.slotTime)
	if q.length <= q.maxLength {
		return nil
	}
	return []Refusal{q.refuseOverflow()}
}

// refuseOverflow removes and refuses the newest request of the organisation whose
// waiting requests have the highest total expected slot time.
func (q *Queue) refuseOverflow() Refusal {
	largest := q.turns[0]
	for _, o := range q.turns[1:] {
		if o.waitingSlotTime > largest.waitingSlotTime {
			largest = o
		}
	}
	last := len(largest.waiting) - 1
	r := largest.waiting[last].request
	q.remove(largest, last)
	return q.refuse(r, Overflow)
}

// Pop removes and returns the next request to run, and reports false if none may
// run now. It also returns the requests refused because they can't finish before
// their deadlines. The parameter freeSlots is the number of requests that the
// targets can take now.
func (q *Queue) Pop(now time.Duration, freeSlots int) (Request, []Refusal, bool) {
	if freeSlots <= 0 {
		return Request{}, nil, false
	}
	var late []Refusal
	if now >= q.nextExpiry && q.length > 0 {
		late = q.Expire(now)
	}
	// The loop ends: either no waiting organisation may start a request, or one that
	// may gets a quantum in each of its turns until its deficit covers its first
	// request.
	for blocked := 0; blocked < len(q.turns); {
		o := q.turns[0]
		if !q.mayStart(now, o, freeSlots) {
			blocked++
			q.rotate(o)
			continue
		}
		if r, ok := q.popIfCovered(now, o); ok {
			return r, late, true
		}
		blocked = 0
		q.rotate(o)
	}
	return Request{}, late, false
}

// popIfCovered removes and starts the organisation's first request if the deficit
// covers its expected slot time. It adds the quantum first if this turn hasn't yet.
func (q *Queue) popIfCovered(now time.Duration, o *organisationState) (Request, bool) {
	if !o.quantumAdded {
		o.quantumAdded = true
		o.deficit += max(minQuantum, time.Duration(q.averageSlotTime))
	}
	w := o.waiting[0]
	if w.slotTime > o.deficit {
		return Request{}, false
	}
	o.deficit -= w.slotTime
	q.remove(o, 0)
	q.start(now, o)
	return w.request, true
}

// rotate ends the turn of o, which must be the first in turns, and moves it to the
// end.
func (q *Queue) rotate(o *organisationState) {
	o.quantumAdded = false
	copy(q.turns, q.turns[1:])
	q.turns[len(q.turns)-1] = o
}

// TryStart starts a request of the organisation without queueing it. It reports
// false, and changes no count, if the request must wait because others already
// wait, no slot is free or the organisation's surplus is at its limit.
func (q *Queue) TryStart(now time.Duration, organisation string, freeSlots int) bool {
	o := q.activateOrganisation(now, organisation)
	if q.length > 0 || !q.mayStart(now, o, freeSlots) {
		return false
	}
	q.start(now, o)
	return true
}

// start counts a request that begins to run.
func (q *Queue) start(now time.Duration, o *organisationState) {
	o.running++
	q.running++
	if q.hasSurplus(now, o) {
		o.surplus++
		o.lastSurplusStart = now
	}
}

// stop removes an ended request from the organisation's counts of running and surplus
// requests. The caller updates q.running.
func (q *Queue) stop(o *organisationState) {
	o.running = max(o.running-1, 0)
	o.surplus = min(o.surplus, o.running)
}

// Finish records the end of a request that was returned by Pop or admitted by
// TryStart and that held its slot for the duration held.
func (q *Queue) Finish(now time.Duration, organisation string, cost int, held time.Duration) {
	q.running = max(q.running-1, 0)
	o := q.organisations[organisation]
	if o == nil {
		return
	}
	q.stop(o)
	held = min(max(held, minSlotTime), maxSlotTime)
	q.averageSlotTime += slotTimeWeight * (float64(held) - q.averageSlotTime)
	sample := float64(held) / float64(max(cost, 1))
	o.slotTime += slotTimeWeight * (sample - o.slotTime)
	// Usage counts the slot time that the request would take at a target with spare
	// capacity. Counting the time that it waited at a busy target would hide which
	// organisation has the surplus.
	used := q.usagePerUnitCost(o) * float64(max(cost, 1))
	q.used = decay(q.used, now-q.usedAt) + used
	q.usedAt = now
	o.used = decay(o.used, now-o.usedAt) + used
	o.usedAt = now
	elapsed := min(now-o.limitUpdated, time.Second)
	o.limitUpdated = now
	o.limit = min(o.limit*(1+surplusGrowthPerSecond*elapsed.Seconds()), maxSurplusLimit)
	if o.baseline > 0 && sample > slowAnswerFactor*o.baseline {
		q.decreaseHeaviestLimit(now, slowAnswerDecrease)
	}
	o.updateBaseline(sample)
	q.averageBaseline += slotTimeWeight * (o.baseline - q.averageBaseline)
}

// usagePerUnitCost returns the usage that one request of cost one is accounted
// for, in nanoseconds of slot time: the organisation's baseline. Above the average,
// usage grows with the power 1.5 of the baseline: more than in proportion, because
// the waits that a request causes for others grow with the square of its slot time.
func (q *Queue) usagePerUnitCost(o *organisationState) float64 {
	if o.baseline <= q.averageBaseline || q.averageBaseline == 0 {
		return o.baseline
	}
	return o.baseline * math.Sqrt(o.baseline/q.averageBaseline)
}

// updateBaseline adds a sample of the slot time per unit of cost to the recent
// ones and recomputes their minimum.
func (o *organisationState) updateBaseline(sample float64) {
	o.recentSlotTimes[o.samples%baselineSamples] = sample
	o.samples++
	o.baseline = sample
	for _, s := range o.recentSlotTimes[:min(o.samples, baselineSamples)] {
		o.baseline = min(o.baseline, s)
	}
}

// FinishUnexecuted records the end of a request that was returned by Pop or admitted
// by TryStart and that no target executed. If a target shed it, the surplus limit of
// the organisation with the highest usage is decreased.
func (q *Queue) FinishUnexecuted(now time.Duration, organisation string, shedByTarget bool) {
	q.running = max(q.running-1, 0)
	if o := q.organisations[organisation]; o != nil {
		q.stop(o)
	}
	if shedByTarget && now-q.lastShedDecrease >= minShedDecreaseInterval {
		q.lastShedDecrease = now
		q.decreaseHeaviestLimit(now, shedDecrease)
	}
}

// decreaseHeaviestLimit multiplies the surplus limit of the organisation with the
// highest usage by factor. Of equal ones it takes the first by name, so that the
// result doesn't depend on the order of the map.
func (q *Queue) decreaseHeaviestLimit(now time.Duration, factor float64) {
	var heaviest *organisationState
	highest := 0.0
	for _, o := range q.organisations {
		used := q.usage(now, o)
		if used > highest || used == highest && heaviest != nil && o.name < heaviest.name {
			heaviest, highest = o, used
		}
	}
	if heaviest != nil {
		heaviest.limit = max(heaviest.limit*factor, minSurplusLimit)
	}
}

// usage returns the organisation's decayed usage at the time now plus the expected
// usage of its running requests, in nanoseconds of slot time.
func (q *Queue) usage(now time.Duration, o *organisationState) float64 {
	return decay(o.used, now-o.usedAt) + float64(o.running)*q.usagePerUnitCost(o)
}

// decay returns what is left of a usage after the elapsed time.
func decay(used float64, elapsed time.Duration) float64 {
	return used * math.Exp(-float64(elapsed)/float64(usageTimeConstant))
}

// Cancel removes a waiting request whose caller gave up. It reports whether the
// request was waiting.
func (q *Queue) Cancel(organisation string, number uint64) bool {
	o := q.organisations[organisation]
	if o == nil {
		return false
	}
	for i, w := range o.waiting {
		if w.request.Number == number {
			q.remove(o, i)
			return true
		}
	}
	return false
}

// Expire removes and returns all requests that can't finish before their
// deadlines any more. The caller calls it at the time that NextExpiry returns.
func (q *Queue) Expire(now time.Duration) []Refusal {
	var late []Refusal
	q.nextExpiry = 0
	for i := len(q.turns) - 1; i >= 0; i-- {
		late = q.refuseLate(now, q.turns[i], late)
	}
	q.sweep(now)
	return late
}

// NextExpiry returns when Expire is due, or zero if no request waits. The time is an
// estimate: the first request may become too late earlier or later, since the
// expected slot times change.
func (q *Queue) NextExpiry() time.Duration {
	if q.length == 0 {
		return 0
	}
	return q.nextExpiry
}

// scheduleExpiry makes nextExpiry no later than the time given.
func (q *Queue) scheduleExpiry(expiry time.Duration) {
	expiry = max(expiry, 1)
	if q.nextExpiry == 0 || expiry < q.nextExpiry {
		q.nextExpiry = expiry
	}
}

// refuseLate removes the organisation's requests that can't finish before their
// deadlines and appends their refusals to late. For each other request it
// schedules the next expiry.
func (q *Queue) refuseLate(now time.Duration, o *organisationState, late []Refusal) []Refusal {
	for i := len(o.waiting) - 1; i >= 0; i-- {
		r := o.waiting[i].request
		if o.isLate(now, r) {
			q.remove(o, i)
			late = append(late, q.refuse(r, Late))
			continue
		}
		q.scheduleExpiry(max(r.Deadline-o.expectedSlotTime(r), now+minSlotTime))
	}
	return late
}

// remove removes the request at index i from the organisation's queue, and the
// organisation from turns if that was its last one.
func (q *Queue) remove(o *organisationState, i int) {
	o.waitingSlotTime -= o.waiting[i].slotTime
	o.waiting = append(o.waiting[:i], o.waiting[i+1:]...)
	q.length--
	if len(o.waiting) > 0 {
		return
	}
	o.waitingSlotTime = 0
	o.deficit = 0
	for n, other := range q.turns {
		if other == o {
			q.turns = append(q.turns[:n], q.turns[n+1:]...)
			return
		}
	}
}

// mayStart reports whether the organisation may start one more request while
// freeSlots slots are free. An organisation with a surplus is held to its limit.
func (q *Queue) mayStart(now time.Duration, o *organisationState, freeSlots int) bool {
	switch {
	case freeSlots <= 0:
		return false
	case !q.hasSurplus(now, o):
		return true
	case o.limit >= 1:
		return o.surplus < int(o.limit)
	default:
		pause := time.Duration(o.slotTime * (1/o.limit - 1))
		return o.surplus == 0 && now >= o.lastSurplusStart+min(pause, maxSurplusPause)
	}
}

// updateMedianUsage returns the lower median of the active organisations' usage.
// It reuses a result that is younger than medianUsageTTL.
func (q *Queue) updateMedianUsage(now time.Duration) float64 {
	if now < q.medianUpdated+medianUsageTTL && q.medianUpdated != 0 {
		return q.medianUsage
	}
	q.medianUpdated = max(now, 1)
	q.usageScratch = q.usageScratch[:0]
	for _, o := range q.organisations {
		if now-o.lastSeen < activeWindow {
			q.usageScratch = append(q.usageScratch, q.usage(now, o))
		}
	}
	slices.Sort(q.usageScratch)
	if len(q.usageScratch) > 0 {
		q.medianUsage = q.usageScratch[(len(q.usageScratch)-1)/2]
	}
	return q.medianUsage
}

// hasSurplus reports whether the organisation's usage is well above the median.
// An organisation that is the only active one has no surplus.
func (q *Queue) hasSurplus(now time.Duration, o *organisationState) bool {
	if q.activeOrganisations < 2 {
		return false
	}
	return q.usage(now, o) > surplusFactor*max(q.updateMedianUsage(now), q.averageBaseline)
}

// refuse returns a refusal of the request. Its RetryAfter is drawn at random from
// between the time in which the queue is expected to drain and twice that plus a
// second, within the bounds, so that refused callers don't come back together.
func (q *Queue) refuse(r Request, reason Reason) Refusal {
	drain := time.Duration(float64(q.length) * q.averageSlotTime / float64(max(q.running, 1)))
	wait := min(max(drain, minRetryAfter), maxRetryAfter/2)
	spread := min(wait+time.Second, maxRetryAfter-wait)
	return Refusal{
		Request:    r,
		Reason:     reason,
		RetryAfter: wait + time.Duration(q.random.Int64N(int64(spread))),
	}
}

// activateOrganisation returns the organisation's state, which it creates if there is
// none, and marks the organisation as active.
func (q *Queue) activateOrganisation(now time.Duration, name string) *organisationState {
	q.sweep(now)
	o := q.organisations[name]
	if o == nil {
		o = &organisationState{
			name:     name,
			slotTime: q.averageSlotTime,
			limit:    initialSurplusLimit,
		}
		q.organisations[name] = o
	}
	if now-o.lastSeen >= activeWindow || o.lastSeen == 0 {
		q.activeOrganisations = q.countActive(now) + 1
	}
	o.lastSeen = max(now, 1)
	return o
}

// countActive returns the number of organisations that were seen in the last
// activeWindow.
func (q *Queue) countActive(now time.Duration) int {
	n := 0
	for _, o := range q.organisations {
		if o.lastSeen != 0 && now-o.lastSeen < activeWindow {
			n++
		}
	}
	return n
}

// sweep removes idle organisations, so that memory is bounded by the number of
// recently active ones. It runs at most once per activeWindow.
func (q *Queue) sweep(now time.Duration) {
	if now-q.lastSweep < activeWindow {
		return
	}
	q.lastSweep = now
	q.activeOrganisations = q.countActive(now)
	for name, o := range q.organisations {
		if len(o.waiting) == 0 && o.running == 0 && now-o.lastSeen >= 2*activeWindow {
			delete(q.organisations, name)
		}
	}
}

// expectedSlotTime returns how long the request is expected to hold a slot.
func (o *organisationState) expectedSlotTime(r Request) time.Duration {
	return time.Duration(float64(max(r.Cost, 1)) * o.slotTime)
}

// isLate reports whether the request can't finish before its deadline. While none
// of the organisation's requests runs, only the deadline itself counts: the
// average slot time may be outdated, and only a request that runs can correct it.
func (o *organisationState) isLate(now time.Duration, r Request) bool {
	if o.running == 0 {
		return now >= r.Deadline
	}
	return now+o.expectedSlotTime(r) > r.Deadline
}
