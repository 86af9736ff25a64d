package gateway

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"net/http"
	"time"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/target"
)

// quarantineRetryAfter is the Retry-After sent to callers of a quarantined request. Its
// strikes have expired by then.
const quarantineRetryAfter = time.Minute

// quarantineCheck implements entry.Quarantine.
type quarantineCheck struct{ gateway *Gateway }

// Acquire implements entry.Quarantine.
func (q quarantineCheck) Acquire(ctx context.Context, identity entry.RequestIdentity) (entry.Permit, error) {
	outline := quarantine.OutlineOf(identity.Organisation, identity.Route, identity.Method, identity.Path)
	f := quarantine.FingerprintOf(outline, sha256.Sum256(identity.Body))
	quarantined := false
	q.gateway.state.withLock(func() {
		quarantined = q.gateway.state.strikes.Quarantined(boot.Now(), f)
	})
	if quarantined {
		q.gateway.count("Quarantine.Refused")
		q.gateway.logger.Warn("quarantined",
			slog.String("Request", entry.RequestID(ctx)),
			slog.String("Fingerprint", f.String()))
		return nil, &entry.Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "quarantined",
			RetryAfter: quarantineRetryAfter,
		}
	}
	return &permit{
		gateway:     q.gateway,
		fingerprint: f,
		requestID:   entry.RequestID(ctx),
	}, nil
}

// permit implements entry.Permit.
type permit struct {
	gateway     *Gateway
	fingerprint quarantine.Fingerprint
	// requestID is for logs.
	requestID string
}

// Deadline implements entry.Permit. It returns zero because a permit here does not
// expire.
func (p *permit) Deadline() time.Time { return time.Time{} }

// Release implements entry.Permit.
func (p *permit) Release(r entry.RunResult) {
	g := p.gateway
	if r.CrashedTarget == "" {
		if r.Answered {
			g.state.withLock(func() { g.state.strikes.Clear(p.fingerprint) })
		}
		return
	}
	g.state.withLock(func() { g.state.strikes.AddStrike(boot.Now(), p.fingerprint, r.CrashedTarget) })
	g.logger.Info("strike",
		slog.String("Request", p.requestID),
		slog.String("Fingerprint", p.fingerprint.String()),
		slog.String("Target", r.CrashedTarget))
	// Requests of a caller come to one zone, so other zones don't need the strike.
	g.sendToZone(failureReport{
		Target:  r.CrashedTarget,
		Outcome: target.Crashed,
		Suspect: p.fingerprint,
	})
}
