package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/rcrowley/go-metrics"

	"dandelionmux/internal/daemon"
	"dandelionmux/internal/entry"
	"dandelionmux/internal/gateway"
	"dandelionmux/internal/linelog"
	"dandelionmux/internal/settings"
	"dandelionmux/platform"
)

// runPlatform runs an instance on the Rewa platform until SIGTERM or an interrupt,
// and returns the exit code.
func runPlatform(arguments []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("dandelionmux platform", flag.ContinueOnError)
	flags.SetOutput(stderr)
	metricsPort := flags.Uint("metrics-port", 0, "port of the counters; 0 means the second internal port of the settings")
	err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix(settings.EnvironmentPrefix+"_PLATFORM"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		_, _ = fmt.Fprintf(stderr, "environment variable %s is not set; it must hold the path of the settings file\n", platform.SettingsVariable)
		return exitUsage
	}
	source := platformSettings{
		path:        path,
		metricsPort: *metricsPort,
	}
	s, err := source.read()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	lines := linelog.New(stdout)
	defer lines.Close()
	registry := metrics.NewRegistry()
	metrics.NewRegisteredFunctionalGauge("Log.Dropped", registry, lines.Dropped)
	metrics.NewRegisteredFunctionalGauge("Log.Thinned", registry, lines.Thinned)
	logger := slog.New(lines.Handler(slog.NewTextHandler(lines, nil), entry.IsRoutine))
	if err := servePlatform(s, source, logger, registry); err != nil {
		logger.Error("instance failed",
			slog.String("Error", err.Error()))
		return exitFailed
	}
	return exitOK
}

// platformSettings reads the settings of an instance on the platform.
type platformSettings struct {
	path string
	// metricsPort replaces the port of the counters unless it is zero.
	metricsPort uint
}

func (p platformSettings) read() (gateway.Settings, error) {
	s, err := platform.ReadSettings(p.path)
	s.Build = daemon.Version()
	if err != nil || p.metricsPort == 0 {
		return s, err
	}
	host, _, err := net.SplitHostPort(s.MetricsAddress)
	if err != nil {
		return s, errors.Wrap(err, "metrics address")
	}
	s.MetricsAddress = net.JoinHostPort(host, strconv.FormatUint(uint64(p.metricsPort), 10))
	return s, nil
}

// servePlatform runs an instance until SIGTERM or an interrupt, and then stops it
// gracefully; a second such signal ends the graceful stop. On SIGHUP it reads and
// checks the settings file but doesn't apply it, because a running process can't
// change its addresses.
func servePlatform(s gateway.Settings, source platformSettings, logger *slog.Logger, registry metrics.Registry) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	limitHeap(s.MemoryBytes)
	g, err := gateway.Start(s, platform.Adapters(s), gateway.WithLogger(logger), gateway.WithMetrics(registry))
	if err != nil {
		return err
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		checkChangedSettings(s, source, logger)
	}
	logger.Info("instance leaving")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for received := range signals {
			if received != syscall.SIGHUP {
				logger.Warn("second signal received, stopping immediately")
				cancel()
			}
		}
	}()
	return g.Stop(ctx)
}

// checkChangedSettings reads the settings file again and logs whether its settings
// are valid and differ from the old ones.
func checkChangedSettings(old gateway.Settings, source platformSettings, logger *slog.Logger) {
	s, err := source.read()
	switch {
	case err != nil:
		logger.Error("changed settings are invalid, keeping the current ones",
			slog.String("Error", err.Error()))
	case s != old:
		logger.Warn("settings changed, restart the instance to apply them")
	default:
		logger.Info("settings read again, nothing changed")
	}
}
