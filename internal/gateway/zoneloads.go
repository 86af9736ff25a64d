package gateway

import (
	"math/rand/v2"
	"time"

	"dandelionmux/internal/boot"
	slotqueue "dandelionmux/pkg/admission"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/spillover"
	"dandelionmux/pkg/zoneload"
)

const (
	// allocationTerm is how long after the last request for a slot of a service this instance
	// counts as its allocator, for metrics and for reports to other zones.
	allocationTerm = 10 * time.Second
	// minZoneLoadPeriod is the least time between two reports to other zones, as in zoneload.Due.
	minZoneLoadPeriod = 250 * time.Millisecond
	// heardTerm is the age up to which a report says that a zone has an allocator: two that are
	// sent each second may be lost.
	heardTerm = 3 * time.Second
	// declinedTerm is how long a zone whose request was declined is told at once of free slots.
	declinedTerm = time.Second
	// maxForwards is how many waiting requests are forwarded to other zones at a time.
	maxForwards = 32
)

// zoneStates returns what is known of a service in the other zones that have an allocator. The
// caller must hold mu.
func (st *localState) zoneStates(now time.Duration, service string) []zoneload.State {
	var known []string
	for _, zone := range st.roster.ZoneNames() {
		if zone != st.gateway.self.Zone && st.allocatorIn(zone, service) != "" {
			known = append(known, zone)
		}
	}
	return st.zoneLoads.Zones(now, service, known)
}

// remoteCapacity returns what the zones whose allocators have reported lately have free of a service
// beyond the needs of their own callers. A zone that has slots counts with at least one.
func remoteCapacity(states []zoneload.State) slotqueue.Capacity {
	var capacity slotqueue.Capacity
	for _, state := range states {
		if state.Age < heardTerm && state.Slots > 0 {
			capacity.Slots += max(state.Spare(), 1)
			capacity.ServiceTime = max(capacity.ServiceTime, state.ServiceTime)
		}
	}
	return capacity
}

// forward asks another zone for a slot if the request is served there sooner, and reports whether
// it does. The caller must hold mu.
func (st *localState) forward(now time.Duration, s *service, c *slotClaim) ([]outgoing, bool) {
	states := st.zoneStates(now, s.name)
	if len(states) == 0 {
		return nil, false
	}
	decision := spillover.Decide(st.home(now, s, c, states), c.spilling(now, s), st.spillZones(now, states), spillover.WithDraw(rand.Float64()))
	leave, ok := decision.(spillover.Leave)
	if !ok {
		return nil, false
	}
	st.zoneLoads.Sent(now, s.name, leave.Zone)
	timeout := st.roundTrips.Estimate(now, leave.Zone) + slotTimeout
	c.state, c.zone, c.forwardedUntil = claimForwarded, leave.Zone, now+timeout
	st.allocator.claims[c.key] = c
	s.allocation.pending[c] = struct{}{}
	m := c.request
	m.Origin, m.Left, m.Unfit = c.key.origin, c.deadline-now, nil
	return []outgoing{
		{
			to: st.allocatorIn(leave.Zone, s.name),
			m:  m,
		},
		c.answer(slotResponse{
			Verdict: slotWaiting,
			Wait:    timeout,
			Reason:  leave.Reason,
		}),
	}, true
}

// spillZones returns the zones that a request may leave for. The caller must hold mu.
func (st *localState) spillZones(now time.Duration, states []zoneload.State) []spillover.Zone {
	zones := make([]spillover.Zone, 0, len(states))
	for _, state := range states {
		zones = append(zones, spillover.Zone{
			Name:      state.Zone,
			Free:      state.Free,
			RoundTrip: st.roundTrips.Estimate(now, state.Zone),
		})
	}
	return zones
}

// home returns the state of the service in this zone for a request. states is that in the others. The
// caller must hold mu.
func (st *localState) home(now time.Duration, s *service, c *slotClaim, states []zoneload.State) spillover.Home {
	room := s.table.Room(now)
	return spillover.Home{
		Free:    room.Free,
		Waiting: s.allocation.queue.Len(),
		Wait:    s.allocation.queue.Expect(now, c.entry(), st.capacityWith(now, s, c, states)),
		Targets: room.Targets,
	}
}

// spilling returns what decides whether the request leaves the zone.
func (c *slotClaim) spilling(now time.Duration, s *service) spillover.Request {
	r := spillover.Request{
		Left:        c.deadline - now,
		ServiceTime: c.request.Expected,
	}
	if r.ServiceTime == 0 {
		r.ServiceTime = s.allocation.slotTime
	}
	if c.request.Objective > 0 {
		r.Objective = max(c.request.Objective-(now-c.arrived), time.Millisecond)
	}
	return r
}

// forwardWaiting asks other zones for slots for the requests that wait, while that serves the
// first of them sooner. The caller must hold mu.
func (st *localState) forwardWaiting(now time.Duration, s *service) []outgoing {
	var out []outgoing
	queue := s.allocation.queue
	for range maxForwards {
		if queue.Len() == 0 {
			break
		}
		e, ok := queue.Next(now)
		if !ok {
			break
		}
		messages, ok := st.forward(now, s, e.Value)
		if !ok {
			queue.PutBack(now, e)
			break
		}
		e.Value.dequeued = true
		out = append(out, messages...)
	}
	return out
}

// endForwards ends the requests to other zones that have not been answered in time. The caller
// must hold mu.
func (st *localState) endForwards(now time.Duration, s *service) []outgoing {
	var out []outgoing
	for c := range s.allocation.pending {
		if c.state == claimForwarded && now >= c.forwardedUntil {
			out = append(out, st.endForward(now, s, c)...)
		}
	}
	return out
}

// endForward has a request wait in its own zone after another one has declined it, or has not
// answered. The caller must hold mu.
func (st *localState) endForward(now time.Duration, s *service, c *slotClaim) []outgoing {
	st.zoneLoads.Declined(now, s.name, c.zone)
	st.gateway.count("Allocation.DeclinedBy." + c.zone)
	if !c.dequeued {
		delete(s.allocation.pending, c)
		return st.enqueue(now, s, c)
	}
	// It has been admitted already, and keeps its place.
	c.state, c.dequeued = claimWaiting, false
	s.allocation.queue.PutBack(now, c.entry())
	return []outgoing{c.waiting(s.allocation.queue.Expect(now, c.entry(), st.capacity(now, s, c)))}
}

// handleDecline has a request wait in its own zone that another one has declined. The request may
// have been forwarded to a further zone if the answer comes late.
func (g *Gateway) handleDecline(from instance.Address, m slotResponse) {
	var out []outgoing
	st := g.state
	st.withLock(func() {
		c := st.allocator.claims[claimKey{
			origin: m.Origin,
			number: m.Number,
		}]
		if c == nil || c.state != claimForwarded || c.zone != st.members[from].Zone {
			return
		}
		if s := st.services[c.request.Service]; s != nil {
			out = st.endForward(boot.Now(), s, c)
		}
	})
	g.post(out...)
	if len(out) > 0 {
		g.wakeAllocator()
	}
}

// decideRemote grants a slot to an instance of another zone, or declines: slots that the own
// zone's callers may need are not granted, and requests of other zones don't wait here. The caller
// must hold mu.
func (st *localState) decideRemote(now time.Duration, s *service, from instance.Address, c *slotClaim) []outgoing {
	if st.zoneReport(now, s).Spare() > 0 && st.grant(now, s, c) {
		st.gateway.count("Allocation.GrantedRemote")
		return []outgoing{c.granted()}
	}
	st.gateway.count("Allocation.DeclinedRemote")
	s.allocation.declinedAt[st.members[from].Zone] = now
	return decline(from, c.request)
}

// reportRoom tells the zones whose requests were declined lately that slots are free: they would
// otherwise learn it from the next periodic report, and leave the slots idle until then. The caller must
// hold mu.
func (st *localState) reportRoom(now time.Duration, s *service) []outgoing {
	declinedAt := s.allocation.declinedAt
	if len(declinedAt) == 0 {
		return nil
	}
	report := st.zoneReport(now, s)
	if report.Spare() == 0 {
		return nil
	}
	var out []outgoing
	for zone, at := range declinedAt {
		delete(declinedAt, zone)
		if now-at < declinedTerm {
			out = append(out, st.zoneLoadTo(now, zone, report, true)...)
		}
	}
	return out
}

// zoneReport returns the state of a service in this zone for the other zones. The caller must hold
// mu.
func (st *localState) zoneReport(now time.Duration, s *service) zoneload.Report {
	room := s.table.Room(now)
	return zoneload.Report{
		Service:     s.name,
		Zone:        st.gateway.self.Zone,
		Targets:     room.Targets,
		Slots:       room.Slots,
		InUse:       room.Slots - room.Free,
		Waiting:     s.allocation.queue.Len(),
		ServiceTime: s.allocation.slotTime,
	}
}

// sendZoneLoads, which is called every tick, reports the state of the services that this instance
// allocates to their allocators in other zones if that is due.
func (g *Gateway) sendZoneLoads(now time.Duration) {
	var out []outgoing
	st := g.state
	st.withLock(func() {
		if len(st.roster.ZoneNames()) < 2 {
			return
		}
		for _, s := range st.services {
			if s.allocation != nil && now-s.allocation.reportedAt >= minZoneLoadPeriod {
				out = append(out, st.zoneLoadReports(now, s)...)
			}
		}
	})
	g.post(out...)
}

// zoneLoadReports returns the reports of a service to other zones that are due. The caller must
// hold mu.
func (st *localState) zoneLoadReports(now time.Duration, s *service) []outgoing {
	self := st.gateway.self
	if now-s.allocation.requestedAt >= allocationTerm {
		return nil
	}
	report := st.zoneReport(now, s)
	if !zoneload.Due(now, s.allocation.reportedAt, report, true) || st.allocatorIn(self.Zone, s.name) != self.Address {
		return nil
	}
	s.allocation.reportedAt = now
	var out []outgoing
	for _, zone := range st.roster.ZoneNames() {
		if zone != self.Zone {
			out = append(out, st.zoneLoadTo(now, zone, report, false)...)
		}
	}
	return out
}

// zoneLoadTo returns the report of a service to its allocator in another zone, if there is one. vacated is
// as in zoneLoadReport. The caller must hold mu.
func (st *localState) zoneLoadTo(now time.Duration, zone string, report zoneload.Report, vacated bool) []outgoing {
	peer := st.allocatorIn(zone, report.Service)
	if peer == "" {
		return nil
	}
	stamp := st.roundTrips.Stamp(now, string(peer))
	return []outgoing{{
		to: peer,
		m: zoneLoadReport{
			Report:   report,
			SentAt:   stamp.Sent,
			EchoedAt: stamp.Echo,
			HeldFor:  stamp.Held,
			Vacated:  vacated,
		},
	}}
}

// handleZoneLoad records the state of a service in another zone, and asks for the slots that are free
// there for the requests that wait here.
func (g *Gateway) handleZoneLoad(from instance.Address, m zoneLoadReport) {
	now := boot.Now()
	var out []outgoing
	st := g.state
	st.withLock(func() {
		st.roundTrips.Receive(now, m.Zone, string(from), zoneload.Stamp{
			Sent: m.SentAt,
			Echo: m.EchoedAt,
			Held: m.HeldFor,
		})
		if m.Vacated {
			st.zoneLoads.Vacated(now, m.Report)
		} else {
			st.zoneLoads.Receive(now, m.Report)
		}
		if s := st.services[m.Service]; s != nil && s.isBusy() {
			out = st.forwardWaiting(now, s)
		}
	})
	g.post(out...)
}
