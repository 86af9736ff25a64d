package control

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync/atomic"
	"time"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/quarantine"
)

// permitWait bounds how long a suspect waits for its permit.
const permitWait = time.Second

// strikesTable is what traffic knows of strikes.
type strikesTable struct {
	snapshot atomic.Pointer[quarantine.Snapshot]
	number   atomic.Uint64
}

// Quarantine implements entry.Quarantine on the loop's quarantine.
type Quarantine struct {
	loop *Loop
}

var _ entry.Quarantine = Quarantine{}

// Quarantine returns the port for traffic.
func (c *Loop) Quarantine() Quarantine {
	return Quarantine{
		loop: c,
	}
}

// Acquire implements entry.Quarantine.
func (s Quarantine) Acquire(ctx context.Context, identity entry.RequestIdentity) (entry.Permit, error) {
	c := s.loop
	free := freePermit{
		loop:     c,
		identity: identity,
	}
	snapshot := c.strikes.snapshot.Load()
	if snapshot.Empty() {
		return free, nil
	}
	outline := free.outline()
	if !snapshot.HasOutline(outline) {
		return free, nil
	}
	fingerprint := free.fingerprint()
	standing, left := snapshot.Lookup(c.clock(), fingerprint)
	switch standing {
	case quarantine.Free:
		return free, nil
	case quarantine.Quarantined:
		return nil, quarantined(left)
	}
	return c.permit(ctx, outline, fingerprint, identity)
}

// permit asks the authority for leave to run a suspect.
func (c *Loop) permit(ctx context.Context, outline quarantine.Outline, f quarantine.Fingerprint, identity entry.RequestIdentity) (entry.Permit, error) {
	number, answers := c.permits.add()
	c.Post(fleet.QuarantineEvent{
		Event: quarantine.PermitRequested{
			Number:      number,
			Fingerprint: f,
			Outline:     outline,
			Wait:        min(permitWait, time.Until(identity.Deadline)),
			Term:        time.Until(identity.Deadline),
		},
	})
	suspect := suspectPermit{
		loop:   c,
		number: number,
	}
	select {
	case a := <-answers:
		return suspect.answered(a)
	case <-c.ended:
	case <-ctx.Done():
	}
	if a, came := c.permits.forget(number, answers); came && a.Decision == quarantine.Permitted {
		suspect.Release(entry.RunResult{})
	}
	return nil, suspectRefusal(time.Second)
}

// quarantined is the refusal of a request that crashes targets.
func quarantined(left time.Duration) *entry.Refusal {
	return &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "quarantined",
		RetryAfter: left,
	}
}

// suspectRefusal is the refusal of a request that may run only alone.
func suspectRefusal(after time.Duration) *entry.Refusal {
	return &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "suspected",
		RetryAfter: max(after, time.Second),
	}
}

// freePermit is of a request without strikes.
type freePermit struct {
	loop     *Loop
	identity entry.RequestIdentity
}

func (p freePermit) outline() quarantine.Outline {
	i := p.identity
	return quarantine.OutlineOf(i.Organisation, i.Route, i.Method, i.Path)
}

func (p freePermit) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(p.outline(), sha256.Sum256(p.identity.Body))
}

// Deadline implements entry.Permit.
func (freePermit) Deadline() time.Time { return time.Time{} }

// Release implements entry.Permit.
func (p freePermit) Release(r entry.RunResult) {
	if r.CrashedTarget == "" {
		return
	}
	p.loop.Post(fleet.QuarantineEvent{
		Event: quarantine.Crashed{
			Number:      p.loop.strikes.number.Add(1),
			Fingerprint: p.fingerprint(),
			Outline:     p.outline(),
			Target:      r.CrashedTarget,
		},
	})
}

// suspectPermit is of a request with a strike.
type suspectPermit struct {
	loop   *Loop
	number uint64
	until  time.Time
}

// answered turns the authority's answer into a permit or a refusal.
func (p suspectPermit) answered(a quarantine.PermitAnswered) (entry.Permit, error) {
	switch a.Decision {
	case quarantine.Permitted:
		p.until = time.Now().Add(a.Until - p.loop.clock())
		return p, nil
	case quarantine.Denied:
		return nil, quarantined(a.RetryAfter)
	}
	return nil, suspectRefusal(a.RetryAfter)
}

// Deadline implements entry.Permit.
func (p suspectPermit) Deadline() time.Time { return p.until }

// Release implements entry.Permit.
func (p suspectPermit) Release(r entry.RunResult) {
	result := quarantine.Inconclusive
	switch {
	case r.CrashedTarget != "":
		result = quarantine.TargetCrashed
	case r.Answered:
		result = quarantine.Succeeded
	}
	p.loop.Post(fleet.QuarantineEvent{
		Event: quarantine.RunEnded{
			Number: p.number,
			Result: result,
			Target: r.CrashedTarget,
		},
	})
}

// Quarantined returns the requests that are refused now, with how long still.
func (c *Loop) Quarantined() map[quarantine.Fingerprint]time.Duration {
	return c.strikes.snapshot.Load().Quarantined(c.clock())
}
