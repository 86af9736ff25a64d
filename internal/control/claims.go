package control

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/claim"
	"dandelionmux/pkg/fleet"
)

// claimTerm is how long after its claim a request may still begin. It is far
// below the retention of claims, so that a process that was paused never runs a
// request whose claim has been forgotten.
const claimTerm = time.Minute

// Claims implements entry.Claims on the loop's claims.
type Claims struct {
	loop *Loop
}

var _ entry.Claims = Claims{}

// Claims returns the port for traffic.
func (c *Loop) Claims() Claims {
	return Claims{
		loop: c,
	}
}

// Claim implements entry.Claims.
func (p Claims) Claim(ctx context.Context, key entry.ClaimKey) (entry.Claim, error) {
	c := p.loop
	number, answers := c.claims.add()
	var deadline time.Duration
	if at, ok := ctx.Deadline(); ok {
		deadline = c.clock() + time.Until(at)
	}
	c.Post(fleet.ClaimEvent{
		Event: claim.Acquire{
			Request:  number,
			Key:      claim.KeyOf(key.Organisation, key.Key),
			Deadline: deadline,
		},
	})
	held := &heldClaim{
		loop:   c,
		number: number,
		asked:  c.clock(),
	}
	select {
	case a := <-answers:
		return held.answered(a)
	case <-c.ended:
	case <-ctx.Done():
	}
	if a, came := c.claims.forget(number, answers); came {
		if _, run := a.(claim.Run); run {
			held.End(entry.ClaimResult{})
		}
	}
	c.Post(fleet.ClaimEvent{
		Event: claim.Cancel{
			Request: number,
		},
	})
	return nil, noAuthority("no-authority", time.Second)
}

// claimed gives an answer of the claims to who waits for it. A right to run
// that nobody waits for any more is given back.
func (c *Loop) claimed(answer claim.Effect) {
	switch a := answer.(type) {
	case claim.Run:
		if !c.claims.answer(a.Request, a) {
			held := &heldClaim{
				loop:   c,
				number: a.Request,
			}
			go held.End(entry.ClaimResult{})
		}
	case claim.Duplicate:
		c.claims.answer(a.Request, a)
	case claim.Refused:
		c.claims.answer(a.Request, a)
	}
}

func noAuthority(reason string, after time.Duration) *entry.Refusal {
	return &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     reason,
		RetryAfter: max(after, time.Second),
	}
}

// told tells the caller of a resend what is known of the first request.
func told(o claim.Outcome) *entry.Refusal {
	refusal := &entry.Refusal{
		Status:     http.StatusConflict,
		Reason:     "sent-before",
		MayHaveRun: true,
	}
	switch o.State {
	case claim.Ended:
		refusal.FirstRequest = "ended"
		if o.Status > 0 {
			refusal.FirstRequest += " " + strconv.Itoa(o.Status)
		}
	case claim.Running:
		refusal.FirstRequest = "running"
		refusal.RetryAfter = time.Second
	default:
		refusal.FirstRequest = "unknown"
	}
	return refusal
}

// heldClaim implements entry.Claim.
type heldClaim struct {
	loop   *Loop
	number uint64
	asked  time.Duration
}

// answered turns the authority's answer into the claim or a refusal.
func (h *heldClaim) answered(answer claim.Effect) (entry.Claim, error) {
	switch a := answer.(type) {
	case claim.Run:
		return h, nil
	case claim.Duplicate:
		return nil, told(a.Outcome)
	case claim.Refused:
		return nil, noAuthority("claim-"+a.Reason.String(), a.RetryAfter)
	}
	return nil, noAuthority("no-authority", time.Second)
}

// Check implements entry.Claim.
func (h *heldClaim) Check() error {
	if h.loop.clock()-h.asked < claimTerm {
		return nil
	}
	return noAuthority("claim-lapsed", time.Second)
}

// End implements entry.Claim.
func (h *heldClaim) End(e entry.ClaimResult) {
	done := claim.Done{
		Request: h.number,
		NotRun:  !e.MayHaveRun,
	}
	switch {
	case e.Status > 0:
		done.Outcome = claim.Outcome{
			State:  claim.Ended,
			Status: e.Status,
		}
	case e.MayHaveRun:
		done.Outcome = claim.Outcome{
			State: claim.Unknown,
		}
	}
	h.loop.Post(fleet.ClaimEvent{
		Event: done,
	})
}
