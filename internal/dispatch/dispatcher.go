package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/placement"
	"dandelionmux/pkg/retry"
	"dandelionmux/pkg/target"
)

// Service is the definition, the target table and the limits of one service, as
// control publishes them.
type Service struct {
	Name string
	// Definition is the service as defined in the document.
	Definition document.Service
	// Table holds the targets that the service's requests may be sent to.
	Table *placement.Table
	// QueueLength bounds the number of waiting requests; zero means the queue's
	// default.
	QueueLength int
	// QueueWait bounds how long a request may wait; zero means until its
	// deadline.
	QueueWait time.Duration
	// RetryPercent is how many retries are allowed for each hundred successful
	// attempts.
	RetryPercent int
}

// ConnectionEvent tells that a target refused a connection, that it accepts
// connections again, or that it announced that it is leaving.
type ConnectionEvent struct {
	Service string
	Target  string
	Refused bool
	Leaving bool
}

// Observer is called with connection events, from many goroutines.
type Observer func(ConnectionEvent)

// Dispatcher gives attempts slots at the targets of their services. It
// implements entry.Dispatcher and is safe for concurrent use.
type Dispatcher struct {
	clock    func() time.Duration
	observer Observer
	services atomic.Pointer[map[string]*service]
}

var _ entry.Dispatcher = (*Dispatcher)(nil)

// Option changes a Dispatcher under construction.
type Option func(*Dispatcher)

// WithObserver sets the function that is called with connection events.
func WithObserver(o Observer) Option {
	return func(d *Dispatcher) { d.observer = o }
}

// New returns a Dispatcher without services. The clock is monotonic and returns
// the time since the process started.
func New(clock func() time.Duration, options ...Option) *Dispatcher {
	d := &Dispatcher{
		clock:    clock,
		observer: func(ConnectionEvent) {},
	}
	d.services.Store(&map[string]*service{})
	for _, o := range options {
		o(d)
	}
	return d
}

// Publish replaces all services. Calls must not overlap. Requests that wait for
// a removed service are refused.
func (d *Dispatcher) Publish(services []Service) {
	old := *d.services.Load()
	next := make(map[string]*service, len(services))
	for _, s := range services {
		kept, ok := old[s.Name]
		if !ok {
			kept = newService(d, s)
		}
		next[s.Name] = kept
	}
	d.services.Store(&next)
	for _, s := range services {
		next[s.Name].update(s)
	}
	for name, s := range old {
		if _, ok := next[name]; !ok {
			s.close()
		}
	}
}

// Table returns the service's target table, or nil if there is no such service.
func (d *Dispatcher) Table(name string) *placement.Table {
	s, ok := (*d.services.Load())[name]
	if !ok {
		return nil
	}
	return s.table.Load()
}

// Acquire implements entry.Dispatcher.
func (d *Dispatcher) Acquire(ctx context.Context, request entry.SlotRequest) (entry.Slot, error) {
	s, ok := (*d.services.Load())[request.Service]
	if !ok {
		return nil, &entry.Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "no-service",
			RetryAfter: time.Second,
		}
	}
	return s.acquire(ctx, request)
}

// Retry implements entry.Dispatcher.
func (d *Dispatcher) Retry(_ context.Context, name string, failed retry.Attempt) bool {
	s, ok := (*d.services.Load())[name]
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Decide(d.clock(), failed) == retry.Granted
}

// slot is a target's slot for one attempt. It implements entry.Slot.
type slot struct {
	placement.Pick
	service   *service
	request   entry.SlotRequest
	startedAt time.Duration
	attempt   target.Attempt
}

// Release implements entry.Slot.
func (s *slot) Release(result entry.AttemptResult) {
	s.Done(result.Outcome, result.Latency)
	if result.Rest > 0 {
		s.service.recordRest(s, result.Rest)
	}
	s.service.finish(s, result.Outcome)
	s.service.recordResult(s, result)
}

// OverdueAfter implements entry.Slot. It returns zero, so that the handler
// decides.
func (s *slot) OverdueAfter() time.Duration { return 0 }

// OnUnresponsive implements entry.Slot. Nothing is known that would make an answer overdue
// earlier.
func (s *slot) OnUnresponsive(func()) {}

// MaySend implements entry.Slot.
func (s *slot) MaySend() bool { return s.Pick.MaySend(s.service.dispatcher.clock()) }

// excludedNames returns the first two names in the form that a table takes.
func excludedNames(names []string) [2]string {
	var out [2]string
	copy(out[:], names)
	return out
}

// newRandom returns a randomly seeded generator. It only spreads load, so it
// needn't be secure.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// FlushReports returns the services' reports on their attempts since the
// previous reports, as far as they are due.
func (d *Dispatcher) FlushReports() []target.Report {
	var reports []target.Report
	now := d.clock()
	for _, s := range *d.services.Load() {
		if r, ok := s.report(now); ok {
			reports = append(reports, r)
		}
	}
	return reports
}

// Waiting returns how many requests wait for a service; zero if it doesn't
// exist.
func (d *Dispatcher) Waiting(name string) int {
	s, ok := (*d.services.Load())[name]
	if !ok {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}
