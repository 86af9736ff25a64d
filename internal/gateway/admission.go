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
	decision := a.gateway.requestDecision(ctx, decisionRequest{
		Kind:   organisationRate,
		Name:   organisation,
		Amount: cost,
	})
	if decision.Granted {
		return grantedUnits{}, nil
	}
	a.gateway.count("Rate.Refused")
	a.gateway.logger.Info("organisation over its rate",
		slog.String("Request", entry.RequestID(ctx)),
		slog.String("Organisation", organisation),
		slog.Duration("RetryAfter", decision.RetryAfter))
	return nil, &entry.Refusal{
		Status:     http.StatusTooManyRequests,
		Reason:     "over-rate",
		RetryAfter: decision.RetryAfter,
	}
}

// grantedUnits is a grant whose units the keeper has already taken from its bucket.
type grantedUnits struct{}

// Valid implements entry.Grant.
func (grantedUnits) Valid() bool { return true }

// Spend implements entry.Grant.
func (grantedUnits) Spend() error { return nil }

// Return implements entry.Grant. Unused units stay spent, because giving them back
// would cost a message for each refused request.
func (grantedUnits) Return() {}
