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
	// confirmPeriod is the time between two proofs of a reader. It bounds how old a
	// configuration the zone may act on while the reader's watch is silent.
	confirmPeriod = 600 * time.Millisecond
	// callTimeout bounds a call to the store, which answers in 4 ms; slow days
	// take 60 times as long.
	callTimeout = 1500 * time.Millisecond
	// listTimeout bounds a whole list, which has several pages.
	listTimeout = 4 * time.Second
	// watchTimeout bounds one watch. A silent connection is found by a proof.
	watchTimeout = 10 * time.Second
	// watchBatchDelay lets changes gather before the next watch, so that hundreds of
	// members and targets that change together don't cost a call each. It is a
	// small part of the two seconds in which a change must be in force.
	watchBatchDelay = 150 * time.Millisecond
	// maxWatchLag is how long a watch may lag behind a proof.
	maxWatchLag = 400 * time.Millisecond
	// maxReaderAge is the age of a reader's proof from which on another is
	// sought. It is more than a period and a slow answer.
	maxReaderAge = 1100 * time.Millisecond
	// catchUpTimeout bounds the calls with which an instance that has lost its
	// reader looks at the store itself.
	catchUpTimeout = 300 * time.Millisecond
	// staleReaderPeriod is how long a reader with a stale proof is passed over: an
	// instance that the store turns away stays so for seconds.
	staleReaderPeriod = 4 * time.Second
)

// errReadingEnded says that the reading of the store ended for no failure.
var errReadingEnded = errors.New("reading ended")

// maintainMirror keeps the mirror up to date: from the store if the instance reads it
// for its zone or knows nothing yet, else from the zone's reader.
func (g *Gateway) maintainMirror(ctx context.Context) {
	for ctx.Err() == nil {
		if g.mirrorEmpty() {
			g.backoff.wait(ctx)
			if err := g.listStore(ctx); err != nil {
				g.logStoreFailure(ctx, "list", err)
			}
			continue
		}
		source := g.selectReader()
		if source == g.self.Address {
			g.readStore(ctx)
			continue
		}
		g.followReader(ctx, source)
	}
}

func (g *Gateway) mirrorEmpty() bool {
	empty := false
	g.state.withLock(func() { empty = g.state.mirror.Counter() == 0 })
	return empty
}

// selectReader is the first reader in rank that answers.
func (g *Gateway) selectReader() instance.Address {
	reader := g.self.Address
	g.state.withLock(func() {
		for _, m := range g.state.roster.Readers() {
			if _, stale := g.state.staleUntil[m.Address]; !stale {
				reader = m.Address
				return
			}
		}
	})
	return reader
}

// listStore takes in the whole content of the store.
func (g *Gateway) listStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sentAt := boot.Now()
	answer, err := g.callStore(ctx, store.List{})
	if err != nil {
		return err
	}
	list := answer.(store.Entries)
	g.state.update(func(m *mirror.Mirror) []store.Entry {
		news := m.ApplyList(list.Entries, list.Counter)
		m.ConfirmRead(sentAt, list.Counter)
		return news
	})
	return nil
}

// callStore makes one call and counts it.
func (g *Gateway) callStore(ctx context.Context, call store.Call) (store.Answer, error) {
	answer, err := g.adapters.Store.Do(ctx, call)
	if err != nil {
		g.count(fmt.Sprintf("Store.Failed.%T", call))
		g.backoff.recordFailure(boot.Now())
		return nil, err
	}
	g.count(fmt.Sprintf("Store.Answered.%T", call))
	g.backoff.reset()
	return answer, nil
}

// logStoreFailure logs a failed call.
func (g *Gateway) logStoreFailure(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	g.logger.Warn("store call failed",
		slog.String("Call", call),
		slog.String("Error", err.Error()))
}

func sleep(ctx context.Context, d time.Duration) {
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
	if err := g.confirmOnce(ctx, callTimeout); err != nil {
		g.logStoreFailure(ctx, "prove", err)
		if g.confirmationExpired() {
			g.state.markStale(g.self.Address, "own proof is stale")
		}
		return
	}
	g.logger.Info("reading the store for the zone")
	g.readingStore.Store(true)
	defer g.readingStore.Store(false)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.watchStore(ctx) })
	group.Go(func() error { return g.confirmPeriodically(ctx) })
	if err := group.Wait(); !errors.Is(err, errReadingEnded) {
		g.logger.Warn("reading of the store interrupted",
			slog.String("Error", err.Error()))
	}
}

// watchStore takes changes in until another instance is to read, which a change
// of the members may tell.
func (g *Gateway) watchStore(ctx context.Context) error {
	for ctx.Err() == nil && g.selectReader() == g.self.Address {
		if err := g.watchOnce(ctx); err != nil {
			if errors.Is(err, errChangesLost) {
				err = g.listStore(ctx)
			}
			if err != nil {
				g.logStoreFailure(ctx, "watch", err)
				g.backoff.wait(ctx)
			}
		}
	}
	return errReadingEnded
}

// errChangesLost says that a watch can't go on from where it was.
var errChangesLost = errors.New("changes lost")

func (g *Gateway) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var after int64
	stalled := make(chan struct{})
	g.state.withLock(func() { after = g.state.mirror.Counter() })
	go g.cancelStalledWatch(ctx, cancel, stalled)
	answer, err := g.callStore(ctx, store.Watch{
		After: after,
	})
	select {
	case <-stalled:
		return errChangesLost
	default:
	}
	if err != nil {
		return err
	}
	changes := answer.(store.Changes)
	if changes.Compacted {
		return errChangesLost
	}
	g.state.update(func(m *mirror.Mirror) []store.Entry {
		return m.ApplyChanges(changes.Entries, changes.Counter)
	})
	sleep(ctx, watchBatchDelay)
	return nil
}

// cancelStalledWatch ends a watch that doesn't hear what a proof has seen.
func (g *Gateway) cancelStalledWatch(ctx context.Context, cancel context.CancelFunc, stalled chan struct{}) {
	ticker := time.NewTicker(maxWatchLag / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		mirrorStalled := false
		g.state.withLock(func() { mirrorStalled = g.state.mirror.Stalled(boot.Now(), maxWatchLag) })
		if mirrorStalled {
			g.count("Store.Deaf")
			close(stalled)
			cancel()
			return
		}
	}
}

// confirmPeriodically proves now and then that the mirror is fresh, by reading the
// instance's own key. It ends when another instance is to read.
func (g *Gateway) confirmPeriodically(ctx context.Context) error {
	for ctx.Err() == nil {
		if g.selectReader() != g.self.Address {
			return errReadingEnded
		}
		sleep(ctx, confirmPeriod)
		if err := g.confirmOnce(ctx, callTimeout); err != nil {
			g.logStoreFailure(ctx, "prove", err)
			if g.confirmationExpired() {
				g.state.markStale(g.self.Address, "own proof is stale")
				return errReadingEnded
			}
			g.backoff.wait(ctx)
		}
	}
	return errReadingEnded
}

// confirmationExpired tells whether the last proof is too old for a reader.
func (g *Gateway) confirmationExpired() bool {
	confirmedAt, ok := g.confirmedAt()
	return !ok || boot.Now()-confirmedAt > maxReaderAge
}

func (g *Gateway) confirmOnce(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := boot.Now()
	answer, err := g.callStore(ctx, store.Get{
		Key: g.memberKey(),
	})
	if err != nil {
		return err
	}
	counter := answer.(store.Value).Counter
	g.state.update(func(m *mirror.Mirror) []store.Entry {
		m.ConfirmRead(sentAt, counter)
		return nil
	})
	return nil
}

// followReader copies the mirror of the zone's reader until it fails or another one
// is to read.
func (g *Gateway) followReader(ctx context.Context, reader instance.Address) {
	g.logger.Info("following the zone's reader",
		slog.String("Reader", string(reader)))
	for ctx.Err() == nil && g.selectReader() == reader {
		if err := g.copyOnce(ctx, reader); err != nil {
			if ctx.Err() == nil {
				g.state.markStale(reader, err.Error())
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
	if confirmedAt, ok := g.confirmedAt(); g.backoff.remaining(now) > 0 || ok && now-confirmedAt < confirmPeriod {
		return
	}
	if err := g.confirmOnce(ctx, catchUpTimeout); err != nil {
		g.count("Store.CatchUpFailed")
		return
	}
	behind := false
	g.state.withLock(func() { behind = g.state.mirror.Behind() })
	if !behind {
		return
	}
	if err := g.listStore(ctx); err != nil {
		g.logStoreFailure(ctx, "catch up", err)
	}
}
