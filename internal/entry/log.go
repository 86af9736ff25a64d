package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"
)

// Explainer is a slot that tells what decided its choice.
type Explainer interface {
	// ChoiceAttrs are the inputs of the choice, for the log.
	ChoiceAttrs() []slog.Attr
}

// requestKey is the context's key for the request's id.
type requestKey struct{}

// RequestID is the id of the request that a context belongs to, for logs; empty
// if it belongs to none.
func RequestID(ctx context.Context) string {
	id, _ := ctx.Value(requestKey{}).(string)
	return id
}

// IsRoutine tells whether a record only says that a request takes its usual way, so
// that it may be left out where there are too many.
func IsRoutine(r slog.Record) bool {
	switch r.Message {
	case placedMessage:
		return true
	case answeredMessage:
		routine := true
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "Status" {
				routine = a.Value.Int64() < http.StatusInternalServerError
			}
			return true
		})
		return routine
	}
	return false
}

// Messages of routine records.
const (
	placedMessage   = "placed"
	answeredMessage = "answered"
)

// logAttempt logs where an attempt goes.
func (x *exchange) logAttempt(slot Slot, n int) {
	if !x.handler.logDecisions {
		return
	}
	attributes := []slog.Attr{
		slog.String("Request", x.id),
		slog.String("Organisation", x.organisation),
		slog.String("Route", x.route.Name),
		slog.String("Service", x.service),
		slog.String("Target", slot.Target().Name),
		slog.Int("Attempt", n),
		slog.Uint64("Revision", x.snapshot.Index.Revision()),
		slog.Duration("Left", time.Until(x.deadline)),
	}
	if e, ok := slot.(Explainer); ok {
		attributes = append(attributes, e.ChoiceAttrs()...)
	}
	x.handler.logger.LogAttrs(context.Background(), slog.LevelInfo, placedMessage, attributes...)
}

// logEnd logs how a request ended. It never sees a key or a path.
func (x *exchange) logEnd(what, reason string, status int) {
	if !x.handler.logDecisions {
		return
	}
	route, service := "", ""
	if x.route != nil {
		route, service = x.route.Name, x.service
	}
	x.handler.logger.LogAttrs(context.Background(), slog.LevelInfo, what,
		slog.String("Request", x.id),
		slog.String("Organisation", x.organisation),
		slog.String("Route", route),
		slog.String("Service", service),
		slog.String("Reason", reason),
		slog.Int("Status", status),
		slog.Int("Attempts", len(x.triedTargets)),
		slog.Duration("Took", time.Since(x.began)))
}
