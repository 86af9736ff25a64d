package process_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/programs"
)

// The JSON lines that the programs print when they are ready.
type (
	readyServer struct {
		Address      string
		AdminAddress string
		Targets      []struct {
			Name    string
			Address string
		}
	}
	readyInstance struct {
		EntryAddress string
		PeerAddress  string
		AdminAddress string
	}
)

// fleet is the stand-ins for the store, the instance list and the targets, and
// the instances. All targets run in one process, everything else in one each.
type fleet struct {
	t             *testing.T
	store         readyServer
	storeProcess  *process
	list          readyServer
	targets       readyServer
	targetProcess *process
	instances     []*instance
	folder        string
}

// instance is the process of an instance, with the addresses that it printed.
type instance struct {
	*process
	readyInstance
	zone string
}

// keys are the callers' keys, by organisation.
var keys = map[string]string{
	"orchard": "key-of-orchard",
	"mill":    "key-of-mill",
}

// newFleet starts the stand-ins, writes the document with dandelionctl, starts
// the instances and waits until all of them are ready. It marks the test as
// parallel.
func newFleet(t *testing.T, instances, targets int) *fleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	is.New(t).NoErr(programs.StatSources("../.."))
	f := &fleet{
		t:      t,
		folder: t.TempDir(),
	}
	f.storeProcess = start(t, &f.store, "standin", "store")
	start(t, &f.list, "standin", "list")
	f.targetProcess = start(t, &f.targets, "standin", "targets", "-count", fmt.Sprint(targets), "-name", "desk-")
	f.forbidKeys()
	f.setSections(f.sections())
	for i := range instances {
		f.startInstance(zone(i))
	}
	for _, r := range f.instances {
		f.awaitReady(r)
	}
	return f
}

// zone returns the zone of the ith instance, one of three.
func zone(i int) string { return string(rune('a' + i%3)) }

// startInstance starts an instance and puts it on the instance list. The
// instance chooses its ports and prints them: a port that the test chose and
// released could be taken by another process before the instance listens on it.
func (f *fleet) startInstance(zone string, extra ...string) *instance {
	f.t.Helper()
	return f.startInstanceAt("127.0.0.1:0", zone, extra...)
}

// startInstanceAt starts an instance with a given peer address and puts it on
// the instance list.
func (f *fleet) startInstanceAt(peer, zone string, extra ...string) *instance {
	f.t.Helper()
	r := &instance{
		zone: zone,
	}
	arguments := append([]string{
		"serve",
		"-entry-address", "127.0.0.1:0",
		"-peer-address", peer,
		"-admin-address", "127.0.0.1:0",
		"-zone", zone,
		"-region", "west",
		"-store-endpoints", "http://" + f.store.Address,
		"-list-url", "http://" + f.list.Address,
		"-balancer-lag", "200ms",
		// The stand-in's list does not lag.
		"-list-lag", "1s",
	}, extra...)
	r.process = start(f.t, &r.readyInstance, "dandelionmux", arguments...)
	f.instances = append(f.instances, r)
	f.register(r, "live")
	return r
}

// register puts an instance on the instance list, in the given state.
func (f *fleet) register(r *instance, state string) {
	f.t.Helper()
	f.putJSON("http://"+f.list.Address, map[string]any{
		"Address":      r.PeerAddress,
		"EntryAddress": r.EntryAddress,
		"Zone":         r.zone,
		"Region":       "west",
		"State":        state,
	})
}

// unregister removes an instance that has exited from the instance list.
func (f *fleet) unregister(r *instance) {
	f.t.Helper()
	is := is.New(f.t)
	request, err := http.NewRequest(http.MethodDelete, "http://"+f.list.Address+"?Address="+r.PeerAddress, nil)
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	_ = response.Body.Close()
}

// sleepUntilSharesVote sleeps for 14 s, until the shares of a new fleet have
// votes. A share has no vote, neither to confirm rights nor to reclaim other
// shares, until it has been held for a term of 10 s and a margin of 1.25 s and
// the holder has then listed all records of shares.
func (f *fleet) sleepUntilSharesVote() {
	sleep(14 * time.Second)
}

// putJSON sends a value as JSON with PUT, and fails the test unless the status is
// 2xx.
func (f *fleet) putJSON(url string, value any) {
	f.t.Helper()
	is := is.New(f.t)
	content, err := json.Marshal(value)
	is.NoErr(err)
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(string(content)))
	is.NoErr(err)
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		f.t.Fatalf("PUT %s: %d %s", url, response.StatusCode, body)
	}
}

// awaitReady waits until an instance reports that it is ready for requests.
func (f *fleet) awaitReady(r *instance) {
	f.t.Helper()
	eventually(f.t, "instance "+r.PeerAddress+" ready", func() bool {
		status, _ := fetch("http://" + r.AdminAddress + "/ready")
		return status == http.StatusOK
	})
}

// forbidKeys gives the targets the callers' keys, which they must never receive.
// The targets count them as KeysSeen.
func (f *fleet) forbidKeys() {
	var list []string
	for _, k := range keys {
		list = append(list, k)
	}
	f.putJSON("http://"+f.targets.AdminAddress+"/keys", list)
}

// sections returns the document of the tests, by section.
func (f *fleet) sections() map[string]any {
	digests := map[string]string{}
	for name, k := range keys {
		digests[name] = keyDigest(k)
	}
	var targets []map[string]any
	for _, t := range f.targets.Targets {
		targets = append(targets, map[string]any{
			"Name":        t.Name,
			"Address":     t.Address,
			"Zone":        "a",
			"Slots":       6,
			"Connections": 350,
		})
	}
	return map[string]any{
		"Organisations": []map[string]any{
			{"Name": "orchard", "KeyDigests": []string{digests["orchard"]}},
			{"Name": "mill", "KeyDigests": []string{digests["mill"]}},
		},
		"Rates": []map[string]any{
			{"Organisation": "orchard", "PerSecond": 1000, "Burst": 1000},
			{"Organisation": "mill", "PerSecond": 20, "Burst": 10},
		},
		"Routes": []map[string]any{
			{"Name": "bookings", "PathPrefix": "/bookings", "Service": "desk", "Timeout": "10s"},
			{"Name": "public", "PathPrefix": "/public", "Service": "desk", "Timeout": "10s", "Open": true},
		},
		"Services": []map[string]any{
			{"Name": "desk", "Floor": 50, "Targets": targets},
		},
	}
}

// setSections writes sections of the document to the store with dandelionctl.
func (f *fleet) setSections(sections map[string]any) {
	f.t.Helper()
	is := is.New(f.t)
	arguments := []string{"set", "-store", "http://" + f.store.Address, "-revision", "latest"}
	for name, entries := range sections {
		content, err := json.Marshal(map[string]any{
			name: entries,
		})
		is.NoErr(err)
		file := filepath.Join(f.folder, name+".json")
		is.NoErr(os.WriteFile(file, content, 0o600))
		arguments = append(arguments, name, file)
	}
	_, err := run(f.t, "dandelionctl", arguments...)
	is.NoErr(err)
}

// keyDigest returns the digest of a key as dandelionctl prints it.
func keyDigest(key string) string {
	return digestText(key)
}

// executions returns how often each request with an X-Execution header ran at all
// targets together, by the header's value.
func (f *fleet) executions() map[string]int {
	f.t.Helper()
	_, body := fetch("http://" + f.targets.AdminAddress + "/executions")
	counts := map[string]int{}
	is.New(f.t).NoErr(json.Unmarshal([]byte(body), &counts))
	return counts
}
