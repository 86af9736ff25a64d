package queue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionmux/pkg/queue"
)

func newQueue(length int) *queue.Queue {
	return queue.New(
		queue.WithMaxLength(length),
		queue.WithRandom(rand.New(rand.NewPCG(1, 1))),
	)
}

func request(number uint64, organisation string) queue.Request {
	return queue.Request{
		Number:       number,
		Organisation: organisation,
		Cost:         1,
		Deadline:     time.Minute,
	}
}

// TestSlotTimeIsSharedEqually guards against sharing the number of requests, by
// which an organisation with slow requests would get most of the slot time.
func TestSlotTimeIsSharedEqually(t *testing.T) {
	is := is.New(t)
	q := newQueue(1000)
	// The queue learns that one organisation's requests are slow.
	for range 100 {
		is.True(q.TryStart(0, "slow", 100))
		q.Finish(0, "slow", 1, 200*time.Millisecond)
		is.True(q.TryStart(0, "fast", 100))
		q.Finish(0, "fast", 1, 20*time.Millisecond)
	}
	for n := range uint64(400) {
		q.Push(0, request(2*n, "slow"))
		q.Push(0, request(2*n+1, "fast"))
	}
	popped := map[string]int{}
	for range 220 {
		r, _, ok := q.Pop(0, 1)
		is.True(ok)
		popped[r.Organisation]++
		q.Finish(0, r.Organisation, 1, map[string]time.Duration{"slow": 200 * time.Millisecond, "fast": 20 * time.Millisecond}[r.Organisation])
	}
	is.True(popped["slow"] >= 15 && popped["slow"] <= 25) // a tenth as many requests as the fast organisation
}

// TestOverflowRefusesNewestOfLargestQueue checks that a full queue refuses the newest
// request of the organisation with the highest total expected slot time of waiting
// requests. All requests here have the same expected slot time.
func TestOverflowRefusesNewestOfLargestQueue(t *testing.T) {
	is := is.New(t)
	q := newQueue(10)
	for n := range uint64(9) {
		is.Equal(len(q.Push(0, request(n, "greedy"))), 0)
	}
	is.Equal(len(q.Push(0, request(100, "modest"))), 0)
	refused := q.Push(0, request(101, "modest"))
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Request.Organisation, "greedy")
	is.Equal(refused[0].Reason, queue.Overflow)
	is.Equal(q.Len(), 10)
	refused = q.Push(0, request(200, "greedy"))
	is.Equal(refused[0].Request.Number, uint64(200)) // the request just pushed is the newest of the largest queue
}

// TestRequestThatCannotFinishIsRefused checks that a request is refused as soon as
// the expected slot time exceeds the time to its deadline.
func TestRequestThatCannotFinishIsRefused(t *testing.T) {
	is := is.New(t)
	q := newQueue(10)
	is.True(q.TryStart(0, "a", 1))
	tight := request(1, "a")
	tight.Deadline = 10 * time.Millisecond
	refused := q.Push(0, tight)
	is.Equal(len(refused), 1) // the expected slot time is 25 ms
	is.Equal(refused[0].Reason, queue.Late)
	loose := request(2, "a")
	loose.Deadline = 100 * time.Millisecond
	is.Equal(len(q.Push(0, loose)), 0)
	is.Equal(q.NextExpiry(), 75*time.Millisecond)
	is.Equal(len(q.Expire(75*time.Millisecond)), 0)
	late := q.Expire(76 * time.Millisecond)
	is.Equal(len(late), 1)
	is.Equal(q.Len(), 0)
}

func TestPopRefusesLateRequests(t *testing.T) {
	is := is.New(t)
	q := newQueue(10)
	r := request(1, "a")
	r.Deadline = time.Second
	is.Equal(len(q.Push(0, r)), 0)
	_, late, ok := q.Pop(time.Second, 1)
	is.True(!ok)
	is.Equal(len(late), 1)
}

// TestRequestsRunAgainAfterSlowAnswers guards against an organisation that is
// refused for ever: only a request that runs can correct an average slot time
// above its deadlines.
func TestRequestsRunAgainAfterSlowAnswers(t *testing.T) {
	is := is.New(t)
	q := newQueue(10)
	for range 100 {
		is.True(q.TryStart(0, "a", 1))
		q.Finish(0, "a", 1, 10*time.Second)
	}
	r := request(1, "a")
	r.Deadline = time.Second
	is.Equal(len(q.Push(0, r)), 0) // none of its requests runs, so the average is ignored
}

func TestSurplusIsLimitedWhenTargetsShed(t *testing.T) {
	is := is.New(t)
	q := newQueue(100)
	run := func(organisation string, n int) {
		for range n {
			is.True(q.TryStart(0, organisation, 16))
			q.Finish(0, organisation, 1, 25*time.Millisecond)
		}
	}
	run("greedy", 200)
	for _, name := range []string{"modest", "small"} {
		run(name, 20)
	}
	start := func(now time.Duration, organisation string) int {
		n := 0
		for n < 16 && q.TryStart(now, organisation, 16) {
			n++
		}
		return n
	}
	is.Equal(start(0, "greedy"), 2) // the initial limit of surplus requests
	now := time.Second
	for range 10 {
		now += 100 * time.Millisecond
		q.FinishUnexecuted(now, "modest", true)
	}
	for range 2 {
		q.Finish(now, "greedy", 1, 25*time.Millisecond)
	}
	is.Equal(start(now, "greedy"), 1)
	q.Finish(now, "greedy", 1, 25*time.Millisecond)
	is.Equal(start(now, "greedy"), 0)                 // the limit is below one, so a surplus request must pause
	is.True(start(now, "modest") >= 4)                // an organisation without a surplus isn't limited
	is.True(start(now+11*time.Second, "greedy") >= 1) // the pause is bounded
}

func TestOnlyActiveOrganisationMayUseAllSlots(t *testing.T) {
	is := is.New(t)
	q := newQueue(100)
	for range 16 {
		is.True(q.TryStart(0, "greedy", 1))
	}
	is.True(!q.TryStart(0, "greedy", 0))
}

func TestRetryAfterIsSpread(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	q.Push(0, request(0, "a"))
	shortest, longest := time.Hour, time.Duration(0)
	for n := range uint64(200) {
		w := q.Push(0, request(n+1, "a"))[0].RetryAfter
		shortest, longest = min(shortest, w), max(longest, w)
	}
	is.True(shortest >= time.Second)
	is.True(longest-shortest > time.Second)
	is.True(longest <= 30*time.Second)
}

// TestRandomOperationsKeepInvariants runs random operations on a queue and
// compares it with a map of the waiting requests. A request may be refused or
// popped only while it waits, and not popped after its deadline, and the length
// stays within its maximum.
func TestRandomOperationsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(8)
		waiting := map[uint64]string{}
		now := time.Duration(0)
		var number uint64
		removeRefused := func(list []queue.Refusal) {
			for _, r := range list {
				if _, ok := waiting[r.Request.Number]; !ok {
					t.Fatalf("request %d refused, but it wasn't waiting", r.Request.Number)
				}
				delete(waiting, r.Request.Number)
			}
		}
		running := []string{}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				number++
				r := request(number, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"))
				r.Cost = rapid.IntRange(0, 50).Draw(t, "cost")
				r.Deadline = now + time.Duration(rapid.IntRange(0, 5000).Draw(t, "time"))*time.Millisecond
				waiting[r.Number] = r.Organisation
				removeRefused(q.Push(now, r))
			},
			"pop": func(t *rapid.T) {
				r, late, ok := q.Pop(now, rapid.IntRange(0, 3).Draw(t, "free slots"))
				removeRefused(late)
				if ok {
					if waiting[r.Number] != r.Organisation {
						t.Fatalf("popped request %d, which wasn't waiting", r.Number)
					}
					if r.Deadline <= now {
						t.Fatalf("popped request %d after its deadline", r.Number)
					}
					delete(waiting, r.Number)
					running = append(running, r.Organisation)
				}
			},
			// With many free slots a request must pop if any waits. Then the test goes on
			// with an empty queue.
			"pop all": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				_, late, ok := q.Pop(now, 1000)
				removeRefused(late)
				if !ok && len(waiting) > 0 {
					t.Fatal("no request popped although slots are free")
				}
				q = newQueue(8)
				waiting = map[uint64]string{}
				running = running[:0]
			},
			"finish": func(t *rapid.T) {
				if len(running) > 0 {
					q.Finish(0, running[0], 1, time.Duration(rapid.IntRange(0, 100).Draw(t, "held"))*time.Millisecond)
					running = running[1:]
				}
			},
			"cancel": func(t *rapid.T) {
				for n, organisation := range waiting {
					if !q.Cancel(organisation, n) {
						t.Fatalf("request %d waits but can't be cancelled", n)
					}
					delete(waiting, n)
					return
				}
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "passed")) * time.Millisecond
				expire := rapid.Bool().Draw(t, "expire")
				if next := q.NextExpiry(); expire && next != 0 && next <= now {
					removeRefused(q.Expire(now))
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || q.Len() > 8 {
					t.Fatalf("%d requests wait, want %d and at most 8", q.Len(), len(waiting))
				}
			},
		})
	})
}

func BenchmarkQueue(b *testing.B) {
	q := newQueue(100)
	for n := range uint64(50) {
		q.Push(0, request(n, fmt.Sprintf("o%d", n%8)))
	}
	b.ReportAllocs()
	for b.Loop() {
		r, _, _ := q.Pop(0, 10)
		q.Finish(0, r.Organisation, 1, 25*time.Millisecond)
		q.Push(0, r)
	}
}

func BenchmarkTryStart(b *testing.B) {
	q := newQueue(100)
	b.ReportAllocs()
	for b.Loop() {
		q.TryStart(0, "a", 10)
		q.Finish(0, "a", 1, 25*time.Millisecond)
	}
}
