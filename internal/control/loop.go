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
	// maxQueuedEvents bounds the events that wait.
	maxQueuedEvents = 8192
	// maxStoreCalls bounds the store calls under way, a waiting watch included.
	maxStoreCalls = 16
	// storeTimeout bounds a store call other than a watch.
	storeTimeout = 2 * time.Second
	// watchTimeout bounds a watch.
	watchTimeout = time.Minute
)

// Network sends messages to peers. It is safe for concurrent use.
type Network interface {
	// Send queues a message. It may be lost.
	Send(to instance.Address, message fleet.Message)
}

// EffectHandler is what the loop publishes for others: MembersChanged, StrikesChanged,
// StrikesKnown, Superseded or LeaveCompleted of package fleet. It must not block.
type EffectHandler func(fleet.Effect)

// Dependencies are what a Loop needs.
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
	// callCancels end store calls under way. Only the control goroutine uses it.
	callCancels map[callKey]context.CancelFunc
	ended       chan struct{}

	admissions waiters[admissionAnswer]
	permits    waiters[quarantine.PermitAnswered]
	claims     waiters[claim.Effect]
	quarantine quarantineState
}

// callKey names a store call.
type callKey struct {
	component fleet.Component
	number    uint64
}

// input is an event, or a question to the state.
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

// New makes the loop of one run of an instance. The clock is monotonic and
// counts from the process's start.
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

// Run runs the state until the context ends.
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

// drain takes the events that have come meanwhile, so that one wake-up serves
// them all.
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

// schedule sets the timer to when the state wants to be woken.
func (c *Loop) schedule(timer *time.Timer) {
	next := c.state.Next()
	if next == 0 {
		timer.Stop()
		return
	}
	timer.Reset(max(next-c.clock(), 0))
}

// Post queues an event. It waits while the queue is full, but not beyond the
// loop's end.
func (c *Loop) Post(e fleet.Event) {
	c.enqueue(input{
		event: e,
	})
}

// TryPost queues an event, or drops it if the queue is full, as a network would.
func (c *Loop) TryPost(e fleet.Event) {
	select {
	case c.events <- input{
		event: e,
	}:
	default:
	}
}

// Inspect runs a question on the control goroutine and waits for it.
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

func (c *Loop) enqueue(in input) {
	select {
	case c.events <- in:
	case <-c.ended:
	}
}
