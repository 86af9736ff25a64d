package spillover_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/zoneload"
)

// pair returns the connected allocators of a service in two zones with a demand per second until a
// time.
func pair(slotsA, slotsB int, perSecondA, perSecondB float64, end time.Duration) (l *loop, a, b *allocator) {
	l = newLoop(120 * time.Millisecond)
	a = newAllocator(l, zoneload.New("a"), "search", "a", slotsA)
	b = newAllocator(l, zoneload.New("b"), "search", "b", slotsB)
	connect([]*allocator{a, b})
	a.arrivals(perSecondA, end)
	b.arrivals(perSecondB, end)
	return l, a, b
}

// during returns what the allocator counts until a time.
func during(l *loop, a *allocator, end time.Duration) tally {
	before := a.tally
	l.runUntil(end)
	return a.minus(before)
}

func (t tally) minus(u tally) tally {
	return tally{
		arrived:  t.arrived - u.arrived,
		left:     t.left - u.left,
		served:   t.served - u.served,
		late:     t.late - u.late,
		refused:  t.refused - u.refused,
		declined: t.declined - u.declined,
		overfull: t.overfull - u.overfull,
	}
}

func (t tally) share() float64 {
	return float64(t.left) / float64(t.arrived)
}

// Demand that stays the same until 10 s. The counts of zone a are those from a time on, those of zone b
// from the beginning.
func TestSteadyDemand(t *testing.T) {
	tests := []struct {
		name                   string
		slotsA, slotsB         int
		perSecondA, perSecondB float64
		from                   time.Duration
		check                  func(is *is.I, fromA tally, a, b *allocator)
	}{
		{
			// Guards against late or refused callers in a crowded zone while the other has free
			// slots, and against the other zone's own callers becoming late for them.
			name: "half the targets and twice the demand of the other, 80% of all slots", slotsA: 20, slotsB: 40,
			perSecondA: 266, perSecondB: 133, from: 4 * time.Second,
			check: func(is *is.I, crowded tally, a, b *allocator) {
				is.Equal(crowded.late, 0)
				is.Equal(crowded.refused, 0)
				is.True(crowded.served > 260*6)
				is.True(crowded.declined < crowded.left/20)
				is.Equal(b.left, 0)
				is.Equal(b.late+b.refused, 0)
				is.Equal(a.overfull+b.overfull, 0)
			},
		},
		{
			// Guards against requests that wait at home for targets that don't exist.
			name: "no targets", slotsA: 0, slotsB: 60, perSecondA: 150, perSecondB: 150, from: 4 * time.Second,
			check: func(is *is.I, away tally, _, b *allocator) {
				is.True(away.served > away.arrived*95/100)
				is.Equal(b.late+b.refused, 0)
			},
		},
		{
			// Guards against requests that pay for the way to a full zone, and against slots
			// that stay unused meanwhile.
			name: "one and a half times what both can serve", slotsA: 20, slotsB: 20,
			perSecondA: 250, perSecondB: 250, from: 2 * time.Second,
			check: func(is *is.I, full tally, a, b *allocator) {
				is.True(full.left <= 8)
				is.True(full.served > 166*8*95/100)
				is.True(a.inUse == 20 && b.inUse == 20)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, a, b := pair(tt.slotsA, tt.slotsB, tt.perSecondA, tt.perSecondB, 10*time.Second)
			l.runUntil(tt.from)
			fromA := during(l, a, 10*time.Second)
			t.Logf("zone a %+v, zone b %+v", fromA, b.tally)
			tt.check(is.New(t), fromA, a, b)
		})
	}
}

// The load: a zone loses four fifths of its targets in steps, and gets them back in steps. Guards
// against its requests swinging between staying and leaving all at once.
func TestShareSentChangesMonotonically(t *testing.T) {
	is := is.New(t)
	l, a, b := pair(40, 40, 200, 100, time.Minute)
	l.runUntil(2 * time.Second)
	steps := []int{32, 24, 16, 8, 8, 16, 24, 32, 40}
	var shares []float64
	for i, slots := range steps {
		a.slots = slots
		l.Run(time.Second)
		for range 2 {
			shares = append(shares, during(l, a, l.Now()+time.Second).share())
		}
		t.Logf("%d slots: share sent %.2f %.2f", slots, shares[2*i], shares[2*i+1])
	}
	const noise = 0.04 // of 200 requests
	for i := range len(shares) - 1 {
		if change := shares[i+1] - shares[i]; i < len(shares)/2 {
			is.True(change >= -noise)
		} else {
			is.True(change <= noise)
		}
	}
	is.True(shares[7] > 0.5)
	is.Equal(shares[len(shares)-1], 0.0)
	is.Equal(a.overfull+b.overfull, 0)
}

// The load: a crowded zone's last report of the other is old, and the other is full by now. Guards
// against requests that are sent in vain by what an old report says.
func TestStaleReportsDontFloodAFullZone(t *testing.T) {
	is := is.New(t)
	l, a, b := pair(20, 40, 250, 0, 20*time.Second)
	l.runUntil(3 * time.Second)
	l.muted = true
	b.arrivals(400, 20*time.Second)
	l.runUntil(5 * time.Second)
	stale := during(l, a, 15*time.Second)
	t.Logf("reports from 2 to 12 s old %+v", stale)
	is.True(stale.declined <= 10*4)
	is.Equal(a.overfull+b.overfull, 0)
}

// The load: the link between a crowded zone and the other breaks for 4 s. Guards against requests that
// lose time on the way to a zone that doesn't answer, and against a partition's effect outlasting it.
func TestPartitionLeavesEachSideWithItsTargets(t *testing.T) {
	is := is.New(t)
	l, a, b := pair(20, 40, 250, 125, 20*time.Second)
	l.runUntil(4 * time.Second)
	before := during(l, a, 6*time.Second)
	l.parted = true
	l.runUntil(7 * time.Second)
	parted := during(l, a, 10*time.Second)
	l.parted = false
	l.runUntil(12 * time.Second)
	after := during(l, a, 14*time.Second)
	t.Logf("before %+v, parted %+v, after %+v", before, parted, after)
	is.True(parted.left <= 3*4)
	is.True(parted.served > 166*3*95/100)
	is.True(before.share() > 0.25)
	is.True(after.share() > before.share()-0.05)
	is.Equal(b.late+b.refused, 0)
}

// The load: 300 services of 19 targets in 6 zones of 90 instances, with equal demand but unequal
// targets in the zones. Guards against allocators that together send a zone more than it has free, and
// against free slots that nobody uses.
func TestFleetUsesItsSlots(t *testing.T) {
	tests := []struct {
		name  string
		slots int // of a target
		load  float64
		// least is the least part of what the slots allow that is served. When the tests were
		// written, it was 0.993, 0.963 and 0.954.
		least float64
	}{
		{name: "four slots a target, demand for 90% of the slots", slots: 4, load: 0.9, least: 0.97},
		{name: "four slots a target, demand for 110% of the slots", slots: 4, load: 1.1, least: 0.94},
		{name: "two slots a target, demand for 110% of the slots", slots: 2, load: 1.1, least: 0.93},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			serviceTime := time.Duration(tt.slots) * 60 * time.Millisecond
			l := newLoop(serviceTime)
			list := newFleet(l, tt.slots)
			perZone := tt.load * 19 / 6 / 0.06
			for _, a := range list {
				a.arrivals(perZone, 3*time.Second)
			}
			l.runUntil(2 * time.Second)
			before := sum(list)
			l.runUntil(3 * time.Second)
			all := sum(list)
			allowed := allowedPerSecond(list, perZone)
			served := float64(all.served-before.served) / allowed
			t.Logf("served %.3f of %.0f a second; from the beginning %+v", served, allowed, all)
			is.Equal(all.overfull, 0)
			is.True(served >= tt.least)
			is.True(all.declined < all.left*2/5)
		})
	}
}

// newFleet returns the allocators of 300 services in 6 zones. The 90 instances of a zone each allocate
// three or four services with one table.
func newFleet(l *loop, slots int) []*allocator {
	targets := []int{1, 2, 3, 3, 4, 6}
	tables := make([][]*zoneload.Table, len(targets))
	for z := range targets {
		for range 90 {
			tables[z] = append(tables[z], zoneload.New(fmt.Sprint("zone-", z)))
		}
	}
	var list []*allocator
	for s := range 300 {
		var group []*allocator
		for z, count := range targets {
			service, zone := fmt.Sprint("service-", s), fmt.Sprint("zone-", z)
			group = append(group, newAllocator(l, tables[z][s%90], service, zone, slots*count))
		}
		connect(group)
		list = append(list, group...)
	}
	return list
}

func sum(list []*allocator) tally {
	var total tally
	for _, a := range list {
		total = total.minus(tally{}.minus(a.tally))
	}
	return total
}

// allowedPerSecond is how many requests a second the slots allow: the zones' own as far as their
// slots suffice, and others as far as slots are free beyond the reserves.
func allowedPerSecond(list []*allocator, perZone float64) float64 {
	var own, excess, spare float64
	for _, a := range list {
		perSlot := 1 / a.serviceTime.Seconds()
		slots := float64(a.slots) * perSlot
		own += min(perZone, slots)
		excess += max(0, perZone-slots)
		reserve := float64(zoneload.Reserve(a.slots)) * perSlot
		spare += max(0, slots-reserve-perZone)
	}
	return own + min(excess, spare)
}
