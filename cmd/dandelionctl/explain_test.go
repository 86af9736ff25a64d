package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against flags that don't reach the instance, and against an error of it that passes for an
// answer.
func TestExplainPrintsAnswer(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("Method") != "POST" {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = fmt.Fprintln(w, r.URL.Path, r.FormValue("Host"), r.FormValue("Path"), r.FormValue("Organisation"))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	f := newFixture(t)
	code, stdout, _ := f.run("explain -host h -path /a%2Fb -method POST -organisation rewa " + address)
	is.Equal(code, exitOK)
	is.Equal(stdout, "/explain h /a%2Fb rewa\n")
	code, _, stderr := f.run("explain " + address)
	is.Equal(code, exitError)
	is.True(strings.Contains(stderr, "500"))
	code, _, _ = f.run("explain")
	is.Equal(code, exitUsage)
}
