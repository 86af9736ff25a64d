package standin

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Headers between callers, the fleet and targets that the stand-ins use.
const (
	// HeaderExecution carries the unique ID that a caller gives to a request, by
	// which executions are counted.
	HeaderExecution = "X-Execution"
	// HeaderCrash marks a request that crashes the target that executes it.
	HeaderCrash = "X-Crash"
	// HeaderRequest carries the fleet's ID of an attempt, which the target
	// echoes.
	HeaderRequest = "Dandelionmux-Request"
	// HeaderOrganisation carries the caller's organisation to the target.
	HeaderOrganisation = "Dandelionmux-Organisation"
	// HeaderShed marks the answer to a request that the target shed without
	// executing it.
	HeaderShed = "Dandelionmux-Shed"
	// HeaderDrain marks the answers of a target that is leaving.
	HeaderDrain = "Dandelionmux-Drain"
	// HeaderTimeout carries the time left for the request, in milliseconds, to
	// the target.
	HeaderTimeout = "Dandelionmux-Timeout-Ms"
	// HeaderOutcome tells a caller whether a refused request was executed.
	HeaderOutcome = "Dandelionmux-Outcome"
)

// Defaults and limits of a Target.
const (
	defaultSlots      = 6
	defaultWorkTime   = 2 * time.Millisecond
	maxExecutionIDs   = 2_000_000
	maximumTargetBody = 8 << 20
	pathHealth        = "/-/health"
	pathLoad          = "/-/load"
)

// Target is a stand-in for one server of a service. It is an http.Handler. A
// request occupies a slot for the work time. If all slots are occupied, requests
// wait in a queue, and if the queue is full, they are shed.
type Target struct {
	name       string
	slots      int
	queue      int
	workTime   time.Duration
	warmUpTime time.Duration
	onCrash    func()
	busySlots  chan struct{}

	mu            sync.Mutex
	faults        TargetFaults
	random        *rand.Rand
	startedAt     time.Time
	waiting       int
	running       int
	counts        TargetCounts
	executions    map[string]int
	forbiddenKeys []string
	lastID        string
	lastBody      []byte
}

// TargetFaults are a target's faults. The zero value is a healthy target.
type TargetFaults struct {
	// GrayFraction is the fraction of requests, from 0 to 1, that are executed
	// but answered with status 500, while the health endpoint reports no
	// problem.
	GrayFraction float64
	// Hang executes requests but doesn't answer until the time limit in
	// HeaderTimeout passes, and then answers 504. Without a limit it waits until
	// the caller disconnects.
	Hang bool
	// SlowFactor multiplies the work time; zero counts as one.
	SlowFactor float64
	// Truncate cuts the answer's body short in the given way.
	Truncate Truncation
	// Cross answers with the request ID and body of another request.
	Cross bool
	// Death breaks the connection at the given point.
	Death Death
	// Shed answers every request with 503 and the shed header.
	Shed bool
	// RetryAfter is the Retry-After of shed requests; "1" if it is empty.
	RetryAfter string
	// Drain announces in each answer that the target is leaving.
	Drain bool
	// Unhealthy makes the health endpoint answer 503 while requests succeed.
	Unhealthy bool
}

// Truncation is a way to cut an answer short.
type Truncation string

// Values of Truncation.
const (
	// TruncateLength sends fewer bytes than Content-Length.
	TruncateLength Truncation = "length"
	// TruncateChunk ends a chunked body without the final chunk.
	TruncateChunk Truncation = "chunk"
)

// Death is the point in the processing of a request at which the target breaks
// the connection.
type Death string

// Values of Death.
const (
	// DeathBefore breaks the connection before the request is executed.
	DeathBefore Death = "before"
	// DeathDuring breaks it during the execution, after the request took effect.
	DeathDuring Death = "during"
	// DeathAfter breaks it after the execution, before the answer.
	DeathAfter Death = "after"
	// DeathReused breaks a connection that has already served a request, before the
	// next one is executed. Requests on new connections are served.
	DeathReused Death = "reused"
)

// TargetCounts holds a target's counters.
type TargetCounts struct {
	// Arrived counts requests, except health probes and load reports.
	Arrived uint64
	// Executed counts executions, which have an effect even if the answer fails.
	Executed uint64
	// Shed counts requests that were shed: because of the fault, because the
	// queue was full, or because the time limit passed or the caller disconnected
	// while they waited.
	Shed    uint64
	Probes  uint64
	Crashes uint64
	// Cancelled counts executions whose caller disconnected or whose time limit
	// passed.
	Cancelled uint64
	// KeysSeen counts requests that contained a caller's key.
	KeysSeen uint64
	// WithoutRequestID counts requests without the fleet's ID of the attempt.
	WithoutRequestID uint64
	// MostRunning is the maximum number of requests executed at the same time.
	MostRunning int
}

// TargetOption configures a Target.
type TargetOption func(*Target)

// TargetSlots sets how many requests are executed at the same time; 6 by
// default.
func TargetSlots(n int) TargetOption {
	return func(t *Target) { t.slots = n }
}

// TargetQueue sets how many requests may wait for a slot; as many as slots by
// default.
func TargetQueue(n int) TargetOption {
	return func(t *Target) { t.queue = n }
}

// TargetWorkTime sets how long the execution of a request takes; 2 ms by
// default.
func TargetWorkTime(d time.Duration) TargetOption {
	return func(t *Target) { t.workTime = d }
}

// TargetWarmUpTime sets the time that a target takes to warm up after a start.
// At first, work takes ten times as long; the factor falls linearly to one.
func TargetWarmUpTime(d time.Duration) TargetOption {
	return func(t *Target) { t.warmUpTime = d }
}

// TargetSeed sets the seed of the random choice of requests that GrayFraction
// applies to.
func TargetSeed(seed uint64) TargetOption {
	return func(t *Target) { t.random = rand.New(rand.NewPCG(seed, seed)) }
}

// TargetCrashFunc sets a function that a request marked with HeaderCrash calls
// before its connection breaks.
func TargetCrashFunc(crash func()) TargetOption {
	return func(t *Target) { t.onCrash = crash }
}

// NewTarget returns a target.
func NewTarget(name string, options ...TargetOption) *Target {
	t := &Target{
		name:       name,
		slots:      defaultSlots,
		queue:      -1,
		workTime:   defaultWorkTime,
		random:     rand.New(rand.NewPCG(1, 1)),
		startedAt:  time.Now(),
		executions: map[string]int{},
		onCrash:    func() {},
	}
	for _, o := range options {
		o(t)
	}
	if t.queue < 0 {
		t.queue = t.slots
	}
	t.busySlots = make(chan struct{}, t.slots)
	return t
}

// Name returns the target's name.
func (t *Target) Name() string { return t.name }

// SetFaults replaces the faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the current faults.
func (t *Target) Faults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Counts returns the target's counters.
func (t *Target) Counts() TargetCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Executions returns the number of executions of each request, by the ID in
// HeaderExecution. Once 2,000,000 IDs are stored, nothing more is counted.
func (t *Target) Executions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.executions)
}

// ForbidKeys adds callers' keys that the target must never receive. The target
// counts the requests that contain one in a header, the path or the query.
func (t *Target) ForbidKeys(keys ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forbiddenKeys = append(slices.Clone(t.forbiddenKeys), keys...)
}

// ResetWarmUp starts the warm-up again.
func (t *Target) ResetWarmUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startedAt = time.Now()
}

// ServeHTTP serves requests, and the health and load endpoints.
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
