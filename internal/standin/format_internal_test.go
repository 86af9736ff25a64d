package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// These tests fail if a name in a format that the stand-ins read or write
// changes: load tools and scripts could no longer use it.

// checkFormat checks that a value is encoded as the given text and decoded from
// it.
func checkFormat[T any](t *testing.T, value T, encoded string) {
	t.Helper()
	is := is.New(t)
	content, err := json.Marshal(value)
	is.NoErr(err)
	is.Equal(string(content), encoded)
	var got T
	is.NoErr(json.Unmarshal([]byte(encoded), &got))
	is.Equal(got, value)
}

// put sends a body to an admin address and returns the status.
func put(h http.Handler, path, body string) int {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPut, path, strings.NewReader(body)))
	return w.Code
}

func TestStoreTakesFaultsUnderFixedNames(t *testing.T) {
	is := is.New(t)
	const encoded = `{"Outage":true,"Refuse":true,"Frozen":true,"Slow":"200ms","LoseAnswers":3,"LoseWrites":true}`
	s := NewStore()
	is.Equal(put(StoreAdmin(s), "/faults", encoded), http.StatusOK)
	is.Equal(s.Faults(), StoreFaults{
		Outage:      true,
		Refuse:      true,
		Frozen:      true,
		Slow:        200 * time.Millisecond,
		LoseAnswers: 3,
		LoseWrites:  true,
	})
	checkFormat(t, wireStoreFaults{
		Outage:      true,
		Refuse:      true,
		Frozen:      true,
		Slow:        "200ms",
		LoseAnswers: 3,
		LoseWrites:  true,
	}, encoded)
}

func TestListTakesFaultsUnderFixedNames(t *testing.T) {
	is := is.New(t)
	const encoded = `{"Lag":"2s","Slow":"200ms","Outage":true,"Stuck":true}`
	l := NewList()
	is.Equal(put(ListAdmin(l), "/faults", encoded), http.StatusOK)
	is.Equal(l.faults, ListFaults{
		Lag:    2 * time.Second,
		Slow:   200 * time.Millisecond,
		Outage: true,
		Stuck:  true,
	})
	checkFormat(t, wireListFaults{
		Lag:    "2s",
		Slow:   "200ms",
		Outage: true,
		Stuck:  true,
	}, encoded)
}

func TestTargetsAreReportedUnderFixedNames(t *testing.T) {
	checkFormat(t, wireTarget{
		Name:    "desk-a",
		Address: "10.0.1.1:80",
		Faults: TargetFaults{
			GrayFraction: 0.5,
			Hang:         true,
			SlowFactor:   2.5,
			Truncate:     TruncateChunk,
			Cross:        true,
			Death:        DeathDuring,
			Shed:         true,
			RetryAfter:   "2.5",
			Drain:        true,
			Unhealthy:    true,
		},
		Counts: TargetCounts{
			Arrived:          1,
			Executed:         2,
			Shed:             3,
			Probes:           4,
			Crashes:          5,
			Cancelled:        6,
			KeysSeen:         7,
			WithoutRequestID: 8,
			MostRunning:      9,
		},
	}, `{"Name":"desk-a","Address":"10.0.1.1:80",`+
		`"Faults":{"GrayFraction":0.5,"Hang":true,"SlowFactor":2.5,"Truncate":"chunk","Cross":true,"Death":"during","Shed":true,"RetryAfter":"2.5","Drain":true,"Unhealthy":true},`+
		`"Counts":{"Arrived":1,"Executed":2,"Shed":3,"Probes":4,"Crashes":5,"Cancelled":6,"KeysSeen":7,"WithoutRequestID":8,"MostRunning":9}}`)
	is := is.New(t)
	is.Equal([]Truncation{TruncateLength, TruncateChunk}, []Truncation{"length", "chunk"})
	is.Equal([]Death{DeathBefore, DeathDuring, DeathAfter, DeathReused}, []Death{"before", "during", "after", "reused"})
}

func TestReportsHaveFixedNames(t *testing.T) {
	checkFormat(t, StoreReport{
		Calls: map[string]uint64{
			"/v3/kv/range": 1,
		},
		Watches: 2,
	}, `{"Calls":{"/v3/kv/range":1},"Watches":2}`)
	checkFormat(t, Reply{
		Target:       "desk-a",
		Execution:    "e1",
		Organisation: "press",
		Method:       "GET",
		Path:         "/x",
		BodyBytes:    4,
	}, `{"Target":"desk-a","Execution":"e1","Organisation":"press","Method":"GET","Path":"/x","BodyBytes":4}`)
	caller := CallerSummary{
		Organisation: "press",
		Sent:         1,
		Skipped:      2,
		Whole:        3,
		Wrong:        4,
		Failed:       5,
		Statuses: map[string]int{
			"200": 6,
		},
		NotRun:  7,
		Unknown: 8,
		LatencyMilliseconds: Percentiles{
			P50:  1.5,
			P90:  2.5,
			P99:  3.5,
			P999: 4.5,
			Max:  5.5,
		},
	}
	const encoded = `{"Organisation":"press","Sent":1,"Skipped":2,"Whole":3,"Wrong":4,"Failed":5,"Statuses":{"200":6},"NotRun":7,"Unknown":8,` +
		`"LatencyMilliseconds":{"P50":1.5,"P90":2.5,"P99":3.5,"P999":4.5,"Max":5.5}}`
	checkFormat(t, Summary{
		Seconds:       0.5,
		All:           caller,
		Organisations: []CallerSummary{caller},
		Executions: ExecutionSummary{
			Counted:       true,
			Once:          1,
			Repeated:      2,
			Never:         3,
			NotRunButRan:  4,
			WholeButNever: 5,
			Examples:      []string{"e1"},
		},
		KeysSeen: 9,
	}, `{"Seconds":0.5,"All":`+encoded+`,"Organisations":[`+encoded+`],`+
		`"Executions":{"Counted":true,"Once":1,"Repeated":2,"Never":3,"NotRunButRan":4,"WholeButNever":5,"Examples":["e1"]},"KeysSeen":9}`)
}

func TestHeadersHaveFixedNames(t *testing.T) {
	is := is.New(t)
	is.Equal([]string{HeaderExecution, HeaderCrash, HeaderRequest, HeaderOrganisation}, []string{"X-Execution", "X-Crash", "Dandelionmux-Request", "Dandelionmux-Organisation"})
	is.Equal([]string{HeaderShed, HeaderDrain, HeaderTimeout, HeaderOutcome}, []string{"Dandelionmux-Shed", "Dandelionmux-Drain", "Dandelionmux-Timeout-Ms", "Dandelionmux-Outcome"})
	is.Equal(headerIdempotencyKey, "Idempotency-Key")
	is.Equal([]string{outcomeNotRun, outcomeUnknown}, []string{"not-run", "unknown"})
}
