package spillover_test

import (
	"math/rand/v2"
	"time"

	"dandelionmux/internal/fake"
	"dandelionmux/pkg/spillover"
	"dandelionmux/pkg/zoneload"
)

const (
	oneWay     = 3 * time.Millisecond
	callerTime = 2 * time.Second
	objective  = 600 * time.Millisecond
	// answerMargin is added to the round trip before a zone counts as unresponsive.
	answerMargin = 25 * time.Millisecond
)

// loop lets allocators pass each other messages on virtual time.
type loop struct {
	*fake.Timeline
	// serviceTime is the mean time at a target.
	serviceTime time.Duration
	// parted drops messages between zones, muted the reports among them.
	parted bool
	muted  bool
}

func newLoop(serviceTime time.Duration) *loop {
	l := &loop{Timeline: fake.NewTimeline(0), serviceTime: serviceTime}
	l.Random = rand.New(rand.NewPCG(1, 2))
	return l
}

func (l *loop) runUntil(end time.Duration) { l.Run(end - l.Now()) }

// send delivers a message to another zone.
func (l *loop) send(do func()) {
	if !l.parted {
		l.After(oneWay, do)
	}
}

// allocator allocates a service's slots in one zone.
type allocator struct {
	*loop
	service  string
	zone     string
	table    *zoneload.Table
	peers    []*allocator
	names    []string
	slots    int
	inUse    int
	queue    []time.Duration // deadlines
	lastSent time.Duration
	tally
}

// tally counts requests of the allocator's own callers, unless said otherwise.
type tally struct {
	arrived  int
	left     int
	served   int
	late     int
	refused  int
	declined int
	overfull int // grants beyond the free slots
}

// connect makes the allocators one service's, and starts their reports.
func connect(list []*allocator) {
	var names []string
	for _, a := range list {
		names = append(names, a.zone)
	}
	for _, a := range list {
		a.names = names
		a.peers = list
		a.After(0, a.reportIfDue)
	}
}

func newAllocator(l *loop, t *zoneload.Table, service, zone string, slots int) *allocator {
	return &allocator{loop: l, table: t, service: service, zone: zone, slots: slots}
}

func (a *allocator) report() zoneload.Report {
	return zoneload.Report{
		Service:     a.service,
		Zone:        a.zone,
		Targets:     a.slots,
		Slots:       a.slots,
		InUse:       a.inUse,
		Waiting:     len(a.queue),
		ServiceTime: a.serviceTime,
	}
}

func (a *allocator) reportIfDue() {
	if r := a.report(); zoneload.Due(a.Now(), a.lastSent, r, true) {
		a.lastSent = a.Now()
		for _, p := range a.peers {
			if p != a && !a.muted {
				a.send(func() { p.table.Receive(p.Now(), r) })
			}
		}
	}
	a.After(10*time.Millisecond, a.reportIfDue)
}

// arrivals begins requests at a rate until a time.
func (a *allocator) arrivals(perSecond float64, end time.Duration) {
	if a.Now() >= end || perSecond == 0 {
		return
	}
	a.arrive()
	pause := time.Duration((0.5 + a.Random.Float64()) / perSecond * float64(time.Second))
	a.After(pause, func() { a.arrivals(perSecond, end) })
}

func (a *allocator) arrive() {
	a.arrived++
	deadline := a.Now() + callerTime
	if a.inUse < a.slots && len(a.queue) == 0 {
		a.serve(deadline)
		return
	}
	d := spillover.Decide(a.home(), spillover.Request{
		Left:        callerTime,
		Objective:   objective,
		ServiceTime: a.serviceTime,
	}, a.otherZones(), spillover.WithDraw(a.Random.Float64()))
	switch d := d.(type) {
	case spillover.Leave:
		a.forward(d.Zone, deadline)
	case spillover.Stay:
		a.wait(deadline)
	}
}

func (a *allocator) home() spillover.Home {
	h := spillover.Home{Free: max(0, a.slots-a.inUse-len(a.queue)), Waiting: len(a.queue), Targets: a.slots}
	if a.slots > 0 {
		h.Wait = a.serviceTime * time.Duration(len(a.queue)+1) / time.Duration(a.slots)
	}
	return h
}

func (a *allocator) otherZones() []spillover.Zone {
	var list []spillover.Zone
	for _, s := range a.table.Zones(a.Now(), a.service, a.names) {
		list = append(list, spillover.Zone{Name: s.Zone, Free: s.Free, RoundTrip: 2 * oneWay})
	}
	return list
}

// forward asks the allocator of another zone, and queues the request if it declines or doesn't answer.
func (a *allocator) forward(zone string, deadline time.Duration) {
	a.left++
	a.table.Sent(a.Now(), a.service, zone)
	answered := false
	decline := func() {
		if !answered {
			answered = true
			a.declined++
			a.table.Declined(a.Now(), a.service, zone)
			a.wait(deadline)
		}
	}
	a.After(2*oneWay+answerMargin, decline)
	for _, p := range a.peers {
		if p.zone == zone {
			a.send(func() { p.grant(deadline, a, func() { answered = true }, decline) })
		}
	}
}

// grant serves a request of another zone if there is a slot beyond the reserve.
func (a *allocator) grant(deadline time.Duration, origin *allocator, accept, decline func()) {
	if a.report().Spare() == 0 {
		a.send(decline)
		return
	}
	a.occupy()
	a.send(accept)
	a.After(3*oneWay+a.duration(), func() { origin.finish(deadline) })
	a.After(4*oneWay+a.duration(), a.release)
}

func (a *allocator) serve(deadline time.Duration) {
	a.occupy()
	a.After(a.duration(), func() {
		a.finish(deadline)
		a.release()
	})
}

func (a *allocator) finish(deadline time.Duration) {
	if a.Now() > deadline {
		a.refused++
		return
	}
	a.served++
	if a.Now() > deadline-callerTime+objective {
		a.late++
	}
}

func (a *allocator) occupy() {
	if a.inUse >= a.slots {
		a.overfull++
	}
	a.inUse++
}

func (a *allocator) release() {
	a.inUse--
	a.serveNext()
}

func (a *allocator) wait(deadline time.Duration) {
	a.queue = append(a.queue, deadline)
	a.serveNext()
}

// serveNext serves waiting requests whose time allows it, and refuses the others.
func (a *allocator) serveNext() {
	for len(a.queue) > 0 && a.inUse < a.slots {
		deadline := a.queue[0]
		a.queue = a.queue[1:]
		if a.Now()+a.serviceTime*4/3 > deadline {
			a.refused++
			continue
		}
		a.serve(deadline)
	}
}

// duration is between two thirds and four thirds of the mean.
func (a *allocator) duration() time.Duration {
	return time.Duration((2 + 2*a.Random.Float64()) / 3 * float64(a.serviceTime))
}
