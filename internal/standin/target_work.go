package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// coldFactor multiplies the work time of a target that has just begun.
const coldFactor = 10

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

// serveWork leads one request through its life, with the faults that are set
// when it arrives.
func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	f := t.arrive(r)
	if f.Death == DeathBefore {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maximumTargetBody))
	if err != nil {
		// The caller broke off, so the request is not whole and must not run.
		panic(http.ErrAbortHandler)
	}
	if f.Drain {
		w.Header().Set(HeaderDrain, "true")
	}
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	ctx, cancel := deadline(r)
	defer cancel()
	if f.Shed || !t.takeSlot(ctx) {
		t.shed(w)
		return
	}
	defer t.freeSlot()
	fails := t.execute(r, f)
	if r.Header.Get(HeaderCrash) != "" {
		t.die()
	}
	if f.Death == DeathDuring {
		panic(http.ErrAbortHandler)
	}
	if f.Hang {
		<-ctx.Done()
	}
	if !wait(ctx, t.duration(f)) {
		t.cancelled(w, r)
		return
	}
	if f.Death == DeathAfter {
		panic(http.ErrAbortHandler)
	}
	t.answer(w, r, f, fails, len(body))
}

// arrive counts a request and looks for keys in it.
func (t *Target) arrive(r *http.Request) TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Arrived++
	if r.Header.Get(HeaderRequest) == "" {
		t.counts.WithoutRequestID++
	}
	if holdsKey(r, t.keys) {
		t.counts.KeysSeen++
	}
	return t.faults
}

func holdsKey(r *http.Request, keys []string) bool {
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

// deadline bounds a request by the time that the fleet says is left.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.Atoi(r.Header.Get(HeaderTimeout))
	if err != nil || left < 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
}

// takeSlot waits in the queue for a slot. It returns false if the queue is
// full or the time is over.
func (t *Target) takeSlot(ctx context.Context) bool {
	select {
	case t.occupied <- struct{}{}:
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
	case t.occupied <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) freeSlot() {
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	<-t.occupied
}

func (t *Target) shed(w http.ResponseWriter) {
	t.mu.Lock()
	t.counts.Shed++
	t.mu.Unlock()
	w.Header().Set(HeaderShed, "true")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// execute is the request's effect: it is counted, once for each run. It
// returns whether this request fails gray.
func (t *Target) execute(r *http.Request, f TargetFaults) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Executed++
	t.running++
	t.counts.MostRunning = max(t.counts.MostRunning, t.running)
	id := r.Header.Get(HeaderExecution)
	if id != "" && len(t.executions) < maximumExecutions {
		t.executions[id]++
	}
	return t.random.Float64() < f.GrayFraction
}

func (t *Target) die() {
	t.mu.Lock()
	t.counts.Crashes++
	t.mu.Unlock()
	t.crash()
	panic(http.ErrAbortHandler)
}

func (t *Target) cancelled(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.counts.Cancelled++
	t.mu.Unlock()
	if r.Context().Err() == nil {
		http.Error(w, "the deadline passed while running", http.StatusGatewayTimeout)
	}
}

// CurrentWorkTime is how long a run takes now.
func (t *Target) CurrentWorkTime() time.Duration {
	return t.duration(t.Faults())
}

func (t *Target) duration(f TargetFaults) time.Duration {
	factor := 1.0
	if f.SlowFactor > 0 {
		factor = f.SlowFactor
	}
	t.mu.Lock()
	age := time.Since(t.begun)
	t.mu.Unlock()
	if age < t.coldTerm {
		left := 1 - float64(age)/float64(t.coldTerm)
		factor *= 1 + (coldFactor-1)*left
	}
	return time.Duration(float64(t.work) * factor)
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
	otherID, otherContent := t.remember(r.Header.Get(HeaderRequest), content)
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
		cutShort(w, content)
	}
	_, _ = w.Write(content)
}

// cutShort sends half of the content, so that it arrives, and breaks the
// connection.
func cutShort(w http.ResponseWriter, content []byte) {
	_, _ = w.Write(content[:len(content)/2])
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	panic(http.ErrAbortHandler)
}

// remember keeps an answer for the one to be crossed with it next, and returns
// the one before.
func (t *Target) remember(id string, content []byte) (otherID string, otherContent []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	otherID, otherContent = t.lastID, t.lastBody
	if otherID == "" {
		otherID, otherContent = "another-request", []byte(`{"Execution":"another-request"}`)
	}
	t.lastID, t.lastBody = id, content
	return otherID, otherContent
}
