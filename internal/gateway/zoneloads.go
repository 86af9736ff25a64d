package gateway

import (
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/zoneload"
)

// allocationTerm is how long after the last request for a slot of a service this instance
// counts as its allocator, for metrics and for reports to other zones.
const allocationTerm = 10 * time.Second

// zoneStates returns what is known of a service in the other zones that have an allocator. The
// caller must hold mu.
func (st *localState) zoneStates(now time.Duration, service string) []zoneload.State { return nil }

// forward asks another zone for a slot.
func (st *localState) forward(now time.Duration, s *service, c *slotClaim) ([]outgoing, bool) {
	return nil, false
}

func (st *localState) forwardWaiting(now time.Duration, s *service) []outgoing { return nil }

func (st *localState) endForwards(now time.Duration, s *service) []outgoing { return nil }

func (st *localState) decideRemote(now time.Duration, s *service, from instance.Address, c *slotClaim) []outgoing {
	return decline(from, c.request)
}

func (g *Gateway) handleDecline(m slotResponse) {}

func (g *Gateway) handleZoneLoad(from instance.Address, m zoneLoadReport) {}
