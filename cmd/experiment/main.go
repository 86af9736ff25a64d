// Command experiment compares the fleet's policy with a plain baseline, under load
// and under faults. It prints a table, and writes it with a plot to a directory.
//
// # Usage
//
//	go run ./cmd/experiment -directory out -seeds 100 -hours 10
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3"

	"dandelionmux/internal/experiment"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

// run runs the experiment and writes the results.
func run(arguments []string) error {
	flags := flag.NewFlagSet("experiment", flag.ContinueOnError)
	directory := flags.String("directory", "out", "directory for the results")
	seeds := flags.Int("seeds", 50, "runs of each fault")
	hours := flags.Int("hours", 2, "virtual hours of each kind of noise, with 14 targets")
	if err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix("EXPERIMENT")); err != nil {
		return errors.Wrap(err, "read flags")
	}
	if err := os.MkdirAll(*directory, 0o755); err != nil {
		return errors.Wrap(err, "make directory")
	}
	outcome := experiment.Run(experiment.Size{
		Seeds: *seeds,
		Hours: *hours,
	})
	if err := outcome.WriteTable(os.Stdout); err != nil {
		return err
	}
	if err := save(filepath.Join(*directory, "table.txt"), outcome.WriteTable); err != nil {
		return err
	}
	if err := save(filepath.Join(*directory, "table.csv"), outcome.WriteCSV); err != nil {
		return err
	}
	return outcome.SavePlot(filepath.Join(*directory, "detection.png"))
}
