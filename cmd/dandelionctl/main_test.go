package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/internal/operator"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/revision"
)

// fixture holds a store stand-in, its URL, and a directory with input files for the
// program.
type fixture struct {
	*standin.Store
	url string
	dir string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		s.SetFaults(standin.StoreFaults{})
		server.Close()
	})
	f := &fixture{
		Store: s,
		url:   server.URL,
		dir:   t.TempDir(),
	}
	f.writeFile(t, "organisations", `{"Organisations":[{"Name":"rewa","KeyDigests":[]}]}`)
	f.writeFile(t, "rates", rates(50))
	f.writeFile(t, "both", `{"Organisations":[{"Name":"rewa"}],"Rates":[]}`)
	f.writeFile(t, "bad", `{"Rates":[{"Organisation":"reva","PerSecond":1,"Burst":0}]}`)
	f.writeFile(t, "garbage", `{"Rates":`)
	return f
}

func rates(perSecond int) string {
	return fmt.Sprintf(`{"Rates":[{"Organisation":"rewa","PerSecond":%d,"Burst":100}]}`, perSecond)
}

func (f *fixture) writeFile(t *testing.T, name, content string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(f.dir, name), []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// run executes a command line, in which @name stands for the path of a file in dir.
func (f *fixture) run(line string) (code int, stdout, stderr string) {
	var out, diagnostics bytes.Buffer
	p := &program{
		stdin:  strings.NewReader(rates(70)),
		stdout: &out,
		stderr: &diagnostics,
		getenv: func(name string) string {
			return map[string]string{
				"DANDELIONCTL_STORE":  f.url,
				"DANDELIONCTL_AUTHOR": "ops",
			}[name]
		},
	}
	arguments := strings.Fields(line)
	for i, a := range arguments {
		if name, ok := strings.CutPrefix(a, "@"); ok {
			arguments[i] = filepath.Join(f.dir, name)
		}
	}
	code = p.run(context.Background(), arguments)
	return code, out.String(), diagnostics.String()
}

// Runs the commands of one session in order, and checks the exit code and the output
// of each.
func TestCommandLines(t *testing.T) {
	f := newFixture(t)
	steps := []struct {
		line   string
		code   int
		stdout string
		stderr string
	}{
		{"history", 0, "REVISION", ""},
		{"set Organisations @organisations Rates @rates", 0, "revision 1: [Organisations Rates] accepted", ""},
		{"set -revision 1 Rates @rates", 0, "revision 1: [Rates] already there", ""},
		{"set -revision 1 rates -", 0, "revision 2: [Rates] accepted", ""},
		{"set -revision 1 Rates @rates", 4, "", "section Rates was changed by ops at"},
		{"set Rates @rates", 2, "", "say at which revision you read it"},
		{"set -revision latest Rates @rates", 0, "revision 3", ""},
		{"set -revision 9 Rates -", 1, "", "you began from revision 9, but the newest in the store is 3"},
		{"set -revision x Rates @rates", 2, "", `-revision "x" is neither a number nor latest`},
		{"set -revision 3 Rates @bad", 3, "", `Rates "reva" Organisation: no organisation is named "reva"`},
		{"set -revision 3 Rates @garbage", 3, "", "unexpected EOF"},
		{"set -revision 3 Rates @both", 3, "", "must hold only section Rates, but holds [Organisations Rates]"},
		{"set -revision 3 Keys @rates", 2, "", `"Keys" is none of`},
		{"set -revision 3 Rates", 2, "", "are not pairs of SECTION FILE"},
		{"set -revision 3 Rates @none", 2, "", "no such file"},
		{"get Rates", 0, `"PerSecond": 50`, "revision 3"},
		{"get -at 2 Rates", 0, `"PerSecond": 70`, "revision 2"},
		{"get -at 7 Rates", 1, "", "revision 7 is not, or no longer, in the history"},
		{"get -output json Rates", 0, `{"Revision":3,"Section":"Rates","Content":{"Rates":`, ""},
		{"get", 2, "", "are not one section of"},
		{"history", 0, "ops     Organisations Rates", ""},
		{"history -output json", 0, `[{"Number":3,`, ""},
		{"validate @rates", 0, "valid", ""},
		{"validate @bad", 3, "", `Rates "reva" Burst: 0 is not within`},
		{"validate -store= @rates", 3, "", `no organisation is named "rewa"`}, // without the store's other sections
		{"validate -output json @bad", 3, `"Problems":[{"Section":"Rates","Entry":"reva","Field":"Organisation"`, ""},
		{"validate", 2, "", "the names of files are missing"},
		{"share forget 10.0.0.1:7000 17", 0, "10.0.0.1:7000 up to incarnation 17 counts as dead", ""},
		{"share forget host:7000 17", 2, "", `"host:7000" is not an IP address and port`},
		{"share forget 10.0.0.1:7000 0", 2, "", `"0" is not an incarnation`},
		{"share", 2, "", "share forget ADDRESS INCARNATION"},
		{"status", 2, "", "admin addresses"},
		{"-output yaml -timeout 1h history", 2, "", "-output yaml is neither text nor json; -timeout 1h0m0s is not within"},
		{"history -store=", 2, "", "the store's URL is missing"},
		{"history -store=x", 2, "", `"x" is not a URL`},
		{"history -colour", 2, "", "flag provided but not defined: -colour"},
		{"history 3", 2, "", `arguments ["3"]`},
		{"key 3", 2, "", `arguments ["3"]`},
		{"frobnicate", 2, "", "no such command"},
		{"set -h", 0, "", "EXIT CODES"},
	}
	for _, s := range steps {
		t.Run(s.line, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := f.run(s.line)
			is.Equal(code, s.code)
			is.True(strings.Contains(stdout, s.stdout))
			is.True(strings.Contains(stderr, s.stderr))
			if t.Failed() {
				t.Log(stdout, stderr)
			}
		})
	}
}

func TestStoreUnreachable(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.SetFaults(standin.StoreFaults{Outage: true})
	for _, line := range []string{"set Rates @rates", "get Rates", "history", "share forget 10.0.0.1:7000 17"} {
		code, _, stderr := f.run(line)
		is.Equal(code, exitStoreUnreachable)
		is.True(strings.Contains(stderr, "nothing was changed, and the fleet keeps the revision that it has"))
	}
}

// The write of the head takes effect, but its answer and all later ones are lost. The
// program must not report success or failure, but that the outcome is unknown and how
// to find it out.
func TestLostAnswerToHeadWrite(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	losing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.ServeHTTP(w, r)
		if _, exists := f.Get(revision.HeadKey); exists {
			f.SetFaults(standin.StoreFaults{Outage: true})
			panic(http.ErrAbortHandler)
		}
	}))
	defer losing.Close()
	healthy := f.url
	f.url = losing.URL
	code, _, stderr := f.run("set -timeout 2s Organisations @organisations")
	is.Equal(code, exitOutcomeUnknown)
	is.True(strings.Contains(stderr, "may or may not come into force. Run the same command again"))
	f.SetFaults(standin.StoreFaults{})
	f.url = healthy
	code, stdout, _ := f.run("set Organisations @organisations")
	is.Equal(code, exitOK)
	is.True(strings.Contains(stdout, "revision 1: [Organisations] already there"))
}

func TestKeyCommandPrintsKeyAndDigest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	var first, second struct{ Key, Digest string }
	_, stdout, _ := f.run("key -output json")
	is.NoErr(json.Unmarshal([]byte(stdout), &first))
	_, stdout, _ = f.run("key -output json")
	is.NoErr(json.Unmarshal([]byte(stdout), &second))
	is.True(first.Key != second.Key && len(first.Key) == 64)
	is.Equal(first.Digest, fmt.Sprintf("%x", document.DigestKey(first.Key)))
}

func TestStatus(t *testing.T) {
	healthy := operator.Status{
		Address:  "10.0.0.1:7000",
		Revision: 7,
		Trusted:  true,
		Shares:   []operator.Share{{Number: 1, Usable: true}, {Number: 2}},
		Ejections: []operator.Ejection{
			{Service: "dispatch", Target: "d1", Authority: "10.0.0.2:7000", Reason: "errors 40%, peers 1%"},
			{Service: "dispatch", Target: "d2", Reason: "connection refused"},
		},
		Quarantines: []operator.Quarantine{{Fingerprint: "ab", Organisation: "rewa", Route: "r", Strikes: 2}},
	}
	outdated, isolated := healthy, healthy
	outdated.Revision = 6
	isolated.Trusted = false
	tests := []struct {
		name  string
		other *operator.Status
		code  int
		want  string
	}{
		{"consistent", &healthy, exitOK, "10.0.0.1:7000#0"},
		{"another revision", &outdated, exitFleetInconsistent, "is on revision 6, the newest is 7"},
		{"revision not trusted", &isolated, exitFleetInconsistent, "doesn't trust its revision and admits no requests"},
		{"dead", nil, exitFleetInconsistent, "returned no status"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			serve := func(s *operator.Status) string {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if s == nil || r.URL.Path != operator.StatusPath {
						panic(http.ErrAbortHandler)
					}
					_ = json.NewEncoder(w).Encode(s)
				}))
				t.Cleanup(server.Close)
				return strings.TrimPrefix(server.URL, "http://")
			}
			f := newFixture(t)
			code, stdout, stderr := f.run("status " + serve(&healthy) + " " + serve(tt.other))
			is.Equal(code, tt.code)
			is.True(strings.Contains(stdout+stderr, tt.want))
			is.Equal(strings.Count(stdout, "ejected      dispatch/d1 by 10.0.0.2:7000: errors 40%, peers 1%"), 1) // printed once
			is.Equal(strings.Count(stdout, "avoided      dispatch/d2 by 10.0.0.1:7000 alone"), 1)
			is.Equal(strings.Count(stdout, "quarantined  ab of rewa on route r after 2 strikes"), 1)
			is.True(strings.Contains(stdout, "1/2")) // usable of held shares
		})
	}
}
