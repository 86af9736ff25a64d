package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/rcrowley/go-metrics"

	"dandelionmux/internal/entry"
	"dandelionmux/internal/gateway"
	"dandelionmux/internal/linelog"
	"dandelionmux/platform"
)

// runPlatform runs an instance on the Rewa platform until SIGTERM or an interrupt,
// and returns the exit code.
func runPlatform(stdout, stderr io.Writer) int {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		_, _ = fmt.Fprintf(stderr, "environment variable %s is not set; it must hold the path of the settings file\n", platform.SettingsVariable)
		return exitUsage
	}
	s, err := platform.ReadSettings(path)
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
	if err := servePlatform(s, path, logger, registry); err != nil {
		logger.Error("instance failed",
			slog.String("Error", err.Error()))
		return exitFailed
	}
	return exitOK
}

// servePlatform runs an instance until SIGTERM or an interrupt, and then stops it
// gracefully; a second such signal ends the graceful stop. On SIGHUP it reads and
// checks the settings file but doesn't apply it, because a running process can't
// change its addresses.
func servePlatform(s gateway.Settings, path string, logger *slog.Logger, registry metrics.Registry) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	g, err := gateway.Start(s, platform.Adapters(s), gateway.WithLogger(logger), gateway.WithMetrics(registry))
	if err != nil {
		return err
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		checkChangedSettings(s, path, logger)
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
func checkChangedSettings(old gateway.Settings, path string, logger *slog.Logger) {
	s, err := platform.ReadSettings(path)
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
