package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3"

	"dandelionmux/internal/demo"
	"dandelionmux/internal/settings"
)

// runDemo runs the demo until it is over or a signal arrives, and returns the exit
// code: exitFailed if a property didn't hold or the demo couldn't run.
func runDemo(arguments []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("dandelionmux demo", flag.ContinueOnError)
	flags.SetOutput(stderr)
	keep := flags.Bool("keep", false, "keep the fleet running after the results are printed")
	logs := flags.Bool("logs", false, "print the instances' logs")
	err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix(settings.EnvironmentPrefix+"_DEMO"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	options := []demo.Option{demo.WithKeep(*keep)}
	if *logs {
		options = append(options, demo.WithLogger(slog.New(slog.NewTextHandler(stderr, nil))))
	}
	failed, err := demo.Run(ctx, stdout, options...)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if failed > 0 {
		_, _ = fmt.Fprintf(stdout, "\n%d properties did not hold\n", failed)
		return exitFailed
	}
	return exitOK
}
