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

// maxClaimAge is how long after its claim a request may still start. It is far
// below the retention of claims, so that a process that was paused never runs a
// request whose claim has been forgotten.
const maxClaimAge = time.Minute

// Claims implements entry.Claims on a Loop.
type Claims struct {
	loop *Loop
}

var _ entry.Claims = Claims{}

// Claims returns the loop's implementation of entry.Claims.
func (c *Loop) Claims() Claims {
	return Claims{
		loop: c,
	}
}

// Claim implements entry.Claims.
func (p Claims) Claim(ctx context.Context, key entry.ClaimKey) (entry.Claim, error) {
	c := p.loop
	number, answers := c.claims.register()
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
		loop:        c,
		number:      number,
		requestedAt: c.clock(),
	}
	select {
	case a := <-answers:
		return held.claimOrRefusal(a)
	case <-c.ended:
	case <-ctx.Done():
	}
	if a, arrived := c.claims.remove(number, answers); arrived {
		if _, run := a.(claim.Run); run {
			held.End(entry.ClaimResult{})
		}
	}
	c.Post(fleet.ClaimEvent{
		Event: claim.Cancel{
			Request: number,
		},
	})
	return nil, unavailable("no-authority", time.Second)
}

// deliverClaim hands an answer about a claim to the request that waits for it.
// If it no longer waits, a granted claim is released.
func (c *Loop) deliverClaim(answer claim.Effect) {
	switch a := answer.(type) {
	case claim.Run:
		if !c.claims.deliver(a.Request, a) {
			held := &heldClaim{
				loop:   c,
				number: a.Request,
			}
			// In a goroutine, because Post blocks while the queue is full, and only this
			// goroutine empties it.
			go held.End(entry.ClaimResult{})
		}
	case claim.Duplicate:
		c.claims.deliver(a.Request, a)
	case claim.Refused:
		c.claims.deliver(a.Request, a)
	}
}

// unavailable returns a refusal with status 503 (Service Unavailable) that asks
// the caller to wait for a second at least.
func unavailable(reason string, retryAfter time.Duration) *entry.Refusal {
	return &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     reason,
		RetryAfter: max(retryAfter, time.Second),
	}
}

// resendRefusal tells the caller of a resent request what is known of the first
// request with the same key.
func resendRefusal(o claim.Outcome) *entry.Refusal {
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

// heldClaim is the claim of one request, pending or granted. It implements
// entry.Claim.
type heldClaim struct {
	loop        *Loop
	number      uint64
	requestedAt time.Duration
}

// claimOrRefusal turns the authority's answer into the claim or a refusal.
func (h *heldClaim) claimOrRefusal(answer claim.Effect) (entry.Claim, error) {
	switch a := answer.(type) {
	case claim.Run:
		return h, nil
	case claim.Duplicate:
		return nil, resendRefusal(a.Outcome)
	case claim.Refused:
		return nil, unavailable("claim-"+a.Reason.String(), a.RetryAfter)
	}
	return nil, unavailable("no-authority", time.Second)
}

// Check implements entry.Claim.
func (h *heldClaim) Check() error {
	if h.loop.clock()-h.requestedAt < maxClaimAge {
		return nil
	}
	return unavailable("claim-lapsed", time.Second)
}

// End implements entry.Claim.
func (h *heldClaim) End(result entry.ClaimResult) {
	done := claim.Done{
		Request: h.number,
		NotRun:  !result.MayHaveRun,
	}
	switch {
	case result.Status > 0:
		done.Outcome = claim.Outcome{
			State:  claim.Ended,
			Status: result.Status,
		}
	case result.MayHaveRun:
		done.Outcome = claim.Outcome{
			State: claim.Unknown,
		}
	}
	h.loop.Post(fleet.ClaimEvent{
		Event: done,
	})
}
