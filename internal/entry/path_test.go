package entry_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"dandelionmux/internal/entry"
)

// Guards against paths that are refused since a target may misread them, while neither a log line
// nor a counter tells operators which two routes are concerned.
func TestAmbiguousPathIsCountedAndNamesBothRoutes(t *testing.T) {
	is := is.New(t)
	e := newTestEnv(t, 1)
	var log bytes.Buffer
	registry := metrics.NewRegistry()
	h := entry.New(entry.Dependencies{
		Snapshots:  e,
		Admission:  e.admission,
		Claims:     e.claims,
		Dispatcher: e,
		Quarantine: e.quarantine,
	}, entry.WithLogger(slog.New(slog.NewTextHandler(&log, nil))), entry.WithMetrics(registry))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/public/%2e%2e/bookings/7", nil))
	is.Equal(w.Code, http.StatusNotFound)
	is.Equal(w.Header().Get(entry.OutcomeHeader), entry.OutcomeNotRun)
	if !strings.Contains(log.String(), `msg="ambiguous path"`) || !strings.Contains(log.String(), "Route=public Other=bookings") {
		t.Errorf("the log doesn't name both routes: %s", log.String())
	}
	counter, ok := registry.Get("Entry.Refused.not-run.ambiguous-path").(metrics.Counter)
	if !ok || counter.Count() != 1 {
		t.Errorf("the refusal isn't counted: %v", registry.GetAll())
	}
}
