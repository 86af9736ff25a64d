package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrLoad reports that a load's settings are invalid, or that a target's admin
// address failed.
var ErrLoad = errors.New("bad load")

// Limits of a Load.
const (
	maximumLoadCount    = 5_000_000
	maximumLoadDuration = time.Hour
	maximumResends      = 100
	maximumPipeline     = 1000
	defaultConcurrency  = 256
	defaultTimeout      = 10 * time.Second
)

// Caller is a caller of one organisation in a load.
type Caller struct {
	Organisation string
	// Key is the caller's key; empty for a caller without one.
	Key string
	// PerSecond is the number of requests that the caller sends per second.
	PerSecond float64
}

// Load sends a bounded number of requests at fixed rates. It is an open-loop
// load: requests don't wait for earlier answers, so that slow answers don't
// lower the rate. Each request carries a unique ID in HeaderExecution.
type Load struct {
	// Entries are the URLs of the fleet's instances, such as
	// "http://127.0.0.1:8080"; each request goes to a random one.
	Entries []string
	Callers []Caller
	// Method is GET if empty.
	Method string
	// Path is the path and query, "/" if empty.
	Path string
	// Host replaces the Host header if not empty.
	Host string
	// BodyBytes is the length of each request's body.
	BodyBytes int
	// KeyHeader is the header that carries the key, X-Api-Key if empty.
	KeyHeader string
	// Keyed gives each request a unique Idempotency-Key.
	Keyed bool
	// Resends is the maximum number of times that a request without a whole
	// answer is sent again, through a random entry, with the same ID and key.
	Resends int
	// Crash marks all requests with HeaderCrash.
	Crash bool
	// Count is the maximum number of requests of all callers together; zero
	// means that only Duration limits them.
	Count int
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// Pipeline is the number of requests that are sent on a connection before the first of
	// them is answered; one or less means that each waits for the answer before. Such
	// requests have no body.
	Pipeline int
	// Concurrency is the maximum number of requests in flight. Requests beyond
	// it are skipped and counted. 256 by default.
	Concurrency int
	// Timeout is the time limit of each request; 10 s by default.
	Timeout time.Duration
	// Targets are the URLs of the targets' admin addresses, which report the
	// executions.
	Targets []string
	// Seed is the seed of the random choice of entries.
	Seed uint64
}

// loadRun is the state of a running load.
type loadRun struct {
	load       Load
	client     *http.Client
	idPrefix   string
	lastNumber atomic.Int64
	slots      chan struct{}
	started    time.Time
	tally      tally
}

// Run sends the load and returns a summary. It stops sending when Count or
// Duration is reached or the context is done. The error wraps ErrLoad.
func (l Load) Run(ctx context.Context) (Summary, error) {
	if err := l.check(); err != nil {
		return Summary{}, err
	}
	l.setDefaults()
	r := &loadRun{
		load:     l,
		client:   l.client(),
		idPrefix: fmt.Sprintf("%x-%x", time.Now().UnixNano(), rand.Uint32()),
		slots:    make(chan struct{}, l.Concurrency),
		started:  time.Now(),
		tally:    newTally(l.Callers),
	}
	defer r.client.CloseIdleConnections()
	if err := r.forbidKeys(ctx); err != nil {
		return Summary{}, err
	}
	sending, cancel := context.WithTimeout(ctx, l.Duration)
	defer cancel()
	var callers sync.WaitGroup
	for i := range l.Callers {
		callers.Go(func() { r.sendAtRate(sending, ctx, i) })
	}
	callers.Wait()
	for range l.Concurrency {
		r.slots <- struct{}{}
	}
	summary := r.tally.summary(time.Since(r.started))
	return summary, r.collectExecutions(ctx, &summary)
}

func (l Load) check() error {
	if len(l.Entries) == 0 || len(l.Callers) == 0 {
		return errors.Wrap(ErrLoad, "at least one entry and one caller are required")
	}
	if l.Duration <= 0 || l.Duration > maximumLoadDuration {
		return errors.Wrapf(ErrLoad, "duration %v is not within 1ns to %v", l.Duration, maximumLoadDuration)
	}
	if l.Count < 0 || l.Count > maximumLoadCount {
		return errors.Wrapf(ErrLoad, "count %d is not within 0 to %d", l.Count, maximumLoadCount)
	}
	if l.Resends < 0 || l.Resends > maximumResends {
		return errors.Wrapf(ErrLoad, "%d resends are not within 0 to %d", l.Resends, maximumResends)
	}
	if l.Pipeline < 0 || l.Pipeline > maximumPipeline || l.Pipeline > 1 && l.BodyBytes > 0 {
		return errors.Wrapf(ErrLoad, "pipeline of %d is not within 0 to %d and without bodies", l.Pipeline, maximumPipeline)
	}
	for _, c := range l.Callers {
		if c.PerSecond <= 0 || c.PerSecond > 100_000 {
			return errors.Wrapf(ErrLoad, "organisation %q: rate %v a second is not above 0 and at most 100000", c.Organisation, c.PerSecond)
		}
	}
	return nil
}

func (l *Load) setDefaults() {
	if l.Method == "" {
		l.Method = http.MethodGet
	}
	if l.Path == "" {
		l.Path = "/"
	}
	if l.KeyHeader == "" {
		l.KeyHeader = "X-Api-Key"
	}
	if l.Concurrency <= 0 {
		l.Concurrency = defaultConcurrency
	}
	if l.Timeout <= 0 {
		l.Timeout = defaultTimeout
	}
	if l.Count == 0 {
		l.Count = maximumLoadCount
	}
}

func (l Load) client() *http.Client {
	dialer := &net.Dialer{
		Timeout: time.Second,
	}
	if l.Pipeline > 1 {
		return &http.Client{
			Timeout:   l.Timeout,
			Transport: newPipelinedTransport(l.Pipeline, dialer.DialContext),
		}
	}
	return &http.Client{
		Timeout: l.Timeout,
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: l.Concurrency,
			DisableCompression:  true,
		},
	}
}

// sendAtRate sends one caller's requests, each at its scheduled time, until the
// context sending is done. Requests in flight continue until the context
// requests is done.
func (r *loadRun) sendAtRate(sending, requests context.Context, caller int) {
	interval := time.Duration(float64(time.Second) / r.load.Callers[caller].PerSecond)
	random := rand.New(rand.NewPCG(r.load.Seed, uint64(caller)))
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := r.started
	for {
		select {
		case <-sending.Done():
			return
		case <-timer.C:
		}
		for ; !due.After(time.Now()); due = due.Add(interval) {
			number := r.lastNumber.Add(1)
			if number > int64(r.load.Count) || sending.Err() != nil {
				return
			}
			r.start(requests, caller, random.Uint64(), number, due)
		}
		timer.Reset(time.Until(due))
	}
}

// start sends one request on a new goroutine, or skips it if too many are in
// flight.
func (r *loadRun) start(ctx context.Context, caller int, seed uint64, number int64, due time.Time) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.tally.skip(caller)
		return
	}
	go func() {
		defer func() { <-r.slots }()
		id := fmt.Sprintf("%s-%d", r.idPrefix, number)
		result := r.sendUntilWhole(ctx, caller, seed, id)
		result.latency = time.Since(due)
		r.tally.add(caller, id, result)
	}()
}
