package linelog

import (
	"context"
	"log/slog"
)

// Handler returns a slog.Handler that passes records on to next, which writes to
// w. While at least half of the queue of w is full, it drops and counts the records
// for which routine returns true.
func (w *Writer) Handler(next slog.Handler, routine func(slog.Record) bool) slog.Handler {
	return handler{
		Handler: next,
		writer:  w,
		routine: routine,
	}
}

// handler drops routine records while its writer is congested.
type handler struct {
	slog.Handler
	writer  *Writer
	routine func(slog.Record) bool
}

// Handle implements slog.Handler.
func (h handler) Handle(ctx context.Context, r slog.Record) error {
	if h.writer.congested() && h.routine(r) {
		h.writer.thinned.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h handler) WithAttrs(list []slog.Attr) slog.Handler {
	h.Handler = h.Handler.WithAttrs(list)
	return h
}

// WithGroup implements slog.Handler.
func (h handler) WithGroup(name string) slog.Handler {
	h.Handler = h.Handler.WithGroup(name)
	return h
}
