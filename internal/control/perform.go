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
			c.ports.Network.Send(e.To, e.Message)
		case fleet.StoreCall:
			c.call(ctx, e)
		case fleet.StoreCancel:
			c.cancelCall(callKey{
				part:   e.Component,
				number: e.Number,
			})
		case fleet.Admitted:
			c.deliver(e)
		case fleet.Refused:
			c.admissions.answer(e.Request, admitted{
				refused: &e.Refused,
			})
		case fleet.PermitAnswered:
			c.permitted(e)
		case fleet.ClaimAnswered:
			c.claimed(e.Answer)
		case fleet.StrikesChanged:
			c.strikes.snapshot.Store(e.Snapshot)
			c.ports.HandleEffect(e)
		case fleet.Decided:
			c.log(e)
		default:
			c.ports.HandleEffect(e)
		}
	}
}

// deliver gives units to the request that waits, or back.
func (c *Loop) deliver(e fleet.Admitted) {
	if !c.admissions.answer(e.Request, admitted{
		token: e.Token,
	}) {
		grant{
			loop:  c,
			token: e.Token,
		}.Return()
	}
}

// permitted gives a permit to the request that waits, or back.
func (c *Loop) permitted(e fleet.PermitAnswered) {
	if c.permits.answer(e.Number, e.PermitAnswered) || e.Decision != quarantine.Permitted {
		return
	}
	go suspectPermit{
		loop:   c,
		number: e.Number,
	}.Release(entry.RunResult{})
}

// call runs a store call and posts its answer. Where too many are under way it
// fails at once, without effect.
func (c *Loop) call(ctx context.Context, e fleet.StoreCall) {
	answer := fleet.StoreAnswer{
		Component: e.Component,
		Number:    e.Number,
	}
	if !c.calls.TryAcquire(1) {
		answer.Err = errors.Wrap(store.ErrUnavailable, "too many calls")
		go c.Post(answer)
		return
	}
	timeout := storeTimeout
	if _, ok := e.Call.(store.Watch); ok {
		timeout = watchTimeout
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	c.cancels[callKey{
		part:   e.Component,
		number: e.Number,
	}] = cancel
	go func() {
		defer c.calls.Release(1)
		defer cancel()
		answer.Answer, answer.Err = c.ports.Store.Do(limited, e.Call)
		c.Post(answer)
	}()
}

// cancelCall ends a store call whose answer isn't needed any more.
func (c *Loop) cancelCall(key callKey) {
	if cancel, ok := c.cancels[key]; ok {
		cancel()
		delete(c.cancels, key)
	}
}

// log writes a decision as one line.
func (c *Loop) log(e fleet.Decided) {
	args := append([]any{"Part", e.Component, "About", e.Subject}, e.Detail...)
	c.logger.Info(e.Decision, args...)
}
