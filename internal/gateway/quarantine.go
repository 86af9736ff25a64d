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

// quarantineRetryAfter is when callers of a quarantined request may come back: when
// its strikes have lapsed.
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
	// requestID is the requestID's id, for the log.
	requestID string
}

// Deadline implements entry.Permit; only the request's deadline counts.
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
	g.state.withLock(func() { g.state.strikes.Strike(boot.Now(), p.fingerprint, r.CrashedTarget) })
	g.logger.Info("strike",
		slog.String("Request", p.requestID),
		slog.String("Fingerprint", p.fingerprint.String()),
		slog.String("Target", r.CrashedTarget))
	// The same caller's requests come to the same zone, so the others needn't know.
	g.sendToZone(failureReport{
		Target:  r.CrashedTarget,
		Outcome: target.Crashed,
		Suspect: p.fingerprint,
	})
}
