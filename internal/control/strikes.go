package control

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/quarantine"
)

// maxPermitWait bounds how long a suspected request waits for its permit.
const maxPermitWait = time.Second

// quarantineState is the part of the quarantine that the goroutines of requests
// read and write.
type quarantineState struct {
	// snapshot is the newest set of strikes.
	snapshot atomic.Pointer[quarantine.Snapshot]
	// lastCrash is the number of the newest crash reported by a request without
	// strikes.
	lastCrash atomic.Uint64
}

// Quarantine implements entry.Quarantine on a Loop.
type Quarantine struct {
	loop *Loop
}

var _ entry.Quarantine = Quarantine{}

// Quarantine returns the loop's implementation of entry.Quarantine.
func (c *Loop) Quarantine() Quarantine {
	return Quarantine{
		loop: c,
	}
}

// Acquire implements entry.Quarantine.
func (q Quarantine) Acquire(ctx context.Context, identity entry.RequestIdentity) (entry.Permit, error) {
	c := q.loop
	unrestricted := unrestrictedPermit{
		loop:     c,
		identity: identity,
	}
	snapshot := c.quarantine.snapshot.Load()
	if snapshot.Empty() {
		return unrestricted, nil
	}
	outline := unrestricted.outline()
	if !snapshot.HasOutline(outline) {
		return unrestricted, nil
	}
	fingerprint := unrestricted.fingerprint()
	status, remaining := snapshot.Lookup(c.clock(), fingerprint)
	switch status {
	case quarantine.Free:
		return unrestricted, nil
	case quarantine.Quarantined:
		return nil, quarantinedRefusal(remaining)
	}
	return c.requestPermit(ctx, outline, fingerprint, identity)
}

// requestPermit asks the authority for permission to run a suspected request.
func (c *Loop) requestPermit(ctx context.Context, outline quarantine.Outline, fingerprint quarantine.Fingerprint, identity entry.RequestIdentity) (entry.Permit, error) {
	number, answers := c.permits.register()
	c.Post(fleet.QuarantineEvent{
		Event: quarantine.PermitRequested{
			Number:      number,
			Fingerprint: fingerprint,
			Outline:     outline,
			Wait:        min(maxPermitWait, time.Until(identity.Deadline)),
			Term:        time.Until(identity.Deadline),
		},
	})
	suspect := suspectPermit{
		loop:   c,
		number: number,
	}
	select {
	case a := <-answers:
		return suspect.permitOrRefusal(a)
	case <-c.ended:
	case <-ctx.Done():
	}
	if a, arrived := c.permits.remove(number, answers); arrived && a.Decision == quarantine.Permitted {
		suspect.Release(entry.RunResult{})
	}
	return nil, suspectRefusal(time.Second)
}

// quarantinedRefusal refuses a request that has crashed targets. Remaining is
// how long it will still be quarantined.
func quarantinedRefusal(remaining time.Duration) *entry.Refusal {
	return &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "quarantined",
		RetryAfter: remaining,
	}
}

// suspectRefusal refuses a suspected request, of which only one runs at a time,
// because it got no permit.
func suspectRefusal(retryAfter time.Duration) *entry.Refusal {
	return &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "suspected",
		RetryAfter: max(retryAfter, time.Second),
	}
}

// unrestrictedPermit is the permit of a request without strikes. It implements
// entry.Permit.
type unrestrictedPermit struct {
	loop     *Loop
	identity entry.RequestIdentity
}

func (p unrestrictedPermit) outline() quarantine.Outline {
	i := p.identity
	return quarantine.OutlineOf(i.Organisation, i.Route, i.Method, i.Path)
}

func (p unrestrictedPermit) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(p.outline(), p.identity.BodyDigest())
}

// Deadline implements entry.Permit.
func (unrestrictedPermit) Deadline() time.Time { return time.Time{} }

// Suspect implements entry.Permit.
func (unrestrictedPermit) Suspect() bool { return false }

// Release implements entry.Permit.
func (p unrestrictedPermit) Release(r entry.RunResult) {
	if r.CrashedTarget == "" {
		return
	}
	p.loop.Post(fleet.QuarantineEvent{
		Event: quarantine.Crashed{
			Number:      p.loop.quarantine.lastCrash.Add(1),
			Fingerprint: p.fingerprint(),
			Outline:     p.outline(),
			Target:      r.CrashedTarget,
		},
	})
}

// suspectPermit is the permit of a request with a strike. It implements
// entry.Permit.
type suspectPermit struct {
	loop     *Loop
	number   uint64
	deadline time.Time
}

// permitOrRefusal turns the authority's answer into a permit or a refusal.
func (p suspectPermit) permitOrRefusal(a quarantine.PermitAnswered) (entry.Permit, error) {
	switch a.Decision {
	case quarantine.Permitted:
		p.deadline = time.Now().Add(a.Until - p.loop.clock())
		return p, nil
	case quarantine.Denied:
		return nil, quarantinedRefusal(a.RetryAfter)
	}
	return nil, suspectRefusal(a.RetryAfter)
}

// Deadline implements entry.Permit.
func (p suspectPermit) Deadline() time.Time { return p.deadline }

// Suspect implements entry.Permit.
func (suspectPermit) Suspect() bool { return true }

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

// Quarantined returns the requests that are quarantined now, with the remaining
// time of each.
func (c *Loop) Quarantined() map[quarantine.Fingerprint]time.Duration {
	return c.quarantine.snapshot.Load().Quarantined(c.clock())
}
