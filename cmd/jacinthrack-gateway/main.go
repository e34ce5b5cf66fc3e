// Command jacinthrack-gateway runs an entry instance on the platform of the users.
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

	"github.com/jacinthrack/jacinthrack/internal/logline"
	"github.com/jacinthrack/jacinthrack/platform"
)

// logFlushTimeout bounds the wait for buffered log lines to be written at exit.
const logFlushTimeout = 300 * time.Millisecond

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "jacinthrack-gateway: %v\n", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "jacinthrack-gateway",
		Short:         "Run an entry instance on the platform",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var settings, level string
	root.PersistentFlags().StringVar(&settings, "settings", os.Getenv(platform.SettingsEnvVar), "path of the settings file")
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Serve requests until SIGTERM",
		Long: `Serve requests until SIGTERM.

SIGTERM drains the instance: it is no longer named to callers, finishes its
requests and ends within the grace period. SIGHUP reads the settings again.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return run(settings, level) },
	}
	serve.Flags().StringVar(&level, "log-level", "info", "debug, info, warn or error; info has a line for each request")
	check := &cobra.Command{
		Use:   "check",
		Short: "Check the settings file and print every mistake",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := platform.ReadSettings(settings)
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), "ok")
			}
			return err
		},
	}
	root.AddCommand(serve, check)
	return root
}

// run runs an entry instance until SIGTERM or SIGINT. SIGHUP reloads its settings.
func run(settingsPath, level string) error {
	var threshold slog.Level
	if err := threshold.UnmarshalText([]byte(level)); err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	logWriter := logline.New(os.Stdout)
	defer logWriter.Close(logFlushTimeout)
	log := slog.New(slog.NewJSONHandler(logWriter, &slog.HandlerOptions{Level: threshold}))
	node, err := platform.NewNode(settingsPath, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := node.Start(ctx); err != nil {
		return err
	}
	for received := range signals {
		if received == syscall.SIGHUP {
			node.ReloadSettings()
			continue
		}
		break
	}
	node.Shutdown(cancel)
	return nil
}
