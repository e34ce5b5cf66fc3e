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

// defaultDrainTimeout bounds the wait for requests in progress. It covers the longest
// route deadline of the examples, 15 minutes for uploads.
const defaultDrainTimeout = 16 * time.Minute

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "jacinthrackd: %v\n", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var drain time.Duration
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
			return run(cmd.Context(), args[0], drain)
		},
	}
	cmd.Flags().DurationVar(&drain, "drain-timeout", defaultDrainTimeout, "longest wait for requests in progress")
	return cmd
}

func run(ctx context.Context, file string, drain time.Duration) error {
	s, err := readSettings(file)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, supersede := context.WithCancelCause(ctx)
	defer supersede(nil)
	e, err := entry.New(entry.Options{
		Settings:     *s,
		Log:          slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: parseLogLevel(s.LogLevel)})),
		OnSuperseded: func(err error) { supersede(err) },
	})
	if err != nil {
		return err
	}
	if err := e.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	// Restores the default, so that a second signal ends the process.
	stop()
	draining, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	return e.Shutdown(draining)
}

func readSettings(name string) (*settings.Entry, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return settings.ParseEntry(file)
}

func parseLogLevel(text string) slog.Level {
	var l slog.Level
	if text == "" || l.UnmarshalText([]byte(text)) != nil {
		return slog.LevelInfo
	}
	return l
}
