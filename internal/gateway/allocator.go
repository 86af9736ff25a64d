package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"dandelionmux/internal/boot"
	slotqueue "dandelionmux/pkg/admission"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/zoneload"
)

const (
	// allocatorPeriod is the time between two looks at the requests that wait for slots.
	allocatorPeriod = 20 * time.Millisecond
	// claimExpiryTicks is the number of ticks between two looks for claims whose release was
	// lost, and claimGrace how long after its request's time a claim is one of these.
	claimExpiryTicks = 10
	claimGrace       = time.Second
	// slotTimeWeight is the weight of the last use of a slot in the mean.
	slotTimeWeight = 0.05
	// maxHold is the longest time for which a refused permit holds a target. The keeper spreads those
	// that come back over up to 2 s, but only one allocator does, and a sound target that gets
	// nothing for 2 s counts as unused capacity.
	maxHold = 300 * time.Millisecond
	// maxPassedOver is how many waiting requests that can't use the free slots are passed over.
	maxPassedOver = 4
)

// claimKey identifies a request for a slot.
type claimKey struct {
	origin instance.Address
	number uint64
}

// claimState is how far a request for a slot has come.
type claimState int

const (
	claimWaiting claimState = iota
	claimForwarded
	claimGranted
)

// slotClaim is a request for a slot that this instance allocates: it waits, or another zone
// has been asked, or it uses a slot.
type slotClaim struct {
	key      claimKey
	id       uint64
	state    claimState
	request  slotRequest
	deadline time.Duration
	arrived  time.Duration
	// target was granted at grantedAt.
	target    string
	grantedAt time.Duration
	// remote is set if the origin is in another zone.
	remote bool
	// zone was asked for a slot and answers before forwardedUntil. dequeued is set if the request
	// waited in the queue before, which has then counted it as served.
	zone           string
	forwardedUntil time.Duration
	dequeued       bool
}

// allocator is what this instance knows as an allocator. It is guarded by localState.mu.
type allocator struct {
	claims map[claimKey]*slotClaim
	lastID uint64
}

func newAllocator() allocator {
	return allocator{
		claims: map[claimKey]*slotClaim{},
	}
}

// allocation is the part of an allocator for one service. It is guarded by localState.mu.
type allocation struct {
	queue *slotqueue.Queue[*slotClaim]
	// pending holds the requests that wait, in the queue or for the answer of another zone.
	pending map[*slotClaim]struct{}
	// slotTime is the mean time for which a slot is used; zero before the first release.
	slotTime time.Duration
	// requestedAt is when a slot was last asked for.
	requestedAt time.Duration
	// reportedAt is when the other zones' allocators last got a report.
	reportedAt time.Duration
	// declinedAt holds when a request of each zone was last declined that hasn't been told of
	// free slots since.
	declinedAt map[string]time.Duration
}

// allocated returns the service's part of the allocator, which begins with its first use.
func (s *service) allocated() *allocation {
	if s.allocation == nil {
		s.allocation = &allocation{
			queue:      slotqueue.New[*slotClaim](),
			pending:    map[*slotClaim]struct{}{},
			declinedAt: map[string]time.Duration{},
		}
	}
	return s.allocation
}

// isBusy reports whether requests wait for a slot of the service here.
func (s *service) isBusy() bool {
	return s.allocation != nil && len(s.allocation.pending) > 0
}

// rankName names a rank in counters.
func rankName(rank int) string { return fmt.Sprintf("Rank%d", rank) }

// grantee returns an instance as the table sees it. The caller must hold mu.
func (st *localState) grantee(origin instance.Address, left time.Duration, remote bool) outlier.Grantee {
	switch {
	case origin == st.gateway.self.Address:
		return outlier.Grantee{}
	case remote:
		return outlier.Grantee{
			Instance: string(origin),
			Remote:   true,
			Term:     left,
		}
	default:
		return outlier.Grantee{
			Instance: string(origin),
			Term:     loadReportLifetimePeriods * st.loadReportPeriod(),
		}
	}
}

// handleSlotRequest decides about a request for a slot.
func (g *Gateway) handleSlotRequest(from instance.Address, m slotRequest) {
	var out []outgoing
	busy := false
	g.state.withLock(func() {
		out = g.state.decideSlot(boot.Now(), from, m)
		s := g.state.services[m.Service]
		busy = s != nil && s.isBusy()
	})
	g.post(out...)
	if busy {
		g.wakeAllocator()
	}
}

// decideSlot grants a slot, queues the request, refuses it or leaves it to the sender. The
// caller must hold mu.
func (st *localState) decideSlot(now time.Duration, from instance.Address, m slotRequest) []outgoing {
	g := st.gateway
	s := st.services[m.Service]
	// An instance that has just started doesn't know the load yet.
	started := now >= st.startedAt+st.loadReportPeriod()
	if s == nil || !started || !st.isAllocated(s) || !g.Current().Ready() || g.leaving.Load() {
		return decline(from, m)
	}
	c := &slotClaim{
		key: claimKey{
			origin: from,
			number: m.Number,
		},
		request:  m,
		deadline: now + m.Left,
		arrived:  now,
	}
	if m.Origin != "" {
		c.key.origin, c.remote = m.Origin, true
	}
	if known := st.allocator.claims[c.key]; known != nil {
		known.request.Unfit = m.Unfit
		return st.repeatAnswer(now, s, known)
	}
	al := s.allocated()
	al.requestedAt = now
	if c.remote {
		return st.decideRemote(now, s, from, c)
	}
	if !m.Beside {
		al.queue.Arrived(now, m.Rank)
	}
	if al.queue.Len() == 0 && st.grant(now, s, c) {
		if !m.Beside {
			al.queue.Served(now, m.Rank)
		}
		return []outgoing{c.granted()}
	}
	if m.Beside {
		return []outgoing{c.refused("no-target", 0, 0)}
	}
	if out, ok := st.forward(now, s, c); ok {
		return out
	}
	return st.enqueue(now, s, c)
}

// decline leaves the choice of a target to the instance that asks, or tells the allocator that
// has forwarded the request.
func decline(from instance.Address, m slotRequest) []outgoing {
	return []outgoing{{
		to: from,
		m: slotResponse{
			Number: m.Number,
			Origin: m.Origin,
		},
	}}
}

// repeatAnswer answers a request again that is known already: the answer was lost, or came too
// late. The caller must hold mu.
func (st *localState) repeatAnswer(now time.Duration, s *service, c *slotClaim) []outgoing {
	switch c.state {
	case claimGranted:
		return []outgoing{c.granted()}
	case claimForwarded:
		return []outgoing{c.waiting(c.forwardedUntil - now)}
	default:
		return []outgoing{c.waiting(s.allocation.queue.Expect(now, c.entry(), st.capacity(now, s, c)))}
	}
}

// grant grants a free slot to a request, if there is one that it can use. The caller must hold
// mu.
func (st *localState) grant(now time.Duration, s *service, c *slotClaim) bool {
	left := c.deadline - now
	chosen, ok := s.table.Grant(now, st.grantee(c.key.origin, left, c.remote), outlier.Request{
		Repeatable: c.request.Repeatable,
		Avoid:      c.request.Tried,
		Unfit:      c.request.Unfit,
		Spare:      c.request.Beside,
	})
	if !ok {
		return false
	}
	c.state, c.target, c.grantedAt = claimGranted, chosen.Name, now
	delete(s.allocation.pending, c)
	st.allocator.claims[c.key] = c
	return true
}

// capacity returns the service's capacity in this zone and what other zones have free: requests that
// wait here may be served there. c tells how long requests take before any has ended. The caller must
// hold mu.
func (st *localState) capacity(now time.Duration, s *service, c *slotClaim) slotqueue.Capacity {
	return st.capacityWith(now, s, c, st.zoneStates(now, s.name))
}

// capacityWith is capacity with the service's state in the other zones, which takes most of the time
// to work out. The caller must hold mu.
func (st *localState) capacityWith(now time.Duration, s *service, c *slotClaim, states []zoneload.State) slotqueue.Capacity {
	capacity := slotqueue.Capacity{
		Slots:       s.table.Room(now).Slots,
		ServiceTime: s.allocation.slotTime,
	}
	remote := remoteCapacity(states)
	capacity.Slots += remote.Slots
	if capacity.ServiceTime == 0 {
		capacity.ServiceTime = remote.ServiceTime
	}
	if capacity.ServiceTime == 0 && c != nil {
		capacity.ServiceTime = c.request.Expected
	}
	return capacity
}

// entry returns the request as it waits for a slot.
func (c *slotClaim) entry() slotqueue.Entry[*slotClaim] {
	return slotqueue.Entry[*slotClaim]{
		ID:           c.id,
		Rank:         c.request.Rank,
		Organisation: c.request.Organisation,
		Deadline:     c.deadline,
		ServiceTime:  c.request.Expected,
		Value:        c,
	}
}

// enqueue has a request wait for a slot, or refuses it. A zone that has no usable target, and
// that hears of no other zone's allocator, leaves the choice to the instance that asks. The
// caller must hold mu.
func (st *localState) enqueue(now time.Duration, s *service, c *slotClaim) []outgoing {
	al := s.allocated()
	capacity := st.capacity(now, s, c)
	if capacity.Slots == 0 {
		delete(st.allocator.claims, c.key)
		return decline(c.key.origin, slotRequest{
			Number: c.request.Number,
		})
	}
	st.allocator.lastID++
	c.id, c.state, c.dequeued = st.allocator.lastID, claimWaiting, false
	switch v := al.queue.Offer(now, c.entry(), capacity).(type) {
	case slotqueue.Waits:
		st.allocator.claims[c.key] = c
		al.pending[c] = struct{}{}
		return []outgoing{c.waiting(v.Expected)}
	case slotqueue.Refused:
		return []outgoing{st.refuse(now, s, c, v)}
	}
	return nil
}

// refuse refuses a request that can't be served in time. The caller must hold mu.
func (st *localState) refuse(now time.Duration, s *service, c *slotClaim, v slotqueue.Refused) outgoing {
	al := s.allocation
	delete(st.allocator.claims, c.key)
	delete(al.pending, c)
	capacity := st.capacity(now, s, c)
	expected := al.queue.Expect(now, c.entry(), capacity)
	st.gateway.logger.Info("slot refused",
		slog.String("Service", s.name),
		slog.String("Instance", string(c.key.origin)),
		slog.Uint64("Number", c.key.number),
		slog.Int("Rank", c.request.Rank),
		slog.String("Reason", v.Reason),
		slog.Duration("Left", c.deadline-now),
		slog.Duration("Expected", expected),
		slog.Int("Slots", capacity.Slots),
		slog.Any("Waiting", al.queue.Waiting()))
	return c.refused(noCapacity, v.RetryAfter, expected)
}

// granted, waiting and refused return the answers to the request.
func (c *slotClaim) granted() outgoing {
	return c.answer(slotResponse{
		Verdict: slotGranted,
		Target:  c.target,
	})
}

func (c *slotClaim) waiting(expected time.Duration) outgoing {
	return c.answer(slotResponse{
		Verdict: slotWaiting,
		Wait:    max(expected, 0),
	})
}

func (c *slotClaim) refused(reason string, retryAfter, expected time.Duration) outgoing {
	return c.answer(slotResponse{
		Verdict:    slotRefused,
		Reason:     reason,
		RetryAfter: retryAfter,
		Wait:       max(expected, 0),
	})
}

func (c *slotClaim) answer(m slotResponse) outgoing {
	m.Number = c.key.number
	return outgoing{
		to: c.key.origin,
		m:  m,
	}
}

// handleSlotRelease ends the use of a slot or the wait for one.
func (g *Gateway) handleSlotRelease(from instance.Address, m slotRelease) {
	var out []outgoing
	g.state.withLock(func() { out = g.state.releaseSlot(boot.Now(), from, m) })
	g.post(out...)
}

// releaseSlot ends the use of a slot or the wait for one, and grants what is free then to the
// requests that wait. A slot that isn't known is one of an earlier run: load reports correct its
// count. The caller must hold mu.
func (st *localState) releaseSlot(now time.Duration, from instance.Address, m slotRelease) []outgoing {
	key := claimKey{
		origin: from,
		number: m.Number,
	}
	c := st.allocator.claims[key]
	if c == nil {
		return nil
	}
	s := st.services[c.request.Service]
	delete(st.allocator.claims, key)
	if s == nil {
		return nil
	}
	switch c.state {
	case claimWaiting:
		s.allocation.queue.Remove(c.id)
		delete(s.allocation.pending, c)
	case claimForwarded:
		// The instance has got a slot there, or the caller has left.
		st.zoneLoads.Accepted(now, s.name, c.zone)
		if !c.dequeued {
			s.allocation.queue.Served(now, c.request.Rank)
		}
		delete(s.allocation.pending, c)
	case claimGranted:
		if !m.uncounted {
			s.table.Ungrant(now, st.grantee(from, 0, c.remote), c.target)
		}
		if m.Hold > 0 && st.isLimited(now, s, c.target) {
			s.table.HoldFor(now+min(m.Hold, maxHold), c.target)
		}
		if !m.Unused {
			s.allocation.recordSlotTime(now - c.grantedAt)
		}
	}
	return st.serveWaiting(now, s)
}

// isLimited reports whether this instance, too, takes the target for one that limits its requests. An
// instance that has lost its links takes sound targets for cold ones. The caller must hold mu.
func (st *localState) isLimited(now time.Duration, s *service, name string) bool {
	return st.targetLimits.Limit(name).Kind == meter.Limited || st.warmUps.Cold(now, name, st.warmUpPolicy(s.name))
}

// recordSlotTime records for how long a slot was used.
func (al *allocation) recordSlotTime(d time.Duration) {
	if al.slotTime == 0 {
		al.slotTime = d
		return
	}
	al.slotTime += time.Duration(slotTimeWeight * float64(d-al.slotTime))
}

// serveWaiting grants free slots to the requests that wait, in the queue's order. The caller
// must hold mu.
func (st *localState) serveWaiting(now time.Duration, s *service) []outgoing {
	if s.allocation == nil {
		return nil
	}
	queue := s.allocation.queue
	var out []outgoing
	var passedOver []slotqueue.Entry[*slotClaim]
	for queue.Len() > 0 && len(passedOver) < maxPassedOver {
		e, ok := queue.Next(now)
		if !ok {
			break
		}
		if st.grant(now, s, e.Value) {
			out = append(out, e.Value.granted())
			continue
		}
		passedOver = append(passedOver, e)
		if len(e.Value.request.Tried)+len(e.Value.request.Unfit) == 0 {
			break // it could have used any free slot
		}
	}
	for _, e := range slices.Backward(passedOver) {
		queue.PutBack(now, e)
	}
	return append(out, st.reportRoom(now, s)...)
}

// wakeAllocator has runAllocator look at the requests that wait.
func (g *Gateway) wakeAllocator() {
	select {
	case g.allocatorWake <- struct{}{}:
	default:
	}
}

// runAllocator looks at the requests that wait for slots, every allocatorPeriod while there are
// any, until ctx ends.
func (g *Gateway) runAllocator(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.allocatorWake:
		}
		for g.stepAllocator() && ctx.Err() == nil {
			sleep(ctx, allocatorPeriod)
		}
	}
}

// stepAllocator serves the requests that wait, refuses those that can't be served any more and
// reports whether any still wait.
func (g *Gateway) stepAllocator() bool {
	var out []outgoing
	busy := false
	st := g.state
	st.withLock(func() {
		now := boot.Now()
		for _, s := range st.services {
			if !s.isBusy() {
				continue
			}
			out = append(out, st.endForwards(now, s)...)
			out = append(out, st.serveWaiting(now, s)...)
			out = append(out, st.refuseExpired(now, s)...)
			out = append(out, st.forwardWaiting(now, s)...)
			busy = busy || s.isBusy()
		}
	})
	g.post(out...)
	return busy
}

// refuseExpired refuses the requests that can't be served any more, here or in another zone. The
// caller must hold mu.
func (st *localState) refuseExpired(now time.Duration, s *service) []outgoing {
	var out []outgoing
	capacity := st.capacity(now, s, nil)
	for _, e := range s.allocation.queue.Expire(now, capacity) {
		if messages, ok := st.forward(now, s, e.Value); ok {
			out = append(out, messages...)
			continue
		}
		out = append(out, st.refuse(now, s, e.Value, slotqueue.Refused{
			Reason:     slotqueue.ReasonLate,
			RetryAfter: s.allocation.queue.RetryAfter(now, e, capacity),
		}))
	}
	return out
}

// expireClaims forgets slots whose releases were lost, and which allocators did not answer.
// The caller must hold mu.
func (st *localState) expireClaims(now time.Duration) {
	for key, c := range st.allocator.claims {
		if c.state == claimGranted && now >= c.deadline+claimGrace {
			delete(st.allocator.claims, key)
		}
	}
	for a, until := range st.unansweredAllocators {
		if now >= until {
			delete(st.unansweredAllocators, a)
		}
	}
}

// slotCounts is the state of a service at its allocator, for metrics.
type slotCounts struct {
	service string
	outlier.Room
	waiting int
}

// slotCounts returns the state of the services that this instance allocates.
func (st *localState) slotCounts(now time.Duration) []slotCounts {
	st.mu.Lock()
	defer st.mu.Unlock()
	var list []slotCounts
	for name, s := range st.services {
		if s.allocation != nil && now-s.allocation.requestedAt < allocationTerm {
			list = append(list, slotCounts{
				service: name,
				Room:    s.table.Room(now),
				waiting: s.allocation.queue.Len(),
			})
		}
	}
	return list
}
