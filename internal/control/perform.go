package control

import (
	"context"

	"github.com/go-faster/errors"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/store"
)

// perform carries out effects. Those that the Loop doesn't carry out itself go
// to the EffectHandler.
func (c *Loop) perform(ctx context.Context, effects []fleet.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case fleet.Send:
			c.dependencies.Network.Send(e.To, e.Message)
		case fleet.StoreCall:
			c.callStore(ctx, e)
		case fleet.StoreCancel:
			c.cancelCall(callKey{
				component: e.Component,
				number:    e.Number,
			})
		case fleet.Admitted:
			c.deliverUnits(e)
		case fleet.Refused:
			c.admissions.deliver(e.Request, admissionAnswer{
				refusal: &e.Refused,
			})
		case fleet.PermitAnswered:
			c.deliverPermit(e)
		case fleet.ClaimAnswered:
			c.deliverClaim(e.Answer)
		case fleet.StrikesChanged:
			c.quarantine.snapshot.Store(e.Snapshot)
			c.dependencies.HandleEffect(e)
		case fleet.Decided:
			c.logDecision(e)
		default:
			c.dependencies.HandleEffect(e)
		}
	}
}

// deliverUnits hands granted units to the request that waits for them. If it no
// longer waits, the units are returned.
func (c *Loop) deliverUnits(e fleet.Admitted) {
	if !c.admissions.deliver(e.Request, admissionAnswer{
		token: e.Token,
	}) {
		grant{
			loop:  c,
			token: e.Token,
		}.Return()
	}
}

// deliverPermit hands the quarantine's answer to the request that waits for it.
// If it no longer waits, a granted permit is released.
func (c *Loop) deliverPermit(e fleet.PermitAnswered) {
	if c.permits.deliver(e.Number, e.PermitAnswered) || e.Decision != quarantine.Permitted {
		return
	}
	// In a goroutine, because Post blocks while the queue is full, and only this
	// goroutine empties it.
	go suspectPermit{
		loop:   c,
		number: e.Number,
	}.Release(entry.RunResult{})
}

// callStore runs a store call in a goroutine of its own and posts its answer.
// If maxStoreCalls are in progress, the call fails at once and has no effect.
func (c *Loop) callStore(ctx context.Context, e fleet.StoreCall) {
	answer := fleet.StoreAnswer{
		Component: e.Component,
		Number:    e.Number,
	}
	if !c.callSlots.TryAcquire(1) {
		answer.Err = errors.Wrap(store.ErrUnavailable, "too many store calls in progress")
		// In a goroutine, because Post blocks while the queue is full, and only this
		// goroutine empties it.
		go c.Post(answer)
		return
	}
	timeout := storeTimeout
	if _, ok := e.Call.(store.Watch); ok {
		timeout = watchTimeout
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	c.callCancels[callKey{
		component: e.Component,
		number:    e.Number,
	}] = cancel
	go func() {
		defer c.callSlots.Release(1)
		defer cancel()
		answer.Answer, answer.Err = c.dependencies.Store.Do(limited, e.Call)
		c.Post(answer)
	}()
}

// cancelCall ends a store call whose answer is no longer needed.
func (c *Loop) cancelCall(key callKey) {
	if cancel, ok := c.callCancels[key]; ok {
		cancel()
		delete(c.callCancels, key)
	}
}

// logDecision logs a decision of the state as one line.
func (c *Loop) logDecision(e fleet.Decided) {
	args := append([]any{"Part", e.Component, "About", e.Subject}, e.Detail...)
	c.logger.Info(e.Decision, args...)
}
