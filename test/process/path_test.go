package process_test

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// digestText returns the hexadecimal SHA-256 digest of a key.
func digestText(key string) string {
	d := sha256.Sum256([]byte(key))
	return hex.EncodeToString(d[:])
}

// TestRequestEndToEnd serves a request through each instance: it runs once, for
// the organisation of the caller's key, and no target sees the key. A request
// without a key is refused and doesn't run.
func TestRequestEndToEnd(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 2)
	for _, r := range f.instances {
		got := r.call(http.MethodPost, "/bookings/7", keys["orchard"], "tanker", "X-Execution", r.PeerAddress)
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.True(strings.Contains(got.body, "orchard")) // runs for the key's organisation
		is.Equal(f.executions()[r.PeerAddress], 1)

		refused := r.call(http.MethodPost, "/bookings/7", "", "tanker", "X-Execution", "none")
		is.Equal(refused.status, http.StatusUnauthorized)
		is.Equal(refused.outcome, "not-run")
		is.Equal(f.executions()["none"], 0)
	}
	_, targets := fetch("http://" + f.targets.AdminAddress + "/targets")
	is.True(!strings.Contains(targets, `"KeysSeen":1`)) // no target saw a key
	is.True(strings.Contains(targets, `"KeysSeen":0`))
}

// TestStopCutsNoRequest stops an instance while requests run in it. The instance
// must answer them before it exits.
func TestStopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 2)
	f.putJSON("http://"+f.targets.AdminAddress+"/targets/"+f.targets.Targets[0].Name+"/faults", map[string]any{"SlowFactor": 300})
	f.putJSON("http://"+f.targets.AdminAddress+"/targets/"+f.targets.Targets[1].Name+"/faults", map[string]any{"SlowFactor": 300})
	leaving := f.instances[0]
	const requests = 8
	answers := make(chan callResult, requests)
	for range requests {
		go func() { answers <- leaving.call(http.MethodPost, "/bookings/7", keys["orchard"], "tanker") }()
	}
	eventually(t, "requests run", func() bool {
		_, body := fetch("http://" + leaving.AdminAddress + "/metrics")
		return strings.Contains(body, `"Entry.Attempts":{"count":8}`)
	})
	leaving.signal(t, syscall.SIGTERM)
	eventually(t, "the instance reports that it isn't ready", func() bool {
		status, _ := fetch("http://" + leaving.AdminAddress + "/ready")
		return status == http.StatusServiceUnavailable
	})
	for range requests {
		got := <-answers
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
	}
	is.NoErr(leaving.wait(t)) // exited by itself, with exit code zero
}
