package gateway

import (
	"context"
	"log/slog"
	"net/http"

	"dandelionmux/internal/entry"
)

// admission implements entry.Admission.
type admission struct{ gateway *Gateway }

// Admit implements entry.Admission.
func (a admission) Admit(ctx context.Context, organisation string, cost int) (entry.Grant, error) {
	v := a.gateway.ask(ctx, rate, organisation, cost)
	if v.Granted {
		return unit{}, nil
	}
	a.gateway.count("Rate.Refused")
	a.gateway.logger.Info("over the rate",
		slog.String("Request", entry.RequestID(ctx)),
		slog.String("Organisation", organisation),
		slog.Duration("RetryAfter", v.RetryAfter))
	return nil, &entry.Refusal{
		Status:     http.StatusTooManyRequests,
		Reason:     "over-rate",
		RetryAfter: v.RetryAfter,
	}
}

// unit is a unit of a rate that the keeper has already taken out of its bucket.
type unit struct{}

// Valid implements entry.Grant.
func (unit) Valid() bool { return true }

// Spend implements entry.Grant.
func (unit) Spend() error { return nil }

// Return implements entry.Grant. A unit that wasn't used stays spent: to give it
// back would cost a message for each refused request.
func (unit) Return() {}

// claims implements entry.Claims: without rights that outlive an instance no
// Idempotency-Key can be vouched for.
type claims struct{}

// Claim implements entry.Claims.
func (claims) Claim(context.Context, entry.ClaimKey) (entry.Claim, error) {
	return nil, &entry.Refusal{
		Status: http.StatusServiceUnavailable,
		Reason: "no-claims",
	}
}
