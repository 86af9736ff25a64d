package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionmux/internal/usage"
)

const (
	// pacedRate is one instance's part of the fleet's peak load, in requests a
	// second. It is sent for pacedDuration.
	pacedRate       = 176
	pacedDuration   = 10 * time.Second
	unpacedDuration = 5 * time.Second
	// unpacedWorkers is how many callers send without a pause, each one request
	// after the other, for unpacedDuration.
	unpacedWorkers = 16
	// warmUpDuration is how long requests are sent before the measurement.
	warmUpDuration = 2 * time.Second
	// Range of the latencies in nanoseconds, and their significant digits.
	minLatency        = int64(time.Microsecond)
	maxLatency        = int64(10 * time.Second)
	significantDigits = 3
	keyHeader         = "X-Api-Key"
)

// overheadConfig has limits so high that only the instance itself limits the
// load.
var overheadConfig = config{
	slots: 256,
	rate:  200_000,
}

// Overhead measures the latency and processor time that an instance adds to a
// request, compared with direct requests to the same target from the same
// process, and prints the results.
func Overhead(ctx context.Context, out io.Writer) error {
	f, err := newFleet(ctx, slog.New(slog.DiscardHandler), overheadConfig)
	if err != nil {
		return err
	}
	defer f.close()
	direct := "http://" + f.targets[0].Address()
	proxied := f.entries()[0]
	f.sendPaced(ctx, proxied, warmUpDuration)
	for _, run := range []struct {
		name string
		url  string
	}{
		{"direct", direct},
		{"through an instance", proxied},
	} {
		m := f.sendPaced(ctx, run.url, pacedDuration)
		_, _ = fmt.Fprintf(out, "%d requests a second, %s: %s\n", pacedRate, run.name, m)
	}
	for _, run := range []struct {
		name string
		url  string
	}{
		{"direct", direct},
		{"through an instance", proxied},
	} {
		m := f.sendUnpaced(ctx, run.url)
		_, _ = fmt.Fprintf(out, "%d callers without a pause, %s: %s\n", unpacedWorkers, run.name, m)
	}
	return nil
}

// measurement holds the latencies of one run of requests, and the processor time
// that the whole process used meanwhile.
type measurement struct {
	mu            sync.Mutex
	latencies     *hdrhistogram.Histogram
	failed        atomic.Int64
	took          time.Duration
	processorTime time.Duration
}

func newMeasurement() *measurement {
	return &measurement{
		latencies: hdrhistogram.New(minLatency, maxLatency, significantDigits),
	}
}

// String returns the measurement in one line.
func (m *measurement) String() string {
	at := func(q float64) time.Duration {
		return time.Duration(m.latencies.ValueAtQuantile(q)).Round(time.Microsecond)
	}
	n := m.latencies.TotalCount()
	return fmt.Sprintf("n=%d failed=%d p50=%v p99=%v rate=%.0f/s processor=%v a request",
		n, m.failed.Load(), at(50), at(99), float64(n)/m.took.Seconds(),
		(m.processorTime / time.Duration(max(n, 1))).Round(time.Microsecond))
}

func (m *measurement) add(d time.Duration, ok bool) {
	if !ok {
		m.failed.Add(1)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.latencies.RecordValue(int64(d))
}

// sendPaced sends requests at pacedRate for the duration d, whether or not
// earlier ones were answered.
func (f *fleet) sendPaced(ctx context.Context, url string, d time.Duration) *measurement {
	client := newClient()
	defer client.CloseIdleConnections()
	return measure(func(m *measurement) {
		var requests sync.WaitGroup
		ticker := time.NewTicker(time.Second / pacedRate)
		defer ticker.Stop()
		for end := time.Now().Add(d); time.Now().Before(end); {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			requests.Go(func() { sendOne(client, url, m) })
		}
		requests.Wait()
	})
}

// sendUnpaced lets unpacedWorkers send requests without a pause.
func (f *fleet) sendUnpaced(ctx context.Context, url string) *measurement {
	client := newClient()
	defer client.CloseIdleConnections()
	return measure(func(m *measurement) {
		var workers sync.WaitGroup
		end := time.Now().Add(unpacedDuration)
		for range unpacedWorkers {
			workers.Go(func() {
				for time.Now().Before(end) && ctx.Err() == nil {
					sendOne(client, url, m)
				}
			})
		}
		workers.Wait()
	})
}

// measure runs f and measures how long it takes and how much processor time the
// process uses meanwhile.
func measure(f func(*measurement)) *measurement {
	m := newMeasurement()
	began, processorTimeBefore := time.Now(), usage.ProcessorTime()
	f(m)
	m.took = time.Since(began)
	m.processorTime = usage.ProcessorTime() - processorTimeBefore
	return m
}

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 2 * unpacedWorkers,
		},
	}
}

// sendOne sends one request and adds its latency to m.
func sendOne(client *http.Client, url string, m *measurement) {
	r, err := http.NewRequest(http.MethodGet, url+"/bookings", nil)
	if err != nil {
		m.add(0, false)
		return
	}
	r.Header.Set(keyHeader, steadyKey)
	began := time.Now()
	response, err := client.Do(r)
	if err != nil {
		m.add(0, false)
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	m.add(time.Since(began), err == nil && response.StatusCode == http.StatusOK)
}
