package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/store"
	"dandelionmux/pkg/target"
)

const (
	// quarantinePrefix is the store key prefix of requests that crash targets. An instance
	// that starts later finds them there.
	quarantinePrefix = "dandelionmux/quarantine/"
	// maxUnsavedEntries bounds the entries that wait to be stored. One that finds
	// no room is stored when its request is refused again.
	maxUnsavedEntries = 64
	// maxRecentStrikes is the number of strikes that are reported to an instance that starts, and
	// strikeRepeatDelay the time until that is repeated, in case the datagrams are lost.
	maxRecentStrikes  = 64
	strikeRepeatDelay = time.Second
	// strikeReporterAge is how long an instance must have run to report strikes to another one:
	// by then they have been reported to itself.
	strikeReporterAge = 4 * time.Second
	// minQuarantineRetryAfter is the shortest Retry-After sent to callers of a quarantined
	// request.
	minQuarantineRetryAfter = time.Second
)

// quarantineValue is the JSON value of a quarantined request's key, for operators.
type quarantineValue struct {
	Targets []string
}

// quarantineKey returns the store key of a quarantined request.
func quarantineKey(f quarantine.Fingerprint) string { return quarantinePrefix + f.String() }

// quarantineCheck implements entry.Quarantine.
type quarantineCheck struct{ gateway *Gateway }

// Acquire implements entry.Quarantine.
func (q quarantineCheck) Acquire(ctx context.Context, identity entry.RequestIdentity) (entry.Permit, error) {
	g := q.gateway
	outline := quarantine.OutlineOf(identity.Organisation, identity.Route, identity.Method, identity.Path)
	f := quarantine.FingerprintOf(outline, identity.BodyDigest())
	var remaining time.Duration
	suspect := false
	g.state.withLock(func() {
		now := boot.Now()
		remaining = g.state.strikes.Remaining(now, f)
		suspect = g.state.strikes.Suspect(now, f)
	})
	if remaining > 0 {
		g.count("Quarantine.Refused")
		g.logger.Warn("quarantined",
			slog.String("Request", entry.RequestID(ctx)),
			slog.String("Fingerprint", f.String()),
			slog.Duration("Remaining", remaining))
		g.saveQuarantine(f)
		return nil, &entry.Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "quarantined",
			RetryAfter: max(remaining, minQuarantineRetryAfter),
		}
	}
	return &permit{
		gateway:     g,
		fingerprint: f,
		suspect:     suspect,
		requestID:   entry.RequestID(ctx),
	}, nil
}

// permit implements entry.Permit.
type permit struct {
	gateway     *Gateway
	fingerprint quarantine.Fingerprint
	suspect     bool
	// requestID is for logs.
	requestID string
}

// Deadline implements entry.Permit. It returns zero because a permit here does not
// expire.
func (p *permit) Deadline() time.Time { return time.Time{} }

// Suspect implements entry.Permit.
func (p *permit) Suspect() bool { return p.suspect }

// Release implements entry.Permit. The strike of a run that crashed a target is recorded
// when the target's slot is released.
func (p *permit) Release(r entry.RunResult) {
	if r.CrashedTarget != "" || !r.Answered {
		return
	}
	g := p.gateway
	tell := false
	g.state.withLock(func() { tell = g.state.clearStrikes(p.fingerprint) })
	if !tell {
		return
	}
	g.logger.Info("request cleared",
		slog.String("Request", p.requestID),
		slog.String("Fingerprint", p.fingerprint.String()))
	g.sendToFleet(failureReport{
		Outcome: target.Succeeded,
		Suspect: p.fingerprint,
	})
	g.saveQuarantine(p.fingerprint)
}

// recordStrike records a strike that this instance has seen. confirmed says that it didn't
// count at first.
func (g *Gateway) recordStrike(s quarantine.OwnStrike, confirmed bool) {
	g.logger.Info("strike",
		slog.String("Request", s.RequestID),
		slog.String("Fingerprint", s.Fingerprint.String()),
		slog.String("Target", s.Target),
		slog.Int64("Incarnation", s.Incarnation),
		slog.String("Outcome", strikeOutcome(s.TallyStrike).String()),
		slog.Bool("Confirmed", confirmed))
	quarantined := false
	g.state.withLock(func() { quarantined = g.state.strikes.AddStrike(boot.Now(), s.Fingerprint, s.TallyStrike) })
	if quarantined {
		g.logger.Warn("request quarantined",
			slog.String("Request", s.RequestID),
			slog.String("Fingerprint", s.Fingerprint.String()))
		g.saveQuarantine(s.Fingerprint)
	}
}

// clearStrikes forgets the strikes of a request and ends its quarantine. It reports whether
// the other instances should do so, too. The caller must hold mu.
func (st *localState) clearStrikes(f quarantine.Fingerprint) bool {
	st.unconfirmed.Clear(f)
	return st.strikes.Clear(f)
}

// strikeOutcome returns the outcome of the attempt that a strike stands for.
func strikeOutcome(s quarantine.TallyStrike) target.Outcome {
	if s.Kept {
		return target.Disconnected
	}
	return target.Crashed
}

// confirmStrikes records the strikes whose targets have turned out to have ended, and reports
// them to all instances.
func (g *Gateway) confirmStrikes() {
	var confirmed []quarantine.OwnStrike
	st := g.state
	st.withLock(func() { confirmed = st.unconfirmed.Confirm(boot.Now(), st.targets.Ended) })
	for _, s := range confirmed {
		g.recordStrike(s, true)
		g.sendToFleet(failureReport{
			Target:      s.Target,
			Incarnation: s.Incarnation,
			Outcome:     strikeOutcome(s.TallyStrike),
			Suspect:     s.Fingerprint,
		})
	}
}

// reportStrikes reports to an instance that has just registered which requests have crashed
// targets, so that their count doesn't begin anew when all instances are replaced. In each zone
// one instance does so. The caller must hold mu.
func (st *localState) reportStrikes(newcomer instance.Address) {
	if st.strikes.Suspects() == 0 {
		return
	}
	g := st.gateway
	report := g.contained(func() {
		var strikes []quarantine.SuspectStrike
		st.withLock(func() {
			now := boot.Now()
			excluded := func(a instance.Address) bool { return a == newcomer || st.unresponsive(a) }
			if st.roster.CountingKeeper(now, "strikes", string(newcomer), excluded, st.ages, strikeReporterAge) == g.self.Address {
				strikes = st.strikes.Recent(now, maxRecentStrikes)
			}
		})
		// Without a service the report doesn't count against the target again.
		for _, s := range strikes {
			g.send(newcomer, failureReport{
				Target:      s.Target,
				Incarnation: s.Incarnation,
				Outcome:     strikeOutcome(s.TallyStrike),
				Suspect:     s.Fingerprint,
			})
		}
	})
	go report()
	time.AfterFunc(strikeRepeatDelay, report)
}

// handleSuspect records the strike or the success of a request that another instance has
// reported. If several instances report their strikes at the same time, none has seen the
// last one itself, so each of them saves the request's quarantine.
func (g *Gateway) handleSuspect(m failureReport) {
	save := false
	g.state.withLock(func() {
		if m.Outcome == target.Succeeded {
			g.state.clearStrikes(m.Suspect)
			return
		}
		quarantined := g.state.strikes.AddStrike(boot.Now(), m.Suspect, quarantine.TallyStrike{
			Target:      m.Target,
			Incarnation: m.Incarnation,
			Kept:        m.Outcome == target.Disconnected,
		})
		save = quarantined && g.state.strikes.HasOwn(m.Suspect)
	})
	if save {
		g.saveQuarantine(m.Suspect)
	}
}

// saveQuarantine has the store changed to what is known of a request's quarantine, if that
// is necessary and not too many others wait for it.
func (g *Gateway) saveQuarantine(f quarantine.Fingerprint) {
	select {
	case g.unsaved <- f:
	default:
		g.count("Quarantine.NotSaved")
	}
}

// saveQuarantines changes the store for each request that saveQuarantine names, until ctx
// ends.
func (g *Gateway) saveQuarantines(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-g.unsaved:
			g.backoff.wait(ctx)
			if err := g.saveOnce(ctx, f); err != nil {
				g.logStoreFailure(ctx, "quarantine", err)
			}
		}
	}
}

// saveOnce stores a request's quarantine with a lease if others may not find it there, and
// deletes it if the request has been cleared. If another instance changes it first, that
// is left as it is.
func (g *Gateway) saveOnce(ctx context.Context, f quarantine.Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var targets []string
	var stored store.Entry
	unsaved, quarantined := false, false
	g.state.withLock(func() {
		now := boot.Now()
		targets, unsaved = g.state.strikes.Unsaved(now, f)
		quarantined = g.state.strikes.Remaining(now, f) > 0
		stored, _ = g.state.mirror.Entry(quarantineKey(f))
	})
	switch {
	case !quarantined && stored.Version != 0:
		_, err := g.callStore(ctx, store.Delete{
			Key:      stored.Key,
			Expected: stored.Version,
		})
		return err
	case !unsaved:
		return nil
	}
	value, err := json.Marshal(quarantineValue{
		Targets: targets,
	})
	if err != nil {
		return errors.Wrap(err, "encode quarantine entry")
	}
	answer, err := g.callStore(ctx, store.GrantLease{
		Term: quarantine.TallyTerm,
	})
	if err != nil {
		return err
	}
	_, err = g.callStore(ctx, store.Swap{
		Key:      quarantineKey(f),
		Value:    value,
		Expected: stored.Version,
		Lease:    answer.(store.Leased).Lease,
	})
	return err
}

// applyQuarantine applies a changed or removed entry of the store. outage says that
// the store may have been unreachable, so that its lease may have expired too early.
func (st *localState) applyQuarantine(now time.Duration, e store.Entry, outage bool) {
	f, err := quarantine.ParseFingerprint(strings.TrimPrefix(e.Key, quarantinePrefix))
	if err != nil {
		st.gateway.logger.Warn("invalid quarantine entry ignored",
			slog.String("Key", e.Key),
			slog.String("Error", err.Error()))
		return
	}
	var v quarantineValue
	switch {
	case e.Version != 0:
		// The key alone quarantines the request. The value is only for operators.
		_ = json.Unmarshal(e.Value, &v)
		st.strikes.Stored(now, f, v.Targets)
	case outage:
		st.strikes.Unstored(f)
	default:
		st.clearStrikes(f)
	}
	st.gateway.logger.Info("quarantine changed",
		slog.String("Fingerprint", f.String()),
		slog.Int64("Counter", max(e.Version, e.RemovedAt)),
		slog.Bool("Holds", e.Version != 0),
		slog.Any("Targets", v.Targets),
		slog.Bool("Outage", outage))
}
