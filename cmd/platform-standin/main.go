// Command platform-standin serves an in-memory table service, object store and instance
// list in place of the platform, for tests and demos.
package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/jacinthrack/jacinthrack/internal/standin/platform"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:          "platform-standin",
		Short:        "Serve an in-memory table service, object store and instance list",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			server, err := platform.NewServer(address)
			if err != nil {
				return err
			}
			slog.Info("platform stand-in is listening", "address", server.Address())
			return server.Serve(ctx)
		},
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:7000", "IP:port to listen on")
	return cmd
}
