package control

import (
	"context"

	"github.com/go-faster/errors"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/store"
)

// perform carries out effects.
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

// deliverUnits gives units to the request that waits, or back.
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

// deliverPermit gives a permit to the request that waits, or back.
func (c *Loop) deliverPermit(e fleet.PermitAnswered) {
	if c.permits.deliver(e.Number, e.PermitAnswered) || e.Decision != quarantine.Permitted {
		return
	}
	go suspectPermit{
		loop:   c,
		number: e.Number,
	}.Release(entry.RunResult{})
}

// callStore runs a store callStore and posts its answer. Where too many are under way it
// fails at once, without effect.
func (c *Loop) callStore(ctx context.Context, e fleet.StoreCall) {
	answer := fleet.StoreAnswer{
		Component: e.Component,
		Number:    e.Number,
	}
	if !c.callSlots.TryAcquire(1) {
		answer.Err = errors.Wrap(store.ErrUnavailable, "too many calls")
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

// cancelCall ends a store call whose answer isn't needed any more.
func (c *Loop) cancelCall(key callKey) {
	if cancel, ok := c.callCancels[key]; ok {
		cancel()
		delete(c.callCancels, key)
	}
}

// logDecision writes a decision as one line.
func (c *Loop) logDecision(e fleet.Decided) {
	args := append([]any{"Part", e.Component, "About", e.Subject}, e.Detail...)
	c.logger.Info(e.Decision, args...)
}
