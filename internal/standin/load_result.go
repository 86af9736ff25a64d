package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

const headerIdempotencyKey = "Idempotency-Key"

// Values of HeaderOutcome.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// Limits of the results.
const (
	maxLatencyMicroseconds = 10 * 60 * 1_000_000
	histogramDigits        = 3
	maxReplyBytes          = 16 << 20
)

// Summary is the result of a load.
type Summary struct {
	// Seconds is the duration of the load.
	Seconds       float64
	All           CallerSummary
	Organisations []CallerSummary
	// Executions says how often requests were executed, from the targets'
	// counts. It is the zero value if the load has no targets.
	Executions ExecutionSummary
	// KeysSeen is the number of requests that contained a forbidden key (see
	// Target.ForbidKeys) when they reached a target, summed over the targets since
	// their start, not only in this load.
	KeysSeen uint64
}

// CallerSummary is the result of one caller or of all callers together.
type CallerSummary struct {
	Organisation string
	Sent         int
	// Skipped is the number of requests that weren't sent because too many were
	// in flight.
	Skipped int
	// Whole is the number of complete answers with status 200 that belong to the
	// request.
	Whole int
	// Wrong is the number of answers with status 200 that belong to another
	// request.
	Wrong int
	// Failed is the number of requests without a complete answer, because the
	// connection broke or the time limit passed.
	Failed int
	// Statuses counts the answers by status.
	Statuses map[string]int
	// NotRun is the number of requests whose every attempt was answered with the
	// outcome "not-run".
	NotRun int
	// Unknown is the number of requests whose final outcome is "unknown". A final
	// "not-run" after an attempt with any other outcome counts as "unknown".
	Unknown int
	// LatencyMilliseconds holds the latencies of the answers counted in Whole.
	LatencyMilliseconds Percentiles
}

// Percentiles holds percentiles of the latency in milliseconds, measured from
// the scheduled time of a request to the last byte of its answer.
type Percentiles struct {
	P50  float64
	P90  float64
	P99  float64
	P999 float64
	Max  float64
}

// ExecutionSummary compares the answers to callers with the targets' counts of
// executions.
type ExecutionSummary struct {
	// Counted reports whether the targets' counts were read.
	Counted bool
	// Once is the number of requests that were executed once, Repeated of those
	// that were executed more often, and Never of those that weren't executed.
	Once     int
	Repeated int
	Never    int
	// NotRunButRan is the number of requests that were executed although the
	// answer said "not-run".
	NotRunButRan int
	// WholeButNever is the number of whole answers to requests that were never
	// executed.
	WholeButNever int
	// Examples holds the IDs of up to ten requests counted in Repeated,
	// NotRunButRan or WholeButNever.
	Examples []string
}

// result is the result of one request.
type result struct {
	status  int
	outcome string
	whole   bool
	wrong   bool
	failed  bool
	latency time.Duration
}

// sendUntilWhole sends a request until it gets a whole answer or has no resends
// left. The outcome is "not-run" only if it was that at every attempt.
func (r *loadRun) sendUntilWhole(ctx context.Context, caller int, seed uint64, id string) result {
	random := rand.New(rand.NewPCG(seed, 0))
	notRun := true
	for attempt := 0; ; attempt++ {
		entry := r.load.Entries[random.IntN(len(r.load.Entries))]
		end := r.send(ctx, caller, entry, id)
		notRun = notRun && end.outcome == outcomeNotRun
		if end.outcome == outcomeNotRun && !notRun {
			end.outcome = outcomeUnknown
		}
		if end.whole || attempt == r.load.Resends || ctx.Err() != nil {
			return end
		}
	}
}

// send sends one request and reads the answer to its end.
func (r *loadRun) send(ctx context.Context, caller int, entry, id string) result {
	var body io.Reader
	if r.load.BodyBytes > 0 {
		body = bytes.NewReader(make([]byte, r.load.BodyBytes))
	}
	request, err := http.NewRequestWithContext(ctx, r.load.Method, entry+r.load.Path, body)
	if err != nil {
		return result{
			failed: true,
		}
	}
	request.Host = r.load.Host
	request.Header.Set(HeaderExecution, id)
	if key := r.load.Callers[caller].Key; key != "" {
		request.Header.Set(r.load.KeyHeader, key)
	}
	if r.load.Keyed {
		request.Header.Set(headerIdempotencyKey, id)
	}
	if r.load.Crash {
		request.Header.Set(HeaderCrash, "1")
	}
	answer, err := r.client.Do(request)
	if err != nil {
		return result{
			failed: true,
		}
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxReplyBytes))
	end := result{
		status:  answer.StatusCode,
		outcome: answer.Header.Get(HeaderOutcome),
		failed:  err != nil,
	}
	if err == nil && answer.StatusCode == http.StatusOK {
		var reply Reply
		own := json.Unmarshal(content, &reply) == nil && reply.Execution == id
		end.whole, end.wrong = own, !own
	}
	return end
}

// tally adds up results.
type tally struct {
	mu         *sync.Mutex
	callers    []CallerSummary
	histograms []*hdrhistogram.Histogram
	// results holds the result of each request, by ID.
	results map[string]result
}

func newTally(callers []Caller) tally {
	t := tally{
		mu:      &sync.Mutex{},
		results: map[string]result{},
	}
	for _, c := range callers {
		t.callers = append(t.callers, newCallerSummary(c.Organisation))
		t.histograms = append(t.histograms, newHistogram())
	}
	return t
}

func newCallerSummary(organisation string) CallerSummary {
	return CallerSummary{
		Organisation: organisation,
		Statuses:     map[string]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicroseconds, histogramDigits)
}

func (t *tally) skip(caller int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callers[caller].Skipped++
}

func (t *tally) add(caller int, id string, r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results[id] = r
	s := &t.callers[caller]
	s.Sent++
	if r.status != 0 {
		s.Statuses[strconv.Itoa(r.status)]++
	}
	if r.failed {
		s.Failed++
	}
	if r.wrong {
		s.Wrong++
	}
	switch r.outcome {
	case outcomeNotRun:
		s.NotRun++
	case outcomeUnknown:
		s.Unknown++
	}
	if r.whole {
		s.Whole++
		_ = t.histograms[caller].RecordValue(min(r.latency.Microseconds(), maxLatencyMicroseconds))
	}
}

func (t *tally) summary(took time.Duration) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, histogram := newCallerSummary("(all)"), newHistogram()
	for i := range t.callers {
		t.callers[i].LatencyMilliseconds = percentiles(t.histograms[i])
		all.addCounts(t.callers[i])
		histogram.Merge(t.histograms[i])
	}
	all.LatencyMilliseconds = percentiles(histogram)
	return Summary{
		Seconds:       took.Seconds(),
		All:           all,
		Organisations: t.callers,
	}
}

// addCounts adds another caller's counts.
func (s *CallerSummary) addCounts(o CallerSummary) {
	s.Sent += o.Sent
	s.Skipped += o.Skipped
	s.Whole += o.Whole
	s.Wrong += o.Wrong
	s.Failed += o.Failed
	s.NotRun += o.NotRun
	s.Unknown += o.Unknown
	for status, n := range o.Statuses {
		s.Statuses[status] += n
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{
		P50:  at(50),
		P90:  at(90),
		P99:  at(99),
		P999: at(99.9),
		Max:  float64(h.Max()) / 1000,
	}
}

// forbidKeys tells the targets which keys they must never receive.
func (r *loadRun) forbidKeys(ctx context.Context) error {
	var keys []string
	for _, c := range r.load.Callers {
		if c.Key != "" {
			keys = append(keys, c.Key)
		}
	}
	content, _ := json.Marshal(keys)
	for _, t := range r.load.Targets {
		if _, err := r.callAdmin(ctx, http.MethodPut, t+"/keys", content); err != nil {
			return err
		}
	}
	return nil
}

// collectExecutions reads the targets' counts and adds them to the summary.
func (r *loadRun) collectExecutions(ctx context.Context, s *Summary) error {
	if len(r.load.Targets) == 0 {
		return nil
	}
	executions := map[string]int{}
	for _, t := range r.load.Targets {
		var part map[string]int
		if err := r.getReport(ctx, t+"/executions", &part); err != nil {
			return err
		}
		for id, n := range part {
			executions[id] += n
		}
		var targets []wireTarget
		if err := r.getReport(ctx, t+"/targets", &targets); err != nil {
			return err
		}
		for _, target := range targets {
			s.KeysSeen += target.Counts.KeysSeen
		}
	}
	s.Executions = r.tally.compareExecutions(executions)
	return nil
}

func (r *loadRun) getReport(ctx context.Context, url string, value any) error {
	content, err := r.callAdmin(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, value); err != nil {
		return errors.Wrap(ErrLoad, err.Error())
	}
	return nil
}

func (r *loadRun) callAdmin(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(ErrLoad, err.Error())
	}
	answer, err := r.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(ErrLoad, err.Error())
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, errors.Wrap(ErrLoad, err.Error())
	}
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrLoad, "%s: status %d", url, answer.StatusCode)
	}
	return content, nil
}

// compareExecutions compares the result of each request with the number of its
// executions.
func (t *tally) compareExecutions(executions map[string]int) ExecutionSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := ExecutionSummary{
		Counted: true,
	}
	example := func(id string) {
		if len(s.Examples) < 10 {
			s.Examples = append(s.Examples, id)
		}
	}
	for id, end := range t.results {
		n := executions[id]
		switch n {
		case 0:
			s.Never++
		case 1:
			s.Once++
		default:
			s.Repeated++
			example(id)
		}
		if n > 0 && end.outcome == outcomeNotRun {
			s.NotRunButRan++
			example(id)
		}
		if n == 0 && end.whole {
			s.WholeButNever++
			example(id)
		}
	}
	return s
}
