package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"dandelionmux/internal/forward"
	"dandelionmux/pkg/document"
)

// Explainer is implemented by slots that can report why their target was chosen.
type Explainer interface {
	// ChoiceAttrs returns the inputs of the choice as attributes for the log.
	ChoiceAttrs() []slog.Attr
}

// requestIDKey is the context key of the request's id.
type requestIDKey struct{}

// RequestID returns the id of the request that a context belongs to, for logs. It
// is empty if the context belongs to no request.
func RequestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// IsRoutine reports whether a log record only tells of the normal course of a
// request, so that it may be dropped when there are too many records.
func IsRoutine(r slog.Record) bool {
	switch r.Message {
	case placedMessage, relayedMessage, receivedMessage:
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

// Messages of routine log records.
const (
	placedMessage   = "placed"
	relayedMessage  = "relayed"
	receivedMessage = "relayed request received"
	answeredMessage = "answered"
)

// logAttempt logs the target of attempt n.
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
		slog.Int("Sent", x.sentAttempts),
		slog.Int("Allowed", x.maxSentAttempts()),
		slog.Uint64("Revision", x.snapshot.Index.Revision()),
		slog.Duration("Left", time.Until(x.deadline)),
	}
	if e, ok := slot.(Explainer); ok {
		attributes = append(attributes, e.ChoiceAttrs()...)
	}
	x.handler.logger.LogAttrs(context.Background(), slog.LevelInfo, placedMessage, attributes...)
}

// logUnsent logs why an attempt did not reach its target.
func (p *placedAttempt) logUnsent(err *forward.Error) {
	x := p.exchange
	if !x.handler.logDecisions {
		return
	}
	x.handler.logger.LogAttrs(context.Background(), slog.LevelInfo, "target not reached",
		slog.String("Request", x.id),
		slog.String("Target", p.slot.Target().Name),
		slog.String("Stage", err.Stage.String()),
		slog.Duration("Took", time.Since(p.began)),
		slog.String("Error", err.Unwrap().Error()))
}

// logEnd logs how a request ended. Keys and paths of requests are never logged.
func (x *exchange) logEnd(message, reason string, status int) {
	if !x.handler.logDecisions {
		return
	}
	route, service := "", ""
	if x.route != nil {
		route, service = x.route.Name, x.service
	}
	x.handler.logger.LogAttrs(context.Background(), slog.LevelInfo, message,
		slog.String("Request", x.id),
		slog.String("Organisation", x.organisation),
		slog.String("Route", route),
		slog.String("Service", service),
		slog.String("Reason", reason),
		slog.Int("Status", status),
		slog.Int("Attempts", len(x.triedTargets)),
		slog.Int("Relays", x.relays),
		slog.Bool("Relayed", x.relayed != nil),
		slog.Int("Ahead", x.ahead),
		slog.Duration("Took", time.Since(x.began)))
}

// logAmbiguousPath logs which route the path's bytes select, and to which one a target may take it
// past the first one's checks. Other is empty if that is none.
func (x *exchange) logAmbiguousPath(s document.Selection) {
	if !x.handler.logDecisions {
		return
	}
	other := ""
	if s.Other != nil {
		other = s.Other.Name
	}
	x.handler.logger.LogAttrs(context.Background(), slog.LevelInfo, "ambiguous path",
		slog.String("Request", x.id),
		slog.String("Route", s.Refused.Name),
		slog.String("Other", other))
}

// logRelay logs that attempt n goes through another instance.
func (x *exchange) logRelay(relay Relay, n int) {
	if !x.handler.logDecisions {
		return
	}
	x.handler.logger.LogAttrs(context.Background(), slog.LevelInfo, relayedMessage,
		slog.String("Request", x.id),
		slog.String("Organisation", x.organisation),
		slog.String("Route", x.route.Name),
		slog.String("Service", x.service),
		slog.String("Peer", string(relay.Instance())),
		slog.Int("Attempt", n),
		slog.Int("Sent", x.sentAttempts),
		slog.Int("Allowed", x.maxSentAttempts()),
		slog.Uint64("Revision", x.snapshot.Index.Revision()),
		slog.Duration("Left", time.Until(x.deadline)))
}

// logLost logs that it isn't known what became of an attempt through another instance.
func (a *relayAttempt) logLost() {
	x := a.exchange
	if !x.handler.logDecisions {
		return
	}
	x.handler.logger.LogAttrs(context.Background(), slog.LevelInfo, "relay lost",
		slog.String("Request", x.id),
		slog.String("Peer", string(a.relay.Instance())),
		slog.Int("Sent", a.sent))
}

// logIgnoredRest logs values of a target's Retry-After that can't be used.
func (x *exchange) logIgnoredRest(values []string) {
	x.handler.logger.LogAttrs(context.Background(), slog.LevelWarn, "target's Retry-After ignored",
		slog.String("Request", x.id),
		slog.Any("Values", values))
}

// logRelayed logs that another instance has sent the request here.
func (x *exchange) logRelayed() {
	if !x.handler.logDecisions {
		return
	}
	x.handler.logger.LogAttrs(context.Background(), slog.LevelInfo, receivedMessage,
		slog.String("Request", x.id),
		slog.String("Peer", x.request.RemoteAddr),
		slog.Int("Sent", x.sentAttempts))
}
