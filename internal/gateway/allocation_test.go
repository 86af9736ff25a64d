package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/entry"
	"dandelionmux/internal/gateway"
	"dandelionmux/internal/standin"
)

// slotWork is how long requests take at the targets of these tests.
const slotWork = 100 * time.Millisecond

// startSlots starts targets of the service desk in a zone that run one request at a time, queue
// as many as given and shed more.
func (f *testFleet) startSlots(zone string, number, queue int) {
	f.t.Helper()
	for range number {
		name := "desk-" + string(rune('a'+len(f.targets)))
		s, err := standin.ServeTarget(name, "127.0.0.1:0", time.Second,
			standin.TargetWorkTime(slotWork), standin.TargetSlots(1), standin.TargetQueue(queue))
		is.New(f.t).NoErr(err)
		f.t.Cleanup(s.Close)
		f.targets = append(f.targets, s)
		f.memory.put(targetPrefix+name, fmt.Appendf(nil, "%s 1 %s 1", s.Address(), zone), 0)
	}
}

// newSlotFleet starts instances in zone a, and targets there with one slot each that an
// allocator grants.
func newSlotFleet(t *testing.T, instances, targets int, options ...gateway.Option) *testFleet {
	t.Helper()
	return newQueueingFleet(t, instances, targets, 8, options...)
}

// newQueueingFleet is newSlotFleet with targets that queue as many requests as given.
func newQueueingFleet(t *testing.T, instances, targets, queue int, options ...gateway.Option) *testFleet {
	t.Helper()
	f := newTestFleet(t, 0, 0)
	f.startSlots("a", targets, queue)
	for range instances {
		f.startInstance("a", append([]gateway.Option{gateway.WithAllocation(1, 1)}, options...)...)
	}
	f.awaitMembers()
	return f
}

// statuses counts the answers to concurrent requests, spread over the instances.
func (f *testFleet) statuses(number int, path string) map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	counts := map[int]int{}
	for i := range number {
		group.Go(func() {
			status := f.send(f.instances[i%len(f.instances)], http.MethodPost, path, "key-1")
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
	}
	group.Wait()
	return counts
}

// Targets with one slot and no queue shed a request as soon as two are sent there. If instances
// that know each other's requests only from reports chose for themselves, that would happen to
// most.
func TestGrantedSlotsAreNotSharedByRequests(t *testing.T) {
	is := is.New(t)
	f := newQueueingFleet(t, 3, 4, 0)
	is.Equal(f.statuses(24, "/one"), map[int]int{http.StatusOK: 24})
	is.Equal(f.total("Allocation.Granted"), 24)
}

// total returns the sum of a counter over the instances.
func (f *testFleet) total(name string) int {
	f.t.Helper()
	sum := 0
	for _, g := range f.instances {
		for line := range strings.Lines(f.metrics(g)) {
			if value, ok := strings.CutPrefix(line, name+" "); ok {
				n, err := strconv.Atoi(strings.TrimSpace(value))
				is.New(f.t).NoErr(err)
				sum += n
			}
		}
	}
	return sum
}

// allocatorAt returns the index of the instance that grants the slots of the service desk.
func (f *testFleet) allocatorAt() int {
	f.t.Helper()
	at := slices.IndexFunc(f.instances, func(g *gateway.Gateway) bool {
		return g.PeerAddress() == f.instances[0].Allocator("desk")
	})
	is.New(f.t).True(at >= 0)
	return at
}

// awaitIdle waits until the allocators count no requests, running or waiting.
func (f *testFleet) awaitIdle() {
	f.t.Helper()
	f.await(func() bool { return f.total("Allocation.desk.InUse") == 0 && f.total("Allocation.desk.Waiting") == 0 })
}

// lostMessages drops datagrams of one kind, if they are for the receiver or that is empty. It may
// delay them instead.
type lostMessages struct {
	kind  string
	to    atomic.Value
	delay time.Duration
}

func (l *lostMessages) loses(kind, to string) bool {
	receiver, set := l.to.Load().(string)
	if !set || kind != "gateway."+l.kind || receiver != "" && receiver != to {
		return false
	}
	time.Sleep(l.delay)
	return l.delay == 0
}

// Guards against requests that are lost with the queue of an allocator that dies.
func TestRequestsOutliveTheirAllocator(t *testing.T) {
	is := is.New(t)
	f := newSlotFleet(t, 3, 2)
	at := f.allocatorAt()
	allocator := f.instances[at]
	f.instances = slices.Delete(f.instances, at, at+1)
	f.clients[at].setBlocked(true) // it stays registered
	time.AfterFunc(slotWork/2, allocator.Close)
	is.Equal(f.statuses(12, "/one"), map[int]int{http.StatusOK: 12})
	is.True(f.total("Allocation.Silent") > 0)
	f.awaitIdle()
}

// Guards against requests that fail, or slots that stay in use, because messages of the allocator
// or to it are lost or late.
func TestLostMessagesAboutSlots(t *testing.T) {
	tests := []struct {
		name string
		lost lostMessages
		// toOne is set if only one instance gets no messages: it then has another allocator.
		toOne bool
		// counter counts what the instances do about it.
		counter string
	}{
		{
			name:    "an allocator never answers",
			lost:    lostMessages{kind: "slotResponse"},
			counter: "Allocation.Fallback",
		},
		{
			name:    "answers are late",
			lost:    lostMessages{kind: "slotResponse", delay: 4 * slotWork},
			counter: "Allocation.Late",
		},
		{
			name:    "releases are lost",
			lost:    lostMessages{kind: "slotRelease"},
			counter: "Allocation.Granted",
		},
		{
			name:    "two allocators",
			lost:    lostMessages{kind: "slotResponse"},
			toOne:   true,
			counter: "Allocation.Silent",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newSlotFleet(t, 3, 6, gateway.WithLostMessages(tt.lost.loses))
			tt.lost.to.Store("")
			if tt.toOne {
				tt.lost.to.Store(f.instances[(f.allocatorAt()+1)%len(f.instances)].PeerAddress())
			}
			for range 3 {
				is.Equal(f.statuses(3, "/one"), map[int]int{http.StatusOK: 3})
			}
			is.True(f.total(tt.counter) > 0)
			f.awaitIdle()
		})
	}
}

// Guards against asking members of an older build, which drop the messages.
func TestOnlyMembersThatAllocateAreAsked(t *testing.T) {
	is := is.New(t)
	f := newSlotFleet(t, 3, 4, gateway.WithoutAllocating())
	is.Equal(f.instances[0].Allocator("desk"), "")
	is.Equal(f.statuses(3, "/one"), map[int]int{http.StatusOK: 3})
	is.Equal(f.total("Allocation.Granted")+f.total("Allocation.Silent"), 0)
	f.startInstance("a", gateway.WithAllocation(1, 1))
	f.awaitMembers()
	for _, g := range f.instances {
		is.Equal(g.Allocator("desk"), f.instances[3].PeerAddress())
	}
	time.Sleep(2 * slotWork) // it declines until it has load reports
	is.Equal(f.statuses(8, "/one"), map[int]int{http.StatusOK: 8})
	is.Equal(f.total("Allocation.Granted"), 8)
}

// Guards against slots that are granted to callers that have left.
func TestCallerThatLeavesWaitsNoLonger(t *testing.T) {
	is := is.New(t)
	f := newSlotFleet(t, 2, 1)
	var group sync.WaitGroup
	group.Go(func() { is.Equal(f.call(f.instances[0], "/one", "key-1"), http.StatusOK) })
	f.await(func() bool { return f.total("Allocation.desk.InUse") == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), slotWork/4)
	defer cancel()
	for _, g := range f.instances {
		group.Go(func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.EntryAddress()+"/one", nil)
			is.NoErr(err)
			r.Header.Set("Authorization", "Bearer key-1")
			answer, err := http.DefaultClient.Do(r)
			is.True(err != nil)
			if err == nil {
				_ = answer.Body.Close()
			}
		})
	}
	group.Wait()
	f.awaitIdle()
	is.Equal(f.total("Allocation.Granted"), 1)
}

// Guards against urgent requests that wait behind others, and against callers that learn only
// at their deadline that there is no capacity for them.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	is := is.New(t)
	f := newSlotFleet(t, 2, 2)
	f.configure(configuration{
		Revision: 2,
		Keys:     []string{"key-1"},
		Path:     "/one",
		Timeout:  8 * slotWork,
	})
	for _, g := range f.instances {
		f.await(func() bool { return g.Current().Index.Revision() == 2 })
	}
	for range 8 {
		is.Equal(f.statuses(2, "/one"), map[int]int{http.StatusOK: 2}) // tells how long requests take
	}
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			began := time.Now()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.instances[i%2].EntryAddress()+"/later", nil)
			is.NoErr(err)
			r.Header.Set("Authorization", "Bearer key-1")
			answer, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer func() { _ = answer.Body.Close() }()
			if answer.StatusCode == http.StatusOK {
				return
			}
			is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
			is.Equal(answer.Header.Get(entry.OutcomeHeader), entry.OutcomeNotRun)
			is.Equal(answer.Header.Get(entry.ReasonHeader), "no-capacity")
			is.True(answer.Header.Get("Retry-After") != "")
			is.True(time.Since(began) < 8*slotWork)
		})
	}
	f.await(func() bool { return f.total("Allocation.desk.Waiting") > 0 })
	is.Equal(f.statuses(4, "/one"), map[int]int{http.StatusOK: 4})
	group.Wait()
	is.True(f.total("Allocation.Refused.Rank2") > 0)
	is.Equal(f.total("Allocation.Refused.Rank0"), 0)
	f.awaitIdle()
}

// Guards against refusals in a zone without targets while another has free slots.
func TestRequestsLeaveAZoneWithoutTargets(t *testing.T) {
	is := is.New(t)
	f := newSlotFleet(t, 2, 6)
	for range 2 {
		f.startInstance("b", gateway.WithAllocation(1, 1))
	}
	f.awaitMembers()
	local := f.instances
	f.instances = f.instances[2:]
	for range 5 {
		is.Equal(f.statuses(6, "/one"), map[int]int{http.StatusOK: 6})
	}
	is.True(f.total("Allocation.Left.a") > 0)
	f.instances = local
	f.awaitIdle()
}
