package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/source"
	"dandelionmux/pkg/store"
)

const (
	// settleTime is how long an instance that has registered and knows nobody in its zone
	// waits before it lists the members again: others may be registering.
	settleTime = 200 * time.Millisecond
	// outdatedListPause is the pause before the next list if one was older than the
	// instance's own registration, and maxOutdatedLists how many such lists are made.
	outdatedListPause = 100 * time.Millisecond
	maxOutdatedLists  = 3
)

// discovery is how an instance that starts learns the members of its zone.
type discovery struct {
	mu sync.Mutex
	// listed is closed once the members were listed. formerVersion is the version of what
	// an earlier run left under the instance's key then, or zero.
	listed        chan struct{}
	formerVersion int64
	// registered is closed once the instance has registered first, at registeredAt.
	registered   chan struct{}
	registeredAt mirror.Position
}

func newDiscovery() *discovery {
	return &discovery{
		listed:     make(chan struct{}),
		registered: make(chan struct{}),
	}
}

// setListed records the first list of the members.
func (d *discovery) setListed(formerVersion int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.listed:
	default:
		d.formerVersion = formerVersion
		close(d.listed)
	}
}

// setRegistered records the first registration.
func (d *discovery) setRegistered(at mirror.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.registered:
	default:
		d.registeredAt = at
		close(d.registered)
	}
}

// awaitMemberList waits until the members were listed, and returns the version of what an
// earlier run left under the instance's key then.
func (g *Gateway) awaitMemberList(ctx context.Context) (int64, error) {
	select {
	case <-g.discovery.listed:
	case <-ctx.Done():
		return 0, errors.Wrap(store.ErrUnavailable, "members not listed yet")
	}
	g.discovery.mu.Lock()
	defer g.discovery.mu.Unlock()
	return g.discovery.formerVersion, nil
}

// discover learns the members of the zone, so that the instance can copy what one of them
// has. If there is nobody else, it does so again once it has registered and others have had
// the time to: the whole zone may have started at once.
func (g *Gateway) discover(ctx context.Context) {
	for ctx.Err() == nil {
		_, others, err := g.listMembers(ctx, true)
		if err != nil {
			g.logStoreFailure(ctx, "discover", err)
			g.backoff.wait(ctx)
			continue
		}
		if others {
			return
		}
		break
	}
	select {
	case <-g.discovery.registered:
		sleep(ctx, settleTime)
	case <-ctx.Done():
	}
	for n := 0; ctx.Err() == nil; n++ {
		at, _, err := g.listMembers(ctx, n < maxOutdatedLists)
		switch {
		case err != nil:
			g.logStoreFailure(ctx, "discover", err)
			g.backoff.wait(ctx)
		case at.Era == g.discovery.registeredAt.Era && at.Counter < g.discovery.registeredAt.Counter:
			sleep(ctx, outdatedListPause)
		default:
			return
		}
	}
}

// listMembers lists the members and gives those of the zone to the chooser of the source.
// It returns how old the list is and whether there are others in the zone. With allowStale
// the list is cheaper, but may be outdated.
func (g *Gateway) listMembers(ctx context.Context, allowStale bool) (at mirror.Position, others bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	answer, err := g.callStore(ctx, store.List{
		Prefix:      memberPrefix,
		AllowStale:  allowStale,
		PageTimeout: pageTimeout,
	})
	if err != nil {
		return mirror.Position{}, false, err
	}
	list := answer.(store.Entries)
	var zone []source.Member
	var formerVersion int64
	for _, e := range list.Entries {
		if strings.TrimPrefix(e.Key, memberPrefix) == string(g.self.Address) {
			formerVersion = e.Version
		}
		if m, err := decodeMember(e); err == nil && m.Zone == g.self.Zone {
			zone = append(zone, m.sourceMember())
			others = others || m.Address != g.self.Address
		}
	}
	g.discovery.setListed(formerVersion)
	g.state.withLock(func() {
		if g.state.mirror.Empty() {
			g.state.source.SetMembers(zone)
		}
	})
	return mirror.Position{
		Era:     list.Era,
		Counter: list.Counter,
	}, others, nil
}

// nextSource returns what the instance does next to keep its mirror up to date.
func (g *Gateway) nextSource() source.Action {
	var next source.Action
	g.state.withLock(func() {
		confirmedAt, confirmed := g.state.mirror.ConfirmedAt()
		next = g.state.source.Next(boot.Now(), source.Confirmation{
			At:    confirmedAt,
			Known: confirmed,
		})
	})
	return next
}

// isReader reports whether the instance is to read the store for its zone.
func (g *Gateway) isReader() bool {
	_, ok := g.nextSource().(source.Read)
	return ok
}
