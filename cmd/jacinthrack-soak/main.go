// Command jacinthrack-soak runs gateway processes on this machine, injects faults and
// checks the system's invariants from what callers and backend servers see.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthrack/jacinthrack/platform/soak"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "jacinthrack-soak: %v\n", err)
		os.Exit(1)
	}
}

// InvariantError reports the number of violated invariants.
type InvariantError struct{ Count int }

func (e *InvariantError) Error() string { return fmt.Sprintf("%d invariants were violated", e.Count) }

func command() *cobra.Command {
	o := soak.Options{Log: slog.New(slog.NewTextHandler(os.Stderr, nil))}
	var seeds int
	cmd := &cobra.Command{
		Use:           "jacinthrack-soak",
		Short:         "Inject faults into gateway processes and check the promises",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(o, seeds) },
	}
	flags := cmd.Flags()
	flags.StringVar(&o.GatewayBinary, "binary", "target/jacinthrack-gateway", "the gateway to run")
	flags.Uint64Var(&o.Seed, "seed", uint64(time.Now().UnixNano()%1_000_000), "seed of the first series of faults")
	flags.IntVar(&seeds, "seeds", 1, "number of series, with consecutive seeds")
	flags.DurationVar(&o.Duration, "duration", 20*time.Second, "length of a series")
	flags.IntVar(&o.Instances, "instances", 5, "gateway processes, 200 at most")
	flags.IntVar(&o.Servers, "servers", 6, "backend servers, 40 at most")
	flags.IntVar(&o.Callers, "callers", 10, "concurrent callers")
	flags.BoolVar(&o.StoreReturns, "store-returns", false, "let the store return from older copies of its data")
	flags.StringVar(&o.Dir, "dir", "", "directory for settings and logs; a new one if empty")
	flags.StringVar(&o.NetworkPrefix, "network", fmt.Sprintf("127.%d", 100+os.Getpid()%100), "first two bytes of the addresses")
	return cmd
}

// run runs the series of faults one after the other and prints a report of each.
func run(o soak.Options, seeds int) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if o.Dir == "" {
		dir, err := soak.NewTempDir()
		if err != nil {
			return err
		}
		o.Dir = dir
	}
	violations := 0
	for range seeds {
		report, err := soak.Run(ctx, o)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d faults, %d returns of the store, %d requests, answers %v, %d broken; logs in %s\n",
			report.Seed, report.Faults, report.StoreReturns, report.Requests, report.ResponsesByStatus, len(report.Violations), o.Dir)
		for _, violation := range report.Violations {
			fmt.Println("  ", violation)
		}
		violations += len(report.Violations)
		o.Seed++
	}
	if violations > 0 {
		return &InvariantError{Count: violations}
	}
	return nil
}
