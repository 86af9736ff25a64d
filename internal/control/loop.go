package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/semaphore"

	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/store"
)

// Limits of a Loop.
const (
	// maxQueuedEvents is the capacity of the event queue.
	maxQueuedEvents = 8192
	// maxStoreCalls bounds the store calls in progress, pending watches
	// included.
	maxStoreCalls = 16
	// storeTimeout bounds a store call other than a watch.
	storeTimeout = 2 * time.Second
	// watchTimeout bounds a watch.
	watchTimeout = time.Minute
)

// Network sends messages to peers. It is safe for concurrent use.
type Network interface {
	// Send queues a message for a peer. The message may be lost.
	Send(to instance.Address, message fleet.Message)
}

// EffectHandler is called on the control goroutine with each
// fleet.StrikesChanged and with each effect that the Loop doesn't carry out
// itself. It must not block.
type EffectHandler func(fleet.Effect)

// Dependencies are the parts of the instance that a Loop uses.
type Dependencies struct {
	Network      Network
	Store        store.Client
	HandleEffect EffectHandler
}

// Loop runs the control state of one instance. Its methods are safe for
// concurrent use.
type Loop struct {
	dependencies Dependencies
	clock        func() time.Duration
	logger       *slog.Logger
	state        *fleet.State
	allowance    *quota.Allowance
	events       chan input
	callSlots    *semaphore.Weighted
	// callCancels holds the cancel function of each store call in progress. Only
	// the control goroutine uses it.
	callCancels map[callKey]context.CancelFunc
	// ended is closed when Run returns.
	ended chan struct{}

	// admissions, permits and claims are the requests that wait for an answer
	// of the control state.
	admissions waiters[admissionAnswer]
	permits    waiters[quarantine.PermitAnswered]
	claims     waiters[claim.Effect]
	quarantine quarantineState
}

// callKey identifies a store call.
type callKey struct {
	component fleet.Component
	number    uint64
}

// input is either an event or a function that inspects the state.
type input struct {
	event   fleet.Event
	inspect func(now time.Duration, s *fleet.State)
}

// Option changes a Loop under construction.
type Option func(*Loop)

// WithLogger sets where decisions are logged.
func WithLogger(l *slog.Logger) Option {
	return func(c *Loop) { c.logger = l }
}

// New returns the control loop of one run of an instance. The clock is
// monotonic and returns the time since the process started. The fleetOptions
// are passed on to fleet.New.
func New(self instance.Info, dependencies Dependencies, clock func() time.Duration, fleetOptions []fleet.Option, options ...Option) *Loop {
	c := &Loop{
		dependencies: dependencies,
		clock:        clock,
		logger:       slog.New(slog.DiscardHandler),
		allowance:    quota.NewAllowance(),
		events:       make(chan input, maxQueuedEvents),
		callSlots:    semaphore.NewWeighted(maxStoreCalls),
		callCancels:  map[callKey]context.CancelFunc{},
		ended:        make(chan struct{}),
	}
	for _, o := range options {
		o(c)
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.state = fleet.New(self, c.allowance, random, fleetOptions...)
	return c
}

// Run runs the control state until the context ends.
func (c *Loop) Run(ctx context.Context) {
	defer close(c.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	c.perform(ctx, c.state.Start(c.clock()))
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-c.events:
			c.handle(ctx, in)
		case <-timer.C:
			c.perform(ctx, c.state.Handle(c.clock(), fleet.Tick{}))
		}
		c.drain(ctx)
		c.schedule(timer)
	}
}

// drain handles the events that are already queued, so that one wake-up of the
// goroutine serves them all.
func (c *Loop) drain(ctx context.Context) {
	for range maxQueuedEvents {
		select {
		case in := <-c.events:
			c.handle(ctx, in)
		default:
			return
		}
	}
}

// handle passes an event to the state and performs the effects, or runs an
// inspecting function.
func (c *Loop) handle(ctx context.Context, in input) {
	if in.inspect != nil {
		in.inspect(c.clock(), c.state)
		return
	}
	if e, ok := in.event.(fleet.StoreAnswer); ok {
		c.cancelCall(callKey{
			component: e.Component,
			number:    e.Number,
		})
	}
	c.perform(ctx, c.state.Handle(c.clock(), in.event))
}

// schedule sets the timer to the time of the state's next Tick.
func (c *Loop) schedule(timer *time.Timer) {
	next := c.state.Next()
	if next == 0 {
		timer.Stop()
		return
	}
	timer.Reset(max(next-c.clock(), 0))
}

// Post queues an event. It blocks while the queue is full and the loop has not
// ended.
func (c *Loop) Post(e fleet.Event) {
	c.enqueue(input{
		event: e,
	})
}

// TryPost queues an event. It drops the event if the queue is full, as a
// network would drop a packet.
func (c *Loop) TryPost(e fleet.Event) {
	select {
	case c.events <- input{
		event: e,
	}:
	default:
	}
}

// Inspect calls a function on the control goroutine, which may read the state,
// and waits until it returns or the loop has ended.
func (c *Loop) Inspect(inspect func(now time.Duration, s *fleet.State)) {
	done := make(chan struct{})
	c.enqueue(input{
		inspect: func(now time.Duration, s *fleet.State) {
			inspect(now, s)
			close(done)
		},
	})
	select {
	case <-done:
	case <-c.ended:
	}
}

// enqueue queues an input. It blocks while the queue is full and the loop has
// not ended.
func (c *Loop) enqueue(in input) {
	select {
	case c.events <- in:
	case <-c.ended:
	}
}
