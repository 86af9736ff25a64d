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

// quarantineRetry is when callers of a quarantined request may come back: when
// its strikes have lapsed.
const quarantineRetry = time.Minute

// strikes implements entry.Quarantine.
type strikes struct{ gateway *Gateway }

// Acquire implements entry.Quarantine.
func (s strikes) Acquire(ctx context.Context, identity entry.RequestIdentity) (entry.Permit, error) {
	outline := quarantine.OutlineOf(identity.Organisation, identity.Route, identity.Method, identity.Path)
	f := quarantine.FingerprintOf(outline, sha256.Sum256(identity.Body))
	out := false
	s.gateway.belief.look(func() {
		out = s.gateway.belief.tally.Quarantined(boot.Now(), f)
	})
	if out {
		s.gateway.count("Quarantine.Refused")
		s.gateway.logger.Warn("quarantined",
			slog.String("Request", entry.RequestID(ctx)),
			slog.String("Fingerprint", f.String()))
		return nil, &entry.Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "quarantined",
			RetryAfter: quarantineRetry,
		}
	}
	return &permit{
		gateway:     s.gateway,
		fingerprint: f,
		request:     entry.RequestID(ctx),
	}, nil
}

// permit implements entry.Permit.
type permit struct {
	gateway     *Gateway
	fingerprint quarantine.Fingerprint
	// request is the request's id, for the log.
	request string
}

// Deadline implements entry.Permit; only the request's deadline counts.
func (p *permit) Deadline() time.Time { return time.Time{} }

// Release implements entry.Permit.
func (p *permit) Release(r entry.RunResult) {
	g := p.gateway
	if r.CrashedTarget == "" {
		if r.Answered {
			g.belief.look(func() { g.belief.tally.Clear(p.fingerprint) })
		}
		return
	}
	g.belief.look(func() { g.belief.tally.Strike(boot.Now(), p.fingerprint, r.CrashedTarget) })
	g.logger.Info("strike",
		slog.String("Request", p.request),
		slog.String("Fingerprint", p.fingerprint.String()),
		slog.String("Target", r.CrashedTarget))
	// The same caller's requests come to the same zone, so the others needn't know.
	g.tellZone(failure{
		Target:  r.CrashedTarget,
		Outcome: target.Crashed,
		Suspect: p.fingerprint,
	})
}
