package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/roster"
	"dandelionmux/pkg/target"
	"dandelionmux/pkg/zoneload"
)

// newAllocatingGateway returns an instance of the zone mill that allocates the service desk, next to
// the zone quay, whose allocator has reported free slots.
func newAllocatingGateway() *Gateway {
	g := newWarmUpGateway(false)
	g.self = instance.Info{
		ID: instance.ID{
			Address: "10.0.1.1:7000",
		},
		Zone: "mill",
	}
	g.asks = newPendingSlots()
	g.allocatorWake = make(chan struct{}, 1)
	g.allocation = allocationBounds{
		minMembers: 1,
		maxSlots:   6,
	}
	peer := instance.Info{
		ID: instance.ID{
			Address: "10.0.2.1:7000",
		},
		Zone: "quay",
	}
	st := g.state
	for _, info := range []instance.Info{g.self, peer} {
		st.members[info.Address] = member{
			Info:      info,
			allocates: true,
		}
	}
	st.roster = roster.New(g.self, []instance.Info{g.self, peer})
	st.zoneLoads = zoneload.New("mill", zoneload.WithRoundTrips(st.roundTrips))
	st.zoneLoads.Receive(boot.Now(), zoneload.Report{
		Service:     "desk",
		Zone:        "quay",
		Targets:     20,
		Slots:       200,
		ServiceTime: 100 * time.Millisecond,
	})
	return g
}

// newClaim returns a request of an instance of the zone for a slot.
func newClaim(now time.Duration, number uint64, rank int) *slotClaim {
	return &slotClaim{
		key: claimKey{
			origin: "10.0.1.2:7000",
			number: number,
		},
		request: slotRequest{
			Number:     number,
			Service:    "desk",
			Rank:       rank,
			Repeatable: true,
			Left:       time.Minute,
			Expected:   100 * time.Millisecond,
		},
		deadline: now + time.Minute,
		arrived:  now,
	}
}

// Guards against a wait that is withdrawn just after it was granted, and counts as a use of a slot
// that took no time: waits would be underestimated.
func TestWithdrawnGrantIsNoUse(t *testing.T) {
	is := is.New(t)
	g := newAllocatingGateway()
	st := g.state
	now := boot.Now()
	c := newClaim(now, 1, 0)
	c.key.origin = g.self.Address
	s := st.services["desk"]
	s.allocated()
	is.True(st.grant(now, s, c))
	a := &slotAsk{
		gateway: g,
		message: c.request,
		waitsAt: g.self.Address,
	}
	time.Sleep(time.Millisecond)
	a.withdraw()
	is.Equal(len(st.allocator.claims), 0)
	is.Equal(s.allocation.slotTime, time.Duration(0))
}

// Guards against a waiting request that is forwarded to another zone and counts as served twice:
// a less urgent rank would get its minimum share too early.
func TestForwardedRequestIsServedOnce(t *testing.T) {
	is := is.New(t)
	g := newAllocatingGateway()
	st := g.state
	now := boot.Now()
	s := st.services["desk"]
	al := s.allocated()
	s.table.HoldFor(now+time.Hour, "desk-1")
	const forwarded = 5
	for i := range forwarded {
		al.queue.Arrived(now, 0)
		al.queue.Arrived(now, 1)
		st.enqueue(now, s, newClaim(now, uint64(i), 0))
	}
	is.Equal(al.queue.Len(), forwarded)
	st.forwardWaiting(now, s)
	is.Equal(al.queue.Len(), 0)
	for i := range forwarded {
		st.releaseSlot(now, "10.0.1.2:7000", slotRelease{
			Number: uint64(i),
		})
	}
	is.Equal(len(st.allocator.claims), 0)
	// Rank 1 is owed 0.3 times a half of each grant: less than one after five grants.
	st.enqueue(now, s, newClaim(now, 10, 1))
	st.enqueue(now, s, newClaim(now, 11, 0))
	e, ok := al.queue.Next(now)
	is.True(ok)
	is.Equal(e.Rank, 0)
}

// Guards against an instance that begins to stop while a request waits for a slot, and sends it
// although the answer would come too late.
func TestNoAttemptAfterAWaitTooCloseToTheStop(t *testing.T) {
	is := is.New(t)
	g := newAllocatingGateway()
	st := g.state
	st.roster = roster.New(g.self, []instance.Info{g.self})
	st.startedAt = boot.Now() - time.Hour
	g.snapshot.Store(&entry.Snapshot{
		Index:        st.index,
		TrustedUntil: boot.Now() + time.Hour,
	})
	s := st.services["desk"]
	for range 6 {
		_, ok := s.table.Take(boot.Now(), "desk-1")
		is.True(ok)
	}
	done := make(chan error, 1)
	go func() {
		_, err := dispatcher{g}.Acquire(context.Background(), entry.SlotRequest{
			Route: &document.Route{
				Name:      "main",
				Objective: 500 * time.Millisecond,
			},
			Service:    "desk",
			Repeatable: true,
			Deadline:   time.Now().Add(20 * time.Second),
		})
		done <- err
	}()
	waits := func() bool {
		busy := false
		st.withLock(func() { busy = s.isBusy() })
		return busy
	}
	for !waits() {
		time.Sleep(time.Millisecond)
	}
	g.publish(func(s *entry.Snapshot) { s.Leaving, s.StopBy = true, time.Now().Add(time.Millisecond) })
	var out []outgoing
	st.withLock(func() {
		s.table.Ungrant(boot.Now(), st.grantee(g.self.Address, 0, false), "desk-1")
		out = st.serveWaiting(boot.Now(), s)
	})
	g.post(out...)
	err := <-done
	var refusal *entry.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, entry.StoppingRefusal().Reason)
	is.Equal(len(st.allocator.claims), 0) // the slot is free again
	is.Equal(s.table.InUse(boot.Now(), "desk-1"), 5)
}

// Guards against a late answer of one zone that ends the request for a slot in another.
func TestDeclineOfAnotherZoneIsIgnored(t *testing.T) {
	is := is.New(t)
	g := newAllocatingGateway()
	st := g.state
	now := boot.Now()
	s := st.services["desk"]
	s.table.HoldFor(now+time.Hour, "desk-1")
	c := newClaim(now, 1, 0)
	c.key.origin = g.self.Address
	s.allocated()
	_, ok := st.forward(now, s, c)
	is.True(ok)
	decline := slotResponse{
		Number: 1,
		Origin: c.key.origin,
	}
	st.members["10.0.3.1:7000"] = member{
		Info: instance.Info{
			Zone: "dune",
		},
	}
	g.handleSlotMessage("10.0.3.1:7000", decline)
	is.Equal(c.state, claimForwarded)
	g.handleSlotMessage("10.0.2.1:7000", decline)
	is.Equal(c.state, claimWaiting)
}

// Guards against a request that waits on and on for targets that its instance could not use when it
// asked first, and can use again.
func TestAskingAgainRenewsUnfitTargets(t *testing.T) {
	is := is.New(t)
	g := newAllocatingGateway()
	st := g.state
	st.roster = roster.New(g.self, []instance.Info{g.self})
	st.startedAt = boot.Now() - time.Hour
	g.snapshot.Store(&entry.Snapshot{
		Index:        st.index,
		TrustedUntil: boot.Now() + time.Hour,
	})
	s := st.services["desk"]
	now := boot.Now()
	m := newClaim(now, 1, 0).request
	m.Unfit = []string{"desk-1"}
	st.decideSlot(now, "10.0.1.2:7000", m)
	is.Equal(len(st.serveWaiting(now, s)), 0)
	m.Unfit = nil
	st.decideSlot(now, "10.0.1.2:7000", m)
	is.Equal(len(st.serveWaiting(now, s)), 1)
}

// Guards against a tick that works out the state of all services that were ever allocated here.
func TestIdleServicesCostNothingAtATick(t *testing.T) {
	is := is.New(t)
	g := newAllocatingGateway()
	g.state.services["desk"].allocated()
	now := boot.Now() + time.Hour
	is.Equal(testing.AllocsPerRun(10, func() { g.sendZoneLoads(now) }), 0.0)
}

// Guards against a target that is down by the report of another instance, and counts as warm once
// the links of this instance turn out to be lost: it would get requests without a permit.
func TestReportOutlastsADoubt(t *testing.T) {
	is := is.New(t)
	g := newWarmUpGateway(true)
	st := g.state
	now := boot.Now()
	s := st.services["desk"]
	st.suspectTargets(now, "desk")
	is.Equal(s.suspected, []string{"desk-1"})
	st.receiveContact(now, failureReport{
		Service: "desk",
		Target:  "desk-1",
		Outcome: target.Refused,
	})
	st.withdrawSuspects(s)
	is.True(st.warmUps.Cold(now, "desk-1", st.warmUpPolicy("desk")))
}

// Guards against a repeated grant that is taken for a late one: the slot would be granted to another
// request while it is used.
func TestRepeatedGrantReleasesNothing(t *testing.T) {
	is := is.New(t)
	g := newAllocatingGateway()
	st := g.state
	now := boot.Now()
	c := newClaim(now, 0, 0)
	c.key.origin = g.self.Address
	a := &slotAsk{
		gateway: g,
		answers: make(chan slotAnswer, maxUnreadAnswers),
	}
	c.key.number = g.asks.add(a.answers)
	a.message.Number = c.key.number
	st.services["desk"].allocated()
	is.True(st.grant(now, st.services["desk"], c))
	granted := c.granted().m.(slotResponse)
	g.handleSlotResponse(g.self.Address, granted)
	a.end(<-a.answers)
	g.handleSlotResponse(g.self.Address, granted)
	is.Equal(len(st.allocator.claims), 1)
	g.asks.release(granted.Number)
	g.handleSlotResponse(g.self.Address, granted) // nobody uses it
	is.Equal(len(st.allocator.claims), 0)
}
