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

// newSlotFleet starts instances in zone a, and targets there with one slot each that an
// allocator grants. The targets queue as many requests as given and shed more.
func newSlotFleet(t *testing.T, instances, targets, queue int, options ...gateway.Option) *testFleet {
	t.Helper()
	f := newTestFleet(t, 0, 0)
	for i := range targets {
		name := "desk-" + string(rune('a'+i))
		s, err := standin.ServeTarget(name, "127.0.0.1:0", time.Second,
			standin.TargetWorkTime(slotWork), standin.TargetSlots(1), standin.TargetQueue(queue))
		is.New(t).NoErr(err)
		t.Cleanup(s.Close)
		f.targets = append(f.targets, s)
		f.memory.put(targetPrefix+name, fmt.Appendf(nil, "%s 1 a 1", s.Address()), 0)
	}
	for range instances {
		f.startInstance("a", append([]gateway.Option{gateway.WithAllocation(1, 1)}, options...)...)
	}
	f.awaitMembers()
	return f
}

// post sends a request to an instance and returns the status and the header of the answer, or
// zero if there was none.
func (f *testFleet) post(ctx context.Context, g *gateway.Gateway, path string) (int, http.Header) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.EntryAddress()+path, nil)
	is.New(f.t).NoErr(err)
	r.Header.Set("Authorization", "Bearer key-1")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	_ = answer.Body.Close()
	return answer.StatusCode, answer.Header
}

// areServed sends concurrent requests, spread over the instances, and checks that all succeed.
func (f *testFleet) areServed(number int) {
	f.t.Helper()
	var group sync.WaitGroup
	for i := range number {
		group.Go(func() {
			if status := f.send(f.instances[i%len(f.instances)], http.MethodPost, "/one", "key-1"); status != http.StatusOK {
				f.t.Errorf("request %d was answered with status %d", i, status)
			}
		})
	}
	group.Wait()
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

// Guards against instances that choose for themselves: targets with one slot and no queue shed a
// request as soon as two are sent there, which would happen to most.
func TestGrantedSlotsAreNotSharedByRequests(t *testing.T) {
	f := newSlotFleet(t, 3, 4, 0)
	f.areServed(24)
	is.New(t).Equal(f.total("Allocation.Granted"), 24)
}

// Guards against requests that are lost with the queue of an allocator that dies.
func TestRequestsOutliveTheirAllocator(t *testing.T) {
	f := newSlotFleet(t, 3, 2, 8)
	at := f.allocatorAt()
	allocator := f.instances[at]
	f.instances = slices.Delete(f.instances, at, at+1)
	f.clients[at].setBlocked(true) // it stays registered
	time.AfterFunc(slotWork/2, allocator.Close)
	f.areServed(12)
	is.New(t).True(f.total("Allocation.Unanswered") > 0)
	f.awaitIdle()
}

// Guards against requests that fail, or slots that stay in use, because messages of the allocator
// or to it are lost or late.
func TestLostMessagesAboutSlots(t *testing.T) {
	tests := []struct {
		name, kind string
		// delay is set if the messages are late instead of lost.
		delay time.Duration
		// toOne is set if only one instance gets no messages: it then has another allocator.
		toOne bool
		// counter counts what the instances do about it.
		counter string
	}{
		{name: "an allocator never answers", kind: "slotResponse", counter: "Allocation.Fallback"},
		{name: "answers are late", kind: "slotResponse", delay: 4 * slotWork, counter: "Allocation.Late"},
		{name: "releases are lost", kind: "slotRelease", counter: "Allocation.Granted"},
		{name: "two allocators", kind: "slotResponse", toOne: true, counter: "Allocation.Unanswered"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var receiver atomic.Value // empty for all instances, unset before the fleet is complete
			loses := func(kind, to string) bool {
				only, set := receiver.Load().(string)
				if !set || kind != "gateway."+tt.kind || only != "" && only != to {
					return false
				}
				time.Sleep(tt.delay)
				return tt.delay == 0
			}
			f := newSlotFleet(t, 3, 6, 8, gateway.WithLostMessages(loses))
			receiver.Store("")
			if tt.toOne {
				receiver.Store(f.instances[(f.allocatorAt()+1)%len(f.instances)].PeerAddress())
			}
			for range 3 {
				f.areServed(3)
			}
			is.New(t).True(f.total(tt.counter) > 0)
			f.awaitIdle()
		})
	}
}

// Guards against asking members of an older build, which drop the messages.
func TestOnlyMembersThatAllocateAreAsked(t *testing.T) {
	is := is.New(t)
	f := newSlotFleet(t, 3, 4, 8, gateway.WithoutAllocating())
	is.Equal(f.instances[0].Allocator("desk"), "")
	f.areServed(3)
	is.Equal(f.total("Allocation.Granted")+f.total("Allocation.Unanswered"), 0)
	f.startInstance("a", gateway.WithAllocation(1, 1))
	f.awaitMembers()
	for _, g := range f.instances {
		is.Equal(g.Allocator("desk"), f.instances[3].PeerAddress())
	}
	time.Sleep(2 * slotWork) // it declines until it has load reports
	f.areServed(8)
	is.Equal(f.total("Allocation.Granted"), 8)
}

// Guards against slots that are granted to callers that have left.
func TestCallerThatLeavesWaitsNoLonger(t *testing.T) {
	is := is.New(t)
	f := newSlotFleet(t, 2, 1, 8)
	var group sync.WaitGroup
	group.Go(func() { is.Equal(f.call(f.instances[0], "/one", "key-1"), http.StatusOK) })
	f.await(func() bool { return f.total("Allocation.desk.InUse") == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), slotWork/4)
	defer cancel()
	for _, g := range f.instances {
		group.Go(func() {
			status, _ := f.post(ctx, g, "/one")
			is.Equal(status, 0)
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
	f := newSlotFleet(t, 2, 2, 8)
	f.configure(configuration{Revision: 2, Keys: []string{"key-1"}, Path: "/one", Timeout: 8 * slotWork})
	for _, g := range f.instances {
		f.await(func() bool { return g.Current().Index.Revision() == 2 })
	}
	for range 8 {
		f.areServed(2) // tells how long requests take
	}
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			began := time.Now()
			status, header := f.post(t.Context(), f.instances[i%2], "/later")
			if status == http.StatusOK {
				return
			}
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(header.Get(entry.OutcomeHeader), entry.OutcomeNotRun)
			is.Equal(header.Get(entry.ReasonHeader), "no-capacity")
			is.True(header.Get("Retry-After") != "")
			is.True(time.Since(began) < 8*slotWork)
		})
	}
	f.await(func() bool { return f.total("Allocation.desk.Waiting") > 0 })
	f.areServed(4)
	group.Wait()
	is.True(f.total("Allocation.Refused.Rank2") > 0)
	is.Equal(f.total("Allocation.Refused.Rank0"), 0)
	f.awaitIdle()
}

// Guards against refusals in a zone without targets while another has free slots.
func TestRequestsLeaveAZoneWithoutTargets(t *testing.T) {
	f := newSlotFleet(t, 2, 6, 8)
	for range 2 {
		f.startInstance("b", gateway.WithAllocation(1, 1))
	}
	f.awaitMembers()
	all := f.instances
	f.instances = all[2:]
	for range 5 {
		f.areServed(6)
	}
	is.New(t).True(f.total("Allocation.Left.a") > 0)
	f.instances = all
	f.awaitIdle()
}
