package process_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// callTimeout bounds every call, because a frozen instance never answers.
const callTimeout = 5 * time.Second

// sharedClient makes all calls that need no connection of their own. It never
// retries a request by itself, because callBy gives it bodies that can't be
// rewound.
var sharedClient = newClient()

func newClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: time.Second,
	}
	return &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 64,
		},
	}
}

// callResult is the response to a call, or the error of a call without one.
type callResult struct {
	status     int
	outcome    string
	reason     string
	retryAfter string
	// firstRequest is the Dandelionmux-First header: what is known about the
	// first request with the same Idempotency-Key.
	firstRequest string
	body         string
	// reused reports whether the call used a kept-alive connection.
	reused bool
	err    error
}

// refused reports whether the fleet refused the call and stated that nothing
// ran.
func (a callResult) refused() bool {
	return a.err == nil && a.outcome == "not-run"
}

// call sends one request through the instance with sharedClient.
func (r *instance) call(method, path, key, body string, headers ...string) callResult {
	return r.callBy(sharedClient, method, path, key, body, headers...)
}

// callBy sends one request through the instance with the client. An empty key
// sends no key; headers are pairs of a name and a value.
func (r *instance) callBy(client *http.Client, method, path, key, body string, headers ...string) (a callResult) {
	trace := &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) { a.reused = c.Reused },
	}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	// http.NewRequest makes a *strings.Reader rewindable, which lets the client
	// retry; the wrapper prevents that.
	reader := struct{ io.Reader }{strings.NewReader(body)}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.EntryAddress+path, reader)
	if err != nil {
		return callResult{
			err: err,
		}
	}
	if key != "" {
		request.Header.Set("X-Api-Key", key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	a.status = response.StatusCode
	a.outcome = response.Header.Get("Dandelionmux-Outcome")
	a.reason = response.Header.Get("Dandelionmux-Reason")
	a.retryAfter = response.Header.Get("Retry-After")
	a.firstRequest = response.Header.Get("Dandelionmux-First")
	a.body = string(content)
	a.err = err
	return a
}

// balancer spreads calls over its instances, round robin.
type balancer struct {
	mu        sync.Mutex
	instances []*instance
}

func newBalancer(instances ...*instance) *balancer {
	return &balancer{
		instances: slices.Clone(instances),
	}
}

// pick returns the instance for the nth call.
func (b *balancer) pick(n int) *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instances[n%len(b.instances)]
}

func (b *balancer) add(r *instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = append(b.instances, r)
}

func (b *balancer) remove(r *instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = slices.DeleteFunc(b.instances, func(o *instance) bool { return o == r })
}

// sent is one call with its execution ID and its result.
type sent struct {
	id string
	callResult
}

// lastCallNumber is the number in the newest ID that newID returned.
var lastCallNumber atomic.Int64

func newID() string { return fmt.Sprintf("call-%d", lastCallNumber.Add(1)) }

// stream sends requests at a steady rate, whether or not earlier ones were
// answered.
type stream struct {
	stop    chan struct{}
	stopped chan struct{} // closed when no further call will start
	calls   sync.WaitGroup
	mu      sync.Mutex
	sent    []sent
}

// startStream starts a stream of requests of one organisation. pick returns the
// instance for the nth request; headers are pairs of a name and a value.
func startStream(method, organisation string, perSecond int, pick func(n int) *instance, headers ...string) *stream {
	s := &stream{
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go func() {
		defer close(s.stopped)
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-s.stop:
				return
			case <-ticker.C:
			}
			r := pick(n)
			s.calls.Go(func() { s.sendOne(r, method, organisation, headers) })
		}
	}()
	return s
}

func (s *stream) sendOne(r *instance, method, organisation string, headers []string) {
	id := newID()
	// Each request has a path of its own, so that the quarantine doesn't count
	// two of them as the same request.
	a := r.call(method, "/bookings/"+id, keys[organisation], "tanker", append([]string{"X-Execution", id}, headers...)...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, sent{
		id:         id,
		callResult: a,
	})
}

// end stops the stream, waits for the results of all calls and returns them.
func (s *stream) end() []sent {
	close(s.stop)
	<-s.stopped
	s.calls.Wait()
	return s.sent
}

// sleep pauses the test while the processes and streams go on.
func sleep(d time.Duration) {
	<-time.After(d)
}

// checkAtMostOnce checks that no request ran twice, that no request refused as
// not run did run, and that each request answered with status 200 ran once. It
// returns the number of answers with status 200.
func (f *fleet) checkAtMostOnce(t *testing.T, all []sent) int {
	t.Helper()
	is := is.New(t)
	counts := f.executions()
	complete := 0
	for _, s := range all {
		n := counts[s.id]
		if n > 1 {
			t.Errorf("%s ran %d times: %+v", s.id, n, s.callResult)
		}
		if s.refused() && n != 0 {
			t.Errorf("%s was reported as not run, but ran: %+v", s.id, s.callResult)
		}
		if s.err == nil && s.status == http.StatusOK {
			complete++
			is.Equal(n, 1)
		}
	}
	return complete
}

// tally counts the results by status, outcome and reason. Calls without a
// complete response count as "error".
func tally(all []sent) map[string]int {
	counts := map[string]int{}
	for _, s := range all {
		if s.err != nil {
			counts["error"]++
			continue
		}
		counts[fmt.Sprintf("%d %s %s", s.status, s.outcome, s.reason)]++
	}
	return counts
}
