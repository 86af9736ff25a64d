package entry

import (
	"context"
	"log/slog"
	"time"
)

// logAttempt logs where an attempt goes.
func (x *exchange) logAttempt(target string, n int) {
	if !x.handler.decisions {
		return
	}
	x.handler.logger.LogAttrs(context.Background(), slog.LevelInfo, "placed",
		slog.String("Request", x.id),
		slog.String("Organisation", x.organisation),
		slog.String("Route", x.route.Name),
		slog.String("Service", x.service),
		slog.String("Target", target),
		slog.Int("Attempt", n))
}

// log logs how a request ended. It never sees a key or a path.
func (x *exchange) log(what, reason string, status int) {
	if !x.handler.decisions {
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
		slog.Int("Attempts", len(x.tried)),
		slog.Duration("Took", time.Since(x.began)))
}
