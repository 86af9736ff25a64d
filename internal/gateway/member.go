package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/store"
)

// Times of the instance's own registration.
const (
	// memberLeaseTerm is the lease term of a member's key. An instance that died is
	// found unresponsive much earlier, so this only bounds how long it stays listed.
	memberLeaseTerm = 6 * time.Second
	// leaseRenewPeriod fits three renewals into a memberLeaseTerm, of which two may be
	// lost.
	leaseRenewPeriod = 1500 * time.Millisecond
)

// memberKey returns the store key of the instance's registration.
func (g *Gateway) memberKey() string { return memberPrefix + string(g.self.Address) }

// keepMembership registers the instance and renews the lease until ctx ends, then
// revokes it.
func (g *Gateway) keepMembership(ctx context.Context) {
	var lease store.LeaseID
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = g.register(ctx)
		} else {
			lease, err = g.renewLease(ctx, lease)
		}
		if err != nil {
			g.logStoreFailure(ctx, "membership", err)
			g.backoff.wait(ctx)
			continue
		}
		if lease != 0 {
			sleep(ctx, leaseRenewPeriod)
		}
	}
	g.revokeLease(lease)
}

// register registers the instance under a new lease.
func (g *Gateway) register(ctx context.Context) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := g.callStore(ctx, store.GrantLease{
		Term: max(memberLeaseTerm, g.settings.MinLeaseTerm),
	})
	if err != nil {
		return 0, err
	}
	lease := answer.(store.Leased).Lease
	value, err := json.Marshal(memberValue{
		Zone:        g.self.Zone,
		Incarnation: g.self.Incarnation,
	})
	if err != nil {
		return 0, errors.Wrap(err, "encode member")
	}
	return lease, g.writeMember(ctx, lease, value)
}

// writeMember writes the instance's key, replacing what an earlier run may have left
// there.
func (g *Gateway) writeMember(ctx context.Context, lease store.LeaseID, value []byte) error {
	expected := g.memberVersion(ctx)
	for {
		answer, err := g.callStore(ctx, store.Swap{
			Key:      g.memberKey(),
			Value:    value,
			Expected: expected,
			Lease:    lease,
		})
		if err != nil {
			return err
		}
		swapped := answer.(store.Swapped)
		if swapped.Done {
			g.logger.Info("registered",
				slog.Int64("Lease", int64(lease)),
				slog.Int64("Counter", swapped.Current.Version))
			return nil
		}
		expected = swapped.Current.Version
	}
}

// memberVersion returns the version of what an earlier run left under the instance's
// key, or zero. It waits until the mirror holds the first list of the store, and returns
// zero if ctx ends first.
func (g *Gateway) memberVersion(ctx context.Context) int64 {
	var changed chan struct{}
	var version int64
	known := false
	for {
		g.state.withLock(func() {
			changed = g.state.mirrorChanged
			known = !g.state.mirror.Empty()
			e, _ := g.state.mirror.Entry(g.memberKey())
			version = e.Version
		})
		if known {
			return version
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0
		}
	}
}

// renewLease renews the lease. It returns zero if the lease has expired.
func (g *Gateway) renewLease(ctx context.Context, lease store.LeaseID) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := g.callStore(ctx, store.RenewLease{
		Lease: lease,
	})
	if err != nil {
		return lease, err
	}
	if answer.(store.Leased).Term == 0 {
		g.logger.Warn("registration expired",
			slog.Int64("Lease", int64(lease)))
		return 0, nil
	}
	return lease, nil
}

// revokeLease ends the registration when the instance stops.
func (g *Gateway) revokeLease(lease store.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	if _, err := g.callStore(ctx, store.RevokeLease{Lease: lease}); err != nil {
		g.logger.Warn("registration not revoked, it will expire",
			slog.String("Error", err.Error()))
	}
}
