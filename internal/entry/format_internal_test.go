package entry

import (
	"maps"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// The tests of this file fail if the name of a metric or header changes. Callers,
// targets and readers of the metrics depend on these names.

func TestMetricsHaveFixedNames(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	m := newRequestMetrics(r)
	m.answered(204, time.Minute)
	m.refused(&Refusal{
		Status:     429,
		Reason:     "over-rate",
		MayHaveRun: false,
	})
	m.refused(&Refusal{
		Status:     502,
		Reason:     "target-sent",
		MayHaveRun: true,
	})
	got := slices.Sorted(maps.Keys(r.GetAll()))
	is.Equal(got, []string{
		"Entry.Answered.2xx",
		"Entry.Attempts",
		"Entry.Latency.Above",
		"Entry.Latency.Below.100ms",
		"Entry.Latency.Below.10ms",
		"Entry.Latency.Below.1ms",
		"Entry.Latency.Below.1s",
		"Entry.Latency.Below.250ms",
		"Entry.Latency.Below.25ms",
		"Entry.Latency.Below.2ms",
		"Entry.Latency.Below.500ms",
		"Entry.Latency.Below.50ms",
		"Entry.Latency.Below.5ms",
		"Entry.Latency.Below.5s",
		"Entry.Refused.not-run.over-rate",
		"Entry.Refused.unknown.target-sent",
		"Entry.Running",
	})
}

func TestRefusalsHaveFixedHeaders(t *testing.T) {
	tests := []struct {
		name       string
		mayHaveRun bool
		outcome    string
		body       string
	}{
		{
			name:    "not run",
			outcome: "not-run",
			body:    "over-rate, not-run\n",
		},
		{
			name:       "unknown",
			mayHaveRun: true,
			outcome:    "unknown",
			body:       "over-rate, unknown\n",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			r := &Refusal{
				Status:       429,
				Reason:       "over-rate",
				MayHaveRun:   tt.mayHaveRun,
				RetryAfter:   1500 * time.Millisecond,
				FirstRequest: "running",
			}
			r.write(w, DefaultDialect())
			is.Equal(w.Code, 429)
			is.Equal(map[string][]string(w.Header()), map[string][]string{
				"Content-Type":         {"text/plain; charset=utf-8"},
				"Dandelionmux-First":   {"running"},
				"Dandelionmux-Outcome": {tt.outcome},
				"Dandelionmux-Reason":  {"over-rate"},
				"Retry-After":          {"2"},
			})
			is.Equal(w.Body.String(), tt.body)
		})
	}
}

func TestHeadersToTargetsHaveFixedNames(t *testing.T) {
	is := is.New(t)
	is.Equal(DefaultDialect(), Dialect{
		RequestIDHeader:    "Dandelionmux-Request",
		TimeoutHeader:      "Dandelionmux-Timeout-Ms",
		OrganisationHeader: "Dandelionmux-Organisation",
		ShedHeader:         "Dandelionmux-Shed",
		DrainHeader:        "Dandelionmux-Drain",
	})
	is.Equal(headerPrefix, "Dandelionmux-")
}
