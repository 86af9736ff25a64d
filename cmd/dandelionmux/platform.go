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

// runPlatform runs an instance on the platform until SIGTERM.
func runPlatform(out, problems io.Writer) int {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		_, _ = fmt.Fprintf(problems, "%s: not set; it holds the path of the settings file\n", platform.SettingsVariable)
		return exitUsage
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		_, _ = fmt.Fprintln(problems, err)
		return exitUsage
	}
	lines := linelog.New(out)
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

// servePlatform runs an instance until a signal ends it. Settings that change
// are read and checked; addresses can't change under a running process, so
// nothing else follows from them.
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
		reread(s, path, logger)
	}
	logger.Info("instance leaving")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for received := range signals {
			if received != syscall.SIGHUP {
				logger.Warn("second signal, ending at once")
				cancel()
			}
		}
	}()
	return g.Stop(ctx)
}

// reread tells what became of changed settings.
func reread(old gateway.Settings, path string, logger *slog.Logger) {
	s, err := platform.ReadSettings(path)
	switch {
	case err != nil:
		logger.Error("settings refused, the last good ones hold",
			slog.String("Error", err.Error()))
	case s != old:
		logger.Warn("settings changed, they count from the next start on")
	default:
		logger.Info("settings read, nothing changed")
	}
}
