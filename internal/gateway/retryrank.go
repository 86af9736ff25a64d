package gateway

import (
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/retry"
)

// retryRank returns the rank of a request that is to be retried, and whether the keeper of the
// service's retry budget is told: only for services whose slots are allocated.
func (g *Gateway) retryRank(name string, failed retry.Attempt) (rank int, ranked bool) {
	if failed.Route == nil {
		return 0, false
	}
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.services[name]
	if s == nil || st.index == nil || !st.isAllocated(s) {
		return 0, false
	}
	return st.index.Priority(failed.Organisation, failed.Route), true
}

// wireRank returns a rank plus one, so that zero means that there is none.
func wireRank(rank int, ranked bool) int {
	if !ranked {
		return 0
	}
	return max(rank, 0) + 1
}

// takeOptions returns the options with which a keeper takes the retry that a request asks for.
func takeOptions(r decisionRequest) []meter.TakeOption {
	if r.Rank == 0 {
		return nil
	}
	return []meter.TakeOption{meter.WithRank(r.Rank - 1)}
}

// hasTimeToRetry reports whether another attempt is likely to be answered in the time that the
// request has left.
func (g *Gateway) hasTimeToRetry(name string, failed retry.Attempt) bool {
	if failed.Route == nil {
		return true
	}
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.services[name]
	return s == nil || s.latencies.LikelyWithin(failed.Route.Name, failed.Route.Objective, failed.Left, failed.Repeatable)
}
