// Command dandelionmux runs an instance of the fleet.
//
// # Usage
//
//	dandelionmux serve -settings FILE
//	dandelionmux platform [-metrics-port PORT]
//	dandelionmux demo [-keep] [-logs]
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
	"runtime/debug"
	"syscall"

	"github.com/go-faster/errors"

	"dandelionmux/internal/daemon"
	"dandelionmux/internal/settings"
	"dandelionmux/pkg/memory"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// ready is the line that an instance prints, as JSON, once it listens.
type ready struct {
	Kind         string
	EntryAddress string
	PeerAddress  string
	AdminAddress string
}

const usage = `dandelionmux is one instance of a proxy fleet.

  dandelionmux serve    run an instance until SIGTERM
  dandelionmux platform run an instance on the Rewa platform, with the settings
                        file that DANDELIONMUX_SETTINGS names
  dandelionmux demo     run a small fleet with its store, instance list and
                        targets in one process, inject faults and print which
                        properties held; with -keep the fleet goes on running
  dandelionmux check    check the settings and exit
  dandelionmux version  print the version

dandelionmux serve -help lists the settings.
`

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(arguments []string, stdout, stderr io.Writer) int {
	if len(arguments) == 0 {
		_, _ = io.WriteString(stderr, usage)
		return exitUsage
	}
	command, rest := arguments[0], arguments[1:]
	switch command {
	case "serve":
		return serve(rest, stdout, stderr)
	case "platform":
		return runPlatform(rest, stdout, stderr)
	case "demo":
		return runDemo(rest, stdout, stderr)
	case "check":
		return checkSettings(rest, stdout, stderr)
	case "version":
		_, _ = fmt.Fprintln(stdout, daemon.Version())
		return exitOK
	case "help", "-help", "--help", "-h":
		_, _ = io.WriteString(stdout, usage)
		return exitOK
	}
	_, _ = fmt.Fprintf(stderr, "unknown command %q\n\n%s", command, usage)
	return exitUsage
}

// readSettings parses the settings of the named command. If that fails or only the
// help was asked for, it returns false and the exit code.
func readSettings(name string, arguments []string, stderr io.Writer) (settings.Settings, int, bool) {
	s, err := settings.Parse("dandelionmux "+name, arguments, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return s, exitOK, false
	case err != nil:
		_, _ = fmt.Fprintln(stderr, err)
		return s, exitUsage, false
	}
	return s, exitOK, true
}

func checkSettings(arguments []string, stdout, stderr io.Writer) int {
	_, code, ok := readSettings("check", arguments, stderr)
	if ok {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
	}
	return code
}

func serve(arguments []string, stdout, stderr io.Writer) int {
	s, code, ok := readSettings("serve", arguments, stderr)
	if !ok {
		return code
	}
	logger, err := newLogger(s, stderr)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if err := serveUntilSignal(s, logger, stdout); err != nil {
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

// limitHeap lets the garbage collector work harder before the process uses up its memory.
func limitHeap(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(memory.SoftLimitOf(memoryBytes))
	}
}

// serveUntilSignal runs an instance until SIGTERM or an interrupt, and then stops it
// gracefully. A second signal ends the graceful stop.
func serveUntilSignal(s settings.Settings, logger *slog.Logger, stdout io.Writer) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	limitHeap(s.MemoryBytes())
	d, err := daemon.Start(s, daemon.WithLogger(logger))
	if err != nil {
		return err
	}
	if err := json.NewEncoder(stdout).Encode(ready{
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
		logger.Warn("second signal received, stopping immediately")
		cancel()
	}()
	err = d.Stop(ctx)
	logger.Info("instance stopped")
	return err
}
