package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"dandelionmux/internal/standin"
)

func TestParseCaller(t *testing.T) {
	tests := []struct {
		text string
		want standin.Caller
		err  error
	}{
		{"rewa:KEY:2.5", standin.Caller{Organisation: "rewa", Key: "KEY", PerSecond: 2.5}, nil},
		{"rewa::1", standin.Caller{Organisation: "rewa", PerSecond: 1}, nil},
		{"rewa:KEY", standin.Caller{}, errUsage},
		{"rewa:KEY:fast", standin.Caller{}, errUsage},
	}
	for _, tt := range tests {
		is := is.New(t)
		got, err := parseCaller(tt.text)
		is.Equal(got, tt.want)
		is.True(errors.Is(err, tt.err))
	}
}

func TestSummaryContainsRepeatedExecutions(t *testing.T) {
	is := is.New(t)
	s := standin.Summary{
		Organisations: []standin.CallerSummary{{Organisation: "rewa", Sent: 7}},
		Executions:    standin.ExecutionSummary{Counted: true, Repeated: 3},
	}
	for output, want := range map[string]string{
		"text": "repeated 3",
		"json": `"Repeated":3`,
	} {
		var b bytes.Buffer
		is.NoErr(printSummary(&b, s, output))
		is.True(strings.Contains(b.String(), want))
		is.True(strings.Contains(b.String(), "rewa"))
	}
}

func TestCommandsRejectInvalidArguments(t *testing.T) {
	for _, line := range []string{"", "store extra -listen", "targets -count 0", "targets -slots 0", "load", "load -caller x", "load -entry x -caller a:b:1 -pipeline 1001", "load -entry x -caller a:b:1 -pipeline 2 -body 1", "list -lag x"} {
		is := is.New(t)
		root := rootCommand()
		for _, c := range root.Subcommands {
			c.FlagSet.SetOutput(&bytes.Buffer{})
		}
		err := root.ParseAndRun(t.Context(), strings.Fields(line))
		is.True(err != nil)
		if err == nil {
			t.Log(line)
		}
	}
}
