package standin

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Headers between callers, the fleet and targets, as the stand-ins use them.
const (
	// HeaderExecution carries the identity that a caller gives to a request, so
	// that executions can be counted.
	HeaderExecution = "X-Execution"
	// HeaderCrash marks a request that crashes the target that runs it.
	HeaderCrash = "X-Crash"
	// HeaderRequest carries the fleet's own id of an attempt; the target echoes
	// it.
	HeaderRequest = "Dandelionmux-Request"
	// HeaderOrganisation carries the caller's organisation to the target.
	HeaderOrganisation = "Dandelionmux-Organisation"
	// HeaderShed marks a target's answer that says that nothing ran.
	HeaderShed = "Dandelionmux-Shed"
	// HeaderDrain marks the answers of a target that is leaving.
	HeaderDrain = "Dandelionmux-Drain"
	// HeaderTimeout carries the time left, in milliseconds, to the target.
	HeaderTimeout = "Dandelionmux-Timeout-Ms"
	// HeaderOutcome tells a caller whether a refused request ran.
	HeaderOutcome = "Dandelionmux-Outcome"
)

// Defaults and limits of a Target.
const (
	defaultSlots      = 6
	defaultWork       = 2 * time.Millisecond
	maximumExecutions = 2_000_000
	maximumTargetBody = 8 << 20
	pathHealth        = "/-/health"
	pathLoad          = "/-/load"
)

// Target stands in for one server of a service. It is an http.Handler. Work
// takes a slot for the work time; requests beyond the slots wait in a queue,
// and beyond the queue they are shed.
type Target struct {
	name     string
	slots    int
	queue    int
	work     time.Duration
	coldTerm time.Duration
	crash    func()
	occupied chan struct{}

	mu         sync.Mutex
	faults     TargetFaults
	random     *rand.Rand
	begun      time.Time
	waiting    int
	running    int
	counts     TargetCounts
	executions map[string]int
	keys       []string
	lastID     string
	lastBody   []byte
}

// TargetFaults are a target's switches. The zero value is a healthy target.
type TargetFaults struct {
	// GrayFraction of the requests, 0 to 1, run and are answered with status
	// 500, while the health endpoint says that all is well.
	GrayFraction float64
	// Hang takes requests, runs them and never answers.
	Hang bool
	// SlowFactor multiplies the work time; zero counts as one.
	SlowFactor float64
	// Truncate cuts the answer's body short.
	Truncate Truncation
	// Cross answers with the request id and body of another request.
	Cross bool
	// Death breaks the connection at a point of the request's life.
	Death Death
	// Shed answers every request with 503 and the shed header.
	Shed bool
	// Drain announces in each answer that the target is leaving.
	Drain bool
	// Unhealthy makes the health endpoint answer 503 while work goes well.
	Unhealthy bool
}

// Truncation is a way to cut an answer short.
type Truncation string

// Values of Truncation.
const (
	// TruncateLength sends less than Content-Length.
	TruncateLength Truncation = "length"
	// TruncateChunk ends a chunked body without its last chunk.
	TruncateChunk Truncation = "chunk"
)

// Death is a point at which a connection breaks.
type Death string

// Values of Death.
const (
	// DeathBefore breaks the connection before the request runs.
	DeathBefore Death = "before"
	// DeathDuring breaks it while the request runs; it has had its effect.
	DeathDuring Death = "during"
	// DeathAfter breaks it after the run, before the answer.
	DeathAfter Death = "after"
)

// TargetCounts counts what a target did.
type TargetCounts struct {
	// Arrived counts requests, probes and load reports left out.
	Arrived uint64
	// Executed counts requests that ran, so had their effect.
	Executed uint64
	Shed     uint64
	Probes   uint64
	Crashes  uint64
	// Cancelled counts runs whose caller went, or whose time ran out.
	Cancelled uint64
	// KeysSeen counts requests that held a caller's key.
	KeysSeen uint64
	// WithoutRequestID counts requests without the fleet's id.
	WithoutRequestID uint64
	// MostRunning is the largest number of requests that ran at a time.
	MostRunning int
}

// TargetOption changes a Target under construction.
type TargetOption func(*Target)

// TargetSlots sets how many requests run at a time; 6 by default.
func TargetSlots(n int) TargetOption {
	return func(t *Target) { t.slots = n }
}

// TargetQueue sets how many requests may wait for a slot; as many as slots by
// default.
func TargetQueue(n int) TargetOption {
	return func(t *Target) { t.queue = n }
}

// TargetWorkTime sets how long a request runs; 2 ms by default.
func TargetWorkTime(d time.Duration) TargetOption {
	return func(t *Target) { t.work = d }
}

// TargetWarmUpTime makes a start cold: work takes up to ten times as long at
// first, and less and less over the term.
func TargetWarmUpTime(d time.Duration) TargetOption {
	return func(t *Target) { t.coldTerm = d }
}

// TargetSeed seeds the choice of the requests that fail gray.
func TargetSeed(seed uint64) TargetOption {
	return func(t *Target) { t.random = rand.New(rand.NewPCG(seed, seed)) }
}

// TargetCrashFunc sets what a request marked with HeaderCrash does beside breaking
// its connection.
func TargetCrashFunc(crash func()) TargetOption {
	return func(t *Target) { t.crash = crash }
}

// NewTarget makes a target.
func NewTarget(name string, options ...TargetOption) *Target {
	t := &Target{
		name:       name,
		slots:      defaultSlots,
		queue:      -1,
		work:       defaultWork,
		random:     rand.New(rand.NewPCG(1, 1)),
		begun:      time.Now(),
		executions: map[string]int{},
		crash:      func() {},
	}
	for _, o := range options {
		o(t)
	}
	if t.queue < 0 {
		t.queue = t.slots
	}
	t.occupied = make(chan struct{}, t.slots)
	return t
}

// Name returns the target's name.
func (t *Target) Name() string { return t.name }

// SetFaults replaces the switches.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the switches as they are now.
func (t *Target) Faults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Counts returns what the target did so far.
func (t *Target) Counts() TargetCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Executions returns how often each identified request ran.
func (t *Target) Executions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.executions)
}

// ForbidKeys names the callers' keys that the target must never see. It counts
// the requests that hold one, in any header or in the query.
func (t *Target) ForbidKeys(keys ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keys = append(slices.Clone(t.keys), keys...)
}

// ResetWarmUp makes the next requests meet a cold start.
func (t *Target) ResetWarmUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun = time.Now()
}

// ServeHTTP serves work, and the health and load endpoints.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pathHealth:
		t.serveHealth(w)
	case pathLoad:
		t.serveLoad(w)
	default:
		t.serveWork(w, r)
	}
}
