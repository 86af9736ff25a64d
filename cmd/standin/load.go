package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionmux/internal/standin"
)

// texts is the value of a flag that may be given several times.
type texts []string

func (t *texts) String() string { return strings.Join(*t, ",") }

// Set implements flag.Value by appending a value.
func (t *texts) Set(value string) error {
	*t = append(*t, value)
	return nil
}

func loadCommand() *ffcli.Command {
	var (
		load             standin.Load
		entries, callers texts
		targets          texts
		output           string
	)
	flags := flag.NewFlagSet("standin load", flag.ContinueOnError)
	flags.Var(&entries, "entry", "URL of an instance; may be given several times")
	flags.Var(&callers, "caller", "ORGANISATION:KEY:PER_SECOND, KEY may be empty; may be given several times")
	flags.Var(&targets, "targets", "URL of the targets' admin address, which reports executions; may be given several times")
	flags.StringVar(&load.Method, "method", "GET", "HTTP method")
	flags.StringVar(&load.Path, "path", "/", "path and query")
	flags.StringVar(&load.Host, "host", "", "Host header")
	flags.StringVar(&load.KeyHeader, "key-header", "X-Api-Key", "header that carries the key")
	flags.IntVar(&load.BodyBytes, "body", 0, "length of each request's body, bytes")
	flags.BoolVar(&load.Keyed, "keyed", false, "give each request a unique Idempotency-Key")
	flags.IntVar(&load.Pipeline, "pipeline", 1, "requests that are sent on a connection before the first is answered, at most 1000; without bodies")
	flags.IntVar(&load.Resends, "resends", 0, "how often a request without a complete answer is sent again")
	flags.BoolVar(&load.Crash, "crash", false, "mark the requests so that they crash the targets that execute them")
	flags.IntVar(&load.Count, "count", 0, "maximum number of requests; 0 means that only -duration limits them")
	flags.DurationVar(&load.Duration, "duration", 5*time.Second, "how long requests are sent, at most 1h")
	flags.IntVar(&load.Concurrency, "concurrency", 256, "maximum number of requests in flight")
	flags.DurationVar(&load.Timeout, "timeout", 10*time.Second, "time limit of each request")
	flags.Uint64Var(&load.Seed, "seed", 1, "seed of the random choice of entries")
	flags.StringVar(&output, "output", "text", "text or json")
	return &ffcli.Command{
		Name:      "load",
		ShortHelp: "A bounded load, and a summary that includes how often requests were executed.",
		FlagSet:   flags,
		Exec: flagsOnly(func(ctx context.Context) error {
			load.Entries, load.Targets = entries, targets
			for _, c := range callers {
				caller, err := parseCaller(c)
				if err != nil {
					return err
				}
				load.Callers = append(load.Callers, caller)
			}
			summary, err := load.Run(ctx)
			if err != nil {
				return errors.Wrap(err, "load")
			}
			return printSummary(os.Stdout, summary, output)
		}),
	}
}

func parseCaller(text string) (standin.Caller, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return standin.Caller{}, errors.Wrapf(errUsage, "-caller %q is not ORGANISATION:KEY:PER_SECOND", text)
	}
	rate, err := strconv.ParseFloat(parts[2], 64)
	if err != nil {
		return standin.Caller{}, errors.Wrapf(errUsage, "-caller %q: %q is not a number", text, parts[2])
	}
	return standin.Caller{
		Organisation: parts[0],
		Key:          parts[1],
		PerSecond:    rate,
	}, nil
}

func printSummary(w io.Writer, s standin.Summary, output string) error {
	if output == "json" {
		return json.NewEncoder(w).Encode(s)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ORGANISATION\tSENT\tWHOLE\tWRONG\tFAILED\tNOT-RUN\tUNKNOWN\tSKIPPED\tP50 ms\tP99 ms\tMAX ms\tSTATUSES")
	for _, c := range append(s.Organisations, s.All) {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%v\n",
			c.Organisation, c.Sent, c.Whole, c.Wrong, c.Failed, c.NotRun, c.Unknown, c.Skipped,
			c.LatencyMilliseconds.P50, c.LatencyMilliseconds.P99, c.LatencyMilliseconds.Max, c.Statuses)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if !s.Executions.Counted {
		return nil
	}
	_, err := fmt.Fprintf(w, "executions: once %d, repeated %d, never %d, not-run that ran %d, whole that never ran %d; keys seen by targets %d\n",
		s.Executions.Once, s.Executions.Repeated, s.Executions.Never, s.Executions.NotRunButRan, s.Executions.WholeButNever, s.KeysSeen)
	return err
}
