package pipeline_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionmux/pkg/pipeline"
)

// receive lets the queue receive a request and returns its number and whether it started.
func receive(q *pipeline.Queue, kind pipeline.Kind) (pipeline.ID, bool) {
	id := q.Receive(kind)
	_, started := q.Start()
	return id, started
}

// Guards against independent requests that wait for the answers before them.
func TestIndependentRequestsStartAhead(t *testing.T) {
	is := is.New(t)
	q := pipeline.New(pipeline.NewPlaces(10), 3)
	for range 3 {
		is.True(q.MayReceive())
		_, started := receive(q, pipeline.Independent)
		is.True(started)
	}
	is.True(!q.MayReceive()) // the connection's bound
	is.Equal(q.Head(), pipeline.ID(1))
	q.End()
	is.Equal(q.Head(), pipeline.ID(2))
	is.True(q.MayReceive())
}

// Guards against a write that runs beside other requests of its connection.
func TestExclusiveRequestRunsAlone(t *testing.T) {
	is := is.New(t)
	places := pipeline.NewPlaces(10)
	q := pipeline.New(places, 8)
	receive(q, pipeline.Independent)
	receive(q, pipeline.Independent)
	write, started := receive(q, pipeline.Exclusive)
	is.True(!started)
	is.True(!q.MayReceive())
	q.End()
	_, ok := q.Start()
	is.True(!ok) // one is still before it
	q.End()
	id, ok := q.Start()
	is.True(ok)
	is.Equal(id, write)
	is.True(!q.MayReceive()) // nothing is read behind it
	q.End()
	is.True(q.MayReceive())
	is.Equal(places.Taken(), 0)
}

// Guards against one caller that takes the places of all others.
func TestRequestWaitsWhileNoPlaceIsFree(t *testing.T) {
	is := is.New(t)
	places := pipeline.NewPlaces(1)
	greedy, other := pipeline.New(places, 8), pipeline.New(places, 8)
	receive(greedy, pipeline.Independent)
	_, started := receive(greedy, pipeline.Independent)
	is.True(started)
	_, started = receive(other, pipeline.Independent)
	is.True(started) // the head needs no place
	_, started = receive(other, pipeline.Independent)
	is.True(!started)
	is.True(!other.MayReceive())
	other.End()
	_, ok := other.Start()
	is.True(ok)
	greedy.End() // the request that ran ahead is the head now
	is.Equal(places.Taken(), 0)
}

// Guards against requests behind a closing answer that were sent to a target.
func TestClosingConnectionAnswersWhatHasStarted(t *testing.T) {
	tests := []struct {
		name    string
		kinds   []pipeline.Kind
		dropped bool
		answers int
	}{
		{
			name: "idle",
		},
		{
			name:    "independent requests",
			kinds:   []pipeline.Kind{pipeline.Independent, pipeline.Independent},
			answers: 2,
		},
		{
			name:    "a write behind a read",
			kinds:   []pipeline.Kind{pipeline.Independent, pipeline.Exclusive},
			dropped: true,
			answers: 1,
		},
		{
			name:    "a write in progress",
			kinds:   []pipeline.Kind{pipeline.Exclusive},
			answers: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := pipeline.New(pipeline.NewPlaces(10), 8)
			for _, kind := range tt.kinds {
				receive(q, kind)
			}
			is.Equal(q.Drop(), tt.dropped)
			is.True(!q.MayReceive())
			_, ok := q.Start()
			is.True(!ok)
			for n := tt.answers; n > 0; n-- {
				is.Equal(q.Last(), n == 1) // only the last answer closes
				q.End()
			}
			is.Equal(q.Len(), 0)
		})
	}
}

// Guards against queues that lose places, exceed a bound, or answer out of order, in any
// sequence of events.
func TestQueuesKeepOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 4).Draw(t, "total")
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		places := pipeline.NewPlaces(total)
		const connections = 3
		var queues [connections]*pipeline.Queue
		var progress [connections][]pipeline.Kind // of the started requests, oldest first
		var waiting [connections]bool
		var answered [connections]pipeline.ID
		for i := range queues {
			queues[i] = pipeline.New(places, limit)
		}
		start := func(i int, kind pipeline.Kind) {
			_, ok := queues[i].Start()
			if waiting[i] = !ok; ok {
				progress[i] = append(progress[i], kind)
			}
		}
		var kinds [connections]pipeline.Kind // of the waiting request
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, connections-1).Draw(t, "connection")
			q := queues[i]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				if q.MayReceive() {
					kinds[i] = rapid.SampledFrom([]pipeline.Kind{pipeline.Exclusive, pipeline.Independent, pipeline.Independent}).Draw(t, "kind")
					q.Receive(kinds[i])
					start(i, kinds[i])
				}
			case 3, 4, 5:
				if len(progress[i]) > 0 {
					if answered[i]++; q.Head() != answered[i] {
						t.Fatalf("request %d is answered after %d", q.Head(), answered[i]-1)
					}
					q.End()
					progress[i] = progress[i][1:]
				}
				if waiting[i] {
					start(i, kinds[i])
				}
			case 6:
				q.Drop()
				waiting[i] = false
			}
			ahead := 0
			for j, list := range progress {
				ahead += max(len(list)-1, 0)
				for _, kind := range list {
					if kind == pipeline.Exclusive && len(list) > 1 {
						t.Fatalf("connection %d: an exclusive request beside others", j)
					}
				}
				if len(list) > limit {
					t.Fatalf("connection %d: %d requests in progress", j, len(list))
				}
				if waiting[j] && len(list) == 0 {
					t.Fatalf("connection %d: a request waits for nothing", j)
				}
			}
			if ahead > total || places.Taken() != ahead {
				t.Fatalf("%d requests ahead, %d places taken, %d allowed", ahead, places.Taken(), total)
			}
		}
	})
}

// Guards against a ready answer that is lost because an earlier request isn't given up, and
// against giving up one that holds back nothing.
func TestBlockingRequestsAreThoseBeforeAReadyAnswer(t *testing.T) {
	tests := []struct {
		name     string
		ready    []pipeline.ID
		blocking []pipeline.ID
	}{
		{
			name: "nothing is ready",
		},
		{
			name:  "the head is ready",
			ready: []pipeline.ID{1},
		},
		{
			name:     "one behind the head is ready",
			ready:    []pipeline.ID{2},
			blocking: []pipeline.ID{1},
		},
		{
			name:     "two are ready",
			ready:    []pipeline.ID{2, 4},
			blocking: []pipeline.ID{1, 3},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := pipeline.New(pipeline.NewPlaces(8), 8)
			for range 5 {
				q.Receive(pipeline.Independent)
				q.Start()
			}
			for _, id := range tt.ready {
				q.SetReady(id)
			}
			is.Equal(q.Blocking(), tt.blocking)
		})
	}
}
