// Command jacinthrackd runs an entry instance.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthrack/jacinthrack/entry"
	"github.com/jacinthrack/jacinthrack/settings"
)

// defaultDrainTimeout bounds the wait for requests in flight during a drain. It covers
// the longest route deadline in the example configurations, 15 minutes for uploads.
const defaultDrainTimeout = 16 * time.Minute

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "jacinthrackd: %v\n", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var drainTimeout time.Duration
	cmd := &cobra.Command{
		Use:   "jacinthrackd SETTINGS",
		Short: "Run an entry instance with a JSON settings file",
		Long: `Run an entry instance with a JSON settings file.

SIGTERM and SIGINT drain the instance: look-ups stop naming it, requests in
progress finish, and then the process ends. A second signal ends it at once.`,
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			return run(cmd.Context(), args[0], drainTimeout)
		},
	}
	cmd.Flags().DurationVar(&drainTimeout, "drain-timeout", defaultDrainTimeout, "longest wait for requests in progress")
	return cmd
}

// run runs an entry instance until a signal arrives or a newer process registers under
// the same instance name. It then drains the instance for at most drainTimeout.
func run(ctx context.Context, settingsPath string, drainTimeout time.Duration) error {
	s, err := readSettings(settingsPath)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancelSuperseded := context.WithCancelCause(ctx)
	defer cancelSuperseded(nil)
	instance, err := entry.New(entry.Options{
		Settings:     *s,
		Log:          slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: parseLogLevel(s.LogLevel)})),
		OnSuperseded: func(err error) { cancelSuperseded(err) },
	})
	if err != nil {
		return err
	}
	if err := instance.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	// Restores default signal handling, so that a second signal ends the process.
	stop()
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return instance.Shutdown(drainCtx)
}

func readSettings(name string) (*settings.Entry, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return settings.ParseEntry(file)
}

// parseLogLevel returns the log level of the settings, and info if it is empty or
// invalid.
func parseLogLevel(text string) slog.Level {
	var l slog.Level
	if text == "" || l.UnmarshalText([]byte(text)) != nil {
		return slog.LevelInfo
	}
	return l
}
