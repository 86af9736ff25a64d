package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/store"
)

// Times of the instance's own registration.
const (
	// memberLeaseTerm is the lease term of a member's key. An instance that died is
	// found unresponsive much earlier, so this only bounds how long it stays listed.
	memberLeaseTerm = 9 * time.Second
	// leaseRenewPeriod fits three renewals into a memberLeaseTerm, of which two may be
	// lost.
	leaseRenewPeriod = 2500 * time.Millisecond
)

// memberKey returns the store key of the instance's registration.
func (g *Gateway) memberKey() string { return memberPrefix + string(g.self.Address) }

// registration is the instance's key in the store.
type registration struct {
	lease   store.LeaseID
	era     store.Era
	version int64
}

// keepMembership registers the instance and renews the lease until ctx ends, then
// deletes the registration.
func (g *Gateway) keepMembership(ctx context.Context) {
	var current registration
	for ctx.Err() == nil {
		var err error
		if current.lease == 0 {
			current, err = g.register(ctx)
		} else {
			current, err = g.renewLease(ctx, current)
		}
		if err != nil {
			g.logStoreFailure(ctx, "membership", err)
			g.backoff.wait(ctx)
			continue
		}
		if current.lease != 0 {
			sleep(ctx, leaseRenewPeriod)
		}
	}
	g.deleteRegistration(current)
}

// register registers the instance under a new lease.
func (g *Gateway) register(ctx context.Context) (registration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := g.callStore(ctx, store.GrantLease{
		Term: max(memberLeaseTerm, g.settings.MinLeaseTerm),
	})
	if err != nil {
		return registration{}, err
	}
	granted := answer.(store.Leased)
	value, err := json.Marshal(memberValue{
		Zone:        g.self.Zone,
		Incarnation: g.self.Incarnation,
		Capacity:    g.settings.Capacity,
		Build:       g.settings.Build,
		Allocates:   g.allocates,
	})
	if err != nil {
		return registration{}, errors.Wrap(err, "encode member")
	}
	return g.writeMember(ctx, granted, value)
}

// writeMember writes the instance's key, replacing what an earlier run may have left
// there.
func (g *Gateway) writeMember(ctx context.Context, granted store.Leased, value []byte) (registration, error) {
	expected, err := g.awaitMemberList(ctx)
	if err != nil {
		return registration{}, err
	}
	for {
		answer, err := g.callStore(ctx, store.Swap{
			Key:      g.memberKey(),
			Value:    value,
			Expected: expected,
			Lease:    granted.Lease,
		})
		if err != nil {
			return registration{}, err
		}
		swapped := answer.(store.Swapped)
		if swapped.Era != granted.Era {
			return registration{}, errors.Wrap(store.ErrNoLease, "set back since the lease was granted")
		}
		if swapped.Done {
			g.logger.Info("registered",
				slog.Int64("Lease", int64(granted.Lease)),
				slog.Int64("Era", int64(granted.Era)),
				slog.Int64("Counter", swapped.Current.Version))
			g.discovery.setRegistered(mirror.Position{
				Era:     swapped.Era,
				Counter: swapped.Current.Version,
			})
			return registration{
				lease:   granted.Lease,
				era:     granted.Era,
				version: swapped.Current.Version,
			}, nil
		}
		expected = swapped.Current.Version
	}
}

// renewLease renews the lease. It returns no registration if the lease has expired, or if
// the store was set back: then the lease may be gone, and another instance's by now.
func (g *Gateway) renewLease(ctx context.Context, current registration) (registration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := g.callStore(ctx, store.RenewLease{
		Lease: current.lease,
	})
	if err != nil {
		return current, err
	}
	if renewed := answer.(store.Leased); renewed.Term == 0 || renewed.Era != current.era {
		g.logger.Warn("registration expired",
			slog.Int64("Lease", int64(current.lease)),
			slog.Int64("Era", int64(renewed.Era)))
		return registration{}, nil
	}
	return current, nil
}

// deleteRegistration ends the registration when the instance stops. It deletes the key and
// lets the lease expire, because the lease may be another instance's if the store was set
// back.
func (g *Gateway) deleteRegistration(current registration) {
	if current.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	if _, err := g.callStore(ctx, store.Delete{
		Key:      g.memberKey(),
		Expected: current.version,
	}); err != nil {
		g.logger.Warn("registration not revoked, it will expire",
			slog.String("Error", err.Error()))
	}
}
