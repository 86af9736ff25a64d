package spillover_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"dandelionmux/pkg/spillover"
	"dandelionmux/pkg/zoneload"
)

const (
	oneWay     = 3 * time.Millisecond
	callerTime = 2 * time.Second
	objective  = 600 * time.Millisecond
	// patience is added to the round trip before a zone counts as unresponsive.
	patience = 25 * time.Millisecond
)

// loop runs events on virtual time, so that allocators can pass each other messages.
type loop struct {
	now    time.Duration
	events eventHeap
	count  int
	random *rand.Rand
	// serviceTime is the mean time at a target.
	serviceTime time.Duration
	// parted drops messages between zones, muted the reports among them.
	parted bool
	muted  bool
}

func newLoop(serviceTime time.Duration) *loop {
	return &loop{
		serviceTime: serviceTime,
		random:      rand.New(rand.NewPCG(1, 2)),
	}
}

func (l *loop) after(d time.Duration, do func()) {
	l.count++
	heap.Push(&l.events, event{
		at:     l.now + d,
		number: l.count,
		do:     do,
	})
}

// send delivers a message to another zone.
func (l *loop) send(do func()) {
	if !l.parted {
		l.after(oneWay, do)
	}
}

func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
	}
	l.now = end
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
	granted  int // to other zones
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
		a.after(0, a.reportIfDue)
	}
}

func newAllocator(l *loop, t *zoneload.Table, service, zone string, slots int) *allocator {
	return &allocator{
		loop:    l,
		table:   t,
		service: service,
		zone:    zone,
		slots:   slots,
	}
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
	if r := a.report(); zoneload.Due(a.now, a.lastSent, r, true) {
		a.lastSent = a.now
		for _, p := range a.peers {
			if p != a && !a.muted {
				a.send(func() { p.table.Receive(p.now, r) })
			}
		}
	}
	a.after(10*time.Millisecond, a.reportIfDue)
}

// arrivals begins requests at a rate until a time.
func (a *allocator) arrivals(perSecond float64, end time.Duration) {
	if a.now >= end {
		return
	}
	a.arrive()
	pause := time.Duration((0.5 + a.random.Float64()) / perSecond * float64(time.Second))
	a.after(pause, func() { a.arrivals(perSecond, end) })
}

func (a *allocator) arrive() {
	a.arrived++
	deadline := a.now + callerTime
	if a.inUse < a.slots && len(a.queue) == 0 {
		a.serve(deadline)
		return
	}
	d := spillover.Decide(a.home(), spillover.Request{
		Left:        callerTime,
		Objective:   objective,
		ServiceTime: a.serviceTime,
	}, a.otherZones(), spillover.WithDraw(a.random.Float64()))
	switch d := d.(type) {
	case spillover.Leave:
		a.forward(d.Zone, deadline)
	case spillover.Stay:
		a.wait(deadline)
	}
}

func (a *allocator) home() spillover.Home {
	h := spillover.Home{
		Free:    max(0, a.slots-a.inUse-len(a.queue)),
		Waiting: len(a.queue),
		Targets: a.slots,
	}
	if a.slots > 0 {
		h.Wait = a.serviceTime * time.Duration(len(a.queue)+1) / time.Duration(a.slots)
	}
	return h
}

func (a *allocator) otherZones() []spillover.Zone {
	var list []spillover.Zone
	for _, s := range a.table.Zones(a.now, a.service, a.names) {
		list = append(list, spillover.Zone{
			Name:      s.Zone,
			Free:      s.Free,
			RoundTrip: 2 * oneWay,
		})
	}
	return list
}

// forward asks the allocator of another zone, and queues the request if it declines or doesn't answer.
func (a *allocator) forward(zone string, deadline time.Duration) {
	a.left++
	a.table.Sent(a.now, a.service, zone)
	answered := false
	decline := func() {
		if !answered {
			answered = true
			a.declined++
			a.table.Declined(a.now, a.service, zone)
			a.wait(deadline)
		}
	}
	a.after(2*oneWay+patience, decline)
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
	a.granted++
	a.occupy()
	a.send(accept)
	a.after(3*oneWay+a.duration(), func() { origin.finish(deadline) })
	a.after(4*oneWay+a.duration(), a.release)
}

func (a *allocator) serve(deadline time.Duration) {
	a.occupy()
	a.after(a.duration(), func() {
		a.finish(deadline)
		a.release()
	})
}

func (a *allocator) finish(deadline time.Duration) {
	if a.now > deadline {
		a.refused++
		return
	}
	a.served++
	if a.now > deadline-callerTime+objective {
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
		if a.now+a.serviceTime*4/3 > deadline {
			a.refused++
			continue
		}
		a.serve(deadline)
	}
}

// duration is between two thirds and four thirds of the mean.
func (a *allocator) duration() time.Duration {
	return time.Duration((2 + 2*a.random.Float64()) / 3 * float64(a.serviceTime))
}

type event struct {
	at     time.Duration
	number int
	do     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
