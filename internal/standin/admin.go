package standin

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// ErrAdmin reports that the body of an admin request is invalid.
var ErrAdmin = errors.New("bad admin request")

// The JSON formats of the faults, with durations as text, and of a target's
// report.
type (
	wireStoreFaults struct {
		Outage      bool
		Refuse      bool
		Frozen      bool
		Slow        string
		LoseAnswers int
		LoseWrites  bool
	}
	wireListFaults struct {
		Lag    string
		Slow   string
		Outage bool
		Stuck  bool
	}
	wireTarget struct {
		Name    string
		Address string
		Faults  TargetFaults
		Counts  TargetCounts
	}
)

// StoreReport is the response of a store's admin address to GET /report.
type StoreReport struct {
	// Calls is the number of calls by path of the protocol.
	Calls   map[string]uint64
	Watches int
}

// StoreAdmin returns the handler of a store's admin address: PUT /faults,
// GET /report and POST /compact.
func StoreAdmin(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var wire wireStoreFaults
		if !decodeAdmin(w, r, &wire) {
			return
		}
		slow, err := parseDuration(wire.Slow)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(StoreFaults{
			Outage:      wire.Outage,
			Refuse:      wire.Refuse,
			Frozen:      wire.Frozen,
			Slow:        slow,
			LoseAnswers: wire.LoseAnswers,
			LoseWrites:  wire.LoseWrites,
		})
	})
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, StoreReport{
			Calls:   s.Calls(),
			Watches: s.Watches(),
		})
	})
	mux.HandleFunc("POST /compact", func(http.ResponseWriter, *http.Request) { s.Compact() })
	return mux
}

// ListAdmin returns the handler of a list's admin address: PUT /faults.
func ListAdmin(l *List) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var wire wireListFaults
		if !decodeAdmin(w, r, &wire) {
			return
		}
		slow, slowErr := parseDuration(wire.Slow)
		lag, lagErr := parseDuration(wire.Lag)
		if err := errors.Join(slowErr, lagErr); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.SetFaults(ListFaults{
			Lag:    lag,
			Slow:   slow,
			Outage: wire.Outage,
			Stuck:  wire.Stuck,
		})
	})
	return mux
}

// TargetsAdmin returns the handler of the admin address of several targets:
// GET /targets, PUT /targets/NAME/faults, POST /targets/NAME/crash, PUT /keys
// with a list of keys that no target may receive, and GET /executions, which
// returns how often all targets together executed each request.
func TargetsAdmin(targets []*TargetServer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /targets", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, reportTargets(targets))
	})
	mux.HandleFunc("PUT /targets/{name}/faults", func(w http.ResponseWriter, r *http.Request) {
		t := findTarget(w, r, targets)
		var faults TargetFaults
		if t != nil && decodeAdmin(w, r, &faults) {
			t.SetFaults(faults)
		}
	})
	mux.HandleFunc("POST /targets/{name}/crash", func(w http.ResponseWriter, r *http.Request) {
		if t := findTarget(w, r, targets); t != nil {
			t.Crash()
		}
	})
	mux.HandleFunc("PUT /keys", func(w http.ResponseWriter, r *http.Request) {
		var keys []string
		if !decodeAdmin(w, r, &keys) {
			return
		}
		for _, t := range targets {
			t.ForbidKeys(keys...)
		}
	})
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, sumExecutions(targets))
	})
	return mux
}

func findTarget(w http.ResponseWriter, r *http.Request, targets []*TargetServer) *TargetServer {
	for _, t := range targets {
		if t.Name() == r.PathValue("name") {
			return t
		}
	}
	http.Error(w, "unknown target", http.StatusNotFound)
	return nil
}

func reportTargets(targets []*TargetServer) []wireTarget {
	report := make([]wireTarget, len(targets))
	for i, t := range targets {
		report[i] = wireTarget{
			Name:    t.Name(),
			Address: t.Address(),
			Faults:  t.Faults(),
			Counts:  t.Counts(),
		}
	}
	return report
}

func sumExecutions(targets []*TargetServer) map[string]int {
	sum := map[string]int{}
	for _, t := range targets {
		for id, n := range t.Executions() {
			sum[id] += n
		}
	}
	return sum
}

// decodeAdmin decodes the request's body. If the body is invalid, it answers
// with status 400 and returns false.
func decodeAdmin(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, errors.Wrap(ErrAdmin, err.Error()).Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func parseDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, errors.Wrapf(ErrAdmin, "%q is not a duration such as 200ms", text)
	}
	return d, nil
}

// discardLogger returns the logger of servers that break connections on
// purpose, whose errors are expected.
func discardLogger() *log.Logger {
	return log.New(io.Discard, "", 0)
}
