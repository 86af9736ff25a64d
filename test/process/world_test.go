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

// Lines that programs print when they are ready.
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

// fleet is the platform, the targets and the instances, each a process.
type fleet struct {
	t             *testing.T
	store         readyServer
	storeProcess  *process
	list          readyServer
	targets       readyServer
	targetProcess *process
	instances     []*running
	folder        string
}

// running is an instance's process.
type running struct {
	*process
	readyInstance
	zone string
}

// keys are the callers' keys by organisation.
var keys = map[string]string{
	"orchard": "key-of-orchard",
	"mill":    "key-of-mill",
}

// newFleet starts the platform, targets and instances, puts the document in
// with dandelionctl, and waits until all instances are ready.
func newFleet(t *testing.T, instances, targets int) *fleet {
	t.Helper()
	t.Parallel()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	is.New(t).NoErr(programs.StatSources("../.."))
	f := &fleet{
		t:      t,
		folder: t.TempDir(),
	}
	f.storeProcess = start(t, &f.store, "standin", "store")
	start(t, &f.list, "standin", "list")
	f.targetProcess = start(t, &f.targets, "standin", "targets", "-count", fmt.Sprint(targets), "-name", "desk-")
	f.forbidKeys()
	f.set(f.sections())
	for i := range instances {
		f.startInstance(zone(i))
	}
	for _, r := range f.instances {
		f.awaitReady(r)
	}
	return f
}

func zone(i int) string { return string(rune('a' + i%3)) }

// startInstance starts an instance and puts it on the instance list. The
// instance picks its ports itself and says which: a port that is picked here and
// let go may be another's by the time that the instance listens.
func (f *fleet) startInstance(zone string, extra ...string) *running {
	f.t.Helper()
	return f.startInstanceAt("127.0.0.1:0", zone, extra...)
}

// startInstanceAt starts an instance at a peer address.
func (f *fleet) startInstanceAt(peer, zone string, extra ...string) *running {
	f.t.Helper()
	r := &running{
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

// register puts an instance on the platform's list.
func (f *fleet) register(r *running, state string) {
	f.t.Helper()
	f.put("http://"+f.list.Address, map[string]any{
		"Address":      r.PeerAddress,
		"EntryAddress": r.EntryAddress,
		"Zone":         r.zone,
		"Region":       "west",
		"State":        state,
	})
}

// unregister takes an instance that has ended off the platform's list.
func (f *fleet) unregister(r *running) {
	f.t.Helper()
	is := is.New(f.t)
	request, err := http.NewRequest(http.MethodDelete, "http://"+f.list.Address+"?Address="+r.PeerAddress, nil)
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	_ = response.Body.Close()
}

// settle waits until the shares of a young fleet have votes: a new holder
// neither vouches nor takes a share over for a term and a margin.
func (f *fleet) settle() {
	pass(14 * time.Second)
}

// put sends JSON with PUT and wants success.
func (f *fleet) put(url string, value any) {
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

// awaitReady waits until the balancer may send to an instance.
func (f *fleet) awaitReady(r *running) {
	f.t.Helper()
	eventually(f.t, "instance "+r.PeerAddress+" ready", func() bool {
		status, _ := fetch("http://" + r.AdminAddress + "/ready")
		return status == http.StatusOK
	})
}

// forbidKeys tells the targets which keys they must never see.
func (f *fleet) forbidKeys() {
	var list []string
	for _, k := range keys {
		list = append(list, k)
	}
	f.put("http://"+f.targets.AdminAddress+"/keys", list)
}

// sections is the operators' document, by section.
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

// set puts sections into the store with dandelionctl.
func (f *fleet) set(sections map[string]any) {
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

// keyDigest is the digest of a key as dandelionctl prints it.
func keyDigest(key string) string {
	return digestText(key)
}

// executions is how often each marked request ran, over all targets.
func (f *fleet) executions() map[string]int {
	f.t.Helper()
	_, body := fetch("http://" + f.targets.AdminAddress + "/executions")
	counts := map[string]int{}
	is.New(f.t).NoErr(json.Unmarshal([]byte(body), &counts))
	return counts
}
