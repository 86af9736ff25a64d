package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionmux/pkg/target"
)

const (
	// maxRunning is the number of attempts at a request that run at the same time.
	maxRunning = 3
	// overduePeriod is the time between two requests for a retry of an attempt whose
	// answer is overdue.
	overduePeriod = 500 * time.Millisecond
)

// attempt is an attempt that a race runs: a *placedAttempt or a *relayAttempt.
type attempt interface {
	// send sends the attempt and returns its outcome.
	send() attemptOutcome
	// abandon ends the attempt's context.
	abandon()
}

// race runs the attempts at one request, one after the other. While the answer to an attempt
// at a repeatable request is overdue, another one may run beside it: the first may be at a
// target, or go through an instance, that has stopped answering, or just take long. The first
// usable answer is taken.
type race struct {
	exchange *exchange
	ctx      context.Context
	// begun is the number of attempts so far, and running those of them in progress.
	begun   int
	running map[int]*runningAttempt
	// ended receives the attempts that have ended, and granted that a further one may run
	// beside the one in progress.
	ended   chan endedAttempt
	granted chan struct{}
	// unused is set if a retry was granted and no attempt has begun with it yet. again
	// receives when to try again to begin it.
	unused bool
	again  chan struct{}
	// blocked is set if no attempt may follow because of what the quarantine says.
	blocked bool
	// last is the failure that the caller is told of unless a later one replaces it.
	last failedAttempt
}

// runningAttempt is an attempt in progress that another one may run beside.
type runningAttempt struct {
	attempt attempt
	// mu is held while a retry is asked for. granted is set once it was.
	mu      sync.Mutex
	granted bool
	timer   *time.Timer
	over    atomic.Bool
}

// endedAttempt is an attempt that has ended.
type endedAttempt struct {
	number  int
	outcome attemptOutcome
}

// run makes attempts until one yields a usable answer or no further attempt is
// allowed.
func (x *exchange) run(ctx context.Context) (*answer, error) {
	if x.relayed != nil && x.sentAttempts >= x.maxSentAttempts() {
		return nil, &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "attempts-used-up",
			RetryAfter: time.Second,
		}
	}
	r := &race{
		exchange: x,
		ctx:      ctx,
		running:  map[int]*runningAttempt{},
		ended:    make(chan endedAttempt, maxRunning),
		granted:  make(chan struct{}, 1),
		again:    make(chan struct{}, 1),
	}
	defer r.abandon()
	r.start(false)
	for {
		select {
		case <-r.granted:
			r.unused = true
			r.startBeside()
		case <-r.again:
			r.startBeside()
		case e := <-r.ended:
			r.stopWatching(e.number)
			switch outcome := e.outcome.(type) {
			case usableAnswer:
				r.last.fallback.discard()
				x.sentAttempts += len(r.running)
				x.mayHaveRun = true
				x.answered = outcome.answer.response.StatusCode < http.StatusInternalServerError
				x.leavingTarget = outcome.leavingTarget
				return outcome.answer, nil
			case failedAttempt:
				if r.fail(outcome); len(r.running) > 0 {
					if outcome.outcome == target.Refused && r.begun < maxAttempts {
						r.unused = true // the attempt reached no target
						r.startBeside()
					}
					continue
				}
				if r.mayGoOn() {
					r.last.fallback.discard()
					r.start(false)
					continue
				}
				x.leavingTarget = r.last.leavingTarget
				if r.last.fallback != nil {
					return r.last.fallback, nil
				}
				return nil, r.last.refusal
			}
		}
	}
}

// fail takes in a failed attempt.
func (r *race) fail(failed failedAttempt) {
	x := r.exchange
	x.mayHaveRun = x.mayHaveRun || failed.mayHaveRun
	x.countAttempt(failed)
	if failed.crashedTarget != "" && !x.recordCrash(r.ctx, failed.crashedTarget) {
		r.blocked = true
	}
	if failed.fallback == nil && r.last.fallback != nil {
		return // a target's own answer is kept
	}
	r.last.fallback.discard()
	r.last = failed
}

// mayGoOn reports whether another attempt may follow the last one.
func (r *race) mayGoOn() bool {
	select {
	case <-r.granted:
		r.unused = true
	default:
	}
	if r.blocked || !r.exchange.shouldRetry(r.ctx, r.begun, r.last, r.unused) {
		return false
	}
	r.unused = false
	return true
}

// startBeside begins an attempt beside those in progress if a retry was granted.
func (r *race) startBeside() {
	if r.unused && !r.blocked && r.hasRoom() {
		r.start(true)
	}
}

// startLater tries again later to begin an attempt beside those in progress.
func (r *race) startLater() { time.AfterFunc(overduePeriod, func() { signal(r.again) }) }

// signal sends to a channel unless it is full.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// start begins the next attempt: at a target, or through another instance if this one has
// no links to the targets. beside says that another one is in progress.
func (r *race) start(beside bool) {
	x := r.exchange
	relay, err := x.acquireRelay(r.ctx)
	if beside && err != nil {
		r.startLater()
		return
	}
	r.begun++
	if err != nil {
		r.end(*unsentFailure(err))
		return
	}
	var next attempt
	var wait time.Duration
	var failed *failedAttempt
	if relay != nil {
		next, failed = x.attemptThrough(r.ctx, relay, r.begun, len(r.running))
		wait = relay.OverdueAfter()
	} else {
		next, wait, failed = x.attemptAtTarget(r.ctx, r.begun, beside)
	}
	switch {
	case failed != nil && beside:
		r.begun--
		r.startLater()
		return
	case failed != nil:
		r.end(*failed)
		return
	}
	r.unused = false
	if !x.repeatable || wait <= 0 || x.permit.Suspect() {
		r.end(next.send())
		return
	}
	r.watch(next, wait)
	number := r.begun
	go func() {
		r.ended <- endedAttempt{
			number:  number,
			outcome: next.send(),
		}
	}()
}

// end records the outcome of the latest attempt, beside which none runs.
func (r *race) end(outcome attemptOutcome) {
	r.ended <- endedAttempt{
		number:  r.begun,
		outcome: outcome,
	}
}

// watch has a retry asked for when the answer to an attempt is overdue: after wait, or when
// its target seems to have stopped answering. A retry that is refused is asked for again. An
// instance that is leaving asks for none.
func (r *race) watch(next attempt, wait time.Duration) {
	number := r.begun
	a := &runningAttempt{
		attempt: next,
	}
	r.running[number] = a
	if !r.hasRoom() {
		r.watchLinks(next)
		return
	}
	tried := slices.Clone(r.exchange.triedTargets)
	overdue := func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.granted || a.over.Load() || r.ctx.Err() != nil || r.exchange.handler.deps.Snapshots.Current().Leaving {
			return
		}
		if !r.exchange.retryOverdue(r.ctx, number, tried) {
			a.timer.Reset(overduePeriod)
			return
		}
		a.granted = true
		signal(r.granted)
	}
	contained := func() { r.exchange.handler.contain(overdue) }
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = time.AfterFunc(wait, contained)
	if p, ok := next.(*placedAttempt); ok {
		p.slot.OnUnresponsive(contained)
	}
}

// watchLinks ends an attempt for another instance's caller once this instance has lost its links
// to the service: the other instance then tries elsewhere at once.
func (r *race) watchLinks(next attempt) {
	p, ok := next.(*placedAttempt)
	if !ok || r.exchange.relayed == nil {
		return
	}
	p.slot.OnUnresponsive(func() {
		r.exchange.handler.contain(func() {
			if _, err := r.exchange.acquireRelay(p.ctx); err != nil {
				p.cutOff()
			}
		})
	})
}

// hasRoom reports whether another attempt may run beside those in progress.
func (r *race) hasRoom() bool {
	return len(r.running) < maxRunning && r.exchange.sentAttempts+len(r.running) < r.exchange.maxSentAttempts()
}

// stopWatching removes an attempt that has ended.
func (r *race) stopWatching(number int) {
	a := r.running[number]
	if a == nil {
		return
	}
	delete(r.running, number)
	a.over.Store(true)
	if a.timer != nil {
		a.timer.Stop()
	}
}

// abandon cancels the attempts in progress.
func (r *race) abandon() {
	left := len(r.running)
	for number, a := range r.running {
		a.attempt.abandon()
		r.stopWatching(number)
	}
	if left == 0 {
		return
	}
	go func() {
		for range left {
			e := <-r.ended
			r.exchange.handler.contain(func() {
				switch outcome := e.outcome.(type) {
				case usableAnswer:
					outcome.answer.finish(target.Cancelled)
				case failedAttempt:
					outcome.fallback.discard()
				}
			})
		}
	}()
}
