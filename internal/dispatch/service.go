package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/placement"
	"dandelionmux/pkg/queue"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

// recheckInterval bounds how long requests that the queue holds back although
// targets have free slots wait until they are tried again.
const recheckInterval = 5 * time.Millisecond

// waitResult is how a request's wait ended: with a pick, or with a refusal.
type waitResult struct {
	pick    placement.Pick
	refusal *entry.Refusal
}

// waiter is a request that waits in the queue.
type waiter struct {
	request entry.SlotRequest
	// result gets at most one value. Its buffer of one keeps the sender, which
	// holds the service's lock, from blocking.
	result chan waitResult
}

// service is the state that the requests of one service share.
type service struct {
	dispatcher *Dispatcher
	table      atomic.Pointer[placement.Table]
	recorder   *target.Recorder
	// reportPending is set while the recorder may have something to report.
	reportPending atomic.Bool
	// refusedTargets holds the names of the targets that refused the last
	// connection to them.
	refusedTargets sync.Map

	mu       sync.Mutex
	settings Service
	queue    *queue.Queue
	budget   *retry.Budget
	random   *rand.Rand
	// waiting holds the requests in the queue by their numbers, which count up
	// to lastNumber.
	waiting    map[uint64]*waiter
	lastNumber uint64
	timer      *time.Timer
	closed     bool
	// noTargets is set while no target may get requests.
	noTargets bool
}

// newService returns a service without waiting requests.
func newService(d *Dispatcher, settings Service) *service {
	s := &service{
		dispatcher: d,
		random:     newRandom(),
		waiting:    map[uint64]*waiter{},
		recorder:   target.NewRecorder(settings.Definition),
	}
	s.reset(settings)
	s.table.Store(settings.Table)
	s.noTargets = len(settings.Table.ConnectionLimits()) == 0
	return s
}

// reset makes a new queue and a new retry budget for the settings. The caller
// holds mu, or has the only reference to the service.
func (s *service) reset(settings Service) {
	options := []queue.Option{queue.WithRandom(newRandom())}
	if settings.QueueLength > 0 {
		options = append(options, queue.WithMaxLength(settings.QueueLength))
	}
	s.settings = settings
	s.queue = queue.New(options...)
	s.budget = retry.New(settings.RetryPercent)
}

// update applies new settings and a new table, and tries the waiting requests
// again. A changed queue length or retry percentage takes effect at the first
// update at which no request waits.
func (s *service) update(settings Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Store(settings.Table)
	s.noTargets = len(settings.Table.ConnectionLimits()) == 0
	changed := settings.QueueLength != s.settings.QueueLength || settings.RetryPercent != s.settings.RetryPercent
	if changed && s.queue.Len() == 0 {
		s.reset(settings)
	}
	s.settings.QueueWait = settings.QueueWait
	s.recorder.Configure(settings.Definition)
	s.serveWaiters()
}

// close refuses all waiting requests and those that come later.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for number, w := range s.waiting {
		s.queue.Cancel(w.request.Organisation, number)
		s.deliver(number, waitResult{
			refusal: refusal("no-service", time.Second),
		})
	}
}

// acquire returns a slot for the request, at once or after a wait in the queue,
// or a refusal as error.
func (s *service) acquire(ctx context.Context, request entry.SlotRequest) (entry.Slot, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, refusal("no-service", time.Second)
	}
	if p, ok := s.tryStart(request); ok {
		s.mu.Unlock()
		return s.newSlot(p, request), nil
	}
	if wait := s.table.Load().Wait(s.dispatcher.clock()); wait > 0 {
		s.mu.Unlock()
		return nil, s.restRefusal(wait)
	}
	if s.noTargets || len(request.TriedTargets) > 0 {
		// A retry doesn't wait: it would take a slot from a first attempt.
		s.mu.Unlock()
		return nil, refusal("no-target", time.Second)
	}
	number, w := s.enqueue(request)
	s.mu.Unlock()
	return s.wait(ctx, number, w)
}

// tryStart picks a target for the request at once. It reports false if the
// request must wait or no target takes it. The caller holds mu.
func (s *service) tryStart(request entry.SlotRequest) (placement.Pick, bool) {
	table := s.table.Load()
	if !s.queue.TryStart(s.dispatcher.clock(), request.Organisation, table.FreeSlots(s.dispatcher.clock())) {
		return placement.Pick{}, false
	}
	p, ok := table.Pick(s.random, s.placementRequest(request))
	if !ok {
		s.queue.FinishUnexecuted(s.dispatcher.clock(), request.Organisation, false)
	}
	return p, ok
}

// enqueue adds the request to the queue, where it waits at most until its
// deadline and at most for QueueWait. The caller holds mu.
func (s *service) enqueue(request entry.SlotRequest) (uint64, *waiter) {
	s.lastNumber++
	w := &waiter{
		request: request,
		result:  make(chan waitResult, 1),
	}
	s.waiting[s.lastNumber] = w
	now := s.dispatcher.clock()
	deadline := now + time.Until(request.Deadline)
	if s.settings.QueueWait > 0 {
		deadline = min(deadline, now+s.settings.QueueWait)
	}
	s.deliverRefusals(s.queue.Push(now, queue.Request{
		Number:       s.lastNumber,
		Organisation: request.Organisation,
		Cost:         request.Cost,
		Deadline:     deadline,
	}))
	s.schedule()
	return s.lastNumber, w
}

// wait returns the slot or refusal that the waiting request gets, or a refusal
// if the context ends first.
func (s *service) wait(ctx context.Context, number uint64, w *waiter) (entry.Slot, error) {
	select {
	case result := <-w.result:
		return s.resolve(result, w)
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.waiting, number)
	removed := s.queue.Cancel(w.request.Organisation, number)
	s.mu.Unlock()
	if !removed {
		// The result was sent in the meantime. If it is a pick, its slot is
		// given back.
		s.releaseUnused(<-w.result, w)
	}
	return nil, refusal("waited-too-long", time.Second)
}

// resolve turns a result into the waiting request's slot or refusal.
func (s *service) resolve(result waitResult, w *waiter) (entry.Slot, error) {
	if result.refusal != nil {
		return nil, result.refusal
	}
	return s.newSlot(result.pick, w.request), nil
}

// releaseUnused gives back the slot of a result that no request uses.
func (s *service) releaseUnused(result waitResult, w *waiter) {
	if result.refusal == nil {
		s.newSlot(result.pick, w.request).Release(entry.AttemptResult{
			Outcome: target.Cancelled,
		})
	}
}

// newSlot returns the slot of a pick and begins the record of its attempt.
func (s *service) newSlot(p placement.Pick, request entry.SlotRequest) *slot {
	now := s.dispatcher.clock()
	s.reportPending.Store(true)
	return &slot{
		Pick:      p,
		service:   s,
		request:   request,
		startedAt: now,
		attempt:   s.recorder.Begin(now, p.Target().Name, request.Organisation, request.Route.Name),
	}
}

// recordResult records how an attempt ended. It calls the observer if the
// target refused the connection, accepts connections again after a refusal, or
// announced that it is leaving.
func (s *service) recordResult(p *slot, result entry.AttemptResult) {
	s.recorder.End(s.dispatcher.clock(), p.attempt, result.Outcome)
	name := p.Target().Name
	event := ConnectionEvent{
		Service: p.request.Service,
		Target:  name,
		Refused: result.Outcome == target.Refused,
		Leaving: result.Draining,
	}
	changed := false
	if event.Refused {
		s.refusedTargets.Store(name, true)
		changed = true
	} else if !result.Outcome.Inconclusive() {
		_, changed = s.refusedTargets.LoadAndDelete(name)
	}
	if changed || event.Leaving {
		s.dispatcher.observer(event)
	}
}

// recordRest records that a target wants no requests from this instance for a time. If all
// targets rest, the waiting requests are refused. When the rest is over, the target's slots
// are free again.
func (s *service) recordRest(p *slot, rest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.dispatcher.clock()
	p.Rest(now + rest)
	time.AfterFunc(rest, s.onTimer)
	wait := s.table.Load().Wait(now)
	if wait == 0 {
		return
	}
	for number, w := range s.waiting {
		s.queue.Cancel(w.request.Organisation, number)
		s.deliver(number, waitResult{
			refusal: s.restRefusal(wait),
		})
	}
}

// minRestSpread is the least time over which callers come back after all targets of a
// service have rested, so that they don't all meet the same one.
const minRestSpread = 500 * time.Millisecond

// restRefusal returns the refusal of a request while all targets rest for a time.
func (s *service) restRefusal(wait time.Duration) *entry.Refusal {
	return refusal("targets-resting", wait+rand.N(max(wait/2, minRestSpread)))
}

// report returns the report on the attempts since the last one, if one is due.
func (s *service) report(now time.Duration) (target.Report, bool) {
	if !s.reportPending.Load() {
		return target.Report{}, false
	}
	next := s.recorder.Next()
	if next == 0 {
		s.reportPending.Store(false)
		return target.Report{}, false
	}
	if next > now {
		return target.Report{}, false
	}
	return s.recorder.Flush(now)
}

// finish tells the retry budget and the queue how an attempt ended, and tries
// the waiting requests with the slot that became free.
func (s *service) finish(p *slot, outcome target.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.dispatcher.clock()
	s.budget.Record(now, outcome)
	switch outcome {
	case target.Shed:
		s.queue.FinishUnexecuted(now, p.request.Organisation, true)
	case target.Refused, target.Cancelled:
		s.queue.FinishUnexecuted(now, p.request.Organisation, false)
	default:
		s.queue.Finish(now, p.request.Organisation, p.request.Cost, now-p.startedAt)
	}
	s.serveWaiters()
}

// serveWaiters gives the free slots to waiting requests, in the queue's order.
// The caller holds mu.
func (s *service) serveWaiters() {
	table := s.table.Load()
	for s.queue.Len() > 0 {
		next, expired, ok := s.queue.Pop(s.dispatcher.clock(), table.FreeSlots(s.dispatcher.clock()))
		s.deliverRefusals(expired)
		if !ok {
			break
		}
		s.place(table, next)
	}
	s.schedule()
}

// place picks a target for a request that has left the queue.
func (s *service) place(table *placement.Table, next queue.Request) {
	w, ok := s.waiting[next.Number]
	if !ok {
		s.queue.FinishUnexecuted(s.dispatcher.clock(), next.Organisation, false)
		return
	}
	p, ok := table.Pick(s.random, s.placementRequest(w.request))
	if !ok {
		s.queue.FinishUnexecuted(s.dispatcher.clock(), next.Organisation, false)
		s.deliver(next.Number, waitResult{
			refusal: refusal("no-target", time.Second),
		})
		return
	}
	s.deliver(next.Number, waitResult{
		pick: p,
	})
}

// deliver ends a request's wait with a result. It does nothing if the request
// no longer waits.
func (s *service) deliver(number uint64, result waitResult) {
	w, ok := s.waiting[number]
	if !ok {
		return
	}
	delete(s.waiting, number)
	w.result <- result
}

// deliverRefusals ends the waits of requests that the queue has refused.
func (s *service) deliverRefusals(refused []queue.Refusal) {
	for _, r := range refused {
		s.deliver(r.Request.Number, waitResult{
			refusal: refusal("queue-"+r.Reason.String(), r.RetryAfter),
		})
	}
}

// schedule sets the timer to the time at which the next waiting request can no
// longer finish before its deadline. If requests wait although slots are free,
// the timer fires after recheckInterval at the latest: the queue holds back
// organisations with a surplus for a while, and there may be no other event
// that lets them go on.
func (s *service) schedule() {
	next := s.queue.NextExpiry()
	if next == 0 {
		return
	}
	wait := max(next-s.dispatcher.clock(), 0)
	if s.table.Load().FreeSlots(s.dispatcher.clock()) > 0 {
		wait = min(wait, recheckInterval)
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.onTimer)
		return
	}
	s.timer.Reset(wait)
}

// onTimer refuses the waiting requests that can no longer finish before their
// deadlines, and tries the others.
func (s *service) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverRefusals(s.queue.Expire(s.dispatcher.clock()))
	s.serveWaiters()
}

// placementRequest converts a request to the form that a table takes.
func (s *service) placementRequest(request entry.SlotRequest) placement.Request {
	return placement.Request{
		Repeatable: request.Repeatable,
		Exclude:    excludedNames(request.TriedTargets),
		Now:        s.dispatcher.clock(),
	}
}

// refusal returns a refusal with status 503 (Service Unavailable).
func refusal(reason string, retryAfter time.Duration) *entry.Refusal {
	return &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}
