package gateway

import (
	"context"
	"log/slog"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/meter"
)

// requestAllowance returns the decision of a target's keeper whether the target may get a
// request now.
func (g *Gateway) requestAllowance(ctx context.Context, targetName string, limit meter.TargetLimit) meter.Decision {
	return g.askTargetKeeper(ctx, decisionRequest{
		Kind:   targetLimit,
		Name:   targetName,
		Amount: wireLimit(limit),
	})
}

// askTargetKeeper returns the decision of a target's keeper about a request of kind
// targetLimit. If the keeper doesn't answer, the target gets nothing.
func (g *Gateway) askTargetKeeper(ctx context.Context, r decisionRequest) meter.Decision {
	keeper := g.keeper(r.Kind, r.Name)
	decision := meter.Decision{}
	answered := false
	switch {
	case keeper == g.self.Address:
		decision, answered = g.decideAsKeeper(r), true
	case !g.isUnresponsive(keeper):
		var response decisionResponse
		response, answered = g.askKeeper(ctx, keeper, r)
		decision = response.Decision
		if !answered && ctx.Err() == nil {
			g.state.markUnresponsive(keeper, r.Kind.String()+" "+r.Name)
		}
	}
	if !answered {
		g.state.withLock(func() { decision = g.state.targetLimits.TakeWithoutKeeper() })
	}
	if !decision.Granted {
		if r.Cold {
			g.count("WarmUp.Denied")
		} else {
			g.count("Limit.Denied")
		}
		g.logger.Debug("target takes no more requests",
			slog.String("Request", entry.RequestID(ctx)),
			slog.String("Target", r.Name),
			slog.Float64("PerSecond", targetLimitOf(r.Amount).PerSecond),
			slog.Bool("Cold", r.Cold),
			slog.Bool("Answered", answered),
			slog.Duration("RetryAfter", decision.RetryAfter))
	}
	return decision
}

// isUnresponsive reports whether an instance recently failed to answer a decision request.
func (g *Gateway) isUnresponsive(a instance.Address) bool {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return g.state.unresponsive(a)
}

// recordLimit records what an answer says about its target's limit, and tells all
// instances if that is news.
func (g *Gateway) recordLimit(targetName string, limit meter.TargetLimit) {
	if limit.Kind == meter.Limited {
		// Others get it in this precision, and must not take the rest for news.
		limit = targetLimitOf(wireLimit(limit))
	}
	news := false
	g.state.withLock(func() { news = g.state.updateLimit(targetName, limit) })
	if !news {
		return
	}
	g.logger.Info("target's limit changed",
		slog.String("Target", targetName),
		slog.Bool("Limited", limit.Kind == meter.Limited),
		slog.Float64("PerSecond", limit.PerSecond))
	g.sendToFleet(limitReport{
		Target: targetName,
		Limit:  limit,
	})
}

// handleLimitReport records the limit that another instance has reported, and forwards it
// to the zone if asked to.
func (g *Gateway) handleLimitReport(from instance.Address, m limitReport) {
	g.state.withLock(func() { g.state.updateLimit(m.Target, m.Limit) })
	if m.Forward {
		g.forwardToZone(from, m)
	}
}

// updateLimit records a target's limit. A target without one is no longer held. It reports
// whether the limit is news. The caller must hold mu.
func (st *localState) updateLimit(targetName string, limit meter.TargetLimit) bool {
	if !st.targetLimits.Update(boot.Now(), targetName, limit) {
		return false
	}
	if limit.Kind == meter.Unlimited {
		for _, s := range st.services {
			s.table.EndHold(targetName)
		}
	}
	return true
}
