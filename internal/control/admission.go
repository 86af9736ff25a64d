package control

import (
	"context"
	"net/http"
	"time"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/quota"
)

// admissionAnswer is the answer to a request that waits for units: a token, or
// a refusal.
type admissionAnswer struct {
	token   quota.Token
	refusal *quota.Refused
}

// Admission implements entry.Admission on a Loop.
type Admission struct {
	loop *Loop
}

var _ entry.Admission = Admission{}

// Admission returns the loop's implementation of entry.Admission.
func (c *Loop) Admission() Admission {
	return Admission{
		loop: c,
	}
}

// Admit implements entry.Admission.
func (a Admission) Admit(ctx context.Context, organisation string, cost int) (entry.Grant, error) {
	c := a.loop
	token, result := c.allowance.Take(c.clock(), organisation, cost)
	switch result {
	case quota.TakenLow:
		c.TryPost(fleet.QuotaEvent{
			Event: quota.Low{
				Organisation: organisation,
			},
		})
	case quota.Empty:
		return c.waitForUnits(ctx, organisation, cost)
	}
	return grant{
		loop:  c,
		token: token,
	}, nil
}

// waitForUnits asks the quota holder for units and waits for its answer.
func (c *Loop) waitForUnits(ctx context.Context, organisation string, cost int) (entry.Grant, error) {
	number, answers := c.admissions.register()
	var deadline time.Duration
	if at, ok := ctx.Deadline(); ok {
		deadline = c.clock() + time.Until(at)
	}
	c.Post(fleet.QuotaEvent{
		Event: quota.Acquire{
			Request:      number,
			Organisation: organisation,
			Units:        cost,
			Deadline:     deadline,
		},
	})
	select {
	case a := <-answers:
		return c.grantOrRefusal(a)
	case <-c.ended:
	case <-ctx.Done():
	}
	if a, arrived := c.admissions.remove(number, answers); arrived && a.refusal == nil {
		grant{
			loop:  c,
			token: a.token,
		}.Return()
	}
	c.TryPost(fleet.QuotaEvent{
		Event: quota.Cancel{
			Request: number,
		},
	})
	return nil, &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "admission-timeout",
		RetryAfter: time.Second,
	}
}

// grantOrRefusal turns the quota holder's answer into a grant or a refusal.
func (c *Loop) grantOrRefusal(a admissionAnswer) (entry.Grant, error) {
	if a.refusal != nil {
		return nil, quotaRefusal(*a.refusal)
	}
	return grant{
		loop:  c,
		token: a.token,
	}, nil
}

// quotaRefusal converts the quota's refusal to one for the caller.
func quotaRefusal(r quota.Refused) *entry.Refusal {
	refusal := &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		RetryAfter: max(r.RetryAfter, time.Millisecond),
	}
	switch r.Reason {
	case quota.Exhausted:
		refusal.Status = http.StatusTooManyRequests
		refusal.Reason = "over-rate"
	case quota.NoLimit:
		refusal.Status = http.StatusForbidden
		refusal.Reason = "no-rate"
		refusal.RetryAfter = 0
	case quota.TooCostly:
		refusal.Status = http.StatusForbidden
		refusal.Reason = "cost-above-burst"
		refusal.RetryAfter = 0
	case quota.NoRights:
		refusal.Reason = "no-rights"
	case quota.Unreachable:
		refusal.Reason = "no-coordinator"
	case quota.Overloaded:
		refusal.Reason = "admission-full"
	}
	return refusal
}

// grant implements entry.Grant on a quota token.
type grant struct {
	loop  *Loop
	token quota.Token
}

// Valid implements entry.Grant.
func (g grant) Valid() bool { return g.token.Live(g.loop.clock()) }

// Spend implements entry.Grant.
func (g grant) Spend() error {
	spent := g.token.Spend(g.loop.clock())
	g.reportSettled()
	if spent {
		return nil
	}
	return &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "grant-lapsed",
		RetryAfter: time.Second,
	}
}

// Return implements entry.Grant.
func (g grant) Return() {
	g.token.Return()
	g.reportSettled()
}

// reportSettled tells the quota holder that the token was spent or returned, if
// it has asked for a prompt report.
func (g grant) reportSettled() {
	if g.token.PromptReport() {
		g.loop.TryPost(fleet.QuotaEvent{
			Event: quota.Settled{
				Token: g.token,
			},
		})
	}
}
