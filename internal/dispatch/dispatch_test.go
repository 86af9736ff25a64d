package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"dandelionmux/internal/dispatch"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/placement"
	"dandelionmux/pkg/target"
)

const (
	slots = 4
	// waitTimeout bounds waits for events that must occur.
	waitTimeout = 20 * time.Second
)

// newDispatcher returns a Dispatcher with one service, which has the given
// number of targets.
func newDispatcher(targets int) *dispatch.Dispatcher {
	began := time.Now()
	d := dispatch.New(func() time.Duration { return time.Since(began) })
	publish(d, targets)
	return d
}

// publish replaces the dispatcher's services by one with the given number of
// targets.
func publish(d *dispatch.Dispatcher, targets int) {
	service := document.Service{
		Name: "desk",
	}
	var serving []target.WeightedTarget
	for i := range targets {
		t := document.Target{
			Name:        fmt.Sprintf("desk-%d", i),
			Address:     fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Zone:        "a",
			Slots:       slots,
			Connections: 350,
		}
		service.Targets = append(service.Targets, t)
		serving = append(serving, target.WeightedTarget{
			Target: t,
			Weight: 1,
		})
	}
	d.Publish([]dispatch.Service{{
		Name:       "desk",
		Definition: service,
		Table: placement.NewTable(d.Table("desk"), placement.Settings{
			Service:   "desk",
			Targets:   serving,
			Zone:      "a",
			Instances: 1,
		}),
		QueueLength: 1000,
	}})
}

func slotRequest(organisation string) entry.SlotRequest {
	return entry.SlotRequest{
		Organisation: organisation,
		Route: &document.Route{
			Name: "bookings",
		},
		Service:  "desk",
		Cost:     1,
		Deadline: time.Now().Add(waitTimeout),
	}
}

// Guards against a target getting more requests at a time than it has slots,
// and against a request that waits for ever although slots become free.
func TestSlotsAreExclusiveAndAllRequestsAreServed(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	const requests = 300
	d := newDispatcher(3)
	var mu sync.Mutex
	inFlight := map[string]int{}
	maxInFlight := 0
	var served atomic.Int64
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			s, err := d.Acquire(context.Background(), slotRequest(fmt.Sprintf("organisation-%d", i%5)))
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			inFlight[s.Target().Name]++
			maxInFlight = max(maxInFlight, inFlight[s.Target().Name])
			mu.Unlock()
			time.AfterFunc(0, func() {}) // takes some time, during which the slot is held
			mu.Lock()
			inFlight[s.Target().Name]--
			mu.Unlock()
			served.Add(1)
			s.Release(entry.AttemptResult{
				Outcome: target.Succeeded,
				Latency: time.Millisecond,
			})
		})
	}
	all.Wait()
	is.Equal(served.Load(), int64(requests))
	is.True(maxInFlight <= slots)
	is.Equal(d.Waiting("desk"), 0)
}

// acquireUntilFull acquires slots until a request has to wait, and returns
// them.
func acquireUntilFull(t *testing.T, d *dispatch.Dispatcher) []entry.Slot {
	t.Helper()
	var acquired []entry.Slot
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		s, err := d.Acquire(ctx, slotRequest("orchard"))
		cancel()
		if err != nil {
			return acquired
		}
		acquired = append(acquired, s)
	}
}

func reason(err error) string {
	var refusal *entry.Refusal
	if errors.As(err, &refusal) && !refusal.MayHaveRun {
		return refusal.Reason
	}
	return ""
}

// Guards against a slot or a place in the queue that is lost when the caller of
// a waiting request goes away.
func TestCancelledWaiterLeavesNothingBehind(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	d := newDispatcher(1)
	acquired := acquireUntilFull(t, d)
	is.True(len(acquired) > 0)
	ctx, cancel := context.WithCancel(t.Context())
	refused := make(chan error, 1)
	go func() {
		_, err := d.Acquire(ctx, slotRequest("mill"))
		refused <- err
	}()
	for d.Waiting("desk") == 0 {
		<-time.After(time.Millisecond)
	}
	cancel()
	is.Equal(reason(<-refused), "waited-too-long")
	is.Equal(d.Waiting("desk"), 0)
	for _, s := range acquired {
		s.Release(entry.AttemptResult{
			Outcome: target.Succeeded,
		})
	}
	s, err := d.Acquire(t.Context(), slotRequest("mill"))
	is.NoErr(err) // the cancelled waiter left no slot or place in the queue occupied
	s.Release(entry.AttemptResult{})
}

// Guards against requests that wait although nothing will serve them: their
// service is unknown or removed, it has no target, or they are retries.
func TestRefusalReasons(t *testing.T) {
	tests := []struct {
		name   string
		refuse func(t *testing.T, d *dispatch.Dispatcher) error
		reason string
	}{
		{
			name: "service unknown",
			refuse: func(t *testing.T, d *dispatch.Dispatcher) error {
				w := slotRequest("orchard")
				w.Service = "other"
				_, err := d.Acquire(t.Context(), w)
				return err
			},
			reason: "no-service",
		},
		{
			name: "no target serves",
			refuse: func(t *testing.T, d *dispatch.Dispatcher) error {
				publish(d, 0)
				_, err := d.Acquire(t.Context(), slotRequest("orchard"))
				return err
			},
			reason: "no-target",
		},
		{
			name: "retry does not wait",
			refuse: func(t *testing.T, d *dispatch.Dispatcher) error {
				acquireUntilFull(t, d)
				w := slotRequest("orchard")
				w.TriedTargets = []string{"desk-1"}
				_, err := d.Acquire(t.Context(), w)
				return err
			},
			reason: "no-target",
		},
		{
			name: "service removed while waiting",
			refuse: func(t *testing.T, d *dispatch.Dispatcher) error {
				acquireUntilFull(t, d)
				refused := make(chan error, 1)
				go func() {
					_, err := d.Acquire(t.Context(), slotRequest("mill"))
					refused <- err
				}()
				for d.Waiting("desk") == 0 {
					<-time.After(time.Millisecond)
				}
				d.Publish(nil)
				return <-refused
			},
			reason: "no-service",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(reason(tt.refuse(t, newDispatcher(2))), tt.reason)
		})
	}
}

// restTime is the rest that targets ask for.
const restTime = 300 * time.Millisecond

// restTarget acquires slots until one is at the target, and releases that with a rest.
func restTarget(t *testing.T, d *dispatch.Dispatcher, name string) {
	t.Helper()
	for {
		slot, err := d.Acquire(t.Context(), slotRequest("orchard"))
		is.New(t).NoErr(err)
		result := entry.AttemptResult{
			Outcome: target.Succeeded,
		}
		found := slot.Target().Name == name
		if found {
			result.Outcome, result.Rest = target.Shed, restTime
		}
		slot.Release(result)
		if found {
			return
		}
	}
}

// Guards against requests to a target that has asked for rest, and against a rest that
// doesn't end.
func TestRestingTargetGetsNoSlot(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(2)
	held, err := d.Acquire(t.Context(), slotRequest("orchard"))
	is.NoErr(err)
	resting := held.Target().Name
	is.True(held.MaySend())
	restTarget(t, d, resting)
	is.True(!held.MaySend())
	held.Release(entry.AttemptResult{
		Outcome: target.Cancelled,
	})
	count := func() int {
		chosen := 0
		for range 40 {
			slot, err := d.Acquire(t.Context(), slotRequest("orchard"))
			is.NoErr(err)
			if slot.Target().Name == resting {
				chosen++
			}
			slot.Release(entry.AttemptResult{
				Outcome: target.Succeeded,
				Latency: time.Millisecond,
			})
		}
		return chosen
	}
	is.Equal(count(), 0)
	time.Sleep(restTime)
	is.True(count() > 0)
}

// Guards against requests that wait in the queue although all targets rest.
func TestRequestsAreRefusedWhileAllTargetsRest(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(1)
	var held []entry.Slot
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		slot, err := d.Acquire(ctx, slotRequest("orchard"))
		cancel()
		if err != nil {
			break
		}
		held = append(held, slot)
	}
	refused := make(chan error)
	go func() {
		_, err := d.Acquire(t.Context(), slotRequest("orchard"))
		refused <- err
	}()
	for d.Waiting("desk") == 0 {
		time.Sleep(time.Millisecond)
	}
	held[0].Release(entry.AttemptResult{
		Outcome: target.Shed,
		Rest:    restTime,
	})
	var refusal *entry.Refusal
	select {
	case err := <-refused:
		is.True(errors.As(err, &refusal))
	case <-time.After(restTime / 2):
		t.Fatal("request waits for a resting target")
	}
	is.Equal(refusal.Reason, "targets-resting")
	is.True(refusal.RetryAfter > 0)
	for _, slot := range held[1:] {
		slot.Release(entry.AttemptResult{
			Outcome: target.Cancelled,
		})
	}
	time.Sleep(restTime)
	slot, err := d.Acquire(t.Context(), slotRequest("orchard"))
	is.NoErr(err)
	slot.Release(entry.AttemptResult{
		Outcome: target.Succeeded,
	})
}
