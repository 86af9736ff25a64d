package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/gateway"
	"dandelionmux/internal/standin"
	"dandelionmux/internal/story"
)

const (
	// noticeTime is how long an instance may take to notice that its links are gone or
	// back.
	noticeTime = time.Second
	// maxWait is the longest that a request that reaches no target may be held.
	maxWait = time.Second
)

// linkShapes are the ways in which an instance loses its links to targets.
var linkShapes = []struct {
	name  string
	state linkState
}{
	{
		name:  "packets lost",
		state: linksSilent,
	},
	{
		name:  "connections reset",
		state: linksReset,
	},
	{
		name:  "only new connections fail",
		state: linksClosed,
	},
}

// reply is what a caller got for a request.
type reply struct {
	status     int
	took       time.Duration
	retryAfter string
	sentAt     time.Time
	method     string
	// execution counts the request's runs at the targets.
	execution string
}

// exchange sends a request, whose runs are counted, to an instance.
func (f *testFleet) exchange(g *gateway.Gateway, method, path, execution string) reply {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+g.EntryAddress()+path, strings.NewReader("body"))
	is.New(f.t).NoErr(err)
	r.Header.Set("Authorization", "Bearer key-1")
	r.Header.Set(standin.HeaderExecution, execution)
	out := reply{
		sentAt:    time.Now(),
		method:    method,
		execution: execution,
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		out.took = time.Since(out.sentAt)
		return out
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	out.took = time.Since(out.sentAt)
	out.status = response.StatusCode
	out.retryAfter = response.Header.Get("Retry-After")
	return out
}

// runs returns how often targets ran the request with the id.
func (f *testFleet) runs(execution string) int {
	all := 0
	for _, s := range f.targets {
		all += s.Executions()[execution]
	}
	return all
}

// newLinkFleet starts six instances in two zones and two services.
func newLinkFleet(t *testing.T) *testFleet {
	t.Helper()
	f := newTestFleet(t, 3, 4)
	f.startTargets("mill", 3)
	for range 3 {
		f.startInstance("b")
	}
	f.awaitMembers()
	for _, g := range f.instances {
		f.await(func() bool { return f.send(g, http.MethodGet, "/mill/1", "key-1") == http.StatusOK })
		f.await(func() bool { return f.send(g, http.MethodGet, "/one/1", "key-1") == http.StatusOK })
	}
	return f
}

// withoutLinks are the instances of a link fleet that lose their links: the whole zone a,
// and one of zone b.
var withoutLinks = []int{0, 1, 2, 3}

// cutLinks sets the state of the links of some instances.
func (f *testFleet) cutLinks(instances []int, s linkState) {
	for _, i := range instances {
		f.links[i].set(s)
	}
}

// Guards against an instance that holds or refuses its callers because it has lost its
// links to all targets, while other instances have theirs.
func TestCallersOfInstanceWithoutLinksAreServed(t *testing.T) {
	const (
		rounds = 30
		pause  = 100 * time.Millisecond
	)
	for _, shape := range linkShapes {
		t.Run(shape.name, func(t *testing.T) {
			is := is.New(t)
			f := newLinkFleet(t)
			f.cutLinks(withoutLinks, shape.state)
			cutAt := time.Now()
			var mu sync.Mutex
			var replies []reply
			var calls sync.WaitGroup
			for n := range rounds {
				for _, i := range withoutLinks {
					for k, path := range []string{"/one/1", "/mill/1"} {
						method := []string{http.MethodGet, http.MethodPost}[(n+k)%2]
						calls.Go(func() {
							out := f.exchange(f.instances[i], method, path, fmt.Sprintf("%d-%d-%d", n, i, k))
							mu.Lock()
							defer mu.Unlock()
							replies = append(replies, out)
						})
					}
				}
				time.Sleep(pause)
			}
			calls.Wait()
			for _, out := range replies {
				if out.sentAt.Sub(cutAt) > noticeTime {
					if out.status != http.StatusOK {
						t.Logf("sent %v after the loss: %+v", out.sentAt.Sub(cutAt), out)
						f.logLines("Status=50", "impaired", "links to service", "no instance reaches", "did not answer", "restored")
					}
					is.Equal(out.status, http.StatusOK)
				}
				if out.status == http.StatusServiceUnavailable {
					is.True(out.took < maxWait)
					is.Equal(f.runs(out.execution), 0)
				}
				is.True(out.method == http.MethodGet || f.runs(out.execution) <= 1)
			}
		})
	}
}

// Guards against reads that are held by an instance that loses its links to the targets while
// they are in progress, though other instances could serve them. The retry budget has room
// for them, and writes, which need new connections, show the loss.
func TestReadsSentWhileLinksAreLostAreNotHeld(t *testing.T) {
	for _, shape := range linkShapes {
		t.Run(shape.name, func(t *testing.T) {
			f := newLinkFleet(t)
			f.cutLinks(withoutLinks, shape.state)
			var calls sync.WaitGroup
			for _, i := range withoutLinks {
				for _, path := range []string{"/one/1", "/mill/1"} {
					calls.Go(func() {
						out := f.exchange(f.instances[i], http.MethodGet, path, fmt.Sprint(i, path))
						if out.took >= noticeTime+maxWait {
							t.Errorf("read at instance %d was held: %+v", i, out)
						}
					})
					for range 3 {
						calls.Go(func() { f.exchange(f.instances[i], http.MethodPost, path, "") })
					}
				}
			}
			calls.Wait()
			if t.Failed() {
				f.logLines("Attempt=", "Status=50", "impaired", "links to service")
			}
		})
	}
}

// Guards against targets that are ejected everywhere because an instance without links
// reports the connections that it has lost.
func TestInstanceWithoutLinksBlamesNoTarget(t *testing.T) {
	for _, shape := range linkShapes {
		t.Run(shape.name, func(t *testing.T) {
			is := is.New(t)
			f := newLinkFleet(t)
			for _, s := range f.targets {
				// Requests take 0.3 s, so that some run when the links go.
				s.SetFaults(standin.TargetFaults{SlowFactor: 300})
			}
			var calls sync.WaitGroup
			for n := range 3 {
				for _, i := range withoutLinks {
					for k, path := range []string{"/one/1", "/mill/1"} {
						method := []string{http.MethodGet, http.MethodPost}[(n+k)%2]
						calls.Go(func() { f.exchange(f.instances[i], method, path, fmt.Sprintf("%d-%d-%d", n, i, k)) })
					}
				}
			}
			time.Sleep(100 * time.Millisecond)
			f.cutLinks(withoutLinks, shape.state)
			healthy := func(instances []*gateway.Gateway) bool {
				for _, g := range instances {
					content := f.metrics(g)
					for _, count := range []string{"Targets.desk.Healthy 4\n", "Targets.mill.Healthy 3\n"} {
						if !strings.Contains(content, count) {
							return false
						}
					}
				}
				return true
			}
			// Long enough for requests to time out at their targets.
			for range 40 {
				is.True(healthy(f.instances[len(withoutLinks):]))
				time.Sleep(100 * time.Millisecond)
			}
			f.cutLinks(withoutLinks, linksUp)
			time.Sleep(noticeTime)
			is.True(healthy(f.instances))
			calls.Wait()
			is.True(healthy(f.instances))
			is.True(!strings.Contains(f.log.String(), "msg=strike"))
		})
	}
}

// processorWait returns for how long the threads of this process have waited for a processor,
// together, as the kernel counts it.
func processorWait(t *testing.T) time.Duration {
	t.Helper()
	is := is.New(t)
	paths, err := filepath.Glob("/proc/self/task/*/schedstat")
	is.NoErr(err)
	sum := time.Duration(0)
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		var running, waiting int64
		_, err = fmt.Sscan(string(content), &running, &waiting)
		is.NoErr(err)
		sum += time.Duration(waiting)
	}
	return sum
}

// Guards against callers that wait although it is known that no instance has links to the
// targets. What the process has to wait for a processor isn't held against it.
func TestRequestsAreRefusedAtOnceIfNoInstanceHasLinks(t *testing.T) {
	for _, shape := range linkShapes {
		t.Run(shape.name, func(t *testing.T) {
			is := is.New(t)
			f := newLinkFleet(t)
			all := []int{0, 1, 2, 3, 4, 5}
			f.cutLinks(all, shape.state)
			var calls sync.WaitGroup
			for _, i := range all {
				calls.Go(func() { f.exchange(f.instances[i], http.MethodPost, "/one/1", "") })
				calls.Go(func() { f.exchange(f.instances[i], http.MethodPost, "/mill/1", "") })
			}
			calls.Wait()
			time.Sleep(noticeTime)
			for n := range 20 {
				for _, i := range all {
					before := processorWait(t)
					out := f.exchange(f.instances[i], http.MethodPost, "/one/1", fmt.Sprintf("%d-%d", n, i))
					waited := processorWait(t) - before
					if out.took-waited >= 100*time.Millisecond {
						t.Logf("instance %d, sent at %v, waited %v for a processor: %+v", i, out.sentAt, waited, out)
						f.logLines("Status=50", "relayed", "impaired", "links to service", "no instance reaches", "did not answer", "restored")
					}
					is.Equal(out.status, http.StatusServiceUnavailable)
					is.True(out.retryAfter != "")
					is.True(out.took-waited < 100*time.Millisecond)
					is.Equal(f.runs(out.execution), 0)
				}
			}
			f.cutLinks(all, linksUp)
			time.Sleep(noticeTime)
			for _, i := range all {
				is.Equal(f.exchange(f.instances[i], http.MethodPost, "/one/1", "").status, http.StatusOK)
			}
		})
	}
}

// maxAttempts is how many targets a read on a route without a limit of its own may reach.
const maxAttempts = 3

// Guards against reads that run at more targets than their route allows, over all instances
// through which they go while links are lost and targets hang. There is time for each of these
// instances to give up some.
func TestReadsStayWithinTheirAttemptsWhileLinksAreLost(t *testing.T) {
	const (
		// Few enough for the retry budgets.
		readsPerInstance = 1
		timeout          = 10 * time.Second
	)
	f := newLinkFleet(t)
	f.configure(configuration{
		Revision: 2,
		Keys:     []string{"key-1"},
		Path:     "/one",
		Timeout:  timeout,
	})
	inForce := `msg="configuration in force"`
	f.await(func() bool { return strings.Count(f.log.String(), inForce) == 2*len(f.instances) })
	f.cutLinks(withoutLinks, linksReset)
	f.await(func() bool { return f.exchange(f.instances[0], http.MethodPost, "/one/1", "").status == http.StatusOK })
	for _, s := range f.targets {
		s.SetFaults(standin.TargetFaults{Hang: true})
	}
	var calls sync.WaitGroup
	for n := range readsPerInstance {
		for _, i := range withoutLinks {
			calls.Go(func() { f.exchange(f.instances[i], http.MethodGet, "/one/1", fmt.Sprintf("%d-%d", n, i)) })
		}
	}
	calls.Wait()
	for n := range readsPerInstance {
		for _, i := range withoutLinks {
			if runs := f.runs(fmt.Sprintf("%d-%d", n, i)); runs > maxAttempts {
				t.Errorf("a read at instance %d ran %d times, %d allowed", i, runs, maxAttempts)
			}
		}
	}
}

// Guards against a stop that cuts off a request that another instance has sent, or that goes
// on accepting such requests.
func TestStopFinishesRelayedRequests(t *testing.T) {
	is := is.New(t)
	f := newLinkFleet(t)
	// Only instance 5 has links.
	cut := []int{0, 1, 2, 3, 4}
	f.cutLinks(cut, linksReset)
	f.await(func() bool { return f.exchange(f.instances[0], http.MethodPost, "/one/1", "").status == http.StatusOK })
	for _, s := range f.targets {
		s.SetFaults(standin.TargetFaults{SlowFactor: 1500})
	}
	before := f.arrivals()
	replies := make(chan reply)
	go func() { replies <- f.exchange(f.instances[0], http.MethodPost, "/one/1", "x") }()
	f.await(func() bool { return f.arrivals() > before })
	stopped := make(chan error)
	go func() { stopped <- f.instances[5].Stop(context.Background()) }()
	is.Equal((<-replies).status, http.StatusOK)
	is.NoErr(<-stopped)
	is.Equal(f.runs("x"), 1)
	is.Equal(f.exchange(f.instances[0], http.MethodPost, "/one/1", "y").status, http.StatusServiceUnavailable)
	is.Equal(f.runs("y"), 0)
}

// Guards against logs in which a request that went through another instance can't be
// followed by its id.
func TestLogsExplainRelayedRequest(t *testing.T) {
	is := is.New(t)
	f := newLinkFleet(t)
	f.cutLinks(withoutLinks, linksReset)
	f.await(func() bool { return f.exchange(f.instances[0], http.MethodPost, "/one/1", "").status == http.StatusOK })
	f.await(func() bool { return strings.Contains(f.log.String(), "msg=answered") })
	lines, err := story.Read(strings.NewReader(f.log.String()))
	is.NoErr(err)
	found := false
	for _, l := range lines {
		if l.Message != "relayed" {
			continue
		}
		instances := map[string][]string{}
		for _, line := range story.ForRequest(l.Fields["Request"], lines) {
			instances[line.Message] = append(instances[line.Message], line.Fields["Instance"])
		}
		if len(instances["answered"]) == 2 {
			found = true
			is.Equal(len(instances["relayed request received"]), len(instances["relayed"]))
			is.True(instances["placed"][len(instances["placed"])-1] != instances["relayed"][0])
		}
	}
	is.True(found)
}
