package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/link"
)

const (
	// suspectTimeout bounds how long a request waits for the tests of its service's
	// targets.
	suspectTimeout = testTimeout + 50*time.Millisecond
	// unreachableRetryAfter is the least Retry-After sent to callers if no instance
	// reaches a service. Up to unreachableSpread is added, so that they don't all come
	// back at once.
	unreachableRetryAfter = time.Second
	unreachableSpread     = time.Second
	// relayOverdueSlack is added to the time after which a target's answer is overdue, for
	// the way through another instance.
	relayOverdueSlack = 100 * time.Millisecond
	// formerMemberTerm is how long an instance that isn't a member any more may send
	// requests here: it deregisters first when it stops.
	formerMemberTerm = time.Minute
)

// relays implements entry.Relays.
type relays struct{ gateway *Gateway }

// Acquire implements entry.Relays.
func (r relays) Acquire(ctx context.Context, request entry.RelayRequest) (entry.Relay, error) {
	g := r.gateway
	state := g.awaitLinks(ctx, request.Service)
	if state == link.Reachable || state == link.PartlyReachable && request.Relayed {
		return nil, nil
	}
	chosen := &relay{
		gateway: g,
		service: request.Service,
	}
	found := false
	if !request.Relayed {
		g.state.withLock(func() { found = g.state.chooseHelper(chosen, request, entry.RequestID(ctx)) })
	}
	switch {
	case found:
		return chosen, nil
	case state == link.PartlyReachable:
		return nil, nil
	}
	if !request.Relayed {
		g.count("Relay.Helpless")
		g.logger.Warn("no instance reaches the service",
			slog.String("Request", entry.RequestID(ctx)),
			slog.String("Service", request.Service))
	}
	return nil, &entry.Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     entry.UnreachableReason,
		RetryAfter: unreachableRetryAfter + rand.N(unreachableSpread),
		Elsewhere:  true,
	}
}

// chooseHelper chooses the instance for a request, and reports whether there is one. The
// caller must hold mu.
func (st *localState) chooseHelper(r *relay, request entry.RelayRequest, requestID string) bool {
	members := slices.DeleteFunc(slices.Clone(st.roster.Members()), func(m instance.Info) bool { return st.unresponsive(m.Address) })
	key := instance.Hash("relay", xxhash.Sum64String(requestID))
	untried := slices.DeleteFunc(slices.Clone(members), func(m instance.Info) bool { return slices.Contains(request.Tried, m.Address) })
	var found bool
	if r.instance, found = st.helpers.Choose(boot.Now(), st.gateway.self, untried, request.Service, key); !found {
		r.instance, found = st.helpers.Choose(boot.Now(), st.gateway.self, members, request.Service, key)
	}
	if s := st.services[request.Service]; s != nil {
		now := boot.Now()
		r.overdueAfter = s.latencies.OverdueAfter(request.Route.Name, request.Route.Objective, s.retriesAreScarce(now)) + relayOverdueSlack
	}
	return found
}

// awaitLinks returns what is known of the links to a service. It waits while they are
// tested.
func (g *Gateway) awaitLinks(ctx context.Context, service string) link.State {
	st := g.state
	timeout := time.Now().Add(suspectTimeout)
	for {
		st.mu.Lock()
		state := st.links.State(service)
		changed := st.linksChanged
		st.linkWaiter = st.linkWaiter || state == link.Suspect
		st.mu.Unlock()
		if state != link.Suspect {
			return state
		}
		timer := time.NewTimer(time.Until(timeout))
		select {
		case <-changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return link.Reachable
		case <-timer.C:
			return link.Reachable
		}
	}
}

// wakeWaiters wakes the requests that wait for tests. The caller must hold mu.
func (st *localState) wakeWaiters() {
	if st.linkWaiter {
		st.linkWaiter = false
		close(st.linksChanged)
		st.linksChanged = make(chan struct{})
	}
}

// relay implements entry.Relay.
type relay struct {
	gateway      *Gateway
	service      string
	instance     instance.Info
	overdueAfter time.Duration
}

// Instance implements entry.Relay.
func (r *relay) Instance() instance.Address { return r.instance.Address }

// OverdueAfter implements entry.Relay.
func (r *relay) OverdueAfter() time.Duration { return r.overdueAfter }

// Release implements entry.Relay.
func (r *relay) Release(result entry.RelayResult) {
	g := r.gateway
	helpers := g.state.helpers
	incarnation := int64(0)
	g.state.withLock(func() {
		incarnation = g.state.targets.Incarnation(result.LeavingTarget)
		switch result.Outcome {
		case entry.RelayAnswered:
			helpers.Answered(r.service)
			// Others reach the service, so attempts in progress here needn't wait.
			if s := g.state.services[r.service]; s != nil && g.state.links.State(r.service) != link.Reachable {
				s.inFlight.notifyAll()
			}
		case entry.RelayDeclined, entry.RelayFailed:
			helpers.Exclude(boot.Now(), r.instance.Address)
		case entry.RelayCutOff:
			helpers.CutOff(boot.Now(), r.instance, r.service, g.settings.Zones)
		case entry.RelayAbandoned:
		}
	})
	if result.LeavingTarget != "" {
		g.applyLeaving(leavingReport{
			Target:      result.LeavingTarget,
			Incarnation: incarnation,
		})
	}
}

// reportLinks tells all instances which services this one doesn't reach: when that changes,
// and each link.ReportPeriod while there are any.
func (g *Gateway) reportLinks(now time.Duration) {
	st := g.state
	due := false
	m := linkReport{
		Instance: g.self.Address,
	}
	st.withLock(func() {
		m.All = st.links.AllLost()
		m.Services = st.links.Impaired()
		changed := m.All != st.linkReport.All || !slices.Equal(m.Services, st.linkReport.Services)
		due = changed || len(m.Services) > 0 && now >= st.linkReportAt+link.ReportPeriod
		if due {
			st.linkReport, st.linkReportAt = m.Report, now
		}
	})
	if due {
		g.sendToFleet(m)
	}
}

// handleLinkReport records which services another instance doesn't reach, and forwards that
// to the zone if asked to.
func (g *Gateway) handleLinkReport(from instance.Address, m linkReport) {
	g.state.withLock(func() { g.state.helpers.Receive(boot.Now(), m.Instance, m.Report) })
	if m.Forward {
		g.forwardToZone(from, m)
	}
}

// servePeer serves other instances: requests of their callers, and copies of the mirror.
func (g *Gateway) servePeer(w http.ResponseWriter, r *http.Request) {
	switch {
	case !entry.IsRelayed(r):
		g.serveMirror(w, r)
	case g.isMember(r.RemoteAddr):
		g.entry.ServeRelayed(w, r)
	default:
		g.entry.DeclineRelayed(w, r)
	}
}

// isMember reports whether a member of the fleet, or a former one, has the IP of an
// address.
func (g *Gateway) isMember(address string) bool {
	host := hostOf(address)
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, former := st.formerUntil[host]; former {
		return true
	}
	for a := range st.members {
		if hostOf(string(a)) == host {
			return true
		}
	}
	return false
}

// hostOf returns the IP of an address "IP:port".
func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
