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

// recheckInterval is how long requests wait, at most, that the queue held back while
// there was room.
const recheckInterval = 5 * time.Millisecond

// waitResult is what a waiting request is told: a pick, or a refusal.
type waitResult struct {
	pick    placement.Pick
	refusal *entry.Refusal
}

// waiter is a request that waits.
type waiter struct {
	request entry.SlotRequest
	result chan waitResult
}

// service holds what the requests of one service share.
type service struct {
	dispatcher *Dispatcher
	table      atomic.Pointer[placement.Table]
	recorder   *target.Recorder
	// reportPending is set while the recorder may have something to report.
	reportPending atomic.Bool
	// refusedTargets holds the targets that refusedTargets their last connection.
	refusedTargets sync.Map

	mu       sync.Mutex
	settings Service
	queue    *queue.Queue
	budget   *retry.Budget
	random   *rand.Rand
	waiting  map[uint64]*waiter
	lastNumber   uint64
	timer    *time.Timer
	closed   bool
	// noTargets is set while no target may get work.
	noTargets bool
}

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

// reset makes the queue and the budget for the settings. The caller holds mu,
// or is the only one that knows the service.
func (s *service) reset(settings Service) {
	options := []queue.Option{queue.WithRandom(newRandom())}
	if settings.QueueLength > 0 {
		options = append(options, queue.WithMaxLength(settings.QueueLength))
	}
	s.settings = settings
	s.queue = queue.New(options...)
	s.budget = retry.New(settings.RetryPercent)
}

// update takes a new table, and tries it for those who wait.
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

// close refuses all who wait.
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

// acquire gives the request a place, at once or after a wait.
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
	if s.noTargets || len(request.TriedTargets) > 0 {
		// A retry does not wait: it would take a place from a first attempt.
		s.mu.Unlock()
		return nil, refusal("no-target", time.Second)
	}
	number, w := s.enqueue(request)
	s.mu.Unlock()
	return s.wait(ctx, number, w)
}

// tryStart gives the request a place at once, if nobody waits before it.
func (s *service) tryStart(request entry.SlotRequest) (placement.Pick, bool) {
	table := s.table.Load()
	if !s.queue.TryStart(s.dispatcher.clock(), request.Organisation, table.FreeSlots()) {
		return placement.Pick{}, false
	}
	p, ok := table.Pick(s.random, placementRequest(request))
	if !ok {
		s.queue.FinishUnexecuted(s.dispatcher.clock(), request.Organisation, false)
	}
	return p, ok
}

// enqueue lets the request wait.
func (s *service) enqueue(request entry.SlotRequest) (uint64, *waiter) {
	s.lastNumber++
	w := &waiter{
		request: request,
		result: make(chan waitResult, 1),
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

// wait waits for the verdict, or for the caller to go away.
func (s *service) wait(ctx context.Context, number uint64, w *waiter) (entry.Slot, error) {
	select {
	case v := <-w.result:
		return s.resolve(v, w)
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.waiting, number)
	removed := s.queue.Cancel(w.request.Organisation, number)
	s.mu.Unlock()
	if !removed {
		// The verdict was given meanwhile; a place that nobody uses goes back.
		s.releaseUnused(<-w.result, w)
	}
	return nil, refusal("waited-too-long", time.Second)
}

// resolve turns a verdict into the waiter's slot or refusal.
func (s *service) resolve(v waitResult, w *waiter) (entry.Slot, error) {
	if v.refusal != nil {
		return nil, v.refusal
	}
	return s.newSlot(v.pick, w.request), nil
}

// releaseUnused returns the place of a verdict unused.
func (s *service) releaseUnused(v waitResult, w *waiter) {
	if v.refusal == nil {
		s.newSlot(v.pick, w.request).Release(entry.AttemptResult{
			Outcome: target.Cancelled,
		})
	}
}

// newSlot makes the newSlot of a pick and begins its record.
func (s *service) newSlot(p placement.Pick, request entry.SlotRequest) *slot {
	now := s.dispatcher.clock()
	s.reportPending.Store(true)
	return &slot{
		Pick:    p,
		service: s,
		request:    request,
		startedAt:   now,
		attempt: s.recorder.Begin(now, p.Target().Name, request.Organisation, request.Route.Name),
	}
}

// recordResult records what became of an attempt, and tells of changed connections.
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
	} else if result.Outcome != target.Cancelled {
		_, changed = s.refusedTargets.LoadAndDelete(name)
	}
	if changed || event.Leaving {
		s.dispatcher.observer(event)
	}
}

// report returns what was seen since the last report.
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

// finish counts an attempt's end and gives its place to the next.
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

// serveWaiters gives free places to those who wait.
func (s *service) serveWaiters() {
	table := s.table.Load()
	for s.queue.Len() > 0 {
		next, expired, ok := s.queue.Pop(s.dispatcher.clock(), table.FreeSlots())
		s.deliverRefusals(expired)
		if !ok {
			break
		}
		s.place(table, next)
	}
	s.schedule()
}

// place gives a popped request its target.
func (s *service) place(table *placement.Table, next queue.Request) {
	w, ok := s.waiting[next.Number]
	if !ok {
		s.queue.FinishUnexecuted(s.dispatcher.clock(), next.Organisation, false)
		return
	}
	p, ok := table.Pick(s.random, placementRequest(w.request))
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

// deliver gives a waiting request its verdict.
func (s *service) deliver(number uint64, v waitResult) {
	w, ok := s.waiting[number]
	if !ok {
		return
	}
	delete(s.waiting, number)
	w.result <- v
}

// deliverRefusals tells waiting requests that the queue gave them up.
func (s *service) deliverRefusals(refused []queue.Refusal) {
	for _, r := range refused {
		s.deliver(r.Request.Number, waitResult{
			refusal: refusal("queue-"+r.Reason.String(), r.RetryAfter),
		})
	}
}

// schedule sets the timer to when a request can't finish any more, or to the
// next look if one waits though there is room: the queue holds organisations
// with a surplus back for a while, and nothing else may wake them.
func (s *service) schedule() {
	next := s.queue.NextExpiry()
	if next == 0 {
		return
	}
	wait := max(next-s.dispatcher.clock(), 0)
	if s.table.Load().FreeSlots() > 0 {
		wait = min(wait, recheckInterval)
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.onTimer)
		return
	}
	s.timer.Reset(wait)
}

// onTimer refuses those that can't finish any more, and tries the others.
func (s *service) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverRefusals(s.queue.Expire(s.dispatcher.clock()))
	s.serveWaiters()
}

// placementRequest is the form in which a table takes a placementRequest.
func placementRequest(request entry.SlotRequest) placement.Request {
	return placement.Request{
		Repeatable: request.Repeatable,
		Exclude:    excludedNames(request.TriedTargets),
	}
}

func refusal(reason string, retryAfter time.Duration) *entry.Refusal {
	return &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}
