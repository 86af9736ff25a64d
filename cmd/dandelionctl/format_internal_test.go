package main

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/internal/operator"
	"dandelionmux/pkg/document"
)

// Operators' scripts read the output of -output json. Its names must not change.

func TestOutputHasFixedNames(t *testing.T) {
	tests := []struct {
		name  string
		value any
		want  string
	}{
		{
			name: "failure",
			value: failure{
				Error:    "no",
				ExitCode: 3,
				Problems: []document.Problem{{
					Section: document.Routes,
					Entry:   "orders",
					Field:   "Key.Place",
					Message: "bad",
				}},
			},
			want: `{"Error":"no","ExitCode":3,"Problems":[{"Section":"Routes","Entry":"orders","Field":"Key.Place","Message":"bad"}]}`,
		},
		{
			name: "asked",
			value: []statusAnswer{{
				Admin:  "10.0.0.1:9000",
				Status: operator.Status{},
				Error:  "no",
			}},
			want: `[{"Admin":"10.0.0.1:9000","Status":{"Address":"","Incarnation":0,"Zone":"","Region":"","Version":"","UptimeSeconds":0,` +
				`"Revision":0,"Trusted":false,"Ready":false,"Leaving":false,"StoreReachable":false,"Members":null,"Shares":null,"Shards":0,` +
				`"Ejections":null,"Quarantines":null},"Error":"no"}]`,
		},
		{
			name: "got",
			value: sectionOutput{
				Revision: 1,
				Section:  document.Rates,
				Content:  json.RawMessage(`{"Rates":[]}`),
			},
			want: `{"Revision":1,"Section":"Rates","Content":{"Rates":[]}}`,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			p := &program{
				stdout: &out,
			}
			p.settings.output = "json"
			is.NoErr(p.print(tt.value, ""))
			is.Equal(out.String(), tt.want+"\n")
		})
	}
}

func TestCommandOutputHasFixedNames(t *testing.T) {
	f := newFixture(t)
	steps := []struct {
		line string
		code int
		want string
	}{
		{
			line: "set -output json Organisations @organisations Rates @rates",
			code: 0,
			want: `{"Revision":1,"Sections":["Organisations","Rates"],"Unchanged":false,"Rebased":0,"PartsWritten":2}`,
		},
		{
			line: "get -output json Rates",
			code: 0,
			want: `{"Revision":1,"Section":"Rates","Content":{"Rates":[{"Organisation":"rewa","PerSecond":50,"Burst":100}]}}`,
		},
		{
			line: "set -output json -revision x Rates @rates",
			code: 2,
			want: `{"Error":"-revision \"x\" is neither a number nor latest: bad command line","ExitCode":2,"Problems":null}`,
		},
	}
	for _, s := range steps {
		t.Run(s.line, func(t *testing.T) {
			is := is.New(t)
			code, stdout, _ := f.run(s.line)
			is.Equal(code, s.code)
			is.Equal(stdout, s.want+"\n")
		})
	}
}
