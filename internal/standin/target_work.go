package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// coldWorkFactor multiplies the work time of a target that has just started.
const coldWorkFactor = 10

// Reply is the body of a target's answer.
type Reply struct {
	Target       string
	Execution    string
	Organisation string
	Method       string
	Path         string
	// BodyBytes is the length of the request's body.
	BodyBytes int
}

func (t *Target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	t.counts.Probes++
	unhealthy := t.faults.Unhealthy
	t.mu.Unlock()
	if unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) serveLoad(w http.ResponseWriter) {
	t.mu.Lock()
	load := struct {
		Running int
		Waiting int
	}{
		Running: t.running,
		Waiting: t.waiting,
	}
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

// serveWork processes one request, with the faults that are set when it
// arrives.
func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	f := t.recordArrival(r)
	reused := onReusedConnection(r)
	if f.Death == DeathBefore || f.Death == DeathReused && reused {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maximumTargetBody))
	if err != nil {
		// The request is incomplete, so it must not be executed.
		panic(http.ErrAbortHandler)
	}
	if f.Drain {
		w.Header().Set(HeaderDrain, "true")
	}
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	ctx, cancel := requestContext(r)
	defer cancel()
	if f.Shed || !t.takeSlot(ctx) {
		t.shed(w)
		return
	}
	defer t.freeSlot()
	fails := t.execute(r, f)
	if r.Header.Get(HeaderCrash) != "" {
		t.crashOnRequest()
	}
	if f.Death == DeathDuring {
		panic(http.ErrAbortHandler)
	}
	if f.Hang {
		<-ctx.Done()
	}
	if !wait(ctx, t.workTimeWith(f)) {
		t.answerCancelled(w, r)
		return
	}
	if f.Death == DeathAfter {
		panic(http.ErrAbortHandler)
	}
	t.answer(w, r, f, fails, len(body))
}

// servedKey is the context key of the number of requests that a connection has served,
// an *atomic.Int64.
type servedKey struct{}

// withServedCount is an http.Server's ConnContext that counts the requests of each
// connection.
func withServedCount(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, servedKey{}, &atomic.Int64{})
}

// onReusedConnection counts a request, and reports whether its connection has served
// another one before.
func onReusedConnection(r *http.Request) bool {
	served, ok := r.Context().Value(servedKey{}).(*atomic.Int64)
	return ok && served.Add(1) > 1
}

// recordArrival counts a request, and checks it for forbidden keys. It returns
// the current faults.
func (t *Target) recordArrival(r *http.Request) TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Arrived++
	if r.Header.Get(HeaderRequest) == "" {
		t.counts.WithoutRequestID++
	}
	if containsKey(r, t.forbiddenKeys) {
		t.counts.KeysSeen++
	}
	return t.faults
}

func containsKey(r *http.Request, keys []string) bool {
	for _, k := range keys {
		if strings.Contains(r.URL.RawQuery, k) || strings.Contains(r.URL.Path, k) {
			return true
		}
		for _, values := range r.Header {
			if strings.Contains(strings.Join(values, "\n"), k) {
				return true
			}
		}
	}
	return false
}

// requestContext returns a context that ends after the time in HeaderTimeout.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.Atoi(r.Header.Get(HeaderTimeout))
	if err != nil || left < 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
}

// takeSlot waits in the queue for a slot. It returns false if the queue is full
// or the context ended.
func (t *Target) takeSlot(ctx context.Context) bool {
	select {
	case t.busySlots <- struct{}{}:
		return true
	default:
	}
	t.mu.Lock()
	full := t.waiting >= t.queue
	if !full {
		t.waiting++
	}
	t.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case t.busySlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) freeSlot() {
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	<-t.busySlots
}

func (t *Target) shed(w http.ResponseWriter) {
	t.mu.Lock()
	t.counts.Shed++
	wait := cmp.Or(t.faults.RetryAfter, "1")
	t.mu.Unlock()
	w.Header().Set(HeaderShed, "true")
	w.Header().Set("Retry-After", wait)
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// execute performs the effect of a request, which is to count its execution. It
// returns whether GrayFraction makes the request fail.
func (t *Target) execute(r *http.Request, f TargetFaults) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Executed++
	t.running++
	t.counts.MostRunning = max(t.counts.MostRunning, t.running)
	id := r.Header.Get(HeaderExecution)
	if id != "" && len(t.executions) < maxExecutionIDs {
		t.executions[id]++
	}
	return t.random.Float64() < f.GrayFraction
}

func (t *Target) crashOnRequest() {
	t.mu.Lock()
	t.counts.Crashes++
	t.mu.Unlock()
	t.onCrash()
	panic(http.ErrAbortHandler)
}

func (t *Target) answerCancelled(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.counts.Cancelled++
	t.mu.Unlock()
	if r.Context().Err() == nil {
		http.Error(w, "the time limit passed during the execution", http.StatusGatewayTimeout)
	}
}

// CurrentWorkTime returns how long an execution takes now.
func (t *Target) CurrentWorkTime() time.Duration {
	return t.workTimeWith(t.Faults())
}

func (t *Target) workTimeWith(f TargetFaults) time.Duration {
	factor := 1.0
	if f.SlowFactor > 0 {
		factor = f.SlowFactor
	}
	t.mu.Lock()
	age := time.Since(t.startedAt)
	t.mu.Unlock()
	if age < t.warmUpTime {
		left := 1 - float64(age)/float64(t.warmUpTime)
		factor *= 1 + (coldWorkFactor-1)*left
	}
	return time.Duration(float64(t.workTime) * factor)
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, f TargetFaults, fails bool, bodyBytes int) {
	reply := Reply{
		Target:       t.name,
		Execution:    r.Header.Get(HeaderExecution),
		Organisation: r.Header.Get(HeaderOrganisation),
		Method:       r.Method,
		Path:         r.URL.Path,
		BodyBytes:    bodyBytes,
	}
	content, _ := json.Marshal(reply)
	otherID, otherContent := t.swapLastAnswer(r.Header.Get(HeaderRequest), content)
	if f.Cross {
		w.Header().Set(HeaderRequest, otherID)
		content = otherContent
	}
	w.Header().Set("Content-Type", "application/json")
	status := http.StatusOK
	if fails {
		status = http.StatusInternalServerError
	}
	if f.Truncate == TruncateLength {
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	}
	w.WriteHeader(status)
	if f.Truncate != "" {
		truncate(w, content)
	}
	_, _ = w.Write(content)
}

// truncate sends and flushes half of the content, and breaks the connection.
func truncate(w http.ResponseWriter, content []byte) {
	_, _ = w.Write(content[:len(content)/2])
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	panic(http.ErrAbortHandler)
}

// swapLastAnswer stores an answer for the next crossed one, and returns the
// previous answer.
func (t *Target) swapLastAnswer(id string, content []byte) (otherID string, otherContent []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	otherID, otherContent = t.lastID, t.lastBody
	if otherID == "" {
		otherID, otherContent = "another-request", []byte(`{"Execution":"another-request"}`)
	}
	t.lastID, t.lastBody = id, content
	return otherID, otherContent
}
