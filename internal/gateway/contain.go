package gateway

import (
	"context"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
)

// taskRestartDelay is the time after which a task that has failed unexpectedly begins again.
const taskRestartDelay = 500 * time.Millisecond

// contain calls f. If the program fails unexpectedly in it, that is logged and counted and
// ends f alone, not the process: callers have requests in progress, and all instances may
// meet the same message or entry. It reports whether f has returned normally.
func (g *Gateway) contain(f func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			g.count("Panics")
			g.logger.Error("unexpected failure",
				slog.Any("Error", cause),
				slog.String("Stack", string(debug.Stack())))
		}
	}()
	f()
	return true
}

// contained returns f, contained.
func (g *Gateway) contained(f func()) func() {
	return func() { g.contain(f) }
}

// goLoop runs f, which runs until ctx ends, in a goroutine that Close waits for. It begins
// again after an unexpected failure.
func (g *Gateway) goLoop(ctx context.Context, f func(ctx context.Context)) {
	g.goTask(func() {
		for !g.contain(func() { f(ctx) }) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(taskRestartDelay):
			}
		}
	})
}

// errUnexpected reports an unexpected failure that was contained.
var errUnexpected = errors.New("unexpected failure")

// containError is contain for a function that may fail.
func (g *Gateway) containError(f func() error) (err error) {
	if !g.contain(func() { err = f() }) {
		return errUnexpected
	}
	return err
}
