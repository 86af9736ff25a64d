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

// Service is what control publishes of one service.
type Service struct {
	Name string
	// Definition is the service as the document has it.
	Definition document.Service
	// Table is where the service's requests may go.
	Table *placement.Table
	// QueueLength bounds the requests that wait; zero takes the queue's default.
	QueueLength int
	// QueueWait bounds how long one waits; zero is no bound but its deadline.
	QueueWait time.Duration
	// RetryPercent fills the retry budget.
	RetryPercent int
}

// ConnectionEvent says whether a target took a connection, or that it announced that
// it is leaving.
type ConnectionEvent struct {
	Service string
	Target  string
	Refused bool
	Leaving bool
}

// Observer takes changes of connections, from many goroutines.
type Observer func(ConnectionEvent)

// Dispatcher implements entry.Dispatcher. It is safe for concurrent use.
type Dispatcher struct {
	clock    func() time.Duration
	observer Observer
	services atomic.Pointer[map[string]*service]
}

var _ entry.Dispatcher = (*Dispatcher)(nil)

// Option changes a Dispatcher under construction.
type Option func(*Dispatcher)

// WithObserver sets who learns of changed connections.
func WithObserver(o Observer) Option {
	return func(d *Dispatcher) { d.observer = o }
}

// New returns a Dispatcher on a monotonic clock, which counts from the
// process's start.
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

// Publish replaces all services. Only one goroutine calls it. Requests that
// wait for a service that is no more are refused.
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

// Table returns the service's table, or nil.
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

// slot is a place for one attempt.
type slot struct {
	placement.Pick
	service *service
	request    entry.SlotRequest
	startedAt   time.Duration
	attempt target.Attempt
}

// Release implements entry.Slot.
func (s *slot) Release(result entry.AttemptResult) {
	s.Done(result.Outcome, result.Latency)
	s.service.finish(s, result.Outcome)
	s.service.recordResult(s, result)
}

// OverdueAfter implements entry.Slot; the handler decides.
func (s *slot) OverdueAfter() time.Duration { return 0 }

// excludedNames turns names into the form that tables take.
func excludedNames(names []string) [2]string {
	var out [2]string
	copy(out[:], names)
	return out
}

// newRandom returns a source for one service. It only spreads load.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// FlushReports returns what the services saw since their last reports, where there
// is something to tell.
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

// Waiting returns how many requests wait for a service.
func (d *Dispatcher) Waiting(name string) int {
	s, ok := (*d.services.Load())[name]
	if !ok {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}
