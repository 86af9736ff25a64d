package admission_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionmux/pkg/admission"
)

const (
	start = time.Minute
	ms    = time.Millisecond
)

// offer queues an entry and reports whether it waits.
func offer(q *admission.Queue[string], id, rank int, organisation string, c admission.Capacity, left time.Duration) bool {
	q.Arrived(start, rank)
	v := q.Offer(start, admission.Entry[string]{ID: uint64(id), Rank: rank, Organisation: organisation, Deadline: start + left}, c)
	_, waits := v.(admission.Waits)
	return waits
}

// newQueue returns a queue with n waiting entries of rank 0 of an organisation, with IDs from 1.
func newQueue(t *testing.T, n int, c admission.Capacity, left time.Duration) *admission.Queue[string] {
	q := admission.New[string]()
	for i := range n {
		is.New(t).True(offer(q, i+1, 0, "a", c, left))
	}
	return q
}

// Guards against an order by arrival: the urgent rank, the organisation that has waited for
// its turn, and the caller with less time left go first.
func TestOrder(t *testing.T) {
	is := is.New(t)
	q := admission.New[string]()
	c := slots(10, 100*ms)
	is.True(offer(q, 1, 1, "a", c, 5*time.Second))
	is.True(offer(q, 2, 0, "a", c, 5*time.Second))
	is.True(offer(q, 3, 0, "a", c, 4*time.Second))
	is.True(offer(q, 4, 0, "a", c, 3*time.Second))
	is.True(offer(q, 5, 0, "b", c, 5*time.Second))
	is.Equal(q.Waiting(), map[int]int{0: 4, 1: 1})
	first, ok := q.Next(start)
	is.True(ok)
	q.PutBack(start, first)
	is.Equal(q.Len(), 5)
	var order []uint64
	for q.Len() > 0 {
		e, ok := q.Next(start)
		is.True(ok)
		order = append(order, e.ID)
	}
	is.Equal(order, []uint64{4, 5, 3, 2, 1})
	_, ok = q.Next(start)
	is.True(!ok)
}

// Guards against a refusal that comes only after a wait: what can't be served in its time
// must be known to be so when it arrives.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name     string
		capacity admission.Capacity
		waiting  int
		left     time.Duration
		refused  string
	}{
		{name: "served in time", capacity: slots(2, 100*ms), waiting: 20, left: 2 * time.Second},
		{name: "too much waits before it", capacity: slots(2, 100*ms), waiting: 40, left: 2 * time.Second, refused: admission.ReasonLate},
		{name: "less time than the service takes", capacity: slots(2, 100*ms), left: 90 * ms, refused: admission.ReasonLate},
		{name: "no slots", left: 2 * time.Second, refused: admission.ReasonNoCapacity},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := newQueue(t, tt.waiting, slots(4, 100*ms), 1900*ms)
			v := q.Offer(start, admission.Entry[string]{ID: 1000, Rank: 0, Organisation: "a", Deadline: start + tt.left}, tt.capacity)
			if tt.refused == "" {
				_, waits := v.(admission.Waits)
				is.True(waits)
				return
			}
			refused, ok := v.(admission.Refused)
			is.True(ok)
			is.Equal(refused.Reason, tt.refused)
			is.True(refused.RetryAfter >= 0 && refused.RetryAfter <= tt.left/3)
			is.Equal(q.Len(), tt.waiting)
		})
	}
}

// Guards against a first request of an organisation that waits for all those of another.
func TestFirstOfAnOrganisationDoesNotWaitForAnother(t *testing.T) {
	is := is.New(t)
	c := slots(2, 100*ms)
	q := admission.New[string]()
	for n := range 80 {
		is.True(offer(q, n+1, 0, "hot", c, 5*time.Second) == (n < 78))
	}
	is.True(q.Expect(start, admission.Entry[string]{Organisation: "other", Deadline: start + 5*time.Second}, c) < 200*ms)
}

// Guards against an urgent rank that is served last because many others were seen before it.
func TestRankBeyondTheLimitKeepsItsOrder(t *testing.T) {
	is := is.New(t)
	q := admission.New[string]()
	for n := range 32 {
		q.Arrived(start, n+1)
	}
	is.True(offer(q, 1, 5, "a", slots(1, 100*ms), 5*time.Second))
	is.True(offer(q, 2, 0, "a", slots(1, 100*ms), 5*time.Second))
	first, _ := q.Next(start)
	is.Equal(first.Rank, 0)
}

// Guards against entries that wait without a chance after the capacity has fallen, and
// against the refusal of those that still have one.
func TestExpireWhenCapacityFalls(t *testing.T) {
	is := is.New(t)
	q := admission.New[string]()
	full := slots(40, 200*ms)
	for n := range 600 {
		is.True(offer(q, n+1, 1-n/300, []string{"a", "b", "c"}[n%3], full, 5*time.Second))
	}
	is.Equal(len(q.Expire(start, full)), 0)
	expired := q.Expire(start+10*ms, slots(4, 200*ms))
	t.Logf("%d expired, %v wait", len(expired), q.Waiting())
	// 20 a second can be served for 4.8 s.
	is.True(q.Len() >= 90 && q.Len() <= 100)
	is.Equal(len(expired)+q.Len(), 600)
	is.True(q.Waiting()[1] >= 10) // the minimum share
	is.True(q.RetryAfter(start+10*ms, expired[0], full) <= 5*time.Second/3)
	is.Equal(len(q.Expire(start+20*ms, slots(4, 200*ms))), 0)
}

// Guards against a rate of grants that is ignored for as long as requests wait, because the
// process stood still, or whenever no free slot suits any of them: slots become free at 2 a second
// instead of the nominal 200.
func TestGrantsCountAfterPausesAndPutBacks(t *testing.T) {
	is := is.New(t)
	c := slots(40, 200*ms)
	q := newQueue(t, 30, c, time.Minute)
	now := start
	for _, pause := range []time.Duration{0, 3 * time.Second} {
		now += pause
		for range 5 {
			now += 500 * ms
			_, ok := q.Next(now)
			is.True(ok)
			is.Equal(len(q.Expire(now, c)), 0)
			var unsuited []admission.Entry[string]
			for q.Len() > 0 {
				e, _ := q.Next(now)
				unsuited = append(unsuited, e)
			}
			for _, e := range slices.Backward(unsuited) {
				q.PutBack(now, e)
			}
		}
		expected := q.Expect(now, admission.Entry[string]{Organisation: "a", Deadline: now + time.Minute}, c)
		is.True(expected > 4*time.Second)
	}
}

// Guards against the refusal of entries with enough time when requests become slow while others
// wait: slots then become free 40 at once each 3 s, longer than grants were counted over before.
func TestGrantsAreCountedForLongEnough(t *testing.T) {
	is := is.New(t)
	q := newQueue(t, 300, slots(40, 200*ms), time.Minute)
	now := start
	serve := func(grants, steps int, c admission.Capacity) {
		for range grants {
			_, ok := q.Next(now)
			is.True(ok)
		}
		for range steps {
			now += 100 * ms
			is.Equal(len(q.Expire(now, c)), 0)
		}
	}
	for range 70 {
		serve(1, 1, slots(40, 200*ms))
	}
	for range 4 {
		serve(40, 30, slots(40, 3*time.Second))
	}
}

// Guards against a slot that is spent on an entry whose time has passed, or would pass at a
// target that has become slow.
func TestNextPassesOverLapsedEntries(t *testing.T) {
	is := is.New(t)
	c := slots(2, 100*ms)
	q := newQueue(t, 1, c, 5*time.Second)
	_, ok := q.Next(start + 4950*ms)
	is.True(!ok)
	is.Equal(q.Len(), 0)
	expired := q.Expire(start+4950*ms, c)
	is.Equal(len(expired), 1)
	is.Equal(expired[0].ID, uint64(1))
	is.True(offer(q, 2, 0, "a", c, 5*time.Second))
	for _, e := range q.Expire(start, slots(2, 6*time.Second)) {
		is.Equal(e.ID, uint64(2))
	}
	_, ok = q.Next(start)
	is.True(!ok)
}

// Guards against a full queue that refuses urgent requests, those of an organisation without
// any while another has many, or those that are due before others of their organisation.
func TestFullQueue(t *testing.T) {
	is := is.New(t)
	c := slots(40, 100*ms)
	q := admission.New[string](admission.WithMaxLength(10))
	for n := range 10 {
		is.True(offer(q, n+1, 1, "hot", c, 5*time.Second))
	}
	is.True(!offer(q, 11, 1, "hot", c, 5*time.Second))
	is.True(!offer(q, 12, 2, "other", c, 5*time.Second))
	is.True(offer(q, 13, 1, "other", c, 5*time.Second))
	is.True(offer(q, 14, 0, "hot", c, 5*time.Second))
	is.Equal(q.Waiting(), map[int]int{0: 1, 1: 9})
	displaced := q.Expire(start, c)
	is.Equal(len(displaced), 2)
	is.Equal(displaced[0].ID, uint64(10))
	is.Equal(displaced[1].ID, uint64(9))
	is.True(offer(q, 15, 1, "hot", c, time.Second))
	is.Equal(q.Waiting(), map[int]int{0: 1, 1: 9})
	is.Equal(q.Expire(start, c)[0].ID, uint64(8))
}

// Guards against a rank that gains by entries that are dequeued and put back.
func TestPutBackRestoresWhatARankIsOwed(t *testing.T) {
	is := is.New(t)
	c := slots(40, 100*ms)
	q := admission.New[string]()
	for n := range 100 {
		is.True(offer(q, n+1, n%2, "a", c, 5*time.Second))
	}
	first := map[int]int{}
	for range 40 {
		e, _ := q.Next(start)
		first[e.Rank]++
		for range 5 {
			q.PutBack(start, e)
			again, _ := q.Next(start)
			is.Equal(again.ID, e.ID)
		}
	}
	t.Logf("%v", first)
	is.True(first[1] >= 5 && first[1] <= 7) // 0.15 of 40
}

// Guards against entries that are lost or returned twice, also if they are offered again, and
// an organisation's entries out of the order of their deadlines.
func TestEachEntryLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.New[int](admission.WithMaxLength(rapid.IntRange(1, 30).Draw(t, "length")))
		inside := map[uint64]admission.Entry[int]{}
		leave := func(e admission.Entry[int]) {
			if _, ok := inside[e.ID]; !ok {
				t.Fatalf("entry %d isn't queued", e.ID)
			}
			delete(inside, e.ID)
		}
		now, lapsed := start, false
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			c := slots(rapid.IntRange(0, 20).Draw(t, "slots"), 100*ms)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				id := id - min(id, uint64(rapid.IntRange(0, 3).Draw(t, "again")))
				e := admission.Entry[int]{
					ID:           id,
					Rank:         rapid.IntRange(0, 3).Draw(t, "rank"),
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Deadline:     now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "left"))*ms,
				}
				if first, ok := inside[id]; ok {
					e = first
				}
				q.Arrived(now, e.Rank)
				if _, waits := q.Offer(now, e, c).(admission.Waits); waits {
					inside[id] = e
					lapsed = true // another one may be displaced
				} else {
					delete(inside, id)
				}
			case 3:
				e, ok := q.Next(now)
				if !ok {
					break
				}
				if now+c.ServiceTime > e.Deadline {
					t.Fatalf("entry %d is dequeued too late", e.ID)
				}
				for _, other := range inside {
					if !lapsed && other.Rank == e.Rank && other.Organisation == e.Organisation && other.Deadline < e.Deadline && other.Deadline >= now+100*ms {
						t.Fatalf("entry %d is dequeued before %d", e.ID, other.ID)
					}
				}
				if rapid.Bool().Draw(t, "put back") {
					q.PutBack(now, e)
					break
				}
				leave(e)
				lapsed = true
			case 4:
				for _, e := range q.Expire(now, c) {
					leave(e)
				}
				lapsed = false
			case 5:
				if gone := uint64(rapid.IntRange(0, int(id)).Draw(t, "id")); q.Remove(gone) {
					leave(inside[gone])
				}
			}
			n := 0
			for _, count := range q.Waiting() {
				n += count
			}
			if n != q.Len() || n > len(inside) {
				t.Fatalf("%d by rank, %d queued, %d expected", n, q.Len(), len(inside))
			}
		}
		for range len(inside) {
			if e, ok := q.Next(now); ok {
				leave(e)
			}
		}
		for _, e := range q.Expire(now, admission.Capacity{}) {
			leave(e)
		}
		if len(inside) > 0 {
			t.Fatalf("lost: %v", inside)
		}
	})
}
