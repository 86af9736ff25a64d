// Command dandelionmux runs an instance of the fleet.
//
// # Usage
//
//	dandelionmux serve -settings FILE
//	dandelionmux platform
//	dandelionmux demo [-keep]
//	dandelionmux check -settings FILE
//	dandelionmux version
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"

	"dandelionmux/internal/daemon"
	"dandelionmux/internal/settings"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// ready is the line that an instance prints once it listens.
type ready struct {
	Kind         string
	EntryAddress string
	PeerAddress  string
	AdminAddress string
}

const usage = `dandelionmux is one instance of a proxy fleet.

  dandelionmux serve    run an instance until SIGTERM
  dandelionmux platform run an instance on the platform, with its settings file
  dandelionmux demo     run a small fleet with all around it, break it, and
                        print what held; with -keep it goes on running
  dandelionmux check    check the settings and exit
  dandelionmux version  print the version

dandelionmux serve -help lists the settings.
`

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(arguments []string, out, problems io.Writer) int {
	if len(arguments) == 0 {
		_, _ = io.WriteString(problems, usage)
		return exitUsage
	}
	command, rest := arguments[0], arguments[1:]
	switch command {
	case "serve":
		return serve(rest, out, problems)
	case "platform":
		return runPlatform(out, problems)
	case "demo":
		return runDemo(rest, out, problems)
	case "check":
		return check(rest, out, problems)
	case "version":
		_, _ = fmt.Fprintln(out, daemon.Version())
		return exitOK
	case "help", "-help", "--help", "-h":
		_, _ = io.WriteString(out, usage)
		return exitOK
	}
	_, _ = fmt.Fprintf(problems, "unknown command %q\n\n%s", command, usage)
	return exitUsage
}

// read reads the settings, or tells what is wrong with them.
func read(name string, arguments []string, problems io.Writer) (settings.Settings, int, bool) {
	s, err := settings.Parse("dandelionmux "+name, arguments, problems)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return s, exitOK, false
	case err != nil:
		_, _ = fmt.Fprintln(problems, err)
		return s, exitUsage, false
	}
	return s, exitOK, true
}

func check(arguments []string, out, problems io.Writer) int {
	_, code, ok := read("check", arguments, problems)
	if ok {
		_, _ = fmt.Fprintln(out, "settings are good")
	}
	return code
}

func serve(arguments []string, out, problems io.Writer) int {
	s, code, ok := read("serve", arguments, problems)
	if !ok {
		return code
	}
	logger, err := newLogger(s, problems)
	if err != nil {
		_, _ = fmt.Fprintln(problems, err)
		return exitUsage
	}
	if err := serveUntilSignal(s, logger, out); err != nil {
		logger.Error("instance failed",
			"Error", err)
		return exitFailed
	}
	return exitOK
}

func newLogger(s settings.Settings, out io.Writer) (*slog.Logger, error) {
	level, err := settings.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, err
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{
		Level: level,
	})), nil
}

// serveUntilSignal runs an instance until SIGTERM or an interrupt. A second
// signal ends a graceful stop.
func serveUntilSignal(s settings.Settings, logger *slog.Logger, out io.Writer) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	d, err := daemon.Start(s, daemon.WithLogger(logger))
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(ready{
		Kind:         "instance",
		EntryAddress: d.EntryAddress(),
		PeerAddress:  d.PeerAddress(),
		AdminAddress: d.AdminAddress(),
	}); err != nil {
		return err
	}
	select {
	case <-signals:
	case err := <-d.Failed():
		d.Close()
		return err
	}
	logger.Info("instance leaving")
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	go func() {
		<-signals
		logger.Warn("second signal, ending at once")
		cancel()
	}()
	err = d.Stop(ctx)
	logger.Info("instance stopped")
	return err
}
