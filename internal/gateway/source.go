package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/store"
)

// Periods and limits of reading the store and of following its reader.
const (
	// proofPeriod is the time between two proofs of a reader. It bounds how old a
	// configuration the zone may act on while the reader's watch is silent.
	proofPeriod = 600 * time.Millisecond
	// callTimeout bounds a call to the store, which answers in 4 ms; slow days
	// take 60 times as long.
	callTimeout = 1500 * time.Millisecond
	// listTimeout bounds a whole list, which has several pages.
	listTimeout = 4 * time.Second
	// watchTimeout bounds one watch. A silent connection is found by a proof.
	watchTimeout = 10 * time.Second
	// watchPause lets changes gather before the next watch, so that hundreds of
	// members and targets that change together don't cost a call each. It is a
	// small part of the two seconds in which a change must be in force.
	watchPause = 150 * time.Millisecond
	// deafPatience is how long a watch may lag behind a proof.
	deafPatience = 400 * time.Millisecond
	// staleReader is the age of a reader's proof from which on another is
	// sought. It is more than a period and a slow answer.
	staleReader = 1100 * time.Millisecond
	// catchUpTimeout bounds the calls with which an instance that has lost its
	// reader looks at the store itself.
	catchUpTimeout = 300 * time.Millisecond
	// staleSilence is how long a reader with a stale proof is passed over: an
	// instance that the store turns away stays so for seconds.
	staleSilence = 4 * time.Second
)

// errStop says that the reading of the store ended for no failure.
var errStop = errors.New("reading ended")

// follow keeps the mirror up to date: from the store if the instance reads it
// for its zone or knows nothing yet, else from the zone's reader.
func (g *Gateway) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if g.empty() {
			g.backoff.wait(ctx)
			if err := g.listStore(ctx); err != nil {
				g.storeFailed(ctx, "list", err)
			}
			continue
		}
		source := g.source()
		if source == g.self.Address {
			g.readStore(ctx)
			continue
		}
		g.copyFrom(ctx, source)
	}
}

func (g *Gateway) empty() bool {
	empty := false
	g.belief.look(func() { empty = g.belief.mirror.Counter() == 0 })
	return empty
}

// source is the first reader in rank that answers.
func (g *Gateway) source() instance.Address {
	first := g.self.Address
	g.belief.look(func() {
		for _, m := range g.belief.roster.Readers() {
			if _, stale := g.belief.stale[m.Address]; !stale {
				first = m.Address
				return
			}
		}
	})
	return first
}

// listStore takes in the whole content of the store.
func (g *Gateway) listStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sent := boot.Now()
	answer, err := g.storeCall(ctx, store.List{})
	if err != nil {
		return err
	}
	list := answer.(store.Entries)
	g.belief.update(func(m *mirror.Mirror) []store.Entry {
		news := m.ApplyList(list.Entries, list.Counter)
		m.ConfirmRead(sent, list.Counter)
		return news
	})
	return nil
}

// storeCall makes one call and counts it.
func (g *Gateway) storeCall(ctx context.Context, call store.Call) (store.Answer, error) {
	answer, err := g.adapters.Store.Do(ctx, call)
	if err != nil {
		g.count(fmt.Sprintf("Store.Failed.%T", call))
		g.backoff.failed(boot.Now())
		return nil, err
	}
	g.count(fmt.Sprintf("Store.Answered.%T", call))
	g.backoff.answered()
	return answer, nil
}

// storeFailed logs a failed call.
func (g *Gateway) storeFailed(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	g.logger.Warn("store call failed",
		slog.String("Call", what),
		slog.String("Error", err.Error()))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readStore watches and proves until another instance is to read, or the watch
// has lost changes.
func (g *Gateway) readStore(ctx context.Context) {
	g.backoff.wait(ctx)
	if err := g.proveOnce(ctx, callTimeout); err != nil {
		g.storeFailed(ctx, "prove", err)
		if g.stale() {
			g.belief.distrust(g.self.Address, "own proof is stale")
		}
		return
	}
	g.logger.Info("reading the store for the zone")
	g.reading.Store(true)
	defer g.reading.Store(false)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.watchStore(ctx) })
	group.Go(func() error { return g.proveStore(ctx) })
	if err := group.Wait(); !errors.Is(err, errStop) {
		g.logger.Warn("reading of the store interrupted",
			slog.String("Error", err.Error()))
	}
}

// watchStore takes changes in until another instance is to read, which a change
// of the members may tell.
func (g *Gateway) watchStore(ctx context.Context) error {
	for ctx.Err() == nil && g.source() == g.self.Address {
		if err := g.watchOnce(ctx); err != nil {
			if errors.Is(err, errRelist) {
				err = g.listStore(ctx)
			}
			if err != nil {
				g.storeFailed(ctx, "watch", err)
				g.backoff.wait(ctx)
			}
		}
	}
	return errStop
}

// errRelist says that a watch can't go on from where it was.
var errRelist = errors.New("changes lost")

func (g *Gateway) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var after int64
	deaf := make(chan struct{})
	g.belief.look(func() { after = g.belief.mirror.Counter() })
	go g.endDeafWatch(ctx, cancel, deaf)
	answer, err := g.storeCall(ctx, store.Watch{
		After: after,
	})
	select {
	case <-deaf:
		return errRelist
	default:
	}
	if err != nil {
		return err
	}
	changes := answer.(store.Changes)
	if changes.Compacted {
		return errRelist
	}
	g.belief.update(func(m *mirror.Mirror) []store.Entry {
		return m.ApplyChanges(changes.Entries, changes.Counter)
	})
	pause(ctx, watchPause)
	return nil
}

// endDeafWatch ends a watch that doesn't hear what a proof has seen.
func (g *Gateway) endDeafWatch(ctx context.Context, cancel context.CancelFunc, deaf chan struct{}) {
	ticker := time.NewTicker(deafPatience / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		is := false
		g.belief.look(func() { is = g.belief.mirror.Stalled(boot.Now(), deafPatience) })
		if is {
			g.count("Store.Deaf")
			close(deaf)
			cancel()
			return
		}
	}
}

// proveStore proves now and then that the mirror is fresh, by reading the
// instance's own key. It ends when another instance is to read.
func (g *Gateway) proveStore(ctx context.Context) error {
	for ctx.Err() == nil {
		if g.source() != g.self.Address {
			return errStop
		}
		pause(ctx, proofPeriod)
		if err := g.proveOnce(ctx, callTimeout); err != nil {
			g.storeFailed(ctx, "prove", err)
			if g.stale() {
				g.belief.distrust(g.self.Address, "own proof is stale")
				return errStop
			}
			g.backoff.wait(ctx)
		}
	}
	return errStop
}

// stale tells whether the last proof is too old for a reader.
func (g *Gateway) stale() bool {
	at, ok := g.provedAt()
	return !ok || boot.Now()-at > staleReader
}

func (g *Gateway) proveOnce(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := boot.Now()
	answer, err := g.storeCall(ctx, store.Get{
		Key: g.memberKey(),
	})
	if err != nil {
		return err
	}
	counter := answer.(store.Value).Counter
	g.belief.update(func(m *mirror.Mirror) []store.Entry {
		m.ConfirmRead(sent, counter)
		return nil
	})
	return nil
}

// copyFrom copies the mirror of the zone's reader until it fails or another one
// is to read.
func (g *Gateway) copyFrom(ctx context.Context, source instance.Address) {
	g.logger.Info("following the zone's reader",
		slog.String("Reader", string(source)))
	for ctx.Err() == nil && g.source() == source {
		if err := g.copyOnce(ctx, source); err != nil {
			if ctx.Err() == nil {
				g.belief.distrust(source, err.Error())
				g.catchUp(ctx)
			}
			return
		}
	}
}

// catchUp looks at the store once without a reader, so that no change waits
// until the next reader is found. There is no need as long as the instance knows
// as much as a reader would.
func (g *Gateway) catchUp(ctx context.Context) {
	now := boot.Now()
	if at, ok := g.provedAt(); g.backoff.left(now) > 0 || ok && now-at < proofPeriod {
		return
	}
	if err := g.proveOnce(ctx, catchUpTimeout); err != nil {
		g.count("Store.CatchUpFailed")
		return
	}
	behind := false
	g.belief.look(func() { behind = g.belief.mirror.Behind() })
	if !behind {
		return
	}
	if err := g.listStore(ctx); err != nil {
		g.storeFailed(ctx, "catch up", err)
	}
}
