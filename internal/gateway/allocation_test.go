package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/gateway"
	"dandelionmux/internal/standin"
)

// slotWork is how long requests take at the targets of these tests.
const slotWork = 100 * time.Millisecond

// startSlots starts targets of the service desk in a zone that run one request at a time and
// queue none.
func (f *testFleet) startSlots(zone string, number int) {
	f.t.Helper()
	for range number {
		name := "desk-" + string(rune('a'+len(f.targets)))
		s, err := standin.ServeTarget(name, "127.0.0.1:0", time.Second,
			standin.TargetWorkTime(slotWork), standin.TargetSlots(1), standin.TargetQueue(0))
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
	f := newTestFleet(t, 0, 0)
	f.startSlots("a", targets)
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
	f := newSlotFleet(t, 3, 4)
	is.Equal(f.statuses(24, "/one"), map[int]int{http.StatusOK: 24})
	is.Equal(f.total("Allocation.Granted"), 24)
	f.logLines("placed", "refused", "allocator")
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
