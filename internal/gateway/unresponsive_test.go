package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/standin"
)

// Guards against a target that has stopped answering and that each instance avoids only
// after it has lost requests of its own, and against reads that wait for it although others
// have found out.
func TestUnresponsiveTargetIsAvoidedByAllInstances(t *testing.T) {
	const (
		// knownAfter is when all instances must know: routes without samples expect an
		// answer within a third of three seconds, and several writes wait together.
		knownAfter = 2500 * time.Millisecond
		readers    = 6
		writers    = 24
	)
	is := is.New(t)
	f := newTestFleet(t, 2, 4)
	f.startInstance("b")
	f.startInstance("b")
	f.awaitMembers()
	f.targets[0].SetFaults(standin.TargetFaults{
		Hang: true,
	})
	var mu sync.Mutex
	var longest time.Duration
	var calls sync.WaitGroup
	for n := range writers + readers {
		for _, g := range f.instances[:2] {
			if n < writers {
				calls.Go(func() { f.exchange(g, http.MethodPost, "/one/1", fmt.Sprint("w", n)) })
				continue
			}
			calls.Go(func() {
				out := f.exchange(g, http.MethodGet, "/one/1", fmt.Sprint(n))
				mu.Lock()
				defer mu.Unlock()
				longest = max(longest, out.took)
				if out.status != http.StatusOK {
					t.Errorf("status %d", out.status)
				}
			})
		}
	}
	f.await(func() bool {
		out := 0
		for _, g := range f.instances {
			if strings.Contains(f.metrics(g), "Targets.desk.Unavailable 1\n") {
				out++
			}
		}
		return out == len(f.instances)
	})
	calls.Wait()
	t.Logf("longest read: %v", longest)
	is.True(longest < knownAfter)
	is.True(strings.Contains(f.log.String(), `msg="target unresponsive"`))
	before := f.targets[0].Counts().Executed
	for range 10 {
		for _, g := range f.instances {
			is.Equal(f.send(g, http.MethodPost, "/one/1", "key-1"), http.StatusOK)
		}
	}
	is.Equal(f.targets[0].Counts().Executed, before)
}
