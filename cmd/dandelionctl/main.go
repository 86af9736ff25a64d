// Command dandelionctl is the operators' program. It checks, shows and changes the
// sections of the document in the platform's store, and asks instances for their
// status. Scripts can rely on its exit codes; see docs/OPERATORS.md.
//
// # Usage
//
//	export DANDELIONCTL_STORE=http://10.0.0.9:2379
//	dandelionctl get Rates >rates.json
//	dandelionctl set -revision 17 Rates rates.json
//	dandelionctl history
//	dandelionctl status 10.0.0.1:9000 10.0.0.2:9000
//	dandelionctl story 9c41d07be2a35f68 instance-*.log
//	dandelionctl explain -path /orders -organisation rewa 10.0.0.1:9464
package main

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	p := &program{
		stdin:  os.Stdin,
		stdout: os.Stdout,
		stderr: os.Stderr,
		getenv: os.Getenv,
	}
	code := p.run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// program is one run of the command, with its inputs and outputs.
type program struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	getenv func(string) string
	// settings are the flags that all commands share.
	settings settings
}

// run executes a command line and returns the exit code.
func (p *program) run(ctx context.Context, arguments []string) int {
	root := p.rootCommand()
	err := root.Parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		return p.fail(errors.Wrap(errUsage, err.Error()))
	}
	if err := p.settings.check(); err != nil {
		return p.fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.timeout)
	defer cancel()
	if err := root.Run(ctx); err != nil {
		return p.fail(err)
	}
	return exitOK
}

func (p *program) rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "dandelionctl",
		ShortUsage: "dandelionctl COMMAND [flags] [arguments]",
		ShortHelp:  "Check, show and change the operators' document, and ask the fleet for its status.",
		LongHelp: "The document has the sections Organisations, Rates, Routes, Services and Policy.\n" +
			"To change one, write it to a file with get, edit the file, and run set with the\n" +
			"revision that get printed. If the section changed meanwhile, set writes nothing.\n\n" +
			exitHelp,
		FlagSet: p.flags("dandelionctl"),
		Subcommands: []*ffcli.Command{
			p.validateCommand(),
			p.getCommand(),
			p.setCommand(),
			p.historyCommand(),
			p.statusCommand(),
			p.keyCommand(),
			p.shareCommand(),
			p.storyCommand(),
			p.explainCommand(),
		},
		Exec: func(context.Context, []string) error {
			return errors.Wrap(errUsage, "no such command; see dandelionctl -help")
		},
	}
}

// withoutArguments wraps a command that takes flags only. The wrapped command returns
// an error if it gets other arguments.
func withoutArguments(run func(context.Context) error) func(context.Context, []string) error {
	return func(ctx context.Context, arguments []string) error {
		if len(arguments) > 0 {
			return errors.Wrapf(errUsage, "arguments %q: the command takes flags only", arguments)
		}
		return run(ctx)
	}
}

// flags returns a new flag set with the flags that all commands share.
func (p *program) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(p.stderr)
	p.settings.register(flags, p.getenv)
	return flags
}
