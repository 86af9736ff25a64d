// Standin runs stand-ins for the fleet's environment, for tests on one machine:
// the platform's store, the instance list, targets whose faults can be set, and
// a bounded load.
//
// Each server prints one JSON line with its addresses when it is ready, and
// stops on SIGTERM or an interrupt.
//
// # Usage
//
//	standin store -listen 127.0.0.1:2379 -admin 127.0.0.1:2380
//	standin list -listen 127.0.0.1:2400 -lag 2s
//	standin targets -count 3 -slots 6 -work 5ms
//	standin load -entry http://127.0.0.1:8080 -caller rewa:KEY:20 -duration 5s
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// errUsage reports an invalid command line.
var errUsage = errors.New("bad command line")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		stop()
		os.Exit(1)
	}
}

// flagsOnly returns the Exec function of a command that takes no arguments
// besides its flags.
func flagsOnly(run func(context.Context) error) func(context.Context, []string) error {
	return func(ctx context.Context, arguments []string) error {
		if len(arguments) > 0 {
			return errors.Wrapf(errUsage, "arguments %q: the command takes flags only", arguments)
		}
		return run(ctx)
	}
}

func rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "standin store|list|targets|load [flags]",
		ShortHelp:  "Stand-ins for the platform, the targets and the callers.",
		Subcommands: []*ffcli.Command{
			storeCommand(),
			listCommand(),
			targetsCommand(),
			loadCommand(),
		},
		Exec: func(context.Context, []string) error {
			return errors.Wrap(errUsage, "name one of store, list, targets, load; see standin -help")
		},
	}
}
