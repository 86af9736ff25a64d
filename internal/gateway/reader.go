package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/source"
	"dandelionmux/pkg/store"
)

// Periods and timeouts of reading the store and of following the zone's reader.
const (
	// confirmPeriod is the time between two confirming reads of a reader. It bounds the
	// age of the configuration in the zone while the reader's watch receives nothing.
	confirmPeriod = 600 * time.Millisecond
	// callTimeout bounds a call to the store, which usually answers in 4 ms and in 60
	// times that when it is slow.
	callTimeout = 1500 * time.Millisecond
	// pageTimeout bounds each page of a list of the store, and listTimeout the whole list: an
	// instance with little of a processor needs a while for many pages.
	pageTimeout = 4 * time.Second
	listTimeout = 30 * time.Second
	// watchTimeout bounds one watch. A dead connection is detected earlier, by
	// cancelStalledWatch.
	watchTimeout = 10 * time.Second
	// watchBatchDelay is a pause before the next watch that lets changes accumulate, so
	// that hundreds of members and targets that change together don't cost a call each.
	// It is a small part of the two seconds within which a change must be in force.
	watchBatchDelay = 150 * time.Millisecond
	// maxWatchLag is how long a watch may lag behind a confirming read.
	maxWatchLag = 400 * time.Millisecond
	// catchUpTimeout bounds the confirming read with which an instance that lost its
	// reader checks the store itself, and the revocation of the lease.
	catchUpTimeout = 300 * time.Millisecond
)

// errReadingEnded says that another instance is to read the store, or that the context
// ended. It is not a failure.
var errReadingEnded = errors.New("store reading ended")

// maintainMirror keeps the mirror up to date until ctx ends, from where package source
// decides.
func (g *Gateway) maintainMirror(ctx context.Context) {
	g.discover(ctx)
	for ctx.Err() == nil {
		switch next := g.nextSource().(type) {
		case source.Read:
			g.readStore(ctx)
		case source.Follow:
			g.followReader(ctx, next.Instance)
		case source.CatchUp:
			ok := g.catchUp(ctx)
			g.state.withLock(func() { g.state.source.CaughtUp(boot.Now(), ok) })
		case source.Wait:
			sleep(ctx, next.For)
		}
	}
}

// mirrorEmpty reports whether the mirror has not been filled yet.
func (g *Gateway) mirrorEmpty() bool {
	empty := false
	g.state.withLock(func() { empty = g.state.mirror.Empty() })
	return empty
}

// listStore reads the complete content of the store into the mirror.
func (g *Gateway) listStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sentAt := boot.Now()
	answer, err := g.callStore(ctx, store.List{
		PageTimeout: pageTimeout,
	})
	if err != nil {
		return err
	}
	list := answer.(store.Entries)
	at := mirror.Position{
		Era:     list.Era,
		Counter: list.Counter,
	}
	g.state.update(origin{Path: byList}, func(m *mirror.Mirror) []store.Entry {
		changes := m.ApplyList(boot.Now(), list.Entries, at)
		m.ConfirmRead(sentAt, at)
		return changes
	})
	return nil
}

// callStore makes one call, counts its result and sets the backoff accordingly.
func (g *Gateway) callStore(ctx context.Context, call store.Call) (store.Answer, error) {
	answer, err := g.adapters.Store.Do(ctx, call)
	if err != nil {
		g.count(fmt.Sprintf("Store.Failed.%T", call))
		g.backoff.recordFailure(boot.Now(), g.maxStorePause())
		return nil, err
	}
	g.count(fmt.Sprintf("Store.Answered.%T", call))
	g.backoff.reset()
	return answer, nil
}

// maxStorePause returns the longest mean pause after a failed call.
func (g *Gateway) maxStorePause() time.Duration {
	pause := maxPause
	g.state.withLock(func() {
		if g.state.source.IsSubstitute() {
			pause = maxSubstitutePause
		}
	})
	return pause
}

// logStoreFailure logs a failed call, unless ctx has ended.
func (g *Gateway) logStoreFailure(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	g.logger.Warn("store call failed",
		slog.String("Call", call),
		slog.String("Error", err.Error()))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readStore watches the store and confirms the mirror until another instance is to
// read, the confirmation is too old, or ctx ends.
func (g *Gateway) readStore(ctx context.Context) {
	g.backoff.wait(ctx)
	var err error
	if g.mirrorEmpty() {
		err = g.listStore(ctx)
	} else {
		err = g.confirmOnce(ctx, callTimeout)
	}
	if err != nil {
		g.logStoreFailure(ctx, "confirm", err)
		g.endReadingIfExpired()
		return
	}
	g.logger.Info("reading the store for the zone")
	g.readingStore.Store(true)
	defer g.readingStore.Store(false)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.containError(func() error { return g.watchStore(ctx) }) })
	group.Go(func() error { return g.containError(func() error { return g.confirmPeriodically(ctx) }) })
	if err := group.Wait(); !errors.Is(err, errReadingEnded) {
		g.logger.Warn("reading the store failed",
			slog.String("Error", err.Error()))
	}
}

// endReadingIfExpired lets another instance read if the last confirmation is too old, and
// reports whether it is.
func (g *Gateway) endReadingIfExpired() bool {
	if !g.confirmationExpired() {
		return false
	}
	g.state.withLock(func() { g.state.source.ReadFailed(boot.Now()) })
	g.count("Reader.Stale")
	g.logger.Warn("reader skipped",
		slog.String("Peer", string(g.self.Address)),
		slog.String("Reason", "own confirmation expired"))
	return true
}

// watchStore applies changes of the store to the mirror until another instance is to
// read, which may follow from a change of the members itself.
func (g *Gateway) watchStore(ctx context.Context) error {
	for ctx.Err() == nil && g.isReader() {
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

// errChangesLost says that a watch can't continue from the mirror's counter, so that
// the store must be listed again.
var errChangesLost = errors.New("watch lost changes")

// watchOnce runs one watch and applies its changes. It returns errChangesLost if the
// store must be listed again.
func (g *Gateway) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var after mirror.Position
	stalled := make(chan struct{})
	g.state.withLock(func() { after = g.state.mirror.Position() })
	go g.contain(func() { g.cancelStalledWatch(ctx, cancel, stalled) })
	answer, err := g.callStore(ctx, store.Watch{
		After: after.Counter,
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
	if changes.Compacted || changes.Era != after.Era {
		return errChangesLost
	}
	g.state.update(origin{Path: byWatch}, func(m *mirror.Mirror) []store.Entry {
		return m.ApplyChanges(changes.Entries, mirror.Position{
			Era:     changes.Era,
			Counter: changes.Counter,
		})
	})
	sleep(ctx, watchBatchDelay)
	return nil
}

// cancelStalledWatch cancels a watch that lags behind a confirming read by more than
// maxWatchLag, after closing stalled. It returns when ctx ends.
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

// confirmPeriodically confirms that the mirror is up to date, until another instance is
// to read the store or the last confirmation is too old.
func (g *Gateway) confirmPeriodically(ctx context.Context) error {
	for ctx.Err() == nil {
		if !g.isReader() {
			return errReadingEnded
		}
		sleep(ctx, confirmPeriod)
		if err := g.confirmOnce(ctx, callTimeout); err != nil {
			g.logStoreFailure(ctx, "confirm", err)
			if g.endReadingIfExpired() {
				return errReadingEnded
			}
			g.backoff.wait(ctx)
			continue
		}
		g.recordEra(ctx)
		g.relistReported(ctx)
	}
	return errReadingEnded
}

// recordEra writes to the store that all it had lost is written again, if that isn't recorded.
// Several zones may try; one succeeds.
func (g *Gateway) recordEra(ctx context.Context) {
	var record store.Entry
	unrecorded := false
	g.state.withLock(func() { record, unrecorded = g.state.mirror.UnrecordedEra() })
	if !unrecorded {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := g.callStore(ctx, store.Swap{
		Key:      record.Key,
		Value:    record.Value,
		Expected: record.Version,
	})
	if err != nil {
		g.logStoreFailure(ctx, "record era", err)
		return
	}
	g.logger.Info("era recorded",
		slog.String("Era", string(record.Value)))
}

// confirmationExpired reports whether the last confirming read is too old for a reader.
func (g *Gateway) confirmationExpired() bool {
	confirmedAt, ok := g.confirmedAt()
	return !ok || boot.Now()-confirmedAt > source.MaxAge
}

// confirmOnce reads the instance's own key linearizably. The counter in the answer covers
// every change made before the read was sent, so a mirror that has reached it was
// complete at that time.
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
	value := answer.(store.Value)
	g.state.update(origin{Path: byConfirmation}, func(m *mirror.Mirror) []store.Entry {
		m.ConfirmRead(sentAt, mirror.Position{
			Era:     value.Era,
			Counter: value.Counter,
		})
		return nil
	})
	return nil
}

// followReader copies the mirror of another instance until that fails or another action is
// due.
func (g *Gateway) followReader(ctx context.Context, reader instance.Address) {
	g.logger.Info("following the zone's reader",
		slog.String("Reader", string(reader)))
	last := &copiedFrom{}
	for ctx.Err() == nil {
		next, ok := g.nextSource().(source.Follow)
		if !ok || next.Instance != reader {
			return
		}
		err := g.copyOnce(ctx, next, last)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			g.state.withLock(func() { g.state.source.Copied() })
			g.relistReported(ctx)
		default:
			g.state.skipSource(reader, copyFailure(err), err.Error())
			return
		}
	}
}

// copyFailure tells what an error of copyOnce says about the other instance.
func copyFailure(err error) source.Failure {
	var network net.Error
	switch {
	case errors.Is(err, errOutdated):
		return source.Outdated
	case errors.Is(err, errBusy):
		return source.Busy
	case errors.As(err, &network) && network.Timeout():
		return source.Unanswered
	default:
		return source.Gone
	}
}

// catchUp reads the store once, and reports whether the mirror is complete then.
func (g *Gateway) catchUp(ctx context.Context) bool {
	if g.backoff.remaining(boot.Now()) > 0 {
		return false
	}
	if g.mirrorEmpty() {
		return g.listOnce(ctx)
	}
	if err := g.confirmOnce(ctx, catchUpTimeout); err != nil {
		g.count("Store.CatchUpFailed")
		return false
	}
	behind := false
	g.state.withLock(func() { behind = g.state.mirror.Behind() })
	return !behind || g.listOnce(ctx)
}

// listOnce is listStore with a log line if it fails.
func (g *Gateway) listOnce(ctx context.Context) bool {
	err := g.listStore(ctx)
	if err != nil {
		g.logStoreFailure(ctx, "catch up", err)
	}
	return err == nil
}
