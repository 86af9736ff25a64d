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

// lookAgain is how long requests wait, at most, that the queue held back while
// there was room.
const lookAgain = 5 * time.Millisecond

// verdict is what a waiting request is told: a pick, or a refusal.
type verdict struct {
	pick    placement.Pick
	refusal *entry.Refusal
}

// waiter is a request that waits.
type waiter struct {
	want entry.SlotRequest
	told chan verdict
}

// service holds what the requests of one service share.
type service struct {
	dispatcher *Dispatcher
	table      atomic.Pointer[placement.Table]
	recorder   *target.Recorder
	// active is set while the recorder may have something to report.
	active atomic.Bool
	// refused holds the targets that refused their last connection.
	refused sync.Map

	mu       sync.Mutex
	settings Service
	queue    *queue.Queue
	budget   *retry.Budget
	random   *rand.Rand
	waiting  map[uint64]*waiter
	number   uint64
	timer    *time.Timer
	closed   bool
	// empty is set while no target may get work.
	empty bool
}

func newService(d *Dispatcher, settings Service) *service {
	s := &service{
		dispatcher: d,
		random:     newRandom(),
		waiting:    map[uint64]*waiter{},
		recorder:   target.NewRecorder(settings.Definition),
	}
	s.shape(settings)
	s.table.Store(settings.Table)
	s.empty = len(settings.Table.ConnectionLimits()) == 0
	return s
}

// shape makes the queue and the budget for the settings. The caller holds mu,
// or is the only one that knows the service.
func (s *service) shape(settings Service) {
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
	s.empty = len(settings.Table.ConnectionLimits()) == 0
	changed := settings.QueueLength != s.settings.QueueLength || settings.RetryPercent != s.settings.RetryPercent
	if changed && s.queue.Len() == 0 {
		s.shape(settings)
	}
	s.settings.QueueWait = settings.QueueWait
	s.recorder.Configure(settings.Definition)
	s.pump()
}

// close refuses all who wait.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for number, w := range s.waiting {
		s.queue.Cancel(w.want.Organisation, number)
		s.tell(number, verdict{
			refusal: refusal("no-service", time.Second),
		})
	}
}

// acquire gives the request a place, at once or after a wait.
func (s *service) acquire(ctx context.Context, want entry.SlotRequest) (entry.Slot, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, refusal("no-service", time.Second)
	}
	if p, ok := s.start(want); ok {
		s.mu.Unlock()
		return s.slot(p, want), nil
	}
	if s.empty || len(want.TriedTargets) > 0 {
		// A retry does not wait: it would take a place from a first attempt.
		s.mu.Unlock()
		return nil, refusal("no-target", time.Second)
	}
	number, w := s.push(want)
	s.mu.Unlock()
	return s.wait(ctx, number, w)
}

// start gives the request a place at once, if nobody waits before it.
func (s *service) start(want entry.SlotRequest) (placement.Pick, bool) {
	table := s.table.Load()
	if !s.queue.TryStart(s.dispatcher.clock(), want.Organisation, table.FreeSlots()) {
		return placement.Pick{}, false
	}
	p, ok := table.Pick(s.random, request(want))
	if !ok {
		s.queue.FinishUnexecuted(s.dispatcher.clock(), want.Organisation, false)
	}
	return p, ok
}

// push lets the request wait.
func (s *service) push(want entry.SlotRequest) (uint64, *waiter) {
	s.number++
	w := &waiter{
		want: want,
		told: make(chan verdict, 1),
	}
	s.waiting[s.number] = w
	now := s.dispatcher.clock()
	limit := now + time.Until(want.Deadline)
	if s.settings.QueueWait > 0 {
		limit = min(limit, now+s.settings.QueueWait)
	}
	s.refuse(s.queue.Push(now, queue.Request{
		Number:       s.number,
		Organisation: want.Organisation,
		Cost:         want.Cost,
		Deadline:     limit,
	}))
	s.schedule()
	return s.number, w
}

// wait waits for the verdict, or for the caller to go away.
func (s *service) wait(ctx context.Context, number uint64, w *waiter) (entry.Slot, error) {
	select {
	case v := <-w.told:
		return s.accept(v, w)
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.waiting, number)
	removed := s.queue.Cancel(w.want.Organisation, number)
	s.mu.Unlock()
	if !removed {
		// The verdict was given meanwhile; a place that nobody uses goes back.
		s.give(<-w.told, w)
	}
	return nil, refusal("waited-too-long", time.Second)
}

// accept turns a verdict into the waiter's slot or refusal.
func (s *service) accept(v verdict, w *waiter) (entry.Slot, error) {
	if v.refusal != nil {
		return nil, v.refusal
	}
	return s.slot(v.pick, w.want), nil
}

// give returns the place of a verdict unused.
func (s *service) give(v verdict, w *waiter) {
	if v.refusal == nil {
		s.slot(v.pick, w.want).Release(entry.AttemptResult{
			Outcome: target.Cancelled,
		})
	}
}

// slot makes the slot of a pick and begins its record.
func (s *service) slot(p placement.Pick, want entry.SlotRequest) *slot {
	now := s.dispatcher.clock()
	s.active.Store(true)
	return &slot{
		Pick:    p,
		service: s,
		want:    want,
		began:   now,
		attempt: s.recorder.Begin(now, p.Target().Name, want.Organisation, want.Route.Name),
	}
}

// observe records what became of an attempt, and tells of changed connections.
func (s *service) observe(p *slot, e entry.AttemptResult) {
	s.recorder.End(s.dispatcher.clock(), p.attempt, e.Outcome)
	name := p.Target().Name
	c := ConnectionEvent{
		Service: p.want.Service,
		Target:  name,
		Refused: e.Outcome == target.Refused,
		Leaving: e.Draining,
	}
	changed := false
	if c.Refused {
		s.refused.Store(name, true)
		changed = true
	} else if e.Outcome != target.Cancelled {
		_, changed = s.refused.LoadAndDelete(name)
	}
	if changed || c.Leaving {
		s.dispatcher.observer(c)
	}
}

// report returns what was seen since the last report.
func (s *service) report(now time.Duration) (target.Report, bool) {
	if !s.active.Load() {
		return target.Report{}, false
	}
	next := s.recorder.Next()
	if next == 0 {
		s.active.Store(false)
		return target.Report{}, false
	}
	if next > now {
		return target.Report{}, false
	}
	return s.recorder.Flush(now)
}

// ended counts an attempt's end and gives its place to the next.
func (s *service) ended(p *slot, outcome target.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.dispatcher.clock()
	s.budget.Record(now, outcome)
	switch outcome {
	case target.Shed:
		s.queue.FinishUnexecuted(now, p.want.Organisation, true)
	case target.Refused, target.Cancelled:
		s.queue.FinishUnexecuted(now, p.want.Organisation, false)
	default:
		s.queue.Finish(now, p.want.Organisation, p.want.Cost, now-p.began)
	}
	s.pump()
}

// pump gives free places to those who wait.
func (s *service) pump() {
	table := s.table.Load()
	for s.queue.Len() > 0 {
		next, late, ok := s.queue.Pop(s.dispatcher.clock(), table.FreeSlots())
		s.refuse(late)
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
	p, ok := table.Pick(s.random, request(w.want))
	if !ok {
		s.queue.FinishUnexecuted(s.dispatcher.clock(), next.Organisation, false)
		s.tell(next.Number, verdict{
			refusal: refusal("no-target", time.Second),
		})
		return
	}
	s.tell(next.Number, verdict{
		pick: p,
	})
}

// tell gives a waiting request its verdict.
func (s *service) tell(number uint64, v verdict) {
	w, ok := s.waiting[number]
	if !ok {
		return
	}
	delete(s.waiting, number)
	w.told <- v
}

// refuse tells waiting requests that the queue gave them up.
func (s *service) refuse(refused []queue.Refusal) {
	for _, r := range refused {
		s.tell(r.Request.Number, verdict{
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
		wait = min(wait, lookAgain)
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.wake)
		return
	}
	s.timer.Reset(wait)
}

// wake refuses those that can't finish any more, and tries the others.
func (s *service) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse(s.queue.Expire(s.dispatcher.clock()))
	s.pump()
}

// request is the form in which a table takes a request.
func request(want entry.SlotRequest) placement.Request {
	return placement.Request{
		Repeatable: want.Repeatable,
		Exclude:    exclude(want.TriedTargets),
	}
}

func refusal(reason string, retryAfter time.Duration) *entry.Refusal {
	return &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}
