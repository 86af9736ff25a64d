package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/admission"
)

const (
	// tick is the step of the loop on virtual time.
	tick = 5 * time.Millisecond
	// settleTime is the time in which a queue adapts to another capacity.
	settleTime = 3 * time.Second
)

// kind is a kind of request that arrives at a rate, at random times.
type kind struct {
	name         string
	rank         int
	organisation string
	// organisations is the number of organisations that send in turns; zero is one.
	organisations int
	perSecond     float64
	left          time.Duration
	// from and until bound the time of the arrivals; zero until is the end.
	from, until time.Duration
	// minServed is the least part to be served.
	minServed float64
}

// result counts what became of the requests of a kind.
type result struct {
	arrived int
	// served were answered within their time, tooLate were not.
	served, tooLate int
	// refused were refused on arrival, expired after they had waited.
	refused, expired int
	// expiredLate expired more than settleTime after the change of the capacity.
	expiredLate int
}

// load is a service under load.
type load struct {
	name     string
	capacity admission.Capacity
	// changed is the capacity from changeAt on. It is told to the queue if told is set.
	changed  admission.Capacity
	changeAt time.Duration
	told     bool
	kinds    []kind
	duration time.Duration
	// maxExpired is the largest part of all requests that may be refused after they have waited,
	// and maxExpiredLate of those after settleTime.
	maxExpired, maxExpiredLate float64
}

// run sends the load through a queue, and returns a result for each kind.
func (l load) run() []result {
	random := rand.New(rand.NewPCG(1, 2))
	q := admission.New[int]()
	results := make([]result, len(l.kinds))
	var busy []time.Duration // when each used slot becomes free
	id := uint64(0)
	for at := time.Duration(0); at < l.duration; at += tick {
		now := start + at
		capacity, told := l.capacity, l.capacity
		if l.changeAt > 0 && at >= l.changeAt {
			capacity = l.changed
			if l.told {
				told = l.changed
			}
		}
		used := busy[:0]
		for _, end := range busy {
			if end > now {
				used = append(used, end)
			}
		}
		busy = used
		serve := func(kind int, deadline time.Duration) {
			busy = append(busy, now+capacity.ServiceTime)
			if now+capacity.ServiceTime <= deadline {
				results[kind].served++
			} else {
				results[kind].tooLate++
			}
		}
		for _, e := range q.Expire(now, told) {
			r := &results[e.Value]
			r.expired++
			if at > l.changeAt+settleTime {
				r.expiredLate++
			}
		}
		for len(busy) < capacity.Slots {
			e, ok := q.Next(now)
			if !ok {
				break
			}
			serve(e.Value, e.Deadline)
		}
		for i, k := range l.kinds {
			if at < k.from || k.until > 0 && at >= k.until {
				continue
			}
			for expected := k.perSecond * tick.Seconds(); expected > 0; expected-- {
				if random.Float64() >= expected {
					continue
				}
				id++
				results[i].arrived++
				q.Arrived(now, k.rank)
				e := admission.Entry[int]{ID: id, Rank: k.rank, Organisation: k.organisation, Deadline: now + k.left, Value: i}
				if k.organisations > 0 {
					e.Organisation = fmt.Sprint(k.organisation, results[i].arrived%k.organisations)
				}
				if len(busy) < capacity.Slots {
					q.Served(now, k.rank)
					serve(e.Value, e.Deadline)
					continue
				}
				if _, refused := q.Offer(now, e, told).(admission.Refused); refused {
					results[i].refused++
				}
			}
		}
	}
	return results
}

func (r result) part() float64 { return float64(r.served) / float64(r.arrived) }

// slots returns a capacity.
func slots(n int, serviceTime time.Duration) admission.Capacity {
	return admission.Capacity{Slots: n, ServiceTime: serviceTime}
}

// Each load lasts a minute or more, and those beyond the capacity of a few slots so long that the
// result doesn't depend on the seed. The least parts are a little below what is expected.
func TestLoads(t *testing.T) {
	const second = time.Second
	tests := []load{
		{
			// Guards against an urgent rank that suffers from a shortage, and a lower one
			// that gets none of what is left: 40 of 140.
			name: "twice the capacity, two ranks", capacity: slots(20, 200*ms), duration: time.Minute, maxExpired: 0.02,
			kinds: []kind{
				{name: "urgent", perSecond: 60, left: 2 * second, minServed: 0.99},
				{name: "other", rank: 1, perSecond: 140, left: 2 * second, minServed: 0.26},
			},
		},
		{
			// Guards against a burst of the lowest rank that displaces urgent requests, or
			// that gets nothing in its second: 10 a second are left for it.
			name: "burst of the lowest rank", capacity: slots(20, 200*ms), duration: time.Minute, maxExpired: 0.01,
			kinds: []kind{
				{name: "urgent", perSecond: 90, left: 2 * second, minServed: 0.99},
				{name: "burst", rank: 1, perSecond: 400, left: second, from: 20 * second, until: 21 * second, minServed: 0.08},
			},
		},
		{
			// Guards against a hot organisation that crowds out others of its rank.
			name: "hot organisation among 20 others", capacity: slots(20, 200*ms), duration: time.Minute, maxExpired: 0.03,
			kinds: []kind{
				{name: "hot", organisation: "hot", perSecond: 150, left: 2 * second, minServed: 0.25},
				{name: "others", organisation: "other", organisations: 20, perSecond: 60, left: 2 * second, minServed: 0.99},
			},
		},
		{
			// Guards against callers with 1 s of time that wait behind those with 6 s, and
			// against the latter being queued beyond the 8 of 13 that can be served.
			name: "1 s beside 6 s at two targets", capacity: slots(4, 222*ms), duration: 20 * time.Minute, maxExpired: 0.01,
			kinds: []kind{
				{name: "short", perSecond: 10, left: 950 * ms, minServed: 0.96},
				{name: "long", perSecond: 13, left: 6 * second, minServed: 0.58},
			},
		},
		{
			// As above, with organisations that have both kinds of callers.
			name: "1 s beside 6 s, ten organisations", capacity: slots(2, 111*ms), duration: 20 * time.Minute, maxExpired: 0.01,
			kinds: []kind{
				{name: "short", organisation: "o", organisations: 10, perSecond: 10, left: 950 * ms, minServed: 0.94},
				{name: "long", organisation: "o", organisations: 10, perSecond: 13, left: 6 * second, minServed: 0.57},
			},
		},
		{
			// Guards against callers with much time that starve while those with little
			// take more than all slots.
			name: "1 s over capacity beside 6 s", capacity: slots(2, 111*ms), duration: 20 * time.Minute, maxExpired: 0.01,
			kinds: []kind{
				{name: "short", perSecond: 20, left: 950 * ms, minServed: 0.7},
				{name: "long", perSecond: 13, left: 6 * second, minServed: 0.22},
			},
		},
		{
			// Guards against a queue that keeps requests without a chance when the
			// capacity falls to a tenth.
			name: "capacity falls to a tenth", capacity: slots(40, 200*ms), duration: time.Minute, maxExpired: 0.03,
			changed: slots(4, 200*ms), changeAt: 30 * second, told: true, maxExpiredLate: 0.005,
			kinds: []kind{{name: "all", perSecond: 210, left: 3 * second, minServed: 0.5}},
		},
		{
			// The same, while the capacity that the caller states stays: the targets have
			// become slow. The rate of grants must tell.
			name: "capacity falls to a tenth unnoticed", capacity: slots(40, 200*ms), duration: time.Minute, maxExpired: 0.06,
			changed: slots(4, 200*ms), changeAt: 30 * second, maxExpiredLate: 0.005,
			kinds: []kind{{name: "all", perSecond: 210, left: 3 * second, minServed: 0.5}},
		},
		{
			// Guards against slots that are taken together, so that they become free
			// together, and a rate of grants that would be too low in between.
			name: "slow requests in step", capacity: slots(40, 3*second), duration: time.Minute, maxExpired: 0.01,
			kinds: []kind{{name: "all", perSecond: 12, left: 12 * second, minServed: 0.97}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			arrived, expired, late := 0, 0, 0
			for i, r := range tt.run() {
				t.Logf("%s: %.3f served, %+v", tt.kinds[i].name, r.part(), r)
				is.True(r.part() >= tt.kinds[i].minServed)
				is.Equal(r.tooLate, 0) // no slot is spent on a late answer
				arrived += r.arrived
				expired += r.expired
				late += r.expiredLate
			}
			is.True(float64(expired) <= tt.maxExpired*float64(arrived))
			if tt.changeAt > 0 {
				is.True(float64(late) <= tt.maxExpiredLate*float64(arrived))
			}
		})
	}
}

// Guards against a rank that starves while more urgent ones take all slots: none may be
// served less than a quarter as often as requests overall.
func TestNoRankStarves(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name     string
		capacity admission.Capacity
		// perSecond and left are those of the ranks from 0.
		perSecond []float64
		left      []time.Duration
	}{
		{name: "few of the lower rank", capacity: slots(20, 200*ms), perSecond: []float64{190, 10}, left: []time.Duration{2 * second, 2 * second}},
		// A slot falls to the lower rank each 2.4 s, more than its callers wait.
		{name: "little time", capacity: slots(4, 222*ms), perSecond: []float64{36, 3}, left: []time.Duration{second, 950 * ms}},
		{name: "three ranks", capacity: slots(20, 200*ms), perSecond: []float64{110, 50, 50}, left: []time.Duration{2 * second, 2 * second, second}},
		{name: "mostly the lowest rank", capacity: slots(20, 200*ms), perSecond: []float64{100, 400}, left: []time.Duration{2 * second, 6 * second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := load{capacity: tt.capacity, duration: 3 * time.Minute}
			for i := range tt.perSecond {
				l.kinds = append(l.kinds, kind{rank: i, perSecond: tt.perSecond[i], left: tt.left[i]})
			}
			results := l.run()
			var all result
			for _, r := range results {
				all.arrived += r.arrived
				all.served += r.served
			}
			for i, r := range results {
				t.Logf("rank %d: %.3f of %.3f served, %+v", i, r.part(), all.part(), r)
				is.True(r.part() >= all.part()/4)
			}
			// The minimum shares take no more than they are: urgent requests get the rest.
			is.True(results[0].part() >= results[len(results)-1].part())
		})
	}
}
