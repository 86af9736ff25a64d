package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionmux/pkg/admission"
)

const start = time.Minute

// Guards against an order by arrival: the urgent rank, the organisation that has waited for
// its turn, and the caller with less time left go first.
func TestOrder(t *testing.T) {
	is := is.New(t)
	q := admission.New[string]()
	c := admission.Capacity{
		Slots:       10,
		ServiceTime: 100 * time.Millisecond,
	}
	for i, e := range []struct {
		rank         int
		organisation string
		left         time.Duration
		name         string
	}{
		{1, "a", 5 * time.Second, "rank 1"},
		{0, "a", 5 * time.Second, "a long"},
		{0, "a", 4 * time.Second, "a"},
		{0, "a", 3 * time.Second, "a short"},
		{0, "b", 5 * time.Second, "b"},
	} {
		q.Arrived(start, e.rank)
		v := q.Offer(start, admission.Entry[string]{
			ID:           uint64(i + 1),
			Rank:         e.rank,
			Organisation: e.organisation,
			Deadline:     start + e.left,
			Value:        e.name,
		}, c)
		_, waits := v.(admission.Waits)
		is.True(waits)
	}
	is.Equal(q.Waiting(), map[int]int{0: 4, 1: 1})
	first, ok := q.Next(start)
	is.True(ok)
	q.PutBack(start, first)
	is.Equal(q.Len(), 5)
	var names []string
	for q.Len() > 0 {
		e, ok := q.Next(start)
		is.True(ok)
		names = append(names, e.Value)
	}
	is.Equal(names, []string{"a short", "b", "a", "a long", "rank 1"})
	_, ok = q.Next(start)
	is.True(!ok)
}

// offer queues an entry of 5 s left and reports whether it waits.
func offer(q *admission.Queue[string], id uint64, rank int, organisation string, c admission.Capacity) bool {
	return offerWithLeft(q, id, rank, organisation, c, 5*time.Second)
}

func offerWithLeft(q *admission.Queue[string], id uint64, rank int, organisation string, c admission.Capacity, left time.Duration) bool {
	q.Arrived(start, rank)
	v := q.Offer(start, admission.Entry[string]{
		ID:           id,
		Rank:         rank,
		Organisation: organisation,
		Deadline:     start + left,
	}, c)
	_, waits := v.(admission.Waits)
	return waits
}

// Guards against a refusal that comes only after a wait: what can't be served in its time
// must be known to be so when it arrives.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	tests := []struct {
		name     string
		capacity admission.Capacity
		waiting  int
		left     time.Duration
		refused  string
	}{
		{
			name:     "served in time",
			capacity: slots(2, 100*time.Millisecond),
			waiting:  20,
			left:     2 * time.Second,
		},
		{
			name:     "too much waits before it",
			capacity: slots(2, 100*time.Millisecond),
			waiting:  40,
			left:     2 * time.Second,
			refused:  admission.ReasonLate,
		},
		{
			name:     "less time than the service takes",
			capacity: slots(2, 100*time.Millisecond),
			left:     90 * time.Millisecond,
			refused:  admission.ReasonLate,
		},
		{
			name:    "no slots",
			left:    2 * time.Second,
			refused: admission.ReasonNoCapacity,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := admission.New[string]()
			for n := range tt.waiting {
				is.True(offerWithLeft(q, uint64(n+1), 0, "a", slots(4, 100*time.Millisecond), 1900*time.Millisecond))
			}
			v := q.Offer(start, admission.Entry[string]{
				ID:           1000,
				Rank:         0,
				Organisation: "a",
				Deadline:     start + tt.left,
			}, tt.capacity)
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
	// The first request of an organisation doesn't wait for all those of another.
	q := admission.New[string]()
	for n := range 80 {
		is.True(offer(q, uint64(n+1), 0, "hot", slots(2, 100*time.Millisecond)) == (n < 78))
	}
	is.True(q.Expect(start, admission.Entry[string]{
		Organisation: "other",
		Deadline:     start + 5*time.Second,
	}, slots(2, 100*time.Millisecond)) < 200*time.Millisecond)
}

// Guards against entries that wait without a chance after the capacity has fallen, and
// against the refusal of those that still have one.
func TestExpireWhenCapacityFalls(t *testing.T) {
	is := is.New(t)
	q := admission.New[string]()
	full := slots(40, 200*time.Millisecond)
	for n := range 600 {
		is.True(offer(q, uint64(n+1), 1-n/300, []string{"a", "b", "c"}[n%3], full))
	}
	is.Equal(len(q.Expire(start, full)), 0)
	expired := q.Expire(start+10*time.Millisecond, slots(4, 200*time.Millisecond))
	t.Logf("%d expired, %v wait", len(expired), q.Waiting())
	// 20 a second can be served for 4.8 s.
	is.True(q.Len() >= 90 && q.Len() <= 100)
	is.Equal(len(expired)+q.Len(), 600)
	is.True(q.Waiting()[1] >= 10) // the minimum share
	is.True(q.RetryAfter(start+10*time.Millisecond, expired[0], full) <= 5*time.Second/3)
	is.Equal(len(q.Expire(start+20*time.Millisecond, slots(4, 200*time.Millisecond))), 0)
}

// Guards against a slot that is spent on an entry whose time has passed.
func TestNextPassesOverLapsedEntries(t *testing.T) {
	is := is.New(t)
	c := slots(2, 100*time.Millisecond)
	q := admission.New[string]()
	is.True(offer(q, 1, 0, "a", c))
	_, ok := q.Next(start + 4950*time.Millisecond)
	is.True(!ok)
	is.Equal(q.Len(), 0)
	expired := q.Expire(start+4950*time.Millisecond, c)
	is.Equal(len(expired), 1)
	is.Equal(expired[0].ID, uint64(1))
}

// Guards against a full queue that refuses urgent requests, or those of an organisation
// without any while another has many.
func TestFullQueue(t *testing.T) {
	is := is.New(t)
	c := slots(40, 100*time.Millisecond)
	q := admission.New[string](admission.WithMaxLength(10))
	for n := range 10 {
		is.True(offer(q, uint64(n+1), 1, "hot", c))
	}
	is.True(!offer(q, 11, 1, "hot", c))
	is.True(!offer(q, 12, 2, "other", c))
	is.True(offer(q, 13, 1, "other", c))
	is.True(offer(q, 14, 0, "hot", c))
	is.Equal(q.Waiting(), map[int]int{0: 1, 1: 9})
	displaced := q.Expire(start, c)
	is.Equal(len(displaced), 2)
	is.Equal(displaced[0].ID, uint64(10))
	is.Equal(displaced[1].ID, uint64(9))
}

// Guards against a rank that gains by entries that are dequeued and put back.
func TestPutBackRestoresWhatARankIsOwed(t *testing.T) {
	is := is.New(t)
	c := slots(40, 100*time.Millisecond)
	q := admission.New[string]()
	for n := range 100 {
		is.True(offer(q, uint64(n+1), n%2, "a", c))
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

// Guards against entries that are lost or returned twice, and an organisation's entries out
// of the order of their deadlines.
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
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			c := slots(rapid.IntRange(0, 20).Draw(t, "slots"), 100*time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				e := admission.Entry[int]{
					ID:           id,
					Rank:         rapid.IntRange(0, 3).Draw(t, "rank"),
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Deadline:     now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "left"))*time.Millisecond,
				}
				q.Arrived(now, e.Rank)
				if _, waits := q.Offer(now, e, c).(admission.Waits); waits {
					inside[id] = e
					lapsed = true // another one may be displaced
				}
			case 3:
				e, ok := q.Next(now)
				if !ok {
					break
				}
				if now+e.ServiceTime > e.Deadline {
					t.Fatalf("entry %d is dequeued too late", e.ID)
				}
				for _, other := range inside {
					if !lapsed && other.Rank == e.Rank && other.Organisation == e.Organisation && other.Deadline < e.Deadline && other.Deadline >= now+100*time.Millisecond {
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
